package contract

import (
	"slices"
	"time"
)

// LoanID identifies a loan among the loans of its lender.
type LoanID int64

// BorrowRequest asks a holder to lend tokens or units.
type BorrowRequest struct {
	Contract Name   `json:"contract"`
	Tokens   Tokens `json:"tokens"`
	// ClosedLoans lists earlier loans of this lender whose tokens are used up or that the
	// borrower no longer uses. The lender removes their reservations.
	ClosedLoans []LoanID `json:"done,omitempty"`
	// ExtendLoans lists earlier loans of units of a Count whose validity the lender is
	// asked to extend.
	ExtendLoans []LoanID `json:"keep,omitempty"`
}

// BorrowAnswer carries lent tokens, which the lender has already debited.
type BorrowAnswer struct {
	Loan   LoanID `json:"loan,omitempty"`
	Tokens Tokens `json:"tokens,omitempty"`
	// ValidFor is the validity of the loan, counted from before the borrower sent its
	// request.
	ValidFor time.Duration `json:"valid,omitempty"`
	// ExtendedLoans lists the loans of ExtendLoans that are now valid for ValidFor.
	ExtendedLoans []LoanID `json:"kept,omitempty"`
	// SpareTokens is what the lender can still lend, SpareRefill the refill rate that
	// exceeds its own demand, and Cap the cap of its share.
	SpareTokens Tokens `json:"left"`
	SpareRefill Refill `json:"refill"`
	Cap         Tokens `json:"cap"`
}

// loan is a loan as its borrower records it.
type loan struct {
	lender     Holder
	id         LoanID
	tokens     Tokens
	validUntil time.Time
}

// reservation is the part of the lender's cap that a loan occupies.
type reservation struct {
	tokens    Tokens
	heldUntil time.Time
}

// loans records what a VM lent and borrowed of one contract.
type loans struct {
	// reservations holds the reservation of each loan that this VM made.
	reservations map[LoanID]reservation
	// borrowed lists the loans that this VM received, oldest first.
	borrowed []loan
}

// reservedTokens returns how much of this VM's cap is reserved for loans that it made.
func (l *loans) reservedTokens() Tokens {
	var sum Tokens
	for _, r := range l.reservations {
		sum += r.tokens
	}
	return sum
}

// release removes the reservations of the given loans.
func (l *loans) release(ids []LoanID) {
	for _, id := range ids {
		delete(l.reservations, id)
	}
}

// expire removes expired loans, and the reservations of loans that have expired even by
// the slowest clock of a borrower.
func (l *loans) expire(now time.Time) {
	for id, r := range l.reservations {
		if !now.Before(r.heldUntil) {
			delete(l.reservations, id)
		}
	}
	l.borrowed = slices.DeleteFunc(l.borrowed, func(b loan) bool { return !now.Before(b.validUntil) })
}

// borrowedTokens returns the borrowed tokens that are left.
func (l *loans) borrowedTokens() Tokens {
	var sum Tokens
	for _, b := range l.borrowed {
		sum += b.tokens
	}
	return sum
}

// reservationDuration returns how long the lender reserves a loan whose validity is d,
// with a margin for a lender's clock that runs fast.
func reservationDuration(d time.Duration) time.Duration { return d + d/invDrift }

// borrowerValidity returns how long the borrower may use a loan whose validity is d,
// with a margin for a borrower's clock that runs slow.
func borrowerValidity(d time.Duration) time.Duration { return d - d/invDrift }
