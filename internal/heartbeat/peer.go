package heartbeat

import (
	"slices"
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"
)

// peer is what this VM knows about another one.
type peer struct {
	address string
	// lastSeen is when the last heartbeat arrived, zero for a VM known only from the
	// directory.
	lastSeen clock.Instant
	// addedAt is when the VM became known, from a heartbeat or from the directory.
	addedAt clock.Instant
	// message is the last heartbeat.
	message Message
	live    bool
	// viaDigest is true if the last heartbeat arrived in a digest.
	viaDigest bool
}

// Peer is the last known state of another VM.
type Peer struct {
	Message
	// Silent is true if no heartbeat of the VM has arrived within its liveness timeout.
	Silent bool
	// Age is the time since the last heartbeat arrived, including the time in which this VM was
	// suspended. It is meaningless if none has arrived yet.
	Age time.Duration
}

// Peers returns the other VMs that are live, recently fell silent or are known only from the
// directory, sorted by name.
func (f *Fleet) Peers() []Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []Peer
	for name, p := range f.peers {
		message := p.message
		message.VM, message.Address = name, p.address
		list = append(list, Peer{Message: message, Silent: !p.live, Age: clock.Since(p.lastSeen)})
	}
	slices.SortFunc(list, func(a, b Peer) int {
		if a.VM < b.VM {
			return -1
		}
		return 1
	})
	return list
}

// Size returns the number of live VMs that aren't leaving, including this one.
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

// isPresumedLive reports whether the VM is live and isn't leaving. For a short time after this
// VM's start, VMs known only from the directory are presumed live.
func (p *peer) isPresumedLive(startedAt clock.Instant) bool {
	return p.live && !p.message.Leaving || p.lastSeen == 0 && clock.Since(startedAt) < livenessTimeout
}

// Rank returns this VM's position among the VMs that Size counts, sorted by name, from 0.
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
