package fakeupstream

import (
	"context"
	"time"

	"github.com/savoryramp/savoryramp/pkg/position"
)

// receive takes entries from the source as they come.
func (s *Server) receive(ctx context.Context) {
	for ctx.Err() == nil {
		s.group.mu.Lock()
		due := s.pull(time.Now())
		changed := s.group.changed
		s.group.mu.Unlock()
		pause(ctx, changed, due)
	}
}

// pull takes what has arrived by now and tells when the next entry will.
func (s *Server) pull(now time.Time) time.Time {
	if !s.connected() {
		return time.Time{}
	}
	moved := s.match()
	delay := s.group.link(s.source, s).Delay
	var due time.Time
	for _, r := range s.source.log[len(s.log):] {
		if arrival := r.Entry.At.Add(delay); arrival.After(now) {
			due = arrival
			break
		}
		s.log = append(s.log, received{Entry: r.Entry, at: now})
		moved = true
	}
	if s.inherit() || moved {
		s.group.broadcast()
	}
	return due
}

// connected tells whether entries can come from the source now.
func (s *Server) connected() bool {
	from := s.source
	return from != nil && from.leads == s.followed && s.term == s.followed &&
		s.faults.up() && from.faults.up() && !s.group.link(from, s).Cut
}

// match drops what the source doesn't have. It tells whether anything moved.
func (s *Server) match() bool {
	if s.matched {
		return false
	}
	s.matched = true
	common := min(len(s.log), len(s.source.log))
	for common > 0 && s.log[common-1].Entry != s.source.log[common-1].Entry {
		common--
	}
	return s.truncate(common)
}

// truncate keeps the first entries; a view that has more is built afresh.
func (s *Server) truncate(keep int) bool {
	if keep >= len(s.log) {
		return false
	}
	eventTruncated.Log(s.group.Logger, "server", s.Name, "from", s.received(), "to", keep)
	s.log = s.log[:keep:keep]
	if int(s.applied) > keep {
		s.retired = append(s.retired, s.view)
		s.view = openView(s.Name)
		s.applied = 0
	}
	var starts []position.TermStart
	for _, start := range s.starts {
		if int(start.Offset) <= keep {
			starts = append(starts, start)
		}
	}
	s.starts = starts
	return true
}

// inherit takes over the term starts that the log reaches. It tells whether the
// server learned of any.
func (s *Server) inherit() bool {
	before := s.received()
	s.starts = nil
	for _, start := range s.source.starts {
		if int(start.Offset) <= len(s.log) {
			s.starts = append(s.starts, start)
		}
	}
	return s.received() != before
}

// apply brings received entries into the view when their lag is over.
func (s *Server) apply(ctx context.Context) {
	for ctx.Err() == nil {
		s.group.mu.Lock()
		next, v, due := s.next(time.Now())
		changed := s.group.changed
		s.group.mu.Unlock()
		if next == nil {
			pause(ctx, changed, due)
			continue
		}
		s.applyEntry(ctx, v, next)
	}
}

// next is the entry to apply now, or when there will be one.
func (s *Server) next(now time.Time) (*Entry, *view, time.Time) {
	if s.leads > 0 || int(s.applied) == len(s.log) || !s.faults.up() {
		return nil, nil, time.Time{}
	}
	r := s.log[s.applied]
	due := r.at.Add(s.Lag)
	if due.After(now) && !s.hurry {
		return nil, nil, due
	}
	return r.Entry, s.view, time.Time{}
}

func (s *Server) applyEntry(ctx context.Context, v *view, e *Entry) {
	change, err := v.change(ctx, e.Statements)
	if err != nil {
		if ctx.Err() == nil {
			eventNotApplied.Log(s.group.Logger, "server", s.Name, "position", e.Position, "err", err)
		}
		if change == nil {
			return
		}
	}
	defer change.end()
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if s.view != v || int(s.applied) >= len(s.log) || s.log[s.applied].Entry != e || s.leads > 0 {
		return
	}
	change.commit()
	s.applied++
	s.group.broadcast()
}
