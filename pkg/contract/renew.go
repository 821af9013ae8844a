package contract

import (
	"context"
	"sync"
	"time"
)

// renew asks all holders, and the table if they don't make a majority. The table has a
// time of its own, since holders that hang use up all of theirs.
func (s *Shares) renew(ctx context.Context) {
	s.askAll(ctx)
	s.confirm(s.Self, s.Now(), s.Row().Version)
	if s.needsTable() {
		s.readTable(ctx)
	}
	s.extend()
}

func (s *Shares) askAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.Validity/6)
	defer cancel()
	var asks sync.WaitGroup
	for _, h := range s.Row().holders() {
		if h.VM != s.Self.VM {
			asks.Go(func() { s.ask(ctx, h.VM) })
		}
	}
	asks.Wait()
}

// ask renews with one VM, with the row if that one has an older.
func (s *Shares) ask(ctx context.Context, to VMName) {
	for range 2 {
		s.mu.Lock()
		r := RenewRequest{Version: s.row.Version}
		if s.knows[to] < s.row.Version {
			row := s.row
			r.Row = &row
		}
		s.mu.Unlock()
		asked := s.Now()
		a, err := s.Peers.Renew(ctx, to, r)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.knows[to] = a.Version
		if a.Row != nil {
			s.adopt(*a.Row)
		}
		s.mu.Unlock()
		s.confirm(a.Holder, asked, a.Version)
		if a.Version == r.Version {
			break
		}
	}
	s.extend()
}

// confirm notes that a holder, asked then, took a version as the newest.
func (s *Shares) confirm(h Holder, asked time.Time, v Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v == s.row.Version && asked.After(s.seen[h]) {
		s.seen[h] = asked
	}
}

// needsTable tells whether the validity would end before the next but one renewal.
func (s *Shares) needsTable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.row.Version == 0 {
		return true
	}
	return s.row.has(s.Self) && s.validUntil().Sub(s.Now()) < s.Validity/2
}

func (s *Shares) readTable(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.Validity/6)
	defer cancel()
	asked := s.Now()
	row, err := s.Table.Read(ctx)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.adopt(row)
	if row.Version == s.row.Version && asked.After(s.read) {
		s.read = asked
	}
}

func (s *Shares) extend() {
	s.mu.Lock()
	defer s.mu.Unlock()
	until := s.validUntil()
	for _, p := range s.pots {
		p.extend(until)
	}
}
