package heartbeat

import "encoding/json"

// VMName identifies a VM in the fleet.
type VMName string

// Message is a datagram between VMs: a heartbeat with the sender's state, a zone's digest, or
// a payload for the VMs of the sender's zone.
type Message struct {
	VM VMName `json:"vm"`
	// Incarnation is a random number drawn at each start of the process.
	Incarnation uint32 `json:"incarnation"`
	Address     string `json:"address"`
	Zone        string `json:"zone,omitempty"`
	// Capacity is the VM's CPU allowance in cores. Work is distributed in proportion to it.
	Capacity float64 `json:"capacity,omitempty"`
	// RelayVersion is the version of the protocol in which the VM accepts statements from
	// other VMs.
	RelayVersion int `json:"relay,omitempty"`
	// LinkMbps is the bandwidth of the VM's network link in Mbit/s.
	LinkMbps float64 `json:"link,omitempty"`
	// ConfigurationVersion is the version of the configuration in force.
	ConfigurationVersion int64 `json:"configuration,omitempty"`
	// Urgent heartbeats make the zone's delegate send a digest to the other zones at once.
	Urgent bool `json:"urgent,omitempty"`
	// Leaving is true while the VM drains before it exits.
	Leaving bool `json:"leaving,omitempty"`
	// Demand is the rate of operations per second by workspace.
	Demand map[string]float64 `json:"demand,omitempty"`
	// Observations has the sender's view of primaries by group, only of groups that it verifies
	// and whose primary fails or was replaced recently.
	Observations map[string]PrimaryObservation `json:"leads,omitempty"`
	// Digest is set, with VM as the only other field, in a message from a zone's delegate to the
	// delegate of another zone, which forwards it to the VMs of its zone.
	Digest *Digest `json:"digest,omitempty"`
	// ZonePayload is set, with VM as the only other field, in a message with arbitrary content to
	// the VMs of the sender's zone.
	ZonePayload json.RawMessage `json:"note,omitempty"`
}

// Digest summarizes the state of a zone's VMs for the other zones.
type Digest struct {
	Zone string `json:"zone"`
	// Messages has the latest heartbeat of each live VM of the zone, without Demand and Zone.
	Messages []Message `json:"beats"`
	// Demand is the sum over all VMs of the zone, by workspace.
	Demand map[string]float64 `json:"demand,omitempty"`
	// Forwarded is true once the receiving delegate has sent the digest on to the VMs of its
	// own zone.
	Forwarded bool `json:"passed,omitempty"`
}

// PrimaryObservation is a VM's view of a group's primary.
type PrimaryObservation struct {
	// Server is empty if the VM knows no primary.
	Server  string `json:"server,omitempty"`
	Term    int64  `json:"term,omitempty"`
	Failing bool   `json:"failing,omitempty"`
}
