package peer_test

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/peer"
	"github.com/savoryramp/savoryramp/internal/platform"
)

// memoryInUse returns the bytes in use by the heap and the stacks.
func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// loopbackFleet is a fleet that uses TCP on loopback and real time.
type loopbackFleet struct {
	vms     []*vm
	counter byteCounter
	// newerVersions counts the calls of OnNewerDocument on all VMs.
	newerVersions atomic.Int64
}

func startLoopback(b *testing.B, size int) *loopbackFleet {
	f := &loopbackFleet{}
	vms := &vmList{}
	var listeners []net.Listener
	for i := range size {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(b, err)
		listeners = append(listeners, l)
		vms.vms = append(vms.vms, platform.VM{Name: vmName(i), Address: platform.Address(l.Addr().String()), State: platform.VMLive})
	}
	for i, l := range listeners {
		f.startVM(b, vms, i, l)
	}
	for !f.allLive(size) {
		time.Sleep(50 * time.Millisecond)
	}
	return f
}

func (f *loopbackFleet) startVM(b *testing.B, vms *vmList, i int, l net.Listener) {
	p := &peer.Fleet{
		Self: vmName(i), Address: vms.vms[i].Address, AvailabilityZone: "z1", Incarnation: 1, VMs: vms, Listener: l,
		Dial: func(ctx context.Context, n, a string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, n, a)
			return countedConn{c, &f.counter}, err
		},
		OnPromise: func(_ context.Context, _ peer.Caller, _ string, body []byte) ([]byte, error) { return body, nil },
	}
	p.OnNewerDocument = func(_ peer.Name, v platform.DocumentVersion, h platform.DocumentHash) {
		f.newerVersions.Add(1)
		p.AnnounceDocument(v, h)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	v := &vm{Fleet: p, stop: cancel}
	f.vms = append(f.vms, v)
	b.Cleanup(func() {
		cancel()
		assert.NilError(b, <-done)
	})
}

// allLive reports whether every VM considers all others live.
func (f *loopbackFleet) allLive(size int) bool {
	for _, v := range f.vms {
		live := 0
		for _, m := range v.Members() {
			if m.State == peer.Live {
				live++
			}
		}
		if live < size-1 {
			return false
		}
	}
	return true
}

// BenchmarkHeartbeat measures the cost of one VM in an idle fleet: bytes without TCP and
// TLS headers, CPU time including the kernel's, and memory including the members.
func BenchmarkHeartbeat(b *testing.B) {
	for _, size := range []int{3, 9, 27, 81} {
		b.Run(fmt.Sprintf("vms=%d", size), func(b *testing.B) {
			before := memoryInUse()
			f := startLoopback(b, size)
			time.Sleep(2 * time.Second)
			memoryUsed := memoryInUse() - before
			bytes, cpuBefore, startedAt := f.counter.bytes.Load(), cpuTime(), time.Now()
			for b.Loop() {
				time.Sleep(4 * time.Second)
			}
			vmSeconds := time.Since(startedAt).Seconds() * float64(size)
			b.ReportMetric(float64((cpuTime()-cpuBefore).Microseconds())/vmSeconds, "cpu-us/s/vm")
			b.ReportMetric(float64(f.counter.bytes.Load()-bytes)/vmSeconds, "B/s/vm")
			b.ReportMetric(float64(memoryUsed)/float64(size), "mem-B/vm")
		})
	}
}

// BenchmarkSpread measures how long a document version takes to reach all VMs, and how
// many bytes each VM sends on average meanwhile, including heartbeats.
func BenchmarkSpread(b *testing.B) {
	for _, size := range []int{3, 9, 27, 81} {
		b.Run(fmt.Sprintf("vms=%d", size), func(b *testing.B) {
			f := startLoopback(b, size)
			bytes := f.counter.bytes.Load()
			var totalTime time.Duration
			var v platform.DocumentVersion
			for b.Loop() {
				v++
				startedAt, receivedBefore := time.Now(), f.newerVersions.Load()
				f.vms[0].AnnounceDocument(v, platform.DocumentHash(fmt.Sprintf("%064d", v)))
				for f.newerVersions.Load()-receivedBefore < int64(size-1) {
					time.Sleep(100 * time.Microsecond)
				}
				totalTime += time.Since(startedAt)
			}
			b.ReportMetric(float64(totalTime.Microseconds())/1000/float64(b.N), "ms-to-all")
			b.ReportMetric(float64(f.counter.bytes.Load()-bytes)/float64(b.N)/float64(size), "B/vm")
		})
	}
}

// BenchmarkCall measures a call to a peer by the size of its body, which is returned as
// the answer. Lease requests, share renewals and loans are such calls.
func BenchmarkCall(b *testing.B) {
	for _, size := range []int{0, 100, 1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("body=%d", size), func(b *testing.B) {
			f := startLoopback(b, 2)
			body := make([]byte, size)
			cpuBefore, bytes := cpuTime(), f.counter.bytes.Load()
			for b.Loop() {
				_, err := f.vms[0].Promise(context.Background(), vmName(1), "group/receipts", body)
				assert.NilError(b, err)
			}
			b.ReportMetric(float64((cpuTime()-cpuBefore).Nanoseconds())/1000/float64(b.N), "cpu-us")
			b.ReportMetric(float64(f.counter.bytes.Load()-bytes)/float64(b.N), "B/call")
		})
	}
}

// BenchmarkViews measures the memory and traffic for the views that three VMs publish of
// n servers each.
func BenchmarkViews(b *testing.B) {
	for _, servers := range []int{9, 100, 1_000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			f := startLoopback(b, 3)
			bytes, before := f.counter.bytes.Load(), memoryInUse()
			for i, v := range f.vms {
				for s := range servers {
					v.Publish(peer.Server{Name: platform.ServerName(fmt.Sprintf("database-%d-%d", i, s)), Usable: true})
				}
			}
			for len(f.vms[0].Views()) < 3*servers {
				time.Sleep(10 * time.Millisecond)
			}
			memoryUsed, sent := memoryInUse()-before, f.counter.bytes.Load()-bytes
			for b.Loop() {
				f.vms[0].Views()
			}
			b.ReportMetric(float64(memoryUsed)/float64(9*servers), "mem-B/view")
			b.ReportMetric(float64(sent)/float64(6*servers), "B/view")
		})
	}
}
