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
	// delegatesPerZone is the number of VMs that query the platform for their zone: two, so
	// that one may fail. The first of them also exchanges the digests.
	delegatesPerZone = 2
	// digestInterval is how often digests are sent while there is no urgent news. Digests make up
	// most of the traffic on a delegate's link.
	digestInterval = time.Second
)

// hasDigests reports whether the fleet is so large that zones exchange digests. f.mu must be
// held.
func (f *Fleet) hasDigests() bool { return len(f.peers) >= maxMeshSize }

// UsesDigests reports whether the fleet is so large that the VMs of different zones exchange
// digests instead of heartbeats.
func (f *Fleet) UsesDigests() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hasDigests()
}

// peerLivenessTimeout returns how long after its last heartbeat a VM counts as live. f.mu must be
// held.
func (f *Fleet) peerLivenessTimeout(p *peer) time.Duration {
	if p.viaDigest || f.hasDigests() && p.message.Zone != f.Zone {
		return digestLivenessTimeout
	}
	return livenessTimeout
}

// delegates returns the addresses of a zone's delegates: the VMs with the fastest links, ties
// broken by hash. VMs of all versions must hash the same text, "scout/" and the VM's name, so
// that they choose the same delegates. This VM's own address is returned as an empty string. f.mu
// must be held.
func (f *Fleet) delegates(zone string) []string {
	type candidate struct {
		address  string
		linkMbps float64
		score    uint64
	}
	var list []candidate
	if zone == f.Zone {
		list = append(list, candidate{"", f.LinkMbps, xxhash.Sum64String("scout/" + string(f.VM))})
	}
	// If all VMs of a zone are silent, they may still receive messages of this one.
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
		return cmp.Or(cmp.Compare(b.linkMbps, a.linkMbps), cmp.Compare(b.score, a.score))
	})
	var addresses []string
	for _, c := range list[:min(len(list), delegatesPerZone)] {
		addresses = append(addresses, c.address)
	}
	return addresses
}

// isDelegate reports whether this VM queries the platform for its zone. While there are no
// digests, all VMs query it. f.mu must be held.
func (f *Fleet) isDelegate() bool { return !f.hasDigests() || slices.Contains(f.delegates(f.Zone), "") }

// sendsDigests reports whether this VM exchanges digests with the other zones. f.mu must be
// held.
func (f *Fleet) sendsDigests() bool {
	delegates := f.delegates(f.Zone)
	return len(delegates) > 0 && delegates[0] == ""
}

// IsZoneDelegate reports whether this VM queries the platform itself: always in a small fleet,
// and on behalf of its zone in a fleet that uses digests.
func (f *Fleet) IsZoneDelegate() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isDelegate()
}

// hasUrgentDigest reports whether this VM must send a digest at once because another VM has sent
// urgent news.
func (f *Fleet) hasUrgentDigest() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hasDigests() && f.digestUrgent && f.sendsDigests()
}

// sendDigest sends the zone's digest to the delegates of the other zones, if this VM exchanges
// digests and one is due.
func (f *Fleet) sendDigest() {
	f.mu.Lock()
	if !f.hasDigests() || !f.sendsDigests() || !f.digestUrgent && time.Since(f.lastDigestSent) < digestInterval {
		f.mu.Unlock()
		return
	}
	f.lastDigestSent = time.Now()
	own := f.ownMessage()
	f.digestUrgent = false
	zones, addresses := map[string]bool{}, []string{}
	var heartbeats []Message
	for _, p := range f.peers {
		switch {
		case p.lastSeen == 0:
		case p.message.Zone != f.Zone:
			zones[p.message.Zone] = true
		case p.live:
			heartbeats = append(heartbeats, p.message)
		}
	}
	for zone := range zones {
		if delegates := f.delegates(zone); len(delegates) > 0 {
			addresses = append(addresses, delegates[0])
		}
	}
	f.mu.Unlock()
	f.FillMessage(&own)
	digest := Digest{Zone: f.Zone, Demand: map[string]float64{}}
	for _, message := range append(heartbeats, own) {
		for workspace, demand := range message.Demand {
			digest.Demand[workspace] = math.Round((digest.Demand[workspace]+demand)*100) / 100
		}
		message.Demand, message.Zone = nil, ""
		digest.Messages = append(digest.Messages, message)
	}
	f.send(Message{VM: f.VM, Digest: &digest}, addresses)
}

// receiveDigest records another zone's digest. If it comes from the other zone itself, it is
// forwarded to the VMs of this zone.
func (f *Fleet) receiveDigest(received Message) {
	digest := received.Digest
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

// BroadcastToZone sends a payload to the VMs of this zone, if the fleet is so large that only
// zone delegates query the platform.
func (f *Fleet) BroadcastToZone(payload json.RawMessage) {
	f.mu.Lock()
	if !f.hasDigests() {
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

// MembershipGeneration returns a number that increases whenever another VM joins, falls silent or
// starts to leave.
func (f *Fleet) MembershipGeneration() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.membershipGeneration
}

// selectionTTL is how long a selection of VMs is cached while no VM joins or leaves.
const selectionTTL = time.Second

// selection is a cached result of SelectVMs.
type selection struct {
	membershipGeneration uint64
	computedAt           clock.Instant
	// names has the selected VMs.
	names map[VMName]bool
}

// SelectVMs selects n VMs for a purpose by rendezvous hashing, among those that are live or
// recently fell silent. It reports whether this VM is selected and returns the names of all
// selected VMs, which must not be modified.
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

// highestScored returns the n VMs with the highest hash scores for a purpose. f.mu must be
// held.
func (f *Fleet) highestScored(purpose string, n int, now clock.Instant) map[VMName]bool {
	type candidate struct {
		name  VMName
		score uint64
	}
	// best has the candidates with the highest scores, highest first.
	best := make([]candidate, 0, n+1)
	key := append([]byte(purpose), '/')
	consider := func(name VMName) {
		c := candidate{name, xxhash.Sum64(append(key, name...))}
		if len(best) == n && c.score <= best[n-1].score {
			return
		}
		i, _ := slices.BinarySearchFunc(best, c, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
		best = slices.Insert(best, i, c)
		best = best[:min(len(best), n)]
	}
	consider(f.VM)
	starting := now.Sub(f.startedAt) < livenessTimeout
	for name, p := range f.peers {
		if !p.message.Leaving && (p.lastSeen > 0 || starting) && now.Sub(max(p.lastSeen, p.addedAt)) < silentPeerTTL {
			consider(name)
		}
	}
	names := make(map[VMName]bool, n)
	for _, c := range best {
		names[c.name] = true
	}
	return names
}
