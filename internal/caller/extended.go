package caller

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/savoryramp/savoryramp/internal/upstream"
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
	return s.perform(ctx, &request{
		kind: p.kind, runs: p.runs, mayCommit: ends, widens: p.widens, chains: p.chains, begins: p.begins,
		unsynced: !sync, messages: messages,
		sends: func(c *upstream.Conn) []step { return s.put(c, messages, sync) },
	})
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
	// reads is true when one of the statements passes for a read.
	reads bool
	// widens is true when a statement may let a read-only transaction write.
	widens bool
	// chains is true when it ends a transaction and begins another.
	chains bool
	// begins are the statements that decide the modes of a transaction.
	begins []string
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
	var bound *prepared
	for _, m := range messages {
		switch m := m.(type) {
		case *pgproto3.Parse:
			st := newPrepared(m)
			s.prepared[m.Name] = st
			p.see(st)
			p.sends = true
		case *pgproto3.Bind:
			bound = s.prepared[m.PreparedStatement]
			p.see(bound)
			p.sends = true
		case *pgproto3.Describe:
			if m.ObjectType == 'S' {
				p.see(s.prepared[m.Name])
			}
			p.sends = true
		case *pgproto3.Execute:
			p.runs, p.sends = true, true
			p.run(bound)
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
// it go to the primary, and so do several that begin or end transactions, and a read
// with an end: what follows the end is in another transaction.
func (p *plan) see(st *prepared) {
	if st == nil {
		return
	}
	p.ends = p.ends || st.kind == kindEnd || mayEnd(st.sql)
	p.widens = p.widens || widens(st.sql)
	switch st.kind {
	case kindOwn:
		p.own = true
	case kindRead:
		p.reads = true
		if p.kind == kindEnd {
			p.kind = kindWrite
		}
	case kindEmpty, p.kind:
	default:
		if p.kind == kindRead && !(p.reads && st.kind == kindEnd) {
			p.kind = st.kind
			return
		}
		p.kind = kindWrite
	}
}

// run takes a statement into account that executes; nil for one that isn't known.
func (p *plan) run(st *prepared) {
	if st == nil {
		return
	}
	p.chains = p.chains || st.kind == kindEnd && chains(st.sql)
	p.begins = append(p.begins, modes(st.kind, st.sql)...)
}

// answerLocal answers a batch that needs no server.
func (s *Session) answerLocal(p plan) error {
	for _, m := range p.locals {
		s.send(m)
	}
	return s.ready()
}
