package heartbeat

import (
	"maps"
	"slices"

	"github.com/savoryramp/savoryramp/internal/clock"
)

// introduceTo sends this VM's heartbeat, with the VMs that it knows, to a VM that it hears for the
// first time. If this VM is a delegate, it sends the state of all zones, too.
func (f *Fleet) introduceTo(m Message) {
	f.sendIntroduction(m)
	f.mu.Lock()
	var zones []string
	if f.hasDigests() && m.Zone == f.Zone && f.isDelegate() {
		zones = slices.AppendSeq([]string{f.Zone}, maps.Keys(f.otherZones()))
	}
	f.mu.Unlock()
	for _, zone := range zones {
		f.answerRequest(Message{Address: m.Address, RequestedZone: zone})
	}
}

func (f *Fleet) sendIntroduction(m Message) {
	f.sending.Lock()
	defer f.sending.Unlock()
	own := f.composeOwn()
	f.mu.Lock()
	own.Known, own.Included = f.knownTo(m.Zone), m.Sequence
	own.KnowsFleet = f.knowsFleet() && !f.hasDigests()
	f.mu.Unlock()
	f.send(own, []string{m.Address})
}

// knownTo returns the entries of the VMs from which a VM of a zone learns of all others: of the zone's
// delegates if there are any, else of all VMs that this one counts, since silent ones may be on the other side
// of a cut. f.mu must be held.
func (f *Fleet) knownTo(zone string) map[VMName]Entry {
	known := map[VMName]Entry{}
	var delegates []string
	hasDigests, now := f.hasDigests(), clock.Now()
	if hasDigests {
		delegates = f.delegates(zone)
	}
	observing := f.observingTime(now)
	for name, p := range f.peers {
		if !hasDigests && p.sighting(now).Counts(observing) || hasDigests && p.live && !p.message.Leaving && slices.Contains(delegates, p.address) {
			known[name] = Entry{Address: p.address, Zone: p.message.Zone, LinkMbps: p.message.LinkMbps}
		}
	}
	return known
}
