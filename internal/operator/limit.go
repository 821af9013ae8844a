package operator

import "github.com/savoryramp/savoryramp/internal/upstream"

// LimitName is the name, on the command line, of a limit on the connections in use.
type LimitName string

// The limits, as typed.
const (
	LimitFixed    LimitName = "fixed"
	LimitAdaptive LimitName = "adaptive"
)

// ConcurrencyLimit returns the limit with this name; an unknown name means LimitFixed.
func (n LimitName) ConcurrencyLimit() upstream.ConcurrencyLimit {
	if n == LimitAdaptive {
		return upstream.AdaptiveLimit{}
	}
	return upstream.FixedLimit{}
}
