package contract_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/savoryramp/savoryramp/pkg/contract"
)

const workspaceContract = contract.Name("workspace/zakat")

// event is a fault or recovery that occurs some time after the preceding event. The kinds
// are:
//   - "kill" ends a VM's process, "start" restarts it.
//   - "pause" suspends a VM, "resume" ends that, and "nap" suspends it for a while.
//   - "cut" isolates a VM from the other VMs and the table, "join" ends that.
//   - "lead" gives a VM the leadership, "follow" takes it away.
//   - "outage" makes the table unavailable, "heal" ends that.
//   - "lose-answers" switches the loss of the table's responses to writes on or off.
//   - "quiet" changes nothing; only its delay passes.
type event struct {
	delay time.Duration
	kind  string
	vm    int
}

// scenario describes a simulation of a fleet with load and faults.
type scenario struct {
	seed     uint64
	size     int
	rate     float64
	burst    contract.Tokens
	load     float64
	lossRate float64
	events   []event
}

func drawScenario(t *rapid.T) scenario {
	s := scenario{
		seed:     rapid.Uint64().Draw(t, "seed"),
		size:     rapid.IntRange(2, 6).Draw(t, "size"),
		rate:     float64(rapid.IntRange(5, 100).Draw(t, "rate")),
		burst:    contract.Tokens(rapid.IntRange(1, 60).Draw(t, "burst")),
		load:     rapid.Float64Range(0.5, 3).Draw(t, "load"),
		lossRate: rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "loss"),
	}
	kinds := []string{"kill", "start", "nap", "nap", "pause", "resume", "cut", "join", "lead", "follow", "outage", "heal", "lose-answers", "quiet"}
	for range rapid.IntRange(0, 14).Draw(t, "happenings") {
		s.events = append(s.events, event{
			delay: time.Duration(rapid.IntRange(0, 9000).Draw(t, "after")) * time.Millisecond,
			kind:  rapid.SampledFrom(kinds).Draw(t, "what"),
			vm:    rapid.IntRange(0, s.size-1).Draw(t, "vm"),
		})
	}
	return s
}

// run simulates the scenario and returns the fleet's history.
func (s scenario) run() *history {
	limits := map[contract.Name]contract.Limit{workspaceContract: contract.Rate{PerSecond: s.rate, Burst: s.burst}}
	f := newFleet(s.seed, s.size, limits)
	f.lossRate = s.lossRate
	f.startAll(0)
	h := &history{}
	quit := make(chan struct{})
	var work sync.WaitGroup
	work.Go(func() { f.generateLoad(h, s.rate*s.load, quit) })
	time.Sleep(2 * time.Second)
	for _, e := range s.events {
		time.Sleep(e.delay)
		f.applyEvent(e)
	}
	time.Sleep(5 * time.Second)
	close(quit)
	for i := range f.vms {
		f.resume(i)
	}
	work.Wait()
	f.stopAll()
	return h
}

func (f *fleet) applyEvent(e event) {
	v := f.vms[e.vm]
	switch e.kind {
	case "kill":
		f.kill(e.vm)
	case "start":
		f.kill(e.vm)
		f.start(e.vm)
	case "pause":
		f.resume(e.vm)
		f.pause(e.vm)
	case "nap":
		f.resume(e.vm)
		f.pause(e.vm)
		time.AfterFunc(e.delay/2+time.Second, func() { f.resume(e.vm) })
	case "resume":
		f.resume(e.vm)
	case "cut", "join":
		f.mu.Lock()
		v.isolated = e.kind == "cut"
		f.mu.Unlock()
	case "lead", "follow":
		f.mu.Lock()
		v.leader = e.kind == "lead"
		f.mu.Unlock()
	case "outage", "heal":
		f.table.mu.Lock()
		f.table.unavailable = e.kind == "outage"
		f.table.mu.Unlock()
	case "lose-answers":
		f.table.mu.Lock()
		f.table.loseReplies = !f.table.loseReplies
		f.table.mu.Unlock()
	}
}

// generateLoad sends requests at random times, most of them to a preferred VM that changes
// from time to time, until quit is closed.
func (f *fleet) generateLoad(h *history, rate float64, quit chan struct{}) {
	var requests sync.WaitGroup
	preferred, until := 0, time.Now()
	for {
		f.mu.Lock()
		gap := f.random.ExpFloat64() / rate
		if time.Now().After(until) {
			preferred = f.random.IntN(len(f.vms))
			until = time.Now().Add(time.Duration(f.random.IntN(4000)) * time.Millisecond)
		}
		target := preferred
		if f.random.Float64() < 0.3 {
			target = f.random.IntN(len(f.vms))
		}
		target = f.routeRequest(target)
		f.mu.Unlock()
		select {
		case <-quit:
			requests.Wait()
			return
		case <-time.After(time.Duration(gap * float64(time.Second))):
		}
		requests.Go(func() { f.request(h, target, workspaceContract) })
	}
}

// routeRequest selects a running VM, as a load balancer would, and occasionally a paused one.
func (f *fleet) routeRequest(preferred int) int {
	for i := range f.vms {
		n := (preferred + i) % len(f.vms)
		paused := false
		select {
		case <-f.vms[n].running:
		default:
			paused = f.random.Float64() < 0.9
		}
		if f.vms[n].alive && !paused {
			return n
		}
	}
	return preferred
}

func TestNoWindowExceedsLimit(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := drawScenario(r)
		var h *history
		synctest.Test(t, func(*testing.T) { h = s.run() })
		if over := h.maxOverrun(s.rate, float64(s.burst)); over > 1e-6 {
			r.Fatalf("a window exceeds burst and rate by %.3f requests (%d admitted)", over, len(h.admitted))
		}
	})
}

func TestDemandBelowRateIsAdmitted(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		size := rapid.IntRange(2, 9).Draw(r, "size")
		rate := float64(rapid.IntRange(30, 200).Draw(r, "rate"))
		burst := contract.Tokens(rapid.IntRange(20, 60).Draw(r, "burst"))
		var h *history
		synctest.Test(t, func(*testing.T) {
			s := scenario{seed: seed, size: size, rate: rate, burst: burst, load: 0.8}
			for range 4 {
				s.events = append(s.events, event{delay: 5 * time.Second, kind: "quiet"})
			}
			h = s.run()
		})
		start := h.admitted[0].Add(3 * time.Second)
		for _, at := range h.refused {
			if at.After(start) {
				r.Fatalf("request refused %v after the start, %d refused in total, %d admitted", at.Sub(start), len(h.refused), len(h.admitted))
			}
		}
	})
}

func TestFaults(t *testing.T) {
	const second = time.Second
	for title, c := range map[string]struct {
		events []event
		// minFraction is the fraction of the rate that must be admitted in every window, unless
		// connected VMs admit all their requests. Requests to a VM that is cut off for
		// longer than the validity can't be admitted and may be the larger part of the demand.
		minFraction float64
	}{
		"no fault":                    {[]event{{15 * second, "quiet", 0}}, 0.9},
		"paused within the validity":  {[]event{{8 * second, "pause", 1}, {4 * second, "resume", 1}}, 0.6},
		"paused past the validity":    {[]event{{8 * second, "pause", 1}, {9 * second, "resume", 1}}, 0.6},
		"died":                        {[]event{{8 * second, "kill", 1}, {9 * second, "quiet", 0}}, 0.6},
		"cut off with its callers":    {[]event{{8 * second, "cut", 1}, {14 * second, "join", 1}}, 0.5},
		"restarted":                   {[]event{{8 * second, "start", 1}, {3 * second, "start", 2}}, 0.5},
		"two allocators":              {[]event{{5 * second, "lead", 1}, {2 * second, "kill", 3}}, 0.6},
		"allocator died in an outage": {[]event{{5 * second, "outage", 0}, {second, "kill", 0}, {20 * second, "quiet", 0}}, 0.6},
		"outage with a lost answer":   {[]event{{5 * second, "lose-answers", 0}, {0, "start", 2}, {second, "outage", 0}, {9 * second, "heal", 0}}, 0.5},
		"most died, table reachable":  {[]event{{8 * second, "kill", 1}, {0, "kill", 2}, {0, "kill", 3}, {20 * second, "quiet", 0}}, 0.15},
	} {
		t.Run(title, func(t *testing.T) {
			s := scenario{seed: 3, size: 5, rate: 100, burst: 50, load: 2, events: c.events}
			var h *history
			synctest.Test(t, func(*testing.T) { h = s.run() })
			over := h.maxOverrun(s.rate, float64(s.burst))
			assert.Assert(t, over <= 1e-6, "limit exceeded by %.3f", over)
			minRate, missed := h.minThroughput(5*second, 3*second, c.minFraction*s.rate)
			t.Logf("lowest throughput over 3 s: %.0f%% of the rate", 100*minRate/s.rate)
			assert.Assert(t, missed == 0, "%.2f of the rate admitted, %d requests not admitted at connected VMs", minRate/s.rate, missed)
		})
	}
}
