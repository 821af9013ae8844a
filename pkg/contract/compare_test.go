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
	injectFault(fault string)
	traffic() (tableCalls, messages, bytes int)
	stop()
}

// staticShares gives each VM a fixed ninth of the rate.
type staticShares struct{ buckets []*contract.Bucket }

func newStaticShares() strategy {
	s := &staticShares{}
	for range compareVMs {
		r := contract.Rate{PerSecond: compareRate / compareVMs, Burst: compareBurst / compareVMs}
		s.buckets = append(s.buckets, contract.NewUnsharedBucket(r, time.Second, nil))
	}
	return s
}

func (s *staticShares) admit(vm int) error       { return s.buckets[vm].Take(context.Background()) }
func (s *staticShares) injectFault(string)       {}
func (s *staticShares) traffic() (int, int, int) { return 0, 0, 0 }
func (s *staticShares) stop()                    {}

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

func (c *centralBucket) admit(vm int) error {
	c.mu.Lock()
	b, dead, remote := c.bucket, c.dead, vm != c.owner
	if remote {
		c.messages += 2
	}
	c.mu.Unlock()
	if dead {
		return contract.ErrUnavailable.New("owner VM has crashed")
	}
	if remote {
		time.Sleep(time.Millisecond)
		defer time.Sleep(time.Millisecond)
	}
	return b.Take(context.Background())
}

func (c *centralBucket) injectFault(fault string) {
	if fault != "death" {
		return
	}
	c.mu.Lock()
	c.dead = true
	c.mu.Unlock()
	time.AfterFunc(contract.DefaultValidity, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.bucket, c.owner, c.dead = unsharedBucket(), 1, false
	})
}

func (c *centralBucket) traffic() (int, int, int) { return 0, c.messages, c.messages * 40 }
func (c *centralBucket) stop()                    {}

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

const tableBatchSize = 5

func newTableBatches() strategy {
	t := &tableBatches{bucket: unsharedBucket()}
	for i := range t.locks {
		t.locks[i] = make(chan struct{}, 1)
	}
	return t
}

func (t *tableBatches) admit(vm int) error {
	for deadline := time.Now().Add(time.Second); time.Now().Before(deadline); {
		t.locks[vm] <- struct{}{}
		if t.remaining[vm] > 0 || t.acquireBatch(vm) {
			t.remaining[vm]--
			<-t.locks[vm]
			return nil
		}
		<-t.locks[vm]
	}
	return contract.ErrExhausted.New("no batch available")
}

func (t *tableBatches) acquireBatch(vm int) bool {
	time.Sleep(6 * time.Millisecond)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls += 2
	for !t.unavailable && t.remaining[vm] < tableBatchSize && t.bucket.TryTake() {
		t.remaining[vm]++
	}
	return t.remaining[vm] > 0
}

func (t *tableBatches) injectFault(fault string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unavailable = fault == "outage"
}

func (t *tableBatches) traffic() (int, int, int) { return t.calls, 0, 0 }
func (t *tableBatches) stop()                    {}

// leasedShares is the strategy that this package implements.
type leasedShares struct{ f *fleet }

func newLeasedShares() strategy {
	f := newFleet(compareSeed, compareVMs, map[contract.Name]contract.Limit{
		workspaceContract: contract.Rate{PerSecond: compareRate, Burst: compareBurst},
	})
	f.startAll(1)
	return leasedShares{f}
}

func (l leasedShares) admit(vm int) error {
	return l.f.vms[vm].shares.Admit(context.Background(), workspaceContract)
}

func (l leasedShares) injectFault(fault string) {
	switch fault {
	case "death":
		l.f.kill(0)
	default:
		l.f.applyEvent(event{kind: fault})
	}
}

func (l leasedShares) traffic() (int, int, int) {
	l.f.mu.Lock()
	defer l.f.mu.Unlock()
	l.f.table.mu.Lock()
	defer l.f.table.mu.Unlock()
	return l.f.table.callCount, l.f.messageCount, l.f.byteCount
}

func (l leasedShares) stop() { l.f.stopAll() }

// outcome records the results of one strategy on the trace.
type outcome struct {
	history
	refusedAt []time.Duration
	summary   string
}

func (o *outcome) replay(s strategy, trace []traceRequest) {
	start := time.Now()
	for after, fault := range map[time.Duration]string{outageStart: "outage", outageEnd: "heal", crashTime: "death"} {
		time.AfterFunc(after, func() { s.injectFault(fault) })
	}
	var requests sync.WaitGroup
	for _, r := range trace {
		time.Sleep(time.Until(start.Add(r.at)))
		requests.Go(func() {
			err := s.admit(r.vm)
			o.mu.Lock()
			defer o.mu.Unlock()
			if err != nil {
				o.refusedAt = append(o.refusedAt, r.at)
				return
			}
			o.admitted = append(o.admitted, time.Now())
			o.waitTimes = append(o.waitTimes, time.Since(start.Add(r.at)))
		})
	}
	requests.Wait()
}

func runStrategy(t *testing.T, title string, newStrategy func() strategy) *outcome {
	o := &outcome{}
	synctest.Test(t, func(*testing.T) {
		s := newStrategy()
		o.replay(s, compareTrace())
		calls, messages, bytes := s.traffic()
		s.stop()
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
