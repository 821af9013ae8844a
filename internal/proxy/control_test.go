package proxy

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/clock"
)

// awaitReplicas makes the primary answer writes only while a replica receives the log.
func (pt *pauseTest) awaitReplicas() {
	pt.onServer("a", func(s *memServer) {
		s.fault = func(c Command) fault {
			f, _ := c.(Forward)
			if _, isWrite := f.Statement.(Write); isWrite && len(pt.pausedServers()) == 2 {
				return loseAnswer
			}
			return faultNone
		}
	})
}

// load has callers send requests until the returned function is called.
func (pt *pauseTest) load(callers int, request Statement) (halt func()) {
	ctx, cancel := context.WithCancel(pt.ctx)
	var tasks sync.WaitGroup
	for range callers {
		tasks.Go(func() {
			c := pt.openSession(testDatabase)
			defer c.Close()
			for ctx.Err() == nil {
				c.exec(request)
				clock.Sleep(ctx, 10*time.Millisecond)
			}
		})
	}
	return func() {
		cancel()
		tasks.Wait()
	}
}

// leavePaused has a VM pause both replicas that then goes no further, and returns its pause.
func (pt *pauseTest) leavePaused(t *testing.T) *pause {
	t.Helper()
	p := &pause{attempt: pt.attempt}
	var err error
	p.right, err = pt.promoter.AcquireForPause(asVM(pt.ctx, "killed"), testService, 2, func(RecordedPause) bool { return true })
	assert.NilError(t, err)
	_, err = pt.failover.pauseReplicas(pt.ctx, p)
	assert.NilError(t, err)
	p.tasks.Wait()
	return p
}

// Guards against a pause of replicas that never ends under load: writes that wait for their confirmation hold all
// connections to the primary, and the commands that are to end the pause wait for one of them.
func TestPauseEndsUnderLoad(t *testing.T) {
	runPauseTest(t, 1, func(pt *pauseTest) {
		pt.awaitReplicas()
		pt.leavePaused(t)
		halt := pt.load(40, write("w"))
		defer halt()
		pt.check(pt.failover, abandonedPauseAge+6*time.Second)
		assert.Equal(t, len(pt.paused()), 0, "still paused: %v", pt.paused())
		before := pt.countRuns("WRITE w x")
		clock.Sleep(pt.ctx, 2*time.Second)
		assert.Check(t, pt.countRuns("WRITE w x") > before+100, "%d writes in 2 s", pt.countRuns("WRITE w x")-before)
	})
}

// countIdle returns how many connections callers may use at once.
func countIdle(p *Pool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, wp := range p.workspacePools {
		n += len(wp.idle)
	}
	return n
}

// Guards against commands of the VM that wait for connections, or for places in a queue, which callers hold: then no
// pause ends, no primary is verified and none is replaced for as long as the callers go on.
func TestOwnCommandsUnderLoad(t *testing.T) {
	hanging := func(pt *pauseTest) {
		pt.onServer("a", func(s *memServer) {
			s.fault = func(c Command) fault {
				f, _ := c.(Forward)
				if _, isRead := f.Statement.(Read); isRead {
					return loseAnswer
				}
				return faultNone
			}
		})
	}
	tests := map[string]struct {
		isScheduled bool
		// holdsAll is true if callers hold all connections.
		holdsAll bool
		load     func(pt *pauseTest) (halt func())
	}{
		"writes wait for their confirmation": {holdsAll: true, load: func(pt *pauseTest) func() {
			pt.awaitReplicas()
			pt.leavePaused(pt.t)
			return pt.load(40, write("w"))
		}},
		"writes wait, the statements have an order": {isScheduled: true, load: func(pt *pauseTest) func() {
			pt.awaitReplicas()
			pt.leavePaused(pt.t)
			return pt.load(40, write("w"))
		}},
		"reads without an answer": {load: func(pt *pauseTest) func() {
			hanging(pt)
			return pt.load(40, Read{Text: "READ r"})
		}},
		"reads without an answer, the statements have an order": {isScheduled: true, load: func(pt *pauseTest) func() {
			hanging(pt)
			return pt.load(40, Read{Text: "READ r"})
		}},
		"idle transactions": {load: func(pt *pauseTest) func() {
			var sessions []*client
			for range 40 {
				c := pt.openSession(testDatabase)
				c.exec(Begin{})
				c.exec(write("t"))
				sessions = append(sessions, c)
			}
			return func() {
				for _, c := range sessions {
					c.Close()
				}
			}
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			change := func(vm *VM) { vm.PriorityScheduling = test.isScheduled }
			runPauseTestWith(t, 1, change, func(pt *pauseTest) {
				pt.t = t
				halt := test.load(pt)
				defer halt()
				clock.Sleep(pt.ctx, 300*time.Millisecond)
				m := pt.group.members["a"]
				if test.holdsAll {
					open, opening, share, _ := m.pool.counts()
					assert.Check(t, open-opening >= share && countIdle(m.pool) == 0, "%d of %d connections are open, %d idle", open, share, countIdle(m.pool))
				}
				for i := range 10 {
					_, err := pt.group.runStatusCommand(pt.ctx, m, QueryStatus{})
					assert.NilError(t, err, "status %d", i)
					clock.Sleep(pt.ctx, 200*time.Millisecond)
				}
				sent, _, _ := pt.group.Samples.Newest()
				assert.Check(t, clock.Since(clock.Instant(sent)) < 2*verifyInterval, "last verified %s ago", clock.Since(clock.Instant(sent)))
			})
		})
	}
}
