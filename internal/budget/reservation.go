package budget

import (
	"runtime"
	"time"
)

// Reservation is memory for an answer that grows while it is received, until it has been passed on.
type Reservation struct {
	// account is nil without a budget.
	account *Account
}

// Reserve returns an empty reservation. It has no limits if the budget is nil.
func (b *Budget) Reserve() *Reservation {
	r := &Reservation{b.Unlimited()}
	if r.account != nil {
		// An answer that is dropped gives its memory back when it is collected.
		runtime.AddCleanup(r, (*Account).Close, r.account)
	}
	return r
}

// Grow charges what is about to be held, and waits for room until a deadline. It returns false, and gives everything
// back, if there was none.
func (r *Reservation) Grow(n Bytes, deadline time.Time) bool {
	if !r.account.Reserve(n, deadline) {
		r.account.Close()
		return false
	}
	return true
}

// Release gives back what is charged. It may be called more than once.
func (r *Reservation) Release() { r.account.Close() }
