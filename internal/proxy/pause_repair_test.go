package proxy

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/clock"
	"github.com/savoryramp/savoryramp/pkg/position"
)

// Guards against an attempt to end a pause that fails and leaves replicas paused that received before it.
func TestFailedRepairAddsNoPause(t *testing.T) {
	runPauseTest(t, 1, func(pt *pauseTest) {
		pt.leavePaused(t)
		pt.onServer("c", func(s *memServer) { s.heldTerm = 0 })
		pt.promoter.cutOff = "first"
		for range 4 {
			pt.check(pt.failover, abandonedPauseAge)
			assert.DeepEqual(t, pt.paused(), []ServerID{"b"})
		}
		pt.promoter.cutOff = ""
		pt.check(pt.failover, abandonedPauseAge)
		assert.Equal(t, len(pt.paused()), 0)
	})
}

// Guards against a VM whose attempts to end a pause fail again and again and keep the other VMs from ending it.
func TestAnotherVMEndsPause(t *testing.T) {
	runPauseTest(t, 1, func(pt *pauseTest) {
		pt.promoter.lost = 100
		assert.Assert(t, pt.replace() != nil)
		pt.promoter.cutOff, pt.promoter.lost = "first", 0
		second := pt.newFailover()
		shared := &lockedPromoter{Promoter: pt.promoter}
		pt.failover.Promoter, second.Promoter = shared, shared
		const within = 12 * time.Second
		for began := clock.Now(); clock.Since(began) < within && len(pt.paused()) > 0; {
			for name, vm := range map[VMName]*Failover{"first": pt.failover, "second": second} {
				vm.mu.Lock()
				vm.startPauseCheck(asVM(pt.ctx, name), pt.group, 1)
				vm.mu.Unlock()
			}
			clock.Sleep(pt.ctx, decisionInterval)
		}
		paused := pt.paused()
		pt.failover.attempts.Wait()
		second.attempts.Wait()
		assert.Equal(t, len(paused), 0, "still paused after %s: %v", within, paused)
		assert.Equal(t, pt.promoter.record.Term, position.Term(0))
	})
}

// Guards against an order that is repeated after a paused replica has started again: it confirms commits that the
// chosen one lacks.
func TestPausedReplicaRestarts(t *testing.T) {
	runPauseTest(t, 1, func(pt *pauseTest) {
		pt.promoter.lost = 1
		pt.promoter.onPromote = func() {
			pt.restart("c")
			pt.onServer("c", func(s *memServer) { s.logEnd.Offset += 30 })
		}
		err := pt.replace()
		assert.Check(t, isType(err, ErrAbandoned), "%v", err)
		assert.DeepEqual(t, pt.promoter.promoted, []ServerID{"b"})
		pt.promoter.onPromote = nil
		assert.NilError(t, pt.replace())
		assert.DeepEqual(t, pt.promoter.promoted, []ServerID{"b", "c"})
	})
}

// lockedPromoter is a promoter that several VMs use at the same time.
type lockedPromoter struct {
	mu sync.Mutex
	Promoter
}

func (p *lockedPromoter) AcquireForPause(ctx context.Context, service ServiceName, term position.Term, mayTakeOver func(RecordedPause) bool) (PauseRight, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.Promoter.AcquireForPause(ctx, service, term, mayTakeOver)
}

func (p *lockedPromoter) BeginResume(ctx context.Context, service ServiceName, t Token) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.Promoter.BeginResume(ctx, service, t)
}

func (p *lockedPromoter) EndResume(ctx context.Context, service ServiceName, t Token, created position.Term) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.Promoter.EndResume(ctx, service, t, created)
}

func (p *lockedPromoter) ReadPause(ctx context.Context, service ServiceName) (RecordedPause, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.Promoter.ReadPause(ctx, service)
}

func (p *lockedPromoter) Promote(ctx context.Context, service ServiceName, id ServerID, t Token) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.Promoter.Promote(ctx, service, id, t)
}
