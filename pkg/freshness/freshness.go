// Package freshness finds the log position that a read must cover so that the read misses
// no commit older than its staleness bound.
//
// If a primary answers a message sent at time s with position p, then p covers every commit
// that was acknowledged before s. A read that arrived at time t and may miss commits younger
// than b can therefore be served by any log that covers p, for any s >= t - b. The age of p
// is always counted from the sending of the message, so a late answer may make a floor
// higher than necessary but never too low.
package freshness

import (
	"sync"
	"time"

	"github.com/savoryramp/savoryramp/pkg/position"
)

// Instant is a reading of a clock that also advances while the machine is suspended.
type Instant = time.Duration

// minSampleSpacing is the minimum time between two stored samples. Denser samples would
// hardly lower a floor, since replicas apply entries within tens of milliseconds.
const minSampleSpacing = 20 * time.Millisecond

// Samples holds the positions that the primaries of a group have reported.
type Samples struct {
	// Retention is the largest staleness bound that Floor is called with.
	Retention time.Duration

	mu sync.Mutex
	// samples is sorted by sentAt; all samples are of newestTerm.
	samples    []sample
	newestTerm position.Term
	// firstPosition is the first position that was reported in newestTerm.
	firstPosition position.Position
}

// sample is a position that a primary reported in its answer to a message sent at sentAt.
type sample struct {
	sentAt   Instant
	position position.Position
}

// Add stores the position in a primary's answer to a message sent at sentAt, unless the
// answer is of an older term or another message with a stored answer was sent less than
// minSampleSpacing earlier. Callers pass only answers that a primary can't give after it
// was replaced.
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

// Floor returns the lowest known position that suffices for a read that arrived at
// arrivedAt and may miss commits younger than bound, or false if no sample is recent
// enough.
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

// Newest returns the sending time and the term of the newest sample, or false if there is
// none.
func (s *Samples) Newest() (Instant, position.Term, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.samples) == 0 {
		return 0, s.newestTerm, false
	}
	return s.samples[len(s.samples)-1].sentAt, s.newestTerm, true
}

// SurvivingFloor replaces a session's floor that is of an older term by the first position
// reported in the newest term: the older position may have been rolled back, and the new
// one covers every commit that wasn't.
func (s *Samples) SurvivingFloor(sessionFloor position.Position) position.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sessionFloor.Term >= s.newestTerm || len(s.samples) == 0 {
		return sessionFloor
	}
	return s.firstPosition
}
