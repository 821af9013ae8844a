package lease

import "time"

// RunID identifies one start of a named process, as reported by Lease.ObservedRun.
type RunID string

// probeResult describes a probe of member, sent at probedAt, while ObservedRun reported
// run for it (observed is true) or reported nothing.
type probeResult struct {
	member   Member
	observed bool
	run      RunID
	probedAt time.Duration
}

// currentObservation returns what ObservedRun reports for m now. It is stored when m
// responds, and compared with the stored one before the next probe.
func (l *Lease) currentObservation(m Member) probeResult {
	observation := probeResult{member: m, probedAt: l.now()}
	if l.ObservedRun != nil {
		observation.run, observation.observed = l.ObservedRun(m.Name)
	}
	return observation
}

// isLastProbeValid reports whether no new probe is needed yet: the last response came from
// the process that ObservedRun reports now, or was received recently from a process that
// ObservedRun didn't report.
func (l *Lease) isLastProbeValid(current probeResult) bool {
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
