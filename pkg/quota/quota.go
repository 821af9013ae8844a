// Package quota shares rates over VMs by demand.
//
// Each VM counts what its callers ask of each workspace and tells the others. A VM's part
// of a rate is its part of the demand, so the parts of all VMs add up to about the rate
// wherever callers are. What the parts may add up to beyond it, because VMs hear of each
// other late, has to fit the slack that the contract leaves.
package quota

import (
	"math"
	"sync"
	"time"
)

const (
	// demandMemory is over how long demand is averaged: short enough for a burst to be
	// seen within a few heartbeats, long enough for a few requests a second to count.
	demandMemory = time.Second
	// floorPart of a rate is dealt out evenly, whatever the demand, so that a VM whose
	// callers have just come isn't without.
	floorPart = 0.15
	// marginPart of a rate is given beyond it, for parts that other VMs don't use; it is
	// under a third of the tenth that contracts leave.
	marginPart = 0.03
	// growth is how much of a grown demand counts before the others have heard of it, and
	// growthLeast the same for a small one, in operations a second.
	growth      = 1.3
	growthLeast = 1.5
	// restlessTimes and restlessLeast, in operations a second, are the growth that can't wait
	// for the next beat: a little more than what counts before others have heard of it.
	restlessTimes = 1.5
	restlessLeast = 1.7
	// extraTokens, over all VMs, is half of the tolerance that contracts leave.
	extraTokens = 10
	// extraBurst of the burst is given beyond it, over all VMs: half of the tenth.
	extraBurst = 0.05
	// forgetAfter is when a silent VM's demand no longer counts: until then it may serve
	// callers although others don't hear it.
	forgetAfter = time.Minute
	// whole is what counts as a whole token, so that rounding doesn't make one late.
	whole = 1 - 1e-6
)

// Demand is operations a second by workspace.
type Demand map[string]float64

// Limiter admits operations at one VM. The exported fields are set before the first use.
type Limiter struct {
	// Now is a clock that also counts suspensions.
	Now func() time.Duration
	// Size counts the VMs, this one included.
	Size func() int

	mu      sync.Mutex
	buckets map[string]*bucket
	peers   map[string]peer
}

type peer struct {
	demand Demand
	// vms is for how many VMs the demand is.
	vms   int
	heard time.Duration
}

type bucket struct {
	tokens float64
	// last is when tokens and demand were brought up to date.
	last   time.Duration
	demand float64
	// told is the demand that the others were told last.
	told float64
}

// Admit counts one operation of a workspace with that rate (a second) and burst. If it is
// over this VM's part, wait is how long until one would be admitted.
func (l *Limiter) Admit(workspace string, rate, burst float64) (wait time.Duration, admitted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	b := l.bucket(workspace, now)
	b.demand += 1 / demandMemory.Seconds()
	part := l.part(workspace, b.counted(b.demand), rate, now)
	size := float64(max(l.Size(), 1))
	refill := part * rate * (1 + marginPart)
	ceiling := max(part*burst+(extraTokens+extraBurst*burst)/size, 1)
	if b.last == 0 {
		b.tokens = ceiling
	} else {
		b.tokens = min(b.tokens+refill*(now-b.last).Seconds(), ceiling)
	}
	b.last = now
	if b.tokens >= whole {
		b.tokens--
		return 0, true
	}
	return time.Duration(math.Ceil((1 - b.tokens) / refill * float64(time.Second))), false
}

// Refund takes an admission back whose operation wasn't run after all.
func (l *Limiter) Refund(workspace string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[workspace]; b != nil {
		b.tokens++
	}
}

// bucket gives the workspace's bucket with its demand brought up to date; l.mu is held.
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
	b.demand *= math.Exp(-(now - b.last).Seconds() / demandMemory.Seconds())
	return b
}

// part is this VM's part of a workspace's rate; l.mu is held. A VM that hasn't been heard
// of yet may ask as much as this one, at least an even part of the rate.
func (l *Limiter) part(workspace string, own, rate float64, now time.Duration) float64 {
	size := max(l.Size(), 1)
	others, heard := 0.0, 0
	for name, p := range l.peers {
		if now-p.heard > forgetAfter {
			delete(l.peers, name)
			continue
		}
		others += p.demand[workspace]
		heard += p.vms
	}
	even := rate / float64(size)
	others += float64(max(size-1-heard, 0)) * max(even, own)
	return min((own+floorPart*even)/(own+others+floorPart*rate), 1)
}

// Hear takes what another VM says its callers ask.
func (l *Limiter) Hear(vm string, d Demand) { l.HearSum(vm, d, 1) }

// HearSum takes what the callers of several VMs ask, under a name for them all.
func (l *Limiter) HearSum(vm string, d Demand, vms int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.peers == nil {
		l.peers = map[string]peer{}
	}
	l.peers[vm] = peer{demand: d, vms: vms, heard: l.Now()}
}

// Forget drops a VM that has said it ends.
func (l *Limiter) Forget(vm string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.peers, vm)
}

// worthTelling is the least demand that others are told of, in operations a second.
const worthTelling = 0.05

// Demand is what this VM's callers ask.
func (l *Limiter) Demand() Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	d := Demand{}
	for name, b := range l.buckets {
		faded := b.demand * math.Exp(-(now-b.last).Seconds()/demandMemory.Seconds())
		if faded >= worthTelling {
			d[name] = math.Round(faded*100) / 100
		}
	}
	return d
}

// Totals is what the callers of all VMs ask.
func (l *Limiter) Totals() Demand {
	d := l.Demand()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.peers {
		for workspace, one := range p.demand {
			d[workspace] += one
		}
	}
	return d
}

// Tell is Demand for the others; what is told now counts in full at this VM.
func (l *Limiter) Tell() Demand {
	d := l.Demand()
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, b := range l.buckets {
		b.told = d[name]
	}
	return d
}

// Restless tells whether some demand has grown so much since it was told that the others
// should hear of it before the next beat.
func (l *Limiter) Restless() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range l.buckets {
		if b.demand > max(b.told*restlessTimes, b.told+restlessLeast) {
			return true
		}
	}
	return false
}

// counted is what of a demand counts for this VM's part: others that haven't heard of the
// rest still take their own parts for larger.
func (b *bucket) counted(demand float64) float64 {
	return min(demand, max(b.told*growth, b.told+growthLeast))
}
