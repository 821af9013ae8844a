package caller

import (
	"context"
	"regexp"
	"slices"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/savoryramp/savoryramp/internal/upstream"
)

// runInLostTransaction answers a request in a transaction whose server connection was
// lost, like a server does in a failed transaction.
func (s *Session) runInLostTransaction(ctx context.Context, r *request) error {
	switch {
	case r.kind != kindEnd:
		s.send(&pgproto3.ErrorResponse{
			Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: string(CodeInFailedTransaction),
			Message: "current transaction is aborted, commands ignored until end of transaction block",
		})
		return s.finishRefused(r)
	case r.executes && r.andChain:
		return s.chainTransaction(ctx, r)
	}
	s.transactionLost = s.transactionLost && !r.executes
	for _, m := range s.endReplies(r) {
		s.send(m)
	}
	if r.endsWithFlush {
		return s.flush()
	}
	return s.sendReady()
}

// chainTransaction answers COMMIT or ROLLBACK AND CHAIN in a lost transaction by
// beginning a new one with the same modes.
func (s *Session) chainTransaction(ctx context.Context, r *request) error {
	modeStatements := s.modeStatements
	if len(modeStatements) == 0 {
		s.refuse(ErrUnsupported.New("the modes of the lost transaction are unknown; end it without AND CHAIN"))
		return s.finishRefused(r)
	}
	k := classify(modeStatements[0])
	if slices.ContainsFunc(modeStatements, mayAllowWrites) {
		k = kindBegin
	}
	s.transactionLost = false
	return s.runRequest(ctx, &request{kind: k, executes: true, modeStatements: modeStatements, replacementAnswer: s.endReplies(r), send: func(c *upstream.Conn) []step {
		c.UnnamedStatement = ""
		c.Send(&pgproto3.Query{String: strings.Join(modeStatements, "; ")})
		return nil
	}})
}

// endReplies returns what a server replies to the end of a failed transaction.
func (s *Session) endReplies(r *request) []pgproto3.BackendMessage {
	rolledBack := &pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")}
	if r.messages == nil {
		return []pgproto3.BackendMessage{rolledBack}
	}
	var replies []pgproto3.BackendMessage
	for _, m := range r.messages {
		switch m := m.(type) {
		case *pgproto3.Parse:
			replies = append(replies, &pgproto3.ParseComplete{})
		case *pgproto3.Bind:
			replies = append(replies, &pgproto3.BindComplete{})
		case *pgproto3.Describe:
			if m.ObjectType == 'S' {
				replies = append(replies, &pgproto3.ParameterDescription{})
			}
			replies = append(replies, &pgproto3.NoData{})
		case *pgproto3.Execute:
			replies = append(replies, rolledBack)
		case *pgproto3.Close:
			if m.ObjectType == 'S' {
				delete(s.preparedStatements, m.Name)
			}
			replies = append(replies, &pgproto3.CloseComplete{})
		}
	}
	return replies
}

// recordModes records the statements that set the modes of the current transaction, for
// a later AND CHAIN.
func (s *Session) recordModes(x *attempt) {
	switch {
	case x.txStatus == 'I':
		s.modeStatements = nil
	case !x.inTransaction || x.implicitTransaction:
		s.modeStatements = x.request.modeStatements
	case x.request.unknownModes:
		s.modeStatements = nil
	case len(s.modeStatements) > 0 && !x.hasServerError:
		s.modeStatements = append(slices.Clip(s.modeStatements), x.request.modeStatements...)
	}
}

var (
	commentPattern        = regexp.MustCompile(`(?s)--[^\n]*|/\*.*?\*/`)
	endPattern            = regexp.MustCompile(`(?i)^(commit|end|rollback|abort)(\s+(work|transaction))?(\s+and\s+(no\s+)?chain)?$`)
	chainPattern          = regexp.MustCompile(`(?i)\sand\s+chain$`)
	setTransactionPattern = regexp.MustCompile(`(?is)^set\s+(local\s+)?transaction(\s|_)`)
)

// stripComments removes comments, and surrounding white space and semicolons.
func stripComments(sql string) string {
	return strings.Trim(commentPattern.ReplaceAllString(sql, " "), " \t\r\n;")
}

// hasAndChain reports whether a COMMIT or ROLLBACK has AND CHAIN.
func hasAndChain(sql string) bool { return chainPattern.MatchString(stripComments(sql)) }

// findModeStatements returns the statement if it sets the modes of its transaction.
func findModeStatements(k statementKind, sql string) []string {
	switch {
	case k == kindBegin, k == kindBeginReadOnly, startsWith(sql, "set") && setTransactionPattern.MatchString(stripComments(sql)) && !hasSeveralStatements(sql):
		return []string{stripComments(sql)}
	}
	return nil
}

// mayHideModes reports whether one of several statements in a text may set transaction
// modes.
func mayHideModes(sql string) bool {
	return hasSeveralStatements(sql) && strings.Contains(strings.ToLower(sql), "transaction")
}
