package caller

import (
	"context"
	"crypto/subtle"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/savoryramp/savoryramp/internal/platform"
	"github.com/savoryramp/savoryramp/internal/upstream"
)

// Session serves one caller's connection.
type Session struct {
	server     *Server
	callerConn *callerConn
	backend    *pgproto3.Backend
	output     outputBuffer
	id         SessionID
	secret     []byte

	workspace *platform.Workspace
	key       platform.KeyName
	// verifier is the one that the key was checked against; empty on open routes.
	verifier platform.Verifier
	database *platform.Database
	// floors by group; a floor never falls while the session lasts. Only the session's
	// task changes them, under mu, and reads them without.
	floors             map[platform.UpstreamName]floor
	proxySettings      proxySettings
	preparedStatements map[string]*preparedStatement
	// pending are the extended-protocol messages since the last Sync or Flush.
	pendingMessages []pgproto3.FrontendMessage
	// held are the caller's settings, set again on each connection taken.
	serverSettings []serverSetting
	// changes are the ones that the open transaction changed.
	uncommittedSettings []serverSetting

	// conn is the transaction's connection; nil outside of transactions.
	transactionConn *upstream.Conn
	// implicit is true while conn is held only by extended messages without a Sync.
	implicitTransaction bool
	// carried are the kind and text of what ran since the last Sync.
	flushedKind statementKind
	// failed transactions lost their connection; all but their end is refused.
	transactionLost bool
	// begins are the statements that decided the transaction's modes; empty if unknown.
	modeStatements []string
	// skipping discards extended messages up to the next Sync, after an error.
	skippingToSync bool

	// taken counts the messages handled.
	messagesHandled int
	// active is true from a request's arrival to the end of its answer.
	busy atomic.Bool

	mu sync.Mutex
	// ending is set once the session must end.
	endReason endReason
	// idleSince is when the last answer ended.
	idleSince time.Time
	// running is the connection in use, for cancel and abort.
	connInUse *upstream.Conn
	// parted sessions have sent their farewell with their last answer.
	closingErrorSent bool
	// aborted sessions run nothing more.
	aborted bool
	// stop ends the requests' context.
	cancelRequests context.CancelFunc
}

// run serves the caller until it leaves or is sent away.
func (s *Session) run(ctx context.Context) {
	ctx, s.cancelRequests = context.WithCancel(ctx)
	defer s.cancelRequests()
	if !s.acceptLogin(ctx) {
		return
	}
	s.server.register(s)
	defer s.server.unregister(s)
	defer s.releaseTransaction()
	// A document may have come during the login, before the session was known.
	s.endIfRevoked(s.server.Documents.Current().Document)
	if !s.finishLogin() {
		return
	}
	for {
		if s.markIdle() {
			s.sendClosingError(nil)
			return
		}
		m, err := s.backend.Receive()
		if err != nil {
			s.sendClosingError(s.classifyReadError(err))
			return
		}
		s.busy.Store(true)
		s.messagesHandled++
		if err := s.handle(ctx, m); err != nil {
			s.sendClosingError(err)
			return
		}
	}
}

// unreadable tells a caller that broke the protocol from one that went away.
func (s *Session) classifyReadError(err error) error {
	if netErr, found := err.(net.Error); found && netErr.Timeout() && s.callerConn.isReceiving() {
		return ErrProtocol.New("a message took longer than %s", messageTimeout)
	}
	switch err {
	case io.EOF, io.ErrUnexpectedEOF, io.ErrClosedPipe, net.ErrClosed:
		return errCallerGone.Wrap(err, "caller's connection")
	}
	if _, found := err.(net.Error); found {
		return errCallerGone.Wrap(err, "caller's connection")
	}
	return ErrProtocol.Wrap(err, "message")
}

// idle marks the end of an answer, and tells whether the session must end here.
func (s *Session) markIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endReason != reasonNone && s.endReason != reasonShutdown || s.aborted || s.closingErrorSent {
		return true
	}
	if !s.busy.Load() || len(s.pendingMessages) > 0 {
		return false
	}
	s.idleSince = time.Now()
	s.busy.Store(false)
	return false
}

// handle runs one message of the caller.
func (s *Session) handle(ctx context.Context, m pgproto3.FrontendMessage) error {
	switch m := m.(type) {
	case *pgproto3.Query:
		return s.runSimple(ctx, m.String)
	case *pgproto3.Parse, *pgproto3.Bind, *pgproto3.Describe, *pgproto3.Execute, *pgproto3.Close:
		return s.queueMessage(m)
	case *pgproto3.Flush:
		return s.runExtended(ctx, false)
	case *pgproto3.Sync:
		return s.runExtended(ctx, true)
	case *pgproto3.Terminate:
		return errCallerGone.New("terminated")
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return nil
	}
	return ErrProtocol.New("message %T isn't expected here", m)
}

// leave gives up what the session holds; an open transaction is broken off, which
// makes the server roll it back.
func (s *Session) releaseTransaction() {
	if s.transactionConn != nil {
		s.transactionConn.Release(false)
		s.transactionConn = nil
	}
}

// inTransaction tells whether the session holds a connection; s.mu is held.
func (s *Session) hasConn() bool { return s.connInUse != nil }

// use notes the connection in use, nil for none.
func (s *Session) setConnInUse(c *upstream.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connInUse = c
	if c != nil && s.aborted {
		c.Abort()
	}
}

// owns compares a cancel request's secret.
func (s *Session) hasSecret(secret []byte) bool {
	return subtle.ConstantTimeCompare(secret, s.secret) == 1
}

// cancel interrupts the statement that runs.
func (s *Session) cancelStatement(ctx context.Context) {
	s.mu.Lock()
	c := s.connInUse
	if c != nil {
		c.PreventReuse()
	}
	s.mu.Unlock()
	if c != nil {
		c.Cancel(ctx)
	}
}

// txStatus is the transaction status that the caller sees.
func (s *Session) txStatus() byte {
	switch {
	case s.transactionLost:
		return 'E'
	case s.transactionConn != nil:
		return 'T'
	}
	return 'I'
}

// ready ends an answer.
func (s *Session) sendReady() error {
	s.send(&pgproto3.ReadyForQuery{TxStatus: s.txStatus()})
	if s.txStatus() == 'I' {
		s.appendShutdownError()
	}
	return s.flush()
}

func (s *Session) flush() error {
	return s.output.flushAnswer()
}

// send gathers a message for the caller; flush lets it go.
func (s *Session) send(m pgproto3.BackendMessage) {
	if err := s.output.send(m); err != nil {
		eventProtocolError.Log(s.server.Logger, "key", s.key, "err", err)
		s.abort()
	}
}

// refuse answers a request with savoryramp's own error.
func (s *Session) refuse(err error) {
	m := errorResponse("ERROR", err)
	s.server.metrics.recordRefusal(s.workspace.Name, m.Code)
	if m.Code == string(CodeTransactionResolutionUnknown) {
		eventUnknownOutcome.Log(s.server.Logger, "workspace", s.workspace.Name, "err", err)
	}
	s.send(m)
}
