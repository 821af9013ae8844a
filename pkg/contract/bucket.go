package contract

import (
	"context"
	"math"
	"sync"
	"time"
)

// demandWindow is the time constant of the exponential average of a bucket's demand.
const demandWindow = 500 * time.Millisecond

// steadyDemandWindow is the time constant of the slower average by which a lender
// estimates how much of its own refill it will need.
const steadyDemandWindow = 3 * time.Second

// maxRetryAfter is the longest delay that RetryAfter returns.
const maxRetryAfter = 30 * time.Second

// Bucket is the token bucket of one contract on one VM. Use NewBucket.
type Bucket struct {
	mu      sync.Mutex
	now     func() time.Time
	maxWait time.Duration
	// share is this VM's share of the contract, as in its newest row.
	share Share
	// validUntil is when the right to use and refill the share ends.
	validUntil time.Time
	// tokens is the part of the share that can be spent now. It is at most ownCapacity.
	tokens MicroTokens
	// refillRemainder is the fraction of a MicroTokens unit that was accrued but not yet added to
	// tokens, in billionths.
	refillRemainder uint64
	// refilledAt is the time of the last refill.
	refilledAt time.Time
	loans      loans
	// queue is in order of arrival, so its deadlines are in ascending order.
	queue waiters
	timer *time.Timer
	// demand is the average demand at demandUpdated, in requests per second.
	demand float64
	// steadyDemand is the same average over steadyDemandWindow.
	steadyDemand  float64
	demandUpdated time.Time
	// peerSupply returns how many tokens peers can probably lend within a duration. If
	// it is nil, nothing can be borrowed.
	peerSupply func(within time.Duration) Tokens
	// borrowHorizon returns the duration for whose demand tokens are borrowed in
	// advance. If it is nil, nothing is borrowed in advance.
	borrowHorizon func() time.Duration
	// onShortage is called with the bucket locked when tokens should be borrowed or a
	// loan is used up. It must not block.
	onShortage func()
}

// NewBucket returns an empty bucket without a share. A request waits at most maxWait for
// a token. The clock now must be monotonic; nil means time.Now.
func NewBucket(maxWait time.Duration, now func() time.Time) *Bucket {
	if now == nil {
		now = time.Now
	}
	return &Bucket{now: now, maxWait: maxWait, refilledAt: now(), demandUpdated: now(), loans: loans{reservations: map[LoanID]reservation{}}}
}

// NewUnsharedBucket returns an empty bucket for a VM that may use the whole limit.
func NewUnsharedBucket(r Rate, maxWait time.Duration, now func() time.Time) *Bucket {
	b := NewBucket(maxWait, now)
	b.validUntil = b.now().Add(math.MaxInt64 / 2)
	b.share = r.total()
	return b
}

// Take waits for a token and takes it. It fails with ErrExhausted if none will be
// available within the maximum wait, and with the error of ctx if ctx ends first.
func (b *Bucket) Take(ctx context.Context) error {
	w, err := b.takeOrEnqueue()
	if w == nil {
		return err
	}
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		return b.cancelWait(ctx, w)
	}
}

// TryTake takes a token if one is available and no request waits. It reports whether it
// took one.
func (b *Bucket) TryTake() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.refill(now)
	b.recordRequest(now)
	b.checkShortage(now)
	return len(b.queue) == 0 && b.spendToken(now)
}

// takeOrEnqueue takes a token if no request waits, or else adds a waiter to the queue. It
// returns no waiter if the token was taken or the request refused.
func (b *Bucket) takeOrEnqueue() (*waiter, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.refill(now)
	b.recordRequest(now)
	b.serveQueue(now)
	if len(b.queue) == 0 && b.spendToken(now) {
		b.checkShortage(now)
		return nil, nil
	}
	b.checkShortage(now)
	if Tokens(len(b.queue)+1) > b.availableWithin(b.maxWait) {
		return nil, exhausted(b.retryDelay())
	}
	w := &waiter{deadline: now.Add(b.maxWait), done: make(chan error, 1)}
	b.queue = append(b.queue, w)
	b.scheduleTimer(now)
	return w, nil
}

// cancelWait removes a waiter from the queue. If the waiter was already admitted or
// refused, cancelWait returns that result, and a token that was taken stays spent.
func (b *Bucket) cancelWait(ctx context.Context, w *waiter) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.queue.remove(w) {
		return ctx.Err()
	}
	return <-w.done
}

// refill adds the tokens accrued up to now, or up to the end of the validity if that is
// earlier.
func (b *Bucket) refill(now time.Time) {
	end := now
	if b.validUntil.Before(end) {
		end = b.validUntil
	}
	if end.After(b.refilledAt) {
		var accrued MicroTokens
		accrued, b.refillRemainder = b.share.Refill.accrued(end.Sub(b.refilledAt), b.refillRemainder)
		b.tokens = min(b.tokens+accrued, b.ownCapacity())
	}
	if now.After(b.refilledAt) {
		b.refilledAt = now
	}
	b.loans.expire(now)
}

// ownCapacity returns the part of the cap that isn't reserved for loans to other VMs.
func (b *Bucket) ownCapacity() MicroTokens {
	return max(0, MicroTokens(b.share.Cap-b.loans.reservedTokens())*microPerToken)
}

// spendToken takes a token from a loan or, if no loan is left, from the share. It reports
// whether one was available.
func (b *Bucket) spendToken(now time.Time) bool {
	if b.spendLoan() {
		return true
	}
	if b.tokens < microPerToken || !now.Before(b.validUntil) {
		return false
	}
	b.tokens -= microPerToken
	return true
}

// serveQueue admits waiters in order while tokens are left, then refuses those whose
// deadline has passed.
func (b *Bucket) serveQueue(now time.Time) {
	for len(b.queue) > 0 && b.spendToken(now) {
		b.queue[0].done <- nil
		b.queue = b.queue[1:]
	}
	for len(b.queue) > 0 && !now.Before(b.queue[0].deadline) {
		b.queue[0].done <- exhausted(b.retryDelay())
		b.queue = b.queue[1:]
	}
}

// scheduleTimer sets the timer to when the next token accrues or the first waiter's
// deadline passes.
func (b *Bucket) scheduleTimer(now time.Time) {
	if b.timer != nil {
		b.timer.Stop()
	}
	if len(b.queue) == 0 {
		return
	}
	d := b.queue[0].deadline.Sub(now)
	if now.Before(b.validUntil) && b.ownCapacity() >= microPerToken {
		d = min(d, b.share.Refill.timeFor(microPerToken-b.tokens))
	}
	b.timer = time.AfterFunc(max(d, 10*time.Microsecond), b.onTimer)
}

func (b *Bucket) onTimer() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refresh()
}

// refresh recomputes tokens and serves waiters after a change of the share, the validity
// or the loans.
func (b *Bucket) refresh() {
	now := b.now()
	b.refill(now)
	b.serveQueue(now)
	b.checkShortage(now)
	b.scheduleTimer(now)
}

// availableWithin returns how many tokens can be spent within d, including tokens that
// peers can probably lend.
func (b *Bucket) availableWithin(d time.Duration) Tokens {
	available := b.tokens
	if b.refilledAt.Before(b.validUntil) && b.ownCapacity() >= microPerToken {
		accrued, _ := b.share.Refill.accrued(d, 0)
		available += accrued
	}
	sum := Tokens(available/microPerToken) + b.loans.borrowedTokens()
	if b.peerSupply != nil {
		sum += b.peerSupply(d)
	}
	return sum
}

// retryDelay estimates, to the millisecond, when a new request would get a token.
func (b *Bucket) retryDelay() time.Duration {
	needed := Tokens(len(b.queue) + 1)
	low := time.Duration(0)
	high := time.Millisecond
	for high < maxRetryAfter && b.availableWithin(high) < needed {
		low, high = high, 2*high
	}
	for high-low > time.Millisecond {
		middle := (low + high) / 2
		if b.availableWithin(middle) < needed {
			low = middle
		} else {
			high = middle
		}
	}
	return min(high, maxRetryAfter)
}

// recordRequest adds one request to the average demand.
func (b *Bucket) recordRequest(now time.Time) {
	b.decayDemand(now)
	b.demand += 1 / demandWindow.Seconds()
	b.steadyDemand += 1 / steadyDemandWindow.Seconds()
}

// decayDemand reduces the averages of the demand by the time elapsed since their last update.
func (b *Bucket) decayDemand(now time.Time) {
	if elapsed := now.Sub(b.demandUpdated); elapsed > 0 {
		b.demand *= math.Exp(-elapsed.Seconds() / demandWindow.Seconds())
		b.steadyDemand *= math.Exp(-elapsed.Seconds() / steadyDemandWindow.Seconds())
		b.demandUpdated = now
	}
}

// checkShortage calls onShortage if tokens should be borrowed.
func (b *Bucket) checkShortage(now time.Time) {
	if b.onShortage != nil && b.missingTokens(now) > 0 {
		b.onShortage()
	}
}

// Demand returns the recent demand in requests per second, averaged over demandWindow.
func (b *Bucket) Demand() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.decayDemand(b.now())
	return b.demand
}

// setShare sets the share of a newer row. Surplus tokens are dropped, and none are added.
// It reports whether the loans made fit within the new share.
func (b *Bucket) setShare(s Share) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(b.now())
	b.share = s
	b.tokens = min(b.tokens, b.ownCapacity())
	withinShare := b.loans.reservedTokens() <= s.Cap
	b.refresh()
	return withinShare
}

// setValidUntil sets the end of the validity. No tokens accrue outside the validity.
func (b *Bucket) setValidUntil(until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(b.now())
	b.validUntil = until
	b.refresh()
}
