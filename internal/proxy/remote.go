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
	Home(s Server, w WorkspaceName, connections int) (address Address, here bool)
	// Open gives a way to another VM. ErrUnreached; nothing was sent.
	Open(ctx context.Context, address Address) (RemoteLink, error)
}

// RemoteLink is a way to another VM. One task uses it at a time.
type RemoteLink interface {
	// Exec runs a batch there. The errors are those of the VM that ran it, or ErrPeer
	// when what became of it isn't known, or ErrUnreached when it wasn't sent.
	Exec(b Batch, until time.Time) ([]Answer, error)
	// Give keeps the way for others, or ends it, which ends what is open there.
	Give(keep bool)
}

// remote is the channel over another VM's connection.
type remote struct {
	link      RemoteLink
	service   ServiceName
	server    ServerID
	workspace WorkspaceName
	// open is true while a transaction is.
	open bool
}

func (r *remote) give(keep bool, _ time.Duration) { r.link.Give(keep && !r.open) }

func (r *remote) exec(p *profile, commands []Command, until time.Time) ([]Answer, error) {
	b := Batch{Service: r.service, Server: r.server, Workspace: r.workspace, Commands: commands, Open: r.open, Within: time.Until(until)}
	if p != nil {
		b.Profiled, b.Values, b.Plans = true, p.values, p.needed(commands)
	}
	answers, err := r.link.Exec(b, until)
	if err == nil && len(answers) != len(commands) {
		err = ErrPeer.New("%d answers to %d commands", len(answers), len(commands))
	}
	if err != nil {
		return nil, err
	}
	r.open = answers[len(answers)-1].Phase != Idle
	return answers, nil
}

// needed are the plans that commands name.
func (p *profile) needed(commands []Command) map[StatementName]Plan {
	var plans map[StatementName]Plan
	for _, c := range commands {
		f, _ := c.(Forward)
		if e, is := f.Statement.(Execute); is {
			plans = map[StatementName]Plan{e.Name: p.plans[e.Name]}
		}
	}
	return plans
}

// wayBack is kept of a batch's time for the answer's way.
const wayBack = 10 * time.Millisecond

// Guest runs another VM's batches on this one's connections; one for each way.
type Guest struct {
	VM *VM

	lease *lease
}

// Exec runs a batch. Between transactions the connection goes back to its pool.
func (h *Guest) Exec(ctx context.Context, b Batch) ([]Answer, error) {
	until := time.Now().Add(b.Within - wayBack)
	if h.lease == nil && b.Open {
		return nil, ErrBroken.New("the transaction at server %s is gone", b.Server)
	}
	if h.lease == nil {
		l, err := h.VM.host(ctx, b, until)
		if err != nil {
			return nil, err
		}
		h.lease = l
		h.VM.guests.Add(1)
	}
	var p *profile
	if b.Profiled {
		p = &profile{values: b.Values, plans: b.Plans}
	}
	answers, err := h.lease.channel.exec(p, b.Commands, until)
	switch {
	case err != nil:
		h.lease.failed(err)
		h.end(notSent(err) && !b.Open)
	case len(answers) == 0 || answers[len(answers)-1].Phase == Idle:
		h.end(true)
	}
	return answers, err
}

// end gives the connection back.
func (h *Guest) end(keep bool) {
	h.lease.give(keep)
	h.lease = nil
	h.VM.guests.Add(-1)
}

// Close ends what is open.
func (h *Guest) Close() {
	if h.lease == nil {
		return
	}
	a, err := h.lease.abandon(time.Now().Add(settleWithin))
	h.end(err == nil && a.Phase == Idle)
}

// host takes one of this VM's own connections for a batch.
func (v *VM) host(ctx context.Context, b Batch, until time.Time) (*lease, error) {
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
	return g.takeDirect(ctx, m, &Workspace{Name: b.Workspace}, until)
}

// take gives a lease on a server for a workspace, over whichever VM holds connections.
func (g *Group) take(ctx context.Context, m *member, w *Workspace, until time.Time) (*lease, error) {
	if g.VM.Relay != nil {
		if address, here := g.VM.Relay.Home(m.pool.Server, w.Name, g.VM.dealt(g.Name)); !here {
			link, err := g.VM.Relay.Open(ctx, address)
			if err == nil {
				return g.lease(&remote{link: link, service: g.Name, server: m.pool.Server.ID, workspace: w.Name}, m.pool.Server.ID, false), nil
			}
			eventRelay.Log(g.Logger, "server", m.pool.Server.ID, "peer", address, "err", err, "outcome", "own connection")
		}
	}
	return g.takeDirect(ctx, m, w, until)
}

// takeDirect gives a lease over a connection of this VM's own that hasn't ended.
func (g *Group) takeDirect(ctx context.Context, m *member, w *Workspace, until time.Time) (*lease, error) {
	for {
		c, err := m.pool.Take(ctx, w, until)
		if err != nil {
			return nil, err
		}
		if c.Link.Alive() {
			return g.lease(local{c}, c.Server, true), nil
		}
		m.pool.Give(c, false, 0)
		m.pool.Drop()
	}
}

// notSent tells the errors after which no command of a batch has run.
func notSent(err error) bool {
	return isType(err, ErrBusy) || isType(err, ErrRefused) || isType(err, ErrConnect) ||
		isType(err, ErrWrongServer) || isType(err, ErrNoServer) || isType(err, ErrUnreached)
}
