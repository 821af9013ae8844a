package proxy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/clock"
)

// Guards against writes that hold all connections, and end with an unknown outcome, while commits aren't confirmed:
// reads aren't served either then, and callers can't repeat what may have been done.
func TestUnconfirmedWrites(t *testing.T) {
	for name, isScheduled := range map[string]bool{"as they come": false, "in order of urgency": true} {
		t.Run(name, func(t *testing.T) {
			change := func(vm *VM) { vm.PriorityScheduling = isScheduled }
			runPauseTestWith(t, 1, change, func(pt *pauseTest) {
				pt.awaitReplicas()
				pt.leavePaused(t)
				halt := pt.load(40, write("w"))
				defer halt()
				clock.Sleep(pt.ctx, 2*time.Second)
				reader, writer := pt.openSession(testDatabase), pt.openSession(testDatabase)
				refused, inDoubt := 0, 0
				for i := range 20 {
					a := reader.exec(Read{Text: "READ r"})
					assert.Check(t, a.Succeeded(), "read %d: %s %s", i, a.Failure, a.Detail)
					switch a := writer.exec(write("x")); {
					case a.Failure == Busy:
						refused++
						assert.Check(t, a.RetryAfter > 0)
					default:
						inDoubt++
					}
				}
				assert.Check(t, refused >= 15, "%d refused, %d in doubt", refused, inDoubt)
				for _, id := range []ServerID{"b", "c"} {
					pt.onServer(id, func(s *memServer) { s.heldTerm = 0 })
				}
				clock.Sleep(pt.ctx, time.Second)
				for i := range 20 {
					a := writer.exec(write("x"))
					assert.Check(t, a.Succeeded(), "write %d: %s %s", i, a.Failure, a.Detail)
				}
			})
		})
	}
}

// Guards against writes that wait for a server's confirmations until their deadline although another one has become the
// primary meanwhile.
func TestWaitingWritesFollowPrimary(t *testing.T) {
	runPauseTest(t, 1, func(pt *pauseTest) {
		pt.withdraw(func(c *Configuration) {
			r := *c.Routes[testDatabase]
			r.StatementTimeout = 10 * time.Second
			c.Routes[testDatabase] = &r
		})
		pt.awaitReplicas()
		pt.leavePaused(t)
		halt := pt.load(20, write("w"))
		defer halt()
		clock.Sleep(pt.ctx, 2*time.Second)
		for _, id := range []ServerID{"b", "c"} {
			pt.onServer(id, func(s *memServer) { s.heldTerm = 0 })
		}
		pt.promote("b")
		pt.group.mu.Lock()
		pt.group.setPrimary("b", 2, "test")
		pt.group.mu.Unlock()
		began := clock.Now()
		for pt.lastServer("WRITE w x") != "b" && clock.Since(began) < 8*time.Second {
			clock.Sleep(pt.ctx, 10*time.Millisecond)
		}
		assert.Check(t, clock.Since(began) < time.Second, "the first write at the new primary after %s", clock.Since(began))
	})
}

// Guards against writes that wait for confirmations although the configuration doesn't ask for them any more.
func TestWaitingWritesWithoutConfirmation(t *testing.T) {
	runPauseTest(t, 1, func(pt *pauseTest) {
		pt.awaitReplicas()
		pt.leavePaused(t)
		halt := pt.load(40, write("w"))
		defer halt()
		clock.Sleep(pt.ctx, 2*time.Second)
		pt.configure(0)
		assert.NilError(t, pt.group.members["a"].pool.admitWrite(pt.ctx, time.Now().Add(10*time.Millisecond)))
	})
}
