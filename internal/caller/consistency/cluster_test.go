package consistency_test

import (
	"context"
	"errors"
	"maps"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/caller"
	"github.com/savoryramp/savoryramp/internal/fakenet"
	"github.com/savoryramp/savoryramp/internal/fakeupstream"
	"github.com/savoryramp/savoryramp/internal/platform"
	"github.com/savoryramp/savoryramp/internal/upstream"
	"github.com/savoryramp/savoryramp/pkg/position"
)

const (
	// networkDelay is the delay between any two hosts.
	networkDelay = time.Millisecond
	// responseTimeout is the longest wait for a server's message, maxWait for a server.
	responseTimeout = time.Second
	maxWait         = 3 * time.Second
)

// cluster is one group of three servers a, b and c behind two VMs, on an in-memory
// network.
type cluster struct {
	t          assert.TestingT
	ctx        context.Context
	network    *fakenet.Network
	group      *fakeupstream.Group
	vms        map[string]*vm
	readPolicy upstream.ReadPolicy
	share      int
	// wrapConn wraps the VMs' connections to servers; nil for none.
	wrapConn func(net.Conn) net.Conn
	stop     func()
}

// vm is one VM's callers' server and upstreams.
type vm struct {
	callers   *caller.Server
	upstreams *upstream.Upstreams
	kill      func()
}

// staticDocuments is a source of documents that always returns the same one.
type staticDocuments platform.Snapshot

func (f staticDocuments) Current() platform.Snapshot { return platform.Snapshot(f) }

func (f staticDocuments) Wait(ctx context.Context, after platform.DocumentVersion) (platform.Snapshot, error) {
	if after < f.Version {
		return f.Current(), nil
	}
	<-ctx.Done()
	return platform.Snapshot{}, ctx.Err()
}

func document() *platform.Document {
	d := &platform.Document{
		Upstreams: []platform.Upstream{{Name: "r1", Acknowledge: platform.ReplicaConfirmed, User: "savoryramp", Database: "db"}},
		Databases: []platform.Database{
			{Name: "receipts", Upstream: "r1", Open: true, OpenWorkspace: "desk"},
			{Name: "others", Upstream: "r1", Open: true, OpenWorkspace: "portal"},
		},
		Workspaces: []platform.Workspace{{Name: "desk", Weight: 1}, {Name: "portal", Weight: 1}},
	}
	for _, name := range []platform.ServerName{"a", "b", "c"} {
		d.Upstreams[0].Servers = append(d.Upstreams[0].Servers, platform.Server{Name: name, Address: platform.Address(name + ":1")})
	}
	return d
}

// runTest runs a test in a synctest bubble with a running cluster that has a table t.
func runTest(t *testing.T, configure func(r *cluster), test func(t *testing.T, r *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := startCluster(t, configure)
		defer r.stop()
		test(t, r)
	})
}

// startCluster starts a cluster; it must be called in a synctest bubble.
func startCluster(t assert.TestingT, configure func(r *cluster)) *cluster {
	ctx, cancel := context.WithCancel(context.Background())
	r := &cluster{t: t, ctx: ctx, network: fakenet.New(), vms: map[string]*vm{}, readPolicy: upstream.WaitOrPrimary{}, share: 4}
	r.group = &fakeupstream.Group{Name: "r1", Recorder: &fakeupstream.Recorder{}}
	for _, name := range []string{"a", "b", "c"} {
		listen := func() (net.Listener, error) { return r.network.Listen(fakenet.Host(name), name+":1") }
		l, err := listen()
		assert.NilError(t, err)
		s := &fakeupstream.Server{Name: fakeupstream.ServerName(name), Listener: l, Listen: listen, Service: 100 * time.Microsecond, Connections: 60}
		r.group.Servers = append(r.group.Servers, s)
		for _, v := range []fakenet.Host{"vm1", "vm2"} {
			r.network.Delay(v, fakenet.Host(name), networkDelay)
			r.network.Delay(v, "client", networkDelay)
		}
	}
	if configure != nil {
		configure(r)
	}
	done := make(chan error, 1)
	go func() { done <- r.group.Run(ctx) }()
	for _, name := range []string{"vm1", "vm2"} {
		r.startVM(name)
	}
	r.stop = func() {
		for _, v := range r.vms {
			v.kill()
		}
		cancel()
		<-done
	}
	time.Sleep(time.Second)
	r.exec(r.connect("vm1", ""), "create table t (id int primary key, v int)")
	time.Sleep(time.Second)
	return r
}

// startVM starts a VM, which runs until it is killed.
func (r *cluster) startVM(name string) {
	l, err := r.network.Listen(fakenet.Host(name), name+":1")
	assert.NilError(r.t, err)
	documents := staticDocuments{Version: 1, Document: document()}
	u := &upstream.Upstreams{
		Dial: r.dialer(fakenet.Host(name)), Logger: log.NewNopLogger(), Documents: documents,
		Share: func(platform.ServerName) int { return r.share }, ReadPolicy: r.readPolicy, QueueOrder: upstream.DeficitRoundRobin, MaxQueueLength: 64,
	}
	c := &caller.Server{
		VM: platform.VMName(name), Listener: l, Documents: documents, Upstreams: u, TokenKey: caller.TokenKey("fleet"),
		MaxWait: maxWait, ResponseTimeout: responseTimeout, Logger: log.NewNopLogger(),
	}
	ctx, cancel := context.WithCancel(r.ctx)
	done := make(chan error, 2)
	go func() { done <- u.Run(ctx) }()
	go func() { done <- c.Run(ctx) }()
	r.vms[name] = &vm{callers: c, upstreams: u, kill: sync.OnceFunc(func() {
		r.network.Kill(fakenet.Host(name))
		cancel()
		<-done
		<-done
	})}
}

// dialer returns the function with which a VM dials its servers.
func (r *cluster) dialer(from fakenet.Host) upstream.Dial {
	dial := r.network.Dialer(from)
	if r.wrapConn == nil {
		return dial
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return r.wrapConn(c), nil
	}
}

// dial opens a caller's connection, with a session token unless it is empty.
func (r *cluster) dial(vm, token, database string) (*pgx.Conn, error) {
	params := map[string]string{}
	if token != "" {
		params["savoryramp.session"] = token
	}
	return r.dialWith(vm, database, params)
}

// dialWith opens a caller's connection with additional startup parameters.
func (r *cluster) dialWith(vm, database string, params map[string]string) (*pgx.Conn, error) {
	config, err := pgx.ParseConfig("postgres://desk@" + vm + ":1/" + database + "?sslmode=disable")
	assert.NilError(r.t, err)
	config.DialFunc = r.network.Dialer("client")
	config.LookupFunc = func(_ context.Context, host string) ([]string, error) { return []string{host}, nil }
	config.DefaultQueryExecMode = pgx.QueryExecModeExec
	maps.Copy(config.RuntimeParams, params)
	ctx, cancel := context.WithTimeout(r.ctx, 5*time.Second)
	defer cancel()
	return pgx.ConnectConfig(ctx, config)
}

func (r *cluster) connect(vm, token string) *pgx.Conn {
	c, err := r.dial(vm, token, "receipts")
	assert.NilError(r.t, err)
	return c
}

func (r *cluster) exec(c *pgx.Conn, sql string, args ...any) {
	_, err := c.Exec(r.ctx, sql, args...)
	assert.NilError(r.t, err, sql)
}

// readValue reads column v of a row; 0 if there is no such row.
func (r *cluster) readValue(c *pgx.Conn, id int) (int, error) {
	var v int
	err := c.QueryRow(r.ctx, "select coalesce(max(v), 0) from t where id = $1", id).Scan(&v)
	return v, err
}

// writeValue inserts or updates a row.
func (r *cluster) writeValue(c *pgx.Conn, id, v int) error {
	_, err := c.Exec(r.ctx, "insert into t values ($1, $2) on conflict (id) do update set v = excluded.v", id, v)
	return err
}

func (r *cluster) server(name string) *fakeupstream.Server {
	return r.group.Server(fakeupstream.ServerName(name))
}

// promote fences a majority of servers for the term, promotes one of them, and makes
// the others its replicas.
func (r *cluster) promote(term int, primary string, followers ...string) {
	t := position.Term(term)
	for _, name := range append([]string{primary}, followers...) {
		assert.NilError(r.t, r.server(name).Fence(t))
	}
	assert.NilError(r.t, r.server(primary).Promote(r.ctx, t))
	for _, name := range followers {
		assert.NilError(r.t, r.server(name).Follow(t, fakeupstream.ServerName(primary)))
	}
}

// sessionToken returns the session token that the proxy last reported to the caller.
func sessionToken(c *pgx.Conn) string { return c.PgConn().ParameterStatus("savoryramp.session") }

func sqlState(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}

// isNotRun reports whether an error says that the request wasn't run.
func isNotRun(err error) bool {
	var e *pgconn.PgError
	return errors.As(err, &e) && strings.HasPrefix(e.Message, "savoryramp:") && e.Detail == "not run"
}
