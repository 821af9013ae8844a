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
func (w *world) settle(t *testing.T, group *sync.WaitGroup) (third []*node) {
	for _, n := range w.nodes {
		w.run(t, n, group)
		w.watchFor(duration)
	}
	assert.Equal(t, w.holder(), lease.Name("a"))
	w.mutex.Lock()
	defer w.mutex.Unlock()
	assert.Equal(t, w.row.Successor.Name, lease.Name("b"))
	return w.nodes[2:]
}

func (w *world) end(t *testing.T, group *sync.WaitGroup) {
	for _, n := range w.nodes {
		w.stop(n)
	}
	group.Wait()
	time.Sleep(10 * time.Second)
	assert.Equal(t, w.both, "")
}

// A third member asks a holder that it hears of every Poll only, one whose heartbeats go
// to others every Duration, and takes over from two that are gone hardly later for it.
func TestThirdMemberHears(t *testing.T) {
	const step, poll = duration / 6, 6 * time.Second
	for name, c := range map[string]struct {
		anew bool
		hear hearing
		// later is how much later at most than without hearing.
		later time.Duration
	}{
		"both end":                                 {false, processes, heardLate + step},
		"both start anew and can't write":          {true, processes, heardLate + step},
		"the same within a process, nobody hears":  {true, names, poll + step},
		"both end, heartbeats go to others":        {false, nobody, duration + step},
		"both start anew, heartbeats go to others": {true, nobody, duration + step},
	} {
		t.Run(name, func(t *testing.T) {
			took := map[hearing]time.Duration{}
			for _, h := range []hearing{nothing, c.hear} {
				synctest.Test(t, func(t *testing.T) { took[h] = takeOver(t, poll, h, c.anew) })
			}
			assert.Assert(t, took[c.hear] <= took[nothing]+c.later, "%v in place of %v", took[c.hear], took[nothing])
		})
	}
}

// takeOver gives how long after the end of holder and successor a third member holds.
func takeOver(t *testing.T, poll time.Duration, h hearing, anew bool) time.Duration {
	var group sync.WaitGroup
	w := newWorld(1, "a", "b", "c", "d")
	w.hear, w.poll = h, poll
	for _, n := range w.settle(t, &group) {
		before := n.probes.Load()
		time.Sleep(10*w.poll - w.poll/3)
		asked := n.probes.Load() - before
		most := map[hearing]int64{nothing: 1000, nobody: 60, processes: 10, names: 10}[h]
		assert.Assert(t, asked <= most, "%d questions in less than ten Polls", asked)
	}
	began := time.Now()
	for _, n := range w.nodes[:2] {
		w.stop(n)
		if anew {
			w.run(t, n, &group)
		}
	}
	w.mutex.Lock()
	w.hook = func(by lease.Name) (time.Duration, bool) {
		if by == "a" || by == "b" {
			return -1, false
		}
		return 0, false
	}
	w.mutex.Unlock()
	for w.holder() == "" && time.Since(began) < time.Minute {
		w.watchFor(time.Millisecond)
	}
	took := time.Since(began)
	assert.Assert(t, took < time.Minute)
	w.end(t, &group)
	return took
}

// In an outage of the table third members read less and less often; the successor of a
// holder that ends meanwhile takes over once the outage is over.
func TestReadingsInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var group sync.WaitGroup
		w := newWorld(1, "a", "b", "c", "d")
		w.poll = 30 * time.Second
		third := w.settle(t, &group)
		out := func(on bool) {
			w.mutex.Lock()
			defer w.mutex.Unlock()
			w.out = on
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
		w.stop(w.nodes[0])
		time.Sleep(5 * time.Second)
		out(false)
		w.watchFor(time.Second)
		assert.Equal(t, w.holder(), lease.Name("b"))
		time.Sleep(5 * time.Second)
		for i, n := range third {
			before[i] = n.reads.Load()
		}
		time.Sleep(20 * time.Second)
		for i, n := range third {
			assert.Equal(t, n.reads.Load(), before[i], "%s reads on after the outage", n.name)
		}
		w.end(t, &group)
	})
}
