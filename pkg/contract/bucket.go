package contract

import (
	"context"
	"math"
	"sync"
	"time"
)

// demandMemory is how long past requests weigh in a bucket's demand.
const demandMemory = 500 * time.Millisecond

// steadyMemory is how long they weigh in what a lender expects to need itself.
const steadyMemory = 3 * time.Second

// retryMost is the longest wait that a refusal advises.
const retryMost = 30 * time.Second

// Bucket admits the requests of one contract on one VM. Use NewBucket.
type Bucket struct {
	mu    sync.Mutex
	now   func() time.Time
	bound time.Duration
	// share may exceed the row's only while loans out hold places in it.
	share Share
	// valid is when the right to use and refill the share ends.
	valid time.Time
	// tokens plus the places of all loans out are at most share.Cap.
	tokens Micro
	// rest is a part of a Micro, in billionths.
	rest uint64
	// last is up to when tokens were refilled.
	last  time.Time
	loans loans
	// queue is in order of arrival, so deadlines rise in it.
	queue waiters
	timer *time.Timer
	// demand is in requests per second as of asked.
	demand float64
	// steady is the same over steadyMemory.
	steady float64
	asked  time.Time
	// spare tells what peers may lend within a time; nil: nothing.
	spare func(within time.Duration) Tokens
	// ahead is for how long demand should be covered in advance; nil: not at all.
	ahead func() time.Duration
	// short is called, with the bucket locked, when supply runs low; it must not block.
	short func()
}

// NewBucket makes an empty bucket without a share. A request waits at most bound;
// now is a monotonic clock, nil for time.Now.
func NewBucket(bound time.Duration, now func() time.Time) *Bucket {
	if now == nil {
		now = time.Now
	}
	return &Bucket{now: now, bound: bound, last: now(), asked: now(), loans: loans{out: map[LoanID]place{}}}
}

// NewSoleBucket makes a bucket for a VM that alone holds the whole limit.
func NewSoleBucket(r Rate, bound time.Duration, now func() time.Time) *Bucket {
	b := NewBucket(bound, now)
	b.valid = b.now().Add(math.MaxInt64 / 2)
	b.share = r.whole()
	return b
}

// Take waits for a token. ErrExhausted: none will come within the bound.
// The context's error is returned as it is when ctx ends first.
func (b *Bucket) Take(ctx context.Context) error {
	w, err := b.enter()
	if w == nil {
		return err
	}
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		return b.leave(ctx, w)
	}
}

// TryTake takes a token if one is there and nobody waits for it.
func (b *Bucket) TryTake() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.advance(now)
	b.count(now)
	b.notice(now)
	return len(b.queue) == 0 && b.spend(now)
}

func (b *Bucket) enter() (*waiter, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.advance(now)
	b.count(now)
	b.pump(now)
	if len(b.queue) == 0 && b.spend(now) {
		b.notice(now)
		return nil, nil
	}
	b.notice(now)
	if Tokens(len(b.queue)+1) > b.within(b.bound) {
		return nil, exhausted(b.retry())
	}
	w := &waiter{deadline: now.Add(b.bound), done: make(chan error, 1)}
	b.queue = append(b.queue, w)
	b.arm(now)
	return w, nil
}

// leave takes a waiter out of the queue; a token that it got meanwhile is spent.
func (b *Bucket) leave(ctx context.Context, w *waiter) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.queue.remove(w) {
		return ctx.Err()
	}
	return <-w.done
}

// advance refills up to now, within the validity only.
func (b *Bucket) advance(now time.Time) {
	end := now
	if b.valid.Before(end) {
		end = b.valid
	}
	if end.After(b.last) {
		var more Micro
		more, b.rest = b.share.Refill.arrives(end.Sub(b.last), b.rest)
		b.tokens = min(b.tokens+more, b.room())
	}
	if now.After(b.last) {
		b.last = now
	}
	b.loans.expire(now)
}

// room is what the share's cap leaves besides the places of loans out.
func (b *Bucket) room() Micro {
	return max(0, Micro(b.share.Cap-b.loans.lent())*token)
}

func (b *Bucket) spend(now time.Time) bool {
	if b.spendLoan() {
		return true
	}
	if b.tokens < token || !now.Before(b.valid) {
		return false
	}
	b.tokens -= token
	return true
}

// pump serves the queue's head, then refuses those past their deadline.
func (b *Bucket) pump(now time.Time) {
	for len(b.queue) > 0 && b.spend(now) {
		b.queue[0].done <- nil
		b.queue = b.queue[1:]
	}
	for len(b.queue) > 0 && !now.Before(b.queue[0].deadline) {
		b.queue[0].done <- exhausted(b.retry())
		b.queue = b.queue[1:]
	}
}

// arm sets the one timer to the next arrival or the head's deadline.
func (b *Bucket) arm(now time.Time) {
	if b.timer != nil {
		b.timer.Stop()
	}
	if len(b.queue) == 0 {
		return
	}
	d := b.queue[0].deadline.Sub(now)
	if now.Before(b.valid) && b.room() >= token {
		d = min(d, b.share.Refill.takes(token-b.tokens))
	}
	b.timer = time.AfterFunc(max(d, 10*time.Microsecond), b.wake)
}

func (b *Bucket) wake() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settle()
}

// settle brings the bucket up to date after a change.
func (b *Bucket) settle() {
	now := b.now()
	b.advance(now)
	b.pump(now)
	b.notice(now)
	b.arm(now)
}

// within is what can be spent until d from now.
func (b *Bucket) within(d time.Duration) Tokens {
	own := b.tokens
	if b.last.Before(b.valid) && b.room() >= token {
		more, _ := b.share.Refill.arrives(d, 0)
		own += more
	}
	sum := Tokens(own/token) + b.loans.heldTokens()
	if b.spare != nil {
		sum += b.spare(d)
	}
	return sum
}

// retry is when a request that comes now would find a token, to the millisecond.
func (b *Bucket) retry() time.Duration {
	ahead := Tokens(len(b.queue) + 1)
	early := time.Duration(0)
	late := time.Millisecond
	for late < retryMost && b.within(late) < ahead {
		early, late = late, 2*late
	}
	for late-early > time.Millisecond {
		middle := (early + late) / 2
		if b.within(middle) < ahead {
			early = middle
		} else {
			late = middle
		}
	}
	return min(late, retryMost)
}

// count takes note of one request in the demand.
func (b *Bucket) count(now time.Time) {
	b.fade(now)
	b.demand += 1 / demandMemory.Seconds()
	b.steady += 1 / steadyMemory.Seconds()
}

func (b *Bucket) fade(now time.Time) {
	if past := now.Sub(b.asked); past > 0 {
		b.demand *= math.Exp(-past.Seconds() / demandMemory.Seconds())
		b.steady *= math.Exp(-past.Seconds() / steadyMemory.Seconds())
		b.asked = now
	}
}

func (b *Bucket) notice(now time.Time) {
	if b.short != nil && b.want(now) > 0 {
		b.short()
	}
}

// Demand is in requests per second over the last half second or so.
func (b *Bucket) Demand() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fade(b.now())
	return b.demand
}

// adopt takes the share of a newer row: clipped down, never filled up. It reports
// whether nothing above the share is left in loans out.
func (b *Bucket) adopt(s Share) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(b.now())
	b.share = s
	b.tokens = min(b.tokens, b.room())
	clipped := b.loans.lent() <= s.Cap
	b.settle()
	return clipped
}

// extend moves the end of the validity; time outside it brought no refill.
func (b *Bucket) extend(until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(b.now())
	b.valid = until
	b.settle()
}
