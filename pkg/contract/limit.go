package contract

import (
	"math/bits"
	"time"

	"github.com/joomcode/errorx"
)

// Name identifies a contract, that is, a named limit shared by the VMs, within its group:
// the contracts stored in one table row. An example is "workspace/zakat".
type Name string

// Tokens is a number of tokens of a Rate, or of units of a Count. Each token admits one
// request.
type Tokens int64

// MicroTokens is an amount in millionths of a token.
type MicroTokens int64

// Refill is a refill rate in millionths of a token per second.
type Refill int64

// microPerToken is the number of MicroTokens in one token.
const microPerToken = 1_000_000

// invDrift is the inverse of the greatest relative drift between two monotonic clocks: over
// a duration d they diverge by at most d/invDrift.
const invDrift = 1000

// Limit is the total that is divided into shares among the holders: a Rate or a Count.
type Limit interface{ total() Share }

// Rate admits at most Burst + PerSecond x t requests in every window of t seconds.
type Rate struct {
	// PerSecond is at least 0.
	PerSecond float64
	// Burst is at least 1.
	Burst Tokens
}

// Count allows at most Total units to be in use at once.
type Count struct {
	// Total is at least 0.
	Total Tokens
}

func (r Rate) total() Share  { return Share{Cap: r.Burst, Refill: Refill(r.PerSecond * microPerToken)} }
func (c Count) total() Share { return Share{Cap: c.Total} }

// Share is the part of a limit that one holder may use.
type Share struct {
	// Cap is the holder's part of the burst or of the count. The caps of all holders sum
	// to at most the limit.
	Cap Tokens `json:"cap"`
	// Refill is the holder's part of the rate. The refills of all holders sum to at most
	// the limit.
	Refill Refill `json:"refill,omitempty"`
}

// accrued returns the tokens accrued in d as measured by a clock that may run fast by one
// part in invDrift, and the remainder in billionths of a MicroTokens unit.
func (r Refill) accrued(d time.Duration, remainder uint64) (MicroTokens, uint64) {
	d = min(d, time.Hour)
	high, low := bits.Mul64(uint64(r-r/invDrift), uint64(d))
	low, carry := bits.Add64(low, remainder, 0)
	accrued, remainder := bits.Div64(high+carry, low, uint64(time.Second))
	return MicroTokens(accrued), remainder
}

// timeFor returns how long it takes to accrue m, rounded up, and at most an hour.
func (r Refill) timeFor(m MicroTokens) time.Duration {
	if m <= 0 {
		return 0
	}
	rate := float64(r - r/invDrift)
	if rate <= 0 {
		return time.Hour
	}
	return min(time.Hour, time.Duration(float64(m)/rate*float64(time.Second))+1)
}

var (
	errs = errorx.NewNamespace("contract")
	// ErrExhausted means that no token will be available within the maximum wait; none
	// was taken. RetryAfter returns how long to wait before a retry.
	ErrExhausted = errs.NewType("exhausted")
	// ErrUnknown means that this VM has no contract of that name.
	ErrUnknown = errs.NewType("unknown-contract")
	// ErrConflict means that the stored row has a different version than expected;
	// nothing was written.
	ErrConflict = errs.NewType("conflict")
	// ErrUnavailable means that a peer or the table didn't execute the request.
	ErrUnavailable = errs.NewType("unavailable")
	// ErrOutcomeUnknown means that a write may have taken effect, or may still do so.
	ErrOutcomeUnknown = errs.NewType("outcome-unknown")
	// ErrMalformed means that a message or row can't be decoded.
	ErrMalformed = errs.NewType("malformed")

	retryAfter = errorx.RegisterPrintableProperty("retry-after")
)

// RetryAfter returns the delay that err, an ErrExhausted, recommends before a retry.
func RetryAfter(err error) (time.Duration, bool) {
	v, found := errorx.ExtractProperty(err, retryAfter)
	d, ok := v.(time.Duration)
	return d, found && ok
}

func exhausted(after time.Duration) error {
	return ErrExhausted.New("no token available within the maximum wait").WithProperty(retryAfter, after)
}
