package schedule

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	slots = 4
	day   = 20 * time.Second
)

func names(prefix string, n int) []string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprint(prefix, i))
	}
	return list
}

// The classes of the requirements at one of 24 servers, at the rates of a busy primary.
func urgentKind() kind {
	return kind{class: Class{Route: 0}, workspaces: names("w", 20), perSecond: 60, work: 3 * time.Millisecond, objective: 100 * time.Millisecond, deadline: 800 * time.Millisecond, until: day}
}

func middleKind() kind {
	return kind{class: Class{Route: 1}, workspaces: names("w", 20), perSecond: 150, work: 9 * time.Millisecond, objective: 200 * time.Millisecond, deadline: 800 * time.Millisecond, until: day}
}

func leastKind() kind {
	return kind{class: Class{Route: 2}, workspaces: names("w", 20), perSecond: 60, work: 15 * time.Millisecond, objective: 600 * time.Millisecond, deadline: 1500 * time.Millisecond, until: day}
}

type namedKind struct {
	name string
	kind
}

func threeKinds() []namedKind {
	return []namedKind{{"urgent", urgentKind()}, {"middle", middleKind()}, {"least", leastKind()}}
}

func forSeeds(t *testing.T, test func(t *testing.T, seed uint64)) {
	t.Helper()
	for seed := range uint64(5) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { test(t, seed) })
	}
}

// A flood of less urgent requests, three times what the server can do, must not delay urgent ones.
func TestUrgentCallersBehindAFlood(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		s := newSimulation(seed, slots)
		flood := leastKind()
		flood.perSecond = 800
		s.add("urgent", urgentKind())
		s.add("flood", flood)
		s.run()
		urgent, rest := s.outcome("urgent"), s.outcome("flood")
		assert.Assert(t, float64(urgent.inTime) > 0.995*float64(urgent.arrived), "%+v", urgent)
		assert.Assert(t, s.maxInService <= slots)
		// The server isn't left idle, and what it can't serve is refused rather than timed out.
		assert.Assert(t, rest.served() > 0.25, "%+v", rest)
		assert.Assert(t, rest.timedOut == 0, "%+v", rest)
	})
}

// With a burst of twice the load, no class may be served worse than a less urgent one.
func TestClassesAtTwiceTheLoad(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		s := newSimulation(seed, slots)
		for _, k := range threeKinds() {
			k.perSecond *= 3
			s.add(k.name, k.kind)
		}
		s.run()
		inTime := func(name string) float64 {
			return float64(s.outcome(name).inTime) / float64(s.outcome(name).arrived)
		}
		assert.Assert(t, inTime("urgent") > 0.995, "%+v", s.outcome("urgent"))
		assert.Assert(t, inTime("urgent") >= inTime("middle") && inTime("middle") >= inTime("least"),
			"%.3f %.3f %.3f", inTime("urgent"), inTime("middle"), inTime("least"))
	})
}

// A workspace with as many requests as the server can do must not take the room of the others in
// its class.
func TestHotWorkspace(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		s := newSimulation(seed, slots)
		hot := middleKind()
		hot.workspaces, hot.perSecond = []string{"hot"}, 450
		s.add("others", middleKind())
		s.add("hot", hot)
		s.run()
		others, h := s.outcome("others"), s.outcome("hot")
		assert.Assert(t, float64(others.inTime) > 0.99*float64(others.arrived), "%+v", others)
		assert.Assert(t, h.served() > 0.5, "%+v", h)
		assert.Assert(t, h.timedOut == 0, "%+v", h)
	})
}

// A workspace whose statements take longer pays for the time, not for their number.
func TestWorkspaceWithLongStatements(t *testing.T) {
	s := newSimulation(1, slots)
	long, short := middleKind(), middleKind()
	long.workspaces, long.work, long.perSecond = []string{"long"}, 40*time.Millisecond, 120
	short.workspaces, short.perSecond = []string{"short"}, 400
	s.add("long", long)
	s.add("short", short)
	s.run()
	// Both ask for more than half of the server. Half of it is 222 short or 50 long statements.
	shortRate := float64(s.outcome("short").inTime+s.outcome("short").late) / day.Seconds()
	longRate := float64(s.outcome("long").inTime+s.outcome("long").late) / day.Seconds()
	assert.Assert(t, shortRate > 0.8*222, "%.0f a second", shortRate)
	assert.Assert(t, longRate > 0.6*50, "%.0f a second", longRate)
}

// Callers that were refused in a burst come back when they are told. They must not come back
// together, must not be refused again, and must find their place before newer requests.
func TestRetryStorm(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		s := newSimulation(seed, slots)
		calm, burst := middleKind(), middleKind()
		calm.perSecond, calm.returns, calm.until = 250, true, 8*time.Second
		burst.perSecond, burst.returns, burst.from, burst.until = 1200, true, 2*time.Second, 3*time.Second
		s.add("calm", calm)
		s.add("burst", burst)
		s.run()
		total := *s.outcome("burst")
		assert.Assert(t, total.refused > 100, "the burst isn't refused: %+v", total)
		assert.Assert(t, float64(total.returnedServed) > 0.95*float64(total.returned), "%+v", total)
		// The server serves 44 statements in 100 ms. As many are told to return, twice as many where
		// times that were given out before maxRetryAfter was reached overlap with later ones.
		slices.Sort(s.returns)
		for i := range s.returns {
			n := 0
			for n < len(s.returns)-i && s.returns[i+n] < s.returns[i]+100*time.Millisecond {
				n++
			}
			assert.Assert(t, n <= 96, "%d callers return within 100 ms from %s on", n, s.returns[i])
		}
	})
}

// After all VMs were killed, all callers are back at once and no connection is open. Urgent ones
// must be served within a second, all within two, and nobody may wait to the deadline.
func TestStartAfterAllVMsWereKilled(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		s := newSimulation(seed, slots)
		s.opening = 12 * time.Millisecond
		for _, k := range threeKinds() {
			k.until, k.returns = 3*time.Second, true
			// What arrived in the second before comes at once, and goes on.
			for range int(k.perSecond) {
				s.arriveAt(0, k.name, k.kind)
			}
			s.add(k.name, k.kind)
		}
		s.run()
		for name, deadline := range map[string]time.Duration{"urgent": time.Second, "middle": 2 * time.Second, "least": 2 * time.Second} {
			o := s.outcome(name)
			assert.Equal(t, o.timedOut, 0, "%s: %+v", name, o)
			assert.Assert(t, o.longestWait < deadline, "%s: %+v", name, o)
		}
		urgent := s.outcome("urgent")
		assert.Equal(t, urgent.inTime+urgent.late, urgent.arrived, "%+v", urgent)
		for _, name := range []string{"middle", "least"} {
			o := s.outcome(name)
			assert.Assert(t, o.inTime+o.late >= 95*(o.arrived-o.returned)/100, "%s: %+v", name, o)
		}
	})
}

// More urgent work than the server can do must not starve the least urgent class.
func TestLeastUrgentClassIsNotStarved(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		s := newSimulation(seed, slots)
		urgent, least := urgentKind(), leastKind()
		urgent.perSecond, least.perSecond = 2500, 8
		s.add("urgent", urgent)
		s.add("least", least)
		s.run()
		assert.Assert(t, s.outcome("least").served() > 0.9, "%+v", s.outcome("least"))
		assert.Assert(t, s.outcome("urgent").served() > 0.45, "%+v", s.outcome("urgent"))
	})
}

// When the limit falls, what is in service ends, nothing begins above the new limit, and what can
// no longer be served in time is refused.
func TestLimitFalls(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		s := newSimulation(seed, slots)
		k := middleKind()
		k.perSecond = 400
		s.add("callers", k)
		s.at(5*time.Second, func() {
			before := s.queue.inService
			s.queue.SetLimit(1)
			assert.Equal(t, s.queue.inService, before)
		})
		s.at(6*time.Second, func() { s.maxInService = 0 })
		s.run()
		assert.Equal(t, s.maxInService, 1)
		o := s.outcome("callers")
		assert.Equal(t, o.timedOut, 0, "%+v", o)
		assert.Assert(t, o.longestWait < k.deadline+3*k.work, "%+v", o)
	})
}
