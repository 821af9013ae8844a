package contract

import (
	"context"
	"sync"
	"time"
)

// renew extends the validity by requests to all holders, and by a read of the table if
// too few of them confirm. The table has a separate timeout, since holders that hang use
// up the timeout of the renew requests.
func (s *Shares) renew(ctx context.Context) {
	s.renewWithHolders(ctx)
	s.recordConfirmation(s.Self, s.Now(), s.Row().Version)
	if s.needsTable() {
		s.readTable(ctx)
	}
	s.extendValidity()
}

// renewWithHolders sends renew requests to all other holders.
func (s *Shares) renewWithHolders(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.Validity/6)
	defer cancel()
	var calls sync.WaitGroup
	for _, h := range s.Row().holders() {
		if h.VM != s.Self.VM {
			calls.Go(func() { s.renewWith(ctx, h.VM) })
		}
	}
	calls.Wait()
}

// renewWith sends a renew request to one VM, with the row if that VM has an older one.
func (s *Shares) renewWith(ctx context.Context, to VMName) {
	for range 2 {
		s.mu.Lock()
		r := RenewRequest{Version: s.row.Version}
		if s.peerVersions[to] < s.row.Version {
			row := s.row
			r.Row = &row
		}
		s.mu.Unlock()
		sentAt := s.Now()
		answer, err := s.Peers.Renew(ctx, to, r)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.peerVersions[to] = answer.Version
		if answer.Row != nil {
			s.adopt(*answer.Row)
		}
		s.mu.Unlock()
		s.recordConfirmation(answer.Holder, sentAt, answer.Version)
		if answer.Version == r.Version {
			break
		}
	}
	s.extendValidity()
}

// recordConfirmation records that a holder confirmed v as the newest version in response
// to a request sent at sentAt.
func (s *Shares) recordConfirmation(h Holder, sentAt time.Time, v Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v == s.row.Version && sentAt.After(s.confirmedAt[h]) {
		s.confirmedAt[h] = sentAt
	}
}

// needsTable reports whether the table must be read because no row is known yet, or
// because less than half of the validity is left.
func (s *Shares) needsTable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.row.Version == 0 {
		return true
	}
	return s.row.has(s.Self) && s.validUntil().Sub(s.Now()) < s.Validity/2
}

// readTable adopts the row in the table and records when it was read.
func (s *Shares) readTable(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.Validity/6)
	defer cancel()
	sentAt := s.Now()
	row, err := s.Table.Read(ctx)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.adopt(row)
	if row.Version == s.row.Version && sentAt.After(s.tableReadAt) {
		s.tableReadAt = sentAt
	}
}

// extendValidity sets the end of the validity for all contracts.
func (s *Shares) extendValidity() {
	s.mu.Lock()
	defer s.mu.Unlock()
	until := s.validUntil()
	for _, bal := range s.balances {
		bal.setValidUntil(until)
	}
}
