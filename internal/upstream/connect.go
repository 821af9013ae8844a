package upstream

import (
	"context"
	"slices"
	"time"

	"github.com/savoryramp/savoryramp/internal/platform"
)

const (
	// connectWithin bounds opening a connection.
	connectTimeout = 2 * time.Second
	// probeWithin bounds the answer of a connection that has idled.
	probeTimeout = 500 * time.Millisecond
)

// connect gives a kept connection that still answers, or opens one. What another
// workspace left on it is discarded first. One that was opened for the server's former
// role makes room for a new one.
func (p *Pool) connect(ctx context.Context, r Request) (*Conn, error) {
	for {
		c := p.popIdle(r.Workspace)
		if c == nil {
			break
		}
		if c.readOnly != r.ReadOnly {
			c.close()
			continue
		}
		if c.isAlive(probeTimeout) && c.switchWorkspace(r.Workspace, probeTimeout) {
			return c, nil
		}
		c.close()
		p.closeIdle()
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	defer p.registerAttempt(cancel)()
	c, err := openConn(ctx, p.Dial, p.Server, p.Login, r.ReadOnly)
	if err != nil {
		return nil, err
	}
	c.pool, c.workspace = p, r.Workspace
	return c, nil
}

// attempt notes an attempt to connect, until the function that it gives is called.
func (p *Pool) registerAttempt(cancel context.CancelFunc) (over func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.connectAttempts == nil {
		p.connectAttempts = map[int]context.CancelFunc{}
	}
	p.lastAttempt++
	n := p.lastAttempt
	p.connectAttempts[n] = cancel
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.connectAttempts, n)
	}
}

// kept takes the idle connection that the workspace used last, else the one used
// last by another, nil if there is none.
func (p *Pool) popIdle(w platform.WorkspaceName) *Conn {
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
