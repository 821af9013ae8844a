package proxy

import (
	"context"
	"time"
)

// Batch is a run of commands for a server, for the VM that holds connections to it.
type Batch struct {
	Service   ServiceName
	Server    ServerID
	Workspace WorkspaceName
	// Profiled batches find Values and Plans at the server.
	Profiled bool
	Values   map[string]string
	Plans    map[StatementName]Plan
	Commands []Command
	// Open batches belong to the transaction that an earlier one on the same way began.
	Open bool
	// Within is how long the sender waits.
	Within time.Duration
}

// Relay reaches servers over other VMs' connections.
type Relay interface {
	// Home is where the VM listens that holds the connections to a server for a workspace;
	// here is true if that is this one, or no other can be reached.
	// All VMs together may use so many connections to the server.
	Owner(s Server, w WorkspaceName, connections int) (address Address, here bool)
	// Open gives a way to another VM. ErrUnreached; nothing was sent.
	Open(ctx context.Context, address Address) (PeerLink, error)
}

// RemoteLink is a way to another VM. One task uses it at a time.
type PeerLink interface {
	// Exec runs a batch there. The errors are those of the VM that ran it, or ErrPeer
	// when what became of it isn't known, or ErrUnreached when it wasn't sent.
	Exec(b Batch, until time.Time) ([]Answer, error)
	// Give keeps the way for others, or ends it, which ends what is open there.
	Release(keep bool)
}

// remote is the channel over another VM's connection.
type remoteExecutor struct {
	link      PeerLink
	service   ServiceName
	server    ServerID
	workspace WorkspaceName
	// open is true while a transaction is.
	inTransaction bool
}

func (e *remoteExecutor) release(keep bool, _ time.Duration) {
	e.link.Release(keep && !e.inTransaction)
}

func (e *remoteExecutor) exec(p *profile, commands []Command, until time.Time) ([]Answer, error) {
	b := Batch{Service: e.service, Server: e.server, Workspace: e.workspace, Commands: commands, Open: e.inTransaction, Within: time.Until(until)}
	if p != nil {
		b.Profiled, b.Values, b.Plans = true, p.values, p.neededPlans(commands)
	}
	answers, err := e.link.Exec(b, until)
	if err == nil && len(answers) != len(commands) {
		err = ErrPeerOutcomeUnknown.New("%d answers to %d commands", len(answers), len(commands))
	}
	if err != nil {
		return nil, err
	}
	e.inTransaction = answers[len(answers)-1].Phase != Idle
	return answers, nil
}

// needed are the plans that commands name.
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

// wayBack is kept of a batch's time for the answer's way.
const replyMargin = 10 * time.Millisecond

// Guest runs another VM's batches on this one's connections; one for each way.
type RemoteSession struct {
	VM *VM

	checkout *checkout
}

// Exec runs a batch. Between transactions the connection goes back to its pool.
func (rs *RemoteSession) Exec(ctx context.Context, b Batch) ([]Answer, error) {
	until := time.Now().Add(b.Within - replyMargin)
	if rs.checkout == nil && b.Open {
		return nil, ErrBroken.New("the transaction at server %s is gone", b.Server)
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

// end gives the connection back.
func (rs *RemoteSession) release(keep bool) {
	rs.checkout.release(keep)
	rs.checkout = nil
	rs.VM.remoteSessions.Add(-1)
}

// Close ends what is open.
func (rs *RemoteSession) Close() {
	if rs.checkout == nil {
		return
	}
	a, err := rs.checkout.rollback(time.Now().Add(rollbackTimeout))
	rs.release(err == nil && a.Phase == Idle)
}

// host takes one of this VM's own connections for a batch.
func (v *VM) checkOutForPeer(ctx context.Context, b Batch, until time.Time) (*checkout, error) {
	g := v.group(b.Service)
	if g == nil {
		return nil, ErrNoServer.New("service %s isn't known here", b.Service)
	}
	g.mu.Lock()
	m := g.members[b.Server]
	g.mu.Unlock()
	if m == nil {
		return nil, ErrNoServer.New("server %s isn't known here", b.Server)
	}
	return g.checkOutLocal(ctx, m, &Workspace{Name: b.Workspace}, until)
}

// take gives a lease on a server for a workspace, over whichever VM holds connections.
func (g *Group) checkOut(ctx context.Context, m *member, w *Workspace, until time.Time) (*checkout, error) {
	if g.VM.Relay != nil {
		if address, local := g.VM.Relay.Owner(m.pool.Server, w.Name, g.VM.ownerConnections(g.Name)); !local {
			link, err := g.VM.Relay.Open(ctx, address)
			if err == nil {
				return g.newCheckout(&remoteExecutor{link: link, service: g.Name, server: m.pool.Server.ID, workspace: w.Name}, m.pool.Server.ID, false), nil
			}
			eventRelayFailed.Log(g.Logger, "server", m.pool.Server.ID, "peer", address, "err", err, "outcome", "own connection")
		}
	}
	return g.checkOutLocal(ctx, m, w, until)
}

// takeDirect gives a lease over a connection of this VM's own that hasn't ended.
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

// notSent tells the errors after which no command of a batch has run.
func notSent(err error) bool {
	return isType(err, ErrBusy) || isType(err, ErrRefused) || isType(err, ErrConnect) ||
		isType(err, ErrWrongServer) || isType(err, ErrNoServer) || isType(err, ErrPeerUnreachable)
}
