// Package quota divides the rate limits of workspaces among VMs by demand.
//
// Each VM measures the demand of its callers for each workspace and reports it to the other
// VMs. A VM's share of a rate is its share of the demand, so the shares of all VMs add up to
// about the rate, however callers are distributed. They may add up to more while reports of
// demand are in transit; this excess must stay within the tolerance of the agreed limits.
package quota

import (
	"math"
	"sync"
	"time"
)

const (
	// demandWindow is the time constant of the exponential average of demand. It is short
	// enough to detect a burst within a few heartbeats, and long enough to measure a few
	// requests per second.
	demandWindow = time.Second
	// evenFraction is the fraction of a rate that is divided evenly, regardless of
	// demand, so that a VM whose callers have just connected has a share.
	evenFraction = 0.15
	// marginFraction is the fraction of a rate that is allocated beyond it, to make up
	// for shares that other VMs don't use. It is less than a third of the 10 % by which
	// the agreed limits may be exceeded.
	marginFraction = 0.03
	// Until an increase of demand has been reported to the other VMs, the demand counts
	// for at most growthFactor times the last reported value or, if that is more, for
	// minGrowth operations per second above it.
	growthFactor = 1.3
	minGrowth    = 1.5
	// Demand is reported before the next heartbeat if it exceeds both earlyReportFactor
	// times the last reported value and minEarlyReportGrowth operations per second above
	// it. Both bounds are a little above the increase that counts without a report.
	earlyReportFactor    = 1.5
	minEarlyReportGrowth = 1.7
	// extraTokens is added to the burst, divided over all VMs. It is half of the absolute
	// tolerance of the agreed limits.
	extraTokens = 10
	// extraBurstFraction is the fraction of the burst that is added to it, divided over
	// all VMs. It is half of the 10 % by which the agreed limits may be exceeded.
	extraBurstFraction = 0.05
	// totalTTL is how long the reported total is preferred to the reports of single VMs.
	totalTTL = 5 * time.Second
	// peerDemandTTL is how long the last reported demand of an unreachable VM counts,
	// since the VM may still serve callers.
	peerDemandTTL = time.Minute
	// wholeToken is the smallest balance from which a token can be taken. It is slightly less than
	// 1 so that rounding errors don't delay an admission.
	wholeToken = 1 - 1e-6
)

// Demand is the demand for each workspace in operations per second.
type Demand map[string]float64

// Limiter limits the rate of operations at one VM. Set the exported fields before the first
// use.
type Limiter struct {
	// Now returns the time of a clock that also advances while the machine is suspended.
	Now func() time.Duration
	// VMCount returns the number of VMs, including this one.
	VMCount func() int

	mu      sync.Mutex
	buckets map[string]*bucket
	peers   map[string]peer
	// total is the last report of the demand of all VMs, nil if there was none.
	total *totalDemand
}

// totalDemand is a report of the demand of all VMs together.
type totalDemand struct {
	demand Demand
	// own is the part of demand that this VM reported.
	own Demand
	// vmCount is the number of VMs whose demand this is, including this one.
	vmCount    int
	receivedAt time.Duration
}

// peer is the last report of another VM.
type peer struct {
	demand     Demand
	receivedAt time.Duration
}

// bucket is this VM's token bucket for one workspace, with the demand of its callers.
type bucket struct {
	tokens float64
	// updatedAt is when tokens and demand were last updated.
	updatedAt time.Duration
	demand    float64
	// reportedDemand is the demand last reported to the other VMs, sentDemand the demand last
	// returned by ReportDemand. They differ while it isn't known whether a report has arrived.
	reportedDemand, sentDemand float64
}

// Admit admits one operation of a workspace with the given rate (per second) and burst, and
// counts the operation as demand. An operation beyond this VM's share isn't admitted; wait
// is then how long until one would be.
func (l *Limiter) Admit(workspace string, rate, burst float64) (wait time.Duration, admitted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	b := l.bucket(workspace, now)
	b.demand += 1 / demandWindow.Seconds()
	fraction := l.shareFraction(workspace, b.countedDemand(b.demand), rate, now)
	vmCount := float64(max(l.VMCount(), 1))
	refill := fraction * rate * (1 + marginFraction)
	maxTokens := max(fraction*burst+(extraTokens+extraBurstFraction*burst)/vmCount, 1)
	if b.updatedAt == 0 {
		b.tokens = maxTokens
	} else {
		b.tokens = min(b.tokens+refill*(now-b.updatedAt).Seconds(), maxTokens)
	}
	b.updatedAt = now
	if b.tokens >= wholeToken {
		b.tokens--
		return 0, true
	}
	return time.Duration(math.Ceil((1 - b.tokens) / refill * float64(time.Second))), false
}

// Refund puts back the token of an admitted operation that wasn't run.
func (l *Limiter) Refund(workspace string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[workspace]; b != nil {
		b.tokens++
	}
}

// bucket returns the workspace's bucket with its demand decayed up to now. The caller must
// hold l.mu.
func (l *Limiter) bucket(workspace string, now time.Duration) *bucket {
	if l.buckets == nil {
		l.buckets = map[string]*bucket{}
	}
	b := l.buckets[workspace]
	if b == nil {
		b = &bucket{}
		l.buckets[workspace] = b
		return b
	}
	b.demand *= math.Exp(-(now - b.updatedAt).Seconds() / demandWindow.Seconds())
	return b
}

// shareFraction returns this VM's fraction of a workspace's rate. A VM whose demand isn't
// known yet is assumed to have as much as this one, ownDemand, and at least an even share
// of the rate.
// The caller must hold l.mu.
func (l *Limiter) shareFraction(workspace string, ownDemand, rate float64, now time.Duration) float64 {
	vmCount := max(l.VMCount(), 1)
	otherDemand, knownVMs := l.otherDemand(workspace, now)
	evenShare := rate / float64(vmCount)
	otherDemand += float64(max(vmCount-1-knownVMs, 0)) * max(evenShare, ownDemand)
	return min((ownDemand+evenFraction*evenShare)/(ownDemand+otherDemand+evenFraction*rate), 1)
}

// otherDemand returns the other VMs' demand for a workspace, and the number of VMs for which it is
// known. The caller must hold l.mu.
func (l *Limiter) otherDemand(workspace string, now time.Duration) (float64, int) {
	if l.usesTotal(now) {
		return max(l.total.demand[workspace]-l.total.own[workspace], 0), l.total.vmCount - 1
	}
	sum := 0.0
	for name, p := range l.peers {
		if now-p.receivedAt > peerDemandTTL {
			delete(l.peers, name)
			continue
		}
		sum += p.demand[workspace]
	}
	return sum, len(l.peers)
}

// usesTotal reports whether the other VMs' demand follows from the reported total: while that is
// new, and later if there are no reports of single VMs. The caller must hold l.mu.
func (l *Limiter) usesTotal(now time.Duration) bool {
	if l.total == nil {
		return false
	}
	age := now - l.total.receivedAt
	return age < totalTTL || age < peerDemandTTL && len(l.peers) == 0
}

// ObserveDemand records the demand that another VM has reported.
func (l *Limiter) ObserveDemand(vm string, d Demand) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.peers == nil {
		l.peers = map[string]peer{}
	}
	l.peers[vm] = peer{demand: d, receivedAt: l.Now()}
}

// ObserveTotal records the demand of vmCount VMs together. own is the part of it that this VM has
// reported. From then on own counts in full for this VM's share, and later reports only when they
// are part of the total: the shares of all VMs that receive the same total never add up to more
// than the rate.
func (l *Limiter) ObserveTotal(total Demand, vmCount int, own Demand) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total = &totalDemand{demand: total, own: own, vmCount: vmCount, receivedAt: l.Now()}
	for workspace, b := range l.buckets {
		b.reportedDemand = own[workspace]
	}
}

// RemovePeer removes the demand of a VM that has announced its shutdown.
func (l *Limiter) RemovePeer(vm string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.peers, vm)
}

// minReportedDemand is the smallest demand that is reported, in operations per second.
const minReportedDemand = 0.05

// Demand returns the demand of this VM's callers.
func (l *Limiter) Demand() Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	d := Demand{}
	for workspace, b := range l.buckets {
		decayed := b.demand * math.Exp(-(now-b.updatedAt).Seconds()/demandWindow.Seconds())
		if decayed >= minReportedDemand {
			d[workspace] = math.Round(decayed*100) / 100
		}
	}
	return d
}

// TotalDemand returns the demand of the callers of all VMs. The result must not be modified.
func (l *Limiter) TotalDemand() Demand {
	d := l.Demand()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.usesTotal(l.Now()) {
		return l.total.demand
	}
	for _, p := range l.peers {
		for workspace, amount := range p.demand {
			d[workspace] += amount
		}
	}
	return d
}

// ReportDemand returns Demand for a report to the other VMs. From then on, the reported demand
// counts in full for this VM's share, unless ObserveTotal tells which reports have arrived.
func (l *Limiter) ReportDemand() Demand {
	d := l.Demand()
	l.mu.Lock()
	defer l.mu.Unlock()
	usesTotal := l.usesTotal(l.Now())
	for workspace, b := range l.buckets {
		b.sentDemand = d[workspace]
		if !usesTotal {
			b.reportedDemand = d[workspace]
		}
	}
	return d
}

// NeedsEarlyReport reports whether the demand for some workspace has grown so much since the last
// report that it should be reported before the next heartbeat.
func (l *Limiter) NeedsEarlyReport() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range l.buckets {
		if b.demand > max(b.sentDemand*earlyReportFactor, b.sentDemand+minEarlyReportGrowth) {
			return true
		}
	}
	return false
}

// countedDemand returns how much of a demand counts for this VM's share. An increase that
// the other VMs don't know of yet counts only in part, since they still compute larger
// shares for themselves.
func (b *bucket) countedDemand(demand float64) float64 {
	return min(demand, max(b.reportedDemand*growthFactor, b.reportedDemand+minGrowth))
}
