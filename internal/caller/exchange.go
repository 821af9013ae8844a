package caller

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/savoryramp/savoryramp/internal/upstream"
	"github.com/savoryramp/savoryramp/pkg/position"
)

// exchange is one attempt at a request on one connection.
type exchange struct {
	session *Session
	conn    *upstream.Conn
	request *request
	group   *upstream.Group
	// inTransaction is true when the attempt began inside a transaction.
	inTransaction bool
	// implicit is true when that transaction ends at the next Sync.
	implicit bool
	// guarded attempts run in a read-only transaction of savoryramp's own, in which
	// what was taken for a read can't write. A replica's connection that reads only
	// needs none: it was told so when it was opened.
	guarded bool
	// asksSeen attempts have the question behind them that ConfirmSeen needs.
	asksSeen bool
	// seen is true once the server told its position in this answer.
	seen bool
	// sent is true once a byte may have left for the server.
	sent bool
	// forwarded is true once a byte of the answer may have left for the caller.
	forwarded bool
	// began is where the answer begins in the session's gathered bytes.
	began int
	// tag is that of the newest CommandComplete, which is held back until it is
	// known to be true.
	tag string
	// tags are those of the request's statements, where they are followed.
	tags []string
	// committed is true once a COMMIT was answered; everything from there is held.
	committed bool
	steps     []step
	status    byte
	// answered is true once the server was ready after the request.
	answered bool
	// failedBy is true once the server answered with an error.
	failedBy bool
}

// prepare gives the exchange a connection, with the session's settings.
func (x *exchange) prepare(ctx context.Context) error {
	s := x.session
	if x.conn != nil {
		return nil
	}
	claim := upstream.Request{Workspace: s.workspace.Name, Weight: s.workspace.Weight}
	var err error
	switch x.request.kind {
	case kindRead, kindBeginReadOnly:
		var f position.Position
		if f, err = s.floor(ctx, x.group); err != nil {
			return err
		}
		x.conn, err = x.group.AcquireForRead(ctx, claim, upstream.Freshness{Floor: f, MaxStaleness: s.settings.staleness(s.database)})
	default:
		x.conn, err = x.group.AcquireForWrite(ctx, claim)
	}
	if err != nil {
		return err
	}
	s.use(x.conn)
	return x.restore()
}

// restore runs the caller's own SET statements on a connection just taken.
func (x *exchange) restore() error {
	for _, h := range x.session.held {
		x.conn.Dirty = true
		if _, err := x.conn.Query(h.sql, time.Now().Add(x.session.server.Deadline)); err != nil && !isType(err, upstream.ErrServer) {
			return err
		}
	}
	return nil
}

// floor gives the session's floor for a group, asked for at its first read.
func (s *Session) floor(ctx context.Context, g *upstream.Group) (position.Position, error) {
	f, known := s.floors[s.database.Upstream]
	if known && f.own {
		return f.position, nil
	}
	if known {
		return g.ClipFloor(f.position), nil
	}
	asked, err := g.Floor(ctx)
	if err != nil {
		return position.Position{}, err
	}
	s.setFloor(s.database.Upstream, floor{position: asked})
	return g.ClipFloor(asked), nil
}

// run sends the request and relays its answer.
func (x *exchange) run(ctx context.Context) error {
	x.guarded = x.guards()
	if s := x.session; !s.server.vouched() {
		s.endWithin(reasonUntrusted)
		return ErrNotReady.New("VM %s can't learn what was withdrawn", s.server.VM)
	}
	x.send()
	x.sent = true
	if err := x.conn.Flush(); err != nil {
		return err
	}
	if err := x.begun(); err != nil {
		return err
	}
	x.synthesize()
	for !x.over() {
		m, err := x.conn.Receive(time.Now().Add(x.session.server.Deadline))
		if err != nil {
			return err
		}
		if err := x.relay(m); err != nil {
			return err
		}
	}
	if err := x.ended(); err != nil {
		return err
	}
	if !x.answered {
		return nil
	}
	return x.finish(ctx)
}

// over tells whether the answer is whole.
func (x *exchange) over() bool {
	if x.request.unsynced {
		return len(x.steps) == 0 || x.failedBy
	}
	return x.answered
}

// settle keeps or gives back the connection, and ends the answer.
func (s *Session) settle(x *exchange) error {
	s.follow(x)
	if x.request.unsynced {
		s.implicit = s.implicit || !x.inTransaction
		s.conn = x.conn
		s.skipping = x.failedBy
		s.out.free()
		return s.flush()
	}
	s.begun(x)
	s.implicit = false
	if x.status == 'I' {
		s.use(nil)
		x.conn.Release(true)
		s.conn = nil
	} else {
		s.conn = x.conn
	}
	s.send(&pgproto3.ReadyForQuery{TxStatus: x.status})
	if x.status == 'I' {
		s.partWays()
	}
	return s.flush()
}
