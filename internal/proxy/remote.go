package proxy

import (
	"context"
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"
)

// Batch is a sequence of commands for a server, sent to the VM that owns pooled connections to
// that server.
type Batch struct {
	Service   ServiceName
	Server    ServerID
	Workspace WorkspaceName
	// Profiled is true if the connection must have exactly the session values in Values and,
	// for the commands that execute prepared statements, the Plans.
	Profiled bool
	Values   map[string]string
	Plans    map[StatementName]Plan
	Commands []Command
	// Open is true if the commands belong to a transaction that an earlier batch on the same
	// peer connection began.
	Open bool
	// Within is how long the sender waits for the answers.
	Within time.Duration
	// LinkAgeMs is for how long the link that carries the batch had been open when it was sent, in
	// milliseconds. It is set by the link.
	LinkAgeMs int64
	// Number increases with each batch on the link that carries it, from 1. It is set by the link.
	Number uint64
	// Priority and WorkspacePriority order the batch among those that wait for the server.
	// ObjectiveMs and DeadlineMs are the times left to the objective, zero if there is none, and
	// to the deadline, in milliseconds. FirstDeadlineMs is that of a refused attempt whose caller
	// has returned in time, zero if there is none.
	Priority, WorkspacePriority              Priority
	ObjectiveMs, DeadlineMs, FirstDeadlineMs int32
	// Verification is true if the commands verify the primary, for which the connection of any
	// workspace will do.
	Verification bool
}

// Shorten takes a delay off the batch's time limits.
func (b *Batch) Shorten(delay time.Duration) {
	b.Within -= delay
	for _, left := range []*int32{&b.ObjectiveMs, &b.DeadlineMs, &b.FirstDeadlineMs} {
		if *left > 0 {
			*left = max(*left-int32(delay.Milliseconds()), 1)
		}
	}
}

// ServerLoad is a server's load, as the VM that holds its connections sees it, for the class of the
// request that the message answers. The zero value tells nothing.
type ServerLoad struct {
	// InService, Waiting and Limit count statements. Limit is zero if the load isn't known.
	InService int `json:"in-service"`
	Waiting   int `json:"waiting"`
	Limit     int `json:"limit"`
	// MoreUrgentWaiting counts the waiting statements that are more urgent than the request.
	MoreUrgentWaiting int `json:"more-urgent-waiting"`
	// ExpectedWaitMs is the wait that a further request of the class has to expect, in
	// milliseconds.
	ExpectedWaitMs int64 `json:"expected-wait-ms"`
	// ServiceMs is the average service time of the class, in milliseconds.
	ServiceMs int64 `json:"service-ms"`
}

// Relay reaches servers over the connections of other VMs.
type Relay interface {
	// Owner returns the address of the VM that owns the connections to a server for a
	// workspace. here is true if that is this VM, or if no owner can be reached.
	// connections is how many connections to the server all owners may have together.
	Owner(s Server, w WorkspaceName, connections int) (address Address, here bool)
	// OwnsAny reports whether this VM may own the connections to a server for some workspace.
	OwnsAny(s Server, connections int) bool
	// Open opens a connection to another VM or reuses one. On ErrPeerUnreachable nothing was
	// sent.
	Open(ctx context.Context, address Address) (PeerLink, error)
}

// PeerLink is a connection to another VM. It isn't safe for concurrent use.
type PeerLink interface {
	// Exec runs a batch on the other VM. It returns the error of that VM, or
	// ErrPeerOutcomeUnknown if it isn't known whether the batch ran, or ErrPeerUnreachable if
	// the batch wasn't sent.
	Exec(b Batch, until time.Time) ([]Answer, error)
	// Load returns the server's load that came with the last response to Exec.
	Load() ServerLoad
	// Release keeps the connection for reuse, or closes it, which also ends the transaction
	// open on it.
	Release(keep bool)
}

// remoteExecutor runs commands over another VM's connection to the server.
type remoteExecutor struct {
	link   PeerLink
	group  *Group
	server ServerID
	demand demand
	// inTx is true if the latest answer left a transaction open or failed.
	inTx bool
}

func (e *remoteExecutor) release(keep bool, _ time.Duration) { e.link.Release(keep && !e.inTx) }

func (e *remoteExecutor) exec(p *profile, commands []Command, until time.Time) ([]Answer, error) {
	b := Batch{Service: e.group.Name, Server: e.server, Workspace: e.demand.workspace.Name, Commands: commands, Open: e.inTx, Within: time.Until(until)}
	if e.group.VM.PriorityScheduling {
		e.demand.describe(&b)
	}
	if p != nil {
		b.Profiled, b.Values, b.Plans = true, p.values, p.neededPlans(commands)
	}
	answers, err := e.link.Exec(b, until)
	if l := e.link.Load(); l.Limit > 0 {
		e.group.observeLoad(e.server, e.demand.Priority, l)
	}
	if err == nil && len(answers) != len(commands) {
		err = ErrPeerOutcomeUnknown.New("received %d answers to %d commands", len(answers), len(commands))
	}
	if err != nil {
		return nil, err
	}
	e.inTx = answers[len(answers)-1].Phase != Idle
	return answers, nil
}

// describe adds the demand to a batch.
func (d demand) describe(b *Batch) {
	b.Priority, b.WorkspacePriority, b.Verification = d.Priority, d.WorkspacePriority, d.verification
	now := time.Now()
	b.ObjectiveMs, b.DeadlineMs, b.FirstDeadlineMs = millisecondsUntil(now, d.Objective), millisecondsUntil(now, d.Deadline), millisecondsUntil(now, d.FirstDeadline)
}

// millisecondsUntil returns the milliseconds from now until t, but zero only if t is zero.
func millisecondsUntil(now, t time.Time) int32 {
	if t.IsZero() {
		return 0
	}
	if ms := int32(t.Sub(now).Milliseconds()); ms != 0 {
		return ms
	}
	return 1
}

// demand returns what the batch asks of its server. The batch must end by until.
func (b *Batch) demand(until time.Time) demand {
	d := demand{
		workspace: &Workspace{Name: b.Workspace, Priority: b.WorkspacePriority}, verification: b.Verification,
		Urgency: Urgency{Priority: b.Priority, WorkspacePriority: b.WorkspacePriority, Deadline: until},
	}
	now := time.Now()
	if b.ObjectiveMs != 0 {
		d.Objective = now.Add(time.Duration(b.ObjectiveMs) * time.Millisecond)
	}
	if b.DeadlineMs != 0 {
		d.Deadline = now.Add(time.Duration(b.DeadlineMs) * time.Millisecond)
	}
	if b.FirstDeadlineMs != 0 {
		d.FirstDeadline = now.Add(time.Duration(b.FirstDeadlineMs) * time.Millisecond)
	}
	return d
}

// neededPlans returns the plan of the prepared statement that the commands execute, if any. At
// most one of the commands is an Execute.
func (p *profile) neededPlans(commands []Command) map[StatementName]Plan {
	var plans map[StatementName]Plan
	for _, c := range commands {
		f, _ := c.(Forward)
		if e, isExecute := f.Statement.(Execute); isExecute {
			plans = map[StatementName]Plan{e.Name: p.plans[e.Name]}
		}
	}
	return plans
}

// OnlyReads reports whether none of the batch's commands can change anything.
func (b *Batch) OnlyReads() bool {
	for _, c := range b.Commands {
		f, isForward := c.(Forward)
		if isForward && (isCommit(f) || writes(&profile{plans: b.Plans}, f)) {
			return false
		}
	}
	return true
}

// replyMargin is reserved in a batch's time limit for the transmission of the answers.
const replyMargin = 10 * time.Millisecond

// RemoteSession runs another VM's batches on this VM's connections. Each peer connection has
// its own RemoteSession.
type RemoteSession struct {
	VM *VM

	checkout *checkout
	// isRunning is true while a batch runs, also if it ends with a panic.
	isRunning bool
}

// Exec runs a batch. The connection returns to its pool when no transaction is open on it, and
// is closed after an error, unless no command was sent and no transaction is open.
func (rs *RemoteSession) Exec(ctx context.Context, b Batch) ([]Answer, error) {
	until := time.Now().Add(b.Within - replyMargin)
	// A refusal rolls back first, so that it needs time as well.
	if rs.VM.endsBefore(until.Add(rollbackTimeout)) {
		rs.Close()
		return nil, ErrBusy.New("VM %s is shutting down", rs.VM.Name)
	}
	if rs.checkout == nil && b.Open {
		return nil, ErrBroken.New("the connection of the transaction at server %s was lost", b.Server)
	}
	if rs.checkout == nil {
		co, err := rs.VM.checkOutForPeer(ctx, b, until)
		if err != nil {
			return nil, err
		}
		rs.checkout = co
		rs.VM.remoteSessions.Add(1)
	}
	var p *profile
	if b.Profiled {
		p = &profile{values: b.Values, plans: b.Plans}
	}
	rs.isRunning = true
	answers, err := rs.checkout.executor.exec(p, b.Commands, until)
	rs.isRunning = false
	switch {
	case err != nil:
		rs.checkout.recordFailure(err)
		rs.release(notSent(err) && !b.Open)
	case len(answers) == 0 || answers[len(answers)-1].Phase == Idle:
		rs.release(true)
	}
	return answers, err
}

// Load returns the load of a batch's server, zero if this VM doesn't order the statements there.
func (rs *RemoteSession) Load(b Batch) ServerLoad {
	if !rs.VM.PriorityScheduling {
		return ServerLoad{}
	}
	m := rs.VM.member(b.Service, b.Server)
	if m == nil || m.pool.Queue == nil {
		return ServerLoad{}
	}
	return m.pool.Queue.load(Urgency{Priority: b.Priority, WorkspacePriority: b.WorkspacePriority})
}

// release returns the connection to its pool, or closes it if keep is false.
func (rs *RemoteSession) release(keep bool) {
	rs.checkout.release(keep)
	rs.checkout = nil
	rs.VM.remoteSessions.Add(-1)
}

// Close rolls back the open transaction, if there is one, and releases the connection, or closes
// it if the rollback fails or a panic has ended a batch.
func (rs *RemoteSession) Close() {
	if rs.checkout == nil {
		return
	}
	if rs.isRunning {
		rs.release(false)
		return
	}
	a, err := rs.checkout.rollback(time.Now().Add(rollbackTimeout))
	rs.release(err == nil && a.Phase == Idle)
}

// member returns a server of a service, or nil if this VM doesn't know it.
func (v *VM) member(service ServiceName, id ServerID) *member {
	g := v.group(service)
	if g == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members[id]
}

// checkOutForPeer checks out one of this VM's own connections for another VM's batch.
func (v *VM) checkOutForPeer(ctx context.Context, b Batch, until time.Time) (*checkout, error) {
	g := v.group(b.Service)
	if g == nil {
		return nil, ErrNoServer.New("service %s is unknown to this VM", b.Service)
	}
	g.mu.Lock()
	m := g.members[b.Server]
	g.mu.Unlock()
	if m == nil {
		return nil, ErrNoServer.New("server %s is unknown to this VM", b.Server)
	}
	m.pool.relayedAt.Store(int64(clock.Now()))
	d := b.demand(until)
	d.mayCommit = b.mayCommit()
	return g.checkOutLocal(ctx, m, d, until)
}

// checkOut checks out a connection to a server for a demand, from the VM that owns the
// workspace's connections to it. If that VM can't be reached, it uses a connection of this VM.
func (g *Group) checkOut(ctx context.Context, m *member, d demand, until time.Time) (*checkout, error) {
	if address, cold := g.coldSender(m); cold {
		return g.checkOutCold(ctx, m, address, d, until)
	}
	for attempt := 1; g.VM.Relay != nil; attempt++ {
		address, local := g.VM.Relay.Owner(m.pool.Server, d.workspace.Name, g.VM.ownerConnectionLimit(g.Name))
		if local {
			break
		}
		link, err := g.VM.Relay.Open(ctx, address)
		if err == nil {
			return g.newCheckout(&remoteExecutor{link: link, group: g, server: m.pool.Server.ID, demand: d}, m.pool.Server.ID, false), nil
		}
		if g.VM.PriorityScheduling && attempt < maxOwnerAttempts {
			eventRelayFailed.Log(g.Logger, "server", m.pool.Server.ID, "peer", address, "err", err, "outcome", "next in rank")
			continue
		}
		eventRelayFailed.Log(g.Logger, "server", m.pool.Server.ID, "peer", address, "err", err, "outcome", "own connection")
		break
	}
	return g.checkOutLocal(ctx, m, d, until)
}

// maxOwnerAttempts is how many VMs are tried as the owner of a server's connections before this VM
// uses its own, if one VM owns all of them. A VM that can't be reached is no longer chosen.
const maxOwnerAttempts = 3

// checkOutLocal checks out one of this VM's own connections. If the server has closed the
// acquired one, all idle ones are closed and another is acquired.
func (g *Group) checkOutLocal(ctx context.Context, m *member, d demand, until time.Time) (*checkout, error) {
	for {
		c, err := m.pool.checkOut(ctx, d, until)
		if err != nil {
			return nil, err
		}
		if g.prepare(m, c, until) {
			return g.newCheckout(localExecutor{c}, c.Server, true), nil
		}
	}
}

// prepare makes an acquired connection ready for use, or closes it and reports that it can't be used. If the
// server has closed it, all idle ones are closed.
func (g *Group) prepare(m *member, c *Conn, until time.Time) bool {
	err := c.prepare(until)
	if err == nil {
		return true
	}
	c.leave()
	m.pool.Release(c, false, 0)
	if !isType(err, ErrUnsettled) {
		m.pool.CloseIdle()
	}
	return false
}

// acquireAny acquires any idle connection of this VM for the VM's own commands, or opens one.
func (g *Group) acquireAny(ctx context.Context, m *member, until time.Time) (*Conn, error) {
	for {
		c, err := m.pool.AcquireAny(ctx, until)
		if err != nil {
			return nil, err
		}
		if g.prepare(m, c, until) {
			return c, nil
		}
	}
}

// notSent reports whether an error guarantees that no command of the batch has run.
func notSent(err error) bool {
	return isType(err, ErrBusy) || isType(err, ErrRefused) || isType(err, ErrConnect) ||
		isType(err, ErrWrongServer) || isType(err, ErrNoServer) || isType(err, ErrPeerUnreachable) || isType(err, ErrUnsettled)
}
