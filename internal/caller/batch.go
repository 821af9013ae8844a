package caller

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/savoryramp/savoryramp/internal/upstream"
)

// put sends a batch over a connection, prepares what the connection lacks, and gives
// the steps of the answer.
func (s *Session) put(c *upstream.Conn, messages []pgproto3.FrontendMessage, sync bool) []step {
	b := &batch{session: s, conn: c}
	for _, m := range messages {
		b.add(m)
	}
	if sync {
		c.Frontend.Send(&pgproto3.Sync{})
	} else {
		c.Frontend.Send(&pgproto3.Flush{})
	}
	return b.steps
}

// batch puts extended messages on one connection.
type batch struct {
	session *Session
	conn    *upstream.Conn
	steps   []step
}

func (b *batch) add(m pgproto3.FrontendMessage) {
	switch m := m.(type) {
	case *pgproto3.Parse:
		b.parse(m)
	case *pgproto3.Bind:
		c := *m
		c.PreparedStatement = b.ensure(m.PreparedStatement)
		b.put(&c, partBind)
	case *pgproto3.Describe:
		b.describe(m)
	case *pgproto3.Execute:
		b.put(m, partExecute)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(b.session.prepared, m.Name)
			b.steps = append(b.steps, step{what: partLocal, local: &pgproto3.CloseComplete{}})
			return
		}
		b.put(m, partClose)
	}
}

func (b *batch) put(m pgproto3.FrontendMessage, what part) {
	b.conn.Frontend.Send(m)
	b.steps = append(b.steps, step{what: what})
}

// parse prepares a statement under its own name; one that stands already is only
// acknowledged.
func (b *batch) parse(m *pgproto3.Parse) {
	st := newPrepared(m)
	b.session.prepared[m.Name] = st
	if m.Name == "" {
		b.conn.Frontend.Send(st.parse(""))
		b.conn.UnnamedStatement = st.name
		b.conn.Dirty = b.conn.Dirty || leavesState(st.sql)
		b.steps = append(b.steps, step{what: partParse})
		return
	}
	if b.conn.PreparedStatements[st.name] {
		b.steps = append(b.steps, step{what: partLocal, local: &pgproto3.ParseComplete{}})
		return
	}
	b.conn.Frontend.Send(st.parse(st.name))
	b.steps = append(b.steps, step{what: partParse, prepares: st})
}

// ensure makes a session's statement stand on the connection and gives its name
// there. A name that the session doesn't know is passed on for the server to refuse.
func (b *batch) ensure(name string) string {
	st := b.session.prepared[name]
	if st == nil {
		return name
	}
	b.conn.Dirty = b.conn.Dirty || leavesState(st.sql)
	if name == "" {
		if b.conn.UnnamedStatement != st.name {
			b.conn.Frontend.Send(st.parse(""))
			b.conn.UnnamedStatement = st.name
			b.steps = append(b.steps, step{what: partParse, silent: true})
		}
		return ""
	}
	if !b.conn.PreparedStatements[st.name] && !b.preparing(st) {
		b.conn.Frontend.Send(st.parse(st.name))
		b.steps = append(b.steps, step{what: partParse, silent: true, prepares: st})
	}
	return st.name
}

// preparing tells whether the batch itself already prepares a statement.
func (b *batch) preparing(st *prepared) bool {
	for _, p := range b.steps {
		if p.prepares != nil && p.prepares.name == st.name {
			return true
		}
	}
	return false
}

func (b *batch) describe(m *pgproto3.Describe) {
	if m.ObjectType != 'S' {
		b.put(m, partDescribePortal)
		return
	}
	name := b.ensure(m.Name)
	b.put(&pgproto3.Describe{ObjectType: 'S', Name: name}, partDescribeStatement)
}
