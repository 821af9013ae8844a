package proxy

import (
	"context"
	"time"
)

// controlConnection is a connection of a pool that carries only the VM's own commands: statuses, pauses, demotions and
// verifications. It is opened when these find no other, because callers hold all that the share allows or wait for the
// next one. Without it, a command that is to end what holds the callers up would wait for them.
type controlConnection struct {
	// turn holds one token while a command uses the connection. It is made when it is first needed.
	turn chan struct{}
	// idle is the connection while no command uses it, nil if it isn't open.
	idle *Conn
}

// controlTurn returns the channel that holds a token while a command uses the control connection; p.mu is held.
func (p *Pool) controlTurn() chan struct{} {
	if p.control.turn == nil {
		p.control.turn = make(chan struct{}, 1)
	}
	return p.control.turn
}

// acquireControl returns the control connection. It returns ErrBusy if other commands use it until deadline, and the
// errors of Connect.
func (p *Pool) acquireControl(ctx context.Context, deadline time.Time) (*Conn, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	p.mu.Lock()
	turn := p.controlTurn()
	p.mu.Unlock()
	select {
	case turn <- struct{}{}:
	case <-ctx.Done():
		return nil, ErrBusy.New("server %s: other commands of this VM hold its connection", p.Server.ID)
	}
	c, err := p.openControl(ctx)
	if err != nil {
		<-turn
		return nil, err
	}
	return c, nil
}

// openControl returns the idle control connection, or opens one. The caller has the turn.
func (p *Pool) openControl(ctx context.Context) (*Conn, error) {
	p.mu.Lock()
	c := p.control.idle
	p.control.idle = nil
	state, closed := p.currentState(), p.closed
	w := anonymousWorkspace.Name
	if last := p.lastUsedWorkspace(); last != nil {
		w = last.workspace.Name
	}
	p.mu.Unlock()
	switch {
	case c != nil:
		return c, nil
	case closed:
		return nil, ErrNoServer.New("server %s was removed", p.Server.ID)
	case state != poolOpen:
		return nil, ErrBusy.New("server %s: all connections are in use", p.Server.ID)
	}
	link, _, err := p.Connect(ctx, p.Server, w)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.OnOpened != nil {
		p.OnOpened()
	}
	p.opened++
	return &Conn{Link: link, Server: p.Server.ID, Workspace: w, pool: p, number: p.opened, isControl: true, alignment: alignment{phase: Idle}, values: map[string]string{}, plans: map[planDigest]StatementName{}}, nil
}

// releaseControl keeps the control connection for the next command, or closes it; p.mu is held.
func (p *Pool) releaseControl(c *Conn, keep bool) {
	if keep && !c.mustClose() && !p.closed && p.currentState() != poolTransactions {
		c.idleSince = time.Now()
		p.control.idle = c
	} else {
		c.Link.Close()
	}
	<-p.controlTurn()
}

// closeIdleControl closes the control connection unless a command uses it; p.mu is held.
func (p *Pool) closeIdleControl() {
	if p.control.idle != nil {
		p.control.idle.Link.Close()
		p.control.idle = nil
	}
}

// lastUsedWorkspace returns the workspace that last requested or released a connection, nil if none has; p.mu is held.
func (p *Pool) lastUsedWorkspace() *workspacePool {
	var last *workspacePool
	for _, wp := range p.workspacePools {
		if last == nil || wp.lastUsed.After(last.lastUsed) {
			last = wp
		}
	}
	return last
}
