package peer

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/savoryramp/savoryramp/internal/platform"
)

// Name names a VM.
type Name = platform.VMName

// Incarnation numbers the starts of a VM's process; later ones are greater.
type Incarnation int64

// State is how a VM stands to be used.
type State string

// The states of a member.
const (
	// Live answers.
	Live State = "live"
	// Suspect was silent for a while, or was never heard yet.
	Suspect State = "suspect"
	// Gone was silent for too long, or said goodbye.
	Gone State = "gone"
	// Leaving answers, and takes nothing new.
	Leaving State = "leaving"
)

// Member is a VM of the fleet as this VM sees it.
type Member struct {
	Name             Name
	Address          platform.Address
	AvailabilityZone platform.AvailabilityZone
	// Incarnation is 0 until the VM was heard.
	Incarnation Incarnation
	State       State
	// Heard is when it last sent or answered a heartbeat; zero for VMs beyond the
	// ones that this VM talks to.
	Heard time.Time
}

// member is what a Fleet keeps of a VM; the fleet's mutex guards it.
type member struct {
	name    Name
	address platform.Address
	zone    platform.AvailabilityZone
	life    Incarnation
	// ended is the greatest incarnation that said goodbye, as in the fleet's ended.
	ended Incarnation
	heard time.Time
	// since is when this VM learned of it.
	since  time.Time
	listed platform.VMState
	// wasListed: the platform's list had it while this process ran.
	wasListed bool
	draining  bool
	// direct: heartbeats pass between it and this VM, in either direction.
	direct bool
	state  State
	link   *link
}

// stateAt judges a member that this VM hears itself.
func (m *member) stateAt(now time.Time, beat time.Duration) State {
	last := m.heard
	if last.IsZero() {
		last = m.since
	}
	silent := now.Sub(last)
	switch {
	case m.saidGoodbye(), silent >= goneBeats*beat:
		return Gone
	case silent >= suspectBeats*beat, m.heard.IsZero():
		return Suspect
	case m.draining, m.listed == platform.VMLeaving:
		return Leaving
	}
	return Live
}

func (m *member) saidGoodbye() bool { return m.life != 0 && m.ended >= m.life }

func (m *member) public() Member {
	return Member{
		Name: m.name, Address: m.address, AvailabilityZone: m.zone,
		Incarnation: m.life, State: m.state, Heard: m.heard,
	}
}

// Hears gives the incarnation of a VM that sent or answered a heartbeat of late; false
// of any other, also of the VMs that this one doesn't talk to.
func (f *Fleet) Hears(name Name) (Incarnation, bool) {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[name]
	if m == nil || m.life == 0 || m.saidGoodbye() || time.Since(m.heard) >= suspectBeats*f.BeatEvery {
		return 0, false
	}
	return m.life, true
}

// neighbours picks whom a VM sends heartbeats: everybody in a small fleet, else the
// VMs at distances 1, 2, 4 and so on along a ring by hash. Each VM is then watched
// by as many, and news passes over the fleet in as many steps at most.
func neighbours(self Name, all []Name) []Name {
	if len(all) <= fullMesh {
		return all
	}
	ring := append([]Name{self}, all...)
	sort.Slice(ring, func(i, j int) bool {
		a, b := xxhash.Sum64String(string(ring[i])), xxhash.Sum64String(string(ring[j]))
		return a < b || a == b && ring[i] < ring[j]
	})
	at := 0
	for i, n := range ring {
		if n == self {
			at = i
		}
	}
	var picked []Name
	for step := 1; step < len(ring); step *= 2 {
		picked = append(picked, ring[(at+step)%len(ring)])
	}
	return picked
}

func (m *member) setAddress(a platform.Address) {
	if a != "" && a != m.address {
		m.address = a
		m.link.redial(a)
	}
}
