package lease

import (
	"context"
	"time"
)

// MaxDriftPermille is by how many parts per thousand a clock may run too fast or too slow.
const MaxDriftPermille = 5

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

var processStart = time.Now()

func (l *Lease) now() time.Duration {
	if l.Now == nil {
		return time.Since(processStart)
	}
	return l.Now()
}

// promiseTTL is how long a promise binds the successor: the duration measured on the
// slowest possible clock of the holder, converted to the fastest possible clock of the
// successor. With a drift of d, the factor is (1+d)/(1-d) <= 1+3d for d <= 1/3.
//
// ttl, renewInterval, pollPeriod and listTTL return the fields Duration, RenewInterval,
// PollInterval and MaxListAge, or their defaults.
func (l *Lease) promiseTTL() time.Duration    { return l.ttl() + l.ttl()*3*MaxDriftPermille/1000 }
func (l *Lease) ttl() time.Duration           { return orDefault(l.Duration, 3*time.Second) }
func (l *Lease) renewInterval() time.Duration { return orDefault(l.RenewInterval, l.ttl()/6) }
func (l *Lease) pollPeriod() time.Duration    { return orDefault(l.PollInterval, 30*time.Second) }
func (l *Lease) listTTL() time.Duration       { return orDefault(l.MaxListAge, time.Minute) }

// callTimeout is the timeout of one call to the table or to a peer.
func (l *Lease) callTimeout() time.Duration { return l.ttl() / 4 }

func orDefault(value, fallback time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return fallback
}
