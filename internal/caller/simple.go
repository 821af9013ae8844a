package caller

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/savoryramp/savoryramp/internal/upstream"
)

// simple answers a Query message.
func (s *Session) simple(ctx context.Context, sql string) error {
	k := classify(sql)
	switch k {
	case kindOwn:
		return s.answerOwn(sql)
	case kindEmpty:
		s.send(&pgproto3.EmptyQueryResponse{})
		return s.ready()
	}
	r := &request{
		kind: k, runs: true, mayCommit: k == kindEnd || several(sql) || mayEnd(sql), widens: widens(sql),
		chains: k == kindEnd && chains(sql), begins: modes(k, sql), unknownModes: hidesModes(sql),
	}
	if several(sql) || changesSettings(sql) || len(s.changes) > 0 {
		r.statements = statements(sql)
	}
	r.sends = func(c *upstream.Conn) []step {
		c.UnnamedStatement = ""
		c.Dirty = c.Dirty || leavesState(sql)
		c.Frontend.Send(&pgproto3.Query{String: sql})
		return nil
	}
	return s.perform(ctx, r)
}

// answerOwn runs a simple statement on savoryramp's own settings.
func (s *Session) answerOwn(sql string) error {
	name, value, tag, err := s.own(sql)
	if err != nil {
		s.refuse(err)
		return s.ready()
	}
	if tag == "SHOW" {
		s.send(showDescription(name))
		s.send(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
	}
	s.send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	return s.ready()
}

const (
	textOID = 25
	anySize = -1
)

func showDescription(name string) *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{
		{Name: []byte(name), DataTypeOID: textOID, DataTypeSize: anySize, TypeModifier: anySize},
	}}
}
