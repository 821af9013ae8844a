package upstream

import (
	"context"
	"slices"
	"time"

	"github.com/savoryramp/savoryramp/internal/platform"
)

const (
	// connectWithin bounds opening a connection.
	connectWithin = 2 * time.Second
	// probeWithin bounds the answer of a connection that has idled.
	probeWithin = 500 * time.Millisecond
)

// connect gives a kept connection that still answers, or opens one. What another
// workspace left on it is discarded first. One that was opened for the server's former
// role makes room for a new one.
func (p *Pool) connect(ctx context.Context, r Request) (*Conn, error) {
	for {
		c := p.kept(r.Workspace)
		if c == nil {
			break
		}
		if c.readOnly != r.ReadOnly {
			c.close()
			continue
		}
		if c.alive(probeWithin) && c.enter(r.Workspace, probeWithin) {
			return c, nil
		}
		c.close()
		p.drop()
	}
	ctx, cancel := context.WithTimeout(ctx, connectWithin)
	defer cancel()
	defer p.attempt(cancel)()
	c, err := open(ctx, p.Dial, p.Server, p.Login, r.ReadOnly)
	if err != nil {
		return nil, err
	}
	c.pool, c.workspace = p, r.Workspace
	return c, nil
}

// attempt notes an attempt to connect, until the function that it gives is called.
func (p *Pool) attempt(cancel context.CancelFunc) (over func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.connecting == nil {
		p.connecting = map[int]context.CancelFunc{}
	}
	p.attempts++
	n := p.attempts
	p.connecting[n] = cancel
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.connecting, n)
	}
}

// kept takes the idle connection that the workspace used last, else the one used
// last by another, nil if there is none.
func (p *Pool) kept(w platform.WorkspaceName) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	at := len(p.idle) - 1
	for i := at; i >= 0; i-- {
		if p.idle[i].workspace == w {
			at = i
			break
		}
	}
	c := p.idle[at]
	p.idle = slices.Delete(p.idle, at, at+1)
	return c
}
