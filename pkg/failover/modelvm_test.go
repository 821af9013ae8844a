package failover

import (
	"slices"
	"strings"
	"time"
)

// runVM lets a VM do what is due.
func (m *model) runVM(v *modelVM) {
	if (View{Unwatched: m.now - v.lastEvaluated}).WasPaused() && v.lastEvaluated > v.startedAt {
		// The VM was paused.
		v.observingSince, v.decision, v.lastEvaluated = m.now, Keep, m.now
		v.failingSince, v.primaryUnknownAt = neverHeard, m.now
		return
	}
	v.lastEvaluated = m.now
	if !v.knowsFleet && m.now-v.startedAt >= 300*time.Millisecond && m.now >= m.storeOutUntil && m.reaches(v.side, m.platform) {
		v.knowsFleet = true
	}
	if (m.now+v.phase)%(2*modelTick) == 0 {
		for _, other := range m.vms {
			if other != v && m.runs(other) && m.reaches(v.side, other.side) && m.r.IntN(20) > 0 {
				m.hear(other, v)
			}
		}
	}
	if (m.now+v.phase)%(5*modelTick) == 0 {
		m.verify(v)
	}
	m.use(v)
	m.evaluate(v)
}

// hear lets a VM receive the heartbeat of another one.
func (m *model) hear(v, from *modelVM) {
	if v.lastHeardAny != neverHeard && m.now-v.lastHeardAny > 2*time.Second {
		v.observingSince = m.now
	}
	v.lastHeardAny = m.now
	own := m.observe(from)
	v.peers[from.index] = modelPeer{true, m.now, own}
	v.knowsFleet = v.knowsFleet || from.knowsFleet
	if from.term > v.term && own.Primary != "" && !own.Failing {
		v.setPrimary(own.Primary, from.term, m.now)
	}
	v.newestTerm = max(v.newestTerm, from.term)
}

func (v *modelVM) setPrimary(name string, term int64, now time.Duration) {
	v.term = max(v.term, term)
	v.newestTerm = max(v.newestTerm, term)
	if name != v.primary {
		v.primary, v.failingSince, v.primaryUnknownAt = name, neverHeard, now
	}
}

// verify lets a VM verify the primary, or search for it.
func (m *model) verify(v *modelVM) {
	if v.primary == "" {
		for _, s := range m.servers {
			if m.isPrimary(s) && m.reaches(v.side, s.side) {
				v.setPrimary(s.name, m.term, m.now)
			}
		}
		return
	}
	s := m.server(v.primary)
	defer func() {
		if v.failingSince != neverHeard {
			v.lastFailure = m.now
		}
	}()
	switch {
	case m.isUp(s) && m.reaches(v.side, s.side) && m.now < s.slowUntil && m.r.IntN(10) > 0:
		if v.failingSince == neverHeard {
			v.failingSince = m.now
		}
	case m.isUp(s) && m.reaches(v.side, s.side) && m.isPrimary(s):
		v.failingSince = neverHeard
		v.setPrimary(s.name, s.end.Term, m.now)
	case m.isUp(s) && m.reaches(v.side, s.side), !m.isListed(s):
		v.setPrimary("", 0, m.now)
	case v.failingSince == neverHeard:
		v.failingSince = m.now
	}
}

// observe returns a VM's observation of the primary.
func (m *model) observe(v *modelVM) Observation {
	o := Observation{VM: v.name, Primary: v.primary, NoPrimary: v.primary == ""}
	if v.primary == "" {
		o.Failing = m.now-v.primaryUnknownAt > 1200*time.Millisecond && m.now-v.startedAt > 1200*time.Millisecond
	} else {
		o.Failing = v.failingSince != neverHeard && m.now-v.failingSince >= 500*time.Millisecond
	}
	return o
}

// view returns what a VM's decision depends on.
func (m *model) view(v *modelVM) View {
	view := View{Unwatched: m.now - v.lastEvaluated, VM: v.name, Group: "g", OwnObservation: m.observe(v), IsVerifier: true, FleetUnknown: m.rules.knows && !v.knowsFleet}
	if !m.fences {
		view.FenceDelay = 3 * time.Second
	}
	view.Others = make([]Observation, 0, len(v.peers))
	for i, p := range v.peers {
		listed := p.heard || v.knowsFleet
		if i == v.index || !listed || !m.rules.counts(Sighting{Heard: p.heard, Age: m.now - p.heardAt}, m.now-v.observingSince) {
			continue
		}
		o := p.o
		o.VM, o.Silent = m.listed[i], !p.heard || m.now-p.heardAt > 2*time.Second
		view.Others = append(view.Others, o)
	}
	return view
}

// use lets a VM's callers use the primary.
func (m *model) use(v *modelVM) {
	s := m.server(v.primary)
	if s != nil && m.isPrimary(s) && m.reaches(v.side, s.side) && (m.fences || m.view(v).HasQuorum()) {
		v.usedAt = m.now
	}
}

// evaluate decides as Failover.evaluate does.
func (m *model) evaluate(v *modelVM) {
	view := m.view(v)
	decision := view.Decide()
	if decision != v.decision || view.OwnObservation.Primary != v.decisionPrimary {
		v.decision, v.decisionPrimary, v.decidedAt, v.firstAttempt = decision, view.OwnObservation.Primary, m.now, neverHeard
	}
	if decision == Keep || v.attempting || m.now-v.decidedAt < view.ActionDelay() || m.now < v.nextAttempt {
		return
	}
	v.attempting = true
	if v.firstAttempt == neverHeard {
		v.firstAttempt = m.now
	}
	m.attempt(v, v.startedAt)
}

func (m *model) end(v *modelVM, pause time.Duration) {
	v.attempting, v.nextAttempt = false, m.now+pause
}

// attempt asks the servers, gets a token and orders a promotion, each after a while.
func (m *model) attempt(v *modelVM, incarnation time.Duration) {
	decision, primary := v.decision, v.decisionPrimary
	stands := func() bool { return m.rules.stands(m.view(v), decision, primary) }
	still := func() bool { return v.startedAt == incarnation && m.runs(v) }
	m.ask(v, still, 0, func(chosen Replica, refused Refusal) {
		if refused != "" {
			m.end(v, 500*time.Millisecond)
			return
		}
		asked, e := m.now, m.election(v, nil, 0)
		m.acquire(v, still, func(rowTerm int64, acquired bool) {
			switch {
			case !acquired || !stands():
				m.end(v, 1500*time.Millisecond)
			case !e.HoldsAfter(m.now-asked, chosen, max(rowTerm, v.newestTerm)):
				m.ask(v, still, rowTerm, func(chosen Replica, refused Refusal) { m.order(v, stands, chosen, refused) })
			default:
				m.order(v, stands, chosen, "")
			}
		})
	})
}

// ask collects the statuses of the servers and chooses one. A paused VM goes on after its pause; one that
// ended doesn't.
func (m *model) ask(v *modelVM, still func() bool, rowTerm int64, then func(Replica, Refusal)) {
	took, answers := modelTick, m.answers(v, modelTick)
	if !m.rules.isDecisive(m.election(v, answers, rowTerm)) {
		took, answers = m.rules.askFor, nil
	}
	m.afterRunning(v, took, still, func() {
		if answers == nil {
			answers = m.answers(v, took)
		}
		if m.adopt(v, answers) {
			m.end(v, 1500*time.Millisecond)
			return
		}
		then(m.rules.choose(m.election(v, answers, rowTerm)))
	})
}

// adopt makes a server that reports a newer term as primary the VM's primary.
func (m *model) adopt(v *modelVM, answers []Replica) bool {
	for _, r := range answers {
		if s := m.server(r.Server); m.isPrimary(s) && m.term > v.term {
			v.setPrimary(s.name, m.term, m.now)
			return true
		}
	}
	return false
}

// afterRunning runs a step of a VM after a while, or once its pause has ended.
func (m *model) afterRunning(v *modelVM, d time.Duration, still func() bool, run func()) {
	incarnation := v.startedAt
	m.after(d, func() {
		switch {
		case v.startedAt != incarnation:
		case !still():
			m.afterRunning(v, modelTick, still, run)
		default:
			run()
		}
	})
}

// answers returns the statuses of the servers that answer within a time.
func (m *model) answers(v *modelVM, within time.Duration) []Replica {
	var list []Replica
	for _, s := range m.servers {
		slow := m.now < s.slowUntil
		if m.isListed(s) && m.isUp(s) && m.reaches(v.side, s.side) && (!slow || within >= 800*time.Millisecond) {
			list = append(list, Replica{Server: s.name, Received: s.end, OldPrimary: s.name == v.decisionPrimary})
		}
	}
	return list
}

func (m *model) election(v *modelVM, answers []Replica, rowTerm int64) Election {
	e := Election{Answered: answers, NewestTerm: max(rowTerm, v.newestTerm), SinceFirstAttempt: m.now - v.firstAttempt}
	for _, s := range m.servers {
		if m.isListed(s) {
			e.Listed++
			if s.name != v.decisionPrimary {
				e.Replicas++
			}
		}
	}
	return e
}

// acquire makes a VM the group's promoter. It may take long. While the store is out, the holder of a token
// keeps it.
func (m *model) acquire(v *modelVM, still func() bool, then func(rowTerm int64, acquired bool)) {
	delay := modelTick
	if m.r.IntN(5) == 0 {
		delay = m.between(time.Second, 4*time.Second)
	}
	m.afterRunning(v, delay, still, func() {
		reachable := m.now >= m.storeOutUntil && m.reaches(v.side, m.platform)
		switch {
		case reachable && v.token != m.token:
			v.rowTerm = m.rowTerm
			m.token++
			v.token = m.token
			m.announce(v)
		case reachable:
			m.announce(v)
		case v.token == 0 || !m.fences:
			then(0, false)
			return
		}
		then(v.rowTerm, true)
	})
}

// announce writes the term that a VM is about to create to the promoter's row. Earlier builds don't.
func (m *model) announce(v *modelVM) {
	if !v.earlierBuild {
		m.rowTerm = max(m.rowTerm, v.newestTerm+1)
	}
}

// order has the platform promote a server, unless the VM's decision no longer stands.
func (m *model) order(v *modelVM, stands func() bool, chosen Replica, refused Refusal) {
	m.end(v, 1500*time.Millisecond)
	if refused != "" || !stands() {
		return
	}
	if !m.reaches(v.side, m.platform) || v.token < m.token {
		v.token = 0
		return
	}
	m.check(v, chosen)
	m.note("%s promotes %s at %v, was %s", v.name, chosen.Server, chosen.Received, m.primary)
	v.newestTerm = max(v.newestTerm, chosen.Received.Term+1)
	m.after(300*time.Millisecond, func() {
		if s := m.server(chosen.Server); m.isUp(s) && m.primary != s.name {
			m.promotions++
			m.term++
			m.primary = s.name
			if m.r.IntN(2) == 0 {
				s.slowUntil = m.now + m.between(2*time.Second, 6*time.Second)
				m.note("%s slow until %s", s.name, s.slowUntil)
			}
		}
		if m.runs(v) && m.primary == chosen.Server && m.reaches(v.side, m.server(m.primary).side) {
			v.setPrimary(m.primary, m.term, m.now)
		}
	})
}

// check looks for a promotion that must not happen.
func (m *model) check(v *modelVM, chosen Replica) {
	const steady, observationAge, noticed = 3 * time.Second, 2 * time.Second, 500 * time.Millisecond
	live, served := 0, 0
	for _, other := range m.vms {
		// A VM that the orderer couldn't have heard for SilentTime counts as lost. The last heartbeat of one
		// that has stopped counts for a while.
		if m.now-other.lastRan > observationAge || other.lastRan-other.runsSince < noticed || m.now-max(v.lastReached[other.index], v.observingSince) >= SilentTime {
			continue
		}
		live++
		if m.runs(other) && m.now-max(other.runsSince, other.lastFailure) >= steady && other.primary == m.primary && m.isPrimary(m.server(m.primary)) && m.now-other.reachedSince[m.server(m.primary).index] >= steady {
			served++
		}
	}
	if chosen.Server == m.primary {
		return
	}
	if 2*served > live && m.minority == "" {
		m.minority = m.describe("%s replaces %s, which serves %d of %d", v.name, m.primary, served, live)
	}
	for _, s := range m.servers {
		if m.isListed(s) && m.isUp(s) && s.end.Term > m.server(chosen.Server).end.Term && m.now-max(s.termSince, v.reachedSince[s.index]) >= time.Second && m.older == "" {
			m.older = m.describe("%s promotes %s with %s over %s with %s", v.name, chosen.Server, chosen.Received, s.name, s.end)
		}
	}
}

func (m *model) describe(format string, arguments ...any) string {
	m.note(format, arguments...)
	return strings.Join(slices.Clone(m.faults), "\n")
}
