package proxy

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// otherServerCost is added for servers other than the one that a workspace's reads prefer. It is
	// what opening a connection takes, since the workspace may have none there, and more than
	// crossZoneCost.
	otherServerCost = 12 * time.Millisecond
	// minLargeFraction of the demand makes a workspace large: its reads prefer no server, since it
	// has connections to all that are rarely idle, and one server would have all its load. It is
	// the part that one of some 36 connections has of an owner's (see ownerShare).
	minLargeFraction = 1. / 36
)

// isPreferred reports whether a server is the one that a workspace's reads prefer: the first by
// rendezvous hash among those that aren't the primary. All VMs prefer the same, so that the
// workspace has its connections there rather than a few at each server. g.mu is held.
func (g *Group) isPreferred(m *member, w WorkspaceName) bool {
	hash := xxhash.Sum64String(string(w))
	own := mixHashes(m.hash, hash)
	for id, other := range g.members {
		if other != m && id != g.primary && !other.server.Leaving && mixHashes(other.hash, hash) > own {
			return false
		}
	}
	return m.server.ID != g.primary || len(g.members) == 1
}

// mixHashes returns a hash of two hashes.
func mixHashes(a, b uint64) uint64 {
	h := (a ^ b) * 0x9e3779b97f4a7c15
	h = (h ^ h>>32) * 0xd6e8feb86659fd93
	return h ^ h>>32
}

// isLarge reports whether a workspace has so much of the demand that its reads prefer no server.
func (v *VM) isLarge(w WorkspaceName) bool {
	large := v.largeWorkspaces.Load()
	return large != nil && (*large)[w]
}

// updateLargeWorkspaces determines the large workspaces by the demand of the whole fleet.
func (v *VM) updateLargeWorkspaces() {
	if v.Quota == nil || !v.PriorityScheduling {
		return
	}
	demand := v.Quota.TotalDemand()
	total := 0.0
	for _, d := range demand {
		total += d
	}
	large := map[WorkspaceName]bool{}
	for w, d := range demand {
		if d >= minLargeFraction*total && d > minDemand {
			large[WorkspaceName(w)] = true
		}
	}
	v.largeWorkspaces.Store(&large)
}
