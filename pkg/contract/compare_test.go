package contract_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/pkg/contract"
)

// The trace by which all strategies are compared: demand below the rate that shifts between
// nine VMs, an outage of the table, and a crash of the first VM.
const (
	compareSeed       = 11
	compareVMs        = 9
	compareRate       = 200.0
	compareBurst      = 45
	compareLoadFactor = 0.85
	compareDuration   = 60 * time.Second
	outageStart       = 20 * time.Second
	outageEnd         = 35 * time.Second
	crashTime         = 45 * time.Second
	warmUp            = 3 * time.Second
)

type traceRequest struct {
	at time.Duration
	vm int
}

func compareTrace() []traceRequest {
	random := rand.New(rand.NewPCG(compareSeed, compareSeed))
	var trace []traceRequest
	preferred := 0
	for at, next := warmUp, warmUp; at < compareDuration; {
		if at >= next {
			preferred, next = random.IntN(compareVMs), at+5*time.Second
		}
		vm := random.IntN(compareVMs)
		if random.Float64() < 0.6 {
			vm = preferred
		}
		if vm == 0 && at >= crashTime {
			vm = 1
		}
		trace = append(trace, traceRequest{at, vm})
		at += time.Duration(random.ExpFloat64() / (compareRate * compareLoadFactor) * float64(time.Second))
	}
	return trace
}

// strategy is a way to enforce the rate over all VMs. All strategies but leasedShares are
// simplified models.
type strategy interface {
	admit(vm int) error
	injectFault(what string)
	traffic() (tableCalls, messages, bytes int)
	stop()
}

// staticShares gives each VM a fixed ninth of the rate.
type staticShares struct{ buckets []*contract.Bucket }

func newStaticShares() strategy {
	w := &staticShares{}
	for range compareVMs {
		r := contract.Rate{PerSecond: compareRate / compareVMs, Burst: compareBurst / compareVMs}
		w.buckets = append(w.buckets, contract.NewUnsharedBucket(r, time.Second, nil))
	}
	return w
}

func (w *staticShares) admit(vm int) error       { return w.buckets[vm].Take(context.Background()) }
func (w *staticShares) injectFault(string)       {}
func (w *staticShares) traffic() (int, int, int) { return 0, 0, 0 }
func (w *staticShares) stop()                    {}

// centralBucket sends each request to one VM, the owner of the only bucket. If the owner
// crashes, another VM takes over after the validity, with an empty bucket.
type centralBucket struct {
	mu       sync.Mutex
	bucket   *contract.Bucket
	owner    int
	dead     bool
	messages int
}

func newCentralBucket() strategy { return &centralBucket{bucket: unsharedBucket()} }

func unsharedBucket() *contract.Bucket {
	return contract.NewUnsharedBucket(contract.Rate{PerSecond: compareRate, Burst: compareBurst}, time.Second, nil)
}

func (w *centralBucket) admit(vm int) error {
	w.mu.Lock()
	b, dead, remote := w.bucket, w.dead, vm != w.owner
	if remote {
		w.messages += 2
	}
	w.mu.Unlock()
	if dead {
		return contract.ErrUnavailable.New("owner VM has crashed")
	}
	if remote {
		time.Sleep(time.Millisecond)
		defer time.Sleep(time.Millisecond)
	}
	return b.Take(context.Background())
}

func (w *centralBucket) injectFault(what string) {
	if what != "death" {
		return
	}
	w.mu.Lock()
	w.dead = true
	w.mu.Unlock()
	time.AfterFunc(contract.DefaultValidity, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.bucket, w.owner, w.dead = unsharedBucket(), 1, false
	})
}

func (w *centralBucket) traffic() (int, int, int) { return 0, w.messages, w.messages * 40 }
func (w *centralBucket) stop()                    {}

// tableBatches takes batches of tokens from a bucket in the table, with one conditional
// write per batch.
type tableBatches struct {
	mu          sync.Mutex
	bucket      *contract.Bucket
	remaining   [compareVMs]int
	locks       [compareVMs]chan struct{}
	unavailable bool
	calls       int
}

const tableBatch = 5

func newTableBatches() strategy {
	w := &tableBatches{bucket: unsharedBucket()}
	for i := range w.locks {
		w.locks[i] = make(chan struct{}, 1)
	}
	return w
}

func (w *tableBatches) admit(vm int) error {
	for deadline := time.Now().Add(time.Second); time.Now().Before(deadline); {
		w.locks[vm] <- struct{}{}
		if w.remaining[vm] > 0 || w.acquireBatch(vm) {
			w.remaining[vm]--
			<-w.locks[vm]
			return nil
		}
		<-w.locks[vm]
	}
	return contract.ErrExhausted.New("no batch available")
}

func (w *tableBatches) acquireBatch(vm int) bool {
	time.Sleep(6 * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls += 2
	for !w.unavailable && w.remaining[vm] < tableBatch && w.bucket.TryTake() {
		w.remaining[vm]++
	}
	return w.remaining[vm] > 0
}

func (w *tableBatches) injectFault(what string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unavailable = what == "outage"
}

func (w *tableBatches) traffic() (int, int, int) { return w.calls, 0, 0 }
func (w *tableBatches) stop()                    {}

// leasedShares is the strategy that this package implements.
type leasedShares struct{ f *fleet }

func newLeasedShares() strategy {
	f := newFleet(compareSeed, compareVMs, map[contract.Name]contract.Limit{
		workspaceContract: contract.Rate{PerSecond: compareRate, Burst: compareBurst},
	})
	f.startAll(1)
	return leasedShares{f}
}

func (w leasedShares) admit(vm int) error {
	return w.f.vms[vm].shares.Admit(context.Background(), workspaceContract)
}

func (w leasedShares) injectFault(what string) {
	switch what {
	case "death":
		w.f.kill(0)
	default:
		w.f.applyEvent(event{kind: what})
	}
}

func (w leasedShares) traffic() (int, int, int) {
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	w.f.table.mu.Lock()
	defer w.f.table.mu.Unlock()
	return w.f.table.callCount, w.f.messageCount, w.f.byteCount
}

func (w leasedShares) stop() { w.f.stopAll() }

// outcome records the results of one strategy on the trace.
type outcome struct {
	history
	refusedAt []time.Duration
	summary   string
}

func (o *outcome) replay(w strategy, trace []traceRequest) {
	start := time.Now()
	for after, what := range map[time.Duration]string{outageStart: "outage", outageEnd: "heal", crashTime: "death"} {
		time.AfterFunc(after, func() { w.injectFault(what) })
	}
	var requests sync.WaitGroup
	for _, a := range trace {
		time.Sleep(time.Until(start.Add(a.at)))
		requests.Go(func() {
			err := w.admit(a.vm)
			o.mu.Lock()
			defer o.mu.Unlock()
			if err != nil {
				o.refusedAt = append(o.refusedAt, a.at)
				return
			}
			o.admitted = append(o.admitted, time.Now())
			o.waitTimes = append(o.waitTimes, time.Since(start.Add(a.at)))
		})
	}
	requests.Wait()
}

func runStrategy(t *testing.T, title string, newStrategy func() strategy) *outcome {
	o := &outcome{}
	synctest.Test(t, func(*testing.T) {
		w := newStrategy()
		o.replay(w, compareTrace())
		calls, messages, bytes := w.traffic()
		w.stop()
		sort.Slice(o.waitTimes, func(i, j int) bool { return o.waitTimes[i] < o.waitTimes[j] })
		percentile := func(q float64) float64 {
			return float64(o.waitTimes[int(q*float64(len(o.waitTimes)-1))].Microseconds()) / 1000
		}
		seconds := compareDuration.Seconds()
		o.summary = fmt.Sprintf("%-24s %8d %10.1f %12.1f %10.0f %9.2f %9.2f %9.2f", title, len(o.refusedAt),
			float64(calls)/seconds, float64(messages)/seconds, float64(bytes)/seconds, percentile(0.5), percentile(0.99), percentile(0.999))
	})
	return o
}

func TestCompareStrategies(t *testing.T) {
	strategies := map[string]func() strategy{
		"static shares": newStaticShares, "one central bucket": newCentralBucket, "holders with lending": newLeasedShares, "table write per batch": newTableBatches,
	}
	lines := []string{fmt.Sprintf("%-24s %8s %10s %12s %10s %9s %9s %9s", "way", "refused", "table/s", "messages/s", "bytes/s", "p50 ms", "p99 ms", "p99.9 ms")}
	refused := map[string]int{}
	for title, newStrategy := range strategies {
		o := runStrategy(t, title, newStrategy)
		refused[title] = len(o.refusedAt)
		lines = append(lines, o.summary)
		assert.Assert(t, o.maxOverrun(compareRate, compareBurst) <= 1e-6, title)
	}
	sort.Strings(lines[1:])
	t.Logf("seed %d, %d requests at 85%% of the rate:\n%s", compareSeed, len(compareTrace()), strings.Join(lines, "\n"))
	for title, n := range refused {
		assert.Assert(t, refused["holders with lending"] <= n, "%s refused fewer requests", title)
	}
}
