package proxy

import (
	"math/rand/v2"
	"slices"
	"time"
)

// memAnswer is an answer that arrives at a time.
type memAnswer struct {
	Answer
	at time.Time
}

// stutter makes servers send answers again, late, on the same connection.
type stutter struct {
	random *rand.Rand
	// share is that of the answers that are repeated, late the most by which they come later.
	share float64
	late  time.Duration
	// together is how many consecutive answers at most are repeated in one piece.
	together int
	// repeats reports whether an answer may be repeated.
	repeats func(c Command, a Answer) bool
	// atNext is the share of repeated answers that arrive when the next command on the connection has been sent,
	// before its answer.
	atNext float64
	// rewrites is true if a repeated answer has the present transaction state and position.
	rewrites bool
}

// maxTogether is how many answers can be repeated in one piece.
const maxTogether = 8

// reply queues an answer, which arrives once the server has worked on the command; the testbed's mutex is held.
func (l *memLink) reply(_ Command, a Answer) Answer {
	at := time.Now()
	if n := len(l.answers); n > 0 {
		at = l.answers[n-1].at
	}
	l.answers = append(l.answers, memAnswer{a, at.Add(l.server.work)})
	return a
}

// repeatSome sends some of the latest answers again; the testbed's mutex is held.
func (l *memLink) repeatSome(c Command, latest []Answer) {
	s := l.testbed.stutter
	if s == nil || len(latest) == 0 || !s.repeats(c, latest[len(latest)-1]) || s.random.Float64() >= s.share {
		return
	}
	from := max(0, len(latest)-1-s.random.IntN(max(s.together, 1)))
	at := l.answers[len(l.answers)-1].at.Add(time.Duration(s.random.Float64() * float64(s.late)))
	queue := &l.repeated
	if s.random.Float64() < s.atNext {
		queue = &l.held
	}
	for _, a := range latest[from:] {
		*queue = append(*queue, memAnswer{a, at})
	}
	l.sortRepeated()
}

func (l *memLink) sortRepeated() {
	slices.SortStableFunc(l.repeated, func(a, b memAnswer) int { return a.at.Compare(b.at) })
}

// next returns the next answer to arrive and the queue that it is in; the testbed's mutex is held.
func (l *memLink) next() (memAnswer, *[]memAnswer) {
	switch {
	case len(l.repeated) > 0 && (len(l.answers) == 0 || l.repeated[0].at.Before(l.answers[0].at)):
		a := l.repeated[0]
		if s := l.testbed.stutter; s != nil && s.rewrites {
			a.Phase, a.Position = l.phase, l.server.logEnd
		}
		return a, &l.repeated
	case len(l.answers) > 0:
		return l.answers[0], &l.answers
	}
	return memAnswer{}, nil
}
