package proxy

import (
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/clock"
	"github.com/savoryramp/savoryramp/pkg/placement"
)

// coldRate is the rate of the testbed's cold servers, in requests per second.
const coldRate = 10

// coldTest is a testbed with a cold server and the VM that sends to it.
type coldTest struct {
	*testbed
	mu sync.Mutex
	// sender is the address of the VM that sends, empty for the testbed's VM.
	sender Address
	// doubts is true while the VM was paused after it got its list of servers.
	doubts bool
}

// runColdTest runs a test with a cold server.
func runColdTest(t *testing.T, cold ServerID, test func(ct *coldTest)) {
	ct := &coldTest{}
	senderOf := func(Server) (Address, bool) {
		ct.mu.Lock()
		defer ct.mu.Unlock()
		return ct.sender, ct.sender == ""
	}
	runTestWith(t, func(v *VM) {
		v.Placement = &Placement{Rule: placement.Evacuation{Bound: evacuationBound}, Warmup: placement.Warmup{Overshoot: 1.5, Tolerance: 5}, Sender: senderOf, DoubtsList: func() bool {
			ct.mu.Lock()
			defer ct.mu.Unlock()
			return ct.doubts
		}}
	}, func(tb *testbed) {
		tb.vm.SetEvacuated(nil)
		tb.vm.Configure(coldConfiguration(2, coldRate), "test")
		awaitVerifiedPrimary()
		ct.testbed = tb
		ct.setCold(tb.vm, cold, true)
		test(ct)
	})
}

// coldConfiguration returns a configuration with a rate for cold servers.
func coldConfiguration(version ConfigurationVersion, rate float64) *Configuration {
	c := testConfiguration(version)
	c.Services[testService].WarmupPerSecond = rate
	return c
}

// setCold has the platform list a server as cold, or not.
func (ct *coldTest) setCold(v *VM, id ServerID, cold bool) {
	v.mu.Lock()
	servers := append([]Server(nil), v.servers...)
	v.mu.Unlock()
	for i := range servers {
		if servers[i].ID == id {
			servers[i].Cold = cold
		}
	}
	v.SetServers(servers)
}

// countAt returns how many statements a server has run.
func (ct *coldTest) countAt(id ServerID) int {
	ct.testbed.mu.Lock()
	defer ct.testbed.mu.Unlock()
	n := 0
	for _, entry := range ct.executed {
		if strings.HasPrefix(entry, string(id)+" ") {
			n++
		}
	}
	return n
}

// A cold server must get no more than its rate, whatever the load, or it stays cold.
func TestColdServer(t *testing.T) {
	// limit is what one VM may send in a second.
	const limit = (coldRate*1.5 + 5) / 2
	tests := map[string]struct {
		cold ServerID
		test func(t *testing.T, ct *coldTest)
	}{
		"reads go elsewhere": {"b", func(t *testing.T, ct *coldTest) {
			c := ct.openSession(boundedDatabase)
			ct.setCold(ct.vm, "b", false)
			assert.Equal(t, c.exec(read("1")).Failure, NoFailure)
			assert.Equal(t, ct.lastServer("READ 1"), ServerID("b"))
			ct.setCold(ct.vm, "b", true)
			clock.Sleep(ct.ctx, 1500*time.Millisecond)
			for range 5 {
				before := ct.countAt("b")
				for began := time.Now(); time.Since(began) < time.Second; {
					a := c.exec(read("1"))
					assert.Equal(t, a.Failure, NoFailure, a.Detail)
				}
				got := ct.countAt("b") - before
				assert.Assert(t, got <= limit && got > coldRate/2, "%d in a second", got)
			}
			c.Close()
		}},
		"nothing in the first second": {"b", func(t *testing.T, ct *coldTest) {
			c := ct.openSession(boundedDatabase)
			for began := time.Now(); time.Since(began) < 900*time.Millisecond; {
				assert.Equal(t, c.exec(read("1")).Failure, NoFailure)
			}
			assert.Equal(t, ct.countAt("b"), 0)
			c.Close()
		}},
		"writes to a primary are counted and refused": {"a", func(t *testing.T, ct *coldTest) {
			c := ct.openSession(testDatabase)
			clock.Sleep(ct.ctx, 1500*time.Millisecond)
			for range 5 {
				before, refused := ct.countAt("a"), 0
				for began := time.Now(); time.Since(began) < time.Second; clock.Sleep(ct.ctx, 10*time.Millisecond) {
					if a := c.exec(write("1")); a.Failure != NoFailure {
						assert.Equal(t, a.Failure, Busy)
						assert.Assert(t, strings.Contains(a.Detail, "retry-after-ms="), a.Detail)
						refused++
					}
				}
				got := ct.countAt("a") - before
				assert.Assert(t, got <= limit && got > coldRate/2, "%d in a second", got)
				assert.Assert(t, refused > 0)
			}
			c.Close()
		}},
		"statements of a transaction wait": {"a", func(t *testing.T, ct *coldTest) {
			c := ct.openSession(testDatabase)
			clock.Sleep(ct.ctx, 2*time.Second)
			began := time.Now()
			assert.Equal(t, c.exec(Begin{}).Failure, NoFailure)
			for range 10 {
				a := c.exec(write("1"))
				assert.Equal(t, a.Failure, NoFailure, a.Detail)
			}
			assert.Equal(t, c.exec(Commit{}).Failure, NoFailure)
			assert.Assert(t, time.Since(began) > time.Second)
			c.Close()
		}},
		"no limit once it is warm": {"a", func(t *testing.T, ct *coldTest) {
			c := ct.openSession(testDatabase)
			clock.Sleep(ct.ctx, time.Second)
			ct.setCold(ct.vm, "a", false)
			for range 100 {
				a := c.exec(write("1"))
				assert.Equal(t, a.Failure, NoFailure, a.Detail)
			}
			ct.setCold(ct.vm, "a", true)
			clock.Sleep(ct.ctx, 300*time.Millisecond)
			assert.Equal(t, c.exec(write("1")).Failure, Busy, "cold again after a restart under its id")
			c.Close()
		}},
		"a list from before a pause": {"b", func(t *testing.T, ct *coldTest) {
			c := ct.openSession(testDatabase)
			assert.Equal(t, c.exec(write("1")).Failure, NoFailure)
			ct.mu.Lock()
			ct.doubts = true
			ct.mu.Unlock()
			assert.Equal(t, c.exec(write("2")).Failure, Busy)
			ct.mu.Lock()
			ct.doubts = false
			ct.mu.Unlock()
			assert.Equal(t, c.exec(write("3")).Failure, NoFailure)
			c.Close()
		}},
		"no limit without a rate": {"a", func(t *testing.T, ct *coldTest) {
			ct.vm.Configure(coldConfiguration(3, 0), "test")
			c := ct.openSession(testDatabase)
			for range 100 {
				a := c.exec(write("1"))
				assert.Equal(t, a.Failure, NoFailure, a.Detail)
			}
			c.Close()
		}},
		"another VM sends": {"a", func(t *testing.T, ct *coldTest) {
			relay := ct.relayThroughOwner()
			relay.mu.Lock()
			relay.enabled = false
			relay.mu.Unlock()
			ct.mu.Lock()
			ct.sender = "home"
			ct.mu.Unlock()
			// The owner takes itself for the sender, and has known the server as cold for a while.
			relay.owner.Configure(coldConfiguration(2, coldRate), "test")
			ct.setCold(relay.owner, "a", true)
			clock.Sleep(ct.ctx, 2*time.Second)
			c := ct.openSession(testDatabase)
			a := c.exec(write("1"))
			assert.Equal(t, a.Failure, NoFailure, a.Detail)
			relay.mu.Lock()
			opened := relay.opened
			relay.mu.Unlock()
			assert.Assert(t, opened > 0)
			// Unreachable, it isn't bypassed.
			relay.mu.Lock()
			relay.unreachable = true
			relay.mu.Unlock()
			before := ct.countAt("a")
			assert.Equal(t, c.exec(write("2")).Failure, Busy)
			assert.Equal(t, ct.countAt("a"), before)
			c.Close()
		}},
		"a VM that isn't the sender refuses another VM's requests": {"a", func(t *testing.T, ct *coldTest) {
			ct.mu.Lock()
			ct.sender = "elsewhere"
			ct.mu.Unlock()
			before := ct.countAt("a")
			rs := RemoteSession{VM: ct.vm}
			_, err := rs.Exec(ct.ctx, Batch{Service: testService, Server: "a", Workspace: "amman", Within: 500 * time.Millisecond, Commands: []Command{Forward{ID: "x", Statement: write("1")}}})
			assert.Assert(t, isType(err, ErrBusy), "%v", err)
			assert.Equal(t, ct.countAt("a"), before)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runColdTest(t, test.cold, func(ct *coldTest) { test.test(t, ct) })
		})
	}
}
