package upstream

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/savoryramp/savoryramp/pkg/position"
)

// AcquireForWrite acquires a connection to the primary. Until ctx ends, it waits for a
// usable primary that isn't leaving and to which the acknowledge rule lets this VM send
// writes. It returns ErrNoServer, ErrBusy or ErrConnect; nothing was executed then.
func (g *Group) AcquireForWrite(ctx context.Context, r Request) (*Conn, error) {
	for {
		g.mu.Lock()
		m, changed := g.usablePrimary(), g.changed
		var t position.Term
		leaving := false
		if m != nil {
			t, leaving = m.status.Term, m.server.Leaving
		}
		g.mu.Unlock()
		if m != nil && !leaving && g.canWriteInTerm(t) {
			c, err := g.acquire(ctx, m, r, Primary)
			if c != nil || err != nil {
				return c, err
			}
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ErrNoServer.New("upstream %s has no primary", g.Upstream.Name)
		}
	}
}

// acquire acquires a connection to a member. It returns neither a connection nor an
// error when the caller has to choose a server again.
func (g *Group) acquire(ctx context.Context, m *member, r Request, role Role) (*Conn, error) {
	r.ReadOnly = role == Replica
	c, err := m.pool.acquire(ctx, r)
	switch {
	case err == nil:
		c.Role = role
		return c, nil
	case isRedirect(err):
		return nil, nil
	case isConnect(err) && ctx.Err() == nil:
		g.MarkUnusable(m.pool.Server.Name)
		return nil, nil
	}
	return nil, err
}

// Confirm waits until more than half of the group's servers are known to hold the
// commit at p; a server counts only while its term is p's term. It returns
// ErrUnconfirmed if a later term was seen first, or if ctx or the group ended.
func (g *Group) Confirm(ctx context.Context, p position.Position) error {
	for {
		g.mu.Lock()
		confirmed, term, changed := g.isConfirmed(p), g.term, g.changed
		g.mu.Unlock()
		if term > p.Term {
			return ErrUnconfirmed.New("commit at %s: term %d began", p, term)
		}
		if confirmed {
			return nil
		}
		select {
		case <-changed:
		case <-g.ctx.Done():
			return ErrUnconfirmed.New("commit at %s: upstream %s is no longer served by this VM", p, g.Upstream.Name)
		case <-ctx.Done():
			return ErrUnconfirmed.Wrap(ctx.Err(), "commit at %s was not confirmed by a majority", p)
		}
	}
}

// ConfirmRead waits until all that a read on the primary's connection c may have seen
// is confirmed; until then, a failover could still lose a write that the read saw. It
// runs a statement on c after the read, whose reported position covers everything that
// was committed before the read ended. It returns ErrNoServer if that isn't confirmed
// within ctx, ErrSilent, ErrBroken or ErrServer.
func (g *Group) ConfirmRead(ctx context.Context, c *Conn) error {
	deadline, _ := ctx.Deadline()
	if _, err := c.Query(statusQuery, deadline); err != nil {
		return err
	}
	return g.ConfirmPosition(ctx, c)
}

// SendStatusQuery queues the statement of ConfirmRead on c behind a read that is about
// to be flushed. ConfirmPosition then replaces ConfirmRead.
func (g *Group) SendStatusQuery(c *Conn) { c.Send(&pgproto3.Query{String: statusQuery}) }

// ConfirmPosition waits until c's last reported position is confirmed, as ConfirmRead
// does. The answer to SendStatusQuery must have been received. It returns ErrNoServer.
func (g *Group) ConfirmPosition(ctx context.Context, c *Conn) error {
	if err := g.Confirm(ctx, c.Position); err != nil {
		return ErrNoServer.Wrap(err, "the data read from server %s is not confirmed and may be lost", c.Server)
	}
	return nil
}

// isConfirmed reports whether a majority of the members hold what was committed at p;
// g.mu is held. Without members, as when the group has ended, nothing is confirmed.
func (g *Group) isConfirmed(p position.Position) bool {
	holders := 0
	for _, m := range g.members {
		if m.status.holdsCommit(p) {
			holders++
		}
	}
	return holders > len(g.members)/2
}

// holdsCommit reports whether the server is known to hold what was committed at p: it
// is the primary of p's term, or it received p in that term.
func (s Status) holdsCommit(p position.Position) bool {
	if s.Term != p.Term {
		return false
	}
	return s.Role == Primary || s.Received.Term == p.Term && s.Received.Offset >= p.Offset
}
