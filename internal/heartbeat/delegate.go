package heartbeat

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/savoryramp/savoryramp/internal/clock"
)

const (
	// delegatesPerZone is the number of VMs that query the platform for their zone and receive the
	// heartbeats of its VMs: two, so that one may fail. The first of them exchanges digests with
	// the other zones and sends views to its own.
	delegatesPerZone = 2
	// delegatesTTL is how long the choice of a zone's delegates is cached while no VM joins or
	// leaves.
	delegatesTTL = time.Second
	// settlingTime is how long a VM isn't chosen as a delegate after its start, or after a pause in
	// which it missed heartbeats.
	settlingTime = 3 * time.Second
	// strayDigests is how many VMs of a zone, besides its first delegate, get a digest while none
	// arrives from that zone: its delegate may be another VM than this one knows.
	strayDigests = 2
	// maxTickGap is the longest time between two checks of a VM that isn't regarded as paused.
	maxTickGap = time.Second
)

// cachedDelegates is the choice of a zone's delegates at a time.
type cachedDelegates struct {
	membershipGeneration uint64
	computedAt           clock.Instant
	// addresses are the delegates' addresses, with this VM's own as an empty string.
	addresses []string
}

// delegates returns the addresses of a zone's delegates. f.mu must be held.
func (f *Fleet) delegates(zone string) []string {
	now := clock.Now()
	cached := f.delegatesByZone[zone]
	if cached.addresses == nil || cached.membershipGeneration != f.membershipGeneration || now.Sub(cached.computedAt) > delegatesTTL {
		cached = cachedDelegates{membershipGeneration: f.membershipGeneration, computedAt: now, addresses: f.chooseDelegates(zone, now)}
		if f.delegatesByZone == nil {
			f.delegatesByZone = map[string]cachedDelegates{}
		}
		f.delegatesByZone[zone] = cached
	}
	return cached.addresses
}

// chooseDelegates chooses a zone's delegates: the VMs with the fastest links, ties broken by hash.
// VMs of all versions must hash the same text, "scout/" and the VM's name, so that they choose the
// same delegates. Settling VMs are chosen only if there are no others, and silent ones only if all
// VMs of the zone are silent, since they may still receive messages of this one. f.mu must be held.
func (f *Fleet) chooseDelegates(zone string, now clock.Instant) []string {
	type candidate struct {
		address  string
		rank     int
		linkMbps float64
		score    uint64
	}
	const (
		steady = iota
		settling
		silent
	)
	var list []candidate
	add := func(name VMName, address string, linkMbps float64, rank int) {
		list = append(list, candidate{address, rank, linkMbps, xxhash.Sum64String("scout/" + string(name))})
	}
	rankOf := func(isSettling bool) int {
		if isSettling {
			return settling
		}
		return steady
	}
	starting := now.Sub(f.startedAt) < livenessTimeout
	if zone == f.Zone {
		add(f.VM, "", f.LinkMbps, rankOf(f.isSettling(now)))
	}
	for name, p := range f.peers {
		switch {
		case p.message.Zone != zone || p.message.Leaving:
		case p.live:
			add(name, p.address, p.message.LinkMbps, rankOf(p.message.Settling))
		case p.lastSeen == 0 && starting:
			add(name, p.address, p.message.LinkMbps, settling)
		default:
			add(name, p.address, p.message.LinkMbps, silent)
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(b.linkMbps, a.linkMbps), cmp.Compare(b.score, a.score))
	})
	addresses := []string{}
	for i, c := range list {
		if len(addresses) == delegatesPerZone || i > 0 && c.rank == silent && list[0].rank != silent {
			break
		}
		addresses = append(addresses, c.address)
	}
	return addresses
}

// isSettling reports whether this VM has heard the others for too short a time since its start, its
// last pause or its last isolation to be a delegate.
func (f *Fleet) isSettling(now clock.Instant) bool {
	return now.Sub(max(f.startedAt, f.pausedUntil)) < settlingTime || f.isCutOff(now)
}

// isCutOff reports whether this VM hears no other VM any more. f.mu must be held.
func (f *Fleet) isCutOff(now clock.Instant) bool {
	return f.hasSeenPeer && now.Sub(f.lastPeerSeen) > livenessTimeout
}

// notePeerSeen records that a message of another VM has arrived. f.mu must be held.
func (f *Fleet) notePeerSeen(now clock.Instant) {
	if f.isCutOff(now) {
		f.pausedUntil = now
		f.membershipGeneration++
	}
	f.hasSeenPeer, f.lastPeerSeen = true, now
}

// accepts reports whether the digest or view in a message may replace what this VM knows. A settling
// VM's state may lack VMs, so that it is only used while this VM knows no better source.
func (f *Fleet) accepts(m Message) bool {
	if !m.Settling {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.peers {
		if p.live && !p.message.Settling && !p.message.Leaving && p.message.Zone == m.Zone {
			return false
		}
	}
	return m.Zone != f.Zone || f.isSettling(clock.Now())
}

// detectPause notes when this VM was paused. After a pause, the other VMs look silent until their
// next heartbeats, which this VM must not report to its zone.
func (f *Fleet) detectPause(now clock.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lastTick != 0 && now.Sub(f.lastTick) > maxTickGap {
		f.pausedUntil = now
		f.membershipGeneration++
		eventPaused.Log(f.Logger, "for", now.Sub(f.lastTick))
	}
	f.lastTick = now
}

// isDelegate reports whether this VM queries the platform for its zone. While there are no
// digests, all VMs query it. f.mu must be held.
func (f *Fleet) isDelegate() bool { return !f.hasDigests() || slices.Contains(f.delegates(f.Zone), "") }

// isFirstDelegate reports whether this VM exchanges digests with the other zones and sends views
// to its own. f.mu must be held.
func (f *Fleet) isFirstDelegate() bool {
	delegates := f.delegates(f.Zone)
	return f.hasDigests() && len(delegates) > 0 && delegates[0] == ""
}

// IsZoneDelegate reports whether this VM queries the platform itself: always in a small fleet,
// and on behalf of its zone in a fleet that uses digests.
func (f *Fleet) IsZoneDelegate() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isDelegate()
}

// directoryTimeout is how long a starting VM waits for the directory, from which it learns whether
// the fleet has delegates.
const directoryTimeout = 300 * time.Millisecond

// ReliesOnDelegate reports whether this VM needs no reads of the platform's store, because a
// delegate of its zone has read it less than maxAge ago. A starting VM waits a short time for a
// delegate.
func (f *Fleet) ReliesOnDelegate(maxAge time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := clock.Now()
	age := now.Sub(f.startedAt)
	switch {
	case f.startedAt == 0 || !f.directoryRead && age < directoryTimeout:
		return true
	case f.isDelegate():
		return false
	case age < livenessTimeout:
		return true
	}
	delegates := f.delegates(f.Zone)
	for _, p := range f.peers {
		if p.live && p.lastDirect != 0 && slices.Contains(delegates, p.address) &&
			now.Sub(p.lastDirect)+time.Duration(p.message.StoreAgeMs)*time.Millisecond < maxAge {
			return true
		}
	}
	return false
}

// hearsDelegate reports whether a view has arrived recently. f.mu must be held.
func (f *Fleet) hearsDelegate(now clock.Instant) bool {
	return f.lastView != 0 && now.Sub(f.lastView) < viewTimeout
}

// directAddresses returns the addresses of the VMs that get this VM's heartbeats. In a fleet with
// digests these are the zone's delegates, or, if this VM is one or hears none, all VMs of the
// zone. f.mu must be held.
func (f *Fleet) directAddresses() []string {
	if f.hasDigests() && !f.isDelegate() && f.hearsDelegate(clock.Now()) {
		return f.delegates(f.Zone)
	}
	return f.zoneAddresses()
}

// zoneAddresses returns the addresses of the VMs that a heartbeat to the whole zone goes to: those
// of this VM's zone and those whose zone isn't known, or all VMs in a fleet without digests, of which
// unheardAddresses limits those that have never been heard. f.mu must be held.
func (f *Fleet) zoneAddresses() []string {
	var addresses, unheard []string
	hasDigests := f.hasDigests()
	for _, p := range f.peers {
		switch {
		case hasDigests && p.message.Zone != f.Zone && p.message.Zone != "":
		case !hasDigests && p.lastSeen == 0:
			unheard = append(unheard, p.address)
		default:
			addresses = append(addresses, p.address)
		}
	}
	return append(addresses, f.unheardAddresses(unheard)...)
}

// BroadcastToZone sends a payload to the VMs of this zone, if the fleet is so large that only
// zone delegates query the platform.
func (f *Fleet) BroadcastToZone(payload json.RawMessage) {
	f.sending.Lock()
	defer f.sending.Unlock()
	f.mu.Lock()
	if !f.hasDigests() {
		f.mu.Unlock()
		return
	}
	addresses := f.zoneAddresses()
	f.payloads++
	message := Message{VM: f.VM, Incarnation: f.incarnation, Sequence: f.payloads, ZonePayload: payload}
	f.mu.Unlock()
	f.send(message, addresses)
}
