package failover

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// modelRules are the rules that the model's VMs follow. The fields are replaced to show that the model finds
// the faults that a rule prevents.
type modelRules struct {
	counts func(s Sighting, observing time.Duration) bool
	choose func(e Election) (Replica, Refusal)
	// stands reports whether a VM goes on with a decision.
	stands func(v View, d Decision, primary string) bool
	// knows is false if VMs decide before they know the fleet.
	knows bool
	// askFor is how long servers are asked in an attempt.
	askFor time.Duration
}

var currentRules = modelRules{
	counts: Sighting.Counts, choose: Election.Choose, stands: View.StillStands, knows: true, askFor: 900 * time.Millisecond,
}

// isDecisive is Election.IsDecisive with the model's rules.
func (r modelRules) isDecisive(e Election) bool {
	e.SinceFirstAttempt = 0
	_, refused := r.choose(e)
	return refused == ""
}

const (
	modelTick = 100 * time.Millisecond
	// faultTime is how long a schedule has faults.
	faultTime = 30 * time.Second
	// neverHeard is before each instant of the model.
	neverHeard = -time.Hour
	// listingTime is after how long the platform removes a server that is gone from its list.
	listingTime = 3600 * time.Millisecond
)

// side is a part of the network. While it is cut, nothing passes between two sides.
type side int

// modelServer is a server of the model's group.
type modelServer struct {
	name  string
	index int
	side  side
	// downUntil is when the server runs again, slowUntil when it answers at once again, cutUntil when the
	// platform and everything else reach it again.
	downSince, downUntil, slowUntil time.Duration
	// end is the end of the log, in the term of which the server is since termSince.
	end       LogEnd
	term      int64
	termSince time.Duration
}

// modelVM is a VM of the model. Its times are of the model's clock.
type modelVM struct {
	name                              string
	index                             int
	side                              side
	downUntil, pausedUntil, startedAt time.Duration
	observingSince, lastHeardAny      time.Duration
	// earlierBuild is true if the VM doesn't announce the terms that it creates.
	earlierBuild bool
	// knowsFleet is true once the VM has read the directory or was told of the fleet.
	knowsFleet bool
	// peers has what the VM knows of each listed one, in the order of the model's list.
	peers   []modelPeer
	primary string
	// term is that of primary, newestTerm the newest one that the VM knows of or has ordered.
	term, newestTerm                            int64
	failingSince, lastFailure, primaryUnknownAt time.Duration
	decision                                    Decision
	decisionPrimary                             string
	decidedAt, firstAttempt, nextAttempt        time.Duration
	attempting                                  bool
	token                                       int64
	rowTerm                                     int64
	phase                                       time.Duration
	// reachedSince is since when the VM has reached each server, lastReached when it last reached each VM.
	reachedSince, lastReached []time.Duration
	lastEvaluated             time.Duration
	usedAt                    time.Duration
	// lastRan is when the VM last ran, and runsSince when its last run began.
	lastRan, runsSince time.Duration
}

// modelPeer is what a VM knows of another one.
type modelPeer struct {
	heard   bool
	heardAt time.Duration
	o       Observation
}

// model is a fleet, a group and a platform in one process, without a network.
type model struct {
	r       *rand.Rand
	rules   modelRules
	fences  bool
	now     time.Duration
	vms     []*modelVM
	servers []*modelServer
	// platform is the side of the platform while the network is cut, until cutUntil.
	platform side
	cutUntil time.Duration
	// listed has the names of all VMs in the directory, those that are lost included.
	listed        []string
	storeOutUntil time.Duration
	// primary is the server that the platform promoted last, term its term.
	primary         string
	term            int64
	token, rowTerm  int64
	steps           []modelStep
	faults          []string
	minority, older string
	promotions      int
}

type modelStep struct {
	at  time.Duration
	run func()
}

func (m *model) after(d time.Duration, run func()) {
	m.steps = append(m.steps, modelStep{m.now + d, run})
}

func (m *model) between(low, high time.Duration) time.Duration {
	return low + time.Duration(m.r.Int64N(int64(high-low)+1))
}

func newModel(seed uint64, rules modelRules) *model {
	m := &model{r: rand.New(rand.NewPCG(seed, 1)), rules: rules, fences: seed%4 != 0, primary: "s0", term: 1, token: 1, rowTerm: 1}
	for i := range 5 + m.r.IntN(5) {
		v := &modelVM{name: fmt.Sprint("vm", i), index: i, phase: modelTick * time.Duration(m.r.IntN(2)), observingSince: -time.Minute, startedAt: -time.Minute, earlierBuild: seed%5 == 0 && m.r.IntN(2) == 0}
		m.vms, m.listed = append(m.vms, v), append(m.listed, v.name)
	}
	for range m.r.IntN(3) {
		m.listed = append(m.listed, fmt.Sprint("lost", len(m.listed)))
	}
	for i := range 3 + 2*m.r.IntN(2) {
		m.servers = append(m.servers, &modelServer{name: fmt.Sprint("s", i), index: i, downSince: neverHeard, downUntil: neverHeard, slowUntil: neverHeard, end: LogEnd{1, 100}})
	}
	for _, v := range m.vms {
		m.reset(v)
		for i, other := range m.vms {
			v.peers[i] = modelPeer{heard: true, o: Observation{VM: other.name, Primary: "s0"}}
		}
		v.primary, v.term, v.newestTerm, v.knowsFleet, v.token = "s0", 1, 1, true, 0
	}
	m.vms[0].token = 1
	return m
}

// reset makes the VM a process that has just started.
func (m *model) reset(v *modelVM) {
	v.peers, v.primary, v.term, v.newestTerm, v.knowsFleet = make([]modelPeer, len(m.listed)), "", 0, 0, false
	v.failingSince, v.decision, v.attempting, v.token, v.rowTerm = neverHeard, Keep, false, 0, 0
	v.reachedSince, v.lastReached = make([]time.Duration, len(m.servers)), make([]time.Duration, len(m.vms))
	v.lastHeardAny, v.usedAt = neverHeard, neverHeard
}

func (m *model) runs(v *modelVM) bool { return m.now >= v.downUntil && m.now >= v.pausedUntil }

// reaches reports whether datagrams pass between two of the VMs, servers and the platform.
func (m *model) reaches(a, b side) bool { return m.now >= m.cutUntil || a == b }

func (m *model) server(name string) *modelServer {
	for _, s := range m.servers {
		if s.name == name {
			return s
		}
	}
	return nil
}

func (m *model) isUp(s *modelServer) bool { return m.now >= s.downUntil }

func (m *model) isListed(s *modelServer) bool {
	return m.isUp(s) || m.now-s.downSince < listingTime
}

// isPrimary reports whether a server acts as primary. Where a promotion doesn't fence, the old primary goes
// on while it doesn't reach the platform.
func (m *model) isPrimary(s *modelServer) bool { return m.isUp(s) && s.name == m.primary }

// addFaults starts the faults of the next second.
func (m *model) addFaults() {
	if m.now >= m.cutUntil && m.r.IntN(4) == 0 {
		m.cutUntil = m.now + m.between(time.Second, 12*time.Second)
		m.note("cut until %s", m.cutUntil)
		for _, v := range m.vms {
			v.side = side(m.r.IntN(2))
		}
		for _, s := range m.servers {
			s.side = side(m.r.IntN(2))
		}
		m.platform = side(m.r.IntN(2))
		if m.r.IntN(2) == 0 {
			m.restartSome()
		}
	}
	for _, v := range m.vms {
		switch {
		case !m.runs(v):
		case m.r.IntN(40) == 0:
			m.stop(v, m.between(200*time.Millisecond, 5*time.Second))
			if m.r.IntN(4) == 0 {
				v.downUntil = time.Hour
			}
		case m.r.IntN(40) == 0:
			v.pausedUntil = m.now + m.between(500*time.Millisecond, 20*time.Second)
			m.note("%s paused until %s", v.name, v.pausedUntil)
		}
	}
	for _, s := range m.servers {
		switch {
		case !m.isUp(s):
		case m.r.IntN(30) == 0:
			s.downSince, s.downUntil = m.now, m.now+m.between(500*time.Millisecond, 8*time.Second)
			if m.r.IntN(6) == 0 && m.serversUp() > 2 {
				s.downUntil = time.Hour
			}
			m.note("%s down until %s", s.name, s.downUntil)
		case m.r.IntN(15) == 0:
			s.slowUntil = m.now + m.between(time.Second, 6*time.Second)
			m.note("%s slow until %s", s.name, s.slowUntil)
		}
	}
	if m.now >= m.storeOutUntil && m.r.IntN(40) == 0 {
		m.storeOutUntil = m.now + m.between(time.Second, 8*time.Second)
		m.note("store out until %s", m.storeOutUntil)
	}
}

// restartSome restarts some VMs, with the store out for a while or not.
func (m *model) restartSome() {
	for _, v := range m.vms {
		if m.runs(v) && m.r.IntN(2) == 0 {
			m.stop(v, m.between(200*time.Millisecond, 2*time.Second))
		}
	}
	if m.r.IntN(2) == 0 {
		m.storeOutUntil = m.now + m.between(time.Second, 8*time.Second)
		m.note("store out until %s", m.storeOutUntil)
	}
}

// stop ends a VM's process for a while.
func (m *model) stop(v *modelVM, d time.Duration) {
	v.downUntil = m.now + d
	v.startedAt, v.observingSince = v.downUntil, v.downUntil
	m.note("%s down until %s", v.name, v.downUntil)
	m.reset(v)
}

func (m *model) serversUp() int {
	n := 0
	for _, s := range m.servers {
		if s.downUntil < time.Hour {
			n++
		}
	}
	return n
}

func (m *model) note(format string, arguments ...any) {
	m.faults = append(m.faults, fmt.Sprintf("%s: ", m.now)+fmt.Sprintf(format, arguments...))
}

// step advances the model by a tick.
func (m *model) step(faults bool) {
	m.now += modelTick
	if faults && m.now%time.Second == 0 {
		m.addFaults()
	}
	m.replicate()
	due := m.steps
	m.steps = nil
	for _, s := range due {
		if s.at <= m.now {
			s.run()
		} else {
			m.steps = append(m.steps, s)
		}
	}
	m.trackReach()
	for _, v := range m.vms {
		if m.runs(v) {
			m.runVM(v)
		}
	}
}

// replicate lets the primary commit if a VM uses it, and the others receive its log unless it is slow.
func (m *model) replicate() {
	defer m.trackTerms()
	p := m.server(m.primary)
	if !m.isUp(p) {
		return
	}
	for _, v := range m.vms {
		if m.runs(v) && v.primary == p.name && m.now-v.usedAt <= modelTick {
			p.end = LogEnd{m.term, p.end.Offset + 1}
			break
		}
	}
	for _, s := range m.servers {
		if s != p && m.isUp(s) && m.reaches(s.side, p.side) && m.r.IntN(3) > 0 && m.now >= p.slowUntil {
			s.end = p.end
		}
	}
}

// trackTerms records since when the servers' logs end in their terms, for the checks.
func (m *model) trackTerms() {
	for _, s := range m.servers {
		if s.end.Term != s.term {
			s.term, s.termSince = s.end.Term, m.now
		}
	}
}

// trackReach records which VMs and servers reach each other, for the checks.
func (m *model) trackReach() {
	for _, v := range m.vms {
		if m.runs(v) {
			if m.now-v.lastRan > modelTick {
				v.runsSince = m.now
			}
			v.lastRan = m.now
		}
		for _, other := range m.vms {
			if m.runs(v) && m.runs(other) && m.reaches(v.side, other.side) {
				v.lastReached[other.index] = m.now
			}
		}
		for _, s := range m.servers {
			if !m.runs(v) || !m.isUp(s) || !m.reaches(v.side, s.side) {
				v.reachedSince[s.index] = m.now
			}
		}
	}
}
