package peer_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/fakenet"
	"github.com/savoryramp/savoryramp/internal/peer"
	"github.com/savoryramp/savoryramp/pkg/contract"
)

// memoryTable is a table that holds one row.
type memoryTable struct {
	mu  sync.Mutex
	row contract.Row
}

func (t *memoryTable) Read(context.Context) (contract.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.row, nil
}

func (t *memoryTable) Swap(_ context.Context, r contract.Row) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.Version != t.row.Version+1 {
		return contract.ErrConflict.New("version %d", t.row.Version)
	}
	t.row = r
	return nil
}

// fixedLeadership is a leadership that a VM always or never holds.
type fixedLeadership bool

func (l fixedLeadership) Held() bool { return bool(l) }

func TestContractsOverPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, vms, table := fakenet.New(), &vmList{}, &memoryTable{}
		var all []*contract.Shares
		var work sync.WaitGroup
		ctx, cancel := context.WithCancel(t.Context())
		for i := range 3 {
			vms.add(vmName(i))
		}
		for i := range 3 {
			s := &contract.Shares{Self: contract.Holder{VM: contract.VMName(vmName(i)), Incarnation: 1}, Table: table}
			s.SetLimits(map[contract.Name]contract.Limit{"workspace/zakat": contract.Rate{PerSecond: 30, Burst: 30}})
			all = append(all, s)
			v := startVM(t, network, vms, vmName(i), 1, func(f *peer.Fleet) {
				s.Peers = &peer.ContractPeers{Fleet: f, Group: "workspaces"}
				f.OnShare = func(_ context.Context, _ peer.Caller, _ string, body []byte) ([]byte, error) {
					return s.HandleRenew(body)
				}
				f.OnBorrow = func(_ context.Context, _ peer.Caller, _ string, body []byte) ([]byte, error) {
					return s.HandleBorrow(body)
				}
			})
			defer v.stop()
			m := &contract.Allocator{Group: "workspaces", Shares: s, Leadership: fixedLeadership(i == 0)}
			work.Go(func() { _ = s.Run(ctx) })
			work.Go(func() { _ = m.Run(ctx) })
		}
		time.Sleep(10 * time.Second)
		for i := range 30 {
			assert.NilError(t, all[1].Admit(ctx, "workspace/zakat"), "%d", i)
		}
		cancel()
		work.Wait()
	})
}
