package lease

import "time"

// RunID identifies one start of a named process, as reported by Lease.ObservedRun.
type RunID string

// probeContext holds the member to which a probe is sent, the time of sending, and what
// ObservedRun reports for the member at that time: run, or nothing if observed is false.
type probeContext struct {
	member   Member
	observed bool
	run      RunID
	probedAt time.Duration
}

// newProbeContext returns the context of a probe of m sent now. If m answers the probe, the
// context is stored as lastProbe, with which the next contexts are compared.
func (l *Lease) newProbeContext(m Member) probeContext {
	probe := probeContext{member: m, probedAt: l.now()}
	if l.ObservedRun != nil {
		probe.run, probe.observed = l.ObservedRun(m.Name)
	}
	return probe
}

// isLastProbeValid reports whether no new probe of current.member is needed yet: the last
// probe that the member answered was sent less than PollInterval ago and ObservedRun still
// reports the run that it reported then, or was sent less than Duration ago while
// ObservedRun reported nothing.
func (l *Lease) isLastProbeValid(current probeContext) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	last, age := l.lastProbe, current.probedAt-l.lastProbe.probedAt
	switch {
	case l.ObservedRun == nil || last.member != current.member:
		return false
	case last.observed:
		return current.observed && current.run == last.run && age < l.pollPeriod()
	}
	return age < l.ttl()
}
