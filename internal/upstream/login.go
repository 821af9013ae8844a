package upstream

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"
)

const scramMechanism = "SCRAM-SHA-256"

// Login is what savoryramp itself logs in to servers with.
type Login struct {
	User     string
	Database string
	Password string
}

func (c *Conn) login(l Login) error {
	start := map[string]string{"user": l.User, "database": l.Database, "application_name": "savoryramp"}
	if c.readOnly {
		start[readOnlyParameter] = switchedOn
	}
	c.Front.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: start})
	if err := c.Front.Flush(); err != nil {
		return ErrBroken.Wrap(err, "start-up")
	}
	var conversation *scram.ClientConversation
	for {
		m, err := c.Front.Receive()
		if err != nil {
			return ErrBroken.Wrap(err, "start-up")
		}
		switch m := m.(type) {
		case *pgproto3.AuthenticationCleartextPassword:
			c.Front.Send(&pgproto3.PasswordMessage{Password: l.Password})
			err = c.Front.Flush()
		case *pgproto3.AuthenticationSASL:
			conversation, err = c.beginScram(l)
		case *pgproto3.AuthenticationSASLContinue:
			err = c.stepScram(conversation, string(m.Data))
		case *pgproto3.AuthenticationSASLFinal:
			_, err = conversation.Step(string(m.Data))
		case *pgproto3.ParameterStatus:
			err = c.parameter(m)
		case *pgproto3.BackendKeyData:
			c.pid, c.secret = m.ProcessID, append([]byte(nil), m.SecretKey...)
		case *pgproto3.ErrorResponse:
			return ErrServer.New("%s: %s", m.Code, m.Message)
		case *pgproto3.ReadyForQuery:
			return nil
		}
		if err != nil {
			return ErrBroken.Wrap(err, "start-up")
		}
	}
}

func (c *Conn) beginScram(l Login) (*scram.ClientConversation, error) {
	client, err := scram.SHA256.NewClient(l.User, l.Password, "")
	if err != nil {
		return nil, ErrBroken.Wrap(err, "credentials")
	}
	conversation := client.NewConversation()
	first, err := conversation.Step("")
	if err != nil {
		return nil, ErrBroken.Wrap(err, "credentials")
	}
	c.Front.Send(&pgproto3.SASLInitialResponse{AuthMechanism: scramMechanism, Data: []byte(first)})
	return conversation, c.Front.Flush()
}

func (c *Conn) stepScram(conversation *scram.ClientConversation, challenge string) error {
	if conversation == nil {
		return ErrBroken.New("challenge without a beginning")
	}
	answer, err := conversation.Step(challenge)
	if err != nil {
		return ErrBroken.Wrap(err, "challenge")
	}
	c.Front.Send(&pgproto3.SASLResponse{Data: []byte(answer)})
	return c.Front.Flush()
}
