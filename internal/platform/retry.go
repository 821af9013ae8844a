package platform

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/joomcode/errorx"
)

const (
	// retryBackoff is the mean pause before the first retry.
	retryBackoff = 50 * time.Millisecond
	// maxRetryBackoff bounds the mean pause before any retry.
	maxRetryBackoff = 2 * time.Second
	// retryEarning is what each first attempt adds to a budget, in retries.
	retryEarning = 0.2
	// maxRetrySavings bounds what a budget holds, in retries.
	maxRetrySavings = 10.0
)

// RetryBudget bounds retries to a part of the first attempts, so that they can't
// multiply the load on a service in trouble. Its zero value is full.
type RetryBudget struct {
	mu    sync.Mutex
	spent float64
}

// earn credits one first attempt.
func (b *RetryBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-retryEarning)
}

// spend takes one retry from the budget, if it has one.
func (b *RetryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > maxRetrySavings {
		return false
	}
	b.spent++
	return true
}

// Retry repeats calls that failed with ErrUnavailable or ErrOutcomeUnknown.
type Retry struct {
	// Attempts bounds the calls, the first one included.
	Attempts int
	// Budget is shared by the callers of one service; nil for none.
	Budget *RetryBudget
}

// Do calls until success, an error of another kind, the last attempt, an empty budget
// or the end of ctx, and returns the last call's error. A call whose effect isn't
// idempotent has to recognise its own earlier effect.
func (r Retry) Do(ctx context.Context, call func(context.Context) error) error {
	if r.Budget != nil {
		r.Budget.earn()
	}
	for attempt := 1; ; attempt++ {
		err := call(ctx)
		if !retryable(err) || attempt >= r.Attempts {
			return err
		}
		if r.Budget != nil && !r.Budget.spend() {
			return err
		}
		if !Pause(ctx, Backoff(attempt)) {
			return err
		}
	}
}

// Backoff is the jittered pause after the given failed attempt, counted from 1.
func Backoff(attempt int) time.Duration {
	mean := retryBackoff << min(attempt-1, 16)
	return Jitter(min(mean, maxRetryBackoff))
}

// Jitter spreads a time evenly from half to one and a half of it.
func Jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d+1)
}

func retryable(err error) bool {
	if errorx.IsOfType(err, errUnsettled) {
		return false
	}
	return errorx.IsOfType(err, ErrUnavailable) || errorx.IsOfType(err, ErrOutcomeUnknown)
}

// Pause waits and reports whether it waited to the end; a wait of no time has ended
// unless ctx has.
func Pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
