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

// pauseTest is a group whose commits are confirmed by replicas, and the failover of one VM.
type pauseTest struct {
	*testbed
	group    *Group
	failover *Failover
	promoter *fakePromoter
	attempt  attempt
}

// runPauseTest runs a test with a group of three servers, of which a is the primary that the VM decided to replace. It
// still acts as primary for others.
func runPauseTest(t *testing.T, syncReplicas int, test func(pt *pauseTest)) {
	runPauseTestWith(t, syncReplicas, func(*VM) {}, test)
}

// runPauseTestWith is runPauseTest with a change to the VM before it starts.
func runPauseTestWith(t *testing.T, syncReplicas int, change func(*VM), test func(pt *pauseTest)) {
	runTestWith(t, change, func(tb *testbed) {
		tb.withdraw(func(c *Configuration) {
			c.Services[testService] = &Service{Name: testService, Connections: 9, SyncReplicas: syncReplicas}
		})
		awaitVerifiedPrimary()
		pt := &pauseTest{testbed: tb, group: tb.vm.group(testService), promoter: &fakePromoter{testbed: tb, delay: 300 * time.Millisecond}}
		pt.failover = pt.newFailover()
		pt.attempt = replacement(pt.group)
		test(pt)
	})
}

func (pt *pauseTest) newFailover() *Failover {
	return &Failover{VM: pt.vm, Promoter: pt.promoter, PromotionFences: true, Fleet: &heartbeat.Fleet{}, Logger: log.NewNopLogger(), pending: map[ServiceName]pendingDecision{}}
}

func (pt *pauseTest) paused() []ServerID {
	pt.mu.Lock()
	defer pt.mu.Unlock()
	return pt.pausedServers()
}

// pausedThen returns the servers that were paused when one was promoted.
func (pt *pauseTest) pausedThen() []ServerID {
	pt.mu.Lock()
	defer pt.mu.Unlock()
	return pt.pausedAtPromotion
}

// replace carries out the decision, with the time limit of an attempt.
func (pt *pauseTest) replace() error {
	ctx, cancel := context.WithTimeout(asVM(pt.ctx, "first"), failoverTimeout)
	defer cancel()
	return pt.failover.replacePrimary(ctx, pt.attempt)
}

// check has a VM look for pauses that were left, again and again for some time.
func (pt *pauseTest) check(f *Failover, lasts time.Duration) {
	for began := clock.Now(); clock.Since(began) < lasts; {
		f.checkPause(asVM(pt.ctx, "first"), pt.group)
		clock.Sleep(pt.ctx, pauseRetryInterval)
	}
}

// moveLogs sets the ends of the replicas' logs.
func (pt *pauseTest) moveLogs(b, c position.Offset) {
	pt.onServer("b", func(s *memServer) { s.logEnd.Offset = b })
	pt.onServer("c", func(s *memServer) { s.logEnd.Offset = c })
}

// failCommand makes a server not answer the first commands that match.
func (pt *pauseTest) failCommand(id ServerID, times int, match func(Command) bool) {
	pt.onServer(id, func(s *memServer) {
		s.fault = func(c Command) fault {
			if times == 0 || !match(c) {
				return faultNone
			}
			times--
			return breakBefore
		}
	})
}

func isPause(c Command) bool  { _, is := c.(PauseReceiving); return is }
func isResume(c Command) bool { _, is := c.(ResumeReceiving); return is }
func isAny(Command) bool      { return true }

// Guards against the loss of confirmed commits: the primary goes on confirming commits with another replica after the
// replicas have answered, and the chosen one falls behind before it is promoted.
func TestConfirmedCommitsSurviveReplacement(t *testing.T) {
	tests := map[string]struct {
		syncReplicas int
		prepare      func(pt *pauseTest)
		want         ServerID
		// pausedThen are the servers that are paused when the promotion takes effect.
		pausedThen []ServerID
	}{
		"both replicas go on": {syncReplicas: 1, want: "b", pausedThen: []ServerID{"b", "c"}},
		"the chosen one falls behind while the token is awaited": {syncReplicas: 1, prepare: func(pt *pauseTest) {
			pt.moveLogs(9, 9)
			pt.promoter.onAcquire = func() { pt.moveLogs(9, 20) }
		}, want: "c", pausedThen: []ServerID{"b", "c"}},
		"the primary goes on after the replicas were paused": {syncReplicas: 1, prepare: func(pt *pauseTest) {
			pt.promoter.onPromote = func() {
				c := pt.openSession(testDatabase)
				c.exec(write("late"))
				c.Close()
			}
		}, want: "b", pausedThen: []ServerID{"b", "c"}},
		"two confirm, one replica answers": {syncReplicas: 2, prepare: func(pt *pauseTest) {
			pt.failCommand("b", -1, isAny)
		}, want: "c", pausedThen: []ServerID{"c"}},
		"none confirms": {syncReplicas: 0, want: "b"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runPauseTest(t, test.syncReplicas, func(pt *pauseTest) {
				if test.prepare != nil {
					test.prepare(pt)
				}
				assert.NilError(t, pt.replace())
				assert.DeepEqual(t, pt.promoter.promoted, []ServerID{test.want})
				assert.DeepEqual(t, pt.pausedThen(), test.pausedThen)
				assert.Equal(t, len(pt.paused()), 0, "paused after the promotion: %v", pt.paused())
				assert.Equal(t, pt.promoter.record.Term, position.Term(0))
			})
		})
	}
}

// Guards against replicas that an attempt which ends early leaves paused, so that no commit is confirmed any more.
func TestNoReplicaStaysPaused(t *testing.T) {
	tests := map[string]struct {
		prepare func(pt *pauseTest)
		// within is how long it takes at most until the replicas receive again.
		within time.Duration
		// promoted are the orders to promote a server.
		promoted []ServerID
	}{
		"another primary became known": {prepare: func(pt *pauseTest) {
			pt.promoter.onAcquire = func() {
				pt.promote("c")
				pt.group.mu.Lock()
				pt.group.setPrimary("c", 2, "test")
				pt.group.mu.Unlock()
			}
		}},
		"the decision no longer stands after the token": {prepare: func(pt *pauseTest) {
			pt.attempt.stands = func() bool { return false }
		}},
		"the decision no longer stands after the pause": {prepare: func(pt *pauseTest) {
			pt.attempt.stands = func() bool { return len(pt.paused()) == 0 }
		}},
		"a replica doesn't answer": {prepare: func(pt *pauseTest) { pt.failCommand("c", -1, isPause) }, within: time.Second},
		"the order is refused":     {prepare: func(pt *pauseTest) { pt.promoter.fencedOff = true }},
		"a replica doesn't resume at first": {prepare: func(pt *pauseTest) {
			pt.promoter.fencedOff = true
			pt.failCommand("b", 2, isResume)
		}, within: 3 * time.Second},
		"a newer term exists": {prepare: func(pt *pauseTest) {
			pt.promoter.onAcquire = func() { pt.promote("c") }
		}},
		"the order is lost": {
			prepare: func(pt *pauseTest) { pt.promoter.lost = 100 }, within: 6 * time.Second,
			promoted: []ServerID{"b", "b", "b", "b", "b", "b", "b", "b", "a"},
		},
		"the promotion takes long": {prepare: func(pt *pauseTest) { pt.promoter.delay = 3 * time.Second }, within: 12 * time.Second, promoted: []ServerID{"b", "a", "b"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runPauseTest(t, 1, func(pt *pauseTest) {
				if test.prepare != nil {
					test.prepare(pt)
				}
				_ = pt.replace()
				if test.within > 0 {
					pt.promoter.lost = len(pt.promoter.promoted)
					pt.check(pt.failover, test.within)
				}
				assert.Equal(t, len(pt.paused()), 0, "still paused: %v", pt.paused())
				assert.Equal(t, pt.promoter.record.Term, position.Term(0))
				assert.DeepEqual(t, pt.promoter.promoted, test.promoted)
			})
		})
	}
}

// Guards against replicas that stay paused for good because the VM that paused them is killed, or paused itself.
func TestPauseOfAnotherVMIsEnded(t *testing.T) {
	runPauseTest(t, 1, func(pt *pauseTest) {
		p := pt.leavePaused(t)
		assert.DeepEqual(t, pt.paused(), []ServerID{"b", "c"})
		other := pt.newFailover()
		pt.check(other, abandonedPauseAge-time.Second)
		assert.DeepEqual(t, pt.paused(), []ServerID{"b", "c"})
		pt.check(other, 4*time.Second)
		assert.Equal(t, len(pt.paused()), 0)
		// The first VM goes on: its order is refused, and it doesn't undo what the other one does.
		err := pt.promoter.Promote(pt.ctx, testService, "b", p.right.Token)
		assert.Assert(t, isType(err, ErrFenced), "%v", err)
		pt.failover.endPause(pt.ctx, p)
		primary, _ := pt.group.currentPrimary()
		assert.Equal(t, primary.pool.Server.ID, ServerID("a"))
	})
}

// Guards against a pause that isn't recorded, because the command was carried out late.
func TestUnrecordedPauseIsEnded(t *testing.T) {
	runPauseTest(t, 1, func(pt *pauseTest) {
		pt.onServer("c", func(s *memServer) { s.heldTerm = 7 })
		pt.check(pt.failover, time.Second)
		assert.Equal(t, len(pt.paused()), 0)
		assert.Equal(t, len(pt.promoter.promoted), 0)
	})
}

// asVM returns a context with which a VM calls the promoter.
func asVM(ctx context.Context, name VMName) context.Context {
	return context.WithValue(ctx, vmKey{}, name)
}

// Guards against two VMs that try at once: one whose attempt ends early must not make replicas receive again on whose
// pause the other one relies.
func TestPausesOfTwoVMs(t *testing.T) {
	tests := map[string]struct {
		// stalled is for how long the first VM is held up between its pause and its order.
		stalled time.Duration
		// secondEndsEarly is true if the second VM gives up once it has paused the replicas.
		secondEndsEarly bool
		isFirstRefused  bool
	}{
		"at the same time":                       {},
		"the first is held up":                   {stalled: failoverTimeout, isFirstRefused: true},
		"the first is held up, the second stops": {stalled: failoverTimeout, secondEndsEarly: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runPauseTest(t, 1, func(pt *pauseTest) {
				second := pt.newFailover()
				isNested := false
				// The second attempt runs when the first one has paused the replicas, before its order.
				pt.attempt.stands = func() bool {
					if len(pt.paused()) < 2 || isNested {
						return true
					}
					isNested = true
					clock.Sleep(pt.ctx, test.stalled)
					a, calls := replacement(pt.group), 0
					a.stands = func() bool { calls++; return !test.secondEndsEarly || calls < 2 }
					err := second.replacePrimary(asVM(pt.ctx, "second"), a)
					assert.Equal(t, err == nil, test.isFirstRefused, "%v", err)
					return true
				}
				err := pt.replace()
				if test.isFirstRefused {
					assert.Assert(t, err != nil)
				}
				clock.Sleep(pt.ctx, 2*pt.promoter.delay)
				assert.DeepEqual(t, pt.promoter.promoted, []ServerID{"b"})
				assert.DeepEqual(t, pt.pausedThen(), []ServerID{"b", "c"})
				for range 12 {
					pt.check(pt.failover, time.Second)
					second.checkPause(asVM(pt.ctx, "second"), pt.group)
				}
				assert.Equal(t, len(pt.paused()), 0)
				assert.Equal(t, pt.promoter.record.Term, position.Term(0))
			})
		})
	}
}

// Guards against an order that is carried out after the replicas receive again: it would promote a replica that lacks
// the commits since.
func TestLateOrderOfAPauseIsRefused(t *testing.T) {
	runPauseTest(t, 1, func(pt *pauseTest) {
		pt.promoter.lost = 100
		assert.Assert(t, pt.replace() != nil)
		late := pt.promoter.token
		assert.DeepEqual(t, pt.paused(), []ServerID{"b", "c"})
		pt.promoter.lost = len(pt.promoter.promoted)
		pt.check(pt.failover, 4*time.Second)
		assert.Equal(t, len(pt.paused()), 0)
		err := pt.promoter.Promote(pt.ctx, testService, "b", late)
		assert.Assert(t, isType(err, ErrFenced), "%v", err)
	})
}

// Guards against a hand-over with a token that was kept while another VM is about to replace the primary.
func TestHandOverOfConfirmedCommits(t *testing.T) {
	runPauseTest(t, 1, func(pt *pauseTest) {
		pt.attempt.decision = failover.HandOver
		assert.NilError(t, pt.replace())
		assert.Equal(t, pt.promoter.discarded, 1)
		assert.Equal(t, len(pt.paused()), 0)
		assert.Equal(t, len(pt.pausedThen()), 0)
	})
}
