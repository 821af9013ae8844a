package peer

import (
	"sort"
	"time"

	"github.com/savoryramp/savoryramp/internal/platform"
)

// judge brings members' states and the links up to date.
func (f *Fleet) judge() {
	f.mu.Lock()
	now := time.Now()
	changed := f.connect()
	silent := f.silentReports()
	for _, m := range f.members {
		s := m.stateAt(now, f.BeatEvery)
		if !m.direct {
			s = m.stateByReport(silent[m.name])
		}
		if s == m.state {
			continue
		}
		f.report(m, s)
		changed = true
	}
	f.mu.Unlock()
	if changed && f.OnMembers != nil {
		f.OnMembers(f.Members())
	}
}

// report notes a member's new state; f.mu is held.
func (f *Fleet) report(m *member, s State) {
	was := m.state
	m.state = s
	switch {
	case s == Suspect:
		eventSuspect.Log(f.Logger, "vm", m.name, "incarnation", m.life)
	case s == Gone:
		eventGone.Log(f.Logger, "vm", m.name, "incarnation", m.life)
		f.board.forget(m.name)
	case was == Suspect || was == Gone:
		eventIn.Log(f.Logger, "vm", m.name, "incarnation", m.life)
	}
	if m.direct && (s == Gone || was == Gone) && f.board.publish(Silent{m.name, m.life, s == Gone}) {
		f.kick()
	}
}

// stateByReport judges a member that only others hear.
func (m *member) stateByReport(silent int) State {
	switch {
	case silent >= silentReports, m.listed == "":
		return Gone
	case m.listed == platform.VMLeaving:
		return Leaving
	}
	return Live
}

func (f *Fleet) silentReports() map[Name]int {
	counts := map[Name]int{}
	if len(f.members) < fullMesh {
		return counts
	}
	for _, s := range f.board.sightings() {
		if v, ok := s.View.(Silent); ok && v.Silent {
			counts[v.VM]++
		}
	}
	return counts
}

// connect starts and ends links as the neighbours change, and drops members that
// are neither listed nor heard. It tells whether any were dropped. f.mu is held.
func (f *Fleet) connect() bool {
	var names []Name
	dropped := false
	for n, m := range f.members {
		if m.listed == "" && m.state == Gone {
			f.removed[n] = m.wasListed
			m.link.close()
			delete(f.members, n)
			dropped = true
			continue
		}
		names = append(names, n)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	next := map[Name]bool{}
	for _, n := range neighbours(f.Self, names) {
		next[n] = true
	}
	for n, m := range f.members {
		m.direct = next[n] || len(names) <= fullMesh
		m.link.hush(!next[n])
		if next[n] && f.talk != nil && !m.link.talking && m.address != "" {
			m.link.talking = true
			f.talk(m.link)
		}
	}
	return dropped
}
