package contract

import (
	"context"
	"sync"
	"time"
)

// Units manages a VM's share of a Count, such as the connections to one server.
type Units struct {
	mu      sync.Mutex
	now     func() time.Time
	maxWait time.Duration
	// linger is how long a reservation outlives its loan unless the borrower closes the
	// loan.
	linger     time.Duration
	cap        Tokens
	validUntil time.Time
	// used is the number of units in use. New units are granted only up to allowedUnits.
	// used may exceed that after the cap shrank or a validity or loan ended; Excess
	// returns by how much.
	used       Tokens
	loans      loans
	queue      waiters
	timer      *time.Timer
	onShortage func()
	// excessNotify receives a value when units must be released.
	excessNotify chan struct{}
}

func newUnits(maxWait, linger time.Duration, now func() time.Time) *Units {
	return &Units{now: now, maxWait: maxWait, linger: linger, loans: loans{reservations: map[LoanID]reservation{}}, excessNotify: make(chan struct{}, 1)}
}

// Acquire waits for a unit and takes it. It fails with ErrExhausted if none is available
// within the maximum wait, and with the error of ctx if ctx ends first.
func (u *Units) Acquire(ctx context.Context) error {
	u.mu.Lock()
	now := u.now()
	u.refresh(now)
	if len(u.queue) == 0 && u.used < u.allowedUnits(now) {
		u.used++
		u.mu.Unlock()
		return nil
	}
	w := &waiter{deadline: now.Add(u.maxWait), done: make(chan error, 1)}
	u.queue = append(u.queue, w)
	u.refresh(now)
	u.mu.Unlock()
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		return u.cancelWait(ctx, w)
	}
}

// cancelWait removes a waiter from the queue. If the waiter was already admitted or
// refused, cancelWait returns that result instead of the error of ctx.
func (u *Units) cancelWait(ctx context.Context, w *waiter) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.queue.remove(w) {
		return ctx.Err()
	}
	return <-w.done
}

// Release returns a unit once it is no longer in use, for example after its connection was
// closed.
func (u *Units) Release() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.used--
	u.refresh(u.now())
}

// Excess returns how many units in use must be released now because the share shrank, or
// because its validity or that of a loan has ended.
func (u *Units) Excess() Tokens {
	u.mu.Lock()
	defer u.mu.Unlock()
	return max(0, u.used-u.allowedUnits(u.now()))
}

// ExcessNotify returns a channel that receives a value when Excess may have become positive.
func (u *Units) ExcessNotify() <-chan struct{} { return u.excessNotify }

// Used returns how many units are in use.
func (u *Units) Used() Tokens {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.used
}

// ownUnits returns how many units of its own share the VM may use.
func (u *Units) ownUnits(now time.Time) Tokens {
	if !now.Before(u.validUntil) {
		return 0
	}
	return max(0, u.cap-u.loans.reservedTokens())
}

// allowedUnits returns how many units the VM may use now, borrowed units included.
func (u *Units) allowedUnits(now time.Time) Tokens {
	sum := u.ownUnits(now)
	for _, l := range u.loans.borrowed {
		if now.Before(l.validUntil) {
			sum += l.tokens
		}
	}
	return sum
}

// refresh removes expired loans, serves the queue, signals an excess and sets the timer.
func (u *Units) refresh(now time.Time) {
	u.loans.expire(now)
	for len(u.queue) > 0 && u.used < u.allowedUnits(now) {
		u.used++
		u.queue[0].done <- nil
		u.queue = u.queue[1:]
	}
	for len(u.queue) > 0 && !now.Before(u.queue[0].deadline) {
		u.queue[0].done <- exhausted(u.maxWait)
		u.queue = u.queue[1:]
	}
	if len(u.queue) > 0 && u.onShortage != nil {
		u.onShortage()
	}
	if u.used > u.allowedUnits(now) {
		select {
		case u.excessNotify <- struct{}{}:
		default:
		}
	}
	u.scheduleTimer(now)
}

// scheduleTimer sets the timer to the next deadline of a waiter or end of a validity.
func (u *Units) scheduleTimer(now time.Time) {
	if u.timer != nil {
		u.timer.Stop()
	}
	next := time.Hour
	if len(u.queue) > 0 {
		next = min(next, u.queue[0].deadline.Sub(now))
	}
	if u.used > 0 && now.Before(u.validUntil) {
		next = min(next, u.validUntil.Sub(now))
	}
	for _, l := range u.loans.borrowed {
		next = min(next, l.validUntil.Sub(now))
	}
	if next < time.Hour {
		u.timer = time.AfterFunc(max(next, 10*time.Microsecond), u.onTimer)
	}
}

func (u *Units) onTimer() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.refresh(u.now())
}
