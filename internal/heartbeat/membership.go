package heartbeat

import (
	"math/rand/v2"
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"
	"github.com/savoryramp/savoryramp/pkg/failover"
)

const (
	// sizeTTL is how long the number of VMs that decides on digests is cached while no VM joins or leaves.
	sizeTTL = sendCheckInterval
	// maxUnheard is the largest number of VMs that have never been heard to which a heartbeat of a fleet
	// without digests goes. The directory keeps the entries of VMs that were lost, of which there may be
	// hundreds.
	maxUnheard = 8
)

// KnowsFleet reports whether this VM has read the directory, or was told of the fleet by a VM that knows it.
// Otherwise any number of VMs may run that it doesn't know of.
func (f *Fleet) KnowsFleet() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.knowsFleet()
}

// knowsFleet is KnowsFleet; f.mu must be held.
func (f *Fleet) knowsFleet() bool { return f.directoryRead || f.toldFleet }

// observingTime returns for how long this VM has been able to hear the others: the time since its start, the
// end of its last pause or the end of its last isolation. f.mu must be held.
func (f *Fleet) observingTime(now clock.Instant) time.Duration {
	if f.lastTick != 0 && now.Sub(f.lastTick) > maxTickGap {
		// This VM has been paused, which detectPause hasn't noted yet.
		return 0
	}
	return now.Sub(max(f.startedAt, f.pausedUntil))
}

// sighting returns what this VM knows of whether the peer runs.
func (p *peer) sighting(now clock.Instant) failover.Sighting {
	return failover.Sighting{Heard: p.lastSeen != 0, Age: now.Sub(p.lastSeen), Leaving: p.message.Leaving}
}

// cachedSize is whether the fleet had digests at a time.
type cachedSize struct {
	peers                int
	membershipGeneration uint64
	computedAt           clock.Instant
	hasDigests           bool
}

// hasDigests reports whether the fleet is so large that heartbeats go to the delegates of the
// zones. f.mu must be held.
func (f *Fleet) hasDigests() bool {
	now := clock.Now()
	c := f.largeFleet
	if c.computedAt != 0 && c.peers == len(f.peers) && c.membershipGeneration == f.membershipGeneration && now.Sub(c.computedAt) <= sizeTTL {
		return c.hasDigests
	}
	c = cachedSize{peers: len(f.peers), membershipGeneration: f.membershipGeneration, computedAt: now, hasDigests: f.largeFleet.hasDigests}
	if !f.isCutOff(now) {
		c.hasDigests = f.countPeers(now) >= maxMeshSize
	}
	f.largeFleet = c
	return c.hasDigests
}

// UsesDigests reports whether the fleet is so large that the VMs learn of each other from the
// delegates of their zones.
func (f *Fleet) UsesDigests() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hasDigests()
}

// countPeers returns the number of other VMs that are live or recently fell silent. Entries of the directory
// that nobody was heard for count only until this VM can have heard from the fleet, or was told that the fleet
// has no digests. f.mu must be held.
func (f *Fleet) countPeers(now clock.Instant) int {
	countsUnheard := now.Sub(f.startedAt) < settlingTime && !f.toldFleet
	n := 0
	for _, p := range f.peers {
		if p.lastSeen != 0 && now.Sub(p.lastSeen) < silentPeerTTL || p.lastSeen == 0 && countsUnheard {
			n++
		}
	}
	return n
}

// unheardAddresses returns those of the addresses of VMs that have never been heard to which a heartbeat
// goes: all of a starting VM, at most maxUnheard later. f.mu must be held.
func (f *Fleet) unheardAddresses(addresses []string) []string {
	if len(addresses) <= maxUnheard || f.isStarting() {
		return addresses
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:maxUnheard]
}

// expirePeers marks VMs as silent when their liveness timeout has passed since their last
// heartbeat, and forgets them when silentPeerTTL has passed and they no longer count. A VM that hears no
// other one forgets none, so that it doesn't take the first ones that it hears again for the whole fleet.
func (f *Fleet) expirePeers() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := clock.Now()
	observing, isCutOff := f.observingTime(now), f.isCutOff(now)
	for name, p := range f.peers {
		if p.live && now.Sub(p.lastSeen) > f.peerLivenessTimeout(p, now) {
			f.markSilent(name, p, now)
		}
		if now.Sub(max(p.lastSeen, p.addedAt)) > silentPeerTTL && !isCutOff && !p.sighting(now).Counts(observing) {
			delete(f.peers, name)
		}
	}
}

// peerLivenessTimeout returns how long after its last heartbeat a VM counts as live. f.mu must be
// held.
func (f *Fleet) peerLivenessTimeout(p *peer, now clock.Instant) time.Duration {
	if p.lastDirect != 0 && now.Sub(p.lastDirect) < directTTL {
		return livenessTimeout
	}
	return digestLivenessTimeout
}

// markSilent records that a VM is silent. f.mu must be held.
func (f *Fleet) markSilent(name VMName, p *peer, now clock.Instant) {
	p.live, p.silentSince = false, now
	f.membershipGeneration++
	eventPeerChanged.Log(f.Logger, "peer", name, "silent", now.Sub(p.lastSeen), "outcome", "silent")
}
