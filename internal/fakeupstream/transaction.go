package fakeupstream

import (
	"context"
	"database/sql"
	"time"

	"github.com/savoryramp/savoryramp/pkg/position"
)

// TransactionID numbers the transactions of a server that wrote or were begun.
type TransactionID int64

// transaction is a session's state between BEGIN and COMMIT, or of the implicit
// transaction of one message series.
type transaction struct {
	id TransactionID
	// explicit means that BEGIN was said.
	explicit bool
	// decided means that readOnly is: at the first statement.
	decided  bool
	failed   bool
	readOnly bool
	writing  *writing
	// savepoints set before the first write.
	savepoints []string
	// read is the position before the first read.
	read *position.Position
}

// writing is the part of a transaction that changes the database. It exists from
// the first write on and holds the work database's writer lock.
type writing struct {
	work       *work
	conn       *sql.Conn
	statements []Statement
}

// number gives the transaction its id at its first statement.
func (t *transaction) number(s *Server) {
	if t.id > 0 {
		return
	}
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.lastTransaction++
	t.id = s.lastTransaction
}

func (t *transaction) status() byte {
	switch {
	case t.failed:
		return 'E'
	case t.explicit:
		return 'T'
	}
	return 'I'
}

// decide makes a transaction read only at its first statement if the session's are by
// default, or if the server doesn't lead at that moment.
func (s *session) decide() {
	if s.tx.decided {
		return
	}
	s.tx.decided = true
	s.tx.readOnly = s.settings[defaultReadOnly] == "on" || s.server.workNow() == nil
}

// write begins the writing part if it isn't there.
func (s *session) write(ctx context.Context) (*writing, error) {
	if w := s.tx.writing; w != nil {
		if !s.server.leadsWith(w.work) {
			return nil, refuse(stateReadOnly, "%s was replaced as primary during the transaction", s.server.Name)
		}
		return w, nil
	}
	if s.tx.readOnly {
		return nil, refuse(stateReadOnly, "cannot write in a read-only transaction")
	}
	work := s.server.workNow()
	if work == nil {
		return nil, refuse(stateReadOnly, "%s is not the primary", s.server.Name)
	}
	if err := work.writer.Acquire(ctx, 1); err != nil {
		return nil, engineError(ctx, err)
	}
	w := &writing{work: work}
	if err := w.begin(s.tx.savepoints); err != nil {
		work.writer.Release(1)
		return nil, refuse(stateReadOnly, "%s was replaced as primary: %s", s.server.Name, err)
	}
	s.tx.writing = w
	return w, nil
}

func (w *writing) begin(savepoints []string) error {
	conn, err := w.work.db.Conn(context.Background())
	if err != nil {
		return ErrEngine.Wrap(err, "work connection")
	}
	w.conn = conn
	for _, text := range append([]string{"BEGIN IMMEDIATE"}, savepoints...) {
		if _, err := conn.ExecContext(context.Background(), text); err != nil {
			_ = conn.Close()
			return ErrEngine.Wrap(err, "begin")
		}
	}
	for _, text := range savepoints {
		w.statements = append(w.statements, Statement{SQL: text})
	}
	return nil
}

// end rolls back what isn't committed and lets the next writer in.
func (w *writing) end() {
	_, _ = w.conn.ExecContext(context.Background(), "ROLLBACK")
	_ = w.conn.Close()
	w.work.writer.Release(1)
}

func (s *Server) workNow() *work {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.work
}

func (s *Server) leadsWith(w *work) bool { return s.workNow() == w }

// rollback ends the transaction without effect.
func (s *session) rollback() {
	if s.tx.writing != nil {
		s.tx.writing.end()
	}
	s.tx = transaction{}
}

// commit ends the transaction: its writes enter the log, and its position is told.
func (s *session) commit() error {
	w := s.tx.writing
	if s.tx.read != nil {
		s.read = s.tx.read
	}
	defer s.rollback()
	if w == nil || len(w.statements) == 0 {
		return nil
	}
	ctx, done := s.interruptible()
	defer done()
	if err := s.server.thaw(ctx); err != nil {
		return engineError(ctx, err)
	}
	return s.server.commit(ctx, s, w)
}

func (s *Server) commit(ctx context.Context, n *session, w *writing) error {
	s.group.mu.Lock()
	v := s.view
	s.group.mu.Unlock()
	c, err := v.change(ctx, w.statements)
	if c == nil {
		return engineError(ctx, err)
	}
	defer c.end()
	if err != nil {
		return refuse(stateInternal, "commit: %s", err)
	}
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if s.work != w.work {
		return refuse(stateReadOnly, "%s was replaced as primary before the commit", s.Name)
	}
	c.commit()
	_, _ = w.conn.ExecContext(context.Background(), "COMMIT")
	e := s.append(n, w.statements)
	n.read = &e.Position
	s.group.Recorder.committed(s.Name, n, *e)
	if s.faults.dropAnswer {
		s.faults.dropAnswer = false
		n.conn.drop()
	}
	return nil
}

// append adds an entry to the primary's log; group.mu is held.
func (s *Server) append(n *session, list []Statement) *Entry {
	now := time.Now()
	e := &Entry{
		Position:   position.Position{Term: s.leads, Offset: position.Offset(len(s.log) + 1)},
		Statements: list, Connection: n.id, Server: s.Name, At: now,
	}
	s.log = append(s.log, received{Entry: e, at: now})
	s.applied++
	s.group.broadcast()
	return e
}

// interruptible is a context that a cancel request ends.
func (s *session) interruptible() (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(s.ctx)
	s.setInterrupt(cancel)
	return ctx, func() {
		s.setInterrupt(nil)
		cancel(nil)
	}
}

func (s *session) setInterrupt(cancel context.CancelCauseFunc) {
	s.server.group.mu.Lock()
	defer s.server.group.mu.Unlock()
	s.interrupt = cancel
}
