package caller

import (
	"context"
	"crypto/subtle"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/savoryramp/savoryramp/internal/platform"
	"github.com/savoryramp/savoryramp/internal/upstream"
)

// reason is why a session is asked to end.
type reason string

const (
	reasonNone      reason = ""
	reasonShutdown  reason = "shutdown"
	reasonWithdrawn reason = "withdrawn"
)

const (
	// withdrawnStatementFor is how long a statement may go on after its key was
	// withdrawn.
	withdrawnStatementFor = 2 * time.Second
	// quietBeforeEnd is how long a session must have been idle before a shutdown
	// ends it, so that a request on its way is still served.
	quietBeforeEnd = 100 * time.Millisecond
)

// Session serves one caller's connection.
type Session struct {
	server *Server
	net    net.Conn
	back   *pgproto3.Backend
	out    out
	id     SessionID
	secret []byte

	workspace *platform.Workspace
	key       platform.KeyName
	database  *platform.Database
	// floors by group; a floor never falls while the session lasts.
	floors   map[platform.UpstreamName]floor
	settings settings
	prepared map[string]*prepared
	// pending are the extended-protocol messages since the last Sync or Flush.
	pending []pgproto3.FrontendMessage
	// held are the caller's SET statements, run again on each connection taken.
	held []string

	// conn is the transaction's connection; nil outside of transactions.
	conn *upstream.Conn
	// implicit is true while conn is held only by extended messages without a Sync.
	implicit bool
	// carried are the kind and text of what ran since the last Sync.
	carried kind
	// failed transactions lost their connection; all but their end is refused.
	failed bool
	// skipping discards extended messages up to the next Sync, after an error.
	skipping bool

	// active is true from a request's arrival to the end of its answer.
	active atomic.Bool

	mu sync.Mutex
	// ending is set once the session must end.
	ending reason
	// idleSince is when the last answer ended.
	idleSince time.Time
	// running is the connection in use, for cancel and abort.
	running *upstream.Conn
}

// run serves the caller until it leaves or is sent away.
func (s *Session) run(ctx context.Context) {
	if !s.start(ctx) {
		return
	}
	s.server.add(s)
	defer s.server.remove(s)
	defer s.leave()
	if !s.welcome() {
		return
	}
	for {
		s.idle()
		m, err := s.back.Receive()
		if err != nil {
			s.farewell(err)
			return
		}
		s.active.Store(true)
		if err := s.handle(ctx, m); err != nil {
			s.farewell(err)
			return
		}
	}
}

// idle marks the end of an answer.
func (s *Session) idle() {
	if !s.active.Load() || len(s.pending) > 0 {
		return
	}
	s.mu.Lock()
	s.idleSince = time.Now()
	ending := s.ending
	s.active.Store(false)
	s.mu.Unlock()
	if ending == reasonWithdrawn {
		_ = s.net.SetReadDeadline(time.Unix(1, 0))
	}
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

// farewell tells the caller why its connection ends, when it was sent away.
func (s *Session) farewell(err error) {
	s.mu.Lock()
	ending := s.ending
	s.mu.Unlock()
	_ = s.net.SetDeadline(time.Now().Add(time.Second))
	switch {
	case ending == reasonWithdrawn:
		eventKeyWithdrawn.Log(s.server.Logger, "key", s.key, "workspace", s.workspace.Name)
		s.send(withCode(ErrAuthentication.New("key %s was withdrawn", s.key), CodeAuthorization))
	case ending == reasonShutdown:
		s.send(withCode(ErrNotReady.New("VM %s is shutting down; connect again", s.server.VM), CodeShutdown))
	case isType(err, ErrProtocol):
		eventProtocol.Log(s.server.Logger, "key", s.key, "err", err)
		s.send(response("FATAL", err))
	default:
		return
	}
	_ = s.flush()
}

func withCode(err error, code Code) *pgproto3.ErrorResponse {
	m := response("FATAL", err)
	m.Code = string(code)
	m.Detail = hintNotRun
	return m
}

// interrupt asks the session to end: now if it is idle, else after its answer. A
// shutdown lets a transaction finish.
func (s *Session) interrupt(why reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if why == reasonShutdown && (s.active.Load() || s.inTransaction() || time.Since(s.idleSince) < quietBeforeEnd) {
		return
	}
	if s.ending == reasonNone {
		s.ending = why
	}
	if !s.active.Load() {
		_ = s.net.SetReadDeadline(time.Unix(1, 0))
	}
}

// inTransaction tells whether the session holds a connection; s.mu is held.
func (s *Session) inTransaction() bool { return s.running != nil }

// use notes the connection in use, nil for none.
func (s *Session) use(c *upstream.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = c
}

// recheck ends the session if a newer document takes its key or database away.
func (s *Session) recheck(d *platform.Document) {
	if allowed(d, s.key, s.workspace.Name, s.database) {
		return
	}
	s.interrupt(reasonWithdrawn)
	time.AfterFunc(withdrawnStatementFor, s.abort)
}

// abort breaks off whatever the session does.
func (s *Session) abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ending == reasonNone {
		s.ending = reasonShutdown
	}
	if s.running != nil {
		s.running.Abort()
	}
	_ = s.net.SetReadDeadline(time.Unix(1, 0))
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
		c.Doubt()
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
	return s.flush()
}

func (s *Session) flush() error {
	return s.out.flush()
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
