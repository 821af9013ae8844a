package proxy

import (
	"time"
)

// Candidate is a server as a read sees it.
type Candidate struct {
	ID ServerID
	// Near servers stand in this VM's zone.
	Near bool
	// Lead servers also take the writes.
	Lead bool
	// Avoid servers failed lately; Behind ones lacked a position lately.
	Avoid, Behind bool
	// Factor is how much longer than typical the server takes.
	Factor  float64
	Outlook outlook
}

const (
	// farCost is what a server in another zone has to be quicker by. Bytes between
	// zones cost the operators more than these milliseconds cost callers.
	farCost = 8 * time.Millisecond
	// leadShare of the typical time is added for the primary, to leave room for writes.
	leadShare = 0.5
	// behindCost is added for a replica that lacked a position.
	behindCost = 100 * time.Millisecond
	// avoidCost puts servers that failed behind all others.
	avoidCost = 10 * time.Second
)

// cost estimates how long a read would take at the server, with what it takes from others.
func (c Candidate) cost(typical time.Duration) time.Duration {
	t := c.Outlook.wait + time.Duration(c.Factor*float64(typical))
	if !c.Near {
		t += farCost
	}
	if c.Lead {
		t += time.Duration(leadShare * float64(typical))
	}
	if c.Behind {
		t += behindCost
	}
	if c.Avoid {
		t += avoidCost
	}
	return t
}

// Choose gives the best candidate for a read, false if there is none.
func Choose(list []Candidate, typical time.Duration) (Candidate, bool) {
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
func (g *Group) candidates(w WorkspaceName, not map[ServerID]bool) ([]Candidate, map[ServerID]*member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	var list []Candidate
	members := map[ServerID]*member{}
	for id, m := range g.members {
		if not[id] || m.server.Leaving {
			continue
		}
		members[id] = m
		list = append(list, Candidate{
			ID: id, Near: m.server.Zone == g.VM.Zone, Lead: id == g.lead,
			Avoid: now.Before(m.avoidUntil), Behind: now.Before(m.behindUntil),
			Factor: m.faded(now), Outlook: m.pool.outlook(w),
		})
	}
	return list, members
}
