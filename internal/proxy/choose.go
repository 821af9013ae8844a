package proxy

import (
	"time"
)

// Candidate is a server that may run a read, with the figures that its cost depends on.
type Candidate struct {
	ID ServerID
	// SameZone is true if the server is in this VM's zone.
	SameZone bool
	// IsPrimary is true for the server that also executes the writes.
	IsPrimary bool
	// RecentlyFailed and RecentlyLagged are true for a while after the server failed or refused
	// a read because it lacked the requested position.
	RecentlyFailed, RecentlyLagged bool
	// LatencyFactor is the average ratio of the server's read latency to the typical latency of
	// the route.
	LatencyFactor float64
	// Availability has the estimated wait for a connection to the server.
	Availability availability
}

const (
	// crossZoneCost is how much faster a server in another zone has to be to be chosen. Traffic
	// between zones costs the operators more than this delay costs callers.
	crossZoneCost = 8 * time.Millisecond
	// primaryCostFraction of the typical latency is added for the primary, to leave its
	// capacity to writes.
	primaryCostFraction = 0.5
	// lagCost is added for a replica that recently lacked a requested position.
	lagCost = 100 * time.Millisecond
	// urgentAtPrimaryCost is added for the primary while more urgent statements wait there. It is
	// the objective of the most urgent callers: a replica may take that much longer.
	urgentAtPrimaryCost = 100 * time.Millisecond
	// failedCost ranks servers that failed recently after all others.
	failedCost = 10 * time.Second
)

// cost estimates how long a read would take at the server. It includes penalties for the load
// that the read puts on the primary and on links between zones, and for recent failures and lag.
func (c Candidate) cost(typical time.Duration) time.Duration {
	work := time.Duration(c.LatencyFactor * float64(typical))
	if c.Availability.service > 0 {
		// The latencies that this VM measured have the wait in them.
		work, typical = c.Availability.service, c.Availability.service
	}
	t := c.Availability.wait + c.Availability.otherServerCost + work
	if !c.SameZone {
		t += crossZoneCost
	}
	if c.IsPrimary {
		t += time.Duration(primaryCostFraction * float64(typical))
	}
	if c.IsPrimary && c.Availability.moreUrgentWaiting > 0 {
		t += urgentAtPrimaryCost
	}
	if c.RecentlyLagged {
		t += lagCost
	}
	if c.RecentlyFailed {
		t += failedCost
	}
	return t
}

// ChooseServer returns the candidate with the lowest cost, and false if there are no
// candidates.
func ChooseServer(list []Candidate, typical time.Duration) (Candidate, bool) {
	var best Candidate
	found := false
	var lowest time.Duration
	for _, c := range list {
		if cost := c.cost(typical); !found || cost < lowest || cost == lowest && c.ID < best.ID {
			best, lowest, found = c, cost, true
		}
	}
	return best, found
}

// readCandidates lists the servers for a read that isn't linearizable, except those in exclude,
// those that are leaving and those in zones that are being evacuated. Some may lack the read's floor. The map has the
// same servers by ID.
func (g *Group) readCandidates(d demand, exclude map[ServerID]bool) ([]Candidate, map[ServerID]*member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	var list, cold []Candidate
	members := map[ServerID]*member{}
	for id, m := range g.members {
		if exclude[id] || m.server.Leaving || g.isEvacuated(m) {
			continue
		}
		members[id] = m
		c := Candidate{
			ID: id, SameZone: m.server.Zone == g.VM.Zone, IsPrimary: id == g.primary,
			RecentlyFailed: now.Before(m.avoidUntil), RecentlyLagged: now.Before(m.lagAvoidUntil),
			LatencyFactor: m.decayedLatencyFactor(now), Availability: g.availability(m, d, now),
		}
		if g.isForOthers(m) {
			cold = append(cold, c)
		} else {
			list = append(list, c)
		}
	}
	if len(list) == 0 {
		list = cold
	}
	return list, members
}
