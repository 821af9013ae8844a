package proxy

import (
	"maps"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// withdraw puts a changed copy of the configuration into force.
func (tb *testbed) withdraw(change func(c *Configuration)) {
	tb.t.Helper()
	before := tb.vm.Configuration()
	c := *before
	c.Version++
	c.Routes, c.Services, c.Workspaces, c.Keys = maps.Clone(c.Routes), maps.Clone(c.Services), maps.Clone(c.Workspaces), maps.Clone(c.Keys)
	change(&c)
	tb.vm.Configure(&c, "test")
}

// Guards against a VM that crashes, or refuses the caller, when a version withdraws what an open transaction uses: a
// change to a route holds from the next transaction on, that of a key at once.
func TestWithdrawnDuringTransaction(t *testing.T) {
	ok := NoFailure
	removeRoute := func(c *Configuration) { delete(c.Routes, boundedDatabase) }
	removeRoutes := func(c *Configuration) { clear(c.Routes) }
	removeService := func(c *Configuration) { clear(c.Routes); clear(c.Services) }
	removeKey := func(c *Configuration) { clear(c.Keys) }
	moveKey := func(c *Configuration) { c.Keys[testKey] = &Workspace{Name: "irbid"} }
	type step struct {
		statement Statement
		want      Failure
	}
	tests := map[string]struct {
		// before and inside are what runs outside and inside of the transaction before the change.
		before, inside []Statement
		readOnly       bool
		key            Key
		change         func(c *Configuration)
		steps          []step
		// next is the result of a read after the transaction.
		next Failure
	}{
		"route, read":                     {change: removeRoute, steps: []step{{read("1"), ok}, {Commit{}, ok}}, next: NoDatabase},
		"route, write":                    {change: removeRoute, steps: []step{{write("1"), ok}, {Commit{}, ok}}, next: NoDatabase},
		"route, commit":                   {change: removeRoute, steps: []step{{Commit{}, ok}}, next: NoDatabase},
		"route, rollback":                 {change: removeRoute, steps: []step{{Rollback{}, ok}}, next: NoDatabase},
		"route, read-only":                {readOnly: true, change: removeRoute, steps: []step{{read("1"), ok}, {Commit{}, ok}}, next: NoDatabase},
		"route, begun at a server":        {inside: []Statement{write("1")}, change: removeRoute, steps: []step{{write("2"), ok}, {Commit{}, ok}}, next: NoDatabase},
		"route, prepared statement":       {before: []Statement{Prepare{Name: "s", Plan: Plan{Writes: true, Shape: "q"}}}, change: removeRoute, steps: []step{{Execute{Name: "s", Arguments: "1 x"}, ok}, {Commit{}, ok}}, next: NoDatabase},
		"route, malformed statement":      {change: removeRoute, steps: []step{{Malformed{}, BadStatement}, {read("1"), BadStatement}, {Rollback{}, ok}}, next: NoDatabase},
		"route, failed transaction":       {inside: []Statement{Begin{}}, change: removeRoute, steps: []step{{read("1"), BadStatement}, {Commit{}, Aborted}}, next: NoDatabase},
		"all routes":                      {change: removeRoutes, steps: []step{{write("1"), ok}, {Commit{}, ok}}, next: NoDatabase},
		"service":                         {change: removeService, steps: []step{{write("1"), ok}, {Commit{}, ok}}, next: NoDatabase},
		"service, begun at a server":      {inside: []Statement{write("1")}, change: removeService, steps: []step{{write("2"), ok}, {Commit{}, ok}}, next: NoDatabase},
		"key":                             {inside: []Statement{write("1")}, change: removeKey, steps: []step{{Commit{}, UnknownKey}}, next: sessionClosed},
		"key and route":                   {inside: []Statement{write("1")}, change: func(c *Configuration) { removeKey(c); removeRoutes(c) }, steps: []step{{Commit{}, UnknownKey}}, next: sessionClosed},
		"key, failed transaction":         {inside: []Statement{Begin{}}, change: removeKey, steps: []step{{Rollback{}, UnknownKey}}, next: sessionClosed},
		"key moves, read":                 {change: moveKey, steps: []step{{read("1"), Aborted}, {Rollback{}, ok}}, next: ok},
		"key moves, commit":               {inside: []Statement{write("1")}, change: moveKey, steps: []step{{Commit{}, Aborted}}, next: ok},
		"key moves, rollback":             {inside: []Statement{write("1")}, change: moveKey, steps: []step{{Rollback{}, ok}}, next: ok},
		"key and route, key moves":        {inside: []Statement{write("1")}, change: func(c *Configuration) { moveKey(c); removeRoute(c) }, steps: []step{{Commit{}, Aborted}}, next: NoDatabase},
		"key, the route is public now":    {inside: []Statement{write("1")}, change: func(c *Configuration) { removeKey(c); publish(c, true) }, steps: []step{{Commit{}, Aborted}}, next: ok},
		"public route isn't public":       {key: "other", inside: []Statement{write("1")}, change: func(c *Configuration) { publish(c, false) }, steps: []step{{write("2"), ok}, {Commit{}, ok}}, next: sessionClosed},
		"public route goes":               {key: "other", change: removeRoute, steps: []step{{write("1"), ok}, {Commit{}, ok}}, next: NoDatabase},
		"public route, the key is known":  {key: "other", inside: []Statement{write("1")}, change: func(c *Configuration) { c.Keys["other"] = &Workspace{Name: "irbid"} }, steps: []step{{write("2"), ok}, {Commit{}, ok}}, next: ok},
		"workspace's attributes, no loss": {inside: []Statement{write("1")}, change: func(c *Configuration) { c.Keys[testKey] = &Workspace{Name: "amman", Rate: 5, Burst: 5} }, steps: []step{{write("2"), ok}, {Commit{}, ok}}, next: ok},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runTest(t, func(tb *testbed) {
				if test.key != "" {
					tb.withdraw(func(c *Configuration) { publish(c, true) })
				}
				awaitVerifiedPrimary()
				key := testKey
				if test.key != "" {
					key = test.key
				}
				c := tb.startClient(boundedDatabase, key)
				assert.Equal(t, (<-c.replies).Phase, Idle)
				other := tb.startClient(testDatabase, testKey)
				assert.Equal(t, (<-other.replies).Phase, Idle)
				for _, s := range slices.Concat(test.before, []Statement{Begin{ReadOnly: test.readOnly}}, test.inside) {
					c.exec(s)
				}
				tb.withdraw(test.change)
				for _, s := range test.steps {
					assert.Equal(t, c.exec(s.statement).Failure, s.want, "%T", s.statement)
				}
				assert.Equal(t, c.exec(read("9")).Failure, test.next)
				c.Close()
				other.Close()
				for text, n := range tb.committedWrites() {
					assert.Equal(t, n, 1, text)
					assert.Assert(t, test.steps[len(test.steps)-1].want == ok, "a refused transaction committed %s", text)
				}
			})
		})
	}
}

// publish sets whether the route of boundedDatabase is public.
func publish(c *Configuration, public bool) {
	r := *c.Routes[boundedDatabase]
	r.Public = public
	c.Routes[boundedDatabase] = &r
}

// committedWrites returns how often each write was committed.
func (tb *testbed) committedWrites() map[string]int {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return maps.Clone(tb.committed)
}

// Guards against a request that is refused for a withdrawn route or key without the end of its answer: the caller
// would take the closed connection for a lost answer.
func TestRefusalCompletesTheAnswer(t *testing.T) {
	tests := map[string]struct {
		change func(c *Configuration)
		want   Failure
	}{
		"route": {func(c *Configuration) { clear(c.Routes) }, NoDatabase},
		"key":   {func(c *Configuration) { clear(c.Keys) }, UnknownKey},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runTest(t, func(tb *testbed) {
				awaitVerifiedPrimary()
				c := tb.openSession(testDatabase)
				assert.Assert(t, c.exec(Begin{}).Succeeded())
				tb.withdraw(test.change)
				if test.want == NoDatabase {
					assert.Assert(t, c.exec(Rollback{}).Succeeded())
				}
				a := c.exec(read("1"))
				assert.Equal(t, a.Failure, test.want)
				assert.Equal(t, a.Phase, Idle, "the answer has no end")
				<-c.closed
			})
		})
	}
}

// Guards against losing confirmed commits of a group whose service a version withdraws for a while: its settings, such
// as the number of replicas that confirm a commit, hold until the service has others.
func TestWithdrawnServiceKeepsItsSettings(t *testing.T) {
	runTest(t, func(tb *testbed) {
		tb.withdraw(func(c *Configuration) {
			c.Services[testService] = &Service{Name: testService, Connections: 9, SyncReplicas: 1}
		})
		g := tb.vm.group(testService)
		assert.Equal(t, g.syncReplicas(), 1)
		limit := tb.vm.ownerConnectionLimit(testService)
		assert.Assert(t, limit > 0)
		tb.withdraw(func(c *Configuration) { clear(c.Routes); clear(c.Services) })
		assert.Equal(t, g.syncReplicas(), 1)
		assert.Equal(t, tb.vm.ownerConnectionLimit(testService), limit)
		tb.withdraw(func(c *Configuration) { c.Services[testService] = &Service{Name: testService, Connections: 9} })
		assert.Equal(t, g.syncReplicas(), 0)
	})
}
