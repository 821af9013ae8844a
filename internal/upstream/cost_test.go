package upstream

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/platform"
	"github.com/savoryramp/savoryramp/pkg/position"
)

// startStatusServer starts a server that answers every query with a fixed status.
func startStatusServer(b testing.TB, name, role string) platform.Server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	b.Cleanup(func() { l.Close() })
	status := fmt.Sprintf(`{"server":%q,"role":%q,"term":1,"received":"1/1742","applied":"1/1740","slots":3,"busy":1}`, name, role)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go answerStatus(c, status)
		}
	}()
	return platform.Server{Name: platform.ServerName(name), Address: platform.Address(l.Addr().String()), Connections: 24}
}

func answerStatus(c net.Conn, status string) {
	defer c.Close()
	backend := pgproto3.NewBackend(c, c)
	if _, err := backend.ReceiveStartupMessage(); err != nil {
		return
	}
	backend.Send(&pgproto3.AuthenticationOk{})
	backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	for backend.Flush() == nil {
		m, err := backend.Receive()
		if err != nil {
			return
		}
		q, found := m.(*pgproto3.Query)
		switch {
		case found && q.String == "":
			backend.Send(&pgproto3.EmptyQueryResponse{})
		case found && strings.HasPrefix(q.String, "LISTEN"):
			backend.Send(&pgproto3.NotificationResponse{Channel: "savoryramp_position", Payload: status})
			backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("LISTEN")})
		default:
			backend.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("savoryramp_status"), DataTypeOID: 25, DataTypeSize: -1}}})
			backend.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(status)}})
			backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
		}
		backend.Send(&pgproto3.ParameterStatus{Name: positionParameter, Value: "1/1740"})
		backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	}
}

// countingConn adds the bytes that it sends and receives to bytes.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	c.bytes.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// soleVM is the coordination of a VM without peers, which holds every lease.
type soleVM struct{}

func (soleVM) JoinLease(context.Context, string) func() bool              { return func() bool { return true } }
func (soleVM) Observations(platform.ServerName) (reporting, unusable int) { return 0, 0 }
func (soleVM) ReportObservation(platform.ServerName, bool)                {}

// startGroups starts n groups of three servers and waits until all servers are usable.
func startGroups(b *testing.B, n int, c Coordination) ([]*Group, *atomic.Int64) {
	var groups []*Group
	bytes := &atomic.Int64{}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countingConn{c, bytes}, err
	}
	for i := range n {
		up := platform.Upstream{Name: platform.UpstreamName(fmt.Sprint("group-", i)), Acknowledge: platform.ReplicaConfirmed}
		for j, role := range []string{"primary", "replica", "replica"} {
			up.Servers = append(up.Servers, startStatusServer(b, fmt.Sprintf("group-%d-%d", i, j), role))
		}
		g := &Group{
			Upstream: up, Dial: dial, Logger: log.NewNopLogger(), Login: Login{User: "s", Database: "d"},
			Share: func(platform.ServerName) int { return 0 }, Coordination: c, ReadPolicy: WaitOrPrimary{}, QueueOrder: DeficitRoundRobin,
		}
		g.start(context.Background())
		b.Cleanup(g.stop)
		groups = append(groups, g)
	}
	for _, g := range groups {
		for !g.allUsable() {
			time.Sleep(10 * time.Millisecond)
		}
	}
	return groups, bytes
}

func (g *Group) allUsable() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.countUsable() == len(g.members)
}

func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkWatch reports the cost of watching the servers of quiet groups. The servers
// run in the same process, so processor time and memory include their side.
func BenchmarkWatch(b *testing.B) {
	for _, n := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("groups=%d", n), func(b *testing.B) {
			before := memoryInUse()
			_, bytes := startGroups(b, n, nil)
			time.Sleep(time.Second)
			heap := memoryInUse() - before
			bytesBefore, cpuBefore, began := bytes.Load(), processorTime(), time.Now()
			for b.Loop() {
				time.Sleep(4 * time.Second)
			}
			servers := float64(3 * n)
			serverSeconds := time.Since(began).Seconds() * servers
			b.ReportMetric(float64((processorTime()-cpuBefore).Microseconds())/serverSeconds, "cpu-us/s/server")
			b.ReportMetric(float64(bytes.Load()-bytesBefore)/serverSeconds, "B/s/server")
			b.ReportMetric(float64(heap)/servers, "mem-B/server")
		})
	}
}

// BenchmarkStop reports the time to end one group's watches. A VM that shuts down ends
// up to 1,800 groups one after another.
func BenchmarkStop(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		groups, _ := startGroups(b, 1, nil)
		b.StartTimer()
		groups[0].stop()
	}
}

// BenchmarkPush reports the cost of handling one pushed position.
func BenchmarkPush(b *testing.B) {
	groups, _ := startGroups(b, 1, nil)
	w := groups[0].watches()[0]
	text := fmt.Sprintf(`{"server":%q,"role":"replica","term":1,"received":"1/1742","applied":"1/1740","slots":3,"busy":1}`, w.server.Name)
	for b.Loop() {
		assert.NilError(b, w.handleStatus(text))
	}
	b.ReportMetric(float64(len(text)+len("savoryramp_position")+11), "B/push")
}

// BenchmarkMonitorCheck reports the cost of one check of a healthy group by its
// failover monitor.
func BenchmarkMonitorCheck(b *testing.B) {
	groups, _ := startGroups(b, 1, nil)
	groups[0].Coordination = soleVM{}
	monitor := newFailoverMonitor(groups[0])
	monitor.holdsLease, monitor.recordedAt = func() bool { return true }, time.Now().Add(time.Hour)
	for b.Loop() {
		monitor.check(b.Context())
	}
}

// BenchmarkFloor reports the cost of querying a group's servers for a floor, as the
// first read of a session without a token does.
func BenchmarkFloor(b *testing.B) {
	groups, bytes := startGroups(b, 1, nil)
	bytesBefore, cpuBefore := bytes.Load(), processorTime()
	for b.Loop() {
		_, err := groups[0].Floor(b.Context())
		assert.NilError(b, err)
	}
	b.ReportMetric(float64(bytes.Load()-bytesBefore)/float64(b.N), "B/floor")
	b.ReportMetric(float64((processorTime()-cpuBefore).Nanoseconds())/1000/float64(b.N), "cpu-us")
}

// BenchmarkConfirm reports the cost of confirming a commit that the replicas have
// already reported.
func BenchmarkConfirm(b *testing.B) {
	groups, _ := startGroups(b, 1, nil)
	p := position.Position{Term: 1, Offset: 1742}
	for b.Loop() {
		assert.NilError(b, groups[0].Confirm(b.Context(), p))
	}
}
