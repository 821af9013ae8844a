package proxy

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/clock"
	"github.com/savoryramp/savoryramp/internal/heartbeat"
	"github.com/savoryramp/savoryramp/pkg/failover"
	"github.com/savoryramp/savoryramp/pkg/position"
)

// fakePromoter promotes servers of the testbed.
type fakePromoter struct {
	testbed *testbed
	// delay is how long a promotion takes; fencedOff makes it fail with ErrFenced.
	delay     time.Duration
	fencedOff bool
	// answerLost carries promotions out but returns ErrOutcomeUnknown.
	answerLost bool
	// lost is how many of the first orders are neither carried out nor answered.
	lost      int
	promoted  []ServerID
	discarded int
	// announced is the newest term in the promoter's row, acquired has the terms that were announced, and
	// onAcquire is called while the token is awaited.
	announced position.Term
	acquired  []position.Term
	onAcquire func()
	// onPromote is called when a promotion is ordered.
	onPromote func()
	// record is what the promoter's row tells, and token the newest one. resuming is true from BeginResume to EndResume.
	record   RecordedPause
	token    Token
	resuming bool
	// acquiredAt is when it was acquired, pausedAt since when replicas may have been paused.
	acquiredAt, pausedAt clock.Instant
	// cutOff is a VM whose orders aren't answered.
	cutOff VMName
	// fenced is the highest token that the platform has seen.
	fenced Token
	// roster is the recorded roster, unavailable is true while the store doesn't answer.
	roster      RecordedRoster
	unavailable bool
}

func (p *fakePromoter) ReadRoster(context.Context, ServiceName) (RecordedRoster, error) {
	if p.unavailable {
		return RecordedRoster{}, ErrUnavailable.New("store")
	}
	return p.roster, nil
}

func (p *fakePromoter) WriteRoster(_ context.Context, service ServiceName, r RecordedRoster) error {
	switch {
	case p.unavailable:
		return ErrUnavailable.New("store")
	case r.Version != p.roster.Version:
		return ErrConflict.New("service %s: version %d is newer than %d", service, p.roster.Version, r.Version)
	}
	p.roster = RecordedRoster{r.Roster, r.Version + 1}
	return nil
}

// vmKey is the key of a context's value that tells which VM calls the promoter.
type vmKey struct{}

func (p *fakePromoter) AcquireForPause(ctx context.Context, _ ServiceName, term position.Term, mayTakeOver func(RecordedPause) bool) (PauseRight, error) {
	vm, _ := ctx.Value(vmKey{}).(VMName)
	if recorded, _ := p.ReadPause(ctx, testService); recorded.Term != 0 && recorded.Holder != vm && !mayTakeOver(recorded) {
		return PauseRight{}, ErrNotPromotable.New("VM %s has paused replicas", recorded.Holder)
	}
	p.acquired = append(p.acquired, term)
	if p.onAcquire != nil {
		p.onAcquire()
	}
	before := p.record.Term
	p.token++
	if before == 0 {
		p.pausedAt = clock.Now()
	}
	p.record, p.acquiredAt = RecordedPause{Term: max(term, p.announced), Token: p.token, Holder: vm}, clock.Now()
	return PauseRight{Token: p.token, Term: p.record.Term, Announced: p.announced, Before: before}, nil
}

func (p *fakePromoter) BeginResume(_ context.Context, service ServiceName, t Token) error {
	if t != p.token {
		return ErrConflict.New("service %s: token %d is newer than %d", service, p.token, t)
	}
	p.resuming = true
	return nil
}

func (p *fakePromoter) EndResume(_ context.Context, service ServiceName, t Token, created position.Term) error {
	if t != p.token {
		return ErrConflict.New("service %s: token %d is newer than %d", service, p.token, t)
	}
	p.resuming, p.record.Term, p.announced = false, 0, created
	return nil
}

func (p *fakePromoter) ReadPause(context.Context, ServiceName) (RecordedPause, error) {
	recorded := p.record
	recorded.Age, recorded.AttemptAge = clock.Since(p.pausedAt), clock.Since(p.acquiredAt)
	return recorded, nil
}

func (p *fakePromoter) AcquireToken(_ context.Context, _ ServiceName, term position.Term) (Token, position.Term, error) {
	p.acquired = append(p.acquired, term)
	if p.onAcquire != nil {
		p.onAcquire()
	}
	return 1, p.announced, nil
}
func (p *fakePromoter) DiscardToken(ServiceName) { p.discarded++ }

func (p *fakePromoter) Promote(ctx context.Context, _ ServiceName, id ServerID, t Token) error {
	if vm, _ := ctx.Value(vmKey{}).(VMName); p.cutOff != "" && vm == p.cutOff {
		return ErrUnavailable.New("the platform can't be reached")
	}
	if p.fencedOff || t < p.fenced {
		return ErrFenced.New("a newer token was seen")
	}
	p.fenced = t
	p.promoted = append(p.promoted, id)
	if p.onPromote != nil {
		p.onPromote()
	}
	if len(p.promoted) <= p.lost {
		return ErrOutcomeUnknown.New("no answer to the promotion")
	}
	p.testbed.mu.Lock()
	isPrimary := p.testbed.primary == id
	p.testbed.mu.Unlock()
	if !isPrimary {
		time.AfterFunc(p.delay, func() { p.testbed.promote(id) })
	}
	if p.answerLost {
		return ErrOutcomeUnknown.New("no answer to the promotion")
	}
	return nil
}

func TestReplacePrimary(t *testing.T) {
	down := func(s *memServer) { s.fault = func(Command) fault { return breakBefore } }
	tests := map[string]struct {
		decision failover.Decision
		prepare  func(tb *testbed, promoter *fakePromoter)
		// want is the server whose promotion is ordered, or empty for none.
		want        ServerID
		wantPrimary ServerID
		wantErr     bool
	}{
		"the primary is down": {decision: failover.Replace, prepare: func(tb *testbed, _ *fakePromoter) {
			tb.onServer("a", down)
			tb.onServer("c", func(s *memServer) { s.logEnd = position.Position{Term: 1, Offset: 9} })
		}, want: "c", wantPrimary: "c"},
		"the answer to the promotion is lost": {decision: failover.Replace, prepare: func(tb *testbed, promoter *fakePromoter) {
			tb.onServer("a", down)
			promoter.answerLost = true
		}, want: "b", wantPrimary: "b"},
		"the promotion is fenced off": {decision: failover.Replace, prepare: func(tb *testbed, promoter *fakePromoter) {
			tb.onServer("a", down)
			promoter.fencedOff = true
		}, wantPrimary: "a", wantErr: true},
		"another VM has promoted a server": {decision: failover.Replace, prepare: func(tb *testbed, _ *fakePromoter) {
			tb.onServer("a", down)
			tb.promote("c")
		}, wantPrimary: "c"},
		"the primary is leaving": {decision: failover.HandOver, want: "b", wantPrimary: "b"},
		"the primary is leaving and another VM has promoted a server": {decision: failover.HandOver, prepare: func(tb *testbed, _ *fakePromoter) {
			tb.promote("c")
		}, wantPrimary: "c"},
		"the primary is leaving and no replica receives its whole log": {decision: failover.HandOver, prepare: func(tb *testbed, _ *fakePromoter) {
			for _, id := range []ServerID{"b", "c"} {
				tb.onServer(id, func(s *memServer) { s.notReceiving = true })
			}
			tb.onServer("a", func(s *memServer) { s.logEnd.Offset = 50 })
		}, wantPrimary: "a", wantErr: true},
		"no server answers": {decision: failover.Replace, prepare: func(tb *testbed, _ *fakePromoter) {
			for id := range tb.servers {
				tb.onServer(id, down)
			}
		}, wantPrimary: "a", wantErr: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runTest(t, func(tb *testbed) {
				awaitVerifiedPrimary()
				promoter := &fakePromoter{testbed: tb, delay: 300 * time.Millisecond}
				if test.prepare != nil {
					test.prepare(tb, promoter)
				}
				g := tb.vm.group(testService)
				f := &Failover{VM: tb.vm, Promoter: promoter, Logger: log.NewNopLogger()}
				oldPrimary := g.members["a"]
				err := f.replacePrimary(tb.ctx, attempt{group: g, decision: test.decision, oldPrimary: oldPrimary, first: time.Now(), stands: func() bool { return true }})
				assert.Equal(t, err != nil, test.wantErr, "%v", err)
				if test.want == "" {
					assert.Equal(t, len(promoter.promoted), 0)
				} else {
					assert.DeepEqual(t, promoter.promoted, []ServerID{test.want})
				}
				awaitVerifiedPrimary()
				if test.wantErr {
					tb.mu.Lock()
					defer tb.mu.Unlock()
					assert.Equal(t, tb.primary, test.wantPrimary)
					return
				}
				m, _ := g.currentPrimary()
				assert.Assert(t, m != nil)
				assert.Equal(t, m.pool.Server.ID, test.wantPrimary)
			})
		})
	}
}

// replacement is an attempt to replace the primary, "a".
func replacement(g *Group) attempt {
	// The first attempt was so long ago that few answers suffice.
	first := time.Now().Add(-5 * time.Second)
	return attempt{group: g, decision: failover.Replace, oldPrimary: g.members["a"], first: first, stands: func() bool { return true }}
}

// TestLostOrderIsRepeated guards against a group without a primary for seconds because the platform lost
// an order to promote a server.
func TestLostOrderIsRepeated(t *testing.T) {
	runTest(t, func(tb *testbed) {
		awaitVerifiedPrimary()
		tb.onServer("a", func(s *memServer) { s.fault = func(Command) fault { return breakBefore } })
		promoter := &fakePromoter{testbed: tb, delay: 300 * time.Millisecond, lost: 2}
		g := tb.vm.group(testService)
		f := &Failover{VM: tb.vm, Promoter: promoter, PromotionFences: true, Logger: log.NewNopLogger()}
		assert.NilError(t, f.replacePrimary(tb.ctx, replacement(g)))
		assert.DeepEqual(t, promoter.promoted, []ServerID{"b", "b", "b"})
		assert.Equal(t, promoter.discarded, 0)
		m, _ := g.currentPrimary()
		assert.Equal(t, m.pool.Server.ID, ServerID("b"))
	})
}

// TestOutstandingOrderIsFenced guards against an order that is carried out late and undoes the promotion of
// another server with the same token.
func TestOutstandingOrderIsFenced(t *testing.T) {
	runTest(t, func(tb *testbed) {
		awaitVerifiedPrimary()
		tb.onServer("a", func(s *memServer) { s.fault = func(Command) fault { return breakBefore } })
		promoter := &fakePromoter{testbed: tb, delay: 300 * time.Millisecond, lost: 1000}
		g := tb.vm.group(testService)
		f := &Failover{VM: tb.vm, Promoter: promoter, PromotionFences: true, Logger: log.NewNopLogger()}
		ctx, cancel := context.WithTimeout(tb.ctx, failoverTimeout)
		defer cancel()
		assert.Assert(t, isType(f.replacePrimary(ctx, replacement(g)), ErrOutcomeUnknown))
		promoter.lost = 0
		tb.onServer("b", func(s *memServer) { s.fault = func(Command) fault { return breakBefore } })
		assert.NilError(t, f.replacePrimary(tb.ctx, replacement(g)))
		assert.Equal(t, promoter.promoted[len(promoter.promoted)-1], ServerID("c"))
		assert.Equal(t, promoter.discarded, 1)
	})
}

// A VM adopts a new primary from another VM's heartbeat, unless that reports it as failing.
func TestObserveHeartbeat(t *testing.T) {
	tests := map[string]struct {
		observation heartbeat.PrimaryObservation
		want        ServerID
	}{
		"newer":           {heartbeat.PrimaryObservation{Server: "b", Term: 2}, "b"},
		"failing":         {heartbeat.PrimaryObservation{Server: "b", Term: 2, Failing: true}, "a"},
		"older term":      {heartbeat.PrimaryObservation{Server: "b", Term: 0}, "a"},
		"unlisted server": {heartbeat.PrimaryObservation{Server: "z", Term: 2}, "a"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runTest(t, func(tb *testbed) {
				awaitVerifiedPrimary()
				tb.vm.ObserveHeartbeat(heartbeat.Message{VM: "other", Observations: map[string]heartbeat.PrimaryObservation{string(testService): test.observation}})
				m, _ := tb.vm.group(testService).currentPrimary()
				assert.Equal(t, m.pool.Server.ID, test.want)
			})
		})
	}
}

// Guards against a second failover that waits although the VM that has carried out the first one could act: the others
// have to wait for the end of its turn.
func TestLatestPromoterActsFirst(t *testing.T) {
	runTest(t, func(tb *testbed) {
		awaitVerifiedPrimary()
		g := tb.vm.group(testService)
		f := &Failover{VM: tb.vm, Fleet: &heartbeat.Fleet{}, Promoter: &fakePromoter{testbed: tb}, PromotionFences: true, Logger: log.NewNopLogger()}
		view := failover.View{VM: "vm", Group: string(testService), IsVerifier: true, OwnObservation: failover.Observation{VM: "vm", Failing: true}}
		for _, other := range []string{"a", "b", "c", "d", "e", "f", "g"} {
			view.Others = append(view.Others, failover.Observation{VM: other, Failing: true})
		}
		usual := view.ActionDelay()
		assert.Assert(t, usual > 0, "the VM goes first anyway")
		wait := func() time.Duration {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.wait(g, view, failover.Replace)
		}
		assert.Equal(t, wait(), usual)
		assert.NilError(t, f.promote(tb.ctx, g, "b", 1, 2))
		assert.Equal(t, wait(), time.Duration(0))
		clock.Sleep(tb.ctx, failoverTimeout)
		assert.Equal(t, wait(), usual)
		assert.Assert(t, !f.MayTakeOver("other", failoverTimeout-1) && f.MayTakeOver("other", failoverTimeout))
	})
}
