package contract

import (
	"context"
	"sort"
	"sync"
	"time"
)

// Defaults of a group's times; every VM of a fleet must have the same.
const (
	// DefaultValidity is how long a holder may use its shares after it asked a majority.
	DefaultValidity = 6 * time.Second
	// DefaultLoanValidity is how long borrowed tokens may be used.
	DefaultLoanValidity = time.Second
	// DefaultBound is the longest wait for a token.
	DefaultBound = time.Second
)

// Shares holds a VM's shares of one group of contracts: it keeps them valid, admits
// by them, lends and borrows. Set the fields, then Run.
type Shares struct {
	Self  Holder
	Table Table
	Peers Peers
	// Validity and LoanValidity are the same on all VMs; LoanValidity is the smaller.
	Validity, LoanValidity time.Duration
	// Bound is the longest wait of a request for a token.
	Bound time.Duration
	// Linger is how long units in use may outlive the holder that used them, such as
	// connections that a server hasn't noticed to be dead. It is the same on all VMs and
	// is added to all waits for a VM that may be dead.
	Linger time.Duration
	// Now is a monotonic clock; nil for time.Now.
	Now func() time.Time

	once    sync.Once
	mu      sync.Mutex
	limits  map[Name]Limit
	pots    map[Name]pot
	lenders map[Name]*lenders
	row     Row
	// seen is when a holder was asked that then confirmed the row's version.
	seen map[Holder]time.Time
	// read is when the table was asked that then gave the row's version.
	read time.Time
	// knows is the version that a VM had when it answered last.
	knows map[VMName]Version
	loans LoanID
	// news wakes Run after a new row.
	news chan struct{}
	// begin starts a contract's borrowing; nil before and after Run.
	begin func(Name, pot, *lenders)
}

func (s *Shares) init() {
	s.once.Do(func() {
		if s.Validity == 0 {
			s.Validity = DefaultValidity
		}
		if s.LoanValidity == 0 {
			s.LoanValidity = DefaultLoanValidity
		}
		if s.Bound == 0 {
			s.Bound = DefaultBound
		}
		if s.Now == nil {
			s.Now = time.Now
		}
		s.limits, s.pots, s.lenders = map[Name]Limit{}, map[Name]pot{}, map[Name]*lenders{}
		s.news = make(chan struct{}, 1)
		s.seen, s.knows = map[Holder]time.Time{}, map[VMName]Version{}
	})
}

// Admit is Limiter's: it waits for a token of a Rate.
func (s *Shares) Admit(ctx context.Context, name Name) error {
	b, ok := s.pot(name).(*Bucket)
	if !ok {
		return ErrUnknown.New("no rate %q", name)
	}
	return b.Take(ctx)
}

// Units gives the units of a Count. ErrUnknown.
func (s *Shares) Units(name Name) (*Units, error) {
	u, ok := s.pot(name).(*Units)
	if !ok {
		return nil, ErrUnknown.New("no count %q", name)
	}
	return u, nil
}

func (s *Shares) pot(name Name) pot {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limits[name] == nil {
		return nil
	}
	return s.pots[name]
}

// Row gives the newest row that this VM knows.
func (s *Shares) Row() Row {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.row
}

// Adopt takes a row that the table is known to hold, if it is newer.
func (s *Shares) Adopt(r Row) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.adopt(r)
}

func (s *Shares) adopt(r Row) {
	if r.Version <= s.row.Version {
		return
	}
	until := s.validUntil()
	s.row = r
	select {
	case s.news <- struct{}{}:
	default:
	}
	clear(s.seen)
	s.read = time.Time{}
	shares := r.grant(s.Self)
	for name, p := range s.pots {
		p.adopt(shares[name])
		if shares == nil {
			p.extend(time.Time{})
		}
		s.lenders[name].expect(r, s.Self, name)
	}
	if shares != nil && !until.IsZero() {
		// The row before stays in force until then, so this one does too: the one after
		// it can't be in force before. See the package's comment.
		s.read = until.Add(-s.validity())
	}
}

// adopted is the newest row whose smaller shares are in force here; s.mu is held.
func (s *Shares) adopted() Version {
	for _, p := range s.pots {
		if !p.settled() {
			return s.row.Version - 1
		}
	}
	return s.row.Version
}

// validity is Validity on a clock that may run slow.
func (s *Shares) validity() time.Duration { return s.Validity - 2*s.Validity/drift }

// validUntil is when the right to use the row ends: the validity counted from
// before a majority of its holders was asked, or the table. s.mu is held.
func (s *Shares) validUntil() time.Time {
	if !s.row.has(s.Self) {
		return time.Time{}
	}
	last := s.read
	if at := s.majority(); at.After(last) {
		last = at
	}
	if last.IsZero() {
		return last
	}
	return last.Add(s.validity())
}

func (s *Shares) majority() time.Time {
	var asked []time.Time
	for _, h := range s.row.holders() {
		asked = append(asked, s.seen[h])
	}
	sort.Slice(asked, func(i, j int) bool { return asked[i].After(asked[j]) })
	return asked[len(asked)/2]
}

// Renewed answers a peer.
func (s *Shares) Renewed(r RenewRequest) RenewAnswer {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Row != nil {
		s.adopt(*r.Row)
	}
	a := RenewAnswer{Holder: s.Self, Version: s.row.Version, Adopted: s.adopted(), Demand: map[Name]float64{}}
	if r.Version < s.row.Version {
		row := s.row
		a.Row = &row
	}
	for name, p := range s.pots {
		if d := p.Demand(); d >= 0.5 {
			a.Demand[name] = d
		}
	}
	return a
}

// Lend answers a peer. ErrUnknown.
func (s *Shares) Lend(r BorrowRequest) (BorrowAnswer, error) {
	p := s.pot(r.Contract)
	if p == nil {
		return BorrowAnswer{}, ErrUnknown.New("no contract %q", r.Contract)
	}
	p.repaid(r.Done)
	s.mu.Lock()
	s.loans++
	id := s.loans
	s.mu.Unlock()
	kept, valid := p.keep(r.Keep, s.LoanValidity)
	a := p.lend(r.Tokens, id, s.LoanValidity)
	a.Kept = kept
	if len(kept) > 0 && (a.Valid == 0 || valid < a.Valid) {
		a.Valid = valid
	}
	return a, nil
}

// Run renews and borrows until ctx ends.
func (s *Shares) Run(ctx context.Context) error {
	s.init()
	var work sync.WaitGroup
	s.mu.Lock()
	s.begin = func(name Name, p pot, from *lenders) {
		work.Go(func() { s.borrow(ctx, name, p, from) })
	}
	for name, p := range s.pots {
		s.begin(name, p, s.lenders[name])
	}
	s.mu.Unlock()
	tick := time.NewTicker(s.Validity / 6)
	defer tick.Stop()
	for ctx.Err() == nil {
		s.renew(ctx)
		select {
		case <-ctx.Done():
		case <-tick.C:
		case <-s.news:
		}
	}
	s.mu.Lock()
	s.begin = nil
	s.mu.Unlock()
	work.Wait()
	return nil
}
