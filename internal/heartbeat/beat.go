package heartbeat

import "encoding/json"

// Name names a VM.
type VMName string

// Beat is what a VM says of itself.
type Message struct {
	VM VMName `json:"vm"`
	// Incarnation is drawn at each start.
	Incarnation uint32 `json:"incarnation"`
	Address     string `json:"address"`
	Zone        string `json:"zone,omitempty"`
	// Capacity is the VM's part of a core, for dealing out work.
	Capacity float64 `json:"capacity,omitempty"`
	// Relay is the version of the protocol in which the VM takes statements from others.
	RelayVersion int `json:"relay,omitempty"`
	// Link is the width of the VM's link in Mbit/s.
	LinkMbps float64 `json:"link,omitempty"`
	// Configuration is the version in force.
	ConfigurationVersion int64 `json:"configuration,omitempty"`
	// Urgent beats are to be heard in other zones at once, too.
	Urgent bool `json:"urgent,omitempty"`
	// Leaving VMs end soon.
	Leaving bool `json:"leaving,omitempty"`
	// Demand is operations a second by workspace.
	Demand map[string]float64 `json:"demand,omitempty"`
	// Leads by group; only those that fail or were replaced lately.
	Observations map[string]PrimaryObservation `json:"leads,omitempty"`
	// Digest, in place of the rest, is what a zone's scout says of its zone.
	Digest *Digest `json:"digest,omitempty"`
	// Note, in place of the rest, is for VMs of the zone.
	ZonePayload json.RawMessage `json:"note,omitempty"`
}

// Digest is what a zone's VMs say, for other zones.
type Digest struct {
	Zone string `json:"zone"`
	// Beats of the zone's live VMs, without their demand.
	Messages []Message `json:"beats"`
	// Demand of all of them.
	Demand map[string]float64 `json:"demand,omitempty"`
	// Passed digests have been passed on within the zone that they came to.
	Forwarded bool `json:"passed,omitempty"`
}

// Lead is what a VM says of a group's primary.
type PrimaryObservation struct {
	Server  string `json:"server,omitempty"`
	Term    int64  `json:"term,omitempty"`
	Failing bool   `json:"failing,omitempty"`
}
