package contract

import "time"

// pot is what a VM holds of one contract. Its cases are *Bucket and *Units.
type pot interface {
	adopt(Share) bool
	extend(until time.Time)
	settled() bool
	lend(n Tokens, id LoanID, valid time.Duration) BorrowAnswer
	repaid(ids []LoanID)
	keep(ids []LoanID, valid time.Duration) ([]LoanID, time.Duration)
	need() Tokens
	owed() (Holder, bool)
	done(lender Holder) []LoanID
	kept(lender Holder) []LoanID
	prolong(lender Holder, ids []LoanID, until time.Time)
	receive(loan)
	Demand() float64
}

// SetLimits tells which contracts there are. What stays keeps its tokens.
func (s *Shares) SetLimits(limits map[Name]Limit) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = limits
	for name, l := range limits {
		if s.pots[name] == nil {
			s.addPot(name, l)
		}
	}
}

// addPot makes a contract's empty bucket or units; s.mu is held.
func (s *Shares) addPot(name Name, l Limit) {
	from := &lenders{now: s.Now, hints: map[Holder]hint{}, kick: make(chan struct{}, 1)}
	var p pot
	switch l.(type) {
	case Rate:
		b := NewBucket(s.Bound, s.Now)
		b.spare, b.ahead, b.short = from.supply, from.ahead, from.wake
		p = b
	case Count:
		u := newUnits(s.Bound, s.Linger, s.Now)
		u.short = from.wake
		p = u
	}
	s.pots[name], s.lenders[name] = p, from
	if shares := s.row.grant(s.Self); shares != nil {
		p.adopt(shares[name])
		p.extend(s.validUntil())
	}
	from.expect(s.row, s.Self, name)
	if s.begin != nil {
		s.begin(name, p, from)
	}
}
