package heartbeat

import (
	"cmp"
	"encoding/json"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/savoryramp/savoryramp/internal/clock"
)

const (
	// scouts of a zone ask the platform for it: two, so that one may fail. The first of them
	// also exchanges digests.
	delegatesPerZone = 2
	// digestEvery is how often digests are sent while nothing urgent was said: they are the
	// most of what a scout's link carries.
	digestInterval = time.Second
)

// zoned tells whether the fleet is so large that zones exchange digests; f.mu is held.
func (f *Fleet) usesDigests() bool { return len(f.peers) >= maxMeshPeers }

// Zoned tells whether VMs hear most others in digests only.
func (f *Fleet) UsesDigests() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.usesDigests()
}

// liveFor is how long a silent VM counts as live; f.mu is held.
func (f *Fleet) peerLivenessTimeout(p *peer) time.Duration {
	if p.viaDigest || f.usesDigests() && p.message.Zone != f.Zone {
		return digestLivenessTimeout
	}
	return livenessTimeout
}

// scoutsOf are the addresses of a zone's scouts: those with the widest links, by hashing
// where these are alike; empty for this VM itself; f.mu is held.
func (f *Fleet) delegateAddresses(zone string) []string {
	type candidate struct {
		address string
		link    float64
		score   uint64
	}
	var list []candidate
	if zone == f.Zone {
		list = append(list, candidate{"", f.LinkMbps, xxhash.Sum64String("scout/" + string(f.VM))})
	}
	// Those of a zone that wasn't heard for long may still hear this one.
	for _, live := range []bool{true, false} {
		for name, p := range f.peers {
			if p.live == live && p.lastSeen > 0 && !p.message.Leaving && p.message.Zone == zone {
				list = append(list, candidate{p.address, p.message.LinkMbps, xxhash.Sum64String("scout/" + string(name))})
			}
		}
		if len(list) > 0 {
			break
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.link, a.link), cmp.Compare(b.score, a.score))
	})
	var addresses []string
	for _, c := range list[:min(len(list), delegatesPerZone)] {
		addresses = append(addresses, c.address)
	}
	return addresses
}

// scout tells whether this VM speaks for its zone; f.mu is held.
func (f *Fleet) isZoneDelegate() bool {
	return !f.usesDigests() || slices.Contains(f.delegateAddresses(f.Zone), "")
}

// speaker tells whether this VM exchanges its zone's digests; f.mu is held.
func (f *Fleet) sendsDigests() bool {
	delegates := f.delegateAddresses(f.Zone)
	return len(delegates) > 0 && delegates[0] == ""
}

// Scout tells whether this VM asks the platform on behalf of its zone.
func (f *Fleet) IsZoneDelegate() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isZoneDelegate()
}

// zoneUrgent tells whether a VM of the zone has something that other zones should hear at
// once.
func (f *Fleet) hasUrgentDigest() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.usesDigests() && f.digestUrgent && f.sendsDigests()
}

// tellZones sends the zone's digest to the other zones' scouts, if this VM is a scout.
func (f *Fleet) sendDigest() {
	f.mu.Lock()
	if !f.usesDigests() || !f.sendsDigests() || !f.digestUrgent && time.Since(f.lastDigestSent) < digestInterval {
		f.mu.Unlock()
		return
	}
	f.lastDigestSent = time.Now()
	own := f.ownMessage()
	f.digestUrgent = false
	zones, addresses := map[string]bool{}, []string{}
	var beats []Message
	for _, p := range f.peers {
		switch {
		case p.lastSeen == 0:
		case p.message.Zone != f.Zone:
			zones[p.message.Zone] = true
		case p.live:
			beats = append(beats, p.message)
		}
	}
	for zone := range zones {
		if delegates := f.delegateAddresses(zone); len(delegates) > 0 {
			addresses = append(addresses, delegates[0])
		}
	}
	f.mu.Unlock()
	f.FillMessage(&own)
	digest := Digest{Zone: f.Zone, Demand: map[string]float64{}}
	for _, b := range append(beats, own) {
		for workspace, demand := range b.Demand {
			digest.Demand[workspace] = math.Round((digest.Demand[workspace]+demand)*100) / 100
		}
		b.Demand, b.Zone = nil, ""
		digest.Messages = append(digest.Messages, b)
	}
	f.send(Message{VM: f.VM, Digest: &digest}, addresses)
}

// hearDigest takes what another zone says, and passes it on within this one.
func (f *Fleet) receiveDigest(b Message) {
	digest := b.Digest
	if digest.Zone == f.Zone {
		return
	}
	for _, message := range digest.Messages {
		if message.VM != "" && message.VM != f.VM {
			message.Zone = digest.Zone
			f.recordMessage(message, true)
		}
	}
	f.OnZoneDemand(digest.Zone, digest.Demand, len(digest.Messages))
	if digest.Forwarded {
		return
	}
	digest.Forwarded = true
	f.mu.Lock()
	var addresses []string
	for _, p := range f.peers {
		if p.live && p.message.Zone == f.Zone {
			addresses = append(addresses, p.address)
		}
	}
	f.mu.Unlock()
	f.send(Message{VM: f.VM, Digest: digest}, addresses)
}

// Share says something to the VMs of this zone, if the fleet is so large that not every
// VM asks the platform for itself.
func (f *Fleet) BroadcastToZone(payload json.RawMessage) {
	f.mu.Lock()
	if !f.usesDigests() {
		f.mu.Unlock()
		return
	}
	var addresses []string
	for _, p := range f.peers {
		if p.live && p.message.Zone == f.Zone {
			addresses = append(addresses, p.address)
		}
	}
	f.mu.Unlock()
	f.send(Message{VM: f.VM, ZonePayload: payload}, addresses)
}

// Generation rises whenever a VM comes or goes.
func (f *Fleet) MembershipGeneration() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.membershipGeneration
}

// amongFor is how long an answer of Among is kept while no VM comes or goes.
const selectionTTL = time.Second

// among is an answer of Among.
type selection struct {
	membershipGeneration uint64
	computedAt           clock.Instant
	names                map[VMName]bool
}

// Among tells whether this VM is one of the first n for a purpose, by rendezvous hashing
// over those that live or fell silent lately; those names too, which may not be changed.
func (f *Fleet) SelectVMs(purpose string, n int) (bool, map[VMName]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := clock.Now()
	cached := f.selections[purpose]
	if cached.names == nil || cached.membershipGeneration != f.membershipGeneration || now.Sub(cached.computedAt) > selectionTTL {
		cached = selection{membershipGeneration: f.membershipGeneration, computedAt: now, names: f.highestScored(purpose, n, now)}
		if f.selections == nil {
			f.selections = map[string]selection{}
		}
		f.selections[purpose] = cached
	}
	return cached.names[f.VM], cached.names
}

// first are the first n for a purpose; f.mu is held.
func (f *Fleet) highestScored(purpose string, n int, now clock.Instant) map[VMName]bool {
	type candidate struct {
		name  VMName
		score uint64
	}
	list := []candidate{{f.VM, xxhash.Sum64String(purpose + "/" + string(f.VM))}}
	for name, p := range f.peers {
		if !p.message.Leaving && (p.lastSeen > 0 || p.isPresumedLive(f.startedAt)) && now.Sub(max(p.lastSeen, p.addedAt)) < silentPeerTTL {
			list = append(list, candidate{name, xxhash.Sum64String(purpose + "/" + string(name))})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
	names := map[VMName]bool{}
	for _, c := range list[:min(len(list), n)] {
		names[c.name] = true
	}
	return names
}
