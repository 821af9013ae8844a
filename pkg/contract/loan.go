package contract

import (
	"slices"
	"time"
)

// LoanID names a loan among those of its lender.
type LoanID int64

// BorrowRequest asks a holder for tokens.
type BorrowRequest struct {
	Contract Name   `json:"contract"`
	Tokens   Tokens `json:"tokens"`
	// Done are earlier loans of this lender whose tokens are all used or gone.
	Done []LoanID `json:"done,omitempty"`
	// Keep are earlier loans of units of a Count to be valid for longer.
	Keep []LoanID `json:"keep,omitempty"`
}

// BorrowAnswer hands over tokens, which the lender has debited before.
type BorrowAnswer struct {
	Loan   LoanID `json:"loan,omitempty"`
	Tokens Tokens `json:"tokens,omitempty"`
	// Valid is counted by the borrower from before it asked.
	Valid time.Duration `json:"valid,omitempty"`
	// Kept are the loans of Keep that were extended by Valid.
	Kept []LoanID `json:"kept,omitempty"`
	// Left is what the lender has for others, Refill what it gets beside its own
	// demand, and Cap the most it ever has.
	Left   Tokens `json:"left"`
	Refill Refill `json:"refill"`
	Cap    Tokens `json:"cap"`
}

// loan is held by its borrower.
type loan struct {
	lender Holder
	id     LoanID
	tokens Tokens
	until  time.Time
}

// place is a loan's place in the lender's cap.
type place struct {
	tokens Tokens
	until  time.Time
}

// loans keeps the loans that a VM made and took of one contract.
type loans struct {
	// out holds the places of loans made, by loan.
	out map[LoanID]place
	// held are loans taken, oldest first.
	held []loan
}

// lent is what all places take of the lender's cap.
func (l *loans) lent() Tokens {
	var sum Tokens
	for _, p := range l.out {
		sum += p.tokens
	}
	return sum
}

// free ends the places of loans.
func (l *loans) free(ids []LoanID) {
	for _, id := range ids {
		delete(l.out, id)
	}
}

// expire drops lapsed loans, and places of loans that have lapsed for sure.
func (l *loans) expire(now time.Time) {
	for id, p := range l.out {
		if !now.Before(p.until) {
			delete(l.out, id)
		}
	}
	l.held = slices.DeleteFunc(l.held, func(h loan) bool { return !now.Before(h.until) })
}

// heldTokens is what the loans taken still hold.
func (l *loans) heldTokens() Tokens {
	var sum Tokens
	for _, h := range l.held {
		sum += h.tokens
	}
	return sum
}

// placeFor is how long a lender keeps a loan's place, on a clock that may run fast.
func placeFor(valid time.Duration) time.Duration { return valid + valid/drift }

// usableFor is how long a borrower may use a loan, on a clock that may run slow.
func usableFor(valid time.Duration) time.Duration { return valid - valid/drift }
