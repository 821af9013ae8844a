package heartbeat

import (
	"encoding/json"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"
	"github.com/savoryramp/savoryramp/pkg/quota"
)

const (
	// digestInterval is how often the first delegate of a zone sends its digest to the other
	// zones. The demand in views is as old as that.
	digestInterval = 500 * time.Millisecond
	// minViewInterval is the shortest time from one view to the next, which are otherwise sent
	// when digests are sent or received.
	minViewInterval = 200 * time.Millisecond
	// minUrgentDigestInterval is the shortest time from one digest or view to the next if there is
	// urgent news.
	minUrgentDigestInterval = 100 * time.Millisecond
	// viewTimeout is how long after the last view a VM sends its heartbeats to its whole zone. It
	// leaves the second delegate time to notice that the first one is silent.
	viewTimeout = livenessTimeout + heartbeatInterval
	// changeRepeatTime is how long digests repeat a change, so that a VM that has missed some
	// digests needs no full one.
	changeRepeatTime = 1200 * time.Millisecond
	// requestInterval is the shortest time between two requests for a zone's full digest.
	requestInterval = 300 * time.Millisecond
	// vmOutOfStepTime is how long after the last heartbeat of a VM that hears this one its demand counts
	// as it is; after that the VM keeps its part of the rates, since it may not receive views either.
	// zoneOutOfStepTime is the same for the digests of a zone. Each is a bit more than an interval: while
	// demand doesn't change, a lost datagram makes no difference.
	vmOutOfStepTime   = 900 * time.Millisecond
	zoneOutOfStepTime = 700 * time.Millisecond
	// demandTTL is how long the last reported demand of a VM or a zone counts, since VMs that
	// can't be heard may still serve callers.
	demandTTL = time.Minute
	// maxSentDemands is how many of its latest heartbeats' demands a VM keeps, until a view tells
	// which of them it includes.
	maxSentDemands = 64
)

// reportedDemand is the last demand reported by a VM of this zone or by another zone.
type reportedDemand struct {
	demand map[string]float64
	// sequence is the number of the VM's heartbeat, vms the zone's number of VMs.
	sequence   uint32
	vms        int
	receivedAt clock.Instant
	// inStepAt is when the report arrived that has the demand, and total the demand of all VMs at that
	// time. Later reports of a VM that doesn't hear this one only change receivedAt.
	inStepAt clock.Instant
	total    map[string]float64
}

// isInStep reports whether the VM or zone has reported lately.
func (r reportedDemand) isInStep(now clock.Instant) bool {
	if r.vms > 0 {
		return now.Sub(r.inStepAt) <= zoneOutOfStepTime
	}
	return now.Sub(r.inStepAt) <= vmOutOfStepTime
}

func (r reportedDemand) source() quota.Source { return quota.Source{Demand: r.demand, Total: r.total} }

// publishedDemand is this zone's demand as of the latest digest to the other zones. Views have
// this demand rather than a newer one, so that all zones compute with the same.
type publishedDemand struct {
	total map[string]float64
	// included has the sequence number of each VM's heartbeat whose demand is in total.
	included map[VMName]uint32
}

// digestOf composes the digest of a zone from the state of its VMs. own is this VM's heartbeat.
// f.mu must be held.
func (f *Fleet) digestOf(zone string, own Message, now clock.Instant, full bool) Digest {
	d := Digest{Zone: zone, Full: full}
	// heardSince is the instant since which the sender or the zone's delegate has heard a VM whose
	// state the digest vouches for.
	heardSince := f.digestsReceived[zone]
	if zone == f.Zone {
		heardSince = now.Add(-livenessTimeout)
		d.Checksum = own.checksum()
		if full || len(own.Observations) > 0 || now.Sub(f.ownChangedAt) < changeRepeatTime {
			d.Changed = append(d.Changed, own.record())
		}
	} else {
		d.AgeMs = now.Sub(f.digestsReceived[zone]).Milliseconds()
	}
	for name, p := range f.peers {
		switch {
		case p.message.Zone != zone || p.lastSeen == 0:
		case p.live:
			d.Checksum ^= p.checksum
			if p.lastSeen < heardSince {
				d.Unheard = append(d.Unheard, name)
			}
			if full || len(p.message.Observations) > 0 || now.Sub(p.changedAt) < changeRepeatTime {
				d.Changed = append(d.Changed, p.message.record())
			}
		case now.Sub(p.silentSince) < changeRepeatTime:
			d.Gone = append(d.Gone, name)
		}
	}
	return d
}

// publishDemand sums up the demand of this zone's VMs for the digests to other zones. f.mu must be
// held.
func (f *Fleet) publishDemand(own Message, now clock.Instant) {
	published := publishedDemand{total: map[string]float64{}, included: map[VMName]uint32{f.VM: own.Sequence}}
	maps.Copy(published.total, own.Demand)
	var silent []quota.Source
	for name, reported := range f.demandByVM {
		if now.Sub(reported.receivedAt) > demandTTL {
			delete(f.demandByVM, name)
			continue
		}
		published.included[name] = reported.sequence
		if reported.isInStep(now) {
			addDemand(published.total, reported.demand)
		} else {
			silent = append(silent, reported.source())
		}
	}
	if len(silent) > 0 {
		others := maps.Clone(published.total)
		for _, reported := range f.demandByZone {
			addDemand(others, reported.demand)
		}
		addDemand(published.total, quota.SilentDemand(others, silent))
	}
	f.published = published
	f.updateTotal()
}

// updateTotal adds up the demand of all zones. f.mu must be held.
func (f *Fleet) updateTotal() {
	f.total = maps.Clone(f.published.total)
	for _, reported := range f.demandByZone {
		if f.total != nil {
			addDemand(f.total, reported.demand)
		}
	}
}

// recordDemand records the demand in a heartbeat of a VM of this zone. f.mu must be held.
func (f *Fleet) recordDemand(m Message, now clock.Instant) {
	if m.Leaving {
		delete(f.demandByVM, m.VM)
		return
	}
	reported := f.demandByVM[m.VM]
	reported.receivedAt = now
	if counted, found := f.sentDemands[m.Included]; m.Included == 0 || found && now.Sub(counted.at) <= quota.OutOfStepTime {
		reported.demand, reported.sequence, reported.inStepAt, reported.total = m.Demand, m.Sequence, now, f.total
	}
	f.demandByVM[m.VM] = reported
}

func addDemand(total, demand map[string]float64) {
	for workspace, amount := range demand {
		total[workspace] = math.Round((total[workspace]+amount)*100) / 100
	}
}

// sendDigests sends this zone's digest to the first delegate of each other zone.
func (f *Fleet) sendDigests(own Message) {
	f.mu.Lock()
	now := clock.Now()
	f.lastDigest, f.digestUrgent, f.viewDue = now, false, true
	f.publishDemand(own, now)
	digest := f.digestOf(f.Zone, own, now, false)
	digest.Demand, digest.VMs = f.published.total, len(f.published.included)
	var addresses []string
	for zone := range f.otherZones() {
		if delegates := f.delegates(zone); len(delegates) > 0 {
			addresses = append(addresses, delegates[0])
		}
		if now.Sub(f.digestsReceived[zone]) > 2*digestInterval {
			addresses = append(addresses, f.anyAddresses(zone, strayDigests)...)
		}
	}
	f.mu.Unlock()
	slices.Sort(addresses)
	f.send(digestMessage(own, digest), slices.Compact(addresses))
}

// digestMessage returns the message with a digest. It tells the sender's configuration version, so
// that VMs whose zone doesn't get a new one from the store fetch it from the sender, and the era of
// the store.
func digestMessage(own Message, d Digest) Message {
	return Message{VM: own.VM, Incarnation: own.Incarnation, Sequence: own.Sequence, Address: own.Address, Zone: own.Zone, Settling: own.Settling, ConfigurationVersion: own.ConfigurationVersion, StoreEra: own.StoreEra, Evacuation: own.Evacuation, Digest: &d}
}

// anyAddresses returns the addresses of up to n random VMs of a zone. f.mu must be held.
func (f *Fleet) anyAddresses(zone string, n int) []string {
	var addresses []string
	for _, p := range f.peers {
		if p.message.Zone == zone {
			addresses = append(addresses, p.address)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(n, len(addresses))]
}

// otherZones returns the zones of the other VMs, apart from this one's, with true for those of which
// this VM knows more than the directory has. f.mu must be held.
func (f *Fleet) otherZones() map[string]bool {
	zones := map[string]bool{}
	for _, p := range f.peers {
		if zone := p.message.Zone; zone != f.Zone && zone != "" {
			zones[zone] = zones[zone] || p.lastSeen != 0
		}
	}
	return zones
}

// sendView sends a heartbeat with a view to all VMs of this zone.
func (f *Fleet) sendView(own Message) {
	f.mu.Lock()
	now := clock.Now()
	f.lastViewSent, f.viewDue, f.viewUrgent = now, false, false
	view := View{Demand: maps.Clone(f.published.total), VMs: len(f.published.included)}
	var silent []quota.Source
	if f.isCutOff(now) {
		view.Demand = nil
	}
	for zone, heard := range f.otherZones() {
		view.Zones = append(view.Zones, f.digestOf(zone, own, now, false))
		reported, found := f.demandByZone[zone]
		found = found && now.Sub(reported.receivedAt) <= demandTTL
		if !found && heard {
			view.Demand = nil
		}
		if !found || view.Demand == nil {
			continue
		}
		view.VMs += reported.vms
		if reported.isInStep(now) {
			addDemand(view.Demand, reported.demand)
		} else {
			silent = append(silent, reported.source())
		}
	}
	if view.Demand != nil {
		addDemand(view.Demand, quota.SilentDemand(view.Demand, silent))
	}
	view.Zones = append(view.Zones, f.digestOf(f.Zone, own, now, false))
	included := f.published.included
	recipients := map[string]VMName{}
	for name, p := range f.peers {
		if p.message.Zone == f.Zone || p.message.Zone == "" {
			recipients[p.address] = name
		}
	}
	f.mu.Unlock()
	own.View = &view
	f.useDemand(own, included[f.VM])
	text, err := json.Marshal(own)
	if err != nil {
		eventMalformed.Log(f.Logger, "err", err)
		return
	}
	for address, name := range recipients {
		f.sendText(withIncluded(text, included[name]), address)
	}
}

// withIncluded adds the field Included to an encoded message, which has at least one field.
func withIncluded(text []byte, sequence uint32) []byte {
	if sequence == 0 {
		return text
	}
	patched := append(make([]byte, 0, len(text)+24), text[:len(text)-1]...)
	patched = append(patched, `,"included":`...)
	return append(strconv.AppendUint(patched, uint64(sequence), 10), '}')
}

// receiveView records the state of the fleet that the zone's delegate has sent.
func (f *Fleet) receiveView(m Message) {
	f.mu.Lock()
	f.lastView = clock.Now()
	if m.View.Demand != nil {
		f.total = m.View.Demand
	}
	f.mu.Unlock()
	for _, d := range m.View.Zones {
		f.applyDigest(d, m.VM, m.Address)
	}
	f.useDemand(m, m.Included)
}

// useDemand passes on the total demand of a view, with the part that this VM reported in the
// heartbeat with a sequence number. A new delegate's views may not include any yet.
func (f *Fleet) useDemand(m Message, included uint32) {
	if m.View.Demand == nil {
		return
	}
	f.mu.Lock()
	own, found := f.sentDemands[included]
	f.mu.Unlock()
	if found {
		f.OnFleetDemand(m.View.Demand, m.View.VMs, own.demand)
	}
}

// receiveDigest records another zone's digest.
func (f *Fleet) receiveDigest(m Message) {
	d := *m.Digest
	if d.Demand != nil && d.Zone != f.Zone {
		f.mu.Lock()
		now := clock.Now()
		f.demandByZone[d.Zone] = reportedDemand{demand: d.Demand, vms: d.VMs, receivedAt: now, inStepAt: now}
		f.updateTotal()
		reported := f.demandByZone[d.Zone]
		reported.total = f.total
		f.demandByZone[d.Zone] = reported
		f.viewDue = true
		f.mu.Unlock()
	}
	f.applyDigest(d, m.VM, m.Address)
	f.mu.Lock()
	if p := f.peers[m.VM]; p != nil {
		p.message.ConfigurationVersion = max(p.message.ConfigurationVersion, m.ConfigurationVersion)
	}
	f.mu.Unlock()
	f.redirect(m)
}

// redirect forwards another zone's digest to the first delegate of this zone if that is another VM,
// and tells the sender the state of this zone, so that it addresses the delegate next time.
func (f *Fleet) redirect(m Message) {
	f.mu.Lock()
	now := clock.Now()
	delegates := f.delegates(f.Zone)
	misaddressed := m.Digest.Zone != f.Zone && !m.Digest.Full && !m.Digest.Forwarded && f.hasDigests() && delegates[0] != "" &&
		now.Sub(f.lastRedirect) > requestInterval
	if misaddressed {
		f.lastRedirect = now
	}
	f.mu.Unlock()
	if !misaddressed {
		return
	}
	f.answerRequest(Message{Address: m.Address, RequestedZone: f.Zone})
	digest := *m.Digest
	digest.Forwarded = true
	m.Digest = &digest
	f.send(m, delegates[:1])
}

// applyDigest records the state of a zone's VMs. If the checksum shows that this VM has missed
// changes, it requests the full digest from the sender.
func (f *Fleet) applyDigest(d Digest, sender VMName, senderAddress string) {
	f.mu.Lock()
	f.init()
	now := clock.Now()
	at := now.Add(-time.Duration(d.AgeMs) * time.Millisecond)
	f.digestsReceived[d.Zone] = max(f.digestsReceived[d.Zone], at)
	f.notePeerSeen(now)
	var changed []Message
	listed := map[VMName]bool{sender: true}
	for _, message := range d.Changed {
		listed[message.VM] = true
		if message.VM == "" || message.VM == f.VM {
			continue
		}
		message.Zone, message.Digested = d.Zone, true
		f.recordDigested(message, at, slices.Contains(d.Unheard, message.VM))
		changed = append(changed, message)
		if len(message.Observations) > 0 && d.Zone != f.Zone {
			f.noteUrgent()
		}
	}
	for _, name := range d.Gone {
		if p := f.peers[name]; p != nil {
			f.dropFromDigest(name, p, now)
		}
	}
	if d.Full {
		for name, p := range f.peers {
			if p.message.Zone == d.Zone && p.inDigest && !listed[name] {
				f.dropFromDigest(name, p, now)
			}
		}
	}
	complete := f.refreshZone(d, sender, at)
	request := !complete && !d.Full && now.Sub(f.lastRequests[d.Zone]) > requestInterval
	if request {
		f.lastRequests[d.Zone] = now
	}
	f.viewDue = f.viewDue || len(changed) > 0
	own := f.ownMessage()
	f.mu.Unlock()
	for _, message := range changed {
		f.OnMessage(message)
	}
	if request {
		f.send(Message{VM: f.VM, Address: own.Address, Zone: f.Zone, RequestedZone: d.Zone}, []string{senderAddress})
	}
}

// recordDigested records the state of another VM as of an instant. A heartbeat that arrived
// directly may be newer; the state in it that digests don't carry is kept. If the VM is unheard, it
// isn't marked as seen unless it is new. f.mu must be held.
func (f *Fleet) recordDigested(message Message, at clock.Instant, unheard bool) {
	p := f.peers[message.VM]
	if p == nil {
		p = &peer{addedAt: clock.Now()}
		f.peers[message.VM] = p
	}
	p.inDigest = true
	if unheard && p.lastSeen != 0 {
		at = p.lastSeen
		if !p.live {
			return
		}
	}
	if p.lastSeen > at && p.live {
		return
	}
	message.Demand, message.ConfigurationVersion, message.StoreAgeMs = p.message.Demand, p.message.ConfigurationVersion, p.message.StoreAgeMs
	f.update(p, message, at)
}

// dropFromDigest records that a VM is no longer in its zone's digest. f.mu must be held.
func (f *Fleet) dropFromDigest(name VMName, p *peer, now clock.Instant) {
	p.inDigest = false
	if p.live && now.Sub(p.lastDirect) > livenessTimeout {
		f.markSilent(name, p, now)
	}
}

// refreshZone marks the VMs of a zone as seen at an instant if this VM knows the same VMs in the
// same state as the digest's sender, and reports whether it does. f.mu must be held.
func (f *Fleet) refreshZone(d Digest, sender VMName, at clock.Instant) bool {
	var sum uint64
	for name, p := range f.peers {
		if p.message.Zone == d.Zone && (p.inDigest || name == sender) {
			sum ^= p.checksum
		}
	}
	if sum != d.Checksum && (d.Zone != f.Zone || sum^f.ownChecksum != d.Checksum) {
		return false
	}
	for name, p := range f.peers {
		if p.message.Zone != d.Zone || !p.inDigest || p.lastSeen >= at || slices.Contains(d.Unheard, name) {
			continue
		}
		p.lastSeen = at
		if !p.live {
			p.live = true
			f.membershipGeneration++
		}
	}
	return true
}

// answerRequest sends the full digest of a zone.
func (f *Fleet) answerRequest(m Message) {
	f.sending.Lock()
	defer f.sending.Unlock()
	own := f.composeOwn()
	f.mu.Lock()
	digest := f.digestOf(m.RequestedZone, own, clock.Now(), true)
	f.mu.Unlock()
	f.send(digestMessage(own, digest), []string{m.Address})
}
