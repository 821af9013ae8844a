package peer

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/savoryramp/savoryramp/internal/platform"
)

// Name is the name of a VM.
type Name = platform.VMName

// Incarnation identifies one run of a VM's process; later runs have greater numbers.
type Incarnation int64

// State is a VM's liveness and readiness for new work.
type State string

// The states of a member that exchanges heartbeats with this VM. For other members, see
// stateByReports.
const (
	// Live VMs send heartbeats and take new work.
	Live State = "live"
	// Suspect VMs have sent no heartbeat for 3 intervals, or none yet.
	Suspect State = "suspect"
	// Gone VMs have sent no heartbeat for 6 intervals, or said goodbye.
	Gone State = "gone"
	// Leaving VMs send heartbeats but take no new work.
	Leaving State = "leaving"
)

// Member is a VM of the fleet as this VM sees it.
type Member struct {
	Name             Name
	Address          platform.Address
	AvailabilityZone platform.AvailabilityZone
	// Incarnation is 0 until the VM's first heartbeat.
	Incarnation Incarnation
	State       State
	// LastSeen is when the VM last sent or answered a heartbeat; it is zero for VMs that
	// exchange no heartbeats with this one.
	LastSeen time.Time
}

// member is a Fleet's state of another VM; the fleet's mutex guards it.
type member struct {
	name        Name
	address     platform.Address
	zone        platform.AvailabilityZone
	incarnation Incarnation
	// ended is the greatest incarnation that said goodbye, as in the fleet's
	// endedIncarnations.
	ended    Incarnation
	lastSeen time.Time
	// addedAt is when this VM added the member.
	addedAt time.Time
	// listedState is the VM's state in the platform's list, empty if it isn't listed.
	listedState platform.VMState
	// wasListed is whether the platform's list contained the VM at any read.
	wasListed bool
	draining  bool
	// isDirect is whether this VM opens a heartbeat stream to the VM, so that the state
	// follows from the VM's own heartbeats.
	isDirect bool
	state    State
	link     *link
}

// stateByHeartbeats returns the state of a member that exchanges heartbeats with this
// VM.
func (m *member) stateByHeartbeats(now time.Time, heartbeatInterval time.Duration) State {
	last := m.lastSeen
	if last.IsZero() {
		last = m.addedAt
	}
	silence := now.Sub(last)
	switch {
	case m.saidGoodbye(), silence >= goneIntervals*heartbeatInterval:
		return Gone
	case silence >= suspectIntervals*heartbeatInterval, m.lastSeen.IsZero():
		return Suspect
	case m.draining, m.listedState == platform.VMLeaving:
		return Leaving
	}
	return Live
}

func (m *member) saidGoodbye() bool { return m.incarnation != 0 && m.ended >= m.incarnation }

func (m *member) snapshot() Member {
	return Member{
		Name: m.name, Address: m.address, AvailabilityZone: m.zone,
		Incarnation: m.incarnation, State: m.state, LastSeen: m.lastSeen,
	}
}

// LiveIncarnation returns the incarnation of a VM that sent or answered a heartbeat
// within the last 3 intervals. It returns false for all others, including VMs that
// exchange no heartbeats with this one.
func (f *Fleet) LiveIncarnation(name Name) (Incarnation, bool) {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[name]
	if m == nil || m.incarnation == 0 || m.saidGoodbye() || time.Since(m.lastSeen) >= suspectIntervals*f.HeartbeatInterval {
		return 0, false
	}
	return m.incarnation, true
}

// neighbours returns the VMs to which a VM opens heartbeat streams: all of them in a
// small fleet, else those at distances 1, 2, 4 and so on along a ring ordered by hash.
// Each VM then also receives heartbeats from about log2 of the fleet's size, and a view
// reaches every VM in at most as many hops.
func neighbours(self Name, all []Name) []Name {
	if len(all) <= maxFullMesh {
		return all
	}
	ring := append([]Name{self}, all...)
	sort.Slice(ring, func(i, j int) bool {
		a, b := xxhash.Sum64String(string(ring[i])), xxhash.Sum64String(string(ring[j]))
		return a < b || a == b && ring[i] < ring[j]
	})
	selfIndex := 0
	for i, n := range ring {
		if n == self {
			selfIndex = i
		}
	}
	var picked []Name
	for step := 1; step < len(ring); step *= 2 {
		picked = append(picked, ring[(selfIndex+step)%len(ring)])
	}
	return picked
}

// setAddress updates the address of the member and its link; an empty address is
// ignored.
func (m *member) setAddress(a platform.Address) {
	if a != "" && a != m.address {
		m.address = a
		m.link.setAddress(a)
	}
}
