package heartbeat

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"
	"github.com/savoryramp/savoryramp/pkg/quota"
)

// reportedDemand is the last demand reported by a VM of this zone or by another zone.
type reportedDemand struct {
	demand map[string]float64
	// sequence is the number of the VM's heartbeat or the zone's digest, vms the zone's number of VMs.
	sequence   uint32
	vms        int
	receivedAt clock.Instant
	// inStepAt is when the report arrived that has the demand, and total the demand of all VMs at that
	// time. Later reports of a VM that doesn't hear this one only change receivedAt.
	inStepAt clock.Instant
	total    map[string]float64
	// earlier has the reports in step of the last quota.OutOfStepTime, oldest first.
	earlier []earlierDemand
}

// earlierDemand is a VM's demand, with that of all VMs at that time.
type earlierDemand struct {
	demand, total map[string]float64
	at            clock.Instant
}

// isInStep reports whether the VM or zone has reported lately.
func (r reportedDemand) isInStep(now clock.Instant) bool {
	if r.vms > 0 {
		return now.Sub(r.inStepAt) <= zoneOutOfStepTime
	}
	return now.Sub(r.inStepAt) <= vmOutOfStepTime
}

// source returns the demand with which a silent VM or zone counts. A VM may have been in step for
// quota.OutOfStepTime after it received its last view, and counts no growth since then.
func (r reportedDemand) source() quota.Source {
	if len(r.earlier) > 0 {
		return quota.Source{Demand: r.earlier[0].demand, Total: r.earlier[0].total}
	}
	return quota.Source{Demand: r.demand, Total: r.total}
}

// publishedDemand is this zone's demand as of the latest digest to the other zones. Views have
// this demand rather than a newer one, so that all zones compute with the same.
type publishedDemand struct {
	total map[string]float64
	// included has the sequence number of each VM's heartbeat whose demand is in total.
	included map[VMName]uint32
	// isUnknown is true while this VM doesn't exchange heartbeats with most VMs of its zone, so that total says
	// little of their demand.
	isUnknown bool
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
	published.isUnknown = 2*len(silent) > len(published.included)
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
	counted, found := f.sentDemands[m.Included]
	if found && counted.at > f.sentDemands[f.receivedByOthers].at {
		f.receivedByOthers = m.Included
	}
	if m.Included == 0 || found && now.Sub(counted.at) <= quota.OutOfStepTime {
		reported.demand, reported.sequence, reported.inStepAt, reported.total = m.Demand, m.Sequence, now, f.total
		earlier := append(slices.Clip(reported.earlier), earlierDemand{m.Demand, f.total, now})
		reported.earlier = slices.DeleteFunc(earlier, func(e earlierDemand) bool { return now.Sub(e.at) > quota.OutOfStepTime })
	}
	f.demandByVM[m.VM] = reported
}

func addDemand(total, demand map[string]float64) {
	for workspace, amount := range demand {
		total[workspace] = math.Round((total[workspace]+amount)*100) / 100
	}
}

// receivedDemand returns the demand in the latest heartbeat of this VM that a VM of its zone has received,
// nil if none has since the zone's VMs were last heard.
func (f *Fleet) receivedDemand() map[string]float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sentDemands[f.receivedByOthers].demand
}

// useDemand passes on the total demand of a view, with the part that this VM reported in the
// heartbeat with a sequence number, up to limit if that isn't nil. A new delegate's views may not include
// any yet.
func (f *Fleet) useDemand(m Message, included uint32, limit map[string]float64) {
	if m.View.Demand == nil {
		return
	}
	f.mu.Lock()
	sent, found := f.sentDemands[included]
	f.mu.Unlock()
	if !found {
		return
	}
	own := sent.demand
	if limit != nil {
		own = map[string]float64{}
		for workspace, amount := range sent.demand {
			own[workspace] = min(amount, limit[workspace])
		}
	}
	f.OnFleetDemand(m.View.Demand, m.View.VMs, own)
}

// sentDemand is the demand in a heartbeat of this VM, and when it was sent.
type sentDemand struct {
	demand map[string]float64
	at     clock.Instant
}

// SentDemand returns the demand in one of this VM's latest heartbeats, and how long ago that was sent.
func (f *Fleet) SentDemand(sequence uint32) (demand map[string]float64, age time.Duration, found bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	sent, found := f.sentDemands[sequence]
	return sent.demand, clock.Since(sent.at), found
}

// receivedSequences returns the number of the latest heartbeat of each VM that sends them to this one,
// by address. f.mu must be held.
func (f *Fleet) receivedSequences() map[string]uint32 {
	received := map[string]uint32{}
	for _, p := range f.peers {
		if p.lastDirect != 0 {
			received[p.address] = p.lastSequence
		}
	}
	return received
}
