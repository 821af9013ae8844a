// Package clock gives the age of beliefs on a clock that also counts suspensions.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a time since the VM booted, suspensions included. The time of day isn't
// part of it, so steps of the wall clock don't move it.
type Instant time.Duration

// now is what Now reads; only Fake changes it.
var source = sinceBoot

// Now reads the clock.
func Now() Instant { return source() }

// Fake has Now read another clock until restore is called, for tests.
func Fake(read func() Instant) (restore func()) {
	previous := source
	source = read
	return func() { source = previous }
}

func sinceBoot() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had the clock since 2.6.39; going on without it would break promises.
		panic(err)
	}
	return Instant(ts.Nano())
}

// Sub is the time from j to i.
func (i Instant) Sub(j Instant) time.Duration { return time.Duration(i - j) }

// Add is the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Since is the time from i to now.
func Since(i Instant) time.Duration { return Now().Sub(i) }

// Sleep pauses for d, or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
