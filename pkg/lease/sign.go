package lease

import "time"

// Run is one start of a named process, as Hears tells it.
type RunID string

// sign is an answer of from, which was asked at the time at, while it was heard of in
// run or wasn't heard of.
type probeResult struct {
	member   Member
	observed bool
	run      RunID
	probedAt time.Duration
}

// hear gives what is heard of m, to be compared with its answers.
func (l *Lease) currentObservation(m Member) probeResult {
	s := probeResult{member: m, probedAt: l.now()}
	if l.ObservedRun != nil {
		s.run, s.observed = l.ObservedRun(m.Name)
	}
	return s
}

// stands tells whether the last answer needs no other one yet: it came from the process
// that is heard of now, or from one that isn't heard of by this member, a short while ago.
func (l *Lease) isLastProbeValid(current probeResult) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	last, age := l.lastProbe, current.probedAt-l.lastProbe.probedAt
	switch {
	case l.ObservedRun == nil || last.member != current.member:
		return false
	case last.observed:
		return current.observed && current.run == last.run && age < l.pollInterval()
	}
	return age < l.duration()
}
