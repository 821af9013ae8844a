package operator

import "github.com/savoryramp/savoryramp/internal/upstream"

// LimitName names a limit of the connections in use on the command line.
type LimitName string

// The limits, as typed.
const (
	LimitFixed    LimitName = "fixed"
	LimitAdaptive LimitName = "adaptive"
)

// Limit gives the limit of a name.
func (n LimitName) ConcurrencyLimit() upstream.ConcurrencyLimit {
	if n == LimitAdaptive {
		return upstream.AdaptiveLimit{}
	}
	return upstream.FixedLimit{}
}
