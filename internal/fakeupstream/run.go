package fakeupstream

import (
	"context"
	"database/sql"
	"strconv"
	"strings"
	"time"

	"github.com/savoryramp/savoryramp/pkg/position"
)

// column is one column of a result.
type column struct {
	name string
	oid  OID
}

// result is what a statement gives: rows or a count, and the command tag.
type result struct {
	columns []column
	rows    [][]any
	// live gives further rows after rows; it holds no lock.
	live *sql.Rows
	// ctx of live, and what ends it.
	ctx  context.Context
	stop context.CancelCauseFunc
	// verb begins the tag.
	verb string
	// count of rows changed, or sent so far.
	count int64
	// plain means a tag without a count.
	plain bool
}

// next gives the next row, or nil at the end.
func (r *result) next() ([]any, error) {
	if len(r.rows) > 0 {
		row := r.rows[0]
		r.rows = r.rows[1:]
		return row, nil
	}
	if r.live == nil {
		return nil, nil
	}
	if !r.live.Next() {
		return nil, engineError(r.ctx, r.live.Err())
	}
	return scan(r.live, len(r.columns))
}

func (r *result) close() {
	if r.live != nil {
		_ = r.live.Close()
		r.stop(nil)
		r.live = nil
	}
}

func (r *result) tag() string {
	switch {
	case r.plain:
		return r.verb
	case r.verb == "INSERT" || r.verb == "REPLACE":
		return "INSERT 0 " + strconv.FormatInt(r.count, 10)
	}
	return r.verb + " " + strconv.FormatInt(r.count, 10)
}

func scan(rows *sql.Rows, n int) ([]any, error) {
	values, pointers := make([]any, n), make([]any, n)
	for i := range values {
		pointers[i] = &values[i]
	}
	return values, rows.Scan(pointers...)
}

// runStatement runs one statement in the session's transaction.
func (s *session) runStatement(ctx context.Context, st statement, args []any) (*result, error) {
	if c, is := st.(control); s.tx.failed && !(is && endsFailed(c)) {
		return nil, refuse(stateFailed, "current transaction is aborted, commands ignored until end of transaction block")
	}
	s.decide()
	switch st := st.(type) {
	case control:
		return s.control(ctx, st)
	case function:
		return s.call(ctx, st, args)
	case query:
		r, err := s.runQuery(ctx, st, args)
		return r, engineError(ctx, err)
	}
	return nil, nil
}

func (s *session) runQuery(ctx context.Context, q query, args []any) (*result, error) {
	if len(args) != q.parameters {
		return nil, refuse(stateProtocol, "statement has %d parameters, %d are bound", q.parameters, len(args))
	}
	var w *writing
	if q.access == accessWrite || q.locks || s.tx.writing != nil {
		var err error
		if w, err = s.write(ctx); err != nil {
			return nil, err
		}
	}
	release, err := s.server.slot(ctx)
	if err != nil {
		return nil, err
	}
	defer release()
	s.tx.number(s.server)
	s.server.group.Recorder.ran(s.server.Name, s, Statement{SQL: q.sql, Args: args})
	switch {
	case q.access == accessWrite:
		return s.runWrite(ctx, w, q, args)
	case s.tx.writing != nil:
		return collect(ctx, s.tx.writing.conn, q, args)
	}
	return s.runRead(ctx, q, args)
}

// slot waits for a place among the running statements and for the service time.
func (s *Server) slot(ctx context.Context) (release func(), err error) {
	if err := s.slots.Acquire(ctx, 1); err != nil {
		return nil, err
	}
	s.count(1)
	release = func() {
		s.count(-1)
		s.slots.Release(1)
	}
	if err = sleep(ctx, s.service()); err == nil {
		err = s.thaw(ctx)
	}
	if err != nil {
		release()
		return nil, err
	}
	return release, nil
}

func (s *Server) count(change int) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.busy += change
}

// viewNow is the view with a position that it has reached.
func (s *Server) viewNow() (*view, position.Position) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.view, s.appliedPosition()
}

func (s *session) runRead(ctx context.Context, q query, args []any) (*result, error) {
	v, p := s.server.viewNow()
	if s.read == nil {
		s.read = &p
		s.tellPosition(p)
	}
	if s.tx.read == nil {
		s.tx.read = &p
	}
	if q.access == accessNone {
		return s.stream(v, q, args)
	}
	if err := v.lock.Acquire(ctx, 1); err != nil {
		return nil, err
	}
	defer v.lock.Release(1)
	c, err := v.db.Conn(ctx)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	for attempt := 1; ; attempt++ {
		r, err := collect(ctx, c, q, args)
		if !isLocked(err) || attempt == lockedAttempts {
			return r, err
		}
		time.Sleep(lockedPause)
	}
}

// lockedAttempts is how often a read is tried, with lockedPause between, while the engine says that the database is
// locked, seen in one of some 440,000 requests on a busy machine: its lock may outlive the statement that held it. Servers
// don't answer so.
const (
	lockedAttempts = 100
	lockedPause    = time.Millisecond
)

// stream leaves the rows of a query that touches no table in the engine. They
// outlive the message, so they have a context of their own.
func (s *session) stream(v *view, q query, args []any) (*result, error) {
	ctx, cancel := context.WithCancelCause(s.ctx)
	s.setInterrupt(cancel)
	rows, err := v.db.QueryContext(ctx, q.sql, args...)
	if err != nil {
		defer cancel(nil)
		return nil, engineError(ctx, err)
	}
	r, err := open(rows, q)
	r.live, r.ctx, r.stop = rows, ctx, cancel
	return r, err
}

// collect reads all rows.
func collect(ctx context.Context, c *sql.Conn, q query, args []any) (*result, error) {
	rows, err := c.QueryContext(ctx, q.sql, args...)
	if err != nil {
		return nil, err
	}
	defer rows.Close()
	r, err := open(rows, q)
	for err == nil && rows.Next() {
		var row []any
		row, err = scan(rows, len(r.columns))
		r.rows = append(r.rows, row)
	}
	if err == nil {
		err = rows.Err()
	}
	r.guess()
	return r, err
}

// open reads the columns, and the first row for types that aren't declared.
func open(rows *sql.Rows, q query) (*result, error) {
	r := &result{verb: q.verb}
	if q.verb == "WITH" || q.verb == "VALUES" || q.verb == "EXPLAIN" {
		r.verb = "SELECT"
	}
	types, err := rows.ColumnTypes()
	if err != nil {
		return r, err
	}
	for _, t := range types {
		r.columns = append(r.columns, column{name: t.Name(), oid: declared(t.DatabaseTypeName())})
	}
	if rows.Next() {
		row, err := scan(rows, len(types))
		if err != nil {
			return r, err
		}
		r.rows = append(r.rows, row)
	}
	r.guess()
	return r, rows.Err()
}

// guess takes open types from the first row.
func (r *result) guess() {
	for i := range r.columns {
		c := &r.columns[i]
		switch {
		case c.oid == oidUnknown && len(r.rows) > 0 && r.rows[0][i] != nil:
			c.oid = typeOf(r.rows[0][i])
		case c.oid == oidUnknown && counts(c.name):
			c.oid = oidInt8
		case c.oid == oidUnknown:
			c.oid = oidText
		}
	}
}

func (s *session) runWrite(ctx context.Context, w *writing, q query, args []any) (*result, error) {
	r, err := s.change(ctx, w, q, args)
	if err != nil {
		return nil, err
	}
	w.statements = append(w.statements, Statement{SQL: q.sql, Args: args})
	return r, nil
}

func (s *session) change(ctx context.Context, w *writing, q query, args []any) (*result, error) {
	info, err := columnInfo(w.conn, q.sql)
	if err != nil {
		return nil, err
	}
	if len(info) > 0 {
		r, err := collect(ctx, w.conn, q, args)
		if err == nil && q.verb != "WITH" {
			r.verb = q.verb
		}
		return r, err
	}
	done, err := w.conn.ExecContext(ctx, q.sql, args...)
	if err != nil {
		return nil, err
	}
	r := &result{verb: q.verb}
	switch q.verb {
	case "CREATE", "DROP", "ALTER":
		words := strings.Fields(strings.ToUpper(q.sql))
		r.verb, r.plain = strings.Join(words[:min(2, len(words))], " "), true
	default:
		r.count, _ = done.RowsAffected()
	}
	return r, nil
}
