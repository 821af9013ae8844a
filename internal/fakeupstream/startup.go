package fakeupstream

import (
	"bytes"
	"maps"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"
)

const (
	authenticationSASL     = pgproto3.AuthTypeSASL
	authenticationContinue = pgproto3.AuthTypeSASLContinue
	scramMechanism         = "SCRAM-SHA-256"
	scramIterations        = 4096
	scramSalt              = "stand-in"
)

// start speaks until the first ReadyForQuery; false if the connection is no session.
func (s *session) start() bool {
	if sleep(s.ctx, s.server.connectDelay()) != nil || !s.thaw() {
		return false
	}
	for {
		m, err := s.backend.ReceiveStartupMessage()
		if err != nil {
			return false
		}
		switch m := m.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := s.conn.Write([]byte("N")); err != nil {
				return false
			}
		case *pgproto3.CancelRequest:
			s.server.interrupt(ConnectionID(m.ProcessID), m.SecretKey)
			return false
		case *pgproto3.StartupMessage:
			return s.welcome(m)
		default:
			return false
		}
	}
}

// interrupt ends the running statement of a connection that has this secret.
func (s *Server) interrupt(id ConnectionID, secret []byte) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	for n := range s.sessions {
		if n.id == id && bytes.Equal(n.secret, secret) && n.interrupt != nil {
			n.interrupt(refuse(stateCanceled, "canceling statement due to user request"))
		}
	}
}

func (s *session) welcome(m *pgproto3.StartupMessage) bool {
	if !s.server.admit(s) {
		s.fatal(stateTooMany, "sorry, too many clients already")
		return false
	}
	if s.server.Password != "" && !s.authenticate() {
		return false
	}
	s.beginAnswer()
	s.backend.Send(&pgproto3.AuthenticationOk{})
	for _, p := range [][2]string{
		{"server_version", "16.0"},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"standard_conforming_strings", "on"},
		{"integer_datetimes", "on"},
		{"DateStyle", "ISO, MDY"},
		{"TimeZone", "UTC"},
		{defaultReadOnly, "off"},
		{serverParameter, string(s.server.Name)},
	} {
		s.settings[p[0]] = p[1]
		s.backend.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	s.tellAnswer()
	s.reported = s.settings[defaultReadOnly]
	for name, value := range m.Parameters {
		s.settings[name] = value
	}
	s.defaults = maps.Clone(s.settings)
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: uint32(s.id), SecretKey: s.secret})
	return s.ready()
}

// admit counts a session unless the limit is reached.
func (s *Server) admit(n *session) bool {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	n.admitted = s.open() < s.Connections
	s.most = max(s.most, s.open())
	return n.admitted
}

// open counts the admitted sessions; group.mu is held.
func (s *Server) open() int {
	admitted := 0
	for n := range s.sessions {
		if n.admitted {
			admitted++
		}
	}
	return admitted
}

func (s *session) fatal(code SQLState, message string) {
	s.backend.Send(&pgproto3.ErrorResponse{
		Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: string(code), Message: message,
	})
	_ = s.flush()
}

func (s *session) authenticate() bool {
	if err := s.prove(); err != nil {
		s.fatal(statePassword, "password authentication failed")
		return false
	}
	return true
}

// prove makes the client show that it knows the password.
func (s *session) prove() error {
	client, err := scram.SHA256.NewClient("", s.server.Password, "")
	if err != nil {
		return ErrState.Wrap(err, "password")
	}
	stored := client.GetStoredCredentials(scram.KeyFactors{Salt: scramSalt, Iters: scramIterations})
	verifier, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return stored, nil })
	if err != nil {
		return ErrState.Wrap(err, "password")
	}
	talk := verifier.NewConversation()
	s.backend.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramMechanism}})
	for auth := uint32(authenticationSASL); ; auth = authenticationContinue {
		if err := s.backend.SetAuthType(auth); err != nil {
			return ErrState.Wrap(err, "authentication")
		}
		if err := s.flush(); err != nil {
			return err
		}
		m, err := s.backend.Receive()
		if err != nil {
			return ErrEnded.Wrap(err, "authentication")
		}
		var said []byte
		switch m := m.(type) {
		case *pgproto3.SASLInitialResponse:
			said = m.Data
		case *pgproto3.SASLResponse:
			said = m.Data
		}
		answer, err := talk.Step(string(said))
		if err != nil {
			return ErrState.Wrap(err, "authentication")
		}
		if talk.Done() {
			s.backend.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(answer)})
			return nil
		}
		s.backend.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(answer)})
	}
}
