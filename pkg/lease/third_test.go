package lease_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/pkg/lease"
)

// settle runs a as holder, b as successor, c and d as third members.
func (w *cluster) startAll(t *testing.T, group *sync.WaitGroup) (observers []*node) {
	for _, n := range w.nodes {
		w.startNode(t, n, group)
		w.advance(duration)
	}
	assert.Equal(t, w.holder(), lease.Name("a"))
	w.mutex.Lock()
	defer w.mutex.Unlock()
	assert.Equal(t, w.row.Successor.Name, lease.Name("b"))
	return w.nodes[2:]
}

func (w *cluster) stopAll(t *testing.T, group *sync.WaitGroup) {
	for _, n := range w.nodes {
		w.stopNode(n)
	}
	group.Wait()
	time.Sleep(10 * time.Second)
	assert.Equal(t, w.violation, "")
}

// A third member asks a holder that it hears of every Poll only, one whose heartbeats go
// to others every Duration, and takes over from two that are gone hardly later for it.
func TestObserverTakeoverTime(t *testing.T) {
	const step, poll = duration / 6, 6 * time.Second
	for name, c := range map[string]struct {
		anew bool
		hear heartbeatMode
		// later is how much later at most than without hearing.
		later time.Duration
	}{
		"both end":                                 {false, heartbeatRuns, heartbeatLag + step},
		"both start anew and can't write":          {true, heartbeatRuns, heartbeatLag + step},
		"the same within a process, nobody hears":  {true, heartbeatNames, poll + step},
		"both end, heartbeats go to others":        {false, heartbeatsElsewhere, duration + step},
		"both start anew, heartbeats go to others": {true, heartbeatsElsewhere, duration + step},
	} {
		t.Run(name, func(t *testing.T) {
			took := map[heartbeatMode]time.Duration{}
			for _, h := range []heartbeatMode{heartbeatsDisabled, c.hear} {
				synctest.Test(t, func(t *testing.T) { took[h] = measureTakeover(t, poll, h, c.anew) })
			}
			assert.Assert(t, took[c.hear] <= took[heartbeatsDisabled]+c.later, "%v in place of %v", took[c.hear], took[heartbeatsDisabled])
		})
	}
}

// takeOver gives how long after the end of holder and successor a third member holds.
func measureTakeover(t *testing.T, poll time.Duration, heartbeats heartbeatMode, restart bool) time.Duration {
	var group sync.WaitGroup
	w := newCluster(1, "a", "b", "c", "d")
	w.heartbeats, w.pollInterval = heartbeats, poll
	for _, n := range w.startAll(t, &group) {
		before := n.probes.Load()
		time.Sleep(10*w.pollInterval - w.pollInterval/3)
		probes := n.probes.Load() - before
		maxProbes := map[heartbeatMode]int64{heartbeatsDisabled: 1000, heartbeatsElsewhere: 60, heartbeatRuns: 10, heartbeatNames: 10}[heartbeats]
		assert.Assert(t, probes <= maxProbes, "%d questions in less than ten Polls", probes)
	}
	began := time.Now()
	for _, n := range w.nodes[:2] {
		w.stopNode(n)
		if restart {
			w.startNode(t, n, &group)
		}
	}
	w.mutex.Lock()
	w.swapHook = func(by lease.Name) (time.Duration, bool) {
		if by == "a" || by == "b" {
			return -1, false
		}
		return 0, false
	}
	w.mutex.Unlock()
	for w.holder() == "" && time.Since(began) < time.Minute {
		w.advance(time.Millisecond)
	}
	took := time.Since(began)
	assert.Assert(t, took < time.Minute)
	w.stopAll(t, &group)
	return took
}

// In an outage of the table third members read less and less often; the successor of a
// holder that ends meanwhile takes over once the outage is over.
func TestObserverReadsDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var group sync.WaitGroup
		w := newCluster(1, "a", "b", "c", "d")
		w.pollInterval = 30 * time.Second
		third := w.startAll(t, &group)
		out := func(on bool) {
			w.mutex.Lock()
			defer w.mutex.Unlock()
			w.tableDown = on
		}
		out(true)
		time.Sleep(time.Minute)
		assert.Equal(t, w.holder(), lease.Name("a"))
		before := []int64{third[0].reads.Load(), third[1].reads.Load()}
		time.Sleep(time.Minute)
		for i, n := range third {
			made := n.reads.Load() - before[i]
			assert.Assert(t, made >= 12 && made <= 25, "%s read %d times in a minute", n.name, made)
		}
		w.stopNode(w.nodes[0])
		time.Sleep(5 * time.Second)
		out(false)
		w.advance(time.Second)
		assert.Equal(t, w.holder(), lease.Name("b"))
		time.Sleep(5 * time.Second)
		for i, n := range third {
			before[i] = n.reads.Load()
		}
		time.Sleep(20 * time.Second)
		for i, n := range third {
			assert.Equal(t, n.reads.Load(), before[i], "%s reads on after the outage", n.name)
		}
		w.stopAll(t, &group)
	})
}
