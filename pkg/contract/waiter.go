package contract

import (
	"slices"
	"time"
)

// waiter waits for a token or a unit.
type waiter struct {
	deadline time.Time
	// done gets nil or the refusal, once; it never blocks.
	done chan error
}

// waiters are in order of arrival.
type waiters []*waiter

// remove tells whether w still waited.
func (q *waiters) remove(w *waiter) bool {
	i := slices.Index(*q, w)
	if i < 0 {
		return false
	}
	*q = slices.Delete(*q, i, i+1)
	return true
}
