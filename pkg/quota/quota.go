// Package quota divides the rate limits of workspaces among VMs by demand.
//
// Each VM measures the demand of its callers for each workspace and reports it to the other
// VMs. A VM's share of a rate is its share of the demand, so the shares of all VMs add up to
// about the rate, however callers are distributed. They may add up to more while reports of
// demand are in transit; this excess must stay within the tolerance of the agreed limits.
//
// A VM counts its own demand only as far as the others count it, which they tell with their
// reports. VMs that don't hear each other are out of step: neither learns of the other's new
// demand. Until they hear each other again, or for peerDemandTTL, the VMs on each side together
// keep the part of each rate that they had before, and divide that among themselves by demand.
package quota

import (
	"maps"
	"math"
	"slices"
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
	// Until a VM in step counts an increase, the demand counts for at most uncountedGrowthFactor times
	// what that VM counts or, if that is more, for minUncountedGrowth operations per second above it.
	// These are larger than for growth that isn't reported: reports usually arrive.
	uncountedGrowthFactor = 2
	minUncountedGrowth    = 3
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
	// freshTotalTime is how long after the last total this VM's demand may grow beyond its part of that. It
	// is a bit more than the time between two totals.
	freshTotalTime = 700 * time.Millisecond
	// totalTTL is how long the reported total is preferred to the reports of single VMs.
	totalTTL = 5 * time.Second
	// peerDemandTTL is how long the last reported demand of an unreachable VM counts,
	// since the VM may still serve callers.
	peerDemandTTL = time.Minute
	// OutOfStepTime is how long after the last report in step two VMs are out of step, and how old a
	// report may be that the other one counts. It is a bit more than two intervals between reports, so
	// that one may be lost.
	OutOfStepTime = 1300 * time.Millisecond
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
	peers   map[string]*peer
	// reported is the sum of the last reports of all VMs in peers and of this one's own, which is
	// ownReport.
	reported, ownReport Demand
	// total is the last report of the demand of all VMs, nil if there was none.
	total *totalDemand
	// mostVMs is the largest number of VMs in a total since mostVMsAt.
	mostVMs   int
	mostVMsAt time.Duration
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

// Report is a report of another VM.
type Report struct {
	// Demand is that of the VM's callers.
	Demand Demand
	// Counted is the latest demand of this VM's own callers that the other VM counts. It was reported
	// CountedAge ago. It is nil if the other VM doesn't tell.
	Counted    Demand
	CountedAge time.Duration
}

// peer is what is known of another VM.
type peer struct {
	// demand and counted are from the last report.
	demand, counted Demand
	receivedAt      time.Duration
	// agreed is the last report in step, which arrived at inStepAt while the reports of all VMs added
	// up to agreedTotal. That is nil if the rates were divided by a total then.
	agreed      Report
	agreedTotal Demand
	inStepAt    time.Duration
}

func (p *peer) isInStep(now time.Duration) bool { return now-p.inStepAt <= OutOfStepTime }

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
	vmCount := float64(l.vmCount())
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
// of the rate. The caller must hold l.mu.
func (l *Limiter) shareFraction(workspace string, ownDemand, rate float64, now time.Duration) float64 {
	vmCount := l.vmCount()
	evenShare := rate / float64(vmCount)
	if l.usesTotal(now) {
		if now-l.total.receivedAt > freshTotalTime {
			ownDemand = min(ownDemand, l.total.own[workspace])
		}
		others := max(l.total.demand[workspace]-l.total.own[workspace], 0) + float64(max(vmCount-l.total.vmCount, 0))*max(evenShare, ownDemand)
		return min((ownDemand+evenFraction*evenShare)/(ownDemand+others+evenFraction*rate), 1)
	}
	ownDemand = min(ownDemand, l.countedByPeers(workspace, now))
	others, apart := l.divide(workspace, now)
	others.demand += float64(max(vmCount-1-len(l.peers), 0)) * max(evenShare, ownDemand)
	others.vms = vmCount - 1 - apart.vms
	even := evenFraction * evenShare
	share := min((ownDemand+even)/(ownDemand+others.demand+even*float64(others.vms+1)), 1)
	if apart.vms == 0 {
		return share
	}
	if others.vms == 0 && !math.IsInf(apart.ownCounted, 1) {
		apart.remaining = apart.ownCounted
	}
	kept := apart.remaining + even*float64(others.vms+1)
	return share * kept / (kept + apart.demand + even*float64(apart.vms))
}

// part is the demand of some VMs for a workspace.
type part struct {
	demand float64
	vms    int
	// remaining is the demand of all other VMs when the VMs fell out of step, ownCounted is what they
	// count of this VM's.
	remaining, ownCounted float64
}

// divide returns the other VMs' demand for a workspace, of those that are in step with this one and of
// those that aren't. The caller must hold l.mu.
func (l *Limiter) divide(workspace string, now time.Duration) (others, apart part) {
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
	return max(counted*uncountedGrowthFactor, counted+minUncountedGrowth)
}

// vmCount returns the number of VMs whose demand counts, including this one. The caller must hold l.mu.
func (l *Limiter) vmCount() int {
	n := max(l.VMCount(), len(l.peers)+1, 1)
	if l.Now()-l.mostVMsAt <= peerDemandTTL {
		n = max(n, l.mostVMs)
	}
	return n
}

// usesTotal reports whether the other VMs' demand follows from the reported total: while that is
// new, and later unless as many VMs are known from their own reports. The caller must hold l.mu.
func (l *Limiter) usesTotal(now time.Duration) bool {
	if l.total == nil {
		return false
	}
	age := now - l.total.receivedAt
	return age < totalTTL || age < peerDemandTTL && l.countInStep(now) < l.total.vmCount
}

// countInStep returns the number of VMs that are in step with this one, including it. The caller must
// hold l.mu.
func (l *Limiter) countInStep(now time.Duration) int {
	n := 1
	for _, p := range l.peers {
		if p.isInStep(now) {
			n++
		}
	}
	return n
}

// ObserveDemand records the report of another VM.
func (l *Limiter) ObserveDemand(vm string, r Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	p := l.peers[vm]
	if p == nil {
		p = &peer{}
		l.peers[vm] = p
	}
	l.replaceReport(p.demand, r.Demand)
	now := l.Now()
	p.demand, p.counted, p.receivedAt = r.Demand, r.Counted, now
	if r.Counted == nil || r.CountedAge <= OutOfStepTime {
		p.agreed, p.agreedTotal, p.inStepAt = r, nil, now
		if !l.usesTotal(now) {
			p.agreedTotal = maps.Clone(l.reported)
		}
	}
}

// init makes the maps. The caller must hold l.mu.
func (l *Limiter) init() {
	if l.peers == nil {
		l.peers, l.reported = map[string]*peer{}, Demand{}
	}
}

// replaceReport replaces a VM's report in l.reported. The caller must hold l.mu.
func (l *Limiter) replaceReport(before, after Demand) {
	for workspace, amount := range before {
		l.reported[workspace] -= amount
	}
	for workspace, amount := range after {
		l.reported[workspace] += amount
	}
}

// ObserveTotal records the demand of vmCount VMs together. own is the part of it that this VM has
// reported. From then on own counts in full for this VM's share, and later reports only when they
// are part of the total: the shares of all VMs that receive the same total never add up to more
// than the rate. A total of fewer than half of the VMs that were known lately is ignored: it is that of
// some that were cut off together.
func (l *Limiter) ObserveTotal(total Demand, vmCount int, own Demand) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	if vmCount >= l.mostVMs || now-l.mostVMsAt > peerDemandTTL {
		l.mostVMs, l.mostVMsAt = vmCount, now
	}
	if 2*vmCount < l.mostVMs {
		return
	}
	l.total = &totalDemand{demand: total, own: own, vmCount: vmCount, receivedAt: now}
	for workspace, b := range l.buckets {
		b.reportedDemand = own[workspace]
	}
}

// OutOfStep returns the names of the VMs that are out of step with this one, sorted, while rates are
// divided by the reports of single VMs.
func (l *Limiter) OutOfStep() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	if l.usesTotal(now) {
		return nil
	}
	var names []string
	for name, p := range l.peers {
		if !p.isInStep(now) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// RemovePeer removes the demand of a VM that has announced its shutdown.
func (l *Limiter) RemovePeer(vm string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removePeer(vm)
}

// removePeer forgets another VM, if it is known. The caller must hold l.mu.
func (l *Limiter) removePeer(vm string) {
	if p := l.peers[vm]; p != nil {
		l.replaceReport(p.demand, nil)
		delete(l.peers, vm)
	}
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
	l.init()
	l.replaceReport(l.ownReport, d)
	l.ownReport = d
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
