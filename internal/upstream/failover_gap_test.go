package upstream_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/fakenet"
	"github.com/savoryramp/savoryramp/internal/fakeplatform"
	"github.com/savoryramp/savoryramp/internal/fakeupstream"
	"github.com/savoryramp/savoryramp/internal/platform"
)

var (
	seeds     = flag.Int("failover-seeds", 1, "runs of each case of the failover tests")
	firstSeed = flag.Uint64("failover-first-seed", 1, "the first of their seeds")
	logged    = flag.Bool("failover-log", false, "print the VMs' events")
	atOnce    = flag.Int("failover-at-once", 4, "runs at once")
)

const (
	// gapTarget bounds the 99th percentile of the gap, gapBound every gap.
	gapTarget = 2 * time.Second
	gapBound  = 10 * time.Second
	// never is reported for a gap that didn't end in the run.
	never = 15 * time.Second
)

type state func(*rig)

var primaryFaults = map[string]state{
	"killed":  func(r *rig) { r.primary().Kill(0) },
	"cut off": func(r *rig) { r.primary().Cut(true) },
	"frozen":  func(r *rig) { r.primary().Freeze(true) },
}

var platformStates = map[string]state{
	"up":   func(*rig) {},
	"down": func(r *rig) { r.platform.SetFaults(fakeplatform.Fault{Kind: fakeplatform.Down}) },
	"slow by 400 ms": func(r *rig) {
		r.platform.SetFaults(fakeplatform.Fault{Kind: fakeplatform.Slow, Delay: 400 * time.Millisecond})
	},
	"slow by 2 s": func(r *rig) {
		r.platform.SetFaults(fakeplatform.Fault{Kind: fakeplatform.Slow, Delay: 2 * time.Second})
	},
	"losing answers": func(r *rig) { r.platform.SetFaults(fakeplatform.Fault{Kind: fakeplatform.LostAnswer}) },
}

// result of one run of a case.
type result struct {
	gap              time.Duration
	refused, unknown int
	moved            bool
	// terms that had a primary.
	terms int
	wrong string
}

// gapRun breaks something under writers and waits for a write acknowledged elsewhere.
func gapRun(t *testing.T, seed uint64, prepare func(*rig), fault state, watch time.Duration) (out result) {
	synctest.Test(t, func(*testing.T) {
		r := newRig(prepare)
		defer r.stop()
		random := rand.New(rand.NewPCG(seed, seed))
		r.spread(random)
		ctx, stop := context.WithCancel(r.ctx)
		for c := range 3 {
			r.tasks.Go(func() { r.work(ctx, c, 90*time.Millisecond) })
			time.Sleep(30 * time.Millisecond)
		}
		time.Sleep(100*time.Millisecond + time.Duration(random.IntN(500))*time.Millisecond)
		old := r.primary()
		at := time.Now()
		fault(r)
		var first time.Time
		for time.Since(at) < watch && first.IsZero() {
			time.Sleep(5 * time.Millisecond)
			first = r.acknowledgedAfter(at, platform.ServerName(old.Name))
		}
		out.moved, out.gap = !first.IsZero(), never
		if out.moved {
			out.gap = first.Sub(at)
			time.Sleep(300 * time.Millisecond)
		}
		out.terms = r.terms()
		stop()
		time.Sleep(3 * time.Second)
		out.wrong = r.check()
		for _, w := range r.writes {
			if w.end.After(at) && w.outcome == refused {
				out.refused++
			}
			if w.end.After(at) && w.outcome == unknown {
				out.unknown++
			}
		}
	})
	return out
}

// runs gives the results of all seeds of a case.
func runs(t *testing.T, run func(seed uint64) result) []result {
	results := make([]result, *seeds)
	var tasks sync.WaitGroup
	room := make(chan struct{}, *atOnce)
	for i := range results {
		room <- struct{}{}
		tasks.Go(func() {
			results[i] = run(*firstSeed + uint64(i))
			<-room
		})
	}
	tasks.Wait()
	for i, r := range results {
		if r.wrong != "" {
			t.Errorf("seed %d: %s", *firstSeed+uint64(i), r.wrong)
		}
	}
	return results
}

// gaps gives median, 99th percentile and worst.
func gaps(results []result) (median, high, worst time.Duration) {
	var all []time.Duration
	for _, r := range results {
		all = append(all, r.gap)
	}
	slices.Sort(all)
	n := len(all)
	return all[n/2], all[(n*99+99)/100-1], all[n-1]
}

func totals(results []result) (moved, refused, unknown int) {
	for _, r := range results {
		if r.moved {
			moved++
		}
		refused += r.refused
		unknown += r.unknown
	}
	return moved, refused, unknown
}

// TestFailoverGap measures the time from a fault of the primary to the first write
// acknowledged by another server.
func TestFailoverGap(t *testing.T) {
	t.Parallel()
	var table strings.Builder
	fmt.Fprintf(&table, "\n%-28s %-16s %5s %8s %8s %8s %8s %8s\n", "primary", "platform", "runs", "median", "p99", "worst", "refused", "unknown")
	row := func(primary, platform string, results []result) {
		median, high, worst := gaps(results)
		_, refused, unknown := totals(results)
		fmt.Fprintf(&table, "%-28s %-16s %5d %8s %8s %8s %8d %8d\n", primary, platform, len(results),
			median.Round(time.Millisecond), high.Round(time.Millisecond), worst.Round(time.Millisecond), refused, unknown)
		assert.Check(t, high <= gapTarget, "%s, platform %s: p99 %s", primary, platform, high)
		assert.Check(t, worst <= gapBound, "%s, platform %s: worst %s", primary, platform, worst)
		if primary != "cut off" {
			assert.Check(t, refused == 0, "%s, platform %s: %d writes were refused", primary, platform, refused)
		}
	}
	states := []string{"down"}
	if *seeds > 1 {
		states = []string{"up", "down", "slow by 400 ms", "slow by 2 s", "losing answers"}
	}
	for _, primary := range []string{"killed", "cut off", "frozen"} {
		for _, platform := range states {
			row(primary, platform, runs(t, func(seed uint64) result {
				return gapRun(t, seed, nil, func(r *rig) {
					platformStates[platform](r)
					primaryFaults[primary](r)
				}, never)
			}))
		}
	}
	row("planned hand-over", "up", runs(t, func(seed uint64) result { return gapRun(t, seed, nil, leavePrimary, never) }))
	fmt.Fprintln(&table, "with the VM that holds the group's lease:")
	for _, primary := range []string{"killed", "cut off", "frozen"} {
		results := runs(t, func(seed uint64) result {
			return gapRun(t, seed, nil, func(r *rig) {
				r.list()[r.holder()].kill()
				primaryFaults[primary](r)
			}, never)
		})
		median, high, worst := gaps(results)
		fmt.Fprintf(&table, "%-28s %-16s %5d %8s %8s %8s\n", primary, "up", len(results),
			median.Round(time.Millisecond), high.Round(time.Millisecond), worst.Round(time.Millisecond))
		assert.Check(t, worst <= gapBound, "%s with the holder: worst %s", primary, worst)
	}
	t.Log(table.String())
}

func leavePrimary(r *rig) { r.leave(platform.ServerName(r.primary().Name)) }

// cutHolder cuts the VM that holds the group's lease from the primary.
func cutHolder(r *rig) {
	r.network.Cut(fakenet.Host(r.list()[r.holder()].name), fakenet.Host(r.primary().Name))
}

// isolateHolder cuts it from the other VMs as well; it still reaches the platform.
func isolateHolder(r *rig) {
	r.list()[r.holder()].isolate(true)
	cutHolder(r)
}

// ownCuts are faults of the holder's own links: the primary works for everyone else.
var ownCuts = map[string]state{
	"holder cut from the primary":  cutHolder,
	"holder cut from it and peers": isolateHolder,
	"holder cut from the replica that receives": func(r *rig) {
		p := r.primary()
		for i, s := range r.replicas() {
			if i == 0 {
				r.network.Cut(fakenet.Host(r.list()[r.holder()].name), fakenet.Host(s.Name))
				continue
			}
			r.servers.SetLink(p.Name, s.Name, fakeupstream.Link{Cut: true})
		}
	},
	"holder starts cut from the primary": func(r *rig) {
		r.mu.Lock()
		r.always = true
		r.mu.Unlock()
		i := r.holder()
		v := r.list()[i]
		cutHolder(r)
		v.kill()
		r.boot(i)
	},
}

// TestOwnCut: a VM's own cut never moves a primary that others write to.
func TestOwnCut(t *testing.T) {
	t.Parallel()
	for name, cut := range ownCuts {
		t.Run(name, func(t *testing.T) {
			for _, r := range runs(t, func(seed uint64) result { return gapRun(t, seed, nil, cut, 4*time.Second) }) {
				assert.Check(t, !r.moved, "the primary was moved after %s", r.gap)
				assert.Check(t, r.terms == 1, "%d terms", r.terms)
			}
		})
	}
}

// TestDetection compares what a promotion goes by, in gap and in false promotions.
func TestDetection(t *testing.T) {
	t.Parallel()
	var table strings.Builder
	fmt.Fprintf(&table, "\n%-28s %-22s %5s %8s %8s %8s\n", "what happens", "goes by", "runs", "moved", "median", "worst")
	cases := map[string]state{
		"primary killed": primaryFaults["killed"], "primary cut off": primaryFaults["cut off"], "primary frozen": primaryFaults["frozen"],
		"holder cut from the primary": cutHolder, "holder cut from it and peers": isolateHolder,
		"connections silent":  func(r *rig) { r.primary().Silence() },
		"answers 300 ms late": func(r *rig) { r.primary().SetLate(300 * time.Millisecond) },
	}
	views := map[string]func(*rig){
		"one VM's view":     func(r *rig) { r.oneView = true },
		"most VMs' views":   func(*rig) {},
		"replication alone": func(r *rig) { r.noViews = true },
	}
	happenings := []string{"primary cut off", "holder cut from it and peers"}
	if *seeds > 1 {
		happenings = append(happenings, "primary killed", "primary frozen", "holder cut from the primary", "connections silent", "answers 300 ms late")
	}
	for _, what := range happenings {
		for _, by := range []string{"one VM's view", "most VMs' views", "replication alone"} {
			results := runs(t, func(seed uint64) result { return gapRun(t, seed, views[by], cases[what], 4*time.Second) })
			moved, _, _ := totals(results)
			median, _, worst := gaps(results)
			if by == "most VMs' views" {
				failed := strings.HasPrefix(what, "primary")
				assert.Check(t, failed && moved == len(results) || !failed && moved == 0, "%s: moved %d times", what, moved)
			}
			fmt.Fprintf(&table, "%-28s %-22s %5d %8d %8s %8s\n", what, by, len(results), moved, median.Round(time.Millisecond), worst.Round(time.Millisecond))
		}
	}
	t.Log(table.String())
}
