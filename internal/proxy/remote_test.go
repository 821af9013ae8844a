package proxy

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/pkg/quota"
)

// fakeRelay connects the testbed's VM to another VM without a network.
type fakeRelay struct {
	owner *VM
	mu    sync.Mutex
	// enabled makes the other VM the owner of all connections.
	enabled bool
	// unreachable makes Open fail; loseAnswers runs batches but loses their answers.
	unreachable, loseAnswers bool
	opened                   int
}

func (fr *fakeRelay) Owner(Server, WorkspaceName, int) (Address, bool) {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	return "home", !fr.enabled
}

func (fr *fakeRelay) OwnsAny(Server, int) bool { return true }

func (fr *fakeRelay) Open(ctx context.Context, _ Address) (PeerLink, error) {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	if fr.unreachable {
		return nil, ErrPeerUnreachable.New("owner is down")
	}
	fr.opened++
	return &fakePeerLink{relay: fr, ctx: ctx, session: RemoteSession{VM: fr.owner}}, nil
}

type fakePeerLink struct {
	relay   *fakeRelay
	ctx     context.Context
	session RemoteSession
	// last is the last batch.
	last Batch
}

func (link *fakePeerLink) Exec(b Batch, _ time.Time) ([]Answer, error) {
	link.last = b
	answers, err := link.session.Exec(link.ctx, b)
	link.relay.mu.Lock()
	defer link.relay.mu.Unlock()
	if link.relay.loseAnswers {
		return nil, ErrPeerOutcomeUnknown.New("owner doesn't answer")
	}
	return answers, err
}

func (link *fakePeerLink) Load() ServerLoad { return link.session.Load(link.last) }

func (link *fakePeerLink) Release(keep bool) {
	if !keep {
		link.session.Close()
	}
}

// relayThroughOwner adds a second VM that owns the connections which the testbed's VM uses.
func (tb *testbed) relayThroughOwner() *fakeRelay { return tb.relayThroughOwnerWith(func(*VM) {}) }

// relayThroughOwnerWith is relayThroughOwner with a change to the owner before it starts.
func (tb *testbed) relayThroughOwnerWith(change func(*VM)) *fakeRelay {
	owner := &VM{Name: "home", Zone: "a", Connect: tb.connect, Fleet: settledFleet{1}, Logger: tb.vm.Logger}
	change(owner)
	if tb.vm.Placement != nil {
		owner.Placement = &Placement{Rule: tb.vm.Placement.Rule, Warmup: tb.vm.Placement.Warmup, Sender: func(Server) (Address, bool) { return "", true }}
	}
	owner.SetServers(tb.vm.servers)
	owner.Configure(testConfiguration(1), "test")
	tb.tasks.Go(func() { _ = owner.Run(tb.ctx) })
	awaitVerifiedPrimary()
	tb.relay.mu.Lock()
	defer tb.relay.mu.Unlock()
	tb.relay.owner, tb.relay.enabled = owner, true
	return tb.relay
}

func TestRelay(t *testing.T) {
	tests := map[string]func(t *testing.T, tb *testbed, relay *fakeRelay){
		"statements and transactions run on the owner's connections": func(t *testing.T, tb *testbed, relay *fakeRelay) {
			c := tb.openSession(testDatabase)
			assert.Equal(t, c.exec(Set{"lang", "ar"}).Failure, NoFailure)
			assert.Equal(t, c.exec(Prepare{"s", Plan{Shape: "q"}}).Failure, NoFailure)
			for _, s := range []Statement{write("1"), read("1"), Execute{"s", "1"}, Begin{}, write("2"), read("2"), Commit{}} {
				a := c.exec(s)
				assert.Equal(t, a.Failure, NoFailure, "%T: %s", s, a.Detail)
			}
			assert.Equal(t, tb.countRuns("EXECUTE q 1"), 1)
			assert.Equal(t, tb.countRuns("COMMIT"), 1)
			relay.mu.Lock()
			assert.Assert(t, relay.opened > 0)
			relay.mu.Unlock()
			c.Close()
		},
		"the owner rolls back the transaction of a caller that disconnects": func(t *testing.T, tb *testbed, _ *fakeRelay) {
			c := tb.openSession(testDatabase)
			assert.Equal(t, c.exec(Begin{}).Failure, NoFailure)
			assert.Equal(t, c.exec(write("1")).Failure, NoFailure)
			c.Close()
			awaitVerifiedPrimary()
			next := tb.openSession(testDatabase)
			assert.Equal(t, next.exec(write("2")).Failure, NoFailure)
			assert.Equal(t, tb.countRuns("COMMIT"), 0)
			next.Close()
		},
		"an unreachable owner is bypassed": func(t *testing.T, tb *testbed, relay *fakeRelay) {
			relay.mu.Lock()
			relay.unreachable = true
			relay.mu.Unlock()
			c := tb.openSession(testDatabase)
			assert.Equal(t, c.exec(write("1")).Failure, NoFailure)
			assert.Equal(t, c.exec(read("1")).Failure, NoFailure)
			c.Close()
		},
		"a write without an answer from the owner is in doubt and runs once": func(t *testing.T, tb *testbed, relay *fakeRelay) {
			c := tb.openSession(testDatabase)
			relay.mu.Lock()
			relay.loseAnswers = true
			relay.mu.Unlock()
			assert.Equal(t, c.exec(write("1")).Failure, InDoubt)
			assert.Equal(t, tb.countRuns("WRITE 1 x"), 1)
			c.Close()
		},
		"errors of the owner don't count against the primary": func(t *testing.T, tb *testbed, relay *fakeRelay) {
			relay.mu.Lock()
			relay.loseAnswers = true
			relay.mu.Unlock()
			c := tb.openSession(testDatabase)
			for range 5 {
				c.exec(write("1"))
			}
			assert.Assert(t, !tb.vm.group(testService).observation().Failing)
			c.Close()
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runTest(t, func(tb *testbed) { test(t, tb, tb.relayThroughOwner()) })
		})
	}
}

// A draining owner waits for the transactions of other VMs.
func TestDrainWaitsForRemoteSessions(t *testing.T) {
	runTest(t, func(tb *testbed) {
		relay := tb.relayThroughOwner()
		c := tb.openSession(testDatabase)
		assert.Equal(t, c.exec(Begin{}).Failure, NoFailure)
		assert.Equal(t, c.exec(write("1")).Failure, NoFailure)
		done := make(chan bool)
		go func() {
			relay.owner.Drain(tb.ctx, 5*time.Second)
			close(done)
		}()
		clock.Sleep(tb.ctx, minDrainDuration+4*drainPollInterval)
		select {
		case <-done:
			t.Error("the drain ended before the transaction")
		default:
		}
		assert.Equal(t, c.exec(Rollback{}).Failure, NoFailure)
		<-done
		c.Close()
	})
}

// A transaction whose connection at the owner is lost must not continue on another connection.
func TestRemoteSessionStaysOnItsConnection(t *testing.T) {
	runTest(t, func(tb *testbed) {
		awaitVerifiedPrimary()
		rs := RemoteSession{VM: tb.vm}
		p := newProfile()
		b := Batch{Service: testService, Server: "a", Workspace: "amman", Within: time.Second, Profiled: true, Values: p.values}
		begin, write := b, b
		begin.Commands = []Command{BeginAt{}}
		write.Commands, write.Open = []Command{Forward{ID: "1", Statement: Write{Text: "WRITE 1 x"}}}, true
		_, err := rs.Exec(tb.ctx, begin)
		assert.NilError(t, err)
		tb.onServer("a", func(s *memServer) { s.fault = onText("WRITE 1 x", breakBefore) })
		_, err = rs.Exec(tb.ctx, write)
		assert.Assert(t, isType(err, ErrBroken), "%v", err)
		_, err = rs.Exec(tb.ctx, write)
		assert.Assert(t, isType(err, ErrBroken), "%v", err)
		assert.Equal(t, tb.countRuns("WRITE 1 x"), 0)
		rs.Close()
	})
}

// numberedOwners assigns workspaces to VMs by the last digit of the workspace's name.
type numberedOwners struct {
	fakeRelay
	vms, own int
}

func (o *numberedOwners) Owner(_ Server, w WorkspaceName, _ int) (Address, bool) {
	return "", int(w[len(w)-1]-'0')%o.vms == o.own
}

// All VMs lose power and return at once. The server still has their old connections, so the
// shares must leave room for as many new ones.
func TestSharesAfterPowerLoss(t *testing.T) {
	for name, test := range map[string]struct{ limit, vms int }{"Ataa": {23, 3}, "Druckkonto": {34, 3}, "one VM": {10, 1}} {
		t.Run(name, func(t *testing.T) {
			c := testConfiguration(1)
			c.Services[testService].Connections = test.limit
			for i := range 9 {
				w := &Workspace{Name: WorkspaceName(fmt.Sprint("w", i))}
				c.Workspaces[w.Name] = w
			}
			sum := 0
			for own := range test.vms {
				limiter := &quota.Limiter{Now: func() time.Duration { return time.Hour }, VMCount: func() int { return 1 }}
				for i := range 9 {
					for range i * 10 {
						limiter.Admit(fmt.Sprint("w", i), 1000, 1000)
					}
				}
				vm := &VM{Relay: &numberedOwners{vms: test.vms, own: own}, Quota: limiter, Fleet: settledFleet{test.vms}, Logger: log.NewNopLogger()}
				delete(c.Workspaces, "amman")
				vm.Configure(c, "test")
				sum += vm.computeShare(testService, Server{ID: "a", Service: testService}).MaxOpen
			}
			assert.Assert(t, 2*sum <= test.limit, "the shares sum up to %d of %d connections", sum, test.limit)
		})
	}
}

// nonVerifierFleet is a large fleet in which this VM is not a verifier.
type nonVerifierFleet struct {
	size    int
	settled bool
}

func (f nonVerifierFleet) Size() int                 { return f.size }
func (nonVerifierFleet) Rank() int                   { return 0 }
func (f nonVerifierFleet) Settled() bool             { return f.settled }
func (nonVerifierFleet) IsVerifier(ServiceName) bool { return false }

// A fleet with more VMs than a server accepts connections restarts at once. The connections
// that each VM may keep open must leave room for those of the owners.
func TestSharesInLargeFleet(t *testing.T) {
	const limit, vms = 62, 89
	for name, test := range map[string]struct {
		settled bool
		own     int
		want    Share
	}{
		"the only owner": {true, 0, Share{27, 27}},
		"no owner, opens a connection only when an owner is unreachable": {true, 1, Share{1, 0}},
		"a VM that doesn't know the other VMs yet":                       {false, 0, Share{1, 1}},
	} {
		t.Run(name, func(t *testing.T) {
			limiter := &quota.Limiter{Now: func() time.Duration { return time.Hour }, VMCount: func() int { return vms }}
			vm := &VM{Relay: &numberedOwners{vms: vms, own: test.own}, Quota: limiter, Fleet: nonVerifierFleet{vms, test.settled}, Logger: log.NewNopLogger()}
			c := testConfiguration(1)
			c.Services[testService].Connections = limit
			c.Workspaces = map[WorkspaceName]*Workspace{"w0": {Name: "w0"}}
			vm.Configure(c, "test")
			assert.Equal(t, vm.computeShare(testService, Server{ID: "a", Service: testService}), test.want)
		})
	}
}

func TestEvenShare(t *testing.T) {
	for name, test := range map[string]struct{ limit, size, most int }{
		"more connections than VMs":  {23, 9, 23},
		"as many connections as VMs": {9, 9, 9},
		"fewer":                      {5, 9, 9},
	} {
		t.Run(name, func(t *testing.T) {
			sum := 0
			for rank := range test.size {
				n := evenShare(test.limit, test.size, rank, "i-1")
				assert.Assert(t, n >= minConnections)
				sum += n
			}
			assert.Equal(t, sum, test.most)
		})
	}
}

// An empty batch, which no VM of this version sends, must not leave a connection checked out.
func TestEmptyBatch(t *testing.T) {
	runTest(t, func(tb *testbed) {
		awaitVerifiedPrimary()
		rs := RemoteSession{VM: tb.vm}
		answers, err := rs.Exec(tb.ctx, Batch{Service: testService, Server: "a", Workspace: "amman", Within: time.Second})
		assert.NilError(t, err)
		assert.Equal(t, len(answers), 0)
		rs.Close()
	})
}
