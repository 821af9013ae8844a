package heartbeat

import (
	"cmp"
	"slices"
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"
)

// peer is what this VM knows about another one.
type peer struct {
	address string
	// lastSeen is when the last heartbeat arrived, here or at the VM that sent a digest, zero for a
	// VM known only from the directory.
	lastSeen clock.Instant
	// addedAt is when the VM became known, from a heartbeat or from the directory.
	addedAt clock.Instant
	// message is the last heartbeat. It only has the zone and the link's bandwidth for a VM known
	// only from the directory.
	message Message
	// checksum is that of message.
	checksum uint64
	live     bool
	// silentSince is when the VM fell silent. It is meaningless while the VM is live.
	silentSince clock.Instant
	// changedAt is when checksum or the observations in message last changed.
	changedAt clock.Instant
	// lastDirect is when the last heartbeat arrived from the VM itself, zero if none has, and
	// lastSequence its number.
	lastDirect   clock.Instant
	lastSequence uint32
	// inDigest is true if the VM is in the latest digest of its zone.
	inDigest bool
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
	now := clock.Now()
	list := make([]Peer, 0, len(f.peers))
	for name, p := range f.peers {
		list = append(list, f.export(name, p, now))
	}
	slices.SortFunc(list, func(a, b Peer) int { return cmp.Compare(a.VM, b.VM) })
	return list
}

// PeersNamed returns the last known state of the VMs with the given names, apart from this VM and
// from VMs that are unknown, sorted by name.
func (f *Fleet) PeersNamed(names map[VMName]bool) []Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := clock.Now()
	var list []Peer
	for name := range names {
		if p := f.peers[name]; p != nil {
			list = append(list, f.export(name, p, now))
		}
	}
	slices.SortFunc(list, func(a, b Peer) int { return cmp.Compare(a.VM, b.VM) })
	return list
}

// peersAhead returns the live VMs whose configuration is newer than a version, in no particular
// order.
func (f *Fleet) peersAhead(version int64) []Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []Peer
	now := clock.Now()
	for name, p := range f.peers {
		if p.live && p.message.ConfigurationVersion > version {
			list = append(list, f.export(name, p, now))
		}
	}
	return list
}

// export returns a peer's state. A VM that was paused may not have marked the others as silent yet. f.mu must
// be held.
func (f *Fleet) export(name VMName, p *peer, now clock.Instant) Peer {
	message := p.message
	message.VM, message.Address = name, p.address
	age := now.Sub(p.lastSeen)
	return Peer{Message: message, Silent: !p.live || age > f.peerLivenessTimeout(p, now), Age: age}
}

// Size returns the number of live VMs that aren't leaving, including this one.
func (f *Fleet) Size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, starting := 1, f.isStarting()
	for _, p := range f.peers {
		if p.isPresumedLive(starting) {
			n++
		}
	}
	return n
}

// unheardTTL is how long after its start a VM that hears no other one assumes that those listed in the
// directory serve callers.
const unheardTTL = time.Minute

// RateSize returns the number of VMs among which rates are divided, including this one: Size, or all VMs
// of the directory while this VM has only just started and hasn't heard any of them.
func (f *Fleet) RateSize() int {
	size := f.Size()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.hasSeenPeer && clock.Since(f.startedAt) < unheardTTL {
		return max(size, f.listedPeers+1)
	}
	return size
}

// isStarting reports whether this VM has started too recently to have heard from all live VMs.
func (f *Fleet) isStarting() bool { return clock.Since(f.startedAt) < livenessTimeout }

// isPresumedLive reports whether the VM is live and isn't leaving. While this VM is starting, VMs
// known only from the directory are presumed live.
func (p *peer) isPresumedLive(starting bool) bool {
	return p.live && !p.message.Leaving || p.lastSeen == 0 && starting
}

// Rank returns this VM's position among the VMs that Size counts, sorted by name, from 0.
func (f *Fleet) Rank() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, starting := 0, f.isStarting()
	for name, p := range f.peers {
		if p.isPresumedLive(starting) && name < f.VM {
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
