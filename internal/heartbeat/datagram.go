package heartbeat

import (
	"encoding/json"
	"net"
	"slices"

	"github.com/savoryramp/savoryramp/internal/event"
)

var eventTooManyVMs = event.Define(5110, "heartbeat-too-many", event.Warn,
	"A datagram of a further VM was ignored, since as many VMs are known as this one keeps.")

// maxPeers limits the VMs that are known. It is over three times the largest fleet of small VMs.
const maxPeers = 1000

// handleDatagram handles a datagram of another VM, or of anyone else.
func (f *Fleet) handleDatagram(datagram []byte, from net.Addr) {
	var message Message
	if err := json.Unmarshal(datagram, &message); err != nil || message.VM == "" && message.EvacuationNotice == nil {
		eventMalformed.Log(f.Logger, "from", from, "bytes", len(datagram), "err", err)
		return
	}
	if !f.bound(&message) {
		eventTooManyVMs.Log(f.Logger, "from", from, "peer", message.VM, "max", maxPeers)
		return
	}
	f.NoteStoreEra(message.StoreEra)
	f.receiveEvacuation(message)
	kind := message.kind()
	switch {
	case message.VM == f.VM || message.EvacuationNotice != nil:
	case kind != kindUnordered && !f.isNewer(&message, kind):
	case message.Digest != nil:
		if f.accepts(message) {
			f.receiveDigest(message)
		}
	case message.RequestedZone != "":
		f.answerRequest(message)
	case message.ZonePayload != nil:
		f.OnZonePayload(message.ZonePayload)
	default:
		f.recordMessage(message)
		if message.View != nil && message.Zone == f.Zone && f.accepts(message) {
			f.receiveView(message)
		}
	}
}

// bound removes from a message what this VM must not keep, since anyone may send datagrams: demand for
// workspaces that don't exist, and VMs beyond maxPeers. It returns false if the message must be ignored,
// as that of a VM beyond maxPeers.
func (f *Fleet) bound(m *Message) bool {
	f.removeUnknownDemand(m.Demand)
	if m.View != nil {
		f.removeUnknownDemand(m.View.Demand)
	}
	for _, d := range m.digests() {
		f.removeUnknownDemand(d.Demand)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	room := maxPeers - len(f.peers)
	if f.peers[m.VM] == nil {
		room--
	}
	if room < 0 && m.VM != f.VM && !f.forgetUnheard() {
		return false
	}
	isBeyond := func(name VMName) bool {
		if f.peers[name] != nil {
			return false
		}
		room--
		return room < 0
	}
	for name := range m.Known {
		if isBeyond(name) {
			delete(m.Known, name)
		}
	}
	for _, d := range m.digests() {
		d.Changed = slices.DeleteFunc(d.Changed, func(changed Message) bool { return isBeyond(changed.VM) })
	}
	return true
}

// digests returns the digests in a message.
func (m *Message) digests() []*Digest {
	var list []*Digest
	if m.Digest != nil {
		list = append(list, m.Digest)
	}
	if m.View != nil {
		for i := range m.View.Zones {
			list = append(list, &m.View.Zones[i])
		}
	}
	return list
}

func (f *Fleet) removeUnknownDemand(demand map[string]float64) {
	if f.IsWorkspace == nil {
		return
	}
	for name := range demand {
		if !f.IsWorkspace(name) {
			delete(demand, name)
		}
	}
}

// forgetUnheard forgets a VM that was never heard, which makes room for one that is. It returns false if
// there is none. f.mu must be held.
func (f *Fleet) forgetUnheard() bool {
	for name, p := range f.peers {
		if p.lastSeen == 0 && !p.live {
			delete(f.peers, name)
			return true
		}
	}
	return false
}
