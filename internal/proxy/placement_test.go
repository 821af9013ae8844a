package proxy

import (
	"context"
	"maps"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/clock"
	"github.com/savoryramp/savoryramp/internal/heartbeat"
	"github.com/savoryramp/savoryramp/pkg/failover"
	"github.com/savoryramp/savoryramp/pkg/placement"
)

// evacuationBound leaves a grace of three seconds.
const evacuationBound = 5 * time.Second

// runEvacuationTest is runTest with a VM that knows that no zone is being evacuated.
func runEvacuationTest(t *testing.T, test func(tb *testbed)) {
	runTestWith(t, func(v *VM) { v.Placement = &Placement{Rule: placement.Evacuation{Bound: evacuationBound}} }, func(tb *testbed) {
		assert.Assert(t, !tb.vm.IsReady(), "a VM that doesn't know which zones are being evacuated")
		tb.vm.SetEvacuated(nil)
		assert.Assert(t, tb.vm.IsReady())
		awaitVerifiedPrimary()
		test(tb)
	})
}

// evacuate begins the evacuation of zones, each with the server of the same name, and ends that of all
// others.
func evacuate(v *VM, zones ...AvailabilityZone) {
	since := map[AvailabilityZone]clock.Instant{}
	before := map[AvailabilityZone]clock.Instant{}
	v.Placement.mu.Lock()
	maps.Copy(before, v.Placement.since)
	v.Placement.mu.Unlock()
	for _, zone := range zones {
		since[zone] = clock.Now()
		if at, found := before[zone]; found {
			since[zone] = at
		}
	}
	v.SetEvacuated(since)
}

// contactedSince reports whether a server got a command or a new connection since a time.
func (tb *testbed) contactedSince(id ServerID, at time.Time) bool {
	synctest.Wait()
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.contacted[id].After(at)
}

// countOpened returns the number of attempts to open a connection so far.
func (tb *testbed) countOpened() int {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.opened
}

// openLinks returns the number of open connections to a server.
func (tb *testbed) openLinks(id ServerID) int {
	synctest.Wait()
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.servers[id].open
}

// assertRefused checks that a request was refused at once, with the time to return.
func assertRefused(t *testing.T, c *client, s Statement) {
	t.Helper()
	began := time.Now()
	a := c.exec(s)
	assert.Equal(t, a.Failure, Busy, a.Detail)
	assert.Assert(t, strings.Contains(a.Detail, "retry-after-ms="), a.Detail)
	assert.Equal(t, time.Since(began), time.Duration(0), "refused late: %s", a.Detail)
}

func TestEvacuation(t *testing.T) {
	tests := map[string]func(t *testing.T, tb *testbed){
		"reads leave a replica's zone at once": func(t *testing.T, tb *testbed) {
			c := tb.openSession(boundedDatabase)
			assert.Equal(t, c.exec(read("1")).Failure, NoFailure)
			assert.Equal(t, tb.lastServer("READ 1"), ServerID("b"))
			evacuate(tb.vm, "b")
			at := time.Now()
			for range 20 {
				a := c.exec(read("2"))
				assert.Equal(t, a.Failure, NoFailure, a.Detail)
				assert.Assert(t, tb.lastServer("READ 2") != "b")
			}
			assert.Assert(t, !tb.contactedSince("b", at))
			assert.Equal(t, tb.openLinks("b"), 0)
			c.Close()
		},
		"a primary serves during the grace and gets nothing after it": func(t *testing.T, tb *testbed) {
			c := tb.openSession(testDatabase)
			assert.Equal(t, c.exec(write("1")).Failure, NoFailure)
			evacuate(tb.vm, "a")
			opened := tb.countOpened()
			for began := time.Now(); time.Since(began) < time.Second; clock.Sleep(tb.ctx, 50*time.Millisecond) {
				assert.Equal(t, c.exec(write("2")).Failure, NoFailure)
				assert.Equal(t, c.exec(read("2")).Failure, NoFailure)
			}
			holder := tb.openSession(testDatabase)
			assert.Equal(t, holder.exec(Begin{}).Failure, NoFailure)
			assert.Equal(t, holder.exec(write("4")).Failure, NoFailure)
			c.exec(write("5"))
			holder.Close()
			assert.Equal(t, tb.countOpened(), opened, "a connection was opened")
			clock.Sleep(tb.ctx, 2*time.Second)
			assert.Equal(t, tb.openLinks("a"), 0)
			at := time.Now()
			for range 20 {
				assertRefused(t, c, write("3"))
				assertRefused(t, c, read("3"))
				clock.Sleep(tb.ctx, 100*time.Millisecond)
			}
			assert.Assert(t, !tb.contactedSince("a", at))
			c.Close()
		},
		"an idle transaction ends with the grace": func(t *testing.T, tb *testbed) {
			tb.vm.Configuration().TransactionIdleTimeout = time.Minute
			for name, last := range map[string]Statement{"commit": Commit{}, "write": write("4"), "rollback": Rollback{}, "gone": nil} {
				c := tb.openSession(testDatabase)
				assert.Equal(t, c.exec(Begin{}).Failure, NoFailure)
				assert.Equal(t, c.exec(write("1")).Failure, NoFailure)
				evacuate(tb.vm, "a")
				clock.Sleep(tb.ctx, 2*time.Second)
				assert.Equal(t, c.exec(write("2")).Failure, NoFailure, "%s: in the grace", name)
				clock.Sleep(tb.ctx, 1100*time.Millisecond)
				assert.Equal(t, tb.openLinks("a"), 0, name)
				at := time.Now()
				switch last {
				case nil:
					c.Close()
				case Rollback{}:
					assert.Equal(t, c.exec(last).Failure, NoFailure, name)
				default:
					a := c.exec(last)
					assert.Equal(t, a.Failure, Aborted, "%s: %s", name, a.Detail)
				}
				assert.Assert(t, !tb.contactedSince("a", at), name)
				c.Close()
				evacuate(tb.vm)
				awaitVerifiedPrimary()
			}
			assert.Equal(t, tb.countRuns("COMMIT"), 0)
		},
		"a read-only transaction on a replica goes on during the grace": func(t *testing.T, tb *testbed) {
			tb.vm.Configuration().TransactionIdleTimeout = time.Minute
			c := tb.openSession(boundedDatabase)
			assert.Equal(t, c.exec(Begin{ReadOnly: true}).Failure, NoFailure)
			assert.Equal(t, c.exec(read("1")).Failure, NoFailure)
			evacuate(tb.vm, "b")
			clock.Sleep(tb.ctx, 2*time.Second)
			assert.Equal(t, c.exec(read("2")).Failure, NoFailure)
			assert.Equal(t, tb.lastServer("READ 2"), ServerID("b"))
			clock.Sleep(tb.ctx, 1100*time.Millisecond)
			assert.Equal(t, c.exec(read("3")).Failure, Aborted)
			assert.Equal(t, tb.openLinks("b"), 0)
			c.Close()
		},
		"a statement that was sent before is answered": func(t *testing.T, tb *testbed) {
			c := tb.openSession(testDatabase)
			assert.Equal(t, c.exec(write("1")).Failure, NoFailure)
			tb.onServer("a", func(s *memServer) { s.work = 150 * time.Millisecond })
			evacuate(tb.vm, "a")
			clock.Sleep(tb.ctx, 2900*time.Millisecond)
			a := c.exec(write("2"))
			assert.Equal(t, a.Failure, NoFailure, a.Detail)
			assertRefused(t, c, write("3"))
			clock.Sleep(tb.ctx, verifyTimeout)
			assert.Equal(t, tb.openLinks("a"), 0)
			c.Close()
		},
		"an end of the evacuation brings the servers back": func(t *testing.T, tb *testbed) {
			c, r := tb.openSession(testDatabase), tb.openSession(boundedDatabase)
			assert.Equal(t, c.exec(write("1")).Failure, NoFailure)
			evacuate(tb.vm, "a", "b")
			clock.Sleep(tb.ctx, evacuationBound)
			assertRefused(t, c, write("2"))
			evacuate(tb.vm)
			awaitVerifiedPrimary()
			assert.Equal(t, c.exec(write("3")).Failure, NoFailure)
			evacuate(tb.vm, "a", "c")
			assert.Equal(t, r.exec(read("4")).Failure, NoFailure)
			assert.Equal(t, tb.lastServer("READ 4"), ServerID("b"))
			c.Close()
			r.Close()
		},
		"two zones, one after the other": func(t *testing.T, tb *testbed) {
			r := tb.openSession(boundedDatabase)
			assert.Equal(t, r.exec(read("1")).Failure, NoFailure)
			evacuate(tb.vm, "b")
			clock.Sleep(tb.ctx, time.Second)
			evacuate(tb.vm, "b", "c")
			a := r.exec(read("2"))
			assert.Equal(t, a.Failure, NoFailure, a.Detail)
			assert.Equal(t, tb.lastServer("READ 2"), ServerID("a"))
			assert.Equal(t, tb.openLinks("b")+tb.openLinks("c"), 0)
			r.Close()
		},
		"all zones": func(t *testing.T, tb *testbed) {
			c, r := tb.openSession(testDatabase), tb.openSession(boundedDatabase)
			assert.Equal(t, c.exec(Begin{}).Failure, NoFailure)
			assert.Equal(t, c.exec(write("1")).Failure, NoFailure)
			evacuate(tb.vm, "a", "b", "c")
			assertRefused(t, r, read("2"))
			assertRefused(t, r, write("2"))
			assert.Equal(t, c.exec(Commit{}).Failure, NoFailure, "open transactions have the grace")
			assertRefused(t, c, read("2"))
			clock.Sleep(tb.ctx, 3100*time.Millisecond)
			at := time.Now()
			clock.Sleep(tb.ctx, 10*time.Second)
			for _, id := range []ServerID{"a", "b", "c"} {
				assert.Assert(t, !tb.contactedSince(id, at), "%s", id)
			}
			c.Close()
			r.Close()
		},
		"a zone without servers": func(t *testing.T, tb *testbed) {
			c := tb.openSession(testDatabase)
			evacuate(tb.vm, "elsewhere")
			clock.Sleep(tb.ctx, evacuationBound)
			assert.Equal(t, c.exec(write("1")).Failure, NoFailure)
			assert.Equal(t, c.exec(read("1")).Failure, NoFailure)
			c.Close()
		},
		"a primary that was handed over is found": func(t *testing.T, tb *testbed) {
			c := tb.openSession(testDatabase)
			assert.Equal(t, c.exec(write("0")).Failure, NoFailure)
			evacuate(tb.vm, "a")
			clock.Sleep(tb.ctx, 2*time.Second)
			tb.promote("c")
			a := c.exec(write("1"))
			assert.Equal(t, a.Failure, NoFailure, a.Detail)
			assert.Equal(t, tb.lastServer("WRITE 1 x"), ServerID("c"))
			c.Close()
		},
		"a VM that learns late finds the primary elsewhere": func(t *testing.T, tb *testbed) {
			tb.promote("c")
			tb.vm.SetEvacuated(map[AvailabilityZone]clock.Instant{"a": clock.Now().Add(-time.Minute)})
			at := time.Now()
			clock.Sleep(tb.ctx, 2*searchInterval)
			c := tb.openSession(testDatabase)
			a := c.exec(write("1"))
			assert.Equal(t, a.Failure, NoFailure, a.Detail)
			assert.Assert(t, !tb.contactedSince("a", at))
			c.Close()
		},
		"progress is shown": func(t *testing.T, tb *testbed) {
			c := tb.openSession(testDatabase)
			assert.Equal(t, c.exec(write("1")).Failure, NoFailure)
			evacuate(tb.vm, "a")
			clock.Sleep(tb.ctx, time.Second)
			s := tb.vm.State()
			assert.Equal(t, len(s.Evacuations), 1)
			assert.Equal(t, s.Evacuations[0].GraceMs, int64(2000))
			assert.Assert(t, s.Evacuations[0].Connections > 0)
			clock.Sleep(tb.ctx, 2200*time.Millisecond)
			assert.DeepEqual(t, tb.vm.State().Evacuations[0], EvacuationState{Zone: "a", ElapsedMs: 3200})
			c.Close()
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runEvacuationTest(t, func(tb *testbed) { test(t, tb) })
		})
	}
}

// The VM that owns connections checks again what other VMs send, since they may not know of an
// evacuation yet.
func TestOwnerChecksEvacuation(t *testing.T) {
	runTestWith(t, func(v *VM) { v.Placement = &Placement{Rule: placement.Evacuation{Bound: evacuationBound}} }, func(tb *testbed) {
		tb.vm.SetEvacuated(nil)
		relay := tb.relayThroughOwner()
		owner := relay.owner
		c, r, idle := tb.openSession(testDatabase), tb.openSession(boundedDatabase), tb.openSession(testDatabase)
		assert.Equal(t, r.exec(read("1")).Failure, NoFailure)
		assert.Equal(t, idle.exec(Begin{}).Failure, NoFailure)
		assert.Equal(t, idle.exec(write("1")).Failure, NoFailure)
		assert.Equal(t, tb.lastServer("READ 1"), ServerID("b"))
		assert.Equal(t, c.exec(write("1")).Failure, NoFailure)
		evacuate(owner, "a", "b")
		for range 5 {
			began := time.Now()
			a := r.exec(read("2"))
			assert.Equal(t, a.Failure, NoFailure, a.Detail)
			assert.Assert(t, tb.lastServer("READ 2") != "b", "%s", tb.lastServer("READ 2"))
			assert.Assert(t, time.Since(began) < 50*time.Millisecond, "the owner didn't refuse at once: %s", time.Since(began))
		}
		assert.Equal(t, c.exec(write("2")).Failure, NoFailure)
		clock.Sleep(tb.ctx, 2800*time.Millisecond)
		before := tb.countRuns("COMMIT")
		clock.Sleep(tb.ctx, 400*time.Millisecond)
		a := idle.exec(Commit{})
		assert.Equal(t, a.Failure, Aborted, a.Detail)
		assert.Equal(t, tb.countRuns("COMMIT"), before)
		assert.Equal(t, c.exec(write("3")).Failure, Busy)
		assert.Equal(t, tb.countRuns("WRITE 3 x"), 0)
		for _, c := range []*client{c, r, idle} {
			c.Close()
		}
	})
}

// A primary in a zone that is being evacuated is handed over, and servers in such zones are neither
// asked nor promoted.
func TestEvacuationHandsOver(t *testing.T) {
	tests := map[string]struct {
		// evacuated zones, the first of them elapsed ago.
		evacuated []AvailabilityZone
		elapsed   time.Duration
		decision  failover.Decision
		sync      int
		want      ServerID
		// wantDecision is that of a VM that sees the primary as usable.
		wantDecision failover.Decision
	}{
		"the primary's zone":                          {evacuated: []AvailabilityZone{"a"}, decision: failover.HandOver, want: "b", wantDecision: failover.HandOver},
		"the primary's zone and another one":          {evacuated: []AvailabilityZone{"a", "b"}, decision: failover.HandOver, want: "c", wantDecision: failover.HandOver},
		"commits are confirmed by a replica":          {evacuated: []AvailabilityZone{"a", "b"}, decision: failover.HandOver, sync: 1, want: "c", wantDecision: failover.HandOver},
		"all zones":                                   {evacuated: []AvailabilityZone{"a", "b", "c"}, decision: failover.HandOver, wantDecision: failover.Keep},
		"the grace is over":                           {evacuated: []AvailabilityZone{"a"}, elapsed: 4 * time.Second, decision: failover.HandOver, wantDecision: failover.Keep},
		"a replica's zone, the primary fails":         {evacuated: []AvailabilityZone{"b"}, decision: failover.Replace, want: "c", wantDecision: failover.Keep},
		"the only confirming replica may be the lost": {evacuated: []AvailabilityZone{"b"}, decision: failover.Replace, sync: 1, wantDecision: failover.Keep},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runEvacuationTest(t, func(tb *testbed) {
				g := tb.vm.group(testService)
				tb.vm.Configuration().Services[testService].SyncReplicas = test.sync
				promoter := &fakePromoter{testbed: tb, delay: 100 * time.Millisecond}
				f := &Failover{VM: tb.vm, Promoter: promoter, Logger: log.NewNopLogger()}
				since := map[AvailabilityZone]clock.Instant{}
				for _, zone := range test.evacuated {
					since[zone] = clock.Now().Add(-test.elapsed)
				}
				tb.vm.SetEvacuated(since)
				assert.Equal(t, g.failoverView([]heartbeat.Peer{}, true).Decide(), test.wantDecision)
				if test.decision == failover.Replace {
					tb.onServer("a", func(s *memServer) { s.fault = func(Command) fault { return breakBefore } })
				}
				at := time.Now()
				// While most of the servers that may be asked don't answer, the first attempts promote none.
				first := time.Now().Add(-5 * time.Second)
				err := f.replacePrimary(tb.ctx, attempt{group: g, decision: test.decision, oldPrimary: g.members["a"], first: first, stands: func() bool { return true }})
				if test.want == "" {
					assert.Assert(t, err != nil)
					assert.Equal(t, len(promoter.promoted), 0)
				} else {
					assert.NilError(t, err)
					assert.DeepEqual(t, promoter.promoted, []ServerID{test.want})
				}
				for _, zone := range test.evacuated {
					if zone != "a" {
						assert.Assert(t, !tb.contactedSince(ServerID(zone), at), "%s", zone)
					}
				}
			})
		})
	}
}

// The zone of the chosen replica begins to be evacuated while the replicas are asked.
func TestEvacuationDuringPromotion(t *testing.T) {
	for _, decision := range []failover.Decision{failover.HandOver, failover.Replace} {
		t.Run(string(decision), func(t *testing.T) {
			runEvacuationTest(t, func(tb *testbed) {
				g := tb.vm.group(testService)
				if decision == failover.HandOver {
					evacuate(tb.vm, "a")
				} else {
					tb.onServer("a", func(s *memServer) { s.fault = func(Command) fault { return breakBefore } })
				}
				promoter := &fakePromoter{testbed: tb}
				f := &Failover{VM: tb.vm, Promoter: promoter, Logger: log.NewNopLogger()}
				tb.onServer("b", func(s *memServer) {
					s.fault = func(c Command) fault {
						if _, asks := c.(QueryStatus); asks {
							evacuateAsync(tb, "a", "b")
						}
						return faultNone
					}
				})
				err := f.replacePrimary(tb.ctx, attempt{group: g, decision: decision, oldPrimary: g.members["a"], first: time.Now(), stands: func() bool { return true }})
				assert.Assert(t, err != nil)
				assert.Equal(t, len(promoter.promoted), 0)
				tb.mu.Lock()
				defer tb.mu.Unlock()
				assert.Equal(t, tb.primary, ServerID("a"), "the primary was stopped")
			})
		})
	}
}

// evacuateAsync evacuates zones from within a server, whose testbed is locked.
func evacuateAsync(tb *testbed, zones ...AvailabilityZone) {
	tb.tasks.Go(func() { evacuate(tb.vm, zones...) })
}

// A VM that was paused sends nothing before it knows again which zones are being evacuated.
func TestPausedVMAsksBeforeItSends(t *testing.T) {
	var paused atomic.Bool
	wait := func(until time.Time) bool {
		if paused.Load() {
			clock.Sleep(context.Background(), time.Until(until))
		}
		return !paused.Load()
	}
	runTestWith(t, func(v *VM) {
		v.Placement = &Placement{Rule: placement.Evacuation{Bound: evacuationBound}, AwaitCurrent: wait}
	}, func(tb *testbed) {
		tb.vm.SetEvacuated(nil)
		awaitVerifiedPrimary()
		c := tb.openSession(testDatabase)
		assert.Equal(t, c.exec(write("1")).Failure, NoFailure)
		paused.Store(true)
		a := c.exec(write("2"))
		assert.Equal(t, a.Failure, Busy, a.Detail)
		assert.Equal(t, tb.countRuns("WRITE 2 x"), 0)
		paused.Store(false)
		c.Close()
	})
}
