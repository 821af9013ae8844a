package caller

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/savoryramp/savoryramp/internal/upstream"
)

// maxPendingMessages limits the messages that are queued before a Sync or Flush.
const maxPendingMessages = 10_000

// queueMessage keeps a message until the next Sync or Flush.
func (s *Session) queueMessage(m pgproto3.FrontendMessage) error {
	if s.skippingToSync {
		return nil
	}
	if len(s.pendingMessages) >= maxPendingMessages {
		return ErrProtocol.New("more than %d messages before a Sync", maxPendingMessages)
	}
	if err := s.keep(m); err != nil {
		return err
	}
	s.pendingMessages = append(s.pendingMessages, cloneMessage(m))
	return nil
}

// runExtended runs the queued messages at a Sync or Flush.
func (s *Session) runExtended(ctx context.Context, sync bool) error {
	messages := s.pendingMessages
	s.pendingMessages = nil
	defer s.releasePending()
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
		// Messages between this Flush and the Sync belong to the same transaction and
		// may write.
		p.kind = kindWrite
	}
	s.mergeFlushed(&p, sync)
	mayEndEarlierTransaction := sync && (s.implicitTransaction || p.mayEndTransaction)
	return s.runRequest(ctx, &request{
		kind: p.kind, executes: p.executes, mayEndEarlierTransaction: mayEndEarlierTransaction, mayAllowWrites: p.mayAllowWrites, andChain: p.andChain, modeStatements: p.modeStatements,
		endsWithFlush: !sync, statements: p.statements, messages: messages,
		send: func(c *upstream.Conn) []step { return s.sendBatch(c, messages, sync) },
	})
}

// mergeFlushed records the kind of the statements executed before a Flush and applies
// it to the request with the Sync, which commits them.
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

// batchPlan describes how to run a batch of extended-protocol messages.
type batchPlan struct {
	kind statementKind
	// mayEndTransaction is set if a statement may end a transaction.
	mayEndTransaction bool
	// hasRead is set if one of the statements is classified as a read.
	hasRead bool
	// mayAllowWrites is set if a statement may switch a read-only transaction to
	// read-write.
	mayAllowWrites bool
	// andChain is set if a statement ends a transaction with AND CHAIN.
	andChain bool
	// modeStatements are the statements that set transaction modes.
	modeStatements []string
	// tracksSettings is set if changes of settings must be recorded from here on.
	tracksSettings bool
	// statementsBefore counts the executed statements before tracking starts;
	// statements lists all executed ones, with empty texts for those before.
	statementsBefore int
	statements       []string
	// executes is set if the batch contains an Execute.
	executes bool
	// needsServer is false if the proxy can answer all messages itself.
	needsServer bool
	// hasProxySettings is set if a statement reads or changes a savoryramp setting.
	hasProxySettings bool
	localReplies     []pgproto3.BackendMessage
}

// planBatch inspects the messages of a batch and records the statements that it
// prepares.
func (s *Session) planBatch(messages []pgproto3.FrontendMessage) batchPlan {
	p := batchPlan{kind: kindRead, tracksSettings: len(s.uncommittedSettings) > 0}
	var boundStatement *preparedStatement
	for _, m := range messages {
		switch m := m.(type) {
		case *pgproto3.Parse:
			st := newPreparedStatement(m)
			s.preparedStatements[m.Name] = st
			p.addReferenced(st)
			p.needsServer = true
		case *pgproto3.Bind:
			boundStatement = s.preparedStatements[m.PreparedStatement]
			p.addReferenced(boundStatement)
			p.needsServer = true
		case *pgproto3.Describe:
			if m.ObjectType == 'S' {
				p.addReferenced(s.preparedStatements[m.Name])
			}
			p.needsServer = true
		case *pgproto3.Execute:
			p.executes, p.needsServer = true, true
			p.addExecuted(boundStatement)
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

// addReferenced adds the statement that a Parse, Bind or Describe message names; st is
// nil if the session doesn't know it. The batch counts as a write, and goes to the
// primary, if a statement may write, if it has transaction statements of different
// kinds, or if it has both a read and the end of a transaction: statements after that
// end run in another transaction.
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

// addExecuted adds a statement that is executed; st is nil if the session doesn't know
// it.
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

// answerWithoutServer answers a batch that needs no server.
func (s *Session) answerWithoutServer(p batchPlan) error {
	for _, m := range p.localReplies {
		s.send(m)
	}
	return s.sendReady()
}
