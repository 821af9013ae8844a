package quota

import (
	"math"
	"time"
)

// division is how a rate is divided between this VM and the others at an instant.
type division struct {
	// fraction is what this VM has of the rate, by what the others count of its demand: the sum over all VMs is
	// at most one.
	fraction float64
	// total is the demand of all VMs, vmCount their number and apart how many are out of step.
	total          float64
	vmCount, apart int
}

// divide returns how a workspace's rate is divided. A VM whose demand isn't known yet is assumed to have
// as much as this one, and at least an even share of the rate. The caller must hold l.mu.
func (l *Limiter) divide(workspace string, b *bucket, rate float64, now time.Duration) division {
	vmCount := l.vmCount()
	evenShare := rate / float64(vmCount)
	even := evenFraction * evenShare
	if l.usesTotal(now) {
		own := l.total.own[workspace]
		others := max(l.total.demand[workspace]-own, 0) + float64(max(vmCount-l.total.vmCount, 0))*max(evenShare, own)
		return division{fraction(own+even, others+even*float64(vmCount-1)), own + others, vmCount, 0}
	}
	own := min(b.reportedDemand, l.countedByPeers(workspace, now))
	others, apart := l.peerDemand(workspace, now)
	others.demand += float64(max(vmCount-1-len(l.peers), 0)) * max(evenShare, own)
	others.vms = vmCount - 1 - apart.vms
	share := fraction(own+even, others.demand+even*float64(others.vms))
	if apart.vms > 0 {
		if others.vms == 0 && !math.IsInf(apart.ownCounted, 1) {
			apart.remaining = apart.ownCounted
		}
		kept := apart.remaining + even*float64(others.vms+1)
		share *= kept / (kept + apart.demand + even*float64(apart.vms))
	}
	return division{share, own + others.demand + apart.demand, vmCount, apart.vms}
}

// fraction returns the part of a demand in the sum of all.
func fraction(own, rest float64) float64 { return min(own/(own+rest), 1) }

// part is the demand of some VMs for a workspace.
type part struct {
	demand float64
	vms    int
	// remaining is the demand of all other VMs when the VMs fell out of step, ownCounted is what they
	// count of this VM's.
	remaining, ownCounted float64
}

// peerDemand returns the other VMs' demand for a workspace, of those that are in step with this one and of
// those that aren't. The caller must hold l.mu.
func (l *Limiter) peerDemand(workspace string, now time.Duration) (others, apart part) {
	total := math.Inf(1)
	apart.ownCounted = math.Inf(1)
	for name, p := range l.peers {
		switch {
		case now-p.receivedAt > peerDemandTTL:
			l.removePeer(name)
		case p.isInStep(now):
			others.demand += p.demand[workspace]
			others.vms++
		default:
			apart.demand += p.agreed.Demand[workspace]
			apart.vms++
			total = min(total, p.agreedTotal[workspace])
			if p.agreed.Counted != nil {
				apart.ownCounted = min(apart.ownCounted, p.agreed.Counted[workspace])
			}
		}
	}
	apart.remaining = max(total-apart.demand, 0)
	return others, apart
}

// countedByPeers returns how much of this VM's demand for a workspace may count for its share, given
// what the VMs in step count of it. The caller must hold l.mu.
func (l *Limiter) countedByPeers(workspace string, now time.Duration) float64 {
	counted := math.Inf(1)
	for _, p := range l.peers {
		if p.counted != nil && p.isInStep(now) {
			counted = min(counted, p.counted[workspace])
		}
	}
	return max(counted*countedGrowthFactor, counted+minCountedGrowth)
}
