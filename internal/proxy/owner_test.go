package proxy

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/clock"
)

// When the owner of a server's connections is replaced, the server still has the old one's and
// those that verifiers had.
func TestOwnerSharesKeepTheLimit(t *testing.T) {
	for name, test := range map[string]struct{ limit, vms, slots int }{
		"84 VMs": {56, 84, 4}, "Ataa": {23, 9, 3}, "Druckkonto": {34, 9, 2}, "one VM": {10, 1, 2}, "tiny": {6, 3, 2},
	} {
		t.Run(name, func(t *testing.T) {
			fresh, established := ownerShare(test.limit, test.vms, test.slots, false), ownerShare(test.limit, test.vms, test.slots, true)
			verifiers := min(test.vms, MaxVerifiers, test.limit/2)
			assert.Assert(t, fresh >= min(test.slots, test.limit/4), "%d", fresh)
			assert.Assert(t, established >= fresh, "%d, %d", established, fresh)
			assert.Assert(t, fresh+established+verifiers <= test.limit, "%d + %d + %d of %d", fresh, established, verifiers, test.limit)
		})
	}
}

// ownerSwitch is a relay whose answer to OwnsAny can change.
type ownerSwitch struct {
	fakeRelay
	owns atomic.Bool
}

func (o *ownerSwitch) OwnsAny(Server, int) bool { return o.owns.Load() }

// A VM that has just become the owner has the share of a successor, for as long as the server keeps
// the old owner's connections, and again each time. One that other VMs use as the owner, because
// they noticed first that the old one failed, has it too.
func TestShareOfNewOwner(t *testing.T) {
	relay := &ownerSwitch{}
	runScheduledWith(t, func(v *VM) { v.Relay, v.Fleet = relay, nonVerifierFleet{84, true} }, func(tb *testbed) {
		c := scheduledConfiguration()
		c.Version = 3
		c.Services[testService].Connections = 56
		tb.vm.Configure(c, "test")
		p := tb.primaryPool()
		fresh, established := Share{5, 5}, Share{40, 40}
		share := func() Share {
			clock.Sleep(tb.ctx, shareTTL)
			return p.Share()
		}
		assert.Equal(t, share(), Share{MaxOpen: 1})
		relay.owns.Store(true)
		assert.Equal(t, share(), fresh)
		clock.Sleep(tb.ctx, serverKeepTime)
		assert.Equal(t, share(), established)
		relay.owns.Store(false)
		assert.Equal(t, share(), Share{MaxOpen: 1})
		relay.owns.Store(true)
		assert.Equal(t, share(), fresh)
		relay.owns.Store(false)
		assert.Equal(t, share(), Share{MaxOpen: 1})
		rs := RemoteSession{VM: tb.vm}
		_, err := rs.Exec(tb.ctx, Batch{Service: testService, Server: "a", Workspace: "w", Within: time.Second, Commands: []Command{BeginAt{}, Abandon{}}, Verification: true})
		assert.NilError(t, err)
		assert.Equal(t, p.Share(), fresh)
		clock.Sleep(tb.ctx, actingOwnerTime)
		assert.Equal(t, share(), Share{MaxOpen: 1})
	})
}

// rankedRelay has VMs in order of rank. Those in unreachable can't be reached, and aren't chosen
// again after an attempt.
type rankedRelay struct {
	mu          sync.Mutex
	owner       *VM
	order       []Address
	unreachable map[Address]bool
	avoided     map[Address]bool
}

func (r *rankedRelay) Owner(Server, WorkspaceName, int) (Address, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.order {
		if !r.avoided[a] {
			return a, false
		}
	}
	return "", true
}

func (*rankedRelay) OwnsAny(Server, int) bool { return false }

func (r *rankedRelay) Open(ctx context.Context, a Address) (PeerLink, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unreachable[a] {
		r.avoided[a] = true
		return nil, ErrPeerUnreachable.New("%s is down", a)
	}
	return &fakePeerLink{relay: &fakeRelay{}, ctx: ctx, session: RemoteSession{VM: r.owner}}, nil
}

// While the owner can't be reached, requests use the next in rank, and open no connection of their
// VM's own.
func TestSuccessorOfOwner(t *testing.T) {
	relay := &rankedRelay{unreachable: map[Address]bool{"first": true}, avoided: map[Address]bool{}}
	runScheduledWith(t, func(v *VM) { v.Relay = relay }, func(tb *testbed) {
		owner := &VM{Name: "second", Zone: "a", Connect: tb.connect, Fleet: settledFleet{1}, Logger: tb.vm.Logger, PriorityScheduling: true}
		owner.SetServers(tb.vm.servers)
		owner.Configure(scheduledConfiguration(), "test")
		tb.tasks.Go(func() { _ = owner.Run(tb.ctx) })
		awaitVerifiedPrimary()
		relay.mu.Lock()
		relay.owner, relay.order = owner, []Address{"first", "second"}
		relay.mu.Unlock()
		before, _, _, _ := tb.primaryPool().counts()
		c := tb.openSession(testDatabase)
		for range 3 {
			assert.Equal(t, c.exec(write("1")).Failure, NoFailure)
		}
		c.Close()
		after, _, _, _ := tb.primaryPool().counts()
		assert.Equal(t, after, before)
		open, _, _, _ := owner.member(testService, "a").pool.counts()
		assert.Assert(t, open > 0)
	})
}
