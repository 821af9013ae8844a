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
	implicitTransaction bool
	// guarded attempts run in a read-only transaction of savoryramp's own, in which
	// what was taken for a read can't write. A replica's connection that reads only
	// needs none: it was told so when it was opened.
	wrappedReadOnly bool
	// asksSeen attempts have the question behind them that ConfirmSeen needs.
	sendsStatusQuery bool
	// seen is true once the server told its position in this answer.
	positionChecked bool
	// sent is true once a byte may have left for the server.
	sent bool
	// forwarded is true once a byte of the answer may have left for the caller.
	forwarded bool
	// began is where the answer begins in the session's gathered bytes.
	answerStart int
	// tag is that of the newest CommandComplete, which is held back until it is
	// known to be true.
	commandTag string
	// tags are those of the request's statements, where they are followed.
	commandTags []string
	// committed is true once a COMMIT was answered; everything from there is held.
	committed bool
	steps     []step
	txStatus  byte
	// answered is true once the server was ready after the request.
	readyReceived bool
	// failedBy is true once the server answered with an error.
	hasServerError bool
}

// prepare gives the exchange a connection, with the session's settings.
func (x *exchange) acquireConn(ctx context.Context) error {
	s := x.session
	if x.conn != nil {
		return nil
	}
	poolRequest := upstream.Request{Workspace: s.workspace.Name, Weight: s.workspace.Weight}
	var err error
	switch x.request.kind {
	case kindRead, kindBeginReadOnly:
		var minPosition position.Position
		if minPosition, err = s.floorFor(ctx, x.group); err != nil {
			return err
		}
		x.conn, err = x.group.AcquireForRead(ctx, poolRequest, upstream.Freshness{Floor: minPosition, MaxStaleness: s.proxySettings.maxStalenessFor(s.database)})
	default:
		x.conn, err = x.group.AcquireForWrite(ctx, poolRequest)
	}
	if err != nil {
		return err
	}
	s.setConnInUse(x.conn)
	return x.restoreSettings()
}

// restore runs the caller's own SET statements on a connection just taken.
func (x *exchange) restoreSettings() error {
	for _, setting := range x.session.serverSettings {
		x.conn.Dirty = true
		if _, err := x.conn.Query(setting.sql, time.Now().Add(x.session.server.ResponseTimeout)); err != nil && !isType(err, upstream.ErrServer) {
			return err
		}
	}
	return nil
}

// floor gives the session's floor for a group, asked for at its first read.
func (s *Session) floorFor(ctx context.Context, g *upstream.Group) (position.Position, error) {
	f, known := s.floors[s.database.Upstream]
	if known && f.fromOwnWrite {
		return f.position, nil
	}
	if known {
		return g.ClipFloor(f.position), nil
	}
	groupFloor, err := g.Floor(ctx)
	if err != nil {
		return position.Position{}, err
	}
	s.setFloor(s.database.Upstream, floor{position: groupFloor})
	return g.ClipFloor(groupFloor), nil
}

// run sends the request and relays its answer.
func (x *exchange) run(ctx context.Context) error {
	x.wrappedReadOnly = x.needsReadOnlyWrapper()
	if s := x.session; !s.server.isDocumentTrustedCached() {
		s.endWithTimeout(reasonUntrusted)
		return ErrNotReady.New("VM %s can't learn what was withdrawn", s.server.VM)
	}
	x.send()
	x.sent = true
	if err := x.conn.Flush(); err != nil {
		return err
	}
	if err := x.awaitBegin(); err != nil {
		return err
	}
	x.sendLocalReplies()
	for !x.isComplete() {
		m, err := x.conn.Receive(time.Now().Add(x.session.server.ResponseTimeout))
		if err != nil {
			return err
		}
		if err := x.relay(m); err != nil {
			return err
		}
	}
	if err := x.awaitEnd(); err != nil {
		return err
	}
	if !x.readyReceived {
		return nil
	}
	return x.finishAnswer(ctx)
}

// over tells whether the answer is whole.
func (x *exchange) isComplete() bool {
	if x.request.endsWithFlush {
		return len(x.steps) == 0 || x.hasServerError
	}
	return x.readyReceived
}

// settle keeps or gives back the connection, and ends the answer.
func (s *Session) finishRequest(x *exchange) error {
	s.recordSettings(x)
	if x.request.endsWithFlush {
		s.implicitTransaction = s.implicitTransaction || !x.inTransaction
		s.transactionConn = x.conn
		s.skippingToSync = x.hasServerError
		s.output.release()
		return s.flush()
	}
	s.recordModes(x)
	s.implicitTransaction = false
	if x.txStatus == 'I' {
		s.setConnInUse(nil)
		x.conn.Release(true)
		s.transactionConn = nil
	} else {
		s.transactionConn = x.conn
	}
	s.send(&pgproto3.ReadyForQuery{TxStatus: x.txStatus})
	if x.txStatus == 'I' {
		s.appendShutdownError()
	}
	return s.flush()
}
