package peer

import (
	"sort"
	"time"

	"github.com/savoryramp/savoryramp/internal/platform"
)

// updateStates updates the links and the members' states, and calls OnMembersChanged if
// a member changed state or was dropped.
func (f *Fleet) updateStates() {
	f.mu.Lock()
	now := time.Now()
	changed := f.updateLinks()
	silentReports := f.countSilentReports()
	for _, m := range f.members {
		s := m.stateByHeartbeats(now, f.HeartbeatInterval)
		if !m.isDirect {
			s = m.stateByReports(silentReports[m.name])
		}
		if s == m.state {
			continue
		}
		f.setState(m, s)
		changed = true
	}
	f.mu.Unlock()
	if changed && f.OnMembersChanged != nil {
		f.OnMembersChanged(f.Members())
	}
}

// setState stores and logs a member's new state, and publishes whether a direct member
// is silent; f.mu is held.
func (f *Fleet) setState(m *member, s State) {
	previous := m.state
	m.state = s
	switch {
	case s == Suspect:
		eventSuspect.Log(f.Logger, "vm", m.name, "incarnation", m.incarnation)
	case s == Gone:
		eventGone.Log(f.Logger, "vm", m.name, "incarnation", m.incarnation)
		f.views.removeOrigin(m.name)
	case previous == Suspect || previous == Gone:
		eventPeerLive.Log(f.Logger, "vm", m.name, "incarnation", m.incarnation)
	}
	if m.isDirect && (s == Gone || previous == Gone) && f.views.publish(SilentReport{m.name, m.incarnation, s == Gone}) {
		f.sendNow()
	}
}

// stateByReports returns the state of a member that exchanges no heartbeats with this
// VM from other VMs' silent reports and the platform's list.
func (m *member) stateByReports(silentReports int) State {
	switch {
	case silentReports >= minSilentReports, m.listedState == "":
		return Gone
	case m.listedState == platform.VMLeaving:
		return Leaving
	}
	return Live
}

// countSilentReports returns how many VMs report each VM as silent. The map is empty if
// there are fewer than maxFullMesh other VMs, since all VMs then exchange heartbeats
// directly.
func (f *Fleet) countSilentReports() map[Name]int {
	counts := map[Name]int{}
	if len(f.members) < maxFullMesh {
		return counts
	}
	for _, s := range f.views.list() {
		if v, ok := s.View.(SilentReport); ok && v.Silent {
			counts[v.VM]++
		}
	}
	return counts
}

// updateLinks starts and pauses links as the neighbours change, and drops members that
// are gone and not in the platform's list. It reports whether any were dropped. f.mu is
// held.
func (f *Fleet) updateLinks() bool {
	var names []Name
	dropped := false
	for n, m := range f.members {
		if m.listedState == "" && m.state == Gone {
			f.delisted[n] = m.wasListed
			m.link.close()
			delete(f.members, n)
			dropped = true
			continue
		}
		names = append(names, n)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	neighbourSet := map[Name]bool{}
	for _, n := range neighbours(f.Self, names) {
		neighbourSet[n] = true
	}
	for n, m := range f.members {
		m.isDirect = neighbourSet[n] || len(names) <= maxFullMesh
		m.link.setPaused(!neighbourSet[n])
		if neighbourSet[n] && f.startLink != nil && !m.link.running && m.address != "" {
			m.link.running = true
			f.startLink(m.link)
		}
	}
	return dropped
}
