package proxy

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/pkg/position"
	"github.com/savoryramp/savoryramp/pkg/quota"
)

// awaitVerifiedPrimary waits long enough for the VM to verify its primary.
func awaitVerifiedPrimary() { clock.Sleep(context.Background(), time.Second) }

func read(item string) Read   { return Read{Text: "READ " + item} }
func write(item string) Write { return Write{Text: "WRITE " + item + " x"} }

func TestTransaction(t *testing.T) {
	ok := NoFailure
	type step struct {
		statement Statement
		want      Failure
		phase     Phase
	}
	tests := map[string]struct {
		database DatabaseName
		prepare  func(tb *testbed)
		steps    []step
	}{
		"commits": {steps: []step{
			{Begin{}, ok, InTransaction}, {read("1"), ok, InTransaction}, {write("1"), ok, InTransaction}, {Commit{}, ok, Idle},
		}},
		"rolls back": {steps: []step{
			{Begin{}, ok, InTransaction}, {write("1"), ok, InTransaction}, {Rollback{}, ok, Idle}, {read("1"), ok, Idle},
		}},
		"empty": {steps: []step{{Begin{}, ok, InTransaction}, {Commit{}, ok, Idle}}},
		"write in a read-only transaction": {steps: []step{
			{Begin{ReadOnly: true}, ok, InTransaction}, {write("1"), NotPrimary, Failed}, {read("1"), BadStatement, Failed}, {Rollback{}, ok, Idle},
		}},
		"commit of a failed transaction": {steps: []step{
			{Begin{ReadOnly: true}, ok, InTransaction}, {write("1"), NotPrimary, Failed}, {Commit{}, Aborted, Idle},
		}},
		"second begin":      {steps: []step{{Begin{}, ok, InTransaction}, {Begin{}, BadStatement, Failed}, {Rollback{}, ok, Idle}}},
		"end without begin": {steps: []step{{Commit{}, BadStatement, Idle}, {Rollback{}, BadStatement, Idle}}},
		"connection closed before the commit": {
			prepare: func(tb *testbed) { tb.onServer("a", func(s *memServer) { s.fault = onText("WRITE 1 x", breakAfter) }) },
			steps:   []step{{Begin{}, ok, InTransaction}, {write("1"), Aborted, Failed}, {Rollback{}, ok, Idle}},
		},
		"answer to the commit lost": {
			prepare: func(tb *testbed) { tb.onServer("a", func(s *memServer) { s.fault = onText("COMMIT", loseAnswer) }) },
			steps:   []step{{Begin{}, ok, InTransaction}, {write("1"), ok, InTransaction}, {Commit{}, InDoubt, Idle}},
		},
		"commit without writes lost": {
			prepare: func(tb *testbed) { tb.onServer("a", func(s *memServer) { s.fault = onText("COMMIT", breakAfter) }) },
			steps:   []step{{Begin{}, ok, InTransaction}, {read("1"), ok, InTransaction}, {Commit{}, Aborted, Idle}},
		},
		"read-only on any server": {database: boundedDatabase, steps: []step{
			{Begin{ReadOnly: true}, ok, InTransaction}, {read("1"), ok, InTransaction}, {read("2"), ok, InTransaction}, {Commit{}, ok, Idle},
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runTest(t, func(tb *testbed) {
				awaitVerifiedPrimary()
				if test.prepare != nil {
					test.prepare(tb)
				}
				database := test.database
				if database == "" {
					database = testDatabase
				}
				c := tb.openSession(database)
				for _, s := range test.steps {
					a := c.exec(s.statement)
					assert.Equal(t, a.Failure, s.want, "%T: %s", s.statement, a.Detail)
					assert.Equal(t, a.Phase, s.phase, "%T", s.statement)
				}
				c.Close()
			})
		})
	}
}

// onText returns a fault function that applies f to the first statement with the given text.
func onText(text string, f fault) func(Command) fault {
	applied := false
	return func(c Command) fault {
		forward, isForward := c.(Forward)
		if !isForward || applied {
			return faultNone
		}
		statementText := ""
		switch s := forward.Statement.(type) {
		case Read:
			statementText = s.Text
		case Write:
			statementText = s.Text
		case Commit:
			statementText = "COMMIT"
		}
		if statementText != text {
			return faultNone
		}
		applied = true
		return f
	}
}

// A single write is repeated only if it can't have run.
func TestWriteRunsAtMostOnce(t *testing.T) {
	tests := map[string]struct {
		fault fault
		want  Failure
		runs  int
	}{
		"answer lost":                        {loseAnswer, InDoubt, 1},
		"connection closed after the write":  {breakAfter, InDoubt, 1},
		"connection closed before the write": {breakBefore, InDoubt, 0},
		"refused by a busy server":           {refuseBusy, NoFailure, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runTest(t, func(tb *testbed) {
				awaitVerifiedPrimary()
				tb.onServer("a", func(s *memServer) { s.fault = onText("WRITE 1 x", test.fault) })
				c := tb.openSession(testDatabase)
				assert.Equal(t, c.exec(write("1")).Failure, test.want)
				assert.Equal(t, tb.countRuns("WRITE 1 x"), test.runs)
				c.Close()
			})
		})
	}
}

// A read that fails on one server is repeated on another.
func TestReadRetriesOnAnotherServer(t *testing.T) {
	tests := map[string]fault{"answer lost": loseAnswer, "connection closed": breakAfter, "loaded": refuseBusy}
	for name, f := range tests {
		t.Run(name, func(t *testing.T) {
			runTest(t, func(tb *testbed) {
				awaitVerifiedPrimary()
				for _, id := range []ServerID{"a", "b"} {
					tb.onServer(id, func(s *memServer) { s.fault = onText("READ 1", f) })
				}
				c := tb.openSession(boundedDatabase)
				a := c.exec(read("1"))
				assert.Equal(t, a.Failure, NoFailure, a.Detail)
				c.Close()
			})
		})
	}
}

// A session's reads see its own commits and all commits older than the staleness bound.
func TestReadIsFresh(t *testing.T) {
	tests := map[string]struct {
		database DatabaseName
		own      bool
		// pause is the time between the commit and the read.
		pause time.Duration
		// stale is true if a server without the commit may serve the read.
		stale bool
	}{
		"own commit immediately":                                         {database: ownDatabase, own: true},
		"own commit on a bounded-staleness route":                        {database: boundedDatabase, own: true},
		"another session's commit within the bound":                      {database: boundedDatabase, pause: 100 * time.Millisecond, stale: true},
		"another session's commit older than the bound":                  {database: boundedDatabase, pause: 1100 * time.Millisecond},
		"another session's commit, linearizable":                         {database: testDatabase},
		"another session's commit older than the read-your-writes bound": {database: ownDatabase, pause: 2100 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runTest(t, func(tb *testbed) {
				awaitVerifiedPrimary()
				for _, id := range []ServerID{"b", "c"} {
					tb.onServer(id, func(s *memServer) { s.notReceiving = true })
				}
				writer := tb.openSession(testDatabase)
				reader := tb.openSession(test.database)
				if test.own {
					writer = reader
				}
				// Opens connections to the replicas, so that the wait for one doesn't affect
				// the choice of a server.
				for range 3 {
					assert.Equal(t, reader.exec(read("0")).Failure, NoFailure)
				}
				for _, m := range tb.vm.group(testService).members {
					c, err := m.pool.Acquire(tb.ctx, &Workspace{Name: "amman"}, time.Now().Add(time.Second))
					assert.NilError(t, err)
					m.pool.Release(c, true, time.Millisecond)
				}
				assert.Equal(t, writer.exec(write("1")).Failure, NoFailure)
				clock.Sleep(context.Background(), test.pause)
				assert.Equal(t, reader.exec(read("1")).Failure, NoFailure)
				if test.stale {
					assert.Assert(t, tb.lastServer("READ 1") != "a", "a replica in the same zone may serve this read")
				} else {
					assert.Equal(t, tb.lastServer("READ 1"), ServerID("a"))
				}
				writer.Close()
				reader.Close()
			})
		})
	}
}

// A primary that was replaced without the VM's knowledge serves no linearizable read.
func TestReplacedPrimaryServesNoLinearizableRead(t *testing.T) {
	runTest(t, func(tb *testbed) {
		awaitVerifiedPrimary()
		c := tb.openSession(testDatabase)
		assert.Equal(t, c.exec(read("0")).Failure, NoFailure)
		tb.promote("b")
		a := c.exec(read("1"))
		assert.Equal(t, a.Failure, NoFailure, a.Detail)
		assert.Equal(t, tb.lastServer("READ 1"), ServerID("b"))
		c.Close()
	})
}

// After a failover, a session's floor may name a position of the old term that was lost. It
// must not keep the session from reading on the new primary.
func TestOldTermFloorDoesNotBlockReads(t *testing.T) {
	runTest(t, func(tb *testbed) {
		awaitVerifiedPrimary()
		for _, id := range []ServerID{"b", "c"} {
			tb.onServer(id, func(s *memServer) { s.notReceiving = true })
		}
		c := tb.openSession(ownDatabase)
		for range 5 {
			assert.Equal(t, c.exec(write("1")).Failure, NoFailure)
		}
		tb.promote("b")
		tb.onServer("c", func(s *memServer) { s.logEnd = position.Position{Term: 2, Offset: 2} })
		tb.onServer("a", func(s *memServer) { s.logEnd = position.Position{Term: 2, Offset: 2} })
		assert.Equal(t, c.exec(write("2")).Failure, NoFailure)
		a := c.exec(read("1"))
		assert.Equal(t, a.Failure, NoFailure, a.Detail)
		c.Close()
	})
}

// Session values and prepared statements apply to their session on every connection, and to no
// other session.
func TestValuesAndPlansStayWithTheirSession(t *testing.T) {
	runTest(t, func(tb *testbed) {
		awaitVerifiedPrimary()
		first, second := tb.openSession(testDatabase), tb.openSession(testDatabase)
		assert.Equal(t, first.exec(Set{"lang", "ar"}).Failure, NoFailure)
		assert.Equal(t, first.exec(Prepare{"s1", Plan{Shape: "q1"}}).Failure, NoFailure)
		assert.Equal(t, second.exec(Prepare{"s1", Plan{Shape: "q2", Writes: true}}).Failure, NoFailure)
		for range 3 {
			assert.Equal(t, first.exec(Execute{"s1", "7"}).Failure, NoFailure)
			assert.Equal(t, second.exec(Execute{"s1", "7 y"}).Failure, NoFailure)
		}
		assert.Equal(t, second.exec(Execute{"s2", "7"}).Failure, Unprepared)
		assert.Equal(t, second.exec(Deallocate{"s1"}).Failure, NoFailure)
		assert.Equal(t, second.exec(Execute{"s1", "7"}).Failure, Unprepared)
		assert.Equal(t, tb.countRuns("EXECUTE q1 7"), 3)
		assert.Equal(t, tb.countRuns("EXECUTE q2 7 y"), 3)
		first.Close()
		second.Close()
		tb.mu.Lock()
		defer tb.mu.Unlock()
		for _, ran := range tb.executed {
			assert.Equal(t, strings.Contains(ran, "lang:ar"), strings.HasSuffix(ran, "EXECUTE q1 7"), ran)
		}
	})
}

func TestConfigurationChanges(t *testing.T) {
	tests := map[string]struct {
		change func(c *Configuration)
		// open is true if a transaction is open when the configuration changes.
		open bool
		want Failure
	}{
		"key withdrawn":                      {change: func(c *Configuration) { delete(c.Keys, testKey) }, want: sessionClosed},
		"key withdrawn during a transaction": {change: func(c *Configuration) { delete(c.Keys, testKey) }, open: true, want: UnknownKey},
		"route removed":                      {change: func(c *Configuration) { delete(c.Routes, testDatabase) }, want: NoDatabase},
		"older version is ignored":           {change: func(c *Configuration) { c.Version = 0; delete(c.Keys, testKey) }, want: NoFailure},
		"statement timeout changed":          {change: func(c *Configuration) { c.Routes[testDatabase].StatementTimeout = time.Second }, want: NoFailure},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runTest(t, func(tb *testbed) {
				awaitVerifiedPrimary()
				c := tb.openSession(testDatabase)
				if test.open {
					assert.Equal(t, c.exec(Begin{}).Failure, NoFailure)
					assert.Equal(t, c.exec(write("1")).Failure, NoFailure)
				}
				next := testConfiguration(2)
				test.change(next)
				tb.vm.Configure(next, "test")
				assert.Equal(t, c.exec(read("2")).Failure, test.want)
				if test.want != NoFailure {
					assert.Equal(t, tb.countRuns("READ 2"), 0)
				}
				c.Close()
			})
		})
	}
}

func TestStartRefused(t *testing.T) {
	tests := map[string]struct {
		database DatabaseName
		key      Key
		want     Failure
	}{
		"unknown key":      {testDatabase, "other", UnknownKey},
		"unknown database": {"other", testKey, NoDatabase},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runTest(t, func(tb *testbed) {
				c := tb.startClient(test.database, test.key)
				<-c.closed
				assert.Equal(t, c.rejected, test.want)
			})
		})
	}
}

// TestIdleTransactionIsRolledBackOnServer guards against a transaction that was ended for its idle time
// and holds its locks and its connection until its caller's next request.
func TestIdleTransactionIsRolledBackOnServer(t *testing.T) {
	runTest(t, func(tb *testbed) {
		awaitVerifiedPrimary()
		open := 0
		tb.onServer("a", func(s *memServer) {
			s.fault = func(c Command) fault {
				switch c.(type) {
				case BeginAt:
					open++
				case Abandon:
					open--
				}
				return faultNone
			}
		})
		c := tb.openSession(testDatabase)
		c.exec(Begin{})
		assert.Equal(t, c.exec(write("1")).Failure, NoFailure)
		clock.Sleep(context.Background(), testConfiguration(1).TransactionIdleTimeout+500*time.Millisecond)
		tb.onServer("a", func(*memServer) { assert.Equal(t, open, 0) })
	})
}

// A transaction that is idle for too long is rolled back, and its caller gets a failure for its
// next statement.
func TestIdleTransactionIsRolledBack(t *testing.T) {
	runTest(t, func(tb *testbed) {
		awaitVerifiedPrimary()
		c := tb.openSession(testDatabase)
		assert.Equal(t, c.exec(Begin{}).Failure, NoFailure)
		assert.Equal(t, c.exec(write("1")).Failure, NoFailure)
		clock.Sleep(context.Background(), 4*time.Second)
		a := c.exec(Commit{})
		assert.Equal(t, a.Failure, Aborted)
		assert.Equal(t, tb.countRuns("COMMIT"), 0)
		c.Close()
	})
}

// A drain closes sessions between operations and waits for open transactions.
func TestDrain(t *testing.T) {
	runTest(t, func(tb *testbed) {
		awaitVerifiedPrimary()
		idle, busy := tb.openSession(testDatabase), tb.openSession(testDatabase)
		assert.Equal(t, busy.exec(Begin{}).Failure, NoFailure)
		assert.Equal(t, busy.exec(write("1")).Failure, NoFailure)
		var drain sync.WaitGroup
		drain.Go(func() { tb.vm.Drain(tb.ctx, 3*time.Second) })
		<-idle.closed
		assert.Assert(t, !tb.vm.IsReady())
		clock.Sleep(context.Background(), time.Second)
		assert.Equal(t, busy.exec(Commit{}).Failure, NoFailure)
		<-busy.closed
		drain.Wait()
		assert.Equal(t, tb.countRuns("COMMIT"), 1)
	})
}

// A request that can't be served is refused no later than its deadline, and doesn't run.
func TestRefusalIsPrompt(t *testing.T) {
	runTest(t, func(tb *testbed) {
		awaitVerifiedPrimary()
		for id := range tb.servers {
			tb.onServer(id, func(s *memServer) { s.fault = func(Command) fault { return breakBefore } })
		}
		c := tb.openSession(testDatabase)
		began := time.Now()
		a := c.exec(write("1"))
		assert.Assert(t, !a.Succeeded())
		assert.Assert(t, time.Since(began) <= 800*time.Millisecond, "%s", time.Since(began))
		assert.Equal(t, tb.countRuns("WRITE 1 x"), 0)
		c.Close()
	})
}

// Requests that were refused because no server accepted a connection must not count against the
// workspace's rate.
func TestRefusedRequestsAreRefunded(t *testing.T) {
	tests := map[string]func(c *client) Answer{
		"write": func(c *client) Answer { return c.exec(write("1")) },
		"read":  func(c *client) Answer { return c.exec(read("1")) },
		"transaction": func(c *client) Answer {
			if a := c.exec(Begin{}); !a.Succeeded() {
				return a
			}
			a := c.exec(write("1"))
			c.exec(Rollback{})
			return a
		},
	}
	for name, ask := range tests {
		t.Run(name, func(t *testing.T) {
			limiter := &quota.Limiter{Now: func() time.Duration { return time.Hour }, VMCount: func() int { return 1 }}
			runTestWith(t, func(vm *VM) { vm.Quota = limiter }, func(tb *testbed) {
				awaitVerifiedPrimary()
				w := tb.vm.Configuration().Workspaces["amman"]
				w.Rate, w.Burst = 1, 2
				for id := range tb.servers {
					tb.onServer(id, func(s *memServer) { s.limit = 1 })
				}
				for _, m := range tb.vm.group(testService).sortedMembers() {
					m.pool.CloseIdle()
				}
				for id := range tb.servers {
					tb.onServer(id, func(s *memServer) { s.open = s.limit })
				}
				c := tb.openSession(testDatabase)
				for range 20 {
					a := ask(c)
					assert.Equal(t, a.Failure, Busy)
					assert.Assert(t, !strings.Contains(a.Detail, "exceeds its rate"), "%s", a.Detail)
				}
				c.Close()
			})
		})
	}
}
