package platform

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/joomcode/errorx"
)

const (
	// initialRetryBackoff is the mean pause before the first retry.
	initialRetryBackoff = 50 * time.Millisecond
	// maxRetryBackoff is the maximum mean pause before a retry.
	maxRetryBackoff = 2 * time.Second
	// retriesPerCall is the number of retries that each first attempt adds to a budget.
	retriesPerCall = 0.2
	// maxRetryBudget is the maximum number of retries that a budget holds.
	maxRetryBudget = 10.0
)

// RetryBudget limits retries to a fraction of the first attempts, so that retries can't
// multiply the load on an overloaded service. The zero value is a full budget.
type RetryBudget struct {
	mu sync.Mutex
	// spent is the number of retries that the budget lacks to be full.
	spent float64
}

// earn adds the retries for one first attempt to the budget.
func (b *RetryBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-retriesPerCall)
}

// spend takes one retry from the budget and reports whether there was one.
func (b *RetryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > maxRetryBudget {
		return false
	}
	b.spent++
	return true
}

// Retry repeats calls that failed with ErrUnavailable or ErrOutcomeUnknown.
type Retry struct {
	// Attempts is the maximum number of calls, including the first.
	Attempts int
	// Budget is shared by the callers of one service; nil means that retries aren't
	// limited by a budget.
	Budget *RetryBudget
}

// Do repeats the call until it succeeds or fails with another error, the attempts or the
// budget are exhausted, or ctx ends. It returns the last call's error. A call that isn't
// idempotent must recognize the effect of its own earlier attempts.
func (r Retry) Do(ctx context.Context, call func(context.Context) error) error {
	if r.Budget != nil {
		r.Budget.earn()
	}
	for attempt := 1; ; attempt++ {
		err := call(ctx)
		if !isRetryable(err) || attempt >= r.Attempts {
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

// Backoff returns the jittered pause after the given failed attempt, counted from 1.
func Backoff(attempt int) time.Duration {
	mean := initialRetryBackoff << min(attempt-1, 16)
	return Jitter(min(mean, maxRetryBackoff))
}

// Jitter returns a random duration, uniform between 0.5 and 1.5 times d.
func Jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d+1)
}

func isRetryable(err error) bool {
	if errorx.IsOfType(err, errUnretryable) {
		return false
	}
	return errorx.IsOfType(err, ErrUnavailable) || errorx.IsOfType(err, ErrOutcomeUnknown)
}

// Pause waits for d and reports whether d passed before ctx ended. If d isn't positive, it
// doesn't wait and returns false only if ctx has ended already.
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
