package proxy

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// ownerFraction of a server's connection limit is divided among the VMs that own pooled
	// connections to the server (see Relay.Owner). When VMs lose power, the server keeps their
	// connections for some seconds, so the returning VMs must be able to open as many again.
	ownerFraction = 0.45
	// shareTTL is how long a computed share is reused; the demand that it depends on is
	// averaged over a second.
	shareTTL = 500 * time.Millisecond
	// minDemand is the demand assumed for a workspace with less traffic, in operations per
	// second.
	minDemand = 0.2
	// minConnections is the minimum share of a VM. Each VM needs a connection to verify primaries,
	// and to reach the server itself when an owner can't be reached.
	minConnections = 1
)

// Share limits the connections of a VM to a server.
type Share struct {
	// MaxOpen limits all open connections, in use or idle, apart from those that idle
	// transactions allow in addition (see idleTransactions).
	MaxOpen int
	// MaxIdle limits the connections that stay open when they are released. It is at most
	// MaxOpen, and zero for a VM that opens connections only when an owner can't be reached:
	// the idle connections of all such VMs in a large fleet would exceed the server's limit.
	MaxIdle int
}

// cachedShare is a share computed earlier.
type cachedShare struct {
	share      Share
	computedAt time.Time
	// acting is true if it was computed for a VM that other VMs use as the owner.
	acting bool
}

// share returns this VM's share of the connections to a server, computed at most shareTTL ago.
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
	v.shareCache[server.ID] = cachedShare{share: s, computedAt: now}
	return s
}

// computeShare derives this VM's share of the connections to a server from the demand of the
// workspaces whose connections it owns. Without a relay or a quota, or before this VM knows the
// others, it divides the connections evenly among the VMs.
func (v *VM) computeShare(service ServiceName, server Server) Share {
	c, settings := v.Configuration(), v.service(service)
	if c == nil || settings == nil {
		return Share{minConnections, minConnections}
	}
	if v.Relay == nil || v.Quota == nil {
		n := evenShare(settings.Connections, max(v.Fleet.Size(), 1), v.Fleet.Rank(), server.ID)
		return Share{n, n}
	}
	ownerTotal := v.ownerConnectionLimit(service)
	if !v.Fleet.Settled() {
		// Before it knows the other VMs, this VM would regard itself as the only owner.
		n := evenShare(ownerTotal, max(v.Fleet.Size(), 1), v.Fleet.Rank(), server.ID)
		return Share{n, n}
	}
	fraction := v.ownedDemandFraction(c, server, ownerTotal)
	n := max(int(float64(ownerTotal)*fraction), minConnections)
	if fraction == 0 && !v.Fleet.IsVerifier(service) {
		return Share{MaxOpen: n}
	}
	return Share{n, n}
}

// ownerConnectionLimit returns how many connections to each server of a service all owners may
// have together.
func (v *VM) ownerConnectionLimit(service ServiceName) int {
	s := v.service(service)
	if s == nil {
		return 0
	}
	return int(ownerFraction * float64(s.Connections))
}

// evenShare returns one VM's part of a limit that is divided evenly. The remainder goes to VMs
// that differ from server to server. Each VM gets at least minConnections, so that the parts may
// exceed the limit.
func evenShare(limit, size, rank int, id ServerID) int {
	n := limit / size
	if (uint64(rank)+xxhash.Sum64String(string(id)))%uint64(size) < uint64(limit%size) {
		n++
	}
	return max(n, minConnections)
}

// ownedDemandFraction returns the fraction of the total demand that comes from the workspaces
// whose connections to a server this VM owns, or 1 if there are no workspaces.
func (v *VM) ownedDemandFraction(c *Configuration, server Server, connections int) float64 {
	if !v.Relay.OwnsAny(server, connections) {
		return 0
	}
	demand := v.Quota.TotalDemand()
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
