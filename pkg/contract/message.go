package contract

import (
	"context"
	"encoding/json"
)

// RenewRequest asks a holder to confirm that it knows no newer row than Version.
type RenewRequest struct {
	Version Version `json:"version"`
	// Row is the row of that version. It is set if the receiver is assumed to have an
	// older one.
	Row *Row `json:"row,omitempty"`
}

// RenewAnswer confirms that Version is the newest row that Holder knows. The holder never
// confirms an older version afterwards.
type RenewAnswer struct {
	Holder Holder `json:"holder"`
	// Version is the version of the newest row that the holder knows.
	Version Version `json:"version"`
	// Adopted is the newest version whose shares the holder keeps to, including the
	// tokens or units that it lent.
	Adopted Version `json:"adopted"`
	// Row is the newest row. It is set if the requester has an older one.
	Row *Row `json:"row,omitempty"`
	// Demand is the recent demand at the holder: requests per second for a Rate, units
	// for a Count.
	Demand map[Name]float64 `json:"demand,omitempty"`
}

// Peers sends requests to other VMs. A request whose call fails may still have been
// executed, so neither side may rely on a failure.
type Peers interface {
	Renew(ctx context.Context, to VMName, r RenewRequest) (RenewAnswer, error)
	Borrow(ctx context.Context, to VMName, r BorrowRequest) (BorrowAnswer, error)
	// Members lists the reachable VMs other than this one.
	Members() []Member
	// Ended reports whether a holder's process is known to have ended: a later
	// incarnation of its VM was seen, or the platform removed the VM. A VM that only
	// doesn't answer has not ended.
	Ended(h Holder) bool
}

// Member is a VM that the membership protocol considers reachable.
type Member struct {
	Holder Holder
	// Leaving is set for a VM that shuts down; it is allocated no shares.
	Leaving bool
}

// HandleRenew decodes a peer's RenewRequest from JSON and returns the encoded
// RenewAnswer. It fails with ErrMalformed.
func (s *Shares) HandleRenew(body []byte) ([]byte, error) {
	var r RenewRequest
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, ErrMalformed.Wrap(err, "renewal")
	}
	return encode(s.AnswerRenew(r))
}

// HandleBorrow decodes a peer's BorrowRequest from JSON and returns the encoded
// BorrowAnswer. It fails with ErrMalformed or ErrUnknown.
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
	// maxTokens is the largest accepted number of tokens in a message or row. Sums of
	// such numbers over a fleet, in MicroTokens, don't overflow.
	maxTokens Tokens = 1e11
	// maxRefill is the largest accepted refill rate: a billion tokens per second.
	maxRefill Refill = 1e9 * microPerToken
)

// UnmarshalJSON decodes a number of tokens. It fails with ErrMalformed if the number is
// negative or exceeds maxTokens.
func (t *Tokens) UnmarshalJSON(body []byte) error {
	n, err := unmarshalBounded(body, int64(maxTokens))
	*t = Tokens(n)
	return err
}

// UnmarshalJSON decodes a refill rate. It fails with ErrMalformed if the rate is negative
// or exceeds maxRefill.
func (r *Refill) UnmarshalJSON(body []byte) error {
	n, err := unmarshalBounded(body, int64(maxRefill))
	*r = Refill(n)
	return err
}

func unmarshalBounded(body []byte, maxValue int64) (int64, error) {
	var n int64
	if err := json.Unmarshal(body, &n); err != nil {
		return 0, ErrMalformed.Wrap(err, "number")
	}
	if n < 0 || n > maxValue {
		return 0, ErrMalformed.New("%d is outside the range 0 to %d", n, maxValue)
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
