package caller

import (
	"context"
	"regexp"
	"slices"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/savoryramp/savoryramp/internal/upstream"
)

// performFailed answers in a transaction that lost its connection.
func (s *Session) performFailed(ctx context.Context, r *request) error {
	switch {
	case r.kind != kindEnd:
		s.send(&pgproto3.ErrorResponse{
			Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: string(CodeFailed),
			Message: "current transaction is aborted, commands ignored until end of transaction block",
		})
		return s.endRefused(r)
	case r.runs && r.chains:
		return s.chain(ctx, r)
	}
	s.failed = s.failed && !r.runs
	for _, m := range s.answerEnd(r) {
		s.send(m)
	}
	if r.unsynced {
		return s.flush()
	}
	return s.ready()
}

// chain answers the end of a lost transaction that begins another of the same modes.
func (s *Session) chain(ctx context.Context, r *request) error {
	begins := s.begins
	if len(begins) == 0 {
		s.refuse(ErrUnsupported.New("the modes of the lost transaction aren't known; end it without AND CHAIN"))
		return s.endRefused(r)
	}
	k := classify(begins[0])
	if slices.ContainsFunc(begins, widens) {
		k = kindBegin
	}
	s.failed = false
	return s.perform(ctx, &request{kind: k, runs: true, begins: begins, instead: s.answerEnd(r), sends: func(c *upstream.Conn) []step {
		c.UnnamedStatement = ""
		c.Frontend.Send(&pgproto3.Query{String: strings.Join(begins, "; ")})
		return nil
	}})
}

// answerEnd is what a server would answer to the end of a transaction that failed.
func (s *Session) answerEnd(r *request) []pgproto3.BackendMessage {
	rolledBack := &pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")}
	if r.messages == nil {
		return []pgproto3.BackendMessage{rolledBack}
	}
	var list []pgproto3.BackendMessage
	for _, m := range r.messages {
		switch m := m.(type) {
		case *pgproto3.Parse:
			list = append(list, &pgproto3.ParseComplete{})
		case *pgproto3.Bind:
			list = append(list, &pgproto3.BindComplete{})
		case *pgproto3.Describe:
			if m.ObjectType == 'S' {
				list = append(list, &pgproto3.ParameterDescription{})
			}
			list = append(list, &pgproto3.NoData{})
		case *pgproto3.Execute:
			list = append(list, rolledBack)
		case *pgproto3.Close:
			if m.ObjectType == 'S' {
				delete(s.prepared, m.Name)
			}
			list = append(list, &pgproto3.CloseComplete{})
		}
	}
	return list
}

// begun remembers what a transaction was begun with, as its end may chain another.
func (s *Session) begun(x *exchange) {
	switch {
	case x.status == 'I':
		s.begins = nil
	case !x.inTransaction || x.implicit:
		s.begins = x.request.begins
	case x.request.unknownModes:
		s.begins = nil
	case len(s.begins) > 0 && !x.failedBy:
		s.begins = append(slices.Clip(s.begins), x.request.begins...)
	}
}

var (
	comment  = regexp.MustCompile(`(?s)--[^\n]*|/\*.*?\*/`)
	plainEnd = regexp.MustCompile(`(?i)^(commit|end|rollback|abort)(\s+(work|transaction))?(\s+and\s+(no\s+)?chain)?$`)
	chaining = regexp.MustCompile(`(?i)\sand\s+chain$`)
	modal    = regexp.MustCompile(`(?is)^set\s+(local\s+)?transaction(\s|_)`)
)

// bare is a text without comments and what surrounds it.
func bare(sql string) string {
	return strings.Trim(comment.ReplaceAllString(sql, " "), " \t\r\n;")
}

// chains tells whether a plain end ends a transaction and begins the next.
func chains(sql string) bool { return chaining.MatchString(bare(sql)) }

// modes gives a statement that decides the modes of its transaction; none otherwise.
func modes(k kind, sql string) []string {
	switch {
	case k == kindBegin, k == kindBeginReadOnly, starts(sql, "set") && modal.MatchString(bare(sql)) && !several(sql):
		return []string{bare(sql)}
	}
	return nil
}

// hidesModes tells whether a text of several statements may decide modes.
func hidesModes(sql string) bool {
	return several(sql) && strings.Contains(strings.ToLower(sql), "transaction")
}
