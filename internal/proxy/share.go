package proxy

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// sharePart of a server's connections is dealt out: a server keeps the connections of
	// VMs that lost power for seconds, and those that come back must find as many again.
	ownerFraction = 0.45
	// shareFor is how long a share is kept: demand is averaged over a second.
	shareTTL = 500 * time.Millisecond
	// quietDemand is what a workspace counts with at the least, in operations a second.
	minDemand = 0.2
	// ownConnections is the least share: to prove primaries, and to go round a home.
	minConnections = 1
)

// Share is how many connections to a server a VM may have.
type Share struct {
	// Open connections at the most, in use or idle.
	MaxOpen int
	// Rest is how many may stay open when they aren't in use. It is at most Open, and zero
	// for a VM that only now and then goes round a home: in a large fleet the idle
	// connections of all of them would be more than the server takes.
	MaxIdle int
}

// keptShare is what this VM last found a share to be.
type cachedShare struct {
	share      Share
	computedAt time.Time
}

// share gives this VM's share of the connections to a server.
func (v *VM) share(service ServiceName, server Server) Share {
	v.shareMu.Lock()
	defer v.shareMu.Unlock()
	now := time.Now()
	if s, found := v.shareCache[server.ID]; found && now.Sub(s.computedAt) < shareTTL {
		return s.share
	}
	if v.shareCache == nil {
		v.shareCache = map[ServerID]cachedShare{}
	}
	s := v.computeShare(service, server)
	v.shareCache[server.ID] = cachedShare{s, now}
	return s
}

func (v *VM) computeShare(service ServiceName, server Server) Share {
	c := v.Configuration()
	if c == nil || c.Services[service] == nil {
		return Share{minConnections, minConnections}
	}
	if v.Relay == nil || v.Quota == nil {
		n := evenShare(c.Services[service].Connections, max(v.Fleet.Size(), 1), v.Fleet.Rank(), server.ID)
		return Share{n, n}
	}
	ownerTotal := v.ownerConnections(service)
	if !v.Fleet.Settled() {
		// It would take itself for the only home.
		n := evenShare(ownerTotal, max(v.Fleet.Size(), 1), v.Fleet.Rank(), server.ID)
		return Share{n, n}
	}
	fraction := v.ownedDemandFraction(c, server, ownerTotal)
	n := max(int(float64(ownerTotal)*fraction), minConnections)
	if fraction == 0 && !v.Fleet.Verifies(service) {
		return Share{MaxOpen: n}
	}
	return Share{n, n}
}

// dealt is how many connections to each server of a service homes have together.
func (v *VM) ownerConnections(service ServiceName) int {
	c := v.Configuration()
	if c == nil || c.Services[service] == nil {
		return 0
	}
	return int(ownerFraction * float64(c.Services[service].Connections))
}

// evenShare deals a limit out over VMs. Where it doesn't divide evenly, the VMs that get
// one more differ from server to server.
func evenShare(limit, size, rank int, id ServerID) int {
	n := limit / size
	if (uint64(rank)+xxhash.Sum64String(string(id)))%uint64(size) < uint64(limit%size) {
		n++
	}
	return max(n, minConnections)
}

// homePart is the part of all demand that comes from the workspaces whose connections to a
// server this VM holds.
func (v *VM) ownedDemandFraction(c *Configuration, server Server, connections int) float64 {
	demand := v.Quota.Totals()
	owned, all := 0.0, 0.0
	for name := range c.Workspaces {
		d := max(demand[string(name)], minDemand)
		all += d
		if _, local := v.Relay.Owner(server, name, connections); local {
			owned += d
		}
	}
	if all == 0 {
		return 1
	}
	return owned / all
}
