package caller

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/savoryramp/savoryramp/internal/upstream"
	"github.com/savoryramp/savoryramp/pkg/position"
)

// attempt is one attempt to run a request on one server connection.
type attempt struct {
	session *Session
	conn    *upstream.Conn
	request *request
	group   *upstream.Group
	// inTransaction is set if the session was in a transaction before the attempt.
	inTransaction bool
	// implicitTransaction is set if that transaction is implicit, ending at the next
	// Sync.
	implicitTransaction bool
	// wrappedReadOnly is set if the proxy wraps the request in a read-only transaction,
	// so that a statement classified as a read can't write. Connections to replicas
	// opened with default_transaction_read_only don't need this.
	wrappedReadOnly bool
	// sendsStatusQuery is set if a status query follows the request. ConfirmPosition
	// needs its result.
	sendsStatusQuery bool
	// positionChecked is set once the server has reported its position in this answer.
	positionChecked bool
	// sent is set once a byte may have been sent to the server.
	sent bool
	// forwarded is set once a byte of the answer may have been sent to the caller.
	forwarded bool
	// answerStart is the offset of the answer in the session's output buffer.
	answerStart int
	// commandTag is that of the last CommandComplete. That message is held back until
	// its result is confirmed.
	commandTag string
	// commandTags are those of the request's statements, collected if
	// request.statements is set.
	commandTags []string
	// committed is set once a COMMIT was answered; all output from there on is held
	// back.
	committed bool
	steps     []step
	txStatus  byte
	// readyReceived is set once the server has sent ReadyForQuery for the request.
	readyReceived bool
	// hasServerError is set once the server has sent an ErrorResponse.
	hasServerError bool
}

// acquireConn acquires a server connection, unless the transaction has one, and
// restores the session's settings on it.
func (x *attempt) acquireConn(ctx context.Context) error {
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

// restoreSettings runs the caller's SET statements on a newly acquired connection.
func (x *attempt) restoreSettings() error {
	for _, setting := range x.session.serverSettings {
		x.conn.Dirty = true
		if _, err := x.conn.Query(setting.sql, time.Now().Add(x.session.server.ResponseTimeout)); err != nil && !isType(err, upstream.ErrServer) {
			return err
		}
	}
	return nil
}

// floorFor returns the session's floor for a group. Without a known floor it queries
// the group's.
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
func (x *attempt) run(ctx context.Context) error {
	x.wrappedReadOnly = x.needsReadOnlyWrapper()
	if s := x.session; !s.server.isDocumentTrustedCached() {
		s.endWithTimeout(reasonUntrusted)
		return ErrNotReady.New("VM %s can't check for withdrawn keys", s.server.VM)
	}
	// The key may have been withdrawn while the request waited for a connection.
	if s := x.session; !s.isAllowed(s.server.Documents.Current().Document) {
		s.endWithTimeout(reasonWithdrawn)
		return ErrAuthentication.New("key %s was withdrawn", s.key)
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

// isComplete reports whether the whole answer was received.
func (x *attempt) isComplete() bool {
	if x.request.endsWithFlush {
		return len(x.steps) == 0 || x.hasServerError
	}
	return x.readyReceived
}

// finishRequest completes a successful answer, and keeps the connection for the open
// transaction or releases it.
func (s *Session) finishRequest(x *attempt) error {
	s.recordSettings(x)
	s.chargeSettings()
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
