package proxy

import (
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/clock"
	"github.com/savoryramp/savoryramp/internal/heartbeat"
	"github.com/savoryramp/savoryramp/pkg/failover"
)

// testServer returns a server of the testbed's group as the platform lists it.
func testServer(id ServerID) Server {
	return Server{ID: id, Service: testService, Address: Address(id), Slots: 2, Zone: AvailabilityZone(id), Primary: id == "a"}
}

// list has the platform list only some of the servers.
func (pt *pauseTest) list(ids ...ServerID) {
	var servers []Server
	for _, id := range ids {
		servers = append(servers, testServer(id))
	}
	pt.vm.SetServers(servers)
	pt.attempt = replacement(pt.group)
}

// crash ends servers' processes.
func (pt *pauseTest) crash(ids ...ServerID) {
	for _, id := range ids {
		pt.onServer(id, isDown)
	}
}

// restart starts crashed servers again, with their logs.
func (pt *pauseTest) restart(ids ...ServerID) {
	for _, id := range ids {
		pt.onServer(id, func(s *memServer) { s.fault, s.heldTerm = nil, 0 })
	}
}

// watch lets the VM evaluate the group's roster for some time.
func (pt *pauseTest) watch(lasts time.Duration) {
	view := failover.View{VM: "vm", Group: string(testService), IsVerifier: true}
	for began := clock.Now(); clock.Since(began) < lasts; {
		pt.failover.mu.Lock()
		pt.failover.watchRoster(pt.ctx, pt.group, view)
		pt.failover.mu.Unlock()
		clock.Sleep(pt.ctx, decisionInterval)
	}
	pt.failover.attempts.Wait()
}

// restartVM replaces the VM by one that knows nothing yet, with the servers that are listed.
func (pt *pauseTest) restartVM(ids ...ServerID) {
	pt.list()
	pt.group.mu.Lock()
	pt.group.roster, pt.group.primary = rosterMemory{}, ""
	pt.group.mu.Unlock()
	pt.failover = pt.newFailover()
	pt.list(ids...)
}

func (pt *pauseTest) configure(syncReplicas int) {
	pt.withdraw(func(c *Configuration) {
		c.Services[testService] = &Service{Name: testService, Connections: 9, SyncReplicas: syncReplicas}
	})
}

// Guards against the loss of confirmed commits when the platform's list shrinks: the servers that have confirmed them
// crash, their rows expire, and the one that is still listed is promoted without them.
func TestQuorumOutlivesRows(t *testing.T) {
	tests := map[string]struct {
		syncReplicas int
		prepare      func(pt *pauseTest)
		// want is the server that is promoted, empty for none.
		want ServerID
	}{
		"only a replica that fell behind is listed": {syncReplicas: 1, prepare: func(pt *pauseTest) {
			pt.crash("a", "b")
			pt.list("c")
		}},
		"none confirms": {syncReplicas: 0, prepare: func(pt *pauseTest) {
			pt.crash("a", "b")
			pt.list("c")
		}, want: "c"},
		"two confirm, one replica is listed": {syncReplicas: 2, prepare: func(pt *pauseTest) {
			pt.crash("a", "b")
			pt.list("c")
		}, want: "c"},
		"the primary is no longer listed": {syncReplicas: 1, prepare: func(pt *pauseTest) {
			pt.crash("a")
			pt.list("b", "c")
		}, want: "c"},
		"the replica is listed again": {syncReplicas: 1, prepare: func(pt *pauseTest) {
			pt.crash("a", "b")
			pt.list("c")
			assert.Assert(t, pt.replace() != nil)
			pt.restart("b")
			pt.moveLogs(30, 20)
			pt.list("b", "c")
		}, want: "b"},
		"all VMs start again": {syncReplicas: 1, prepare: func(pt *pauseTest) {
			pt.watch(time.Second)
			pt.crash("a", "b")
			pt.restartVM("c")
		}},
		"all VMs start again, the store doesn't answer": {syncReplicas: 1, prepare: func(pt *pauseTest) {
			pt.crash("a", "b")
			pt.promoter.unavailable = true
			pt.restartVM("c")
		}},
		"the operator gives the confirmed commits up": {syncReplicas: 1, prepare: func(pt *pauseTest) {
			pt.watch(time.Second)
			pt.crash("a", "b")
			pt.list("c")
			assert.Assert(t, pt.replace() != nil)
			pt.configure(0)
		}, want: "c"},
		"commits have since been confirmed by more replicas": {syncReplicas: 1, prepare: func(pt *pauseTest) {
			pt.watch(time.Second)
			pt.configure(2)
			pt.crash("a", "b")
			pt.list("c")
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runPauseTest(t, test.syncReplicas, func(pt *pauseTest) {
				pt.moveLogs(9, 20)
				test.prepare(pt)
				err := pt.replace()
				if test.want == "" {
					assert.Check(t, isType(err, ErrNotPromotable) || isType(err, ErrUnavailable), "%v", err)
					assert.Equal(t, len(pt.promoter.promoted), 0, "promoted: %v", pt.promoter.promoted)
					assert.Equal(t, len(pt.paused()), 0, "a pause for nothing: %v", pt.paused())
					return
				}
				assert.NilError(t, err)
				assert.DeepEqual(t, pt.promoter.promoted, []ServerID{test.want})
			})
		})
	}
}

// Guards against servers that are lost for good, replaced or drained and hold their group up for ever, and against ones
// that are forgotten while they may hold the only other copy of a confirmed commit.
func TestServersAreForgotten(t *testing.T) {
	tests := map[string]struct {
		prepare func(pt *pauseTest)
		// lasts is how long the VM watches, 3 * goneTime if it is zero.
		lasts time.Duration
		// want are the servers that are recorded then.
		want []string
	}{
		"all are listed": {want: []string{"a", "b", "c"}},
		"a replica is lost, the other one has all": {prepare: func(pt *pauseTest) {
			pt.crash("b")
			pt.list("a", "c")
		}, want: []string{"a", "c"}},
		"a replica is lost, but not for long": {prepare: func(pt *pauseTest) {
			pt.crash("b")
			pt.list("a", "c")
		}, lasts: goneTime - time.Second, want: []string{"a", "b", "c"}},
		"a replica is lost, the other one receives nothing": {prepare: func(pt *pauseTest) {
			pt.crash("b")
			pt.list("a", "c")
			pt.onServer("a", func(s *memServer) { s.logEnd.Offset = 99 })
			pt.onServer("c", func(s *memServer) { s.notReceiving = true })
		}, want: []string{"a", "b", "c"}},
		"both replicas are lost": {prepare: func(pt *pauseTest) {
			pt.crash("b", "c")
			pt.list("a")
		}, want: []string{"a", "b", "c"}},
		"a replica runs, but isn't listed": {prepare: func(pt *pauseTest) {
			pt.list("a", "c")
		}, want: []string{"a", "b", "c"}},
		"the primary is lost": {prepare: func(pt *pauseTest) {
			pt.crash("a")
			pt.list("b", "c")
		}, want: []string{"a", "b", "c"}},
		"the primary is lost and was replaced": {prepare: func(pt *pauseTest) {
			pt.promote("c")
			pt.onServer("b", func(s *memServer) { s.logEnd = pt.servers["c"].logEnd })
			pt.crash("a")
			pt.group.mu.Lock()
			pt.group.setPrimary("c", 2, "test")
			pt.group.mu.Unlock()
			pt.list("b", "c")
		}, want: []string{"b", "c"}},
		"a replica is drained and replaced at its address": {prepare: func(pt *pauseTest) {
			leaving, successor := testServer("b"), testServer("d")
			leaving.Leaving, successor.Address = true, leaving.Address
			pt.vm.SetServers([]Server{testServer("a"), leaving, testServer("c")})
			pt.crash("a", "b")
			pt.vm.SetServers([]Server{testServer("a"), testServer("c"), successor})
		}, lasts: 2 * time.Second, want: []string{"a", "c", "d"}},
		"another one starts at the address of a crashed replica": {prepare: func(pt *pauseTest) {
			successor := testServer("d")
			successor.Address = "b"
			pt.crash("a", "b")
			pt.vm.SetServers([]Server{testServer("a"), testServer("c"), successor})
		}, lasts: 2 * time.Second, want: []string{"a", "b", "c", "d"}},
		"the list is out of date": {prepare: func(pt *pauseTest) {
			pt.crash("b")
			pt.list("a", "c")
			pt.vm.ServerListAge = func() time.Duration { return maxListAge + 1 }
		}, want: []string{"a", "b", "c"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runPauseTest(t, 1, func(pt *pauseTest) {
				pt.servers["d"] = &memServer{id: "d"}
				pt.watch(2 * time.Second)
				if test.prepare != nil {
					test.prepare(pt)
				}
				if test.lasts == 0 {
					test.lasts = 3 * goneTime
				}
				pt.watch(test.lasts)
				assert.DeepEqual(t, slices.Sorted(maps.Keys(pt.promoter.roster.Servers)), test.want)
			})
		})
	}
}

// Guards against a VM that keeps, or records again, a server that another VM has forgotten.
func TestForgottenByAnotherVM(t *testing.T) {
	runPauseTest(t, 1, func(pt *pauseTest) {
		pt.watch(2 * time.Second)
		pt.list("a", "c")
		pt.promoter.roster = RecordedRoster{pt.promoter.roster.Reduce([]string{"b"}, 1, 1), pt.promoter.roster.Version + 1}
		pt.watch(4 * time.Second)
		assert.DeepEqual(t, slices.Sorted(maps.Keys(pt.promoter.roster.Servers)), []string{"a", "c"})
		assert.Equal(t, len(pt.group.unlistedServers()), 0)
	})
}

// Guards against a hand-over that waits for the answers of servers that are gone, although the successor gets the whole
// log of the primary.
func TestHandOverWithoutOthers(t *testing.T) {
	runPauseTest(t, 1, func(pt *pauseTest) {
		pt.crash("b")
		pt.list("a", "c")
		pt.attempt.decision = failover.HandOver
		assert.NilError(t, pt.replace())
		assert.DeepEqual(t, pt.promoter.promoted, []ServerID{"c"})
	})
}

// Guards against a VM that has just started and counts only the servers that are listed, because it hasn't read the
// record yet.
func TestRosterIsReadBeforeReplacement(t *testing.T) {
	runPauseTest(t, 1, func(pt *pauseTest) {
		pt.promoter.roster = RecordedRoster{Version: 3, Roster: failover.Roster{SyncReplicas: 1, Servers: map[string]failover.RosterServer{"x": {}, "y": {}}}}
		f := &Failover{VM: pt.vm, Promoter: pt.promoter, PromotionFences: true, Fleet: &heartbeat.Fleet{}, Logger: pt.failover.Logger, pending: map[ServiceName]pendingDecision{}}
		err := f.replacePrimary(pt.ctx, pt.attempt)
		assert.Check(t, isType(err, ErrNotPromotable), "%v", err)
		assert.DeepEqual(t, pt.group.unlistedServers(), []string{"x", "y"})
	})
}

// Guards against a VM that takes servers for forgotten because the store was restored from an older copy.
func TestRosterOfRestoredStore(t *testing.T) {
	runPauseTest(t, 1, func(pt *pauseTest) {
		pt.watch(2 * time.Second)
		pt.list("a", "c")
		pt.promoter.roster = RecordedRoster{}
		pt.watch(4 * time.Second)
		assert.DeepEqual(t, slices.Sorted(maps.Keys(pt.promoter.roster.Servers)), []string{"a", "b", "c"})
	})
}

// Guards against a VM that ends, or keeps a roster for nothing, because the configuration gives the confirmed commits up
// while the record is read.
func TestConfirmationEndsDuringRead(t *testing.T) {
	runPauseTest(t, 1, func(pt *pauseTest) {
		pt.watch(2 * time.Second)
		recorded := pt.promoter.roster
		pt.list("c")
		pt.configure(0)
		pt.group.mergeRecord(recorded)
		assert.Equal(t, len(pt.group.unlistedServers()), 0)
	})
}

// Guards against a rise of syncReplicas that counts at once because a server is forgotten: commits of before may yet be
// confirmed by fewer replicas.
func TestRiseOfSyncReplicas(t *testing.T) {
	tests := map[string]struct {
		lasts time.Duration
		want  int
	}{
		"at once": {lasts: goneTime - 2*time.Second, want: 1},
		"later":   {lasts: 2 * goneTime, want: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runPauseTest(t, 1, func(pt *pauseTest) {
				pt.promoter.roster = RecordedRoster{Version: 3, Roster: failover.Roster{SyncReplicas: 1, Servers: map[string]failover.RosterServer{"x": {Address: "x"}}}}
				pt.servers["x"] = &memServer{id: "x", fault: func(Command) fault { return breakBefore }}
				pt.watch(goneTime - time.Second)
				pt.configure(2)
				pt.watch(test.lasts)
				assert.Equal(t, pt.promoter.roster.SyncReplicas, test.want)
				assert.DeepEqual(t, slices.Sorted(maps.Keys(pt.promoter.roster.Servers)), []string{"a", "b", "c"})
			})
		})
	}
}

// Guards against a group that a server which is lost for good holds up: once the others have all that it could have
// confirmed, a later replacement doesn't wait for it.
func TestReplacementAfterLoss(t *testing.T) {
	tests := map[string]struct {
		watched time.Duration
		want    []ServerID
	}{
		"the lost server may have the only copy":           {watched: time.Second},
		"the remaining replica has all that it could have": {watched: 2 * goneTime, want: []ServerID{"c"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runPauseTest(t, 1, func(pt *pauseTest) {
				pt.watch(2 * time.Second)
				pt.crash("b")
				pt.list("a", "c")
				pt.watch(test.watched)
				pt.crash("a")
				pt.list("c")
				err := pt.replace()
				assert.Equal(t, err == nil, test.want != nil, "%v", err)
				assert.DeepEqual(t, pt.promoter.promoted, test.want)
			})
		})
	}
}
