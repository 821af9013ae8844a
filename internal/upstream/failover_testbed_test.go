package upstream_test

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/joomcode/errorx"

	"github.com/savoryramp/savoryramp/internal/fakenet"
	"github.com/savoryramp/savoryramp/internal/fakeplatform"
	"github.com/savoryramp/savoryramp/internal/fakeupstream"
	"github.com/savoryramp/savoryramp/internal/platform"
	"github.com/savoryramp/savoryramp/internal/upstream"
	"github.com/savoryramp/savoryramp/pkg/lease"
	"github.com/savoryramp/savoryramp/pkg/position"
)

// testbed runs three VMs with a group of three servers in a synctest bubble.
type testbed struct {
	network   *fakenet.Network
	servers   *fakeupstream.Group
	platform  *fakeplatform.Platform
	logger    log.Logger
	startedAt time.Time
	// allHoldLease makes every VM act as if it held every lease.
	allHoldLease bool
	// ownViewOnly makes each VM decide by its own observations alone.
	ownViewOnly bool
	// reportAllUsable makes every VM report every server as usable.
	reportAllUsable bool
	// acknowledge is the group's acknowledge rule; empty means replica-confirmed.
	acknowledge platform.Acknowledge

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	mu       sync.Mutex
	vms      []*testVM
	document *platform.Document
	version  platform.DocumentVersion
	changed  chan struct{}
	lastID   int
	writes   []write
	reads    []read
	// truncated is a killed primary that lost the end of its log.
	truncated *fakeupstream.Server
	// primaries holds the primary seen in each term.
	primaries map[position.Term]fakeupstream.ServerName
	violation string
}

const (
	serverDelay = time.Millisecond
	// writeTimeout bounds the wait for a primary, answerTimeout the wait for its answer
	// and the wait for a confirmation.
	writeTimeout  = 2 * time.Second
	answerTimeout = 2 * time.Second
)

// newTestbed starts servers a, b, c and VMs v1, v2, v3, waits long enough for them to
// use the primary, and creates the table kv.
func newTestbed(change func(*testbed)) *testbed {
	tb := &testbed{
		network: fakenet.New(), platform: fakeplatform.New(), startedAt: time.Now().Add(-time.Second), logger: log.NewNopLogger(),
		servers: &fakeupstream.Group{Name: "r1"}, changed: make(chan struct{}), version: 1,
		primaries: map[position.Term]fakeupstream.ServerName{},
	}
	if change != nil {
		change(tb)
	}
	tb.ctx, tb.cancel = context.WithCancel(context.Background())
	up := platform.Upstream{Name: "r1", Acknowledge: cmp.Or(tb.acknowledge, platform.ReplicaConfirmed), User: "u", Database: "d"}
	for _, name := range []string{"a", "b", "c"} {
		listen := func() (net.Listener, error) { return tb.network.Listen(fakenet.Host(name), name+":1") }
		l, _ := listen()
		tb.servers.Servers = append(tb.servers.Servers, &fakeupstream.Server{
			Name: fakeupstream.ServerName(name), Listener: l, Listen: listen, Connections: 100, Slots: 8,
		})
		up.Servers = append(up.Servers, platform.Server{Name: platform.ServerName(name), Address: platform.Address(name + ":1"), Connections: 100, Slots: 8})
	}
	tb.document = &platform.Document{Upstreams: []platform.Upstream{up}}
	tb.servers.Primary()
	tb.tasks.Go(func() { _ = tb.servers.Run(tb.ctx) })
	tb.vms = make([]*testVM, 3)
	for i := range tb.vms {
		tb.startVM(i)
	}
	tb.tasks.Go(tb.checkPrimaries)
	time.Sleep(3 * time.Second)
	tb.write(tb.startedVMs()[0], "create table kv (k int primary key, v int)")
	return tb
}

func (tb *testbed) stop() {
	tb.cancel()
	for _, v := range tb.startedVMs() {
		v.gate.open()
	}
	tb.tasks.Wait()
	// Lets the timers that are still set, such as those that end faults, run out before
	// the synctest bubble ends.
	time.Sleep(30 * time.Second)
}

// startVM starts a new incarnation of a VM.
func (tb *testbed) startVM(i int) {
	name := fmt.Sprintf("v%d", i+1)
	vm := &testVM{testbed: tb, name: lease.Name(name), gate: &pauseGate{}, observations: map[platform.ServerName]observation{}, leases: map[string]*lease.Lease{}}
	dial := tb.network.Dialer(fakenet.Host(name))
	for _, s := range tb.servers.Servers {
		tb.network.Delay(fakenet.Host(name), fakenet.Host(s.Name), serverDelay)
	}
	vm.upstreams = &upstream.Upstreams{
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &gatedConn{Conn: c, gate: vm.gate}, nil
		},
		Logger: log.With(tb.logger, "vm", name), Share: func(platform.ServerName) int { return 8 }, Coordination: vm,
		Table: vm.table(), ReadPolicy: upstream.WaitOrPrimary{}, QueueOrder: upstream.FirstCome, MaxQueueLength: 100, Documents: tb,
	}
	var ctx context.Context
	ctx, vm.cancel = context.WithCancel(tb.ctx)
	tb.mu.Lock()
	tb.vms[i] = vm
	tb.mu.Unlock()
	tb.tasks.Go(func() { _ = vm.upstreams.Run(ctx) })
}

// kill ends a VM without a hand-over.
func (v *testVM) kill() {
	v.mu.Lock()
	v.dead = true
	v.mu.Unlock()
	v.gate.kill()
	v.cancel()
}

func (tb *testbed) startedVMs() []*testVM {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(tb.vms), func(v *testVM) bool { return v == nil })
}

func (tb *testbed) assumesLease() bool {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.allHoldLease
}

// leaseHolder returns the index of the VM that holds the group's lease, 0 if none does.
func (tb *testbed) leaseHolder() int {
	for i, v := range tb.startedVMs() {
		if v.holdsLease() {
			return i
		}
	}
	return 0
}

// Wait waits for a newer document.
func (tb *testbed) Wait(ctx context.Context, after platform.DocumentVersion) (platform.Snapshot, error) {
	for {
		tb.mu.Lock()
		s, changed := platform.Snapshot{Version: tb.version, Document: tb.document}, tb.changed
		tb.mu.Unlock()
		if s.Version > after {
			return s, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return platform.Snapshot{}, ctx.Err()
		}
	}
}

// markLeaving publishes a document in which a server is marked as leaving.
func (tb *testbed) markLeaving(name platform.ServerName) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	up := tb.document.Upstreams[0]
	up.Servers = append([]platform.Server(nil), up.Servers...)
	for i := range up.Servers {
		up.Servers[i].Leaving = up.Servers[i].Name == name
	}
	tb.publish(up)
}

// setServers publishes a document with other servers for the group, or without the
// group if there are none.
func (tb *testbed) setServers(servers []platform.Server) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if len(servers) == 0 {
		tb.publish()
		return
	}
	up := tb.document.Upstreams[0]
	up.Servers = servers
	tb.publish(up)
}

// publish makes a new document available to the VMs; tb.mu is held.
func (tb *testbed) publish(upstreams ...platform.Upstream) {
	tb.document = &platform.Document{Upstreams: upstreams}
	tb.version++
	close(tb.changed)
	tb.changed = make(chan struct{})
}

// checkPrimaries records a violation when a term has two primaries.
func (tb *testbed) checkPrimaries() {
	for tb.ctx.Err() == nil {
		for _, s := range tb.servers.Servers {
			status := s.Status()
			if status.Role != fakeupstream.Primary {
				continue
			}
			tb.mu.Lock()
			if before, found := tb.primaries[status.Term]; found && before != s.Name {
				tb.violation = fmt.Sprintf("term %d has the primaries %s and %s", status.Term, before, s.Name)
			}
			tb.primaries[status.Term] = s.Name
			tb.mu.Unlock()
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// outcome is the outcome of a write as its client sees it.
type outcome string

const (
	acknowledged outcome = "acknowledged"
	refused      outcome = "refused"
	unknown      outcome = "unknown"
)

type write struct {
	sql        string
	key, value int
	client     int
	begin, end time.Time
	outcome    outcome
	position   position.Position
	server     platform.ServerName
	err        error
}

// write runs one statement on the primary and waits for its confirmation, as
// internal/caller does for each request.
func (tb *testbed) write(v *testVM, sql string) (w write) {
	w = write{sql: sql, begin: time.Now(), outcome: refused}
	defer func() { w.end = time.Now() }()
	g := v.group()
	if g == nil {
		return w
	}
	ctx, cancel := context.WithTimeout(tb.ctx, writeTimeout)
	defer cancel()
	c, err := g.AcquireForWrite(ctx, upstream.Request{Workspace: "w", Weight: 1})
	if err != nil {
		w.err = err
		return w
	}
	_, err = c.Query(sql, time.Now().Add(answerTimeout))
	w.server, w.position, w.err = c.Server, c.Position, err
	c.Release(err == nil)
	if errorx.IsOfType(err, upstream.ErrServer) {
		g.MarkUnusable(w.server)
		return w
	}
	w.outcome = unknown
	if err != nil {
		return w
	}
	ctx, cancelConfirm := context.WithTimeout(tb.ctx, answerTimeout)
	defer cancelConfirm()
	if w.err = confirm(ctx, g, w.position); w.err == nil {
		w.outcome = acknowledged
	}
	return w
}

// confirm confirms a commit by the group's acknowledge rule.
func confirm(ctx context.Context, g *upstream.Group, p position.Position) error {
	if g.AcknowledgeRule() == platform.TermLeased {
		return g.ConfirmTerm(p)
	}
	return g.Confirm(ctx, p)
}

// putUnique writes a value that was never written before under a key.
func (tb *testbed) putUnique(v *testVM, client, key int) write {
	tb.mu.Lock()
	tb.lastID++
	id := tb.lastID
	tb.mu.Unlock()
	w := tb.write(v, fmt.Sprintf("insert into kv values (%d, %d) on conflict (k) do update set v = %d", key, id, id))
	w.client, w.key, w.value = client, key, id
	tb.mu.Lock()
	tb.writes = append(tb.writes, w)
	tb.mu.Unlock()
	return w
}

// runClients starts a new client at a fixed interval, each of which writes once through
// VM i, until the context ends.
func (tb *testbed) runClients(ctx context.Context, i int, interval time.Duration) {
	for client := i; ctx.Err() == nil; client += 3 {
		tb.tasks.Go(func() { tb.putUnique(tb.startedVMs()[i], client, i) })
		time.Sleep(interval)
	}
}

// checkHistory compares the acknowledged writes with the final log of the group.
func (tb *testbed) checkHistory() string {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if tb.violation != "" {
		return tb.violation
	}
	history := map[string]position.Position{}
	for _, e := range tb.servers.History() {
		for _, s := range e.Statements {
			history[s.SQL] = e.Position
		}
	}
	for _, w := range tb.writes {
		if w.outcome != acknowledged {
			continue
		}
		p, found := history[w.sql]
		if !found {
			return fmt.Sprintf("acknowledged write of %d at %s by %s is lost", w.value, w.position, w.server)
		}
		if p != w.position {
			return fmt.Sprintf("write of %d was acknowledged at %s and is at %s", w.value, w.position, p)
		}
	}
	return ""
}

// firstAcknowledgedAfter returns when the first write that ended after t was
// acknowledged by a server other than excluded, zero if there is none.
func (tb *testbed) firstAcknowledgedAfter(t time.Time, excluded platform.ServerName) time.Time {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	var first time.Time
	for _, w := range tb.writes {
		if w.outcome != acknowledged || w.server == excluded || w.end.Before(t) {
			continue
		}
		if first.IsZero() || w.end.Before(first) {
			first = w.end
		}
	}
	return first
}

// randomizeDelays gives each link and server a random delay.
func (tb *testbed) randomizeDelays(random *rand.Rand) {
	for _, s := range tb.servers.Servers {
		for _, v := range tb.startedVMs() {
			tb.network.Delay(fakenet.Host(v.name), fakenet.Host(s.Name), time.Duration(200+random.IntN(5000))*time.Microsecond)
		}
		for _, other := range tb.servers.Servers {
			tb.servers.SetLink(s.Name, other.Name, fakeupstream.Link{Delay: time.Duration(random.IntN(10)) * time.Millisecond})
		}
		s.SetLag(time.Duration(random.IntN(30)) * time.Millisecond)
		s.SetService(time.Duration(random.IntN(3)) * time.Millisecond)
	}
}

// replicas returns all servers but the primary.
func (tb *testbed) replicas() []*fakeupstream.Server {
	p := tb.primary()
	return slices.DeleteFunc(slices.Clone(tb.servers.Servers), func(s *fakeupstream.Server) bool { return s == p })
}

// countTerms counts the terms that had a primary.
func (tb *testbed) countTerms() int {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return len(tb.primaries)
}

func (tb *testbed) primary() *fakeupstream.Server { return tb.servers.Primary() }

func testLogger(t *testing.T) log.Logger {
	return log.LoggerFunc(func(pairs ...any) error {
		t.Log(append([]any{time.Now().Format("05.000")}, pairs...)...)
		return nil
	})
}
