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

// settle lets the VM prove its primary.
func settle() { clock.Sleep(context.Background(), time.Second) }

func read(item string) Read   { return Read{Text: "READ " + item} }
func write(item string) Write { return Write{Text: "WRITE " + item + " x"} }

func TestTransaction(t *testing.T) {
	ok := NoFailure
	type step struct {
		do    Statement
		want  Failure
		phase Phase
	}
	tests := map[string]struct {
		database DatabaseName
		before   func(r *rig)
		steps    []step
	}{
		"commits": {steps: []step{
			{Begin{}, ok, InTransaction}, {read("1"), ok, InTransaction}, {write("1"), ok, InTransaction}, {Commit{}, ok, Idle},
		}},
		"rolls back": {steps: []step{
			{Begin{}, ok, InTransaction}, {write("1"), ok, InTransaction}, {Rollback{}, ok, Idle}, {read("1"), ok, Idle},
		}},
		"empty": {steps: []step{{Begin{}, ok, InTransaction}, {Commit{}, ok, Idle}}},
		"write in one that reads": {steps: []step{
			{Begin{ReadOnly: true}, ok, InTransaction}, {write("1"), NotPrimary, Failed}, {read("1"), BadStatement, Failed}, {Rollback{}, ok, Idle},
		}},
		"commit of one that failed": {steps: []step{
			{Begin{ReadOnly: true}, ok, InTransaction}, {write("1"), NotPrimary, Failed}, {Commit{}, Aborted, Idle},
		}},
		"begins twice":      {steps: []step{{Begin{}, ok, InTransaction}, {Begin{}, BadStatement, Failed}, {Rollback{}, ok, Idle}}},
		"end without begin": {steps: []step{{Commit{}, BadStatement, Idle}, {Rollback{}, BadStatement, Idle}}},
		"connection ends before the commit": {
			before: func(r *rig) { r.on("a", func(s *memServer) { s.fault = onText("WRITE 1 x", breakAfter) }) },
			steps:  []step{{Begin{}, ok, InTransaction}, {write("1"), Aborted, Failed}, {Rollback{}, ok, Idle}},
		},
		"commit's answer is lost": {
			before: func(r *rig) { r.on("a", func(s *memServer) { s.fault = onText("COMMIT", loseAnswer) }) },
			steps:  []step{{Begin{}, ok, InTransaction}, {write("1"), ok, InTransaction}, {Commit{}, InDoubt, Idle}},
		},
		"commit of one that wrote nothing is lost": {
			before: func(r *rig) { r.on("a", func(s *memServer) { s.fault = onText("COMMIT", breakAfter) }) },
			steps:  []step{{Begin{}, ok, InTransaction}, {read("1"), ok, InTransaction}, {Commit{}, Aborted, Idle}},
		},
		"reads only, on any server": {database: boundedDatabase, steps: []step{
			{Begin{ReadOnly: true}, ok, InTransaction}, {read("1"), ok, InTransaction}, {read("2"), ok, InTransaction}, {Commit{}, ok, Idle},
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			play(t, func(r *rig) {
				settle()
				if test.before != nil {
					test.before(r)
				}
				database := test.database
				if database == "" {
					database = testDatabase
				}
				c := r.call(database)
				for _, one := range test.steps {
					a := c.do(one.do)
					assert.Equal(t, a.Failure, one.want, "%T: %s", one.do, a.Detail)
					assert.Equal(t, a.Phase, one.phase, "%T", one.do)
				}
				c.Close()
			})
		})
	}
}

// onText fails statements of a text, once.
func onText(text string, f fault) func(Command) fault {
	done := false
	return func(c Command) fault {
		forward, is := c.(Forward)
		if !is || done {
			return faultNone
		}
		got := ""
		switch s := forward.Statement.(type) {
		case Read:
			got = s.Text
		case Write:
			got = s.Text
		case Commit:
			got = "COMMIT"
		}
		if got != text {
			return faultNone
		}
		done = true
		return f
	}
}

// A single write is sent again only when it can't have run.
func TestWriteRunsAtMostOnce(t *testing.T) {
	tests := map[string]struct {
		fault fault
		want  Failure
		runs  int
	}{
		"answer lost":                {loseAnswer, InDoubt, 1},
		"connection ends after it":   {breakAfter, InDoubt, 1},
		"connection ends before it":  {breakBefore, InDoubt, 0},
		"refused by a loaded server": {shed, NoFailure, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			play(t, func(r *rig) {
				settle()
				r.on("a", func(s *memServer) { s.fault = onText("WRITE 1 x", test.fault) })
				c := r.call(testDatabase)
				assert.Equal(t, c.do(write("1")).Failure, test.want)
				assert.Equal(t, r.runs("WRITE 1 x"), test.runs)
				c.Close()
			})
		})
	}
}

// A read that fails at one server is served by another.
func TestReadGoesElsewhere(t *testing.T) {
	tests := map[string]fault{"answer lost": loseAnswer, "connection ends": breakAfter, "loaded": shed}
	for name, f := range tests {
		t.Run(name, func(t *testing.T) {
			play(t, func(r *rig) {
				settle()
				for _, id := range []ServerID{"a", "b"} {
					r.on(id, func(s *memServer) { s.fault = onText("READ 1", f) })
				}
				c := r.call(boundedDatabase)
				a := c.do(read("1"))
				assert.Equal(t, a.Failure, NoFailure, a.Detail)
				c.Close()
			})
		})
	}
}

// Reads of a session never miss its own commits, nor others' past the bound.
func TestReadIsFresh(t *testing.T) {
	tests := map[string]struct {
		database DatabaseName
		own      bool
		// pause between the commit and the read.
		pause time.Duration
		// stale tells whether a server that lacks the commit may serve the read.
		stale bool
	}{
		"own commit at once":                  {database: ownDatabase, own: true},
		"own commit on a bounded route":       {database: boundedDatabase, own: true},
		"others' commit within the bound":     {database: boundedDatabase, pause: 100 * time.Millisecond, stale: true},
		"others' commit past the bound":       {database: boundedDatabase, pause: 1100 * time.Millisecond},
		"others' commit, strict":              {database: testDatabase},
		"others' commit past the other bound": {database: ownDatabase, pause: 2100 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			play(t, func(r *rig) {
				settle()
				for _, id := range []ServerID{"b", "c"} {
					r.on(id, func(s *memServer) { s.deaf = true })
				}
				writer := r.call(testDatabase)
				reader := r.call(test.database)
				if test.own {
					writer = reader
				}
				// Opens connections to the replicas, so that none is dearer than another.
				for range 3 {
					assert.Equal(t, reader.do(read("0")).Failure, NoFailure)
				}
				for _, m := range r.vm.group(testService).members {
					c, err := m.pool.Take(r.ctx, &Workspace{Name: "amman"}, time.Now().Add(time.Second))
					assert.NilError(t, err)
					m.pool.Give(c, true, time.Millisecond)
				}
				assert.Equal(t, writer.do(write("1")).Failure, NoFailure)
				clock.Sleep(context.Background(), test.pause)
				assert.Equal(t, reader.do(read("1")).Failure, NoFailure)
				if test.stale {
					assert.Assert(t, r.where("READ 1") != "a", "a replica near may serve this")
				} else {
					assert.Equal(t, r.where("READ 1"), ServerID("a"))
				}
				writer.Close()
				reader.Close()
			})
		})
	}
}

// A primary that was replaced unnoticed serves no strict read.
func TestReplacedPrimaryServesNoStrictRead(t *testing.T) {
	play(t, func(r *rig) {
		settle()
		c := r.call(testDatabase)
		assert.Equal(t, c.do(read("0")).Failure, NoFailure)
		r.promote("b")
		a := c.do(read("1"))
		assert.Equal(t, a.Failure, NoFailure, a.Detail)
		assert.Equal(t, r.where("READ 1"), ServerID("b"))
		c.Close()
	})
}

// After a failover a session's floor of the old term, which may have been rolled back,
// doesn't keep its reads from the new primary.
func TestFloorSurvivesFailover(t *testing.T) {
	play(t, func(r *rig) {
		settle()
		for _, id := range []ServerID{"b", "c"} {
			r.on(id, func(s *memServer) { s.deaf = true })
		}
		c := r.call(ownDatabase)
		for range 5 {
			assert.Equal(t, c.do(write("1")).Failure, NoFailure)
		}
		r.promote("b")
		r.on("c", func(s *memServer) { s.log = position.Position{Term: 2, Offset: 2} })
		r.on("a", func(s *memServer) { s.log = position.Position{Term: 2, Offset: 2} })
		assert.Equal(t, c.do(write("2")).Failure, NoFailure)
		a := c.do(read("1"))
		assert.Equal(t, a.Failure, NoFailure, a.Detail)
		c.Close()
	})
}

// Values and plans are the session's on whatever connection it gets, and nobody else's.
func TestValuesAndPlansStayWithTheirSession(t *testing.T) {
	play(t, func(r *rig) {
		settle()
		one, two := r.call(testDatabase), r.call(testDatabase)
		assert.Equal(t, one.do(Set{"lang", "ar"}).Failure, NoFailure)
		assert.Equal(t, one.do(Prepare{"s1", Plan{Shape: "q1"}}).Failure, NoFailure)
		assert.Equal(t, two.do(Prepare{"s1", Plan{Shape: "q2", Writes: true}}).Failure, NoFailure)
		for range 3 {
			assert.Equal(t, one.do(Execute{"s1", "7"}).Failure, NoFailure)
			assert.Equal(t, two.do(Execute{"s1", "7 y"}).Failure, NoFailure)
		}
		assert.Equal(t, two.do(Execute{"s2", "7"}).Failure, Unprepared)
		assert.Equal(t, two.do(Deallocate{"s1"}).Failure, NoFailure)
		assert.Equal(t, two.do(Execute{"s1", "7"}).Failure, Unprepared)
		assert.Equal(t, r.runs("EXECUTE q1 7"), 3)
		assert.Equal(t, r.runs("EXECUTE q2 7 y"), 3)
		one.Close()
		two.Close()
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, ran := range r.ran {
			assert.Equal(t, strings.Contains(ran, "lang:ar"), strings.HasSuffix(ran, "EXECUTE q1 7"), ran)
		}
	})
}

func TestConfigurationChanges(t *testing.T) {
	tests := map[string]struct {
		change func(c *Configuration)
		// open is true when a transaction is open at the change.
		open bool
		want Failure
	}{
		"key withdrawn":                      {change: func(c *Configuration) { delete(c.Keys, testKey) }, want: sessionClosed},
		"key withdrawn in a transaction":     {change: func(c *Configuration) { delete(c.Keys, testKey) }, open: true, want: UnknownKey},
		"route dropped":                      {change: func(c *Configuration) { delete(c.Routes, testDatabase) }, want: NoDatabase},
		"an older version doesn't come back": {change: func(c *Configuration) { c.Version = 0; delete(c.Keys, testKey) }, want: NoFailure},
		"a time-out changes":                 {change: func(c *Configuration) { c.Routes[testDatabase].StatementTimeout = time.Second }, want: NoFailure},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			play(t, func(r *rig) {
				settle()
				c := r.call(testDatabase)
				if test.open {
					assert.Equal(t, c.do(Begin{}).Failure, NoFailure)
					assert.Equal(t, c.do(write("1")).Failure, NoFailure)
				}
				next := testConfiguration(2)
				test.change(next)
				r.vm.Configure(next, "test")
				assert.Equal(t, c.do(read("2")).Failure, test.want)
				if test.want != NoFailure {
					assert.Equal(t, r.runs("READ 2"), 0)
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
			play(t, func(r *rig) {
				c := r.dial(test.database, test.key)
				<-c.closed
				assert.Equal(t, c.rejected, test.want)
			})
		})
	}
}

// A transaction that rests for too long is rolled back, and its caller is told.
func TestRestingTransactionIsRolledBack(t *testing.T) {
	play(t, func(r *rig) {
		settle()
		c := r.call(testDatabase)
		assert.Equal(t, c.do(Begin{}).Failure, NoFailure)
		assert.Equal(t, c.do(write("1")).Failure, NoFailure)
		clock.Sleep(context.Background(), 4*time.Second)
		a := c.do(Commit{})
		assert.Equal(t, a.Failure, Aborted)
		assert.Equal(t, r.runs("COMMIT"), 0)
		c.Close()
	})
}

// A drain ends sessions between operations, and lets transactions end.
func TestDrain(t *testing.T) {
	play(t, func(r *rig) {
		settle()
		idle, busy := r.call(testDatabase), r.call(testDatabase)
		assert.Equal(t, busy.do(Begin{}).Failure, NoFailure)
		assert.Equal(t, busy.do(write("1")).Failure, NoFailure)
		var drained sync.WaitGroup
		drained.Go(func() { r.vm.Drain(r.ctx, 3*time.Second) })
		<-idle.closed
		assert.Assert(t, !r.vm.Ready())
		clock.Sleep(context.Background(), time.Second)
		assert.Equal(t, busy.do(Commit{}).Failure, NoFailure)
		<-busy.closed
		drained.Wait()
		assert.Equal(t, r.runs("COMMIT"), 1)
	})
}

// Who can't be served in time is told at once, and when to come back.
func TestRefusalIsPromptAndTrue(t *testing.T) {
	play(t, func(r *rig) {
		settle()
		for id := range r.servers {
			r.on(id, func(s *memServer) { s.fault = func(Command) fault { return breakBefore } })
		}
		c := r.call(testDatabase)
		began := time.Now()
		a := c.do(write("1"))
		assert.Assert(t, !a.Succeeded())
		assert.Assert(t, time.Since(began) <= 800*time.Millisecond, "%s", time.Since(began))
		assert.Equal(t, r.runs("WRITE 1 x"), 0)
		c.Close()
	})
}

// A burst meets servers that take no connections: what was refused without being sent
// takes nothing off the workspace's rate.
func TestRefusedRequestsTakeNoRate(t *testing.T) {
	tests := map[string]func(c *client) Answer{
		"a write": func(c *client) Answer { return c.do(write("1")) },
		"a read":  func(c *client) Answer { return c.do(read("1")) },
		"a transaction": func(c *client) Answer {
			if a := c.do(Begin{}); !a.Succeeded() {
				return a
			}
			a := c.do(write("1"))
			c.do(Rollback{})
			return a
		},
	}
	for name, ask := range tests {
		t.Run(name, func(t *testing.T) {
			limiter := &quota.Limiter{Now: func() time.Duration { return time.Hour }, Size: func() int { return 1 }}
			playWith(t, func(vm *VM) { vm.Quota = limiter }, func(r *rig) {
				settle()
				w := r.vm.Configuration().Workspaces["amman"]
				w.Rate, w.Burst = 1, 2
				for id := range r.servers {
					r.on(id, func(s *memServer) { s.limit = 1 })
				}
				for _, m := range r.vm.group(testService).list() {
					m.pool.Drop()
				}
				for id := range r.servers {
					r.on(id, func(s *memServer) { s.open = s.limit })
				}
				c := r.call(testDatabase)
				for range 20 {
					a := ask(c)
					assert.Equal(t, a.Failure, Busy)
					assert.Assert(t, !strings.Contains(a.Detail, "over its rate"), "%s", a.Detail)
				}
				c.Close()
			})
		})
	}
}
