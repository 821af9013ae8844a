package proxy

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/clock"
	"github.com/savoryramp/savoryramp/pkg/quota"
)

// startingFleet is a fleet of 84 VMs that this VM may not know yet.
type startingFleet struct{ settled *atomic.Bool }

func (startingFleet) Size() int                   { return 84 }
func (startingFleet) Rank() int                   { return 0 }
func (f startingFleet) Settled() bool             { return f.settled.Load() }
func (startingFleet) IsVerifier(ServiceName) bool { return false }

// After all VMs were killed, callers are back before the VMs know each other. Less urgent ones are
// told to return, spread by class; urgent ones are served as soon as the VM knows the others, or are
// told to return long before their deadline. No connection is opened meanwhile.
func TestCallersBeforeFleetIsKnown(t *testing.T) {
	fleet := startingFleet{&atomic.Bool{}}
	runScheduledWith(t, func(v *VM) { v.Fleet = fleet }, func(tb *testbed) {
		for range 20 {
			for database, window := range map[DatabaseName][2]time.Duration{
				ownDatabase:     {startSpread / 3, startSpread * 2 / 3},
				boundedDatabase: {startSpread * 2 / 3, startSpread},
			} {
				for _, s := range []Statement{read("1"), write("1"), Begin{}} {
					c := tb.openSession(database)
					began := time.Now()
					a := c.exec(s)
					assert.Equal(t, a.Failure, Busy)
					assert.Equal(t, time.Since(began), time.Duration(0))
					var ms int
					_, err := fmt.Sscanf(a.Detail, "retry-after-ms=%d", &ms)
					assert.NilError(t, err)
					wait := time.Duration(ms) * time.Millisecond
					assert.Assert(t, wait >= window[0] && wait <= window[1]+time.Millisecond, "%s: %s", database, wait)
					c.Close()
				}
			}
		}
		c := tb.openSession(testDatabase)
		began := time.Now()
		assert.Equal(t, c.exec(write("1")).Failure, Busy)
		assert.Equal(t, time.Since(began), maxSettleWait)
		assert.Equal(t, tb.countOpened(), 0)
		time.AfterFunc(200*time.Millisecond, func() { fleet.settled.Store(true) })
		began = time.Now()
		assert.Equal(t, c.exec(write("1")).Failure, NoFailure)
		assert.Assert(t, time.Since(began) < 300*time.Millisecond, "%s", time.Since(began))
		c.Close()
	})
}

// The verifiers of a primary don't open their connections to it all at the same time after all VMs
// were killed.
func TestVerifiersOpenOneAfterTheOther(t *testing.T) {
	const slots, handshake = 4, 12 * time.Millisecond
	runScheduled(t, func(tb *testbed) {
		began := clock.Now()
		var at []time.Duration
		for i := range MaxVerifiers {
			v := &VM{Name: VMName(fmt.Sprint("vm-", i)), PriorityScheduling: true, Relay: tb.relay}
			v.startedAt.Store(int64(began))
			at = append(at, serverKeepTime+verifierSpread)
			for d := time.Duration(0); d < serverKeepTime+verifierSpread; d += time.Millisecond {
				v.startedAt.Store(int64(began.Add(-d)))
				if v.mayOpenToVerify("i-1") {
					at[i] = d
					break
				}
			}
		}
		for _, from := range at {
			assert.Assert(t, from >= serverKeepTime)
			n := 0
			for _, other := range at {
				if other >= from && other < from+handshake {
					n++
				}
			}
			assert.Assert(t, n < slots, "%d openings within %s: %v", n, handshake, at)
		}
		assert.Assert(t, (&VM{Name: "vm-1"}).mayOpenToVerify("i-1"))
	})
}

// Reads leave the primary to more urgent statements that wait there, unless all replicas take much
// longer.
func TestReadsLeavePrimaryToUrgentWork(t *testing.T) {
	primary := Candidate{ID: "a", IsPrimary: true, SameZone: true, LatencyFactor: 1}
	contended := primary
	contended.Availability = availability{moreUrgentWaiting: 1}
	waiting := func(wait time.Duration) Candidate {
		return Candidate{ID: "b", LatencyFactor: 1, Availability: availability{wait: wait}}
	}
	for name, test := range map[string]struct {
		list []Candidate
		want ServerID
	}{
		"primary without urgent work":           {[]Candidate{primary, waiting(50 * time.Millisecond)}, "a"},
		"urgent work waits at the primary":      {[]Candidate{contended, waiting(50 * time.Millisecond)}, "b"},
		"the replica takes much longer":         {[]Candidate{contended, waiting(200 * time.Millisecond)}, "a"},
		"urgent work at a replica changes less": {[]Candidate{{ID: "b", LatencyFactor: 1, Availability: availability{moreUrgentWaiting: 5}}, primary}, "b"},
	} {
		t.Run(name, func(t *testing.T) {
			got, found := ChooseServer(test.list, 20*time.Millisecond)
			assert.Assert(t, found)
			assert.Equal(t, got.ID, test.want)
		})
	}
}

// A request is refused without being sent if, by what the servers told in the last second, all of
// them would serve it too late, and only then.
func TestRefusalByForecast(t *testing.T) {
	late := ServerLoad{InService: 2, Limit: 2, Waiting: 100, ExpectedWaitMs: 1500}
	for name, test := range map[string]struct {
		database DatabaseName
		late     []ServerID
		age      time.Duration
		want     Failure
	}{
		"all servers late":            {database: boundedDatabase, late: []ServerID{"a", "b", "c"}, want: Busy},
		"one server has room":         {database: boundedDatabase, late: []ServerID{"a", "b"}, want: NoFailure},
		"a strict read, primary late": {database: testDatabase, late: []ServerID{"a"}, want: Busy},
		"the news are old":            {database: boundedDatabase, late: []ServerID{"a", "b", "c"}, age: loadTTL, want: NoFailure},
		"the queues have drained":     {database: boundedDatabase, late: []ServerID{"a", "b", "c"}, age: 900 * time.Millisecond, want: NoFailure},
	} {
		t.Run(name, func(t *testing.T) {
			runScheduled(t, func(tb *testbed) {
				tb.relayThroughOwner()
				g := tb.vm.group(testService)
				for _, id := range test.late {
					for p := range Priority(3) {
						g.observeLoad(id, p, late)
					}
				}
				clock.Sleep(tb.ctx, test.age)
				c := tb.openSession(test.database)
				began := time.Now()
				a := c.exec(read("1"))
				assert.Equal(t, a.Failure, test.want, a.Detail)
				if test.want == Busy {
					assert.Equal(t, tb.countRuns("READ 1"), 0)
					assert.Assert(t, time.Since(began) < 50*time.Millisecond, "%s", time.Since(began))
					assert.Assert(t, a.RetryAfter >= 1400*time.Millisecond && a.RetryAfter <= 1800*time.Millisecond, "%s", a.RetryAfter)
				}
				c.Close()
			})
		})
	}
}

// The reads of a workspace prefer one replica, the same on all VMs, so that few connections are
// opened. The workspaces are divided evenly, and the primary is left to writes.
func TestReadsPreferOneReplica(t *testing.T) {
	runScheduled(t, func(tb *testbed) {
		g := tb.vm.group(testService)
		g.mu.Lock()
		defer g.mu.Unlock()
		counts := map[ServerID]int{}
		const workspaces = 1000
		for i := range workspaces {
			n := 0
			for id, m := range g.members {
				if g.isPreferred(m, WorkspaceName(fmt.Sprint("w", i))) {
					counts[id]++
					n++
				}
			}
			assert.Equal(t, n, 1)
		}
		assert.Assert(t, counts["a"] == 0 && counts["b"] > 400 && counts["c"] > 400, "%v", counts)
	})
}

// Workspaces with a large part of the demand prefer no server, since one server would have all their
// load.
func TestLargeWorkspacesPreferNoReplica(t *testing.T) {
	limiter := &quota.Limiter{Now: func() time.Duration { return time.Hour }, VMCount: func() int { return 1 }}
	for i := range 60 {
		limiter.Admit(fmt.Sprint("small", i), 1e6, 1e6)
	}
	for range 10 {
		limiter.Admit("large", 1e6, 1e6)
	}
	v := &VM{Quota: limiter, PriorityScheduling: true}
	assert.Assert(t, !v.isLarge("large"))
	v.updateLargeWorkspaces()
	assert.Assert(t, v.isLarge("large") && !v.isLarge("small1"))
}
