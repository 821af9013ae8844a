package contract

import (
	"slices"
	"time"
)

// waiter is a request that waits for a token or a unit.
type waiter struct {
	deadline time.Time
	// done receives one value: nil when admitted, or the error. It is buffered, so
	// sending never blocks.
	done chan error
}

// waiters is a FIFO queue.
type waiters []*waiter

// remove removes w and reports whether it was still in the queue.
func (q *waiters) remove(w *waiter) bool {
	i := slices.Index(*q, w)
	if i < 0 {
		return false
	}
	*q = slices.Delete(*q, i, i+1)
	return true
}
