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

	"github.com/savoryramp/savoryramp/internal/budget"
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
	// verifier is what the key was checked against; empty for open databases.
	verifier platform.Verifier
	database *platform.Database
	// floors holds the session's floor for each upstream. The stored floors never fall;
	// floorFor may lower one that isn't from the session's own writes, on use. Only the
	// session's goroutine writes the map, holding mu, so it reads the map without mu.
	floors             map[platform.UpstreamName]floor
	proxySettings      proxySettings
	preparedStatements map[string]*preparedStatement
	// pendingMessages are the extended-protocol messages since the last Sync or Flush.
	pendingMessages []pgproto3.FrontendMessage
	// pendingBytes is what is charged for pendingMessages, settingsBytes for the settings, preparedBytes for
	// each prepared statement by name. A closed statement's remains charged, as it is kept.
	pendingBytes  budget.Bytes
	settingsBytes budget.Bytes
	preparedBytes map[string]budget.Bytes
	// serverSettings are restored on each server connection that the session acquires.
	serverSettings []serverSetting
	// uncommittedSettings are those that the open transaction changed.
	uncommittedSettings []serverSetting

	// transactionConn is the connection of the open transaction; nil outside of
	// transactions.
	transactionConn *upstream.Conn
	// implicitTransaction is set if the open transaction consists only of messages
	// since the last Sync.
	implicitTransaction bool
	// flushedKind is the kind of the statements executed before a Flush and not yet
	// committed by a Sync.
	flushedKind statementKind
	// transactionLost is set if the transaction's connection failed. Everything but the
	// transaction's end is then refused.
	transactionLost bool
	// modeStatements set the modes of the current transaction; empty if unknown.
	modeStatements []string
	// skippingToSync is set after an error: messages are discarded up to the next Sync.
	skippingToSync bool

	// messagesHandled counts the messages received from the caller.
	messagesHandled int
	// busy is set from the arrival of a request to the end of its answer.
	busy atomic.Bool

	mu sync.Mutex
	// endReason is set once the session must end.
	endReason endReason
	// idleSince is when the last answer ended.
	idleSince time.Time
	// connInUse is the server connection in use, for cancelStatement and abort.
	connInUse *upstream.Conn
	// closingErrorSent is set if the shutdown error was sent with the last answer.
	closingErrorSent bool
	// aborted is set once abort was called; no statement is run any more.
	aborted bool
	// cancelRequests cancels the context of all requests.
	cancelRequests context.CancelFunc
}

// run serves the caller until its connection ends.
func (s *Session) run(ctx context.Context) {
	ctx, s.cancelRequests = context.WithCancel(ctx)
	defer s.cancelRequests()
	if !s.acceptLogin(ctx) {
		return
	}
	s.server.register(s)
	defer s.server.unregister(s)
	defer s.releaseTransaction()
	// A document that arrived during the login didn't reach this session, which wasn't
	// registered.
	s.endIfRevoked(s.server.Documents.Current().Document)
	if !s.finishLogin() {
		return
	}
	for {
		if s.markIdleUnlessEnding() {
			s.sendClosingError(nil)
			return
		}
		s.callerConn.account.ReleaseMessage()
		s.callerConn.account.Progress(budget.Idle)
		m, err := s.backend.Receive()
		s.callerConn.account.Progress(budget.Serving)
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

// classifyReadError turns a read error into ErrProtocol if the caller violated the
// protocol, otherwise into errCallerGone.
func (s *Session) classifyReadError(err error) error {
	if isType(err, ErrOverLimit) {
		return err
	}
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

// markIdleUnlessEnding reports whether the session must end now. If not, it marks the
// session as idle, provided that its answer is complete.
func (s *Session) markIdleUnlessEnding() bool {
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

// handle processes one message of the caller.
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
	return ErrProtocol.New("unexpected message %T", m)
}

// releaseTransaction closes the connection of an open transaction, which makes the
// server roll it back.
func (s *Session) releaseTransaction() {
	if s.transactionConn != nil {
		s.transactionConn.Release(false)
		if s.connInUse == s.transactionConn {
			s.setConnInUse(nil)
		}
		s.transactionConn = nil
	}
}

// closeConnInUse closes the connection that a panic has left in use.
func (s *Session) closeConnInUse() {
	if c := s.connInUse; c != nil {
		s.setConnInUse(nil)
		c.Release(false)
	}
}

// hasConn reports whether the session uses a server connection. The caller holds s.mu.
func (s *Session) hasConn() bool { return s.connInUse != nil }

// setConnInUse sets the server connection in use, nil for none.
func (s *Session) setConnInUse(c *upstream.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connInUse = c
	if c != nil && s.aborted {
		c.Abort()
	}
}

// hasSecret reports whether a cancel request's secret is the session's.
func (s *Session) hasSecret(secret []byte) bool {
	return subtle.ConstantTimeCompare(secret, s.secret) == 1
}

// cancelStatement sends a cancel request for the running statement to its server.
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

// txStatus returns the transaction status for ReadyForQuery.
func (s *Session) txStatus() byte {
	switch {
	case s.transactionLost:
		return 'E'
	case s.transactionConn != nil:
		return 'T'
	}
	return 'I'
}

// sendReady ends an answer with ReadyForQuery.
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

// send adds a message to the output; flush sends it.
func (s *Session) send(m pgproto3.BackendMessage) {
	if err := s.output.send(m); err != nil {
		eventProtocolError.Log(s.server.Logger, "key", s.key, "err", err)
		s.abort()
	}
}

// refuse answers a request with an error of the proxy itself.
func (s *Session) refuse(err error) {
	m := errorResponse("ERROR", err)
	s.server.metrics.recordRefusal(s.workspace.Name, m.Code)
	if m.Code == string(CodeTransactionResolutionUnknown) {
		eventUnknownOutcome.Log(s.server.Logger, "workspace", s.workspace.Name, "err", err)
	}
	s.send(m)
}
