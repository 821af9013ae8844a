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
	server *Server
	net    *connection
	back   *pgproto3.Backend
	out    out
	id     SessionID
	secret []byte

	workspace *platform.Workspace
	key       platform.KeyName
	// verifier is the one that the key was checked against; empty on open routes.
	verifier platform.Verifier
	database *platform.Database
	// floors by group; a floor never falls while the session lasts. Only the session's
	// task changes them, under mu, and reads them without.
	floors   map[platform.UpstreamName]floor
	settings settings
	prepared map[string]*prepared
	// pending are the extended-protocol messages since the last Sync or Flush.
	pending []pgproto3.FrontendMessage
	// held are the caller's settings, set again on each connection taken.
	held []held
	// changes are the ones that the open transaction changed.
	changes []held

	// conn is the transaction's connection; nil outside of transactions.
	conn *upstream.Conn
	// implicit is true while conn is held only by extended messages without a Sync.
	implicit bool
	// carried are the kind and text of what ran since the last Sync.
	carried kind
	// failed transactions lost their connection; all but their end is refused.
	failed bool
	// begins are the statements that decided the transaction's modes; empty if unknown.
	begins []string
	// skipping discards extended messages up to the next Sync, after an error.
	skipping bool

	// taken counts the messages handled.
	taken int
	// active is true from a request's arrival to the end of its answer.
	active atomic.Bool

	mu sync.Mutex
	// ending is set once the session must end.
	ending reason
	// idleSince is when the last answer ended.
	idleSince time.Time
	// running is the connection in use, for cancel and abort.
	running *upstream.Conn
	// parted sessions have sent their farewell with their last answer.
	parted bool
	// aborted sessions run nothing more.
	aborted bool
	// stop ends the requests' context.
	stop context.CancelFunc
}

// run serves the caller until it leaves or is sent away.
func (s *Session) run(ctx context.Context) {
	ctx, s.stop = context.WithCancel(ctx)
	defer s.stop()
	if !s.start(ctx) {
		return
	}
	s.server.add(s)
	defer s.server.remove(s)
	defer s.leave()
	// A document may have come during the login, before the session was known.
	s.recheck(s.server.Documents.Current().Document)
	if !s.welcome() {
		return
	}
	for {
		if s.idle() {
			s.farewell(nil)
			return
		}
		m, err := s.back.Receive()
		if err != nil {
			s.farewell(s.unreadable(err))
			return
		}
		s.active.Store(true)
		s.taken++
		if err := s.handle(ctx, m); err != nil {
			s.farewell(err)
			return
		}
	}
}

// unreadable tells a caller that broke the protocol from one that went away.
func (s *Session) unreadable(err error) error {
	if failure, found := err.(net.Error); found && failure.Timeout() && s.net.receiving() {
		return ErrProtocol.New("a message took longer than %s", messageWithin)
	}
	switch err {
	case io.EOF, io.ErrUnexpectedEOF, io.ErrClosedPipe, net.ErrClosed:
		return errCaller.Wrap(err, "caller's connection")
	}
	if _, found := err.(net.Error); found {
		return errCaller.Wrap(err, "caller's connection")
	}
	return ErrProtocol.Wrap(err, "message")
}

// idle marks the end of an answer, and tells whether the session must end here.
func (s *Session) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ending != reasonNone && s.ending != reasonShutdown || s.aborted || s.parted {
		return true
	}
	if !s.active.Load() || len(s.pending) > 0 {
		return false
	}
	s.idleSince = time.Now()
	s.active.Store(false)
	return false
}

// handle runs one message of the caller.
func (s *Session) handle(ctx context.Context, m pgproto3.FrontendMessage) error {
	switch m := m.(type) {
	case *pgproto3.Query:
		return s.simple(ctx, m.String)
	case *pgproto3.Parse, *pgproto3.Bind, *pgproto3.Describe, *pgproto3.Execute, *pgproto3.Close:
		return s.collect(m)
	case *pgproto3.Flush:
		return s.extended(ctx, false)
	case *pgproto3.Sync:
		return s.extended(ctx, true)
	case *pgproto3.Terminate:
		return errCaller.New("terminated")
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return nil
	}
	return ErrProtocol.New("message %T isn't expected here", m)
}

// leave gives up what the session holds; an open transaction is broken off, which
// makes the server roll it back.
func (s *Session) leave() {
	if s.conn != nil {
		s.conn.Release(false)
		s.conn = nil
	}
}

// inTransaction tells whether the session holds a connection; s.mu is held.
func (s *Session) inTransaction() bool { return s.running != nil }

// use notes the connection in use, nil for none.
func (s *Session) use(c *upstream.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = c
	if c != nil && s.aborted {
		c.Abort()
	}
}

// owns compares a cancel request's secret.
func (s *Session) owns(secret []byte) bool {
	return subtle.ConstantTimeCompare(secret, s.secret) == 1
}

// cancel interrupts the statement that runs.
func (s *Session) cancel(ctx context.Context) {
	s.mu.Lock()
	c := s.running
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
	case s.failed:
		return 'E'
	case s.conn != nil:
		return 'T'
	}
	return 'I'
}

// ready ends an answer.
func (s *Session) ready() error {
	s.send(&pgproto3.ReadyForQuery{TxStatus: s.txStatus()})
	if s.txStatus() == 'I' {
		s.partWays()
	}
	return s.flush()
}

func (s *Session) flush() error {
	return s.out.end()
}

// send gathers a message for the caller; flush lets it go.
func (s *Session) send(m pgproto3.BackendMessage) {
	if err := s.out.send(m); err != nil {
		eventProtocol.Log(s.server.Logger, "key", s.key, "err", err)
		s.abort()
	}
}

// refuse answers a request with savoryramp's own error.
func (s *Session) refuse(err error) {
	m := response("ERROR", err)
	s.server.metrics.refusal(s.workspace.Name, m.Code)
	if m.Code == string(CodeUnknownOutcome) {
		eventUnknownOutcome.Log(s.server.Logger, "workspace", s.workspace.Name, "err", err)
	}
	s.send(m)
}
