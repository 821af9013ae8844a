package contract

import "time"

// balance is a VM's share of one contract, together with what it lent and borrowed. It is
// a *Bucket for a Rate and a *Units for a Count.
type balance interface {
	setShare(Share) bool
	setValidUntil(until time.Time)
	isWithinShare() bool
	lend(n Tokens, id LoanID, loanValidity time.Duration) BorrowAnswer
	releaseLoans(ids []LoanID)
	extendLent(ids []LoanID, loanValidity time.Duration) ([]LoanID, time.Duration)
	tokensToBorrow() Tokens
	lenderWithUsedUpLoan() (Holder, bool)
	closeLoans(lender Holder) []LoanID
	loansToExtend(lender Holder) []LoanID
	extendBorrowed(lender Holder, ids []LoanID, until time.Time)
	addLoan(loan)
	Demand() float64
}

// SetLimits replaces the set of contracts. A contract that was there before keeps its
// tokens.
func (s *Shares) SetLimits(limits map[Name]Limit) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = limits
	for name, l := range limits {
		if s.balances[name] == nil {
			s.addBalance(name, l)
		}
	}
}

// addBalance adds the empty bucket or units of a contract. The caller must hold s.mu.
func (s *Shares) addBalance(name Name, l Limit) {
	lenderStates := &lenders{now: s.Now, states: map[Holder]lenderState{}, notify: make(chan struct{}, 1)}
	var bal balance
	switch l.(type) {
	case Rate:
		b := NewBucket(s.MaxWait, s.Now)
		b.peerSupply, b.borrowHorizon, b.onShortage = lenderStates.availableWithin, lenderStates.horizon, lenderStates.requestLoan
		bal = b
	case Count:
		u := newUnits(s.MaxWait, s.Linger, s.Now)
		u.onShortage = lenderStates.requestLoan
		bal = u
	}
	s.balances[name], s.lenders[name] = bal, lenderStates
	if shares := s.row.sharesOf(s.Self); shares != nil {
		bal.setShare(shares[name])
		bal.setValidUntil(s.validUntil())
	}
	lenderStates.setRow(s.row, s.Self, name)
	if s.startBorrowing != nil {
		s.startBorrowing(name, bal, lenderStates)
	}
}
