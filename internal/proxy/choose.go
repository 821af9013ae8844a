package proxy

import (
	"time"
)

// Candidate is a server as a read sees it.
type Candidate struct {
	ID ServerID
	// Near servers stand in this VM's zone.
	SameZone bool
	// Lead servers also take the writes.
	IsPrimary bool
	// Avoid servers failed lately; Behind ones lacked a position lately.
	RecentlyFailed, RecentlyLagged bool
	// Factor is how much longer than typical the server takes.
	LatencyFactor float64
	Availability  availability
}

const (
	// farCost is what a server in another zone has to be quicker by. Bytes between
	// zones cost the operators more than these milliseconds cost callers.
	crossZoneCost = 8 * time.Millisecond
	// leadShare of the typical time is added for the primary, to leave room for writes.
	primaryCostFraction = 0.5
	// behindCost is added for a replica that lacked a position.
	lagCost = 100 * time.Millisecond
	// avoidCost puts servers that failed behind all others.
	failedCost = 10 * time.Second
)

// cost estimates how long a read would take at the server, with what it takes from others.
func (c Candidate) cost(typical time.Duration) time.Duration {
	t := c.Availability.wait + time.Duration(c.LatencyFactor*float64(typical))
	if !c.SameZone {
		t += crossZoneCost
	}
	if c.IsPrimary {
		t += time.Duration(primaryCostFraction * float64(typical))
	}
	if c.RecentlyLagged {
		t += lagCost
	}
	if c.RecentlyFailed {
		t += failedCost
	}
	return t
}

// Choose gives the best candidate for a read, false if there is none.
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

// candidates lists the servers for a read of a workspace but those in not; a leaving
// server is listed only if no other is left.
func (g *Group) readCandidates(w WorkspaceName, exclude map[ServerID]bool) ([]Candidate, map[ServerID]*member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	var list []Candidate
	members := map[ServerID]*member{}
	for id, m := range g.members {
		if exclude[id] || m.server.Leaving {
			continue
		}
		members[id] = m
		list = append(list, Candidate{
			ID: id, SameZone: m.server.Zone == g.VM.Zone, IsPrimary: id == g.primary,
			RecentlyFailed: now.Before(m.avoidUntil), RecentlyLagged: now.Before(m.lagAvoidUntil),
			LatencyFactor: m.decayedLatencyFactor(now), Availability: m.pool.availability(w),
		})
	}
	return list, members
}
