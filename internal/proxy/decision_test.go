package proxy

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/clock"
	"github.com/savoryramp/savoryramp/internal/heartbeat"
)

// silentConn is a connection over which no datagram arrives.
type silentConn struct {
	net.PacketConn
	closed chan struct{}
	once   sync.Once
}

func (c *silentConn) ReadFrom([]byte) (int, net.Addr, error) {
	<-c.closed
	return 0, nil, net.ErrClosed
}
func (c *silentConn) WriteTo(p []byte, _ net.Addr) (int, error) { return len(p), nil }
func (c *silentConn) LocalAddr() net.Addr                       { return &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1} }

func (c *silentConn) Close() error { c.once.Do(func() { close(c.closed) }); return nil }

// memoryDirectory is a directory in memory.
type memoryDirectory struct {
	mu          sync.Mutex
	entries     map[heartbeat.VMName]heartbeat.Entry
	unavailable bool
}

func (d *memoryDirectory) Register(context.Context, heartbeat.VMName, heartbeat.Entry) (heartbeat.StoreEra, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.unavailable {
		return 0, ErrUnavailable.New("directory")
	}
	return 1, nil
}

func (d *memoryDirectory) List(context.Context) (map[heartbeat.VMName]heartbeat.Entry, error) {
	return d.entries, nil
}

func (d *memoryDirectory) Remove(context.Context, heartbeat.VMName) error { return nil }

func (d *memoryDirectory) setUnavailable(unavailable bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unavailable = unavailable
}

// TestDecisionNeedsFleet guards against a VM that replaces a primary which only it can't use: it knows no other
// VM because it hasn't reached the directory, or has heard none of the listed ones since its start. It also
// guards against a failover of a fleet of one VM that takes longer than it has to.
func TestDecisionNeedsFleet(t *testing.T) {
	tests := map[string]struct {
		listed      []heartbeat.VMName
		unavailable bool
		// after is the time from the primary's failure to the order.
		least, most time.Duration
	}{
		"the only VM":                             {least: 500 * time.Millisecond, most: 1500 * time.Millisecond},
		"others are listed, none is heard":        {listed: []heartbeat.VMName{"x", "y"}, least: 10 * time.Second, most: 14 * time.Second},
		"the directory can't be reached for 20 s": {unavailable: true, least: 16 * time.Second, most: 19 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runTest(t, func(tb *testbed) {
				directory := &memoryDirectory{entries: map[heartbeat.VMName]heartbeat.Entry{}, unavailable: test.unavailable}
				for _, vm := range test.listed {
					directory.entries[vm] = heartbeat.Entry{Address: "127.0.0.1:2"}
				}
				fleet := &heartbeat.Fleet{
					VM: "vm", Conn: &silentConn{closed: make(chan struct{})}, Directory: directory, Logger: log.NewNopLogger(),
					FillMessage: func(*heartbeat.Message) {}, HasUrgentNews: func() bool { return false }, OnMessage: func(heartbeat.Message) {},
				}
				promoter := &fakePromoter{testbed: tb}
				f := &Failover{VM: tb.vm, Fleet: fleet, Promoter: promoter, PromotionFences: true, Logger: log.NewNopLogger()}
				tb.tasks.Go(func() { _ = fleet.Run(tb.ctx) })
				tb.tasks.Go(func() { _ = f.Run(tb.ctx) })
				clock.Sleep(tb.ctx, 3*time.Second)
				began := time.Now()
				ordered := make(chan time.Duration, 1)
				promoter.onPromote = func() { ordered <- time.Since(began) }
				tb.onServer("a", isDown)
				time.AfterFunc(17*time.Second, func() { directory.setUnavailable(false) })
				took := <-ordered
				assert.Check(t, took >= test.least && took <= test.most, "ordered after %s", took)
			})
		})
	}
}

// TestPausedVMReportsNoFailure guards against a replacement that counts a VM's observation from before its
// pause, which it reports when it resumes.
func TestPausedVMReportsNoFailure(t *testing.T) {
	for name, primary := range map[string]ServerID{"the primary failed": "a", "no primary was known": ""} {
		t.Run(name, func(t *testing.T) {
			runTest(t, func(tb *testbed) {
				awaitVerifiedPrimary()
				g := tb.vm.group(testService)
				for _, id := range []ServerID{"a", "b", "c"} {
					tb.onServer(id, isDown)
				}
				if primary == "" {
					g.clearPrimary("a", "test")
				}
				clock.Sleep(tb.ctx, 3*time.Second)
				g.noteWatched()
				assert.Assert(t, g.observation().Failing)
				tb.paused.Add(int64(5 * time.Second))
				assert.Assert(t, !g.observation().Failing, "before the pause is noted")
				g.noteWatched()
				o := g.observation()
				assert.Assert(t, !o.Failing)
				assert.Equal(t, o.Server, string(primary))
			})
		})
	}
}
