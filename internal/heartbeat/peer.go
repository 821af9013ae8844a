package heartbeat

import (
	"slices"
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"
)

type peer struct {
	address string
	// heard is zero for one known from the directory only.
	lastSeen clock.Instant
	// added is when it was first known.
	addedAt clock.Instant
	message Message
	live    bool
	// far peers are heard of in digests only.
	viaDigest bool
}

// Peer is another VM as this one hears it.
type Peer struct {
	Message
	// Silent VMs were heard of lately but not at present.
	Silent bool
	// Age is how long ago the beat came; it also counts this VM's suspensions.
	Age time.Duration
}

// Peers lists the other VMs that live or fell silent lately, by name.
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

// Size counts the VMs that live, this one included.
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

// counts tells whether the peer is taken for live: also while it was only listed and
// this VM has hardly begun to listen.
func (p *peer) isPresumedLive(startedAt clock.Instant) bool {
	return p.live && !p.message.Leaving || p.lastSeen == 0 && clock.Since(startedAt) < livenessTimeout
}

// Rank is this VM's place by name among those that live, from 0.
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

// Silence is how long this VM has heard no other; zero if it knows of none.
func (f *Fleet) TimeSincePeerSeen() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.hasSeenPeer {
		return 0
	}
	return clock.Since(f.lastPeerSeen)
}
