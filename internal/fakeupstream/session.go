package fakeupstream

import (
	"context"
	"crypto/rand"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/savoryramp/savoryramp/pkg/position"
)

// ConnectionID numbers the connections of a server; clients know it as process id.
type ConnectionID uint32

// The names by which a server tells of itself.
const (
	positionParameter = "savoryramp.position"
	serverParameter   = "savoryramp.server"
	answerParameter   = "savoryramp.answer"
	positionChannel   = "savoryramp_position"
	// defaultReadOnly is a setting whose changes are reported.
	defaultReadOnly = "default_transaction_read_only"
)

const (
	secretBytes = 4
	// flushBytes is how much of an answer is gathered before it is sent.
	flushBytes = 32 << 10
	// relistenDelay separates attempts to open a listener again.
	relistenDelay = 10 * time.Millisecond
)

// session is one client connection.
type session struct {
	server  *Server
	id      ConnectionID
	secret  []byte
	conn    *conn
	backend *pgproto3.Backend
	// admitted counts the session against the limit; guarded by group.mu.
	admitted bool
	ctx      context.Context
	cancel   context.CancelCauseFunc
	// turn is held by who writes to the connection: the session in a message, or
	// the notifier between messages outside transactions.
	turn chan struct{}
	// interrupt ends the running statement; guarded by group.mu, nil between statements.
	interrupt context.CancelCauseFunc

	settings map[string]string
	// defaults are the settings at the end of the start-up.
	defaults map[string]string
	// reported is what the client was last told of defaultReadOnly.
	reported   string
	statements map[string]*prepared
	portals    map[string]*portal
	tx         transaction
	// read is the position before the first statement since the last answer, or
	// that of the commit.
	read *position.Position
	// skipping ignores messages after an error until Sync.
	skipping  bool
	listening bool
	// notifying tells that the notifier runs, also one that has nothing to tell any more.
	notifying bool
	gathered  int
	// answering tells that a cycle has begun whose answer isn't complete.
	answering bool
	// cycle is the number of the newest cycle.
	cycle      int64
	duplicator duplicator
}

// serve accepts connections until ctx ends.
func (s *Server) serve(ctx context.Context) {
	for l := s.Listener; ctx.Err() == nil; l = nil {
		if l == nil {
			if s.group.until(ctx, func() bool { return s.faults.listens() }) != nil {
				break
			}
			var err error
			if l, err = s.listen(); err != nil {
				eventNoListener.Log(s.group.Logger, "server", s.Name, "err", err)
				_ = sleep(ctx, relistenDelay)
				continue
			}
		}
		s.acceptFrom(ctx, l)
	}
	s.running.Wait()
}

func (s *Server) listen() (net.Listener, error) {
	if s.Listen != nil {
		return s.Listen()
	}
	return net.Listen(s.Listener.Addr().Network(), s.Listener.Addr().String())
}

// acceptFrom returns when the listener is closed, by a fault or the end of ctx.
func (s *Server) acceptFrom(ctx context.Context, l net.Listener) {
	accepting, cancel := context.WithCancel(ctx)
	defer cancel()
	s.running.Go(func() {
		_ = s.group.until(accepting, func() bool { return !s.faults.listens() })
		_ = l.Close()
	})
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.running.Go(func() { s.newSession(ctx, c).run() })
	}
}

func (s *Server) newSession(parent context.Context, c net.Conn) *session {
	ctx, cancel := context.WithCancelCause(parent)
	secret := make([]byte, secretBytes)
	_, _ = rand.Read(secret)
	n := &session{
		server: s, secret: secret, ctx: ctx, cancel: cancel, turn: make(chan struct{}, 1),
		settings: map[string]string{}, statements: map[string]*prepared{}, portals: map[string]*portal{},
	}
	s.group.mu.Lock()
	s.lastID++
	n.id = s.lastID
	s.sessions[n] = true
	if s.faults.killed {
		cancel(killed())
	}
	s.group.mu.Unlock()
	n.conn = &conn{Conn: c, session: n, writing: make(chan struct{}, 1)}
	n.backend = pgproto3.NewBackend(n.conn, n.conn)
	return n
}

// run speaks with the client until either end closes.
func (s *session) run() {
	stop := context.AfterFunc(s.ctx, func() { _ = s.conn.Close() })
	defer s.end(stop)
	if !s.start() {
		return
	}
	for {
		m, err := s.backend.Receive()
		if err != nil {
			return
		}
		s.turn <- struct{}{}
		going := s.thaw() && s.handle(m)
		<-s.turn
		if !going {
			return
		}
	}
}

func (s *session) end(stop func() bool) {
	stop()
	s.cancel(refuse(stateShutdown, "connection closed"))
	_ = s.conn.Close()
	s.turn <- struct{}{}
	s.closePortals()
	s.rollback()
	<-s.turn
	g := s.server.group
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(s.server.sessions, s)
	g.broadcast()
}

// thaw waits while the server is frozen; false if the session ended.
func (s *session) thaw() bool { return s.server.thaw(s.ctx) == nil }

// handle answers one message; false ends the session.
func (s *session) handle(m pgproto3.FrontendMessage) bool {
	if s.skipping {
		switch m.(type) {
		case *pgproto3.Sync, *pgproto3.Terminate:
		default:
			return true
		}
	}
	if _, terminates := m.(*pgproto3.Terminate); terminates {
		return false
	}
	s.beginCycle()
	var err error
	switch m := m.(type) {
	case *pgproto3.Query:
		return s.query(m.String)
	case *pgproto3.Sync:
		return s.sync()
	case *pgproto3.Flush:
		return s.flush() == nil
	case *pgproto3.Parse:
		err = s.parse(m)
	case *pgproto3.Bind:
		err = s.bind(m)
	case *pgproto3.Describe:
		err = s.describe(m)
	case *pgproto3.Execute:
		err = s.execute(m)
	case *pgproto3.Close:
		s.close(m)
	default:
		err = refuse(stateProtocol, "message %T is not understood", m)
	}
	if err != nil {
		s.fail(err)
		s.skipping = true
		_ = s.flush()
	}
	return s.ctx.Err() == nil
}

// fail tells an error and puts the transaction into the failed state.
func (s *session) fail(err error) {
	code, message := explain(err)
	s.backend.Send(&pgproto3.ErrorResponse{
		Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: string(code), Message: message,
	})
	s.closePortals()
	if s.tx.explicit {
		s.tx.failed = true
		return
	}
	s.rollback()
}

// sync ends an implicit transaction and a series of messages.
func (s *session) sync() bool {
	s.skipping = false
	if !s.tx.explicit {
		s.closePortals()
		if err := s.commit(); err != nil {
			s.fail(err)
		}
	}
	return s.ready()
}

// ready tells position and transaction state, and sends all that was gathered.
func (s *session) ready() bool {
	if s.conn.dropped() || s.ctx.Err() != nil {
		return false
	}
	p := s.server.Applied()
	if s.read != nil {
		p = *s.read
	}
	s.read = nil
	s.tellPosition(p)
	if now := s.settings[defaultReadOnly]; now != s.reported {
		s.reported = now
		s.backend.Send(&pgproto3.ParameterStatus{Name: defaultReadOnly, Value: now})
	}
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: s.tx.status()})
	if sleep(s.ctx, s.server.delay()) != nil {
		return false
	}
	// Drawn before the client sees the answer: it may change the fault then.
	delay, isDuplicated := s.duplicator.draw(s.server.duplicates(), s.id)
	if s.flush() != nil {
		return false
	}
	answer := s.endAnswer()
	if isDuplicated {
		s.server.running.Go(func() { s.duplicate(answer, delay) })
	}
	return true
}

// tellPosition goes before the rows of a read, and before ReadyForQuery.
func (s *session) tellPosition(p position.Position) {
	s.backend.Send(&pgproto3.ParameterStatus{Name: positionParameter, Value: p.String()})
}

func (s *session) flush() error {
	if !s.thaw() {
		return ErrEnded.New("session ended")
	}
	s.gathered = 0
	return s.backend.Flush()
}
