package lease

import (
	"context"
	"time"
)

// Drift bounds how much a clock runs fast or slow, in parts per thousand.
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

// wait is how long a promise binds the successor: the duration on the slowest clock of
// the holder, told by the fastest of the successor, (1+d)/(1-d) <= 1+3d for d <= 1/3.
func (l *Lease) takeoverDelay() time.Duration {
	return l.duration() + l.duration()*3*MaxDriftPermille/1000
}
func (l *Lease) duration() time.Duration { return orDefault(l.Duration, 3*time.Second) }
func (l *Lease) renewInterval() time.Duration { return orDefault(l.RenewInterval, l.duration()/6) }

func (l *Lease) pollInterval() time.Duration { return orDefault(l.PollInterval, 30*time.Second) }
func (l *Lease) maxListAge() time.Duration   { return orDefault(l.MaxListAge, time.Minute) }

// bound of one call to the table or a peer.
func (l *Lease) callTimeout() time.Duration { return l.duration() / 4 }

func orDefault(value, fallback time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return fallback
}
