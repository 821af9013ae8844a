package upstream

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"github.com/savoryramp/savoryramp/internal/platform"
)

const scramMechanism = "SCRAM-SHA-256"

// Login holds the credentials with which savoryramp logs in to servers.
type Login struct {
	User     string
	Database string
	Password string
}

// openConn connects and logs in; transactions on a readOnly connection begin read only.
func openConn(ctx context.Context, dial Dial, s platform.Server, login Login, readOnly bool, monitor *answerMonitor) (*Conn, error) {
	netConn, err := dial(ctx, "tcp", string(s.Address))
	if err != nil {
		return nil, ErrConnect.Wrap(err, "server %s at %s", s.Name, s.Address)
	}
	c := &Conn{
		Server: s.Name, frontend: pgproto3.NewFrontend(netConn, netConn), netConn: netConn,
		readOnly: readOnly, monitor: monitor, PreparedStatements: map[string]bool{}, parameters: map[string]string{},
	}
	if deadline, found := ctx.Deadline(); found {
		_ = netConn.SetDeadline(deadline)
	}
	stop := context.AfterFunc(ctx, func() { _ = netConn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := c.login(login); err != nil {
		netConn.Close()
		return nil, ErrConnect.Wrap(err, "log in to server %s", s.Name)
	}
	_ = netConn.SetDeadline(time.Time{})
	if !c.numbered {
		monitor.reportUnnumbered(s.Name)
	}
	return c, nil
}

func (c *Conn) login(credentials Login) error {
	parameters := map[string]string{"user": credentials.User, "database": credentials.Database, "application_name": "savoryramp"}
	if c.readOnly {
		parameters[readOnlyParameter] = parameterOn
	}
	c.frontend.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: parameters})
	if err := c.frontend.Flush(); err != nil {
		return ErrBroken.Wrap(err, "start-up")
	}
	var conversation *scram.ClientConversation
	for {
		m, err := c.frontend.Receive()
		if err != nil {
			return ErrBroken.Wrap(err, "start-up")
		}
		switch m := m.(type) {
		case *pgproto3.AuthenticationCleartextPassword:
			c.frontend.Send(&pgproto3.PasswordMessage{Password: credentials.Password})
			err = c.frontend.Flush()
		case *pgproto3.AuthenticationSASL:
			conversation, err = c.startSCRAM(credentials)
		case *pgproto3.AuthenticationSASLContinue:
			err = c.continueSCRAM(conversation, string(m.Data))
		case *pgproto3.AuthenticationSASLFinal:
			err = c.finishSCRAM(conversation, string(m.Data))
		case *pgproto3.ParameterStatus:
			err = c.handleStartupParameter(m)
		case *pgproto3.BackendKeyData:
			c.backendPID, c.cancelKey = m.ProcessID, append([]byte(nil), m.SecretKey...)
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

// handleStartupParameter stores a parameter, or that the server numbers its answers.
func (c *Conn) handleStartupParameter(m *pgproto3.ParameterStatus) error {
	if m.Name != answerParameter {
		return c.handleParameterStatus(m)
	}
	if m.Value != startupAnswer {
		return ErrBroken.New("server %s numbers the answer at the start-up %s", c.Server, m.Value)
	}
	c.numbered = true
	return nil
}

func (c *Conn) startSCRAM(l Login) (*scram.ClientConversation, error) {
	client, err := scram.SHA256.NewClient(l.User, l.Password, "")
	if err != nil {
		return nil, ErrBroken.Wrap(err, "credentials")
	}
	conversation := client.NewConversation()
	initialMessage, err := conversation.Step("")
	if err != nil {
		return nil, ErrBroken.Wrap(err, "credentials")
	}
	c.frontend.Send(&pgproto3.SASLInitialResponse{AuthMechanism: scramMechanism, Data: []byte(initialMessage)})
	return conversation, c.frontend.Flush()
}

func (c *Conn) continueSCRAM(conversation *scram.ClientConversation, challenge string) error {
	if conversation == nil {
		return ErrBroken.New("SCRAM challenge before the start of the SCRAM exchange")
	}
	answer, err := conversation.Step(challenge)
	if err != nil {
		return ErrBroken.Wrap(err, "challenge")
	}
	c.frontend.Send(&pgproto3.SASLResponse{Data: []byte(answer)})
	return c.frontend.Flush()
}

func (c *Conn) finishSCRAM(conversation *scram.ClientConversation, finalMessage string) error {
	if conversation == nil {
		return ErrBroken.New("SCRAM final message before the start of the SCRAM exchange")
	}
	_, err := conversation.Step(finalMessage)
	return err
}
