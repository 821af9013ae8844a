package proxy

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// sharePart of a server's connections is dealt out: a server keeps the connections of
	// VMs that lost power for seconds, and those that come back must find as many again.
	sharePart = 0.45
	// shareFor is how long a share is kept: demand is averaged over a second.
	shareFor = 500 * time.Millisecond
	// quietDemand is what a workspace counts with at the least, in operations a second.
	quietDemand = 0.2
	// ownConnections is the least share: to prove primaries, and to go round a home.
	ownConnections = 1
)

// shares are what this VM last found its shares to be.
type share struct {
	n  int
	at time.Time
}

// share is how many connections to a server this VM may have.
func (v *VM) share(service ServiceName, server Server) int {
	v.shareMu.Lock()
	defer v.shareMu.Unlock()
	now := time.Now()
	if s, found := v.shares[server.ID]; found && now.Sub(s.at) < shareFor {
		return s.n
	}
	if v.shares == nil {
		v.shares = map[ServerID]share{}
	}
	n := v.countShare(service, server)
	v.shares[server.ID] = share{n, now}
	return n
}

func (v *VM) countShare(service ServiceName, server Server) int {
	c := v.Configuration()
	if c == nil || c.Services[service] == nil {
		return ownConnections
	}
	limit := c.Services[service].Connections
	if v.Relay != nil && v.Quota != nil {
		dealt := v.dealt(service)
		return max(int(float64(dealt)*v.homePart(c, server, dealt)), ownConnections)
	}
	return evenShare(limit, max(v.Fleet.Size(), 1), v.Fleet.Rank(), server.ID)
}

// dealt is how many connections to each server of a service homes have together.
func (v *VM) dealt(service ServiceName) int {
	c := v.Configuration()
	if c == nil || c.Services[service] == nil {
		return 0
	}
	return int(sharePart * float64(c.Services[service].Connections))
}

// evenShare deals a limit out over VMs. Where it doesn't divide evenly, the VMs that get
// one more differ from server to server.
func evenShare(limit, size, rank int, id ServerID) int {
	n := limit / size
	if (uint64(rank)+xxhash.Sum64String(string(id)))%uint64(size) < uint64(limit%size) {
		n++
	}
	return max(n, ownConnections)
}

// homePart is the part of all demand that comes from the workspaces whose connections to a
// server this VM holds.
func (v *VM) homePart(c *Configuration, server Server, dealt int) float64 {
	demand := v.Quota.Totals()
	mine, all := 0.0, 0.0
	for name := range c.Workspaces {
		d := max(demand[string(name)], quietDemand)
		all += d
		if _, here := v.Relay.Home(server, name, dealt); here {
			mine += d
		}
	}
	if all == 0 {
		return 1
	}
	return mine / all
}
