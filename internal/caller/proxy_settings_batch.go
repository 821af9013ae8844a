package caller

import (
	"github.com/jackc/pgx/v5/pgproto3"
)

// answerProxySettingBatch answers a batch whose statements read or change savoryramp
// settings.
func (s *Session) answerProxySettingBatch(messages []pgproto3.FrontendMessage, sync bool) error {
	var boundStatement *preparedStatement
	for _, m := range messages {
		if err := s.answerProxySettingMessage(m, &boundStatement); err != nil {
			s.refuse(err)
			break
		}
	}
	if !sync {
		return s.flush()
	}
	return s.sendReady()
}

func (s *Session) answerProxySettingMessage(m pgproto3.FrontendMessage, boundStatement **preparedStatement) error {
	switch m := m.(type) {
	case *pgproto3.Parse:
		s.send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		*boundStatement = s.preparedStatements[m.PreparedStatement]
		s.send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		return s.describeProxySetting(m, *boundStatement)
	case *pgproto3.Execute:
		return s.executeProxySetting(*boundStatement)
	case *pgproto3.Close:
		s.send(&pgproto3.CloseComplete{})
	}
	return nil
}

func (s *Session) describeProxySetting(m *pgproto3.Describe, statement *preparedStatement) error {
	if m.ObjectType == 'S' {
		statement = s.preparedStatements[m.Name]
		s.send(&pgproto3.ParameterDescription{})
	}
	if statement == nil {
		return ErrProtocol.New("the statement to describe doesn't exist")
	}
	if name, _, tag, err := s.runProxySetting(statement.sql); err == nil && tag == "SHOW" {
		s.send(showRowDescription(name))
		return nil
	}
	s.send(&pgproto3.NoData{})
	return nil
}

func (s *Session) executeProxySetting(statement *preparedStatement) error {
	if statement == nil || statement.kind != kindProxySetting {
		return ErrUnsupported.New("savoryramp settings can't be mixed with other statements in one batch")
	}
	_, value, tag, err := s.runProxySetting(statement.sql)
	if err != nil {
		return err
	}
	if tag == "SHOW" {
		s.send(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
	}
	s.send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	return nil
}
