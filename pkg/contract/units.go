package contract

import (
	"context"
	"sync"
	"time"
)

// Units are a VM's part of a Count, such as the connections to one server.
type Units struct {
	mu    sync.Mutex
	now   func() time.Time
	bound time.Duration
	// linger keeps the place of a loan that wasn't given back.
	linger time.Duration
	cap    Tokens
	valid  time.Time
	// used is at most cap less the places of loans out, plus loans held, except for
	// Excess after one of these shrank.
	used  Tokens
	loans loans
	queue waiters
	timer *time.Timer
	short func()
	// excess tells that units must be given back.
	excess chan struct{}
}

func newUnits(bound, linger time.Duration, now func() time.Time) *Units {
	return &Units{now: now, bound: bound, linger: linger, loans: loans{out: map[LoanID]place{}}, excess: make(chan struct{}, 1)}
}

// Acquire waits for a unit. ErrExhausted: none within the bound; or ctx's error.
func (u *Units) Acquire(ctx context.Context) error {
	u.mu.Lock()
	now := u.now()
	u.settle(now)
	if len(u.queue) == 0 && u.used < u.allowed(now) {
		u.used++
		u.mu.Unlock()
		return nil
	}
	w := &waiter{deadline: now.Add(u.bound), done: make(chan error, 1)}
	u.queue = append(u.queue, w)
	u.settle(now)
	u.mu.Unlock()
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		return u.leave(ctx, w)
	}
}

func (u *Units) leave(ctx context.Context, w *waiter) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.queue.remove(w) {
		return ctx.Err()
	}
	return <-w.done
}

// Release gives a unit back once the thing that it stood for has ended.
func (u *Units) Release() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.used--
	u.settle(u.now())
}

// Excess is how many units in use must be released now, because the share shrank or
// its validity or a loan's is over.
func (u *Units) Excess() Tokens {
	u.mu.Lock()
	defer u.mu.Unlock()
	return max(0, u.used-u.allowed(u.now()))
}

// Shrunk gets a value when there may be an Excess.
func (u *Units) Shrunk() <-chan struct{} { return u.excess }

// Used is how many units are in use.
func (u *Units) Used() Tokens {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.used
}

// own is what the VM may use of its own share.
func (u *Units) own(now time.Time) Tokens {
	if !now.Before(u.valid) {
		return 0
	}
	return max(0, u.cap-u.loans.lent())
}

func (u *Units) allowed(now time.Time) Tokens {
	sum := u.own(now)
	for _, l := range u.loans.held {
		if now.Before(l.until) {
			sum += l.tokens
		}
	}
	return sum
}

// settle drops what lapsed, serves the queue and sets the timer.
func (u *Units) settle(now time.Time) {
	u.loans.expire(now)
	for len(u.queue) > 0 && u.used < u.allowed(now) {
		u.used++
		u.queue[0].done <- nil
		u.queue = u.queue[1:]
	}
	for len(u.queue) > 0 && !now.Before(u.queue[0].deadline) {
		u.queue[0].done <- exhausted(u.bound)
		u.queue = u.queue[1:]
	}
	if len(u.queue) > 0 && u.short != nil {
		u.short()
	}
	if u.used > u.allowed(now) {
		select {
		case u.excess <- struct{}{}:
		default:
		}
	}
	u.arm(now)
}

// arm wakes the units at the next deadline or end of a validity.
func (u *Units) arm(now time.Time) {
	if u.timer != nil {
		u.timer.Stop()
	}
	next := time.Hour
	if len(u.queue) > 0 {
		next = min(next, u.queue[0].deadline.Sub(now))
	}
	if u.used > 0 && now.Before(u.valid) {
		next = min(next, u.valid.Sub(now))
	}
	for _, l := range u.loans.held {
		next = min(next, l.until.Sub(now))
	}
	if next < time.Hour {
		u.timer = time.AfterFunc(max(next, 10*time.Microsecond), u.wake)
	}
}

func (u *Units) wake() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.settle(u.now())
}
