package contract

import "time"

func (u *Units) adopt(s Share) bool {
	u.mu.Lock()
	u.cap = s.Cap
	u.settle(u.now())
	u.mu.Unlock()
	return u.settled()
}

func (u *Units) extend(until time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.valid = until
	u.settle(u.now())
}

func (u *Units) settled() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.now()
	u.loans.expire(now)
	return u.loans.lent() <= u.cap && u.used <= u.allowed(now)
}

func (u *Units) lend(n Tokens, id LoanID, valid time.Duration) BorrowAnswer {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.now()
	u.loans.expire(now)
	valid = min(valid, u.valid.Sub(now))
	a := BorrowAnswer{Cap: u.cap}
	free := max(0, u.own(now)-u.used-Tokens(len(u.queue)))
	a.Tokens = max(0, min(n, free))
	a.Left = free - a.Tokens
	if a.Tokens == 0 || valid <= 0 {
		a.Tokens = 0
		return a
	}
	u.loans.out[id] = place{tokens: a.Tokens, until: now.Add(placeFor(valid) + u.linger)}
	a.Loan = id
	a.Valid = usableFor(valid)
	return a
}

func (u *Units) repaid(ids []LoanID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.loans.free(ids)
	u.settle(u.now())
}

// keep extends loans that have not lapsed, unless this VM must shrink.
func (u *Units) keep(ids []LoanID, valid time.Duration) ([]LoanID, time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.now()
	u.loans.expire(now)
	valid = min(valid, u.valid.Sub(now))
	if valid <= 0 || u.loans.lent() > u.cap {
		return nil, 0
	}
	var kept []LoanID
	for _, id := range ids {
		p, found := u.loans.out[id]
		if !found {
			continue
		}
		p.until = now.Add(placeFor(valid) + u.linger)
		u.loans.out[id] = p
		kept = append(kept, id)
	}
	return kept, usableFor(valid)
}

func (u *Units) need() Tokens {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.settle(u.now())
	return Tokens(len(u.queue))
}

// done gives back the loans of a lender that this VM can do without. It stops using
// them before the lender hears of it.
func (u *Units) done(lender Holder) []LoanID {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.now()
	u.loans.expire(now)
	var ids []LoanID
	kept := u.loans.held[:0]
	spare := u.allowed(now) - u.used - Tokens(len(u.queue))
	for _, l := range u.loans.held {
		if l.lender == lender && l.tokens <= spare {
			spare -= l.tokens
			ids = append(ids, l.id)
			continue
		}
		kept = append(kept, l)
	}
	u.loans.held = kept
	return ids
}

// owed is for a Bucket; units go back with the next extension of a loan.
func (u *Units) owed() (Holder, bool) { return Holder{}, false }

func (u *Units) kept(lender Holder) []LoanID {
	u.mu.Lock()
	defer u.mu.Unlock()
	var ids []LoanID
	for _, l := range u.loans.held {
		if l.lender == lender {
			ids = append(ids, l.id)
		}
	}
	return ids
}

func (u *Units) prolong(lender Holder, ids []LoanID, until time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for i := range u.loans.held {
		for _, id := range ids {
			if u.loans.held[i].lender == lender && u.loans.held[i].id == id && until.After(u.loans.held[i].until) {
				u.loans.held[i].until = until
			}
		}
	}
	u.settle(u.now())
}

func (u *Units) receive(l loan) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.loans.held = append(u.loans.held, l)
	u.settle(u.now())
}

// Demand is the units in use and waited for.
func (u *Units) Demand() float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return float64(u.used) + float64(len(u.queue))
}
