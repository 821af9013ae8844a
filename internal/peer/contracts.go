package peer

import (
	"context"
	"encoding/json"

	"github.com/savoryramp/savoryramp/pkg/contract"
)

// Contracts carries the calls of one group's contracts between VMs. Its VM answers
// them by Shares.HandleRenew and Shares.HandleBorrow from OnShare and OnBorrow.
type Contracts struct {
	Fleet *Fleet
	// Group is the name that the calls go under.
	Group string
}

var _ contract.Peers = (*Contracts)(nil)

// Renew asks a VM about its newest row. contract.ErrUnavailable, ErrMalformed.
func (c *Contracts) Renew(ctx context.Context, to contract.VMName, r contract.RenewRequest) (a contract.RenewAnswer, err error) {
	err = c.call(ctx, to, r, &a, c.Fleet.Share)
	return a, err
}

// Borrow asks a VM for tokens. contract.ErrUnavailable, ErrMalformed.
func (c *Contracts) Borrow(ctx context.Context, to contract.VMName, r contract.BorrowRequest) (a contract.BorrowAnswer, err error) {
	err = c.call(ctx, to, r, &a, c.Fleet.Borrow)
	return a, err
}

type bodyCall func(ctx context.Context, to Name, name string, body []byte) ([]byte, error)

func (c *Contracts) call(ctx context.Context, to contract.VMName, question, answer any, method bodyCall) error {
	body, err := json.Marshal(question)
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

// Members lists the VMs that may hold shares; a suspect one keeps its own.
func (c *Contracts) Members() []contract.Member {
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

// Ended tells whether a later incarnation was heard, or this one said goodbye, or its
// VM went from the platform's list and is silent. Not to be in the list is not enough,
// since the list lags behind new VMs too.
func (c *Contracts) Ended(h contract.Holder) bool {
	f := c.Fleet
	if Name(h.VM) == f.Self {
		return Incarnation(h.Incarnation) < f.Incarnation
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	n, life := Name(h.VM), Incarnation(h.Incarnation)
	if f.ended[n] >= life {
		return true
	}
	m := f.members[n]
	if m == nil {
		return f.removed[n]
	}
	return m.life > life
}
