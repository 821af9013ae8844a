package upstream

import (
	"context"
	"slices"
	"time"

	"github.com/savoryramp/savoryramp/internal/platform"
)

const (
	// connectTimeout bounds opening a connection.
	connectTimeout = 2 * time.Second
	// probeTimeout bounds the answer to a probe of a reused connection.
	probeTimeout = 500 * time.Millisecond
)

// connect returns an idle connection on which the server still answers, or opens a new
// one. Session state of another workspace is discarded first. Idle connections that
// were opened for the server's former role are closed.
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
	c, err := openConn(ctx, p.Dial, p.Server, p.Login, r.ReadOnly, p.monitor)
	if err != nil {
		return nil, err
	}
	c.pool, c.workspace = p, r.Workspace
	return c, nil
}

// registerAttempt registers cancel for an attempt to connect, until the returned
// function is called.
func (p *Pool) registerAttempt(cancel context.CancelFunc) (done func()) {
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

// popIdle removes and returns the idle connection that the workspace used last,
// otherwise the one that was used last by any workspace, nil if there is none.
func (p *Pool) popIdle(workspace platform.WorkspaceName) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	index := len(p.idle) - 1
	for i := index; i >= 0; i-- {
		if p.idle[i].workspace == workspace {
			index = i
			break
		}
	}
	c := p.idle[index]
	p.idle = slices.Delete(p.idle, index, index+1)
	return c
}
