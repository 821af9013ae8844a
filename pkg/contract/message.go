package contract

import (
	"context"
	"encoding/json"
)

// RenewRequest asks whether a row is still the newest that a holder knows.
type RenewRequest struct {
	Version Version `json:"version"`
	// Row comes along when the asker believes that the other has an older one.
	Row *Row `json:"row,omitempty"`
}

// RenewAnswer is a holder's word that it takes the version as the newest. From then
// on it answers nobody with an older one.
type RenewAnswer struct {
	Holder Holder `json:"holder"`
	// Version is the newest row that the holder knows.
	Version Version `json:"version"`
	// Adopted is the newest row whose smaller shares are in force at the holder,
	// loans included.
	Adopted Version `json:"adopted"`
	// Row comes along when the asker's is older.
	Row *Row `json:"row,omitempty"`
	// Demand is what the holder was asked for lately, in requests per second or units.
	Demand map[Name]float64 `json:"demand,omitempty"`
}

// Peers carries calls to other VMs. A call that fails may have been answered all the
// same: neither side builds on failure.
type Peers interface {
	Renew(ctx context.Context, to VMName, r RenewRequest) (RenewAnswer, error)
	Borrow(ctx context.Context, to VMName, r BorrowRequest) (BorrowAnswer, error)
	// Members lists the VMs that answer, this one not among them.
	Members() []Member
	// Ended tells whether a holder's process has ended for certain: a later incarnation
	// of its VM was heard, or the platform has removed the VM. Silence is not enough.
	Ended(h Holder) bool
}

// Member is a VM as membership knows it.
type Member struct {
	Holder Holder
	// Leaving VMs get no shares.
	Leaving bool
}

// HandleRenew answers a peer's RenewRequest in JSON. ErrMalformed.
func (s *Shares) HandleRenew(body []byte) ([]byte, error) {
	var r RenewRequest
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, ErrMalformed.Wrap(err, "renewal")
	}
	return encode(s.Renewed(r))
}

// HandleBorrow answers a peer's BorrowRequest in JSON. ErrMalformed, ErrUnknown.
func (s *Shares) HandleBorrow(body []byte) ([]byte, error) {
	var r BorrowRequest
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, ErrMalformed.Wrap(err, "loan")
	}
	a, err := s.Lend(r)
	if err != nil {
		return nil, err
	}
	return encode(a)
}

const (
	// maxTokens bounds tokens in messages and rows, so that sums of their millionths over
	// a fleet stay in range.
	maxTokens Tokens = 1e11
	// maxRefill bounds refills in them: a billion tokens per second.
	maxRefill Refill = 1e9 * token
)

// UnmarshalJSON reads a count of tokens. ErrMalformed outside of 0 to 1e11.
func (t *Tokens) UnmarshalJSON(body []byte) error {
	n, err := within(body, int64(maxTokens))
	*t = Tokens(n)
	return err
}

// UnmarshalJSON reads a refill. ErrMalformed outside of 0 to 1e15 millionths per second.
func (r *Refill) UnmarshalJSON(body []byte) error {
	n, err := within(body, int64(maxRefill))
	*r = Refill(n)
	return err
}

func within(body []byte, most int64) (int64, error) {
	var n int64
	if err := json.Unmarshal(body, &n); err != nil {
		return 0, ErrMalformed.Wrap(err, "number")
	}
	if n < 0 || n > most {
		return 0, ErrMalformed.New("%d is not from 0 to %d", n, most)
	}
	return n, nil
}

func encode(v any) ([]byte, error) {
	body, err := json.Marshal(v)
	if err != nil {
		return nil, ErrMalformed.Wrap(err, "encode")
	}
	return body, nil
}
