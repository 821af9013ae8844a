// Package clock provides a monotonic clock that continues while the VM is suspended. It
// measures how old information is.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Instant is the time since the VM booted, including suspensions. It is independent of the
// wall clock, so changes of the wall clock don't affect it.
type Instant time.Duration

// source is the clock that Now reads; only Fake replaces it.
var source = sinceBoot

// Now returns the current time of the clock.
func Now() Instant { return source() }

// Fake replaces the clock that Now reads until restore is called. It is for tests.
func Fake(read func() Instant) (restore func()) {
	previous := source
	source = read
	return func() { source = previous }
}

func sinceBoot() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39. Without it, leases could be held for too
		// long after a suspension.
		panic(err)
	}
	return Instant(ts.Nano())
}

// Sub returns the duration from j to i.
func (i Instant) Sub(j Instant) time.Duration { return time.Duration(i - j) }

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Since returns the time elapsed since i.
func Since(i Instant) time.Duration { return Now().Sub(i) }

// Sleep waits for d or until ctx ends. Unlike Now, it doesn't count time during which the VM
// is suspended.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
