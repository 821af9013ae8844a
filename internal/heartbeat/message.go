package heartbeat

import (
	"encoding/binary"
	"encoding/json"
	"math"

	"github.com/cespare/xxhash/v2"
)

// VMName identifies a VM in the fleet.
type VMName string

// StoreEra counts how often the platform's store came back from a copy that lacks its latest changes.
// Versions of different eras can't be compared. It is 0 if the store doesn't tell it.
type StoreEra int64

// Message is a datagram between VMs: a heartbeat with the sender's state, a zone's digest, a
// request for a digest, or a payload for the VMs of the sender's zone.
type Message struct {
	VM VMName `json:"vm"`
	// Incarnation is a random number drawn at each start of the process.
	Incarnation uint32 `json:"incarnation,omitempty"`
	Address     string `json:"address,omitempty"`
	Zone        string `json:"zone,omitempty"`
	// Sequence increases with each heartbeat of an incarnation, and with each payload. A digest has that of a
	// heartbeat. It is zero in digests and payloads of earlier builds.
	Sequence uint32 `json:"sequence,omitempty"`
	// Capacity is the VM's CPU allowance in cores. Work is distributed in proportion to it.
	Capacity float64 `json:"capacity,omitempty"`
	// RelayVersion is the version of the protocol in which the VM accepts statements from
	// other VMs.
	RelayVersion int `json:"relay,omitempty"`
	// LinkMbps is the bandwidth of the VM's network link in Mbit/s.
	LinkMbps float64 `json:"link,omitempty"`
	// ConfigurationVersion is the version of the configuration in force.
	ConfigurationVersion int64 `json:"configuration,omitempty"`
	// StoreEra is the newest era of the platform's store that the sender knows.
	StoreEra StoreEra `json:"store-era,omitempty"`
	// StoreAgeMs is the time in milliseconds since the platform's store last answered the
	// sender.
	StoreAgeMs int64 `json:"store-age-ms,omitempty"`
	// ServerList identifies the list of servers that the sender has, and ServerListAgeMs is the
	// time in milliseconds since the platform returned it. ServerList is zero if it has none.
	ServerList      uint64 `json:"server-list,omitempty"`
	ServerListAgeMs int64  `json:"server-list-age-ms,omitempty"`
	// Urgent heartbeats make the zone's delegate send a digest to the other zones at once.
	Urgent bool `json:"urgent,omitempty"`
	// Settling is true while the VM has run for too short a time to know the state of its zone.
	Settling bool `json:"settling,omitempty"`
	// Leaving is true while the VM drains before it exits.
	Leaving bool `json:"leaving,omitempty"`
	// Demand is the rate of operations per second by workspace.
	Demand map[string]float64 `json:"demand,omitempty"`
	// Observations has the sender's view of primaries by group, only of groups that it verifies
	// and whose primary fails or was replaced recently.
	Observations map[string]PrimaryObservation `json:"leads,omitempty"`
	// Known has VMs that the receiver may not know, apart from the sender. It is set in the first
	// heartbeat to a VM.
	Known map[VMName]Entry `json:"known,omitempty"`
	// KnowsFleet is true if Known has all VMs that the sender counts, and the sender has read the directory or
	// was told so itself.
	KnowsFleet bool `json:"knows-fleet,omitempty"`
	// View is set in the heartbeats of a zone's first delegate to the VMs of the zone.
	View *View `json:"view,omitempty"`
	// Included is the sequence number of the receiver's latest heartbeat that the sender has received.
	// With a view, it is that of the latest one whose demand is included in the view.
	Included uint32 `json:"included,omitempty"`
	// Digest is set in a message from a delegate with the state of one zone.
	Digest *Digest `json:"digest,omitempty"`
	// RequestedZone asks the receiver for the full digest of a zone.
	RequestedZone string `json:"requested-zone,omitempty"`
	// ZonePayload is set, with VM, Incarnation and Sequence as the only other fields, in a message with arbitrary content to
	// the VMs of the sender's zone.
	ZonePayload json.RawMessage `json:"note,omitempty"`
	// Evacuation is the set of zones that the sender knows are being evacuated, nil if it doesn't know
	// it or doesn't spread it.
	Evacuation *Evacuation `json:"evacuation,omitempty"`
	// EvacuationNotice is set, with Address, Zone and Evacuation as the only other fields, in a message
	// that isn't a heartbeat. Without VM, builds that don't know notices skip them.
	EvacuationNotice *EvacuationNotice `json:"evacuation-notice,omitempty"`
	// Digested is true for a VM's state that was received in a digest, which has no demand.
	Digested bool `json:"-"`
}

// View is the state of the fleet for the VMs of one zone.
type View struct {
	// Zones has the digest of each zone, without its demand.
	Zones []Digest `json:"zones"`
	// Demand is the total of all VMs, by workspace. It is nil while the demand of some zone isn't
	// known, and while the sender hears no other VM.
	Demand map[string]float64 `json:"demand,omitempty"`
	// VMs is the number of VMs whose demand is included.
	VMs int `json:"vms,omitempty"`
}

// Digest is the state of a zone's live VMs. Most digests only have the changes, and a checksum by
// which the receiver notices that it has missed some.
type Digest struct {
	Zone string `json:"zone"`
	// Checksum is the exclusive or of the checksums of the live VMs.
	Checksum uint64 `json:"checksum"`
	// AgeMs is the age of the state in milliseconds when it was sent.
	AgeMs int64 `json:"age-ms,omitempty"`
	// Forwarded is true if a VM that isn't the first delegate of its zone has forwarded the digest.
	Forwarded bool `json:"forwarded,omitempty"`
	// Full is true if Changed has all live VMs of the zone.
	Full bool `json:"full,omitempty"`
	// Changed has the VMs whose state has changed recently or that have observations. Gone has
	// those that fell silent recently.
	Changed []Message `json:"changed,omitempty"`
	Gone    []VMName  `json:"gone,omitempty"`
	// Unheard has the VMs that count as live although the sender hasn't heard from them lately,
	// because it has become a delegate only just now. The digest doesn't prolong their liveness.
	Unheard []VMName `json:"unheard,omitempty"`
	// Demand is the sum over the VMs of the zone, by workspace, and VMs is their number. They are
	// set in digests between zones.
	Demand map[string]float64 `json:"demand,omitempty"`
	VMs    int                `json:"vms,omitempty"`
}

// PrimaryObservation is a VM's view of a group's primary.
type PrimaryObservation struct {
	// Server is empty if the VM knows no primary.
	Server  string `json:"server,omitempty"`
	Term    int64  `json:"term,omitempty"`
	Failing bool   `json:"failing,omitempty"`
}

// record returns the part of a VM's state that digests carry.
func (m Message) record() Message {
	return Message{
		VM: m.VM, Incarnation: m.Incarnation, Address: m.Address, Capacity: m.Capacity, RelayVersion: m.RelayVersion,
		LinkMbps: m.LinkMbps, Settling: m.Settling, Leaving: m.Leaving, Observations: m.Observations,
	}
}

// checksum returns a hash of the fields of record, apart from the observations.
func (m Message) checksum() uint64 {
	var buffer [256]byte
	text := append(buffer[:0], m.VM...)
	text = append(append(text, 0), m.Address...)
	text = binary.LittleEndian.AppendUint32(append(text, 0), m.Incarnation)
	text = binary.LittleEndian.AppendUint64(text, math.Float64bits(m.Capacity))
	text = binary.LittleEndian.AppendUint64(text, math.Float64bits(m.LinkMbps))
	text = binary.LittleEndian.AppendUint32(text, uint32(m.RelayVersion))
	for _, flag := range []bool{m.Settling, m.Leaving} {
		if flag {
			text = append(text, 1)
		} else {
			text = append(text, 0)
		}
	}
	return xxhash.Sum64(text)
}
