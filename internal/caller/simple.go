package caller

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/savoryramp/savoryramp/internal/upstream"
)

// runSimple answers a Query message.
func (s *Session) runSimple(ctx context.Context, sql string) error {
	k := classify(sql)
	switch k {
	case kindProxySetting:
		return s.answerProxySetting(sql)
	case kindEmpty:
		s.send(&pgproto3.EmptyQueryResponse{})
		return s.sendReady()
	}
	r := &request{
		kind: k, executes: true, mayEndEarlierTransaction: k == kindEnd || hasSeveralStatements(sql) || isCommitLike(sql), mayAllowWrites: mayAllowWrites(sql),
		andChain: k == kindEnd && hasAndChain(sql), modeStatements: findModeStatements(k, sql), unknownModes: mayHideModes(sql),
	}
	if hasSeveralStatements(sql) || changesSettings(sql) || len(s.uncommittedSettings) > 0 {
		r.statements = splitStatements(sql)
	}
	r.send = func(c *upstream.Conn) []step {
		c.UnnamedStatement = ""
		c.Dirty = c.Dirty || mayLeaveState(sql)
		c.Send(&pgproto3.Query{String: sql})
		return nil
	}
	return s.runRequest(ctx, r)
}

// answerProxySetting answers a simple statement that reads or changes a savoryramp
// setting.
func (s *Session) answerProxySetting(sql string) error {
	name, value, tag, err := s.runProxySetting(sql)
	if err != nil {
		s.refuse(err)
		return s.sendReady()
	}
	if tag == "SHOW" {
		s.send(showRowDescription(name))
		s.send(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
	}
	s.send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	return s.sendReady()
}

const (
	textOID      = 25
	variableSize = -1
)

func showRowDescription(name string) *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{
		{Name: []byte(name), DataTypeOID: textOID, DataTypeSize: variableSize, TypeModifier: variableSize},
	}}
}
