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
	out   map[LoanID]place
	held  []loan
	queue []*waiter
	timer *time.Timer
	short func()
	// excess tells that units must be given back.
	excess chan struct{}
}

func newUnits(bound, linger time.Duration, now func() time.Time) *Units {
	return &Units{now: now, bound: bound, linger: linger, out: map[LoanID]place{}, excess: make(chan struct{}, 1)}
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
	for i, q := range u.queue {
		if q == w {
			u.queue = append(u.queue[:i:i], u.queue[i+1:]...)
			return ctx.Err()
		}
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
	return max(0, u.cap-u.lent())
}

func (u *Units) allowed(now time.Time) Tokens {
	sum := u.own(now)
	for _, l := range u.held {
		if now.Before(l.until) {
			sum += l.tokens
		}
	}
	return sum
}

func (u *Units) lent() Tokens {
	var sum Tokens
	for _, p := range u.out {
		sum += p.tokens
	}
	return sum
}

// settle drops what lapsed, serves the queue and sets the timer.
func (u *Units) settle(now time.Time) {
	u.expire(now)
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

func (u *Units) expire(now time.Time) {
	for id, p := range u.out {
		if !now.Before(p.until) {
			delete(u.out, id)
		}
	}
	kept := u.held[:0]
	for _, l := range u.held {
		if now.Before(l.until) {
			kept = append(kept, l)
		}
	}
	u.held = kept
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
	for _, l := range u.held {
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

func (u *Units) adopt(s Share) bool {
	u.mu.Lock()
	u.cap = s.Cap
	u.settle(u.now())
	u.mu.Unlock()
	return u.settled()
}

func (u *Units) extend(until time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.valid = until
	u.settle(u.now())
}

func (u *Units) settled() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.now()
	u.expire(now)
	return u.lent() <= u.cap && u.used <= u.allowed(now)
}

func (u *Units) lend(n Tokens, id LoanID, valid time.Duration) BorrowAnswer {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.now()
	u.expire(now)
	valid = min(valid, u.valid.Sub(now))
	a := BorrowAnswer{Cap: u.cap}
	free := max(0, u.own(now)-u.used-Tokens(len(u.queue)))
	a.Tokens = max(0, min(n, free))
	a.Left = free - a.Tokens
	if a.Tokens == 0 || valid <= 0 {
		a.Tokens = 0
		return a
	}
	u.out[id] = place{tokens: a.Tokens, until: now.Add(valid + valid/drift + u.linger)}
	a.Loan = id
	a.Valid = valid - valid/drift
	return a
}

func (u *Units) repaid(ids []LoanID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, id := range ids {
		delete(u.out, id)
	}
	u.settle(u.now())
}

// keep extends loans that have not lapsed, unless this VM must shrink.
func (u *Units) keep(ids []LoanID, valid time.Duration) ([]LoanID, time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.now()
	u.expire(now)
	valid = min(valid, u.valid.Sub(now))
	if valid <= 0 || u.lent() > u.cap {
		return nil, 0
	}
	var kept []LoanID
	for _, id := range ids {
		p, found := u.out[id]
		if !found {
			continue
		}
		p.until = now.Add(valid + valid/drift + u.linger)
		u.out[id] = p
		kept = append(kept, id)
	}
	return kept, valid - valid/drift
}

func (u *Units) need() Tokens {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.settle(u.now())
	return Tokens(len(u.queue))
}

// done gives back the loans of a lender that this VM can do without. It stops using
// them before the lender hears of it.
func (u *Units) done(lender Holder) []LoanID {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.now()
	u.expire(now)
	var ids []LoanID
	kept := u.held[:0]
	spare := u.allowed(now) - u.used - Tokens(len(u.queue))
	for _, l := range u.held {
		if l.lender == lender && l.tokens <= spare {
			spare -= l.tokens
			ids = append(ids, l.id)
			continue
		}
		kept = append(kept, l)
	}
	u.held = kept
	return ids
}

// owed is for a Bucket; units go back with the next extension of a loan.
func (u *Units) owed() (Holder, bool) { return Holder{}, false }

func (u *Units) kept(lender Holder) []LoanID {
	u.mu.Lock()
	defer u.mu.Unlock()
	var ids []LoanID
	for _, l := range u.held {
		if l.lender == lender {
			ids = append(ids, l.id)
		}
	}
	return ids
}

func (u *Units) prolong(lender Holder, ids []LoanID, until time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for i := range u.held {
		for _, id := range ids {
			if u.held[i].lender == lender && u.held[i].id == id && until.After(u.held[i].until) {
				u.held[i].until = until
			}
		}
	}
	u.settle(u.now())
}

func (u *Units) receive(l loan) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.held = append(u.held, l)
	u.settle(u.now())
}

// Demand is the units in use and waited for.
func (u *Units) Demand() float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return float64(u.used) + float64(len(u.queue))
}
