package fakeupstream

import (
	"context"
	"slices"

	"github.com/savoryramp/savoryramp/pkg/position"
)

// Fence makes the server refuse entries of terms before t; a primary of an
// earlier term steps down. A lower term than accepted is ErrState.
func (s *Server) Fence(t position.Term) error {
	s.group.open()
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if err := s.accept(t); err != nil {
		return err
	}
	s.group.broadcast()
	return nil
}

func (s *Server) accept(t position.Term) error {
	if t < s.term {
		return ErrState.New("term %d is behind the accepted term %d", t, s.term)
	}
	s.term = t
	if s.leads > 0 && s.leads < t {
		s.stepDown()
	}
	return nil
}

// stepDown ends a reign; transactions that still write find it out at their next step.
func (s *Server) stepDown() {
	s.leads = 0
	if s.work != nil {
		s.work.close()
		s.work = nil
	}
}

// Follow replicates from the primary of term t, dropping entries that it doesn't
// have. A lower term than accepted, or an unknown server, is ErrState.
func (s *Server) Follow(t position.Term, from ServerName) error {
	s.group.open()
	source := s.group.Server(from)
	if source == nil || source == s {
		return ErrState.New("%s can't follow %q", s.Name, from)
	}
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if err := s.accept(t); err != nil {
		return err
	}
	if s.leads == t {
		return ErrState.New("%s is itself primary of term %d", s.Name, t)
	}
	s.followed, s.source, s.matched, s.hurry = t, source, false, false
	s.group.broadcast()
	return nil
}

// Promote makes the server primary of term t, which it must have accepted by
// Fence, after applying all it received. Else it is ErrState.
func (s *Server) Promote(ctx context.Context, t position.Term) error {
	s.group.open()
	g := s.group
	g.mu.Lock()
	if s.term != t {
		g.mu.Unlock()
		return ErrState.New("term %d was not accepted before, the server is at %d", t, s.term)
	}
	if s.leads != t {
		s.source, s.hurry = nil, true
		g.broadcast()
	}
	g.mu.Unlock()
	for {
		if err := s.applyAll(ctx, t); err != nil {
			return err
		}
		led, err := s.tryLead(ctx, t)
		if led || err != nil {
			return err
		}
	}
}

// applyAll waits until all received entries are in the view, or term t is over.
func (s *Server) applyAll(ctx context.Context, t position.Term) error {
	return s.group.until(ctx, func() bool {
		return s.leads == t || s.term != t || int(s.applied) == len(s.log)
	})
}

// tryLead begins the reign of term t. It is false if entries came or went meanwhile.
// The view's lock, taken before group.mu as everywhere, keeps out a replay that still
// runs for an entry dropped since: a view is only copied while nothing changes it.
func (s *Server) tryLead(ctx context.Context, t position.Term) (bool, error) {
	v, _ := s.viewNow()
	if err := v.lock.Acquire(ctx, 1); err != nil {
		return false, ErrEnded.Wrap(err, "view lock")
	}
	defer v.lock.Release(1)
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	switch {
	case s.leads == t:
		return true, nil
	case s.term != t:
		return false, ErrState.New("term %d was replaced by %d", t, s.term)
	case s.view != v || int(s.applied) < len(s.log):
		return false, nil
	}
	s.lead(t)
	s.group.broadcast()
	return true, nil
}

// lead begins a reign where the log ends; all of it is applied, and nothing changes
// the view.
func (s *Server) lead(t position.Term) {
	s.leads, s.source, s.hurry = t, nil, false
	s.starts = append(slices.Clip(s.starts), position.TermStart{Term: t, Offset: position.Offset(len(s.log))})
	s.work = s.view.copy()
}
