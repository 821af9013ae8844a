package caller

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/savoryramp/savoryramp/internal/upstream"
)

// sendBatch sends extended-protocol messages on a connection, preceded by Parse
// messages for statements that the connection hasn't prepared, and returns the replies
// to expect.
func (s *Session) sendBatch(c *upstream.Conn, messages []pgproto3.FrontendMessage, sync bool) []step {
	b := &batchWriter{session: s, conn: c}
	for _, m := range messages {
		b.add(m)
	}
	if sync {
		c.Send(&pgproto3.Sync{})
	} else {
		c.Send(&pgproto3.Flush{})
	}
	return b.steps
}

// batchWriter sends the messages of one extended-protocol batch on a connection.
type batchWriter struct {
	session *Session
	conn    *upstream.Conn
	steps   []step
}

func (b *batchWriter) add(m pgproto3.FrontendMessage) {
	switch m := m.(type) {
	case *pgproto3.Parse:
		b.parse(m)
	case *pgproto3.Bind:
		bind := *m
		bind.PreparedStatement = b.ensurePrepared(m.PreparedStatement)
		b.send(&bind, stepBind)
	case *pgproto3.Describe:
		b.describe(m)
	case *pgproto3.Execute:
		b.send(m, stepExecute)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(b.session.preparedStatements, m.Name)
			b.steps = append(b.steps, step{kind: stepLocal, localReply: &pgproto3.CloseComplete{}})
			return
		}
		b.send(m, stepClose)
	}
}

func (b *batchWriter) send(m pgproto3.FrontendMessage, kind stepKind) {
	b.conn.Send(m)
	b.steps = append(b.steps, step{kind: kind})
}

// parse prepares a statement under its server name. If the connection has it already,
// the proxy answers with ParseComplete itself.
func (b *batchWriter) parse(m *pgproto3.Parse) {
	st := newPreparedStatement(m)
	b.session.preparedStatements[m.Name] = st
	if m.Name == "" {
		b.conn.Send(st.parseMessage(""))
		b.conn.UnnamedStatement = st.serverName
		b.conn.Dirty = b.conn.Dirty || mayLeaveState(st.sql)
		b.steps = append(b.steps, step{kind: stepParse})
		return
	}
	if b.conn.PreparedStatements[st.serverName] {
		b.steps = append(b.steps, step{kind: stepLocal, localReply: &pgproto3.ParseComplete{}})
		return
	}
	b.conn.Send(st.parseMessage(st.serverName))
	b.steps = append(b.steps, step{kind: stepParse, prepares: st})
}

// ensurePrepared prepares a session's statement on the connection if needed and returns
// its name there. A name unknown to the session is returned unchanged, so that the
// server rejects it.
func (b *batchWriter) ensurePrepared(name string) string {
	st := b.session.preparedStatements[name]
	if st == nil {
		return name
	}
	b.conn.Dirty = b.conn.Dirty || mayLeaveState(st.sql)
	if name == "" {
		if b.conn.UnnamedStatement != st.serverName {
			b.conn.Send(st.parseMessage(""))
			b.conn.UnnamedStatement = st.serverName
			b.steps = append(b.steps, step{kind: stepParse, hidden: true})
		}
		return ""
	}
	if !b.conn.PreparedStatements[st.serverName] && !b.isPreparing(st) {
		b.conn.Send(st.parseMessage(st.serverName))
		b.steps = append(b.steps, step{kind: stepParse, hidden: true, prepares: st})
	}
	return st.serverName
}

// isPreparing reports whether this batch already contains a Parse of the statement.
func (b *batchWriter) isPreparing(st *preparedStatement) bool {
	for _, p := range b.steps {
		if p.prepares != nil && p.prepares.serverName == st.serverName {
			return true
		}
	}
	return false
}

func (b *batchWriter) describe(m *pgproto3.Describe) {
	if m.ObjectType != 'S' {
		b.send(m, stepDescribePortal)
		return
	}
	name := b.ensurePrepared(m.Name)
	b.send(&pgproto3.Describe{ObjectType: 'S', Name: name}, stepDescribeStatement)
}
