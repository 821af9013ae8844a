package caller_test

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/caller"
	"github.com/savoryramp/savoryramp/internal/platform"
	"github.com/savoryramp/savoryramp/internal/upstream"
)

// instantServer answers every statement at once, so that benchmarks measure only the
// path to the server.
type instantServer struct {
	net.Listener
	role string
}

func listenInstantServer(b testing.TB, role string) *instantServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	s := &instantServer{l, role}
	b.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func (s *instantServer) serve(c net.Conn) {
	defer c.Close()
	backend := pgproto3.NewBackend(c, c)
	m, err := backend.ReceiveStartupMessage()
	if err != nil {
		return
	}
	backend.Send(&pgproto3.AuthenticationOk{})
	backend.Send(reportReadOnly(m))
	backend.Send(&pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{1, 2, 3, 4}})
	s.ready(backend)
	status := fmt.Sprintf(`{"server":"r","role":%q,"term":1,"received":"1/7","applied":"1/7"}`, s.role)
	for {
		m, err := backend.Receive()
		if err != nil {
			return
		}
		q, found := m.(*pgproto3.Query)
		if !found {
			continue
		}
		value := "1"
		if strings.Contains(q.String, "savoryramp_status") {
			value = status
		}
		if strings.HasPrefix(q.String, "LISTEN") {
			backend.Send(&pgproto3.NotificationResponse{Channel: "savoryramp_position", Payload: status})
			backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("LISTEN")})
			s.ready(backend)
			continue
		}
		backend.Send(&pgproto3.ParameterStatus{Name: "savoryramp.position", Value: "1/7"})
		backend.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("n"), DataTypeOID: 23, DataTypeSize: 4}}})
		count := 1
		if strings.Contains(q.String, "rows(") {
			count = rowsPerAnswer
		}
		row := &pgproto3.DataRow{Values: [][]byte{[]byte(value)}}
		for range count {
			backend.Send(row)
		}
		backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(fmt.Sprint("SELECT ", count))})
		s.ready(backend)
	}
}

// reportReadOnly returns the ParameterStatus for the default_transaction_read_only with
// which a connection was opened.
func reportReadOnly(m pgproto3.FrontendMessage) *pgproto3.ParameterStatus {
	report := &pgproto3.ParameterStatus{Name: "default_transaction_read_only"}
	if startupMessage, found := m.(*pgproto3.StartupMessage); found {
		report.Value = startupMessage.Parameters[report.Name]
	}
	return report
}

func (s *instantServer) ready(backend *pgproto3.Backend) {
	backend.Send(&pgproto3.ParameterStatus{Name: "savoryramp.position", Value: "1/7"})
	backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	_ = backend.Flush()
}

// staticDocuments is a source of documents that always returns the same one.
type staticDocuments struct{ snapshot platform.Snapshot }

func (f staticDocuments) Current() platform.Snapshot { return f.snapshot }

func (f staticDocuments) Wait(ctx context.Context, after platform.DocumentVersion) (platform.Snapshot, error) {
	if after < f.snapshot.Version {
		return f.snapshot, nil
	}
	<-ctx.Done()
	return platform.Snapshot{}, ctx.Err()
}

// startProxy starts the proxy in front of a primary and two replicas, with an open
// database. It returns the addresses of the proxy and of one server.
func startProxy(b testing.TB) (proxy, direct string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	return l.Addr().String(), startProxyOn(b, l, func(role string) net.Addr { return listenInstantServer(b, role).Addr() })
}

// startProxyOn is startProxy for a given listener and given servers. It returns the
// address of one server.
func startProxyOn(b testing.TB, l net.Listener, listen func(role string) net.Addr) (direct string) {
	up := platform.Upstream{Name: "u", Acknowledge: platform.ReplicaConfirmed, User: "s", Database: "d"}
	for i, role := range []string{"primary", "replica", "replica"} {
		direct = listen(role).String()
		up.Servers = append(up.Servers, platform.Server{Name: platform.ServerName(fmt.Sprint("r", i)), Address: platform.Address(direct), Connections: 64})
	}
	documents := staticDocuments{platform.Snapshot{Version: 1, Document: &platform.Document{
		Upstreams:  []platform.Upstream{up},
		Databases:  []platform.Database{{Name: "d", Upstream: "u", Open: true, OpenWorkspace: "w"}},
		Workspaces: []platform.Workspace{{Name: "w", Weight: 1, Rate: 1, Burst: 1}},
	}}}
	u := &upstream.Upstreams{
		Dial: (&net.Dialer{}).DialContext, Documents: documents, ReadPolicy: upstream.WaitOrPrimary{},
		QueueOrder: upstream.DeficitRoundRobin, MaxQueueLength: 1000, Share: func(platform.ServerName) int { return 32 },
	}
	s := &caller.Server{
		VM: "vm-1", Listener: l, Documents: documents, Upstreams: u, TokenKey: caller.TokenKey("k"),
		MaxWait: 5 * time.Second, ResponseTimeout: 5 * time.Second,
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 2)
	go func() { done <- u.Run(ctx) }()
	go func() { done <- s.Run(ctx) }()
	b.Cleanup(func() {
		cancel()
		assert.NilError(b, <-done)
		assert.NilError(b, <-done)
	})
	return direct
}

func connectTo(b *testing.B, address string) *pgx.Conn {
	config, err := pgx.ParseConfig("postgres://u:p@" + address + "/d?sslmode=disable")
	assert.NilError(b, err)
	config.DefaultQueryExecMode = pgx.QueryExecModeSimpleProtocol
	c, err := pgx.ConnectConfig(context.Background(), config)
	assert.NilError(b, err)
	b.Cleanup(func() { _ = c.Close(context.Background()) })
	return c
}

// BenchmarkOverhead alternates statements on a direct connection and through the proxy,
// and reports the latency that the proxy adds.
func BenchmarkOverhead(b *testing.B) {
	proxy, direct := startProxy(b)
	connections := []*pgx.Conn{connectTo(b, direct), connectTo(b, proxy)}
	latencies := [2][]time.Duration{}
	for range b.N {
		for i, c := range connections {
			before := time.Now()
			_, err := c.Exec(context.Background(), "SELECT 1")
			assert.NilError(b, err)
			latencies[i] = append(latencies[i], time.Since(before))
		}
	}
	for i := range latencies {
		sort.Slice(latencies[i], func(x, y int) bool { return latencies[i][x] < latencies[i][y] })
	}
	addedLatency := func(quantile float64) float64 {
		index := int(quantile * float64(b.N-1))
		return float64((latencies[1][index] - latencies[0][index]).Nanoseconds()) / 1000
	}
	b.ReportMetric(float64(latencies[0][b.N/2].Nanoseconds())/1000, "direct-p50-us")
	b.ReportMetric(addedLatency(0.5), "added-p50-us")
	b.ReportMetric(addedLatency(0.99), "added-p99-us")
}

// BenchmarkIdle reports the memory per idle client connection. The clients are in the
// same process; each holds only a socket.
func BenchmarkIdle(b *testing.B) {
	for _, n := range []int{100, 1_000, 5_000, 9_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			proxy, _ := startProxy(b)
			for range b.N {
				before := memoryInUse()
				conns := openIdle(b, proxy, n)
				b.ReportMetric(float64(memoryInUse()-before)/float64(n), "B/conn")
				for _, c := range conns {
					c.Close()
				}
			}
		})
	}
}

// openIdle opens n connections and logs in on them, without any client-side buffers.
func openIdle(b *testing.B, address string, n int) []net.Conn {
	var conns []net.Conn
	startupMessage, err := (&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "u", "database": "d"},
	}).Encode(nil)
	assert.NilError(b, err)
	buffer := make([]byte, 4096)
	for range n {
		c, err := net.Dial("tcp", address)
		assert.NilError(b, err)
		_, err = c.Write(startupMessage)
		assert.NilError(b, err)
		got, err := c.Read(buffer)
		assert.NilError(b, err)
		assert.Assert(b, got > 0)
		conns = append(conns, c)
	}
	return conns
}

// memoryInUse returns the size of the heap and the stacks after a garbage collection.
func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
