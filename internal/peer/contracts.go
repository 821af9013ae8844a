package peer

import (
	"context"
	"encoding/json"

	"github.com/savoryramp/savoryramp/pkg/contract"
)

// ContractPeers sends the calls of one group of contracts to other VMs. The receiving
// VM answers them with Shares.HandleRenew and Shares.HandleBorrow, which its OnShare and
// OnBorrow handlers call.
type ContractPeers struct {
	Fleet *Fleet
	// Group names the group of contracts in each call.
	Group string
}

var _ contract.Peers = (*ContractPeers)(nil)

// Renew sends a renewal request to a VM and returns its answer. It returns
// contract.ErrUnavailable or contract.ErrMalformed on failure.
func (c *ContractPeers) Renew(ctx context.Context, to contract.VMName, r contract.RenewRequest) (a contract.RenewAnswer, err error) {
	err = c.call(ctx, to, r, &a, c.Fleet.Share)
	return a, err
}

// Borrow requests tokens from a VM. It returns contract.ErrUnavailable or
// contract.ErrMalformed on failure.
func (c *ContractPeers) Borrow(ctx context.Context, to contract.VMName, r contract.BorrowRequest) (a contract.BorrowAnswer, err error) {
	err = c.call(ctx, to, r, &a, c.Fleet.Borrow)
	return a, err
}

type rawCall func(ctx context.Context, to Name, name string, body []byte) ([]byte, error)

func (c *ContractPeers) call(ctx context.Context, to contract.VMName, request, answer any, method rawCall) error {
	body, err := json.Marshal(request)
	if err != nil {
		return contract.ErrMalformed.Wrap(err, "question")
	}
	body, err = method(ctx, Name(to), c.Group, body)
	if err != nil {
		return contract.ErrUnavailable.Wrap(err, "call")
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return contract.ErrMalformed.Wrap(err, "answer")
	}
	return nil
}

// Members returns the VMs that may hold shares. A suspect VM is included, since it keeps
// its shares.
func (c *ContractPeers) Members() []contract.Member {
	var list []contract.Member
	for _, m := range c.Fleet.Members() {
		if m.State == Gone || m.Incarnation == 0 {
			continue
		}
		h := contract.Holder{VM: contract.VMName(m.Name), Incarnation: contract.Incarnation(m.Incarnation)}
		list = append(list, contract.Member{Holder: h, Leaving: m.State == Leaving})
	}
	return list
}

// Ended reports whether an incarnation of a VM has ended: a later incarnation sent a
// heartbeat, this one said goodbye, or its VM left the platform's list and sends no
// heartbeats. Absence from the list alone isn't enough, since the list also lags behind
// new VMs.
func (c *ContractPeers) Ended(h contract.Holder) bool {
	f := c.Fleet
	if Name(h.VM) == f.Self {
		return Incarnation(h.Incarnation) < f.Incarnation
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	n, incarnation := Name(h.VM), Incarnation(h.Incarnation)
	if f.endedIncarnations[n] >= incarnation {
		return true
	}
	m := f.members[n]
	if m == nil {
		return f.delisted[n]
	}
	return m.incarnation > incarnation
}
