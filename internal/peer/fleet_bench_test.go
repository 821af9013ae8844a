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

// memory is what the heap and the stacks hold.
func memory() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// loopback is a fleet over TCP with real time.
type loopback struct {
	vms   []*vm
	meter meter
	// newer counts what OnNewer told, over all VMs.
	newer atomic.Int64
}

func startLoopback(b *testing.B, size int) *loopback {
	f := &loopback{}
	vms := &list{}
	var listeners []net.Listener
	for i := range size {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(b, err)
		listeners = append(listeners, l)
		vms.vms = append(vms.vms, platform.VM{Name: name(i), Address: platform.Address(l.Addr().String()), State: platform.VMLive})
	}
	for i, l := range listeners {
		f.start(b, vms, i, l)
	}
	for !f.complete(size) {
		time.Sleep(50 * time.Millisecond)
	}
	return f
}

func (f *loopback) start(b *testing.B, vms *list, i int, l net.Listener) {
	p := &peer.Fleet{
		Self: name(i), Address: vms.vms[i].Address, AvailabilityZone: "z1", Incarnation: 1, VMs: vms, Listener: l,
		Dial: func(ctx context.Context, n, a string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, n, a)
			return meteredConn{c, &f.meter}, err
		},
		OnPromise: func(_ context.Context, _ peer.Caller, _ string, body []byte) ([]byte, error) { return body, nil },
	}
	p.OnNewer = func(_ peer.Name, v platform.DocumentVersion, h platform.DocumentHash) {
		f.newer.Add(1)
		p.Have(v, h)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	v := &vm{Fleet: p, kill: cancel}
	f.vms = append(f.vms, v)
	b.Cleanup(func() {
		cancel()
		assert.NilError(b, <-done)
	})
}

// complete tells whether every VM takes all others for live.
func (f *loopback) complete(size int) bool {
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

// BenchmarkHeartbeat reports what a VM of a quiet fleet costs: bytes without TCP's and
// TLS's headers, processor time with the kernel's, memory with the members' list.
func BenchmarkHeartbeat(b *testing.B) {
	for _, size := range []int{3, 9, 27, 81} {
		b.Run(fmt.Sprintf("vms=%d", size), func(b *testing.B) {
			before := memory()
			f := startLoopback(b, size)
			time.Sleep(2 * time.Second)
			held := memory() - before
			bytes, used, began := f.meter.bytes.Load(), processorTime(), time.Now()
			for b.Loop() {
				time.Sleep(4 * time.Second)
			}
			perVM := time.Since(began).Seconds() * float64(size)
			b.ReportMetric(float64((processorTime()-used).Microseconds())/perVM, "cpu-us/s/vm")
			b.ReportMetric(float64(f.meter.bytes.Load()-bytes)/perVM, "B/s/vm")
			b.ReportMetric(float64(held)/float64(size), "mem-B/vm")
		})
	}
}

// BenchmarkSpread reports how long a version takes from one VM to all, and what a VM
// then sends and receives for it.
func BenchmarkSpread(b *testing.B) {
	for _, size := range []int{3, 9, 27, 81} {
		b.Run(fmt.Sprintf("vms=%d", size), func(b *testing.B) {
			f := startLoopback(b, size)
			bytes := f.meter.bytes.Load()
			var took time.Duration
			var v platform.DocumentVersion
			for b.Loop() {
				v++
				began, heard := time.Now(), f.newer.Load()
				f.vms[0].Have(v, platform.DocumentHash(fmt.Sprintf("%064d", v)))
				for f.newer.Load()-heard < int64(size-1) {
					time.Sleep(100 * time.Microsecond)
				}
				took += time.Since(began)
			}
			b.ReportMetric(float64(took.Microseconds())/1000/float64(b.N), "ms-to-all")
			b.ReportMetric(float64(f.meter.bytes.Load()-bytes)/float64(b.N)/float64(size), "B/vm")
		})
	}
}

// BenchmarkCall reports a call to a peer by the size of its body, which comes back:
// the slope of leases, renewals and loans.
func BenchmarkCall(b *testing.B) {
	for _, size := range []int{0, 100, 1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("body=%d", size), func(b *testing.B) {
			f := startLoopback(b, 2)
			body := make([]byte, size)
			used, bytes := processorTime(), f.meter.bytes.Load()
			for b.Loop() {
				_, err := f.vms[0].Promise(context.Background(), name(1), "group/receipts", body)
				assert.NilError(b, err)
			}
			b.ReportMetric(float64((processorTime()-used).Nanoseconds())/1000/float64(b.N), "cpu-us")
			b.ReportMetric(float64(f.meter.bytes.Load()-bytes)/float64(b.N), "B/call")
		})
	}
}

// BenchmarkViews reports what a VM keeps for the views that n VMs tell of as many
// servers each.
func BenchmarkViews(b *testing.B) {
	for _, servers := range []int{9, 100, 1_000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			f := startLoopback(b, 3)
			bytes, before := f.meter.bytes.Load(), memory()
			for i, v := range f.vms {
				for s := range servers {
					v.Publish(peer.Server{Name: platform.ServerName(fmt.Sprintf("database-%d-%d", i, s)), Usable: true})
				}
			}
			for len(f.vms[0].Views()) < 3*servers {
				time.Sleep(10 * time.Millisecond)
			}
			held, sent := memory()-before, f.meter.bytes.Load()-bytes
			for b.Loop() {
				f.vms[0].Views()
			}
			b.ReportMetric(float64(held)/float64(9*servers), "mem-B/view")
			b.ReportMetric(float64(sent)/float64(6*servers), "B/view")
		})
	}
}
