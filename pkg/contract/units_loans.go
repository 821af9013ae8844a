package contract

import "time"

// setShare sets the share of a newer row. It reports whether the units in use and the loans
// made fit within the share.
func (u *Units) setShare(s Share) bool {
	u.mu.Lock()
	u.cap = s.Cap
	u.refresh(u.now())
	u.mu.Unlock()
	return u.isWithinShare()
}

// setValidUntil sets the end of the validity.
func (u *Units) setValidUntil(until time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.validUntil = until
	u.refresh(u.now())
}

// isWithinShare reports whether the loans made fit within the cap, and whether no more units
// are in use than allowed.
func (u *Units) isWithinShare() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.now()
	u.loans.expire(now)
	return u.loans.reservedTokens() <= u.cap && u.used <= u.allowedUnits(now)
}

// lend lends at most n unused units and reserves them until the borrower closes the
// loan or the loan has expired. The loan expires no later than this VM's validity.
func (u *Units) lend(n Tokens, id LoanID, loanValidity time.Duration) BorrowAnswer {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.now()
	u.loans.expire(now)
	loanValidity = min(loanValidity, u.validUntil.Sub(now))
	answer := BorrowAnswer{Cap: u.cap}
	spare := max(0, u.ownUnits(now)-u.used-Tokens(len(u.queue)))
	answer.Tokens = max(0, min(n, spare))
	answer.SpareTokens = spare - answer.Tokens
	if answer.Tokens == 0 || loanValidity <= 0 {
		answer.Tokens = 0
		return answer
	}
	u.loans.reservations[id] = reservation{tokens: answer.Tokens, heldUntil: now.Add(reservationDuration(loanValidity) + u.linger)}
	answer.Loan = id
	answer.ValidFor = borrowerValidity(loanValidity)
	return answer
}

// releaseLoans removes the reservations of loans that the borrower closed.
func (u *Units) releaseLoans(ids []LoanID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.loans.release(ids)
	u.refresh(u.now())
}

// extendLent extends loans that haven't expired, unless this VM has lent more than its cap.
// It returns the extended loans and their new validity.
func (u *Units) extendLent(ids []LoanID, loanValidity time.Duration) ([]LoanID, time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.now()
	u.loans.expire(now)
	loanValidity = min(loanValidity, u.validUntil.Sub(now))
	if loanValidity <= 0 || u.loans.reservedTokens() > u.cap {
		return nil, 0
	}
	var extended []LoanID
	for _, id := range ids {
		r, found := u.loans.reservations[id]
		if !found {
			continue
		}
		r.heldUntil = now.Add(reservationDuration(loanValidity) + u.linger)
		u.loans.reservations[id] = r
		extended = append(extended, id)
	}
	return extended, borrowerValidity(loanValidity)
}

// tokensToBorrow returns how many units the waiters need.
func (u *Units) tokensToBorrow() Tokens {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.refresh(u.now())
	return Tokens(len(u.queue))
}

// closeLoans removes the loans of a lender that this VM doesn't need and returns their
// IDs. The VM stops using them before the lender is notified.
func (u *Units) closeLoans(lender Holder) []LoanID {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.now()
	u.loans.expire(now)
	var ids []LoanID
	remaining := u.loans.borrowed[:0]
	spare := u.allowedUnits(now) - u.used - Tokens(len(u.queue))
	for _, l := range u.loans.borrowed {
		if l.lender == lender && l.tokens <= spare {
			spare -= l.tokens
			ids = append(ids, l.id)
			continue
		}
		remaining = append(remaining, l)
	}
	u.loans.borrowed = remaining
	return ids
}

// lenderWithUsedUpLoan always returns false: loans of unused units are closed with the next
// periodic extension of loans instead.
func (u *Units) lenderWithUsedUpLoan() (Holder, bool) { return Holder{}, false }

// loansToExtend returns the IDs of all loans of a lender. Call closeLoans first, which
// removes the unused ones.
func (u *Units) loansToExtend(lender Holder) []LoanID {
	u.mu.Lock()
	defer u.mu.Unlock()
	var ids []LoanID
	for _, l := range u.loans.borrowed {
		if l.lender == lender {
			ids = append(ids, l.id)
		}
	}
	return ids
}

// extendBorrowed records that a lender extended loans until the given time.
func (u *Units) extendBorrowed(lender Holder, ids []LoanID, until time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for i := range u.loans.borrowed {
		for _, id := range ids {
			if u.loans.borrowed[i].lender == lender && u.loans.borrowed[i].id == id && until.After(u.loans.borrowed[i].validUntil) {
				u.loans.borrowed[i].validUntil = until
			}
		}
	}
	u.refresh(u.now())
}

// addLoan adds a loan from another VM.
func (u *Units) addLoan(l loan) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.loans.borrowed = append(u.loans.borrowed, l)
	u.refresh(u.now())
}

// Demand returns the number of units in use plus the number of waiters.
func (u *Units) Demand() float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return float64(u.used) + float64(len(u.queue))
}
