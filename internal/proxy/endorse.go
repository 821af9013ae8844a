package proxy

import (
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"
)

const (
	// observationTTL is how long a VM's observation that a primary is usable counts without a
	// further heartbeat from that VM: the time of three lost heartbeats.
	observationTTL = 2 * time.Second
	// fenceMargin covers statements that were sent while the primary still had a quorum.
	fenceMargin = time.Second
	// digestFenceDelay is added when observations arrive in zone digests, which makes them
	// older by up to this time.
	digestFenceDelay = 3 * time.Second
	// quorumCacheTTL is how long the result of a quorum check is reused, because each statement
	// needs one. Time during which the VM is suspended counts as well.
	quorumCacheTTL = 50 * time.Millisecond
)

// quorumCheck is the cached result of a group's last quorum check.
type quorumCheck struct {
	checkedAt clock.Instant
	hasQuorum bool
}

// fenceDelay returns how long to wait before a primary without a quorum is replaced. It is zero
// if the promotion itself deposes the old primary; otherwise no VM uses the old primary any more
// after that time.
func (f *Failover) fenceDelay() time.Duration {
	switch {
	case f.PromotionFences:
		return 0
	case f.Fleet.UsesDigests():
		return observationTTL + digestFenceDelay + fenceMargin
	}
	return observationTTL + fenceMargin
}

// HasQuorum reports whether a group's primary may be used. On a platform where a promotion
// doesn't depose the old primary, it may be used only while a majority of its verifier VMs can
// use it.
func (f *Failover) HasQuorum(service ServiceName) bool {
	if f.PromotionFences {
		return true
	}
	f.quorumMu.Lock()
	defer f.quorumMu.Unlock()
	if check, found := f.quorumChecks[service]; found && clock.Since(check.checkedAt) < quorumCacheTTL {
		return check.hasQuorum
	}
	if f.quorumChecks == nil {
		f.quorumChecks = map[ServiceName]quorumCheck{}
	}
	check := quorumCheck{checkedAt: clock.Now()}
	if g := f.VM.group(service); g != nil {
		// All calls and all VMs must use the same string, so that they select the same verifiers.
		isVerifier, verifiers := f.Fleet.SelectVMs("prove/"+string(service), MaxVerifiers)
		peers := f.Fleet.PeersNamed(verifiers)
		for i := range peers {
			peers[i].Silent = peers[i].Silent || peers[i].Age > observationTTL
		}
		view := g.failoverView(peers, isVerifier)
		view.FleetUnknown = !f.Fleet.KnowsFleet()
		check.hasQuorum = view.HasQuorum()
		if before, found := f.quorumChecks[service]; found && before.hasQuorum != check.hasQuorum {
			eventQuorum.Log(g.Logger, "endorsed", check.hasQuorum)
		}
	}
	f.quorumChecks[service] = check
	return check.hasQuorum
}

// hasQuorum reports whether the group's primary may be used.
func (g *Group) hasQuorum() bool { return g.VM.HasQuorum == nil || g.VM.HasQuorum(g.Name) }
