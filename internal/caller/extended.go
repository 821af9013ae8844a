package caller

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/savoryramp/savoryramp/internal/upstream"
)

// step is one expected part of the answer to an extended-protocol request.
type step struct {
	what part
	// silent steps were put in by savoryramp; the caller doesn't see their answer.
	silent bool
	// local steps were not sent; savoryramp answers them itself, in their turn.
	local pgproto3.BackendMessage
	// prepares is the statement that stands on the connection afterwards.
	prepares *prepared
}

// part is what a step's last message is.
type part string

const (
	partParse             part = "parse"
	partBind              part = "bind"
	partDescribeStatement part = "describe-statement"
	partDescribePortal    part = "describe-portal"
	partExecute           part = "execute"
	partClose             part = "close"
	partLocal             part = "local"
)

// maxPending bounds the messages gathered before a Sync.
const maxPending = 10_000

// collect gathers a message until Sync or Flush.
func (s *Session) collect(m pgproto3.FrontendMessage) error {
	if s.skipping {
		return nil
	}
	if len(s.pending) >= maxPending {
		return ErrProtocol.New("more than %d messages before a Sync", maxPending)
	}
	s.pending = append(s.pending, clone(m))
	return nil
}

// extended answers the gathered messages.
func (s *Session) extended(ctx context.Context, sync bool) error {
	messages := s.pending
	s.pending = nil
	if s.skipping {
		if !sync {
			return s.flush()
		}
		s.skipping = false
		if s.conn == nil {
			return s.ready()
		}
		messages = nil
	}
	p := s.plan(messages)
	switch {
	case p.own:
		return s.answerOwnExtended(messages, sync)
	case s.conn == nil && !p.sends && sync:
		return s.answerLocal(p)
	case s.conn == nil && len(messages) == 0:
		return s.flush()
	}
	if p.ends && p.runs && !sync {
		s.refuse(ErrUnsupported.New("the end of a transaction must be followed by Sync, not Flush"))
		s.skipping = true
		return s.flush()
	}
	if !sync && p.kind == kindRead {
		// What follows before the Sync belongs to the same transaction and may write.
		p.kind = kindWrite
	}
	s.carry(&p, sync)
	ends := sync && (s.implicit || p.ends)
	return s.perform(ctx, &request{kind: p.kind, runs: p.runs, mayCommit: ends, unsynced: !sync, sends: func(c *upstream.Conn) []step {
		return s.put(c, messages, sync)
	}})
}

// carry remembers what ran before a Flush, since it commits at the next Sync.
func (s *Session) carry(p *plan, sync bool) {
	if p.runs && (s.carried == "" || p.kind != kindRead) {
		s.carried = p.kind
	}
	if !sync || s.carried == "" {
		return
	}
	p.runs = true
	if p.kind == kindRead {
		p.kind = s.carried
	}
	s.carried = ""
}

// plan is what a batch of extended messages means.
type plan struct {
	kind kind
	// ends is true when a statement may end a transaction.
	ends bool
	// runs is true when something executes.
	runs bool
	// sends is false when all can be answered here.
	sends bool
	// own is true when it runs statements on savoryramp's own settings.
	own    bool
	locals []pgproto3.BackendMessage
}

// plan reads a batch and takes note of the statements it prepares.
func (s *Session) plan(messages []pgproto3.FrontendMessage) plan {
	p := plan{kind: kindRead}
	for _, m := range messages {
		switch m := m.(type) {
		case *pgproto3.Parse:
			st := newPrepared(m)
			s.prepared[m.Name] = st
			p.see(st)
			p.sends = true
		case *pgproto3.Bind:
			p.see(s.prepared[m.PreparedStatement])
			p.sends = true
		case *pgproto3.Describe:
			if m.ObjectType == 'S' {
				p.see(s.prepared[m.Name])
			}
			p.sends = true
		case *pgproto3.Execute:
			p.runs, p.sends = true, true
		case *pgproto3.Close:
			if m.ObjectType == 'S' {
				p.locals = append(p.locals, &pgproto3.CloseComplete{})
				continue
			}
			p.sends = true
		}
	}
	return p
}

// see takes a statement of the batch into account: one that may write makes all of
// it go to the primary, and so do several that begin or end transactions.
func (p *plan) see(st *prepared) {
	if st == nil {
		return
	}
	p.ends = p.ends || st.kind == kindEnd
	switch st.kind {
	case kindOwn:
		p.own = true
	case kindRead, kindEmpty, p.kind:
	default:
		if p.kind == kindRead {
			p.kind = st.kind
			return
		}
		p.kind = kindWrite
	}
}

// answerLocal answers a batch that needs no server.
func (s *Session) answerLocal(p plan) error {
	for _, m := range p.locals {
		s.send(m)
	}
	return s.ready()
}

// put sends a batch over a connection, prepares what the connection lacks, and gives
// the steps of the answer.
func (s *Session) put(c *upstream.Conn, messages []pgproto3.FrontendMessage, sync bool) []step {
	b := &batch{session: s, conn: c}
	for _, m := range messages {
		b.add(m)
	}
	if sync {
		c.Front.Send(&pgproto3.Sync{})
	} else {
		c.Front.Send(&pgproto3.Flush{})
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
	b.conn.Front.Send(m)
	b.steps = append(b.steps, step{what: what})
}

// parse prepares a statement under its own name; one that stands already is only
// acknowledged.
func (b *batch) parse(m *pgproto3.Parse) {
	st := newPrepared(m)
	b.session.prepared[m.Name] = st
	if m.Name == "" {
		b.conn.Front.Send(st.parse(""))
		b.conn.Unnamed = st.name
		b.conn.Dirty = b.conn.Dirty || leavesState(st.sql)
		b.steps = append(b.steps, step{what: partParse})
		return
	}
	if b.conn.Prepared[st.name] {
		b.steps = append(b.steps, step{what: partLocal, local: &pgproto3.ParseComplete{}})
		return
	}
	b.conn.Front.Send(st.parse(st.name))
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
		if b.conn.Unnamed != st.name {
			b.conn.Front.Send(st.parse(""))
			b.conn.Unnamed = st.name
			b.steps = append(b.steps, step{what: partParse, silent: true})
		}
		return ""
	}
	if !b.conn.Prepared[st.name] && !b.preparing(st) {
		b.conn.Front.Send(st.parse(st.name))
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

// wanted matches a message of the answer with the steps; false when the caller
// must not see it.
func (x *exchange) wanted(m pgproto3.BackendMessage) bool {
	if len(x.steps) == 0 || !x.steps[0].ends(m) {
		return true
	}
	done := x.steps[0]
	x.steps = x.steps[1:]
	if done.prepares != nil {
		x.conn.Prepared[done.prepares.name] = true
	}
	if done.silent {
		x.synthesize()
		return false
	}
	if len(x.steps) > 0 && x.steps[0].what == partLocal {
		_ = x.forward(m)
		x.synthesize()
		return false
	}
	return true
}

// synthesize answers the local steps whose turn has come.
func (x *exchange) synthesize() {
	for len(x.steps) > 0 && x.steps[0].what == partLocal {
		_ = x.forward(x.steps[0].local)
		x.steps = x.steps[1:]
	}
}

// ends tells whether a message is the last one of the step's answer.
func (s step) ends(m pgproto3.BackendMessage) bool {
	switch m.(type) {
	case *pgproto3.ParseComplete:
		return s.what == partParse
	case *pgproto3.BindComplete:
		return s.what == partBind
	case *pgproto3.CloseComplete:
		return s.what == partClose
	case *pgproto3.RowDescription, *pgproto3.NoData:
		return s.what == partDescribePortal || s.what == partDescribeStatement
	case *pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		return s.what == partExecute
	}
	return false
}

// answerOwnExtended runs a batch whose statements are on savoryramp's own settings.
func (s *Session) answerOwnExtended(messages []pgproto3.FrontendMessage, sync bool) error {
	var bound *prepared
	for _, m := range messages {
		if err := s.answerOwnMessage(m, &bound); err != nil {
			s.refuse(err)
			break
		}
	}
	if !sync {
		return s.flush()
	}
	return s.ready()
}

func (s *Session) answerOwnMessage(m pgproto3.FrontendMessage, bound **prepared) error {
	switch m := m.(type) {
	case *pgproto3.Parse:
		s.send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		*bound = s.prepared[m.PreparedStatement]
		s.send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		return s.describeOwn(m, *bound)
	case *pgproto3.Execute:
		return s.executeOwn(*bound)
	case *pgproto3.Close:
		s.send(&pgproto3.CloseComplete{})
	}
	return nil
}

func (s *Session) describeOwn(m *pgproto3.Describe, bound *prepared) error {
	if m.ObjectType == 'S' {
		bound = s.prepared[m.Name]
		s.send(&pgproto3.ParameterDescription{})
	}
	if bound == nil {
		return ErrProtocol.New("nothing to describe")
	}
	if name, _, tag, err := s.own(bound.sql); err == nil && tag == "SHOW" {
		s.send(showDescription(name))
		return nil
	}
	s.send(&pgproto3.NoData{})
	return nil
}

func (s *Session) executeOwn(bound *prepared) error {
	if bound == nil || bound.kind != kindOwn {
		return ErrUnsupported.New("savoryramp settings can't be mixed with other statements in one batch")
	}
	_, value, tag, err := s.own(bound.sql)
	if err != nil {
		return err
	}
	if tag == "SHOW" {
		s.send(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
	}
	s.send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	return nil
}
