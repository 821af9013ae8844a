package proxy

import (
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"
)

const (
	// endorseFor is how long a VM's word counts that a primary can be used: three lost beats.
	observationTTL = 2 * time.Second
	// fenceSlack is left for a statement that was sent while the primary was endorsed.
	fenceMargin = time.Second
	// farFence is added where words come in digests, which may be as old again.
	digestFenceDelay = 3 * time.Second
	// endorsedFor is how long the answer to the question is kept, also over a suspension: it
	// is asked with each statement.
	quorumCacheTTL = 50 * time.Millisecond
)

// endorsement is what a group's VMs said last.
type quorumCheck struct {
	checkedAt clock.Instant
	hasQuorum bool
}

// fence is how long a primary that most VMs can't use must be left alone before another is
// promoted, so that no VM uses it any more.
func (f *Failover) fenceDelay() time.Duration {
	switch {
	case f.PromotionFences:
		return 0
	case f.Fleet.UsesDigests():
		return observationTTL + digestFenceDelay + fenceMargin
	}
	return observationTTL + fenceMargin
}

// Endorsed tells whether a group's primary may be used: on a platform that doesn't depose a
// primary by promoting another, only while most VMs that watch it can use it, too.
func (f *Failover) HasQuorum(service ServiceName) bool {
	if f.PromotionFences {
		return true
	}
	f.quorumMu.Lock()
	defer f.quorumMu.Unlock()
	if check, found := f.quorums[service]; found && clock.Since(check.checkedAt) < quorumCacheTTL {
		return check.hasQuorum
	}
	if f.quorums == nil {
		f.quorums = map[ServiceName]quorumCheck{}
	}
	check := quorumCheck{checkedAt: clock.Now()}
	if g := f.VM.group(service); g != nil {
		isVerifier, verifiers := f.Fleet.SelectVMs("prove/"+string(service), MaxVerifiers)
		peers := f.Fleet.Peers()
		for i := range peers {
			peers[i].Silent = peers[i].Silent || peers[i].Age > observationTTL
		}
		check.hasQuorum = g.failoverView(peers, isVerifier, verifiers).HasQuorum()
		if before, found := f.quorums[service]; found && before.hasQuorum != check.hasQuorum {
			eventQuorum.Log(g.Logger, "endorsed", check.hasQuorum)
		}
	}
	f.quorums[service] = check
	return check.hasQuorum
}

// endorsed tells whether the group's primary may be used.
func (g *Group) hasQuorum() bool { return g.VM.HasQuorum == nil || g.VM.HasQuorum(g.Name) }
