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

// vm is one VM's part in the group: Upstreams behind a gate, and leases with the others.
type vm struct {
	rig       *rig
	name      lease.Name
	upstreams *upstream.Upstreams
	gate      *gate
	cancel    context.CancelFunc

	mu       sync.Mutex
	leases   map[string]*lease.Lease
	views    map[platform.ServerName]view
	isolated bool
	dead     bool
}

type view struct {
	usable, before bool
	at             time.Time
}

// viewDelay is how long another VM's view is under way.
const viewDelay = 20 * time.Millisecond

func (v *vm) group() *upstream.Group {
	g, _ := v.upstreams.Group("r1")
	return g
}

// Lease takes part in a lease with the other VMs.
func (v *vm) Lease(ctx context.Context, name string) func() bool {
	l := &lease.Lease{
		Self:  lease.Member{Name: v.name, Incarnation: lease.Incarnation(uuid.NewString())},
		Table: leaseTable{v, platform.RowKey("lease/" + name)}, Peers: leasePeers{v, name},
		Hears: v.hears, Candidates: v.others, Listed: func() ([]lease.Name, bool) { return append(v.others(), v.name), true },
		NewChange: func() lease.Change { return lease.Change(uuid.NewString()) },
		Now:       func() time.Duration { return time.Since(v.rig.began) },
	}
	v.mu.Lock()
	v.leases[name] = l
	v.mu.Unlock()
	v.rig.tasks.Go(func() { _ = l.Run(ctx) })
	return func() bool {
		_, held := l.Held()
		return held || v.rig.believes()
	}
}

func (v *vm) holds() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	l := v.leases["group/r1"]
	if l == nil || v.dead {
		return false
	}
	_, held := l.Held()
	return held
}

func (v *vm) others() []lease.Name {
	var names []lease.Name
	for _, o := range v.rig.list() {
		if o.name != v.name {
			names = append(names, o.name)
		}
	}
	return names
}

// hears is what heartbeats tell of another VM.
func (v *vm) hears(name lease.Name) (lease.Run, bool) {
	for _, o := range v.rig.list() {
		if o.name == name {
			return lease.Run(fmt.Sprintf("%p", o)), v.reaches(o) && !o.gate.shut()
		}
	}
	return "", false
}

// reaches tells whether messages pass between two VMs.
func (v *vm) reaches(o *vm) bool { return !v.out() && !o.out() }

func (v *vm) out() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.isolated || v.dead
}

func (v *vm) isolate(on bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.isolated = on
}

func (v *vm) killed() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.dead
}

// Opinions counts the other VMs' views as they were a while ago.
func (v *vm) Opinions(server platform.ServerName) (heard, against int) {
	if v.rig.oneView {
		return 1, 1
	}
	if v.rig.noViews {
		return 2, 0
	}
	for _, o := range v.rig.list() {
		if o == v || !v.reaches(o) || o.gate.shut() {
			continue
		}
		o.mu.Lock()
		w, found := o.views[server]
		o.mu.Unlock()
		if !found {
			continue
		}
		usable := w.usable
		if time.Since(w.at) < viewDelay {
			usable = w.before
		}
		heard++
		if !usable {
			against++
		}
	}
	return heard, against
}

// Tell keeps this VM's view for the others.
func (v *vm) Tell(server platform.ServerName, usable bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.views[server] = view{usable: usable, before: v.views[server].usable, at: time.Now()}
}

// leasePeers carries a lease's requests.
type leasePeers struct {
	vm   *vm
	name string
}

func (p leasePeers) Ask(ctx context.Context, to lease.Name, r lease.Request) (lease.Answer, error) {
	for _, o := range p.vm.rig.list() {
		if o.name != to || !p.vm.reaches(o) || !p.vm.gate.pass() || !o.gate.pass() || ctx.Err() != nil {
			continue
		}
		time.Sleep(time.Millisecond)
		o.mu.Lock()
		l := o.leases[p.name]
		o.mu.Unlock()
		if l == nil {
			break
		}
		a := l.Answer(r)
		time.Sleep(time.Millisecond)
		if p.vm.gate.pass() && o.gate.pass() && ctx.Err() == nil {
			return a, nil
		}
	}
	return lease.Answer{}, lease.ErrUnavailable.New("%s doesn't answer", to)
}

// leaseTable is a lease's row.
type leaseTable struct {
	vm  *vm
	key platform.RowKey
}

func (t leaseTable) Read(ctx context.Context) (lease.Row, error) {
	row, err := t.vm.table().Get(ctx, t.key)
	if errorx.IsOfType(err, platform.ErrNoRow) {
		return lease.Row{}, nil
	}
	return t.parse(row, err)
}

func (t leaseTable) Swap(ctx context.Context, r lease.Row) (lease.Row, error) {
	body, _ := json.Marshal(r)
	return t.parse(t.vm.table().Put(ctx, platform.Row{Key: t.key, Version: platform.Version(r.Version), Change: platform.ChangeID(r.Change), Body: body}))
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
	r.Version, r.Change = lease.Version(row.Version), lease.Change(row.Change)
	return r, err
}

// gate holds back all that a VM takes in or sends while it is paused.
type gate struct {
	mu     sync.Mutex
	paused chan struct{}
	dead   bool
	// left steps until the VM pauses for a time.
	left int
	time time.Duration
}

// pass waits while the VM is paused; false once it is killed.
func (g *gate) pass() bool {
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

func (g *gate) shut() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.paused != nil || g.dead
}

// pauseAfter pauses the VM for a time at its next step number n.
func (g *gate) pauseAfter(n int, d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.left, g.time = n, d
}

// step counts a step of a promotion.
func (g *gate) step() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.left == 0 {
		return
	}
	g.left--
	if g.left == 0 && g.paused == nil {
		g.paused = make(chan struct{})
		time.AfterFunc(g.time, g.open)
	}
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.paused != nil {
		close(g.paused)
		g.paused = nil
	}
}

func (g *gate) kill() {
	g.mu.Lock()
	g.dead = true
	g.mu.Unlock()
	g.open()
}

// gatedTable is the platform's table as a VM that pauses sees it.
type gatedTable struct {
	platform.Table
	gate *gate
}

func (v *vm) table() platform.Table { return gatedTable{v.rig.platform.Table(), v.gate} }

func (t gatedTable) Get(ctx context.Context, key platform.RowKey) (platform.Row, error) {
	t.before(key)
	row, err := t.Table.Get(ctx, key)
	t.before(key)
	return row, err
}

func (t gatedTable) Put(ctx context.Context, row platform.Row) (platform.Row, error) {
	t.before(row.Key)
	if t.gate.shut() {
		return platform.Row{}, platform.ErrUnavailable.New("killed")
	}
	row, err := t.Table.Put(ctx, row)
	t.before(row.Key)
	return row, err
}

func (t gatedTable) before(key platform.RowKey) {
	if key == "group/r1" {
		t.gate.step()
	}
	t.gate.pass()
}

// gatedConn is a VM's connection. What it writes while paused leaves afterwards, so
// that no lock is held over a pause.
type gatedConn struct {
	net.Conn
	gate *gate
	mu   sync.Mutex
	kept []byte
}

func (c *gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if bytes.Contains(p[:n], []byte("savoryramp_fence")) || bytes.Contains(p[:n], []byte("savoryramp_promote")) {
		c.gate.step()
	}
	if !c.gate.pass() {
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
	if len(c.kept) == 0 && !c.gate.shut() {
		return c.Conn.Write(p)
	}
	if len(c.kept) == 0 {
		go c.later()
	}
	c.kept = append(c.kept, p...)
	return len(p), nil
}

func (c *gatedConn) later() {
	if !c.gate.pass() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.Conn.Write(c.kept)
	c.kept = nil
}
