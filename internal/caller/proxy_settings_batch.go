package caller

import (
	"github.com/jackc/pgx/v5/pgproto3"
)

// answerProxySettingBatch answers a batch whose statements read or change savoryramp
// settings.
func (s *Session) answerProxySettingBatch(messages []pgproto3.FrontendMessage, sync bool) error {
	var bound *preparedStatement
	for _, m := range messages {
		if err := s.answerProxySettingMessage(m, &bound); err != nil {
			s.refuse(err)
			break
		}
	}
	if !sync {
		return s.flush()
	}
	return s.sendReady()
}

func (s *Session) answerProxySettingMessage(m pgproto3.FrontendMessage, bound **preparedStatement) error {
	switch m := m.(type) {
	case *pgproto3.Parse:
		s.send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		*bound = s.preparedStatements[m.PreparedStatement]
		s.send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		return s.describeProxySetting(m, *bound)
	case *pgproto3.Execute:
		return s.executeProxySetting(*bound)
	case *pgproto3.Close:
		s.send(&pgproto3.CloseComplete{})
	}
	return nil
}

func (s *Session) describeProxySetting(m *pgproto3.Describe, bound *preparedStatement) error {
	if m.ObjectType == 'S' {
		bound = s.preparedStatements[m.Name]
		s.send(&pgproto3.ParameterDescription{})
	}
	if bound == nil {
		return ErrProtocol.New("the statement to describe doesn't exist")
	}
	if name, _, tag, err := s.runProxySetting(bound.sql); err == nil && tag == "SHOW" {
		s.send(showRowDescription(name))
		return nil
	}
	s.send(&pgproto3.NoData{})
	return nil
}

func (s *Session) executeProxySetting(bound *preparedStatement) error {
	if bound == nil || bound.kind != kindProxySetting {
		return ErrUnsupported.New("savoryramp settings can't be mixed with other statements in one batch")
	}
	_, value, tag, err := s.runProxySetting(bound.sql)
	if err != nil {
		return err
	}
	if tag == "SHOW" {
		s.send(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
	}
	s.send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	return nil
}
