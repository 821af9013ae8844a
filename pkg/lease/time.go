package lease

import (
	"context"
	"time"
)

// Drift bounds how much a clock runs fast or slow, in parts per thousand.
const Drift = 5

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

var started = time.Now()

func (l *Lease) now() time.Duration {
	if l.Now == nil {
		return time.Since(started)
	}
	return l.Now()
}

// wait is how long a promise binds the successor: the duration on the slowest clock of
// the holder, told by the fastest of the successor, (1+d)/(1-d) <= 1+3d for d <= 1/3.
func (l *Lease) wait() time.Duration     { return l.duration() + l.duration()*3*Drift/1000 }
func (l *Lease) duration() time.Duration { return either(l.Duration, 3*time.Second) }
func (l *Lease) every() time.Duration    { return either(l.Every, l.duration()/6) }
func (l *Lease) poll() time.Duration     { return either(l.Poll, 30*time.Second) }
func (l *Lease) listLag() time.Duration  { return either(l.ListLag, time.Minute) }

// bound of one call to the table or a peer.
func (l *Lease) bound() time.Duration { return l.duration() / 4 }

func either(set, standard time.Duration) time.Duration {
	if set > 0 {
		return set
	}
	return standard
}
