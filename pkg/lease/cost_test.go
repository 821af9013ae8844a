package lease_test

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/pkg/lease"
)

// countingNetwork is a table and a network for leases in one process. It counts calls and
// encodes requests and responses as JSON, as the daemon does.
type countingNetwork struct {
	mu       sync.Mutex
	table    memoryTable
	reads    *atomic.Int64
	requests *atomic.Int64
	bytes    *atomic.Int64
	leases   map[lease.Name]*lease.Lease
}

func (c *countingNetwork) Read(ctx context.Context) (lease.Row, error) {
	c.reads.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Read(ctx)
}

func (c *countingNetwork) Swap(ctx context.Context, row lease.Row) (lease.Row, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Swap(ctx, row)
}

func (c *countingNetwork) Send(_ context.Context, to lease.Name, r lease.Request) (lease.Response, error) {
	c.requests.Add(1)
	var response lease.Response
	var request lease.Request
	c.transcode(r, &request)
	c.transcode(c.leases[to].HandleRequest(request), &response)
	return response, nil
}

func (c *countingNetwork) transcode(from, to any) {
	body, _ := json.Marshal(from)
	c.bytes.Add(int64(len(body)))
	_ = json.Unmarshal(body, to)
}

// heartbeatNeighbors returns an ObservedRun function for the member with index self. It
// reports the VMs that exchange heartbeats with that member: all of them in a fleet of up
// to 16, otherwise those at distances 1, 2, 4 and so on along a ring, in either direction.
func heartbeatNeighbors(self int, members []lease.Name) func(lease.Name) (lease.RunID, bool) {
	isNeighbor := map[lease.Name]bool{}
	for j, n := range members {
		ahead := (j - self + len(members)) % len(members)
		behind := len(members) - ahead
		isNeighbor[n] = len(members) <= 16 || ahead&(ahead-1) == 0 || behind&(behind-1) == 0
	}
	return func(n lease.Name) (lease.RunID, bool) { return "1", isNeighbor[n] }
}

const uuidFormat = "0c8f5d0e-6b0e-4d0b-9a39-3f6f0f0a7b%02d"

// startLeases runs the given number of leases on each of vms VMs.
func startLeases(b *testing.B, leases, vms int) *countingNetwork {
	var members []lease.Name
	for i := range vms {
		members = append(members, lease.Name(fmt.Sprintf("vm-%04d", i)))
	}
	total := &countingNetwork{reads: &atomic.Int64{}, requests: &atomic.Int64{}, bytes: &atomic.Int64{}}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for range leases {
		network := &countingNetwork{reads: total.reads, requests: total.requests, bytes: total.bytes, leases: map[lease.Name]*lease.Lease{}}
		for i, name := range members {
			network.leases[name] = &lease.Lease{
				Self:  lease.Member{Name: name, Incarnation: lease.Incarnation(fmt.Sprintf(uuidFormat, i))},
				Table: network, Peers: network, Candidates: func() []lease.Name { return members },
				ListedNames: func() ([]lease.Name, bool) { return members, true },
				ObservedRun: heartbeatNeighbors(i, members),
				NewChangeID: func() lease.ChangeID { return lease.ChangeID(fmt.Sprintf(uuidFormat, 10+i)) },
			}
		}
		for _, l := range network.leases {
			running.Go(func() { _ = l.Run(ctx) })
		}
	}
	b.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return total
}

// BenchmarkLeases reports what each lease costs: CPU time, memory and bytes per VM, as the
// mean over holder, successor and observers, and requests and reads of all VMs together.
// The requests aren't sent over a network.
func BenchmarkLeases(b *testing.B) {
	for _, c := range []struct{ leases, vms int }{{1, 3}, {10, 3}, {100, 3}, {1000, 3}, {100, 9}, {100, 27}, {100, 81}} {
		b.Run(fmt.Sprintf("leases=%d/vms=%d", c.leases, c.vms), func(b *testing.B) {
			before := memoryInUse()
			network := startLeases(b, c.leases, c.vms)
			time.Sleep(3 * time.Second)
			memory := memoryInUse() - before
			requestsBefore, bytesBefore, readsBefore, cpuBefore, startedAt := network.requests.Load(), network.bytes.Load(), network.reads.Load(), cpuTime(), time.Now()
			for b.Loop() {
				time.Sleep(4 * time.Second)
			}
			leaseSeconds, vms := time.Since(startedAt).Seconds()*float64(c.leases), float64(c.vms)
			b.ReportMetric(float64((cpuTime()-cpuBefore).Microseconds())/leaseSeconds/vms, "cpu-us/s/vm")
			b.ReportMetric(float64(network.requests.Load()-requestsBefore)/leaseSeconds, "asks/s/lease")
			b.ReportMetric(float64(network.bytes.Load()-bytesBefore)/float64(network.requests.Load()-requestsBefore), "B/ask")
			b.ReportMetric(float64(network.bytes.Load()-bytesBefore)/leaseSeconds/vms, "B/s/vm")
			b.ReportMetric(float64(network.reads.Load()-readsBefore)/leaseSeconds, "reads/s/lease")
			b.ReportMetric(float64(memory)/float64(c.leases)/vms, "mem-B/vm")
		})
	}
}

// BenchmarkHandleRenewal measures how long a successor takes to handle a renewal, without
// network transfer.
func BenchmarkHandleRenewal(b *testing.B) {
	l := &lease.Lease{Self: lease.Member{Name: "vm-2", Incarnation: "1"}}
	r := lease.Request{Kind: lease.Renew, From: lease.Member{Name: "vm-1", Incarnation: "1"}, Row: lease.Row{
		Version: 1, Holder: lease.Member{Name: "vm-1", Incarnation: "1"}, Successor: l.Self,
	}}
	for b.Loop() {
		assert.Assert(b, l.HandleRequest(r).Promised)
	}
}

func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
