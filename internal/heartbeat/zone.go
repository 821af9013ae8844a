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
	scouts = 2
	// digestEvery is how often digests are sent while nothing urgent was said: they are the
	// most of what a scout's link carries.
	digestEvery = time.Second
)

// zoned tells whether the fleet is so large that zones exchange digests; f.mu is held.
func (f *Fleet) zoned() bool { return len(f.peers) >= meshMost }

// Zoned tells whether VMs hear most others in digests only.
func (f *Fleet) Zoned() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.zoned()
}

// liveFor is how long a silent VM counts as live; f.mu is held.
func (f *Fleet) liveFor(p *peer) time.Duration {
	if p.far || f.zoned() && p.beat.Zone != f.Zone {
		return farLiveFor
	}
	return liveFor
}

// scoutsOf are the addresses of a zone's scouts: those with the widest links, by hashing
// where these are alike; empty for this VM itself; f.mu is held.
func (f *Fleet) scoutsOf(zone string) []string {
	type candidate struct {
		address string
		link    float64
		score   uint64
	}
	var list []candidate
	if zone == f.Zone {
		list = append(list, candidate{"", f.Link, xxhash.Sum64String("scout/" + string(f.VM))})
	}
	// Those of a zone that wasn't heard for long may still hear this one.
	for _, live := range []bool{true, false} {
		for name, p := range f.peers {
			if p.live == live && p.heard > 0 && !p.beat.Leaving && p.beat.Zone == zone {
				list = append(list, candidate{p.address, p.beat.Link, xxhash.Sum64String("scout/" + string(name))})
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
	for _, c := range list[:min(len(list), scouts)] {
		addresses = append(addresses, c.address)
	}
	return addresses
}

// scout tells whether this VM speaks for its zone; f.mu is held.
func (f *Fleet) scout() bool { return !f.zoned() || slices.Contains(f.scoutsOf(f.Zone), "") }

// speaker tells whether this VM exchanges its zone's digests; f.mu is held.
func (f *Fleet) speaker() bool {
	of := f.scoutsOf(f.Zone)
	return len(of) > 0 && of[0] == ""
}

// Scout tells whether this VM asks the platform on behalf of its zone.
func (f *Fleet) Scout() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.scout()
}

// zoneUrgent tells whether a VM of the zone has something that other zones should hear at
// once.
func (f *Fleet) zoneUrgent() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.zoned() && f.dirty && f.speaker()
}

// tellZones sends the zone's digest to the other zones' scouts, if this VM is a scout.
func (f *Fleet) tellZones() {
	f.mu.Lock()
	if !f.zoned() || !f.speaker() || !f.dirty && time.Since(f.toldZones) < digestEvery {
		f.mu.Unlock()
		return
	}
	f.toldZones = time.Now()
	own := f.own()
	f.dirty = false
	zones, addresses := map[string]bool{}, []string{}
	var beats []Beat
	for _, p := range f.peers {
		switch {
		case p.heard == 0:
		case p.beat.Zone != f.Zone:
			zones[p.beat.Zone] = true
		case p.live:
			beats = append(beats, p.beat)
		}
	}
	for zone := range zones {
		if of := f.scoutsOf(zone); len(of) > 0 {
			addresses = append(addresses, of[0])
		}
	}
	f.mu.Unlock()
	f.Fill(&own)
	d := Digest{Zone: f.Zone, Demand: map[string]float64{}}
	for _, b := range append(beats, own) {
		for workspace, demand := range b.Demand {
			d.Demand[workspace] = math.Round((d.Demand[workspace]+demand)*100) / 100
		}
		b.Demand, b.Zone = nil, ""
		d.Beats = append(d.Beats, b)
	}
	f.send(Beat{VM: f.VM, Digest: &d}, addresses)
}

// hearDigest takes what another zone says, and passes it on within this one.
func (f *Fleet) hearDigest(b Beat) {
	d := b.Digest
	if d.Zone == f.Zone {
		return
	}
	for _, one := range d.Beats {
		if one.VM != "" && one.VM != f.VM {
			one.Zone = d.Zone
			f.hear(one, true)
		}
	}
	f.HearZone(d.Zone, d.Demand, len(d.Beats))
	if d.Passed {
		return
	}
	d.Passed = true
	f.mu.Lock()
	var addresses []string
	for _, p := range f.peers {
		if p.live && p.beat.Zone == f.Zone {
			addresses = append(addresses, p.address)
		}
	}
	f.mu.Unlock()
	f.send(Beat{VM: f.VM, Digest: d}, addresses)
}

// Share says something to the VMs of this zone, if the fleet is so large that not every
// VM asks the platform for itself.
func (f *Fleet) Share(note json.RawMessage) {
	f.mu.Lock()
	if !f.zoned() {
		f.mu.Unlock()
		return
	}
	var addresses []string
	for _, p := range f.peers {
		if p.live && p.beat.Zone == f.Zone {
			addresses = append(addresses, p.address)
		}
	}
	f.mu.Unlock()
	f.send(Beat{VM: f.VM, Note: note}, addresses)
}

// Generation rises whenever a VM comes or goes.
func (f *Fleet) Generation() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.generation
}

// amongFor is how long an answer of Among is kept while no VM comes or goes.
const amongFor = time.Second

// among is an answer of Among.
type among struct {
	generation uint64
	at         clock.Instant
	names      map[Name]bool
}

// Among tells whether this VM is one of the first n for a purpose, by rendezvous hashing
// over those that live or fell silent lately; those names too, which may not be changed.
func (f *Fleet) Among(purpose string, n int) (bool, map[Name]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := clock.Now()
	kept := f.among[purpose]
	if kept.names == nil || kept.generation != f.generation || now.Sub(kept.at) > amongFor {
		kept = among{generation: f.generation, at: now, names: f.first(purpose, n, now)}
		if f.among == nil {
			f.among = map[string]among{}
		}
		f.among[purpose] = kept
	}
	return kept.names[f.VM], kept.names
}

// first are the first n for a purpose; f.mu is held.
func (f *Fleet) first(purpose string, n int, now clock.Instant) map[Name]bool {
	type candidate struct {
		name  Name
		score uint64
	}
	list := []candidate{{f.VM, xxhash.Sum64String(purpose + "/" + string(f.VM))}}
	for name, p := range f.peers {
		if !p.beat.Leaving && (p.heard > 0 || p.counts(f.began)) && now.Sub(max(p.heard, p.added)) < knownFor {
			list = append(list, candidate{name, xxhash.Sum64String(purpose + "/" + string(name))})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
	names := map[Name]bool{}
	for _, c := range list[:min(len(list), n)] {
		names[c.name] = true
	}
	return names
}
