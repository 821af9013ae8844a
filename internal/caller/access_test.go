package caller_test

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/savoryramp/savoryramp/internal/caller"
	"github.com/savoryramp/savoryramp/internal/fakenet"
	"github.com/savoryramp/savoryramp/internal/fakeplatform"
	"github.com/savoryramp/savoryramp/internal/fakeupstream"
	"github.com/savoryramp/savoryramp/internal/meter"
	"github.com/savoryramp/savoryramp/internal/platform"
	"github.com/savoryramp/savoryramp/internal/upstream"
)

const (
	oneSecret   = "one-secret-6b1f"
	otherSecret = "other-secret-90ac"
	// The intervals that the VM process uses.
	pollInterval      = 2 * time.Second
	heartbeatInterval = 500 * time.Millisecond
	// changeTimeout is the documented time for a change to take effect on VMs that can
	// read the table or have a peer: a poll of at most 1.5 times pollInterval, a
	// heartbeat, withdrawnStatementTimeout, and network delays.
	changeTimeout = 6 * time.Second
)

var verifierBySecret = sync.OnceValue(func() map[string]platform.Verifier {
	all := map[string]platform.Verifier{}
	for _, secret := range []string{oneSecret, otherSecret} {
		v, err := platform.NewVerifier(secret)
		if err != nil {
			panic(err)
		}
		all[secret] = v
	}
	return all
})

// documentText returns the service document: two workspaces with a database each, and
// one with an open database.
func documentText() string {
	return strings.NewReplacer("ONE", string(verifierBySecret()[oneSecret]), "OTHER", string(verifierBySecret()[otherSecret])).Replace(`service: ataa
upstreams:
  - name: r1
    user: savoryramp
    database: receipts
    servers:
      - {name: a, address: "10.0.0.1:1", availability-zone: z1, connections: 24, slots: 3}
      - {name: b, address: "10.0.0.2:1", availability-zone: z2, connections: 24, slots: 3}
      - {name: c, address: "10.0.0.3:1", availability-zone: z3, connections: 24, slots: 3}
  - name: r2
    user: savoryramp
    database: receipts
    servers:
      - {name: d, address: "10.0.0.4:1", availability-zone: z1, connections: 24, slots: 3}
databases:
  - {name: desk, upstream: r1}
  - {name: till, upstream: r1}
  - {name: board, upstream: r1, open: true, open-workspace: public}
workspaces:
  - name: one
    rate: 6000/m
    burst: 200
    databases: [desk]
    keys:
      - {name: one-key, verifier: "ONE"}
  - name: other
    rate: 6000/m
    burst: 200
    databases: [till]
    keys:
      - {name: other-key, verifier: "OTHER"}
  - name: public
    rate: 6000/m
    burst: 200
    databases: [board]
    keys:
      - {name: public-key, verifier: "OTHER"}
`)
}

// cluster is a set of VMs in front of one group of servers, with a fake platform, in a
// synctest bubble.
type cluster struct {
	*testing.T
	ctx          context.Context
	network      *fakenet.Network
	fakePlatform *fakeplatform.Platform
	group        *fakeupstream.Group
	logs         *logBuffer
	// connectionShare is how many connections each VM may have to a server.
	connectionShare atomic.Int64
	mu              sync.Mutex
	vms             []*vm
}

// vm is the configuration, upstreams and callers' server of one VM, without the rest of
// its process.
type vm struct {
	*platform.Configuration
	name      platform.VMName
	address   string
	upstreams *upstream.Upstreams
	server    *caller.Server
	trust     *platform.Trust
	metrics   *meter.Metrics
	// panics makes the next request panic once it has a server's connection.
	panics atomic.Bool
	// cutTable and cutPeers cut the VM off from the table and store, and from its
	// peers.
	cutTable, cutPeers atomic.Bool
	// paused makes the next check of the VM's trust in its document block until resume
	// is closed, and all others return false.
	paused, trustCheckBlocked atomic.Bool
	resume                    chan struct{}
	// stop kills the VM; done is closed when its parts have ended.
	stop func()
	done chan struct{}
}

// Current returns the VM's document, for the callers' server.
func (v *vm) Current() platform.Snapshot {
	if v.panics.CompareAndSwap(true, false) {
		panic("test")
	}
	return v.Configuration.Current()
}

// isTrusted reports whether the VM may rely on its document.
func (v *vm) isTrusted() bool {
	if !v.paused.Load() {
		return v.trust.CanServe()
	}
	if v.trustCheckBlocked.CompareAndSwap(false, true) {
		<-v.resume
	}
	return false
}

// cuttableTable is the platform's table as seen by one VM.
type cuttableTable struct {
	platform.Table
	vm *vm
}

func (t cuttableTable) Get(ctx context.Context, key platform.RowKey) (platform.Row, error) {
	if t.vm.cutTable.Load() {
		return platform.Row{}, platform.ErrUnavailable.New("cut")
	}
	return t.Table.Get(ctx, key)
}

type cuttableStore struct {
	platform.Store
	vm *vm
}

func (s cuttableStore) Get(ctx context.Context, name platform.ObjectName) ([]byte, error) {
	if s.vm.cutTable.Load() {
		return nil, platform.ErrUnavailable.New("cut")
	}
	return s.Store.Get(ctx, name)
}

// logBuffer collects the log lines of all VMs.
type logBuffer struct {
	mu    sync.Mutex
	bytes bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes.String()
}

// newCluster starts the servers and VMs; it must be called in a synctest bubble.
func newCluster(t *testing.T, vms int) *cluster {
	t.Helper()
	return newClusterWith(t, vms, documentText(), "")
}

// newClusterWith starts a cluster with a given document. The servers require a password
// unless it is empty.
func newClusterWith(t *testing.T, vms int, document, password string) *cluster {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	f := &cluster{
		T: t, ctx: ctx, network: fakenet.New(), fakePlatform: fakeplatform.New(), logs: &logBuffer{},
		group: &fakeupstream.Group{Name: "r1", Recorder: &fakeupstream.Recorder{}},
	}
	for i, name := range []string{"a", "b", "c"} {
		address := fmt.Sprintf("10.0.0.%d:1", i+1)
		listen := func() (net.Listener, error) { return f.network.Listen(fakenet.Host(name), address) }
		l, err := listen()
		assert.NilError(t, err)
		f.group.Servers = append(f.group.Servers, &fakeupstream.Server{
			Name: fakeupstream.ServerName(name), Listener: l, Listen: listen, Service: time.Millisecond, Password: password,
		})
	}
	f.connectionShare.Store(4)
	var tasks sync.WaitGroup
	tasks.Go(func() { assert.Check(t, f.group.Run(ctx)) })
	t.Cleanup(func() {
		cancel()
		for _, v := range f.vms {
			v.stop()
			<-v.done
		}
		tasks.Wait()
		// pgx closes broken connections in the background, within 15 s.
		time.Sleep(20 * time.Second)
	})
	f.applyDocument(document)
	for range vms {
		f.addVM()
	}
	tasks.Go(f.exchangeHeartbeats)
	time.Sleep(time.Second)
	return f
}

// addVM starts another VM.
func (f *cluster) addVM() *vm {
	name := "v" + string(rune('1'+len(f.vms)))
	ctx, cancel := context.WithCancel(f.ctx)
	v := &vm{name: platform.VMName(name), address: "10.1.0." + name[1:] + ":5432", stop: cancel, done: make(chan struct{})}
	logger := log.NewLogfmtLogger(f.logs)
	v.Configuration = &platform.Configuration{Table: cuttableTable{f.fakePlatform.Table(), v}, Store: cuttableStore{f.fakePlatform.Store(), v}, PollInterval: pollInterval, Logger: logger}
	v.trust = &platform.Trust{Configuration: v.Configuration, FleetSize: func() int { return len(f.allVMs()) }}
	v.upstreams = &upstream.Upstreams{
		Dial: f.network.Dialer(fakenet.Host(name)), Logger: logger, Documents: v.Configuration,
		Share: func(platform.ServerName) int { return int(f.connectionShare.Load()) }, ReadPolicy: upstream.WaitOrPrimary{},
		QueueOrder: upstream.DeficitRoundRobin, MaxQueueLength: 512,
	}
	listener, err := f.network.Listen(fakenet.Host(name), v.address)
	assert.NilError(f, err)
	v.server = &caller.Server{
		VM: v.name, Listener: listener, Documents: v, Upstreams: v.upstreams, DocumentTrusted: v.isTrusted,
		MaxWait: 2 * time.Second, ResponseTimeout: 30 * time.Second, Logger: logger,
	}
	f.mu.Lock()
	f.vms = append(f.vms, v)
	f.mu.Unlock()
	v.metrics, err = meter.New()
	assert.NilError(f, err)
	v.server.Meter = v.metrics.Meter("caller")
	var running sync.WaitGroup
	for _, run := range []func(context.Context) error{v.Configuration.Run, v.upstreams.Run, v.server.Run} {
		running.Go(func() { assert.Check(f, run(ctx)) })
	}
	go func() {
		running.Wait()
		close(v.done)
	}()
	return v
}

func (f *cluster) allVMs() []*vm {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.vms)
}

// exchangeHeartbeats passes trust reports and documents between VMs, as heartbeats do.
func (f *cluster) exchangeHeartbeats() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-f.ctx.Done():
			return
		}
		vms := f.allVMs()
		for _, from := range vms {
			for _, to := range vms {
				if from != to && !from.cutPeers.Load() && !to.cutPeers.Load() {
					to.receiveHeartbeat(from)
				}
			}
		}
	}
}

func (v *vm) receiveHeartbeat(from *vm) {
	trustReport, s := from.trust.Report(), from.Current()
	v.OfferVersion(s.Version, s.Hash)
	if s.Version > 0 {
		_ = v.OfferDocument(s.Version, s.Hash, s.Body)
	}
	v.trust.RecordPeerReport(from.name, trustReport)
}

func (f *cluster) applyDocument(text string) platform.Snapshot {
	f.Helper()
	s, err := platform.Apply(f.ctx, f.fakePlatform.Table(), f.fakePlatform.Store(), "rana", []byte(text))
	assert.NilError(f, err)
	return s
}

func (f *cluster) withdrawKey(key platform.KeyName) {
	f.Helper()
	_, err := platform.SetKeyWithdrawn(f.ctx, f.fakePlatform.Table(), f.fakePlatform.Store(), "rana", key, true)
	assert.NilError(f, err)
}

// dial connects and logs in to a VM.
func (f *cluster) dial(v *vm, key, secret, database string) (*pgx.Conn, error) {
	config, err := pgx.ParseConfig("postgres://" + key + ":" + secret + "@" + v.address + "/" + database + "?sslmode=disable")
	assert.NilError(f, err)
	config.DialFunc = f.network.Dialer("client")
	config.ConnectTimeout = 15 * time.Second
	return pgx.ConnectConfig(f.ctx, config)
}

func (f *cluster) connect(v *vm, key, secret, database string) *pgx.Conn {
	f.Helper()
	c, err := f.dial(v, key, secret, database)
	assert.NilError(f, err)
	f.Cleanup(func() { _ = c.Close(context.Background()) })
	return c
}

// connectAsOne connects with the key of the workspace "one".
func (f *cluster) connectAsOne(v *vm) *pgx.Conn {
	f.Helper()
	return f.connect(v, "one-key", oneSecret, "desk")
}

func (f *cluster) exec(c *pgx.Conn, sql string, args ...any) {
	f.Helper()
	_, err := c.Exec(f.ctx, sql, args...)
	assert.NilError(f, err)
}

func sqlState(err error) string {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return pgErr.Code
	}
	return ""
}

// canQuery reports whether an open session still runs a request.
func (f *cluster) canQuery(c *pgx.Conn) bool {
	_, err := c.Exec(f.ctx, "select 1")
	return err == nil
}

// checkProperty checks a property defaultChecks times, or as often as -rapid.checks
// says if that is given.
func checkProperty(t *testing.T, defaultChecks string, check func(*rapid.T)) {
	t.Helper()
	checks := flag.Lookup("rapid.checks")
	if checks.Value.String() == checks.DefValue {
		assert.NilError(t, flag.Set("rapid.checks", defaultChecks))
		defer func() { assert.Check(t, flag.Set("rapid.checks", checks.DefValue)) }()
	}
	rapid.Check(t, check)
}

// hasMetric reports whether a VM's metrics contain a line.
func (f *cluster) hasMetric(v *vm, line string) bool {
	w := httptest.NewRecorder()
	v.metrics.Handler().ServeHTTP(w, httptest.NewRequestWithContext(f.ctx, "GET", "/metrics", nil))
	return strings.Contains(w.Body.String(), "\n"+line+"\n")
}
