package contract

import (
	"math"
	"time"
)

// lend lends at most n tokens. It debits them and reserves their part of the cap until
// the borrower closes the loan or the loan has expired. The loan expires no later than this VM's validity.
func (b *Bucket) lend(n Tokens, id LoanID, loanValidity time.Duration) BorrowAnswer {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.refill(now)
	b.decayDemand(now)
	loanValidity = min(loanValidity, b.validUntil.Sub(now))
	answer := BorrowAnswer{Cap: b.share.Cap}
	if loanValidity > 0 {
		spare := b.spareTokens()
		answer.Tokens = min(n, spare)
		answer.SpareTokens = spare - answer.Tokens
		answer.SpareRefill = max(0, b.share.Refill-Refill(b.steadyDemand*microPerToken))
	}
	if answer.Tokens <= 0 {
		answer.Tokens = 0
		return answer
	}
	b.tokens -= MicroTokens(answer.Tokens) * microPerToken
	b.loans.reservations[id] = reservation{tokens: answer.Tokens, heldUntil: now.Add(reservationDuration(loanValidity))}
	answer.Loan = id
	answer.ValidFor = borrowerValidity(loanValidity)
	return answer
}

// spareTokens returns the tokens that the bucket doesn't need for its waiters and for its
// own demand within the borrow horizon.
func (b *Bucket) spareTokens() Tokens {
	needed := MicroTokens(len(b.queue))*microPerToken + MicroTokens(b.demand*b.horizonSeconds()*microPerToken)
	return Tokens(max(0, b.tokens-needed) / microPerToken)
}

// releaseLoans removes the reservations of loans that the borrower closed.
func (b *Bucket) releaseLoans(ids []LoanID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(b.now())
	b.loans.release(ids)
}

// addLoan adds a loan from another VM.
func (b *Bucket) addLoan(l loan) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loans.borrowed = append(b.loans.borrowed, l)
	b.refresh()
}

// spendLoan takes a token from the oldest loan that has any left. It reports whether one
// was available.
func (b *Bucket) spendLoan() bool {
	for i := range b.loans.borrowed {
		if b.loans.borrowed[i].tokens > 0 {
			b.loans.borrowed[i].tokens--
			if b.loans.borrowed[i].tokens == 0 && b.onShortage != nil {
				b.onShortage()
			}
			return true
		}
	}
	return false
}

// horizonSeconds returns the borrow horizon in seconds.
func (b *Bucket) horizonSeconds() float64 {
	if b.borrowHorizon == nil {
		return 0
	}
	return b.borrowHorizon().Seconds()
}

// lenderWithUsedUpLoan returns a lender whose loan is used up, so that the next borrow
// request to it can list the loan as closed.
func (b *Bucket) lenderWithUsedUpLoan() (Holder, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, l := range b.loans.borrowed {
		if l.tokens == 0 {
			return l.lender, true
		}
	}
	return Holder{}, false
}

// closeLoans removes the used-up loans of a lender and returns their IDs.
func (b *Bucket) closeLoans(lender Holder) []LoanID {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ids []LoanID
	remaining := b.loans.borrowed[:0]
	for _, l := range b.loans.borrowed {
		if l.lender == lender && l.tokens == 0 {
			ids = append(ids, l.id)
			continue
		}
		remaining = append(remaining, l)
	}
	b.loans.borrowed = remaining
	return ids
}

// missingTokens returns how many tokens to borrow now to serve the waiters and the demand
// within the borrow horizon.
func (b *Bucket) missingTokens(now time.Time) Tokens {
	b.decayDemand(now)
	expectedDemand := b.demand * b.horizonSeconds()
	available := float64(b.tokens) / microPerToken
	if now.Before(b.validUntil) {
		available += float64(b.share.Refill) / microPerToken * b.horizonSeconds()
	}
	missing := float64(len(b.queue)) + expectedDemand - available - float64(b.loans.borrowedTokens())
	return max(0, Tokens(math.Ceil(missing)))
}

// isWithinShare reports whether the loans made fit within the cap of the share.
func (b *Bucket) isWithinShare() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(b.now())
	return b.loans.reservedTokens() <= b.share.Cap
}

// tokensToBorrow returns how many tokens to borrow now.
func (b *Bucket) tokensToBorrow() Tokens {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.refill(now)
	return b.missingTokens(now)
}

// Loans of tokens of a rate are spent soon and therefore never extended.
func (b *Bucket) extendLent([]LoanID, time.Duration) ([]LoanID, time.Duration) { return nil, 0 }
func (b *Bucket) loansToExtend(Holder) []LoanID                                { return nil }
func (b *Bucket) extendBorrowed(Holder, []LoanID, time.Time)                   {}
