package caller

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/savoryramp/savoryramp/internal/upstream"
)

// maxPending bounds the messages gathered before a Sync.
const maxPendingMessages = 10_000

// collect gathers a message until Sync or Flush.
func (s *Session) queueMessage(m pgproto3.FrontendMessage) error {
	if s.skippingToSync {
		return nil
	}
	if len(s.pendingMessages) >= maxPendingMessages {
		return ErrProtocol.New("more than %d messages before a Sync", maxPendingMessages)
	}
	s.pendingMessages = append(s.pendingMessages, cloneMessage(m))
	return nil
}

// extended answers the gathered messages.
func (s *Session) runExtended(ctx context.Context, sync bool) error {
	messages := s.pendingMessages
	s.pendingMessages = nil
	if s.skippingToSync {
		if !sync {
			return s.flush()
		}
		s.skippingToSync = false
		if s.transactionConn == nil {
			return s.sendReady()
		}
		messages = nil
	}
	p := s.planBatch(messages)
	switch {
	case p.hasProxySettings:
		return s.answerProxySettingBatch(messages, sync)
	case s.transactionConn == nil && !p.needsServer && sync:
		return s.answerWithoutServer(p)
	case s.transactionConn == nil && len(messages) == 0:
		return s.flush()
	}
	if p.mayEndTransaction && p.executes && !sync {
		s.refuse(ErrUnsupported.New("the end of a transaction must be followed by Sync, not Flush"))
		s.skippingToSync = true
		return s.flush()
	}
	if !sync && p.kind == kindRead {
		// What follows before the Sync belongs to the same transaction and may write.
		p.kind = kindWrite
	}
	s.mergeFlushed(&p, sync)
	mayCommit := sync && (s.implicitTransaction || p.mayEndTransaction)
	return s.runRequest(ctx, &request{
		kind: p.kind, executes: p.executes, mayCommit: mayCommit, mayAllowWrites: p.mayAllowWrites, andChain: p.andChain, modeStatements: p.modeStatements,
		endsWithFlush: !sync, statements: p.statements, messages: messages,
		send: func(c *upstream.Conn) []step { return s.sendBatch(c, messages, sync) },
	})
}

// carry remembers what ran before a Flush, since it commits at the next Sync.
func (s *Session) mergeFlushed(p *batchPlan, sync bool) {
	if p.executes && (s.flushedKind == "" || p.kind != kindRead) {
		s.flushedKind = p.kind
	}
	if !sync || s.flushedKind == "" {
		return
	}
	p.executes = true
	if p.kind == kindRead {
		p.kind = s.flushedKind
	}
	s.flushedKind = ""
}

// plan is what a batch of extended messages means.
type batchPlan struct {
	kind statementKind
	// ends is true when a statement may end a transaction.
	mayEndTransaction bool
	// reads is true when one of the statements passes for a read.
	hasRead bool
	// widens is true when a statement may let a read-only transaction write.
	mayAllowWrites bool
	// chains is true when it ends a transaction and begins another.
	andChain bool
	// begins are the statements that decide the modes of a transaction.
	modeStatements []string
	// follows is true once changes of settings are to be followed.
	tracksSettings bool
	// before counts the statements that execute until then, statements are all.
	statementsBefore int
	statements       []string
	// runs is true when something executes.
	executes bool
	// sends is false when all can be answered here.
	needsServer bool
	// own is true when it runs statements on savoryramp's own settings.
	hasProxySettings bool
	localReplies     []pgproto3.BackendMessage
}

// plan reads a batch and takes note of the statements it prepares.
func (s *Session) planBatch(messages []pgproto3.FrontendMessage) batchPlan {
	p := batchPlan{kind: kindRead, tracksSettings: len(s.uncommittedSettings) > 0}
	var bound *preparedStatement
	for _, m := range messages {
		switch m := m.(type) {
		case *pgproto3.Parse:
			st := newPreparedStatement(m)
			s.preparedStatements[m.Name] = st
			p.addReferenced(st)
			p.needsServer = true
		case *pgproto3.Bind:
			bound = s.preparedStatements[m.PreparedStatement]
			p.addReferenced(bound)
			p.needsServer = true
		case *pgproto3.Describe:
			if m.ObjectType == 'S' {
				p.addReferenced(s.preparedStatements[m.Name])
			}
			p.needsServer = true
		case *pgproto3.Execute:
			p.executes, p.needsServer = true, true
			p.addExecuted(bound)
		case *pgproto3.Close:
			if m.ObjectType == 'S' {
				p.localReplies = append(p.localReplies, &pgproto3.CloseComplete{})
				continue
			}
			p.needsServer = true
		}
	}
	return p
}

// see takes a statement of the batch into account: one that may write makes all of
// it go to the primary, and so do several that begin or end transactions, and a read
// with an end: what follows the end is in another transaction.
func (p *batchPlan) addReferenced(st *preparedStatement) {
	if st == nil {
		return
	}
	p.mayEndTransaction = p.mayEndTransaction || st.kind == kindEnd || isCommitLike(st.sql)
	p.mayAllowWrites = p.mayAllowWrites || mayAllowWrites(st.sql)
	switch st.kind {
	case kindProxySetting:
		p.hasProxySettings = true
	case kindRead:
		p.hasRead = true
		if p.kind == kindEnd {
			p.kind = kindWrite
		}
	case kindEmpty, p.kind:
	default:
		if p.kind == kindRead && !(p.hasRead && st.kind == kindEnd) {
			p.kind = st.kind
			return
		}
		p.kind = kindWrite
	}
}

// run takes a statement into account that executes; nil for one that isn't known.
func (p *batchPlan) addExecuted(st *preparedStatement) {
	if st == nil {
		st = &preparedStatement{}
	}
	p.trackStatement(st.sql)
	p.andChain = p.andChain || st.kind == kindEnd && hasAndChain(st.sql)
	p.modeStatements = append(p.modeStatements, findModeStatements(st.kind, st.sql)...)
}

func (p *batchPlan) trackStatement(sql string) {
	p.tracksSettings = p.tracksSettings || changesSettings(sql)
	if !p.tracksSettings {
		p.statementsBefore++
		return
	}
	if p.statements == nil {
		p.statements = make([]string, p.statementsBefore)
	}
	p.statements = append(p.statements, sql)
}

// answerLocal answers a batch that needs no server.
func (s *Session) answerWithoutServer(p batchPlan) error {
	for _, m := range p.localReplies {
		s.send(m)
	}
	return s.sendReady()
}
