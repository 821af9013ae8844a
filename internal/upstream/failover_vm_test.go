package upstream_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"

	"github.com/savoryramp/savoryramp/internal/platform"
	"github.com/savoryramp/savoryramp/internal/upstream"
	"github.com/savoryramp/savoryramp/pkg/lease"
)

// testVM is one VM of the testbed: Upstreams behind a pauseGate, and leases shared with
// the other VMs.
type testVM struct {
	testbed   *testbed
	name      lease.Name
	upstreams *upstream.Upstreams
	gate      *pauseGate
	cancel    context.CancelFunc

	mu           sync.Mutex
	leases       map[string]*lease.Lease
	observations map[platform.ServerName]observation
	isolated     bool
	dead         bool
}

// observation is whether a VM can use a server, now and before the last report.
type observation struct {
	usable, previous bool
	changedAt        time.Time
}

// observationDelay is how long an observation takes to reach another VM.
const observationDelay = 20 * time.Millisecond

func (v *testVM) group() *upstream.Group {
	g, _ := v.upstreams.Group("r1")
	return g
}

// JoinLease competes for a lease with the other VMs.
func (v *testVM) JoinLease(ctx context.Context, name string) func() bool {
	l := &lease.Lease{
		Self:  lease.Member{Name: v.name, Incarnation: lease.Incarnation(uuid.NewString())},
		Table: leaseTable{v, platform.RowKey("lease/" + name)}, Peers: leasePeers{v, name},
		ObservedRun: v.peerRun, Candidates: v.others, ListedNames: func() ([]lease.Name, bool) { return append(v.others(), v.name), true },
		NewChangeID: func() lease.ChangeID { return lease.ChangeID(uuid.NewString()) },
		Now:         func() time.Duration { return time.Since(v.testbed.startedAt) },
	}
	v.mu.Lock()
	v.leases[name] = l
	v.mu.Unlock()
	v.testbed.tasks.Go(func() { _ = l.Run(ctx) })
	return func() bool {
		_, held := l.Held()
		return held || v.testbed.assumesLease()
	}
}

func (v *testVM) holdsLease() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	l := v.leases["group/r1"]
	if l == nil || v.dead {
		return false
	}
	_, held := l.Held()
	return held
}

func (v *testVM) others() []lease.Name {
	var names []lease.Name
	for _, other := range v.testbed.startedVMs() {
		if other.name != v.name {
			names = append(names, other.name)
		}
	}
	return names
}

// peerRun returns an identifier of another VM's present incarnation and whether that VM
// is live, as heartbeats would report them.
func (v *testVM) peerRun(name lease.Name) (lease.RunID, bool) {
	for _, other := range v.testbed.startedVMs() {
		if other.name == name {
			return lease.RunID(fmt.Sprintf("%p", other)), v.isConnectedTo(other) && !other.gate.isShut()
		}
	}
	return "", false
}

// isConnectedTo reports whether messages pass between two VMs.
func (v *testVM) isConnectedTo(other *testVM) bool { return !v.isOffline() && !other.isOffline() }

func (v *testVM) isOffline() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.isolated || v.dead
}

func (v *testVM) setIsolated(on bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.isolated = on
}

func (v *testVM) isDead() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.dead
}

// Observations counts the other VMs' observations as they were observationDelay ago.
func (v *testVM) Observations(server platform.ServerName) (reporting, unusable int) {
	if v.testbed.ownViewOnly {
		return 1, 1
	}
	if v.testbed.reportAllUsable {
		return 2, 0
	}
	for _, o := range v.testbed.startedVMs() {
		if o == v || !v.isConnectedTo(o) || o.gate.isShut() {
			continue
		}
		o.mu.Lock()
		observed, found := o.observations[server]
		o.mu.Unlock()
		if !found {
			continue
		}
		usable := observed.usable
		if time.Since(observed.changedAt) < observationDelay {
			usable = observed.previous
		}
		reporting++
		if !usable {
			unusable++
		}
	}
	return reporting, unusable
}

// ReportObservation stores this VM's observation for the other VMs.
func (v *testVM) ReportObservation(server platform.ServerName, usable bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.observations[server] = observation{usable: usable, previous: v.observations[server].usable, changedAt: time.Now()}
}

// leasePeers delivers a lease's requests to other VMs.
type leasePeers struct {
	testVM *testVM
	name   string
}

func (p leasePeers) Send(ctx context.Context, to lease.Name, r lease.Request) (lease.Response, error) {
	for _, o := range p.testVM.testbed.startedVMs() {
		if o.name != to || !p.testVM.isConnectedTo(o) || !p.testVM.gate.waitOpen() || !o.gate.waitOpen() || ctx.Err() != nil {
			continue
		}
		time.Sleep(time.Millisecond)
		o.mu.Lock()
		l := o.leases[p.name]
		o.mu.Unlock()
		if l == nil {
			break
		}
		a := l.HandleRequest(r)
		time.Sleep(time.Millisecond)
		if p.testVM.gate.waitOpen() && o.gate.waitOpen() && ctx.Err() == nil {
			return a, nil
		}
	}
	return lease.Response{}, lease.ErrUnavailable.New("%s doesn't answer", to)
}

// leaseTable stores a lease in a row of the table.
type leaseTable struct {
	testVM *testVM
	key    platform.RowKey
}

func (t leaseTable) Read(ctx context.Context) (lease.Row, error) {
	row, err := t.testVM.table().Get(ctx, t.key)
	if errorx.IsOfType(err, platform.ErrNoRow) {
		return lease.Row{}, nil
	}
	return t.parse(row, err)
}

func (t leaseTable) Swap(ctx context.Context, r lease.Row) (lease.Row, error) {
	body, _ := json.Marshal(r)
	return t.parse(t.testVM.table().Put(ctx, platform.Row{Key: t.key, Version: platform.Version(r.Version), Change: platform.ChangeID(r.ChangeID), Body: body}))
}

func (t leaseTable) parse(row platform.Row, err error) (lease.Row, error) {
	switch {
	case errorx.IsOfType(err, platform.ErrConflict):
		return lease.Row{}, lease.ErrConflict.Wrap(err, "row")
	case errorx.IsOfType(err, platform.ErrUnavailable):
		return lease.Row{}, lease.ErrUnavailable.Wrap(err, "row")
	case err != nil:
		return lease.Row{}, lease.ErrOutcomeUnknown.Wrap(err, "row")
	}
	var r lease.Row
	err = json.Unmarshal(row.Body, &r)
	r.Version, r.ChangeID = lease.Version(row.Version), lease.ChangeID(row.Change)
	return r, err
}

// pauseGate delays everything that a VM receives or sends while it is paused.
type pauseGate struct {
	mu     sync.Mutex
	paused chan struct{}
	dead   bool
	// stepsLeft is the number of steps before the VM pauses for pauseDuration.
	stepsLeft     int
	pauseDuration time.Duration
}

// waitOpen waits while the VM is paused; it returns false once the VM is killed.
func (g *pauseGate) waitOpen() bool {
	for {
		g.mu.Lock()
		paused, dead := g.paused, g.dead
		g.mu.Unlock()
		if dead || paused == nil {
			return !dead
		}
		<-paused
	}
}

func (g *pauseGate) isShut() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.paused != nil || g.dead
}

// pauseAfter pauses the VM for d at its next nth step.
func (g *pauseGate) pauseAfter(n int, d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stepsLeft, g.pauseDuration = n, d
}

// step counts one step of a promotion, and pauses the VM when none is left.
func (g *pauseGate) step() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stepsLeft == 0 {
		return
	}
	g.stepsLeft--
	if g.stepsLeft == 0 && g.paused == nil {
		g.paused = make(chan struct{})
		time.AfterFunc(g.pauseDuration, g.open)
	}
}

func (g *pauseGate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.paused != nil {
		close(g.paused)
		g.paused = nil
	}
}

func (g *pauseGate) kill() {
	g.mu.Lock()
	g.dead = true
	g.mu.Unlock()
	g.open()
}

// gatedTable is the platform's table as seen by a VM that may pause.
type gatedTable struct {
	platform.Table
	gate *pauseGate
}

func (v *testVM) table() platform.Table { return gatedTable{v.testbed.platform.Table(), v.gate} }

func (t gatedTable) Get(ctx context.Context, key platform.RowKey) (platform.Row, error) {
	t.passStep(key)
	row, err := t.Table.Get(ctx, key)
	t.passStep(key)
	return row, err
}

func (t gatedTable) Put(ctx context.Context, row platform.Row) (platform.Row, error) {
	t.passStep(row.Key)
	if t.gate.isShut() {
		return platform.Row{}, platform.ErrUnavailable.New("killed")
	}
	row, err := t.Table.Put(ctx, row)
	t.passStep(row.Key)
	return row, err
}

func (t gatedTable) passStep(key platform.RowKey) {
	if key == "group/r1" {
		t.gate.step()
	}
	t.gate.waitOpen()
}

// gatedConn is a VM's connection. Data written during a pause is sent afterwards, so
// that no lock is held during the pause.
type gatedConn struct {
	net.Conn
	gate         *pauseGate
	mu           sync.Mutex
	pausedWrites []byte
}

func (c *gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if bytes.Contains(p[:n], []byte("savoryramp_fence")) || bytes.Contains(p[:n], []byte("savoryramp_promote")) {
		c.gate.step()
	}
	if !c.gate.waitOpen() {
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *gatedConn) Write(p []byte) (int, error) {
	if bytes.Contains(p, []byte("savoryramp_fence")) || bytes.Contains(p, []byte("savoryramp_promote")) || bytes.Contains(p, []byte("savoryramp_follow")) {
		c.gate.step()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pausedWrites) == 0 && !c.gate.isShut() {
		return c.Conn.Write(p)
	}
	if len(c.pausedWrites) == 0 {
		go c.flushWhenOpen()
	}
	c.pausedWrites = append(c.pausedWrites, p...)
	return len(p), nil
}

func (c *gatedConn) flushWhenOpen() {
	if !c.gate.waitOpen() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.Conn.Write(c.pausedWrites)
	c.pausedWrites = nil
}
