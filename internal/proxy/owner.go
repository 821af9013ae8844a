package proxy

import (
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"
)

const (
	// serverKeepTime is how long a server keeps the connections of a VM that lost power.
	serverKeepTime = 3 * time.Second
	// actingOwnerTime is how long after the last batch of another VM this one counts as the owner
	// of a server's connections. The others notice at once that the owner can't be reached; this
	// VM may learn of it only by silence, after two seconds.
	actingOwnerTime = 2 * time.Second
	// newOwnerSpare is how many connections beyond the server's slots the owner has that has just
	// become it, for transactions that wait for their callers. An owner of more than
	// serverKeepTime has the rest of what owners may have, so that the new owner's connections fit
	// in beside those that the server still keeps for the old one.
	newOwnerSpare = 3
	// spareConnections of a server's limit are set aside for VMs that can't reach the owner, and for
	// connections that the server hasn't noticed to be closed.
	spareConnections = 2
	// maxReservedFraction is how much of a server's limit is set aside for verifiers at most.
	maxReservedFraction = 0.5
)

// scheduledShare returns this VM's share of the connections to a server when one VM owns all of
// them, computed at most shareTTL ago.
func (v *VM) scheduledShare(service ServiceName, p *Pool) Share {
	acting := clock.Since(clock.Instant(p.relayedAt.Load())) < actingOwnerTime
	id, now := p.Server.ID, time.Now()
	v.shareMu.Lock()
	defer v.shareMu.Unlock()
	if s, found := v.shareCache[id]; found && now.Sub(s.computedAt) < shareTTL && s.acting == acting {
		return s.share
	}
	if v.shareCache == nil {
		v.shareCache = map[ServerID]cachedShare{}
	}
	s := v.computeScheduledShare(service, p.Server, acting, now)
	v.shareCache[id] = cachedShare{share: s, computedAt: now, acting: acting}
	return s
}

// computeScheduledShare computes this VM's share at a time. acting is true if other VMs use this VM
// as the owner. Without a relay, it is an even share. v.shareMu is held.
func (v *VM) computeScheduledShare(service ServiceName, server Server, acting bool, now time.Time) Share {
	settings := v.service(service)
	if v.Relay == nil || settings == nil {
		return v.computeShare(service, server)
	}
	limit := settings.Connections
	if !acting && !(v.Fleet.Settled() && v.Relay.OwnsAny(server, v.ownerConnectionLimit(service))) {
		delete(v.ownedSince, server.ID)
		if v.Fleet.IsVerifier(service) {
			return Share{minConnections, minConnections}
		}
		return Share{MaxOpen: minConnections}
	}
	if v.ownedSince == nil {
		v.ownedSince = map[ServerID]time.Time{}
	}
	since, owned := v.ownedSince[server.ID]
	if !owned {
		since, v.ownedSince[server.ID] = now, now
	}
	n := ownerShare(limit, v.Fleet.Size(), server.Slots, now.Sub(since) >= serverKeepTime)
	return Share{n, n}
}

// ownerShare returns how many connections to a server the owner of all of them may have. Of the
// server's limit, one for each verifier is set aside: those that the server keeps from before a
// restart have ended when verifiers open new ones (see mayOpenToVerify).
func ownerShare(limit, vms, slots int, established bool) int {
	total := limit - min(min(vms, MaxVerifiers)+spareConnections, int(maxReservedFraction*float64(limit)))
	fresh := max(min(slots+newOwnerSpare, total/2), minConnections)
	if !established {
		return fresh
	}
	return max(total-fresh, minConnections)
}
