package fakeupstream

import (
	"context"
	"database/sql"
	"strings"

	"modernc.org/sqlite"
)

// statement is what a client's text asks for.
type statement interface{ isStatement() }

// control changes the session or the transaction.
type control struct {
	verb string
	text string
}

// function is a call that the server answers itself.
type function struct {
	name       string
	arguments  []string
	parameters int
}

// query is for the engine.
type query struct {
	verb       string
	sql        string
	parameters int
	// access tells what of the database the engine touches.
	access access
	// locks means that rows are read to be changed, with FOR UPDATE.
	locks bool
}

// empty does nothing.
type empty struct{}

func (control) isStatement()  {}
func (function) isStatement() {}
func (query) isStatement()    {}
func (empty) isStatement()    {}

type access string

const (
	accessNone  access = "none"
	accessRead  access = "read"
	accessWrite access = "write"
)

var controls = map[string]bool{
	"BEGIN": true, "START": true, "COMMIT": true, "END": true, "ROLLBACK": true, "ABORT": true,
	"SAVEPOINT": true, "RELEASE": true, "SET": true, "SHOW": true, "RESET": true, "DISCARD": true,
	"DEALLOCATE": true, "LISTEN": true, "UNLISTEN": true,
}

var unsupported = map[string]bool{
	"PRAGMA": true, "ATTACH": true, "DETACH": true, "VACUUM": true, "PREPARE": true, "EXECUTE": true,
	"COPY": true, "NOTIFY": true, "DECLARE": true, "FETCH": true,
}

// understand sorts a text and asks the engine what it touches.
func (s *session) understand(ctx context.Context, text string) (statement, error) {
	text = strings.TrimRight(strings.TrimSpace(text), "; \t\r\n")
	verb := keyword(text)
	switch {
	case text == "" || verb == "" && len(split(text)) == 0:
		return empty{}, nil
	case controls[verb]:
		return control{verb: verb, text: text}, nil
	case unsupported[verb]:
		return nil, refuse(stateUnsupported, "%s is not supported", verb)
	}
	if parts := call.FindStringSubmatch(text); parts != nil {
		return understandCall(parts[1], parts[2]), nil
	}
	q := query{verb: verb}
	plain := locking.ReplaceAllString(text, "")
	q.locks = plain != text
	q.sql, q.parameters = translate(plain)
	var err error
	q.access, err = s.access(ctx, q)
	return q, err
}

func understandCall(name, arguments string) function {
	f := function{name: strings.ToLower(name)}
	if strings.TrimSpace(arguments) != "" {
		for _, a := range strings.Split(arguments, ",") {
			f.arguments = append(f.arguments, strings.TrimSpace(castEnd.ReplaceAllString(a, "")))
		}
	}
	_, f.parameters = translate(arguments)
	return f
}

// access reads from the engine's plan whether a statement opens the database.
func (s *session) access(ctx context.Context, q query) (access, error) {
	found := accessNone
	err := s.with(ctx, func(c *sql.Conn) error {
		rows, err := c.QueryContext(ctx, "EXPLAIN "+q.sql, make([]any, q.parameters)...)
		if err != nil {
			return err
		}
		defer rows.Close()
		for rows.Next() {
			var address, p1, p2, p3 sql.NullInt64
			var opcode string
			var p4, p5, comment any
			if err := rows.Scan(&address, &opcode, &p1, &p2, &p3, &p4, &p5, &comment); err != nil {
				return err
			}
			switch {
			case opcode == "Transaction" && p2.Int64 != 0:
				found = accessWrite
			case opcode == "Transaction" && found == accessNone:
				found = accessRead
			}
		}
		return rows.Err()
	})
	return found, engineError(ctx, err)
}

// with lends a connection to the database that the transaction sees.
func (s *session) with(ctx context.Context, use func(c *sql.Conn) error) error {
	if w := s.tx.writing; w != nil {
		return use(w.conn)
	}
	v, _ := s.server.viewNow()
	if err := v.lock.Acquire(ctx, 1); err != nil {
		return err
	}
	defer v.lock.Release(1)
	c, err := v.db.Conn(ctx)
	if err != nil {
		return err
	}
	defer c.Close()
	return use(c)
}

// columns gives names and types of a query's columns before it runs.
func (s *session) columns(ctx context.Context, q query) ([]column, error) {
	var list []column
	err := s.with(ctx, func(c *sql.Conn) error {
		info, err := columnInfo(c, q.sql)
		if err != nil {
			return err
		}
		open := false
		for _, i := range info {
			oid := declared(i.DeclType)
			if oid == oidUnknown && counts(i.Name) {
				oid = oidInt8
			}
			open = open || oid == oidUnknown
			list = append(list, column{name: i.Name, oid: oid})
		}
		if open && q.access != accessWrite {
			return probe(ctx, c, q, list)
		}
		return nil
	})
	for i := range list {
		if list[i].oid == oidUnknown {
			list[i].oid = oidText
		}
	}
	return list, engineError(ctx, err)
}

func columnInfo(c *sql.Conn, text string) (info []sqlite.ColumnInfo, err error) {
	failed := c.Raw(func(driver any) error {
		info, err = driver.(interface {
			ColumnInfo(string) ([]sqlite.ColumnInfo, error)
		}).ColumnInfo(text)
		return nil
	})
	if failed != nil {
		return nil, failed
	}
	return info, err
}

// counts tells whether an expression is a number by its looks.
func counts(name string) bool {
	name = strings.ToLower(name)
	for _, prefix := range []string{"count(", "sum(", "length(", "changes("} {
		if strings.HasPrefix(name, prefix) {
			return true
		}
	}
	return false
}

// probe fills in types from the first row with all parameters NULL.
func probe(ctx context.Context, c *sql.Conn, q query, list []column) error {
	rows, err := c.QueryContext(ctx, q.sql, make([]any, q.parameters)...)
	if err != nil {
		return err
	}
	defer rows.Close()
	if !rows.Next() {
		return rows.Err()
	}
	values, err := scan(rows, len(list))
	if err != nil {
		return err
	}
	for i, v := range values {
		if list[i].oid == oidUnknown {
			list[i].oid = typeOf(v)
		}
	}
	return nil
}
