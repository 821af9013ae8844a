package contract

import (
	"math/bits"
	"time"

	"github.com/joomcode/errorx"
)

// Name names one limited thing within a group, such as "workspace/zakat".
type Name string

// Tokens counts whole admissions.
type Tokens int64

// Micro is a millionth of a token.
type Micro int64

// Refill is in millionths of a token per second.
type Refill int64

// token is one token in millionths.
const token = 1_000_000

// drift bounds how far two monotonic clocks part, as one in so many.
const drift = 1000

// Limit is what a contract shares out. Its cases are Rate and Count.
type Limit interface{ whole() Share }

// Rate allows Burst plus PerSecond times the seconds in every window.
type Rate struct {
	// PerSecond is at least 0.
	PerSecond float64
	// Burst is at least 1.
	Burst Tokens
}

// Count allows Total units in use at once.
type Count struct {
	// Total is at least 0.
	Total Tokens
}

func (r Rate) whole() Share  { return Share{Cap: r.Burst, Refill: Refill(r.PerSecond * token)} }
func (c Count) whole() Share { return Share{Cap: c.Total} }

// Share is one holder's part of a limit.
type Share struct {
	// Cap is the part of the burst, or of the count. Caps sum to at most the limit.
	Cap Tokens `json:"cap"`
	// Refill is the part of the rate. Refills sum to at most the limit.
	Refill Refill `json:"refill,omitempty"`
}

// arrives gives the tokens that r brings in d on a clock that may run fast by one
// in drift, and the rest in units of a billionth of a Micro.
func (r Refill) arrives(d time.Duration, rest uint64) (Micro, uint64) {
	d = min(d, time.Hour)
	hi, lo := bits.Mul64(uint64(r-r/drift), uint64(d))
	lo, carry := bits.Add64(lo, rest, 0)
	whole, rest := bits.Div64(hi+carry, lo, uint64(time.Second))
	return Micro(whole), rest
}

// takes gives how long r needs for m, rounded up; an hour at most.
func (r Refill) takes(m Micro) time.Duration {
	if m <= 0 {
		return 0
	}
	rate := float64(r - r/drift)
	if rate <= 0 {
		return time.Hour
	}
	return min(time.Hour, time.Duration(float64(m)/rate*float64(time.Second))+1)
}

var (
	errs = errorx.NewNamespace("contract")
	// ErrExhausted means that no token will be there within the wait bound; nothing
	// was taken. RetryAfter tells when one may be.
	ErrExhausted = errs.NewType("exhausted")
	// ErrUnknown means that no contract of that name is held here.
	ErrUnknown = errs.NewType("unknown-contract")
	// ErrConflict means that the row has another version; nothing was written.
	ErrConflict = errs.NewType("conflict")
	// ErrUnavailable means that a peer or the table did nothing.
	ErrUnavailable = errs.NewType("unavailable")
	// ErrOutcomeUnknown means that a write may take or have taken effect.
	ErrOutcomeUnknown = errs.NewType("outcome-unknown")
	// ErrMalformed means that a message or row can't be read.
	ErrMalformed = errs.NewType("malformed")

	retryAfter = errorx.RegisterPrintableProperty("retry-after")
)

// RetryAfter gives the wait that an ErrExhausted carries.
func RetryAfter(err error) (time.Duration, bool) {
	v, found := errorx.ExtractProperty(err, retryAfter)
	d, ok := v.(time.Duration)
	return d, found && ok
}

func exhausted(after time.Duration) error {
	return ErrExhausted.New("no token within the wait bound").WithProperty(retryAfter, after)
}
