package proxy

import (
	"context"
	"time"
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
	// Release keeps the connection for reuse, or closes it, which also ends the transaction
	// open on it.
	Release(keep bool)
}

// remoteExecutor runs commands over another VM's connection to the server.
type remoteExecutor struct {
	link      PeerLink
	service   ServiceName
	server    ServerID
	workspace WorkspaceName
	// inTx is true if the latest answer left a transaction open or failed.
	inTx bool
}

func (e *remoteExecutor) release(keep bool, _ time.Duration) { e.link.Release(keep && !e.inTx) }

func (e *remoteExecutor) exec(p *profile, commands []Command, until time.Time) ([]Answer, error) {
	b := Batch{Service: e.service, Server: e.server, Workspace: e.workspace, Commands: commands, Open: e.inTx, Within: time.Until(until)}
	if p != nil {
		b.Profiled, b.Values, b.Plans = true, p.values, p.neededPlans(commands)
	}
	answers, err := e.link.Exec(b, until)
	if err == nil && len(answers) != len(commands) {
		err = ErrPeerOutcomeUnknown.New("received %d answers to %d commands", len(answers), len(commands))
	}
	if err != nil {
		return nil, err
	}
	e.inTx = answers[len(answers)-1].Phase != Idle
	return answers, nil
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

// replyMargin is reserved in a batch's time limit for the transmission of the answers.
const replyMargin = 10 * time.Millisecond

// RemoteSession runs another VM's batches on this VM's connections. Each peer connection has
// its own RemoteSession.
type RemoteSession struct {
	VM *VM

	checkout *checkout
}

// Exec runs a batch. The connection returns to its pool when no transaction is open on it, and
// is closed after an error, unless no command was sent and no transaction is open.
func (rs *RemoteSession) Exec(ctx context.Context, b Batch) ([]Answer, error) {
	until := time.Now().Add(b.Within - replyMargin)
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
	answers, err := rs.checkout.executor.exec(p, b.Commands, until)
	switch {
	case err != nil:
		rs.checkout.recordFailure(err)
		rs.release(notSent(err) && !b.Open)
	case len(answers) == 0 || answers[len(answers)-1].Phase == Idle:
		rs.release(true)
	}
	return answers, err
}

// release returns the connection to its pool, or closes it if keep is false.
func (rs *RemoteSession) release(keep bool) {
	rs.checkout.release(keep)
	rs.checkout = nil
	rs.VM.remoteSessions.Add(-1)
}

// Close rolls back the open transaction, if there is one, and releases the connection, or closes
// it if the rollback fails.
func (rs *RemoteSession) Close() {
	if rs.checkout == nil {
		return
	}
	a, err := rs.checkout.rollback(time.Now().Add(rollbackTimeout))
	rs.release(err == nil && a.Phase == Idle)
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
	return g.checkOutLocal(ctx, m, &Workspace{Name: b.Workspace}, until)
}

// checkOut checks out a connection to a server for a workspace, from the VM that owns the
// workspace's connections to it. If that VM can't be reached, it uses a connection of this VM.
func (g *Group) checkOut(ctx context.Context, m *member, w *Workspace, until time.Time) (*checkout, error) {
	if address, cold := g.coldSender(m); cold {
		return g.checkOutCold(ctx, m, address, w, until)
	}
	if g.VM.Relay != nil {
		if address, local := g.VM.Relay.Owner(m.pool.Server, w.Name, g.VM.ownerConnectionLimit(g.Name)); !local {
			link, err := g.VM.Relay.Open(ctx, address)
			if err == nil {
				return g.newCheckout(&remoteExecutor{link: link, service: g.Name, server: m.pool.Server.ID, workspace: w.Name}, m.pool.Server.ID, false), nil
			}
			eventRelayFailed.Log(g.Logger, "server", m.pool.Server.ID, "peer", address, "err", err, "outcome", "own connection")
		}
	}
	return g.checkOutLocal(ctx, m, w, until)
}

// checkOutLocal checks out one of this VM's own connections. If the server has closed the
// acquired one, all idle ones are closed and another is acquired.
func (g *Group) checkOutLocal(ctx context.Context, m *member, w *Workspace, until time.Time) (*checkout, error) {
	for {
		c, err := m.pool.Acquire(ctx, w, until)
		if err != nil {
			return nil, err
		}
		if c.Link.IsAlive() {
			return g.newCheckout(localExecutor{c}, c.Server, true), nil
		}
		m.pool.Release(c, false, 0)
		m.pool.CloseIdle()
	}
}

// notSent reports whether an error guarantees that no command of the batch has run.
func notSent(err error) bool {
	return isType(err, ErrBusy) || isType(err, ErrRefused) || isType(err, ErrConnect) ||
		isType(err, ErrWrongServer) || isType(err, ErrNoServer) || isType(err, ErrPeerUnreachable)
}
