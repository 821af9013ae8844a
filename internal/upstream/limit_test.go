package upstream

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/savoryramp/savoryramp/internal/platform"
)

const (
	baselineTime    = 4 * time.Millisecond
	poolConnections = 8
)

// feedWindows adds responses of each workspace for at least two adjustments and returns
// the time of the last ones.
func (a *aimd) feedWindows(at time.Time, active int, durations map[platform.WorkspaceName]time.Duration) time.Time {
	for range 3 * aimdMinSamples {
		at = at.Add(aimdWindow / aimdMinSamples)
		for w, d := range durations {
			a.peak = active
			a.observe(responseTime{w, at, d}, active)
		}
	}
	return at
}

func TestAdaptiveLimitBySlowness(t *testing.T) {
	const slow = 10 * baselineTime
	tests := map[string]struct {
		took         map[platform.WorkspaceName]time.Duration
		wantDecrease bool
	}{
		"all slow":          {map[platform.WorkspaceName]time.Duration{"a": slow, "b": slow, "c": slow}, true},
		"the only one slow": {map[platform.WorkspaceName]time.Duration{"a": slow}, true},
		"one of three slow": {map[platform.WorkspaceName]time.Duration{"a": slow, "b": baselineTime, "c": baselineTime}, false},
		"one of two slow":   {map[platform.WorkspaceName]time.Duration{"a": slow, "b": baselineTime}, false},
		"at the tolerance":  {map[platform.WorkspaceName]time.Duration{"a": baselineTime * 2}, false},
		"no baseline yet":   {map[platform.WorkspaceName]time.Duration{"d": slow}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var a aimd
			at := a.feedWindows(time.Now(), poolConnections, map[platform.WorkspaceName]time.Duration{"a": baselineTime, "b": baselineTime, "c": baselineTime})
			a.feedWindows(at, poolConnections, test.took)
			assert.Equal(t, a.currentLimit() < poolConnections, test.wantDecrease, "limit %d", a.currentLimit())
		})
	}
}

// After any history the limit is at least one, and rises to the share once the server
// answers in baselineTime.
func TestAdaptiveLimitRecovers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a aimd
		at := time.Now()
		for range rapid.IntRange(1, 40).Draw(t, "windows") {
			took := map[platform.WorkspaceName]time.Duration{}
			for _, w := range []platform.WorkspaceName{"a", "b", "c"} {
				if rapid.Bool().Draw(t, "present") {
					took[w] = baselineTime * time.Duration(rapid.IntRange(1, 100).Draw(t, "slowness"))
				}
			}
			at = a.feedWindows(at, rapid.IntRange(0, poolConnections).Draw(t, "busy"), took)
			if a.currentLimit() < minLimit {
				t.Fatalf("limit %d", a.currentLimit())
			}
		}
		for range poolConnections {
			at = a.feedWindows(at, min(a.currentLimit(), poolConnections), map[platform.WorkspaceName]time.Duration{"a": baselineTime})
		}
		if a.currentLimit() < poolConnections {
			t.Fatalf("limit %d of %d", a.currentLimit(), poolConnections)
		}
	})
}

// The limit of a slow server falls to the number of its slots, and rises again when the
// server is fast.
func TestAdaptiveLimitFollowsServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSlowServer(2, baselineTime)
		p := &Pool{Dial: s.dial, Share: func() int { return poolConnections }, ConcurrencyLimit: AdaptiveLimit{}, MaxQueueLength: 100}
		runLoad(p, 2, time.Second)
		_, before := p.shareAndLimit()
		s.setServiceTime(20 * baselineTime)
		runLoad(p, 2*poolConnections, 10*time.Second)
		_, slow := p.shareAndLimit()
		s.setServiceTime(baselineTime)
		runLoad(p, 4, 10*time.Second)
		_, after := p.shareAndLimit()
		assert.Equal(t, before, poolConnections)
		assert.Assert(t, slow <= 2, "limit %d", slow)
		assert.Assert(t, after >= 4, "limit %d", after)
		p.close()
		s.tasks.Wait()
	})
}

// A connection that runs no statement doesn't count against the limit, and its next
// statement doesn't wait: an idle transaction, or a commit that waits for confirmation.
func TestIdlePhaseFreesConcurrencyLimit(t *testing.T) {
	for name, test := range map[string]struct {
		first string
		// idleDelay is the delay after which the idle connection is no longer counted.
		idleDelay time.Duration
		next      string
	}{
		"idle transaction":                          {"BEGIN", idleTransactionDelay, "COMMIT"},
		"commit waits for confirmation":             {"INSERT", 0, ""},
		"statement after the wait for confirmation": {"INSERT", 0, "INSERT"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSlowServer(2, baselineTime)
				p := &Pool{Dial: s.dial, Share: func() int { return poolConnections }, ConcurrencyLimit: AdaptiveLimit{}, MaxQueueLength: 100}
				p.aimd.limit = minLimit
				c, err := p.acquire(t.Context(), Request{Workspace: "a"})
				assert.NilError(t, err)
				_, err = c.Query(test.first, time.Now().Add(time.Second))
				assert.NilError(t, err)

				began := time.Now()
				assert.Assert(t, runStatement(t.Context(), p, "b"))
				assert.Equal(t, time.Since(began), test.idleDelay+baselineTime)
				if test.next != "" {
					began = time.Now()
					_, err = c.Query(test.next, began.Add(time.Second))
					assert.NilError(t, err)
					assert.Equal(t, time.Since(began), baselineTime)
				}
				c.Release(true)
				assert.Equal(t, p.idleTransactions, 0)
				_, limit := p.shareAndLimit()
				assert.Equal(t, limit, minLimit)
				p.close()
				s.tasks.Wait()
			})
		})
	}
}

// Only the response time of a whole autocommit statement is measured.
func TestTimedResponses(t *testing.T) {
	tests := map[string]struct {
		statements []string
		dirty      bool
		counted    int
	}{
		"autocommit":                 {[]string{"SELECT 1"}, false, 1},
		"followed by a status query": {[]string{"SELECT 1", "SELECT savoryramp_status()"}, false, 1},
		"transaction":                {[]string{"BEGIN", "SELECT 1", "COMMIT"}, false, 0},
		"failed":                     {[]string{failingStatement}, false, 0},
		"after the caller's SET":     {[]string{"SET a = b", "SELECT 1"}, true, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSlowServer(2, baselineTime)
				p := &Pool{Dial: s.dial, Share: func() int { return poolConnections }, ConcurrencyLimit: AdaptiveLimit{}, MaxQueueLength: 100}
				c, err := p.acquire(t.Context(), Request{Workspace: "a"})
				assert.NilError(t, err)
				c.Dirty = test.dirty
				for _, sql := range test.statements {
					time.Sleep(time.Second)
					_, _ = c.Query(sql, time.Now().Add(time.Second))
				}
				c.Release(true)
				assert.Equal(t, p.aimd.samples, test.counted)
				for _, w := range p.aimd.workspaces {
					assert.DeepEqual(t, w.window, []time.Duration{baselineTime})
				}
				assert.Equal(t, p.idleTransactions, 0)
				p.close()
				s.tasks.Wait()
			})
		})
	}
}

// The pools of three VMs together never have more connections to a server than its
// contract allows, and no pool has more in use than its share, whatever the server's
// speed.
func TestPoolsStayWithinConnectionContract(t *testing.T) {
	limits := map[string]ConcurrencyLimit{"fixed": FixedLimit{}, "adaptive": AdaptiveLimit{}}
	for name, limit := range limits {
		t.Run(name, func(t *testing.T) { checkConnectionBounds(t, limit) })
	}
}

// checkConnectionBounds loads three pools that share the units of one server, whose
// speed changes, and checks the bounds on connections with a given limit.
func checkConnectionBounds(t *testing.T, l ConcurrencyLimit) {
	rapid.Check(t, func(rt *rapid.T) {
		total := rapid.IntRange(3, 12).Draw(rt, "connections")
		slownesses := rapid.SliceOfN(rapid.IntRange(1, 50), 1, 3).Draw(rt, "slowness")
		callers := rapid.SliceOfN(rapid.IntRange(0, 12), 3, 3).Draw(rt, "callers")
		var s *slowServer
		units := &sharedUnits{free: total}
		maxExcess := 0
		synctest.Test(t, func(*testing.T) {
			s = newSlowServer(3, baselineTime)
			units.released = make(chan struct{})
			var pools []*Pool
			for range callers {
				pools = append(pools, &Pool{Dial: s.dial, Allowance: units, ConcurrencyLimit: l, MaxQueueLength: 100})
			}
			for _, slowness := range slownesses {
				s.setServiceTime(baselineTime * time.Duration(slowness))
				var vms sync.WaitGroup
				for i, p := range pools {
					vms.Go(func() { runLoad(p, callers[i], 300*time.Millisecond) })
				}
				vms.Wait()
				for _, p := range pools {
					share, limit := p.shareAndLimit()
					maxExcess = max(maxExcess, limit-share)
				}
			}
			for _, p := range pools {
				p.close()
			}
			s.tasks.Wait()
		})
		assert.Assert(rt, s.maxOpen <= total, "%d connections of %d", s.maxOpen, total)
		assert.Assert(rt, maxExcess <= 0, "the limit exceeds the share by %d", maxExcess)
		assert.Equal(rt, units.free, total)
	})
}

// Every request in a long queue is served while the limit is at its minimum.
func TestMinLimitMakesProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSlowServer(1, 10*baselineTime)
		p := &Pool{Dial: s.dial, Share: func() int { return poolConnections }, ConcurrencyLimit: AdaptiveLimit{}, MaxQueueLength: 100}
		p.aimd.limit = minLimit
		var waiters sync.WaitGroup
		for range 40 {
			waiters.Go(func() { assert.Check(t, runStatement(context.Background(), p, "a")) })
		}
		waiters.Wait()
		p.close()
		s.tasks.Wait()
	})
}
