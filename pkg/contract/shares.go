package contract

import (
	"context"
	"sort"
	"sync"
	"time"
)

// Default durations of a group. All VMs of a fleet must use the same values.
const (
	// DefaultValidity is how long a holder may use its shares after it requested
	// confirmation from a majority.
	DefaultValidity = 6 * time.Second
	// DefaultLoanValidity is how long borrowed tokens or units may be used.
	DefaultLoanValidity = time.Second
	// DefaultMaxWait is the longest time that a request waits for a token.
	DefaultMaxWait = time.Second
)

// Shares manages a VM's shares of one group of contracts: it renews their validity,
// admits requests, lends and borrows. Set the exported fields before calling Run.
type Shares struct {
	Self  Holder
	Table Table
	Peers Peers
	// Validity and LoanValidity must be the same on all VMs. LoanValidity must be the
	// shorter one.
	Validity, LoanValidity time.Duration
	// MaxWait is the longest time that a request waits for a token.
	MaxWait time.Duration
	// Linger is how long units in use may outlive their holder, such as connections that
	// a server hasn't yet detected as dead. It must be the same on all VMs and is added
	// to every wait for a VM that may be dead.
	Linger time.Duration
	// Now is a monotonic clock. If it is nil, time.Now is used.
	Now func() time.Time

	once     sync.Once
	mu       sync.Mutex
	limits   map[Name]Limit
	balances map[Name]balance
	lenders  map[Name]*lenders
	row      Row
	// confirmedAt holds, for each holder that confirmed the version of row, the time at
	// which the request that it answered was sent.
	confirmedAt map[Holder]time.Time
	// tableReadAt is the start time of the latest table read that returned the version
	// of row. After adopt it is instead the start time that yields the validity carried
	// over from the replaced row.
	tableReadAt time.Time
	// peerVersions holds the version that each VM had in its last response.
	peerVersions map[VMName]Version
	lastLoanID   LoanID
	// rowChanged notifies Run of a new row.
	rowChanged chan struct{}
	// startBorrowing starts the borrowing loop of a contract. It is nil unless Run is
	// running.
	startBorrowing func(Name, balance, *lenders)
}

func (s *Shares) init() {
	s.once.Do(func() {
		if s.Validity == 0 {
			s.Validity = DefaultValidity
		}
		if s.LoanValidity == 0 {
			s.LoanValidity = DefaultLoanValidity
		}
		if s.MaxWait == 0 {
			s.MaxWait = DefaultMaxWait
		}
		if s.Now == nil {
			s.Now = time.Now
		}
		s.limits, s.balances, s.lenders = map[Name]Limit{}, map[Name]balance{}, map[Name]*lenders{}
		s.rowChanged = make(chan struct{}, 1)
		s.confirmedAt, s.peerVersions = map[Holder]time.Time{}, map[VMName]Version{}
	})
}

// Admit implements Limiter: it waits for a token of a Rate.
func (s *Shares) Admit(ctx context.Context, name Name) error {
	b, ok := s.balance(name).(*Bucket)
	if !ok {
		return ErrUnknown.New("no rate %q", name)
	}
	return b.Take(ctx)
}

// Units returns the units of a Count. It fails with ErrUnknown if this VM has no Count of
// that name.
func (s *Shares) Units(name Name) (*Units, error) {
	u, ok := s.balance(name).(*Units)
	if !ok {
		return nil, ErrUnknown.New("no count %q", name)
	}
	return u, nil
}

func (s *Shares) balance(name Name) balance {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limits[name] == nil {
		return nil
	}
	return s.balances[name]
}

// Row returns the newest row that this VM knows.
func (s *Shares) Row() Row {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.row
}

// Adopt switches to r if it is newer than the current row. The table must be known to
// hold r.
func (s *Shares) Adopt(r Row) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.adopt(r)
}

// adopt is Adopt for a caller that holds s.mu.
func (s *Shares) adopt(r Row) {
	if r.Version <= s.row.Version {
		return
	}
	until := s.validUntil()
	s.row = r
	select {
	case s.rowChanged <- struct{}{}:
	default:
	}
	clear(s.confirmedAt)
	s.tableReadAt = time.Time{}
	shares := r.sharesOf(s.Self)
	for name, bal := range s.balances {
		bal.setShare(shares[name])
		if shares == nil {
			bal.setValidUntil(time.Time{})
		}
		s.lenders[name].setRow(r, s.Self, name)
	}
	if shares != nil && !until.IsZero() {
		// The end of the validity carries over from the replaced row to r. This is safe
		// because the row after r is written only when the replaced row is out of use;
		// see the package comment.
		s.tableReadAt = until.Add(-s.safeValidity())
	}
}

// adoptedVersion returns the newest version whose shares this VM keeps to, including what
// it lent. The caller must hold s.mu.
func (s *Shares) adoptedVersion() Version {
	for _, bal := range s.balances {
		if !bal.isWithinShare() {
			return s.row.Version - 1
		}
	}
	return s.row.Version
}

// safeValidity returns Validity less a margin for a clock that runs slow.
func (s *Shares) safeValidity() time.Duration { return s.Validity - 2*s.Validity/invDrift }

// validUntil returns when the right to use the row ends. The validity counts from before
// the requests to a majority of its holders, or the read of the table, were sent. The
// caller must hold s.mu.
func (s *Shares) validUntil() time.Time {
	if !s.row.has(s.Self) {
		return time.Time{}
	}
	validityStart := s.tableReadAt
	if at := s.majoritySentAt(); at.After(validityStart) {
		validityStart = at
	}
	if validityStart.IsZero() {
		return validityStart
	}
	return validityStart.Add(s.safeValidity())
}

// majoritySentAt returns the latest time t such that, for a majority of holders, the request
// that they confirmed was sent at or after t. It is zero if no majority has confirmed. The
// caller must hold s.mu.
func (s *Shares) majoritySentAt() time.Time {
	var sentTimes []time.Time
	for _, h := range s.row.holders() {
		sentTimes = append(sentTimes, s.confirmedAt[h])
	}
	sort.Slice(sentTimes, func(i, j int) bool { return sentTimes[i].After(sentTimes[j]) })
	return sentTimes[len(sentTimes)/2]
}

// AnswerRenew answers a peer's RenewRequest.
func (s *Shares) AnswerRenew(r RenewRequest) RenewAnswer {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Row != nil {
		s.adopt(*r.Row)
	}
	a := RenewAnswer{Holder: s.Self, Version: s.row.Version, Adopted: s.adoptedVersion(), Demand: map[Name]float64{}}
	if r.Version < s.row.Version {
		row := s.row
		a.Row = &row
	}
	for name, bal := range s.balances {
		if d := bal.Demand(); d >= 0.5 {
			a.Demand[name] = d
		}
	}
	return a
}

// Lend answers a peer's BorrowRequest. It fails with ErrUnknown if this VM has no contract
// of that name.
func (s *Shares) Lend(r BorrowRequest) (BorrowAnswer, error) {
	bal := s.balance(r.Contract)
	if bal == nil {
		return BorrowAnswer{}, ErrUnknown.New("no contract %q", r.Contract)
	}
	bal.releaseLoans(r.ClosedLoans)
	s.mu.Lock()
	s.lastLoanID++
	id := s.lastLoanID
	s.mu.Unlock()
	extended, extendedValidity := bal.extendLent(r.ExtendLoans, s.LoanValidity)
	answer := bal.lend(r.Tokens, id, s.LoanValidity)
	answer.ExtendedLoans = extended
	if len(extended) > 0 && (answer.ValidFor == 0 || extendedValidity < answer.ValidFor) {
		answer.ValidFor = extendedValidity
	}
	return answer, nil
}

// Run renews the shares and borrows tokens until ctx ends.
func (s *Shares) Run(ctx context.Context) error {
	s.init()
	var loops sync.WaitGroup
	s.mu.Lock()
	s.startBorrowing = func(name Name, bal balance, lenderStates *lenders) {
		loops.Go(func() { s.runBorrowing(ctx, name, bal, lenderStates) })
	}
	for name, bal := range s.balances {
		s.startBorrowing(name, bal, s.lenders[name])
	}
	s.mu.Unlock()
	tick := time.NewTicker(s.Validity / 6)
	defer tick.Stop()
	for ctx.Err() == nil {
		s.renew(ctx)
		select {
		case <-ctx.Done():
		case <-tick.C:
		case <-s.rowChanged:
		}
	}
	s.mu.Lock()
	s.startBorrowing = nil
	s.mu.Unlock()
	loops.Wait()
	return nil
}
