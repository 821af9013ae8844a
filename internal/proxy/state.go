package proxy

import (
	"slices"
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"
)

// State is a snapshot of the VM's state, for diagnosis.
type State struct {
	VM            VMName               `json:"vm"`
	Zone          AvailabilityZone     `json:"availability-zone"`
	Ready         bool                 `json:"ready"`
	Draining      bool                 `json:"draining"`
	Configuration ConfigurationVersion `json:"configuration"`
	// Sessions is the number of open caller connections.
	Sessions int64        `json:"sessions"`
	VMs      int          `json:"vms"`
	Groups   []GroupState `json:"groups"`
	// Evacuations has the zones that are being evacuated, EvacuationsKnown is false while this VM
	// doesn't know them.
	Evacuations      []EvacuationState `json:"evacuations"`
	EvacuationsKnown bool              `json:"evacuations-known"`
}

// GroupState is the state of one group.
type GroupState struct {
	Service ServiceName `json:"service"`
	Primary ServerID    `json:"lead"`
	Term    int64       `json:"term"`
	// NewestTerm is the newest term that a VM or a server has told. PromotionRefused is why this VM last
	// didn't promote a server although it had decided to, empty if that never happened.
	NewestTerm       int64  `json:"newest-term"`
	PromotionRefused string `json:"promotion-refused,omitempty"`
	// Failing is true while this VM regards the primary as failed.
	Failing bool `json:"failing"`
	// VerifiedMs is how long ago, in milliseconds, the latest command was sent that a server
	// answered as primary with a quorum, or -1 if there was none.
	VerifiedMs int64         `json:"proved-ms"`
	Servers    []ServerState `json:"servers"`
	// Unlisted has the servers that aren't listed and may hold confirmed commits.
	Unlisted []string `json:"unlisted,omitempty"`
}

// ServerState is the state of one server.
type ServerState struct {
	Server  ServerID         `json:"server"`
	Address Address          `json:"address"`
	Zone    AvailabilityZone `json:"availability-zone"`
	Leaving bool             `json:"leaving"`
	// Evacuated is true if the server's zone is being evacuated.
	Evacuated bool `json:"evacuated"`
	// Avoided is true while reads prefer other servers because this one failed.
	Avoided bool `json:"avoided"`
	// Open (which includes Opening), Opening and Share count connections.
	Open            int `json:"open"`
	Opening         int `json:"opening"`
	Share           int `json:"share"`
	WaitingRequests int `json:"waiting"`
	Failures        int `json:"failures"`
	// Queue is the queue of statements on this VM's connections, absent if they have no order.
	Queue *QueueState `json:"queue,omitempty"`
	// Told has the loads that other VMs told in the last second, by the priority of the route.
	Told map[Priority]ServerLoad `json:"told-load,omitempty"`
}

// QueueState is the state of a server's queue. The numbers count statements.
type QueueState struct {
	InService int          `json:"in-service"`
	Waiting   int          `json:"waiting"`
	Limit     int          `json:"limit"`
	Classes   []ClassState `json:"classes"`
}

// ClassState is the state of one class of statements in a queue.
type ClassState struct {
	Priority          Priority `json:"priority"`
	WorkspacePriority Priority `json:"workspace-priority"`
	Waiting           int      `json:"waiting"`
	// ServiceMs is the average service time, ExpectedWaitMs the wait of a further statement.
	ServiceMs      float64 `json:"service-ms"`
	ExpectedWaitMs float64 `json:"expected-wait-ms"`
}

// State returns a snapshot of the VM's state.
func (v *VM) State() State {
	s := State{VM: v.Name, Zone: v.Zone, Ready: v.IsReady(), Draining: v.IsDraining(), Sessions: v.openSessions.Load(), VMs: v.Fleet.Size(), Evacuations: v.evacuations(), EvacuationsKnown: v.Placement.isKnown()}
	if c := v.Configuration(); c != nil {
		s.Configuration = c.Version
	}
	for _, g := range v.Groups() {
		s.Groups = append(s.Groups, g.state())
	}
	slices.SortFunc(s.Groups, func(a, b GroupState) int { return compareText(string(a.Service), string(b.Service)) })
	return s
}

func compareText(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func (g *Group) state() GroupState {
	s := GroupState{Service: g.Name, VerifiedMs: -1}
	if sent, _, found := g.Samples.Newest(); found {
		s.VerifiedMs = clock.Since(clock.Instant(sent)).Milliseconds()
	}
	members := g.sortedMembers()
	s.Unlisted = g.unlistedServers()
	g.mu.Lock()
	defer g.mu.Unlock()
	s.Primary, s.Term, s.Failing = g.primary, int64(g.term), g.health.hasFailed()
	s.NewestTerm, s.PromotionRefused = int64(max(g.term, g.reportedTerm)), g.lastRefusal
	for _, m := range members {
		server := ServerState{
			Server: m.server.ID, Address: m.server.Address, Zone: m.server.Zone, Leaving: m.server.Leaving, Evacuated: g.isEvacuated(m),
			Avoided: time.Now().Before(m.avoidUntil), Failures: m.failures,
		}
		server.Open, server.Opening, server.Share, server.WaitingRequests = m.pool.counts()
		if m.pool.Queue != nil {
			server.Queue, server.Told = m.pool.Queue.state(), m.loads.recent(time.Now())
		}
		s.Servers = append(s.Servers, server)
	}
	return s
}

// counts returns the numbers of open connections (including those being opened), of connections
// being opened, of those that the share allows, and of waiting requests.
func (p *Pool) counts() (open, opening, share, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, wp := range p.workspacePools {
		waiting += len(wp.waiters)
	}
	return p.open, p.opening, p.Share().MaxOpen, waiting
}
