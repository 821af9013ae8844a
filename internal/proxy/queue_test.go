package proxy

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/clock"
	"github.com/savoryramp/savoryramp/pkg/schedule"
)

// hotKey is the key of workspace "hot".
const hotKey Key = "hot-key"

// scheduledConfiguration gives the routes different priorities: strict 0, own 1, bounded 2.
func scheduledConfiguration() *Configuration {
	c := testConfiguration(2)
	for name, p := range map[DatabaseName]Priority{testDatabase: 0, ownDatabase: 1, boundedDatabase: 2} {
		c.Routes[name].Priority, c.Routes[name].TargetLatency = p, 100*time.Millisecond
	}
	c.Services[testService].Connections = 24
	hot := &Workspace{Name: "hot"}
	c.Workspaces[hot.Name], c.Keys[hotKey] = hot, hot
	return c
}

// runScheduled runs a test with a VM that orders statements by urgency. The primary "a" has two
// slots, and its statements take 40 ms.
func runScheduled(t *testing.T, test func(tb *testbed)) {
	runScheduledWith(t, func(*VM) {}, test)
}

// runScheduledWith is runScheduled with a change to the VM before it starts.
func runScheduledWith(t *testing.T, change func(*VM), test func(tb *testbed)) {
	runTestWith(t, func(v *VM) {
		v.PriorityScheduling = true
		change(v)
	}, func(tb *testbed) {
		tb.vm.Configure(scheduledConfiguration(), "test")
		awaitVerifiedPrimary()
		tb.onServer("a", func(s *memServer) { s.work = 40 * time.Millisecond })
		test(tb)
	})
}

// answered is an answer and how long it took.
type answered struct {
	Answer
	took time.Duration
}

// flood starts a number of callers that each send one write, and returns their answers.
func (tb *testbed) flood(n int, database DatabaseName, key Key) <-chan answered {
	answers := make(chan answered, n)
	var tasks sync.WaitGroup
	for i := range n {
		c := tb.startClient(database, key)
		<-c.replies
		tasks.Go(func() {
			began := time.Now()
			a := c.exec(write(fmt.Sprint(database, i)))
			answers <- answered{a, time.Since(began)}
			c.Close()
		})
	}
	go func() {
		tasks.Wait()
		close(answers)
	}()
	return answers
}

func (tb *testbed) primaryPool() *Pool { return tb.vm.member(testService, "a").pool }

// An urgent statement is served before less urgent ones that have waited longer.
func TestUrgentStatementOvertakes(t *testing.T) {
	runScheduled(t, func(tb *testbed) {
		answers := tb.flood(20, boundedDatabase, hotKey)
		clock.Sleep(tb.ctx, 60*time.Millisecond)
		c := tb.openSession(testDatabase)
		began := time.Now()
		assert.Equal(t, c.exec(write("urgent")).Failure, NoFailure)
		// One statement's time to get a place, one to open a connection in it, one to run.
		took := time.Since(began)
		assert.Assert(t, took <= 40*time.Millisecond+tb.handshake+40*time.Millisecond, "%s", took)
		c.Close()
		for a := range answers {
			assert.Equal(t, a.Failure, NoFailure, a.Detail)
		}
	})
}

// Statements and openings of connections together take no more places than the server has slots.
func TestPlacesCoverOpenings(t *testing.T) {
	runScheduled(t, func(tb *testbed) {
		tb.setHandshake(30 * time.Millisecond)
		answers, hot := tb.flood(6, testDatabase, testKey), tb.flood(6, ownDatabase, hotKey)
		q := tb.primaryPool().Queue
		for range 100 {
			clock.Sleep(tb.ctx, 2*time.Millisecond)
			tb.mu.Lock()
			opening := tb.openingNow
			tb.mu.Unlock()
			l := q.load(Urgency{})
			assert.Assert(t, l.InService <= 2 && opening <= l.InService, "%d in service, %d openings", l.InService, opening)
		}
		for a := range answers {
			assert.Equal(t, a.Failure, NoFailure, a.Detail)
		}
		for a := range hot {
			assert.Equal(t, a.Failure, NoFailure, a.Detail)
		}
		assert.Equal(t, q.load(Urgency{}).InService, 0)
	})
}

// What can't be served in time is refused at once with a time to return, and a caller that returns
// then is served.
func TestRefusedCallerReturns(t *testing.T) {
	runScheduled(t, func(tb *testbed) {
		for a := range tb.flood(8, ownDatabase, testKey) {
			assert.Equal(t, a.Failure, NoFailure, a.Detail)
		}
		answers := tb.flood(60, ownDatabase, testKey)
		clock.Sleep(tb.ctx, 20*time.Millisecond)
		c := tb.openSession(ownDatabase)
		began := time.Now()
		a := c.exec(write("refused"))
		assert.Equal(t, a.Failure, Busy)
		assert.Equal(t, time.Since(began), time.Duration(0))
		assert.Assert(t, a.RetryAfter > 0 && strings.Contains(a.Detail, "retry-after-ms="), "%s", a.Detail)
		clock.Sleep(tb.ctx, a.RetryAfter)
		assert.Equal(t, c.exec(write("returned")).Failure, NoFailure)
		c.Close()
		for a := range answers {
			assert.Assert(t, a.Succeeded() || a.Failure == Busy && a.RetryAfter > 0, a.Detail)
		}
	})
}

// A statement of an open transaction is served before those that wait, and a transaction that
// begins waits for its turn in its class.
func TestOpenTransactionFirst(t *testing.T) {
	runScheduled(t, func(tb *testbed) {
		c := tb.openSession(boundedDatabase)
		assert.Equal(t, c.exec(Begin{}).Failure, NoFailure)
		assert.Equal(t, c.exec(write("1")).Failure, NoFailure)
		answers := tb.flood(20, testDatabase, hotKey)
		clock.Sleep(tb.ctx, 60*time.Millisecond)
		began := time.Now()
		assert.Equal(t, c.exec(Commit{}).Failure, NoFailure)
		assert.Assert(t, time.Since(began) <= 80*time.Millisecond, "%s", time.Since(began))
		began = time.Now()
		assert.Equal(t, c.exec(Begin{}).Failure, NoFailure)
		assert.Equal(t, c.exec(write("2")).Failure, NoFailure)
		assert.Assert(t, time.Since(began) > 100*time.Millisecond, "%s", time.Since(began))
		c.Close()
		for a := range answers {
			assert.Equal(t, a.Failure, NoFailure, a.Detail)
		}
	})
}

// A transaction that begins keeps its place for its first statement only for a short time, since
// the VM that began it may have failed.
func TestPlaceOfTransactionExpires(t *testing.T) {
	runScheduled(t, func(tb *testbed) {
		rs := RemoteSession{VM: tb.vm}
		b := Batch{Service: testService, Server: "a", Workspace: "amman", Within: time.Second, Commands: []Command{BeginAt{}}}
		_, err := rs.Exec(tb.ctx, b)
		assert.NilError(t, err)
		q := tb.primaryPool().Queue
		assert.Equal(t, q.load(Urgency{}).InService, 1)
		clock.Sleep(tb.ctx, placeHoldTime+time.Millisecond)
		assert.Equal(t, q.load(Urgency{}).InService, 0)
		b.Commands, b.Open = []Command{Forward{ID: "1", Statement: write("1")}}, true
		_, err = rs.Exec(tb.ctx, b)
		assert.NilError(t, err)
		assert.Equal(t, q.load(Urgency{}).InService, 0)
		rs.Close()
	})
}

// While open transactions hold all connections, requests that wait for a connection must not hold
// the places that the transactions need to end.
func TestTransactionsEndWhileAllConnectionsAreHeld(t *testing.T) {
	// Without a relay the VM may have all six connections.
	runScheduledWith(t, func(v *VM) { v.Relay = nil }, func(tb *testbed) {
		c := scheduledConfiguration()
		c.Version, c.Services[testService].Connections = 3, 6
		tb.vm.Configure(c, "test")
		var open []*client
		for range 6 {
			c := tb.startClient(ownDatabase, hotKey)
			<-c.replies
			assert.Equal(t, c.exec(Begin{}).Failure, NoFailure)
			assert.Equal(t, c.exec(write("1")).Failure, NoFailure)
			open = append(open, c)
		}
		answers := tb.flood(4, testDatabase, testKey)
		clock.Sleep(tb.ctx, 20*time.Millisecond)
		for _, c := range open {
			began := time.Now()
			assert.Equal(t, c.exec(Commit{}).Failure, NoFailure)
			assert.Assert(t, time.Since(began) <= 150*time.Millisecond, "%s", time.Since(began))
			c.Close()
		}
		for a := range answers {
			assert.Equal(t, a.Failure, NoFailure, a.Detail)
		}
	})
}

// A commit that didn't get its turn in time wasn't sent, so its outcome is known.
func TestCommitWithoutTurnIsAborted(t *testing.T) {
	runScheduled(t, func(tb *testbed) {
		c := tb.openSession(testDatabase)
		assert.Equal(t, c.exec(Begin{}).Failure, NoFailure)
		assert.Equal(t, c.exec(write("1")).Failure, NoFailure)
		q := tb.primaryPool().Queue
		for range 2 {
			pl, err := q.enter(tb.ctx, demand{workspace: workspace(1)}, false, time.Now().Add(time.Second))
			assert.NilError(t, err)
			defer pl.leave(false)
		}
		assert.Equal(t, c.exec(Commit{}).Failure, Aborted)
		assert.Equal(t, tb.countRuns("COMMIT"), 0)
		c.Close()
	})
}

// The verification of the primary uses an idle connection of any workspace.
func TestVerificationOpensNoConnection(t *testing.T) {
	runScheduled(t, func(tb *testbed) {
		hot := tb.startClient(testDatabase, hotKey)
		<-hot.replies
		assert.Equal(t, hot.exec(write("1")).Failure, NoFailure)
		hot.Close()
		opened := tb.countOpened()
		g := tb.vm.group(testService)
		m, _ := g.currentPrimary()
		co, err := g.checkOut(tb.ctx, m, demand{workspace: workspace(1), verification: true}, time.Now().Add(time.Second))
		assert.NilError(t, err)
		_, a, err := co.verifyPrimary(time.Now().Add(time.Second))
		assert.NilError(t, err)
		assert.Assert(t, a.Succeeded())
		co.release(true)
		assert.Equal(t, tb.countOpened(), opened)
	})
}

// Urgency, refusals and the server's load travel between VMs.
func TestUrgencyOverRelay(t *testing.T) {
	runScheduled(t, func(tb *testbed) {
		tb.relayThroughOwnerWith(func(vm *VM) { vm.PriorityScheduling = true })
		answers := tb.flood(60, boundedDatabase, hotKey)
		clock.Sleep(tb.ctx, 150*time.Millisecond)
		c := tb.openSession(testDatabase)
		began := time.Now()
		assert.Equal(t, c.exec(write("urgent")).Failure, NoFailure)
		assert.Assert(t, time.Since(began) <= 40*time.Millisecond+tb.handshake+40*time.Millisecond, "%s", time.Since(began))
		c.Close()
		refused := 0
		for a := range answers {
			if a.Failure == Busy {
				refused++
				assert.Assert(t, a.RetryAfter > 0, a.Detail)
			}
		}
		assert.Assert(t, refused > 0)
		g := tb.vm.group(testService)
		assert.Assert(t, g.members["a"].loads[2].Limit == 2, "%+v", g.members["a"].loads)
	})
}

// A demand is the same after a batch has carried it.
func TestBatchCarriesDemand(t *testing.T) {
	now := time.Now().Add(time.Millisecond / 2)
	d := demand{workspace: &Workspace{Name: "w", Priority: 3}, verification: true, Urgency: Urgency{
		Priority: 2, WorkspacePriority: 3, Objective: now.Add(-20 * time.Millisecond), Deadline: now.Add(time.Second), FirstDeadline: now.Add(-time.Second),
	}}
	b := Batch{Workspace: "w"}
	d.describe(&b)
	got := b.demand(now)
	assert.Equal(t, got.class(), schedule.Class{Route: 2, Workspace: 3})
	assert.Assert(t, got.verification)
	assert.DeepEqual(t, *got.workspace, *d.workspace)
	for name, times := range map[string][2]time.Time{"objective": {got.Objective, d.Objective}, "deadline": {got.Deadline, d.Deadline}, "first deadline": {got.FirstDeadline, d.FirstDeadline}} {
		assert.Assert(t, times[0].Sub(times[1]).Abs() < 5*time.Millisecond, "%s: %s", name, times[0].Sub(times[1]))
	}
	var none Batch
	demand{workspace: workspace(1)}.describe(&none)
	assert.Assert(t, none.demand(now).Objective.IsZero() && none.demand(now).FirstDeadline.IsZero())
}

// A caller that was refused has its place from shortly before the time that it was told until a
// second later, and once.
func TestRefusedRequestReturns(t *testing.T) {
	deadline := time.Now().Add(time.Second)
	for name, test := range map[string]struct {
		after time.Duration
		want  time.Time
	}{
		"in time": {100 * time.Millisecond, deadline}, "a bit early": {97 * time.Millisecond, deadline},
		"too early": {50 * time.Millisecond, time.Time{}}, "too late": {2 * time.Second, time.Time{}},
	} {
		t.Run(name, func(t *testing.T) {
			var r refusedRequest
			now := time.Now()
			r.note(Answer{Failure: Busy, RetryAfter: 100 * time.Millisecond}, deadline)
			assert.Equal(t, r.take(now.Add(test.after)), test.want)
			assert.Equal(t, r.take(now.Add(test.after)), time.Time{})
		})
	}
}
