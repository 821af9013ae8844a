package lease_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/pkg/lease"
)

// startAll starts node a as holder, b as successor, and c and d as observers. It returns the
// observers.
func (c *cluster) startAll(t *testing.T, group *sync.WaitGroup) (observers []*node) {
	for _, n := range c.nodes {
		c.startNode(t, n, group)
		c.advance(leaseDuration)
	}
	assert.Equal(t, c.holder(), lease.Name("a"))
	c.mutex.Lock()
	defer c.mutex.Unlock()
	assert.Equal(t, c.row.Successor.Name, lease.Name("b"))
	return c.nodes[2:]
}

// stopAll stops all nodes and checks that there never were two holders.
func (c *cluster) stopAll(t *testing.T, group *sync.WaitGroup) {
	for _, n := range c.nodes {
		c.stopNode(n)
	}
	group.Wait()
	time.Sleep(10 * time.Second)
	assert.Equal(t, c.violation, "")
}

// TestObserverTakeoverTime checks that heartbeats save an observer probes without delaying
// its takeover much. The observer probes a holder once per PollInterval if it receives the
// holder's heartbeats, and once per Duration if these go to other members only.
func TestObserverTakeoverTime(t *testing.T) {
	const step, poll = leaseDuration / 6, 6 * time.Second
	for name, c := range map[string]struct {
		restart    bool
		heartbeats heartbeatMode
		// maxExtra is the maximum additional time compared with a cluster without heartbeats.
		maxExtra time.Duration
	}{
		"both end":                               {false, heartbeatRuns, heartbeatLag + step},
		"both restart and can't write":           {true, heartbeatRuns, heartbeatLag + step},
		"both restart without a visible new run": {true, heartbeatNames, poll + step},
		"both end, heartbeats go elsewhere":      {false, heartbeatsElsewhere, leaseDuration + step},
		"both restart, heartbeats go elsewhere":  {true, heartbeatsElsewhere, leaseDuration + step},
	} {
		t.Run(name, func(t *testing.T) {
			took := map[heartbeatMode]time.Duration{}
			for _, h := range []heartbeatMode{heartbeatsDisabled, c.heartbeats} {
				synctest.Test(t, func(t *testing.T) { took[h] = measureTakeover(t, poll, h, c.restart) })
			}
			assert.Assert(t, took[c.heartbeats] <= took[heartbeatsDisabled]+c.maxExtra, "takeover took %v, without heartbeats %v", took[c.heartbeats], took[heartbeatsDisabled])
		})
	}
}

// measureTakeover returns the time from the end of holder and successor until an observer
// holds the lease. If restart is set, holder and successor are restarted at once. Neither
// can write the row after its end.
func measureTakeover(t *testing.T, poll time.Duration, heartbeats heartbeatMode, restart bool) time.Duration {
	var group sync.WaitGroup
	c := newCluster(1, "a", "b", "c", "d")
	c.heartbeats, c.pollInterval = heartbeats, poll
	for _, n := range c.startAll(t, &group) {
		before := n.probes.Load()
		time.Sleep(10*c.pollInterval - c.pollInterval/3)
		probes := n.probes.Load() - before
		maxProbes := map[heartbeatMode]int64{heartbeatsDisabled: 1000, heartbeatsElsewhere: 60, heartbeatRuns: 10, heartbeatNames: 10}[heartbeats]
		assert.Assert(t, probes <= maxProbes, "%d probes in less than ten poll intervals", probes)
	}
	startedAt := time.Now()
	for _, n := range c.nodes[:2] {
		c.stopNode(n)
		if restart {
			c.startNode(t, n, &group)
		}
	}
	c.mutex.Lock()
	c.swapHook = func(by lease.Name) (time.Duration, bool) {
		if by == "a" || by == "b" {
			return -1, false
		}
		return 0, false
	}
	c.mutex.Unlock()
	for c.holder() == "" && time.Since(startedAt) < time.Minute {
		c.advance(time.Millisecond)
	}
	took := time.Since(startedAt)
	assert.Assert(t, took < time.Minute)
	c.stopAll(t, &group)
	return took
}

// TestObserverReadsDuringOutage checks that observers read the row less and less often
// during a table outage, and that the successor takes over after the outage if the holder
// ended during it.
func TestObserverReadsDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var group sync.WaitGroup
		c := newCluster(1, "a", "b", "c", "d")
		c.pollInterval = 30 * time.Second
		observers := c.startAll(t, &group)
		setTableDown := func(on bool) {
			c.mutex.Lock()
			defer c.mutex.Unlock()
			c.tableDown = on
		}
		setTableDown(true)
		time.Sleep(time.Minute)
		assert.Equal(t, c.holder(), lease.Name("a"))
		before := []int64{observers[0].reads.Load(), observers[1].reads.Load()}
		time.Sleep(time.Minute)
		for i, n := range observers {
			reads := n.reads.Load() - before[i]
			assert.Assert(t, reads >= 12 && reads <= 25, "%s read %d times in a minute", n.name, reads)
		}
		c.stopNode(c.nodes[0])
		time.Sleep(5 * time.Second)
		setTableDown(false)
		c.advance(time.Second)
		assert.Equal(t, c.holder(), lease.Name("b"))
		time.Sleep(5 * time.Second)
		for i, n := range observers {
			before[i] = n.reads.Load()
		}
		time.Sleep(20 * time.Second)
		for i, n := range observers {
			assert.Equal(t, n.reads.Load(), before[i], "%s still reads after the outage", n.name)
		}
		c.stopAll(t, &group)
	})
}
