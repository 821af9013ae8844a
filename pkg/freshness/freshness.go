// Package freshness tells which log position a read must cover so that it misses no
// commit older than its bound.
//
// A primary that answers with position p something sent at s holds every commit that
// was acknowledged before s. A read that arrived at t and may miss commits younger than
// b is therefore served by any log that covers p, for any s >= t - b. The age is always
// counted from the sending, so a late answer makes a floor older, never wrong.
package freshness

import (
	"sync"
	"time"

	"github.com/savoryramp/savoryramp/pkg/position"
)

// Instant is a reading of a clock that also counts suspensions.
type Instant = time.Duration

// spacing is the least time between two samples kept: finer ones would hardly lower a
// floor, as replicas apply within tens of milliseconds.
const minSampleSpacing = 20 * time.Millisecond

// Samples are the positions that a group's primaries reported.
type Samples struct {
	// Keep is the greatest bound that is asked for.
	Retention time.Duration

	mu sync.Mutex
	// list rises by sent time; all have the newest term seen.
	samples    []sample
	newestTerm position.Term
	// first is the first position that was reported in term.
	firstPosition position.Position
}

type sample struct {
	sentAt   Instant
	position position.Position
}

// Add takes note of the position in a primary's answer to something sent at sent. Only
// answers that a replaced primary wouldn't give count.
func (s *Samples) Add(sentAt Instant, p position.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.Term < s.newestTerm {
		return
	}
	if p.Term > s.newestTerm {
		s.samples, s.newestTerm, s.firstPosition = nil, p.Term, p
	}
	i := len(s.samples)
	for i > 0 && s.samples[i-1].sentAt > sentAt {
		i--
	}
	if i > 0 && sentAt-s.samples[i-1].sentAt < minSampleSpacing {
		return
	}
	s.samples = append(s.samples, sample{})
	copy(s.samples[i+1:], s.samples[i:])
	s.samples[i] = sample{sentAt, p}
	for len(s.samples) > 1 && sentAt-s.samples[1].sentAt > s.Retention {
		s.samples = s.samples[1:]
	}
}

// Floor gives the lowest known position that serves a read which arrived at arrived and
// may miss commits younger than bound; false if none is young enough.
func (s *Samples) Floor(arrivedAt Instant, bound time.Duration) (position.Position, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, candidate := range s.samples {
		if candidate.sentAt >= arrivedAt-bound {
			return candidate.position, true
		}
	}
	return position.Position{}, false
}

// Newest is when the youngest sample was sent, and the term; false if there is none.
func (s *Samples) Newest() (Instant, position.Term, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.samples) == 0 {
		return 0, s.newestTerm, false
	}
	return s.samples[len(s.samples)-1].sentAt, s.newestTerm, true
}

// Survivor raises or lowers a session's own floor to what the newest term holds: a
// position of an older term may have been rolled back, and every commit that wasn't is
// covered by the first position reported in the newest term.
func (s *Samples) SurvivingFloor(sessionFloor position.Position) position.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sessionFloor.Term >= s.newestTerm || len(s.samples) == 0 {
		return sessionFloor
	}
	return s.firstPosition
}
