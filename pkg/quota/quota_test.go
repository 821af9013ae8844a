package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	rate  = 100.0
	burst = 100.0
	// tickInterval is the time step of the simulation.
	tickInterval = 10 * time.Millisecond
	// In every window, the admitted operations may exceed burst + rate x window by
	// relativeTolerance and absoluteTolerance.
	window            = 5 * time.Second
	relativeTolerance = 0.1
	absoluteTolerance = 20
)

// fleet is a simulated fleet of VMs that report their demand to each other.
type fleet struct {
	now      time.Duration
	limiters []*Limiter
	// isolated holds the VMs that neither send nor receive reports.
	isolated map[int]bool
	// sent has the last report of each VM, heard by receiver and sender the last that arrived.
	sent  []sentReport
	heard [][]sentReport
}

// sentReport is a report and when it was sent.
type sentReport struct {
	demand Demand
	at     time.Duration
}

func newFleet(n int) *fleet {
	f := &fleet{now: time.Hour, isolated: map[int]bool{}}
	for range n {
		f.limiters = append(f.limiters, &Limiter{Now: func() time.Duration { return f.now }, VMCount: func() int { return n }})
	}
	f.sent, f.heard = make([]sentReport, n), make([][]sentReport, n)
	for i := range n {
		f.heard[i] = make([]sentReport, n)
	}
	// VMs answer the first report of another one at once.
	f.exchangeDemand()
	f.exchangeDemand()
	return f
}

func (f *fleet) exchangeDemand() {
	for i := range f.limiters {
		f.report(i)
		for j := range f.limiters {
			if !f.isolated[i] && !f.isolated[j] {
				f.deliver(i, j, f.sent[i], f.heard[i][j])
			}
		}
	}
}

// report makes a VM's next report.
func (f *fleet) report(i int) { f.sent[i] = sentReport{f.limiters[i].ReportDemand(), f.now} }

// deliver delivers a report of VM i to VM j. counted is the report of VM j that VM i had last received.
func (f *fleet) deliver(i, j int, sent, counted sentReport) {
	if i == j {
		return
	}
	f.limiters[j].ObserveDemand(fmt.Sprint(i), Report{Demand: sent.demand, Counted: counted.demand, CountedAge: f.now - counted.at})
	f.heard[j][i] = sent
}

// load returns the demand of one VM's callers at the given time, in operations per second.
type load func(vm int, at time.Duration) float64

// runLoad simulates a load with reports at each heartbeat. It returns the times of the
// admitted operations, and how many were requested and refused from 3 s on.
func (f *fleet) runLoad(l load, length, heartbeatInterval time.Duration, r *rand.Rand) (admitted []time.Duration, requested, refused int) {
	startedAt := f.now
	for at := time.Duration(0); at < length; at += tickInterval {
		f.now = startedAt + at
		if at%heartbeatInterval == 0 {
			f.exchangeDemand()
		}
		for vm, limiter := range f.limiters {
			expected := l(vm, at) * tickInterval.Seconds()
			n := int(expected)
			if r.Float64() < expected-float64(n) {
				n++
			}
			for range n {
				_, ok := limiter.Admit("w", rate, burst)
				if ok {
					admitted = append(admitted, at)
				}
				if at >= 3*time.Second {
					requested++
					if !ok {
						refused++
					}
				}
			}
		}
	}
	return admitted, requested, refused
}

// runZones simulates a large fleet in three availability zones. Reports arrive at once in the
// VM's own zone and after a latency in the other zones. Reports are sent at each heartbeat, and early
// when demand has grown much.
func (f *fleet) runZones(l load, length time.Duration, r *rand.Rand) (admitted []time.Duration, refused int) {
	const heartbeatInterval, checkInterval, latency = 600 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond
	type inTransitReport struct {
		at   time.Duration
		from int
		sent sentReport
		// counted has the last reports that the sender had received.
		counted []sentReport
	}
	var inTransit []inTransitReport
	startedAt := f.now
	for at := time.Duration(0); at < length; at += tickInterval {
		f.now = startedAt + at
		for i, from := range f.limiters {
			if at%heartbeatInterval == 0 || at%checkInterval == 0 && from.NeedsEarlyReport() {
				f.report(i)
				for j := range f.limiters {
					if i%3 == j%3 {
						f.deliver(i, j, f.sent[i], f.heard[i][j])
					}
				}
				inTransit = append(inTransit, inTransitReport{at + latency, i, f.sent[i], slices.Clone(f.heard[i])})
			}
		}
		for len(inTransit) > 0 && inTransit[0].at <= at {
			for j := range f.limiters {
				if from := inTransit[0].from; j%3 != from%3 {
					f.deliver(from, j, inTransit[0].sent, inTransit[0].counted[j])
				}
			}
			inTransit = inTransit[1:]
		}
		for vm, limiter := range f.limiters {
			expected := l(vm, at) * tickInterval.Seconds()
			n := int(expected)
			if r.Float64() < expected-float64(n) {
				n++
			}
			for range n {
				if _, ok := limiter.Admit("w", rate, burst); ok {
					admitted = append(admitted, at)
				} else {
					refused++
				}
			}
		}
	}
	return admitted, refused
}

// In a large fleet, the demand for a large workspace suddenly grows to several times its usual
// value. The rate must not be exceeded.
func TestSurgeInLargeFleet(t *testing.T) {
	usualLoad := rate / 1.6
	allowed := int((rate*window.Seconds()+burst)*(1+relativeTolerance) + absoluteTolerance)
	for name, factor := range map[string]float64{"three times": 3.1, "eight times": 8} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				f := newFleet(89)
				r := rand.New(rand.NewPCG(seed, 2))
				admitted, _ := f.runZones(func(_ int, at time.Duration) float64 {
					if at < 5*time.Second {
						return usualLoad / 89
					}
					return factor * usualLoad / 89
				}, 12*time.Second, r)
				assert.Assert(t, maxInWindow(admitted) <= allowed, "%d admitted in a window, %d are allowed", maxInWindow(admitted), allowed)
			})
		}
	}
}

// The usual load in a large fleet must hardly ever be refused.
func TestUsualLoadInLargeFleet(t *testing.T) {
	f := newFleet(89)
	r := rand.New(rand.NewPCG(1, 2))
	admitted, refused := f.runZones(func(int, time.Duration) float64 { return rate / 1.6 / 89 }, 12*time.Second, r)
	assert.Assert(t, float64(refused) <= 0.02*float64(len(admitted)), "%d refused, %d admitted", refused, len(admitted))
}

// maxInWindow returns the largest number of operations admitted in any window.
func maxInWindow(admitted []time.Duration) int {
	largest, first := 0, 0
	for i, at := range admitted {
		for at-admitted[first] >= window {
			first++
		}
		largest = max(largest, i-first+1)
	}
	return largest
}

// unevenLoad divides a total load among nine VMs in decreasing parts.
func unevenLoad(total float64) func(vm int) float64 {
	return func(vm int) float64 { return total * float64(9-vm) / 45 }
}

func TestRate(t *testing.T) {
	usualLoad := rate / 1.6
	tests := map[string]struct {
		load     load
		isolated []int
		// maxRefusedFraction is the largest fraction of the requested operations that may be refused.
		maxRefusedFraction float64
	}{
		"usual load, spread unevenly": {load: func(vm int, _ time.Duration) float64 { return unevenLoad(usualLoad)(vm) }, maxRefusedFraction: 0.005},
		"all callers at one VM": {load: func(vm int, _ time.Duration) float64 {
			if vm == 0 {
				return usualLoad
			}
			return 0
		}, maxRefusedFraction: 0.005},
		"one workspace at 7.5 times its usual from 10 s on": {load: func(vm int, at time.Duration) float64 {
			if at < 10*time.Second {
				return unevenLoad(usualLoad)(vm)
			}
			return unevenLoad(7.5 * usualLoad)(vm)
		}, maxRefusedFraction: 1},
		"callers of three VMs move to the others": {load: func(vm int, at time.Duration) float64 {
			if at < 10*time.Second {
				return usualLoad / 9
			}
			if vm < 3 {
				return 0
			}
			return usualLoad / 6
		}, maxRefusedFraction: 0.02},
		"seven times the rate while two VMs are cut off": {load: func(vm int, _ time.Duration) float64 { return unevenLoad(7 * rate)(vm) }, isolated: []int{3, 7}, maxRefusedFraction: 1},
	}
	allowed := int((rate*window.Seconds()+burst)*(1+relativeTolerance) + absoluteTolerance)
	for name, test := range tests {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				f := newFleet(9)
				r := rand.New(rand.NewPCG(seed, 1))
				f.runLoad(test.load, time.Second, 600*time.Millisecond, r)
				for _, vm := range test.isolated {
					f.isolated[vm] = true
				}
				admitted, requested, refused := f.runLoad(test.load, 20*time.Second, 600*time.Millisecond, r)
				assert.Assert(t, maxInWindow(admitted) <= allowed, "%d admitted in a window, %d are allowed", maxInWindow(admitted), allowed)
				assert.Assert(t, float64(refused) <= test.maxRefusedFraction*float64(requested), "%d of %d refused", refused, requested)
			})
		}
	}
}

// A workspace whose demand exceeds its rate must still get its full rate.
func TestRateIsUsed(t *testing.T) {
	f := newFleet(9)
	r := rand.New(rand.NewPCG(1, 1))
	admitted, _, _ := f.runLoad(func(vm int, _ time.Duration) float64 { return unevenLoad(5 * rate)(vm) }, 20*time.Second, 600*time.Millisecond, r)
	assert.Assert(t, float64(len(admitted)) >= 0.97*rate*20, "%d operations admitted in 20 s at a rate of %v per second", len(admitted), rate)
}

// An operation that is retried after the wait that a refusal returned must be admitted if
// there are no other requests.
func TestRefusalReturnsAdmissionTime(t *testing.T) {
	f := newFleet(1)
	l := f.limiters[0]
	for {
		wait, ok := l.Admit("w", rate, burst)
		if ok {
			continue
		}
		f.now += wait
		_, ok = l.Admit("w", rate, burst)
		assert.Assert(t, ok, "operation refused again after %s", wait)
		return
	}
}

// A VM that starts in a running fleet must get an even share until it receives reports.
func TestStartsWithEvenShare(t *testing.T) {
	now := time.Hour
	l := &Limiter{Now: func() time.Duration { return now }, VMCount: func() int { return 9 }}
	admitted := 0
	for range 1000 {
		if _, ok := l.Admit("w", rate, burst); ok {
			admitted++
		}
	}
	assert.Assert(t, admitted <= int(burst), "%d operations admitted of a burst of %v over nine VMs", admitted, burst)
}

// A refunded token must be usable again, exactly once.
func TestRefund(t *testing.T) {
	l := newFleet(1).limiters[0]
	admitted := 0
	for {
		if _, ok := l.Admit("w", rate, burst); !ok {
			break
		}
		admitted++
	}
	l.Refund("w")
	_, ok := l.Admit("w", rate, burst)
	assert.Assert(t, ok)
	_, ok = l.Admit("w", rate, burst)
	assert.Assert(t, !ok, "second operation admitted after one refund, %d admitted before it", admitted)
}
