package heartbeat

import (
	"slices"
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"
)

type peer struct {
	address string
	// lastSeen is when the last heartbeat arrived, zero for a VM known only from the
	// directory.
	lastSeen clock.Instant
	// addedAt is when the VM was first known.
	addedAt clock.Instant
	message Message
	live    bool
	// viaDigest is true if the last heartbeat arrived in a digest.
	viaDigest bool
}

// Peer is the last known state of another VM.
type Peer struct {
	Message
	// Silent is true once the VM's liveness timeout has passed without a heartbeat.
	Silent bool
	// Age is the time since the last heartbeat arrived, including the time in which this VM
	// was suspended.
	Age time.Duration
}

// Peers returns the other VMs that are live or recently fell silent, sorted by name.
func (f *Fleet) Peers() []Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []Peer
	for name, p := range f.peers {
		b := p.message
		b.VM, b.Address = name, p.address
		list = append(list, Peer{Message: b, Silent: !p.live, Age: clock.Since(p.lastSeen)})
	}
	slices.SortFunc(list, func(a, b Peer) int {
		if a.VM < b.VM {
			return -1
		}
		return 1
	})
	return list
}

// Size returns the number of live VMs, including this one.
func (f *Fleet) Size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 1
	for _, p := range f.peers {
		if p.isPresumedLive(f.startedAt) {
			n++
		}
	}
	return n
}

// isPresumedLive reports whether the VM counts as live. For a short time after this VM's
// start, that includes VMs known only from the directory.
func (p *peer) isPresumedLive(startedAt clock.Instant) bool {
	return p.live && !p.message.Leaving || p.lastSeen == 0 && clock.Since(startedAt) < livenessTimeout
}

// Rank returns this VM's position among the live VMs sorted by name, from 0.
func (f *Fleet) Rank() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for name, p := range f.peers {
		if p.isPresumedLive(f.startedAt) && name < f.VM {
			n++
		}
	}
	return n
}

// TimeSincePeerSeen returns the time since a heartbeat of any other VM arrived, zero if none
// ever has.
func (f *Fleet) TimeSincePeerSeen() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.hasSeenPeer {
		return 0
	}
	return clock.Since(f.lastPeerSeen)
}
