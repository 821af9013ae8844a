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
	seedCount    = flag.Int("failover-seeds", 1, "runs of each case of the failover tests")
	firstSeed    = flag.Uint64("failover-first-seed", 1, "first seed of the failover tests")
	logEvents    = flag.Bool("failover-log", false, "print the VMs' events")
	parallelRuns = flag.Int("failover-at-once", 4, "failover runs in parallel")
)

const (
	// gapP99Target bounds the 99th percentile of the gap, maxGap every gap.
	gapP99Target = 2 * time.Second
	maxGap       = 10 * time.Second
	// unresolvedGap is reported for a gap that didn't end during the run.
	unresolvedGap = 15 * time.Second
)

// scenario changes a running testbed, for example by a fault of a server.
type scenario func(*testbed)

var primaryFaults = map[string]scenario{
	"killed":  func(tb *testbed) { tb.primary().Kill(0) },
	"cut off": func(tb *testbed) { tb.primary().Cut(true) },
	"frozen":  func(tb *testbed) { tb.primary().Freeze(true) },
}

var platformStates = map[string]scenario{
	"up":   func(*testbed) {},
	"down": func(tb *testbed) { tb.platform.SetFaults(fakeplatform.Fault{Kind: fakeplatform.Down}) },
	"slow by 400 ms": func(tb *testbed) {
		tb.platform.SetFaults(fakeplatform.Fault{Kind: fakeplatform.Slow, Delay: 400 * time.Millisecond})
	},
	"slow by 2 s": func(tb *testbed) {
		tb.platform.SetFaults(fakeplatform.Fault{Kind: fakeplatform.Slow, Delay: 2 * time.Second})
	},
	"losing answers": func(tb *testbed) { tb.platform.SetFaults(fakeplatform.Fault{Kind: fakeplatform.LostAnswer}) },
}

// gapResult is the result of one run of a case.
type gapResult struct {
	gap              time.Duration
	refused, unknown int
	failedOver       bool
	// terms is the number of terms that had a primary.
	terms     int
	violation string
}

// measureGap injects a fault while clients write, and waits for the first write that
// another server acknowledges.
func measureGap(t *testing.T, seed uint64, prepare func(*testbed), fault scenario, maxDuration time.Duration) (result gapResult) {
	synctest.Test(t, func(*testing.T) {
		tb := newTestbed(prepare)
		defer tb.stop()
		random := rand.New(rand.NewPCG(seed, seed))
		tb.randomizeDelays(random)
		ctx, stop := context.WithCancel(tb.ctx)
		for c := range 3 {
			tb.tasks.Go(func() { tb.runClients(ctx, c, 90*time.Millisecond) })
			time.Sleep(30 * time.Millisecond)
		}
		time.Sleep(100*time.Millisecond + time.Duration(random.IntN(500))*time.Millisecond)
		old := tb.primary()
		at := time.Now()
		fault(tb)
		var first time.Time
		for time.Since(at) < maxDuration && first.IsZero() {
			time.Sleep(5 * time.Millisecond)
			first = tb.firstAcknowledgedAfter(at, platform.ServerName(old.Name))
		}
		result.failedOver, result.gap = !first.IsZero(), unresolvedGap
		if result.failedOver {
			result.gap = first.Sub(at)
			time.Sleep(300 * time.Millisecond)
		}
		result.terms = tb.countTerms()
		stop()
		time.Sleep(3 * time.Second)
		result.violation = tb.checkHistory()
		for _, w := range tb.writes {
			if w.end.After(at) && w.outcome == refused {
				result.refused++
			}
			if w.end.After(at) && w.outcome == unknown {
				result.unknown++
			}
		}
	})
	return result
}

// runSeeds returns the results of a case for all seeds.
func runSeeds(t *testing.T, run func(seed uint64) gapResult) []gapResult {
	results := make([]gapResult, *seedCount)
	var tasks sync.WaitGroup
	slots := make(chan struct{}, *parallelRuns)
	for i := range results {
		slots <- struct{}{}
		tasks.Go(func() {
			results[i] = run(*firstSeed + uint64(i))
			<-slots
		})
	}
	tasks.Wait()
	for i, r := range results {
		if r.violation != "" {
			t.Errorf("seed %d: %s", *firstSeed+uint64(i), r.violation)
		}
	}
	return results
}

// gapQuantiles returns the median, the 99th percentile and the maximum of the gaps.
func gapQuantiles(results []gapResult) (median, p99, worst time.Duration) {
	var all []time.Duration
	for _, r := range results {
		all = append(all, r.gap)
	}
	slices.Sort(all)
	n := len(all)
	return all[n/2], all[(n*99+99)/100-1], all[n-1]
}

func totals(results []gapResult) (failedOver, refused, unknown int) {
	for _, r := range results {
		if r.failedOver {
			failedOver++
		}
		refused += r.refused
		unknown += r.unknown
	}
	return failedOver, refused, unknown
}

// TestFailoverGap measures the time from a fault of the primary to the first write
// acknowledged by another server.
func TestFailoverGap(t *testing.T) {
	t.Parallel()
	var table strings.Builder
	fmt.Fprintf(&table, "\n%-28s %-16s %5s %8s %8s %8s %8s %8s\n", "primary", "platform", "runs", "median", "p99", "worst", "refused", "unknown")
	row := func(primary, platform string, results []gapResult) {
		median, p99, worst := gapQuantiles(results)
		_, refused, unknown := totals(results)
		fmt.Fprintf(&table, "%-28s %-16s %5d %8s %8s %8s %8d %8d\n", primary, platform, len(results),
			median.Round(time.Millisecond), p99.Round(time.Millisecond), worst.Round(time.Millisecond), refused, unknown)
		assert.Check(t, p99 <= gapP99Target, "%s, platform %s: p99 %s", primary, platform, p99)
		assert.Check(t, worst <= maxGap, "%s, platform %s: worst %s", primary, platform, worst)
		if primary != "cut off" {
			assert.Check(t, refused == 0, "%s, platform %s: %d writes were refused", primary, platform, refused)
		}
	}
	states := []string{"down"}
	if *seedCount > 1 {
		states = []string{"up", "down", "slow by 400 ms", "slow by 2 s", "losing answers"}
	}
	for _, primary := range []string{"killed", "cut off", "frozen"} {
		for _, platform := range states {
			row(primary, platform, runSeeds(t, func(seed uint64) gapResult {
				return measureGap(t, seed, nil, func(tb *testbed) {
					platformStates[platform](tb)
					primaryFaults[primary](tb)
				}, unresolvedGap)
			}))
		}
	}
	row("planned hand-over", "up", runSeeds(t, func(seed uint64) gapResult { return measureGap(t, seed, nil, markPrimaryLeaving, unresolvedGap) }))
	fmt.Fprintln(&table, "together with the VM that holds the group's lease:")
	for _, primary := range []string{"killed", "cut off", "frozen"} {
		results := runSeeds(t, func(seed uint64) gapResult {
			return measureGap(t, seed, nil, func(tb *testbed) {
				tb.startedVMs()[tb.leaseHolder()].kill()
				primaryFaults[primary](tb)
			}, unresolvedGap)
		})
		median, p99, worst := gapQuantiles(results)
		fmt.Fprintf(&table, "%-28s %-16s %5d %8s %8s %8s\n", primary, "up", len(results),
			median.Round(time.Millisecond), p99.Round(time.Millisecond), worst.Round(time.Millisecond))
		assert.Check(t, worst <= maxGap, "%s with the lease holder: worst %s", primary, worst)
	}
	t.Log(table.String())
}

func markPrimaryLeaving(tb *testbed) { tb.markLeaving(platform.ServerName(tb.primary().Name)) }

// cutLeaseHolder cuts the VM that holds the group's lease from the primary.
func cutLeaseHolder(tb *testbed) {
	tb.network.Cut(fakenet.Host(tb.startedVMs()[tb.leaseHolder()].name), fakenet.Host(tb.primary().Name))
}

// isolateLeaseHolder cuts the lease holder from the primary and the other VMs; it still
// reaches the platform.
func isolateLeaseHolder(tb *testbed) {
	tb.startedVMs()[tb.leaseHolder()].setIsolated(true)
	cutLeaseHolder(tb)
}

// leaseHolderCuts are faults of the lease holder's own links: the primary works for all
// other VMs.
var leaseHolderCuts = map[string]scenario{
	"lease holder cut from the primary":       cutLeaseHolder,
	"lease holder cut from primary and peers": isolateLeaseHolder,
	"lease holder cut from the receiving replica": func(tb *testbed) {
		p := tb.primary()
		for i, s := range tb.replicas() {
			if i == 0 {
				tb.network.Cut(fakenet.Host(tb.startedVMs()[tb.leaseHolder()].name), fakenet.Host(s.Name))
				continue
			}
			tb.servers.SetLink(p.Name, s.Name, fakeupstream.Link{Cut: true})
		}
	},
	"lease holder starts cut from the primary": func(tb *testbed) {
		tb.mu.Lock()
		tb.allHoldLease = true
		tb.mu.Unlock()
		i := tb.leaseHolder()
		v := tb.startedVMs()[i]
		cutLeaseHolder(tb)
		v.kill()
		tb.startVM(i)
	},
}

// A VM that is itself cut off must not replace a primary that works for others.
func TestLeaseHolderCutDoesNotFailOver(t *testing.T) {
	t.Parallel()
	for name, cut := range leaseHolderCuts {
		t.Run(name, func(t *testing.T) {
			for _, r := range runSeeds(t, func(seed uint64) gapResult { return measureGap(t, seed, nil, cut, 4*time.Second) }) {
				assert.Check(t, !r.failedOver, "the primary was replaced after %s", r.gap)
				assert.Check(t, r.terms == 1, "%d terms", r.terms)
			}
		})
	}
}

// TestFailureDetectionSources compares the sources on which a promotion can be based,
// by the length of gaps and the number of false promotions.
func TestFailureDetectionSources(t *testing.T) {
	t.Parallel()
	var table strings.Builder
	fmt.Fprintf(&table, "\n%-28s %-22s %5s %8s %8s %8s\n", "fault", "based on", "runs", "moved", "median", "worst")
	cases := map[string]scenario{
		"primary killed": primaryFaults["killed"], "primary cut off": primaryFaults["cut off"], "primary frozen": primaryFaults["frozen"],
		"lease holder cut from the primary": cutLeaseHolder, "lease holder cut from primary and peers": isolateLeaseHolder,
		"connections silent":  func(tb *testbed) { tb.primary().Silence() },
		"answers 300 ms late": func(tb *testbed) { tb.primary().SetLate(300 * time.Millisecond) },
	}
	sources := map[string]func(*testbed){
		"own observation":         func(tb *testbed) { tb.ownViewOnly = true },
		"majority's observations": func(*testbed) {},
		"replication only":        func(tb *testbed) { tb.reportAllUsable = true },
	}
	faultNames := []string{"primary cut off", "lease holder cut from primary and peers"}
	if *seedCount > 1 {
		faultNames = append(faultNames, "primary killed", "primary frozen", "lease holder cut from the primary", "connections silent", "answers 300 ms late")
	}
	for _, name := range faultNames {
		for _, source := range []string{"own observation", "majority's observations", "replication only"} {
			results := runSeeds(t, func(seed uint64) gapResult { return measureGap(t, seed, sources[source], cases[name], 4*time.Second) })
			failedOver, _, _ := totals(results)
			median, _, worst := gapQuantiles(results)
			if source == "majority's observations" {
				failed := strings.HasPrefix(name, "primary")
				assert.Check(t, failed && failedOver == len(results) || !failed && failedOver == 0, "%s: %d failovers", name, failedOver)
			}
			fmt.Fprintf(&table, "%-28s %-22s %5d %8d %8s %8s\n", name, source, len(results), failedOver, median.Round(time.Millisecond), worst.Round(time.Millisecond))
		}
	}
	t.Log(table.String())
}
