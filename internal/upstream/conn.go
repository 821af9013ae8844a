package upstream

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"github.com/savoryramp/savoryramp/internal/platform"
	"github.com/savoryramp/savoryramp/pkg/position"
)

const (
	positionParameter = "savoryramp.position"
	// readOnlyParameter decides what transactions begin as; servers report its changes.
	readOnlyParameter = "default_transaction_read_only"
	switchedOn        = "on"
	scramMechanism    = "SCRAM-SHA-256"
	// idleProbeAfter is how long a connection may idle before it is probed.
	idleProbeAfter = 5 * time.Second
	// maxPrepared bounds the statements kept prepared on one connection.
	maxPrepared = 256
	// deadlineStep is how much later than the present deadline a new one must be to be
	// set: setting it costs more than reading a row.
	deadlineStep = 10 * time.Millisecond
)

// Login is what savoryramp itself logs in to servers with.
type Login struct {
	User     string
	Database string
	Password string
}

// Dial opens a network connection, as net.Dialer.DialContext.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Conn is one connection to a server. One task uses it at a time.
type Conn struct {
	Server platform.ServerName
	// Front speaks the frontend's side of the protocol.
	Front *pgproto3.Frontend
	// Role is what the connection was taken for. Transactions on a replica's begin
	// read only, also once it is promoted, unless ReadsOnly tells otherwise.
	Role Role
	// Position is the last one that the server reported on this connection.
	Position position.Position
	// Prepared holds the names of statements that stand on the server.
	Prepared map[string]bool
	// Unnamed is the key of the statement that stands under the empty name.
	Unnamed string
	// Dirty connections carry a caller's settings and are closed when released.
	Dirty bool

	// readOnly connections were opened for a replica.
	readOnly bool
	// silent is set once the server left a deadline pass.
	silent bool
	// doubtful connections may yet be hit by a cancel request and aren't reused.
	doubtful atomic.Bool
	net      net.Conn
	pool     *Pool
	// aborted connections receive nothing more.
	aborted atomic.Bool
	// workspace is the one that used the connection last.
	workspace platform.WorkspaceName
	// deadline is that of reads, as Receive set it last.
	deadline   time.Time
	pid        uint32
	secret     []byte
	idleSince  time.Time
	takenAt    time.Time
	parameters map[string]string
}

// open connects and logs in; what a read-only connection begins is read only.
func open(ctx context.Context, dial Dial, s platform.Server, l Login, readOnly bool) (*Conn, error) {
	nc, err := dial(ctx, "tcp", string(s.Address))
	if err != nil {
		return nil, ErrConnect.Wrap(err, "server %s at %s", s.Name, s.Address)
	}
	c := &Conn{
		Server: s.Name, Front: pgproto3.NewFrontend(nc, nc), net: nc,
		readOnly: readOnly, Prepared: map[string]bool{}, parameters: map[string]string{},
	}
	if deadline, found := ctx.Deadline(); found {
		_ = nc.SetDeadline(deadline)
	}
	stop := context.AfterFunc(ctx, func() { _ = nc.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := c.login(l); err != nil {
		nc.Close()
		return nil, ErrConnect.Wrap(err, "login at server %s", s.Name)
	}
	_ = nc.SetDeadline(time.Time{})
	return c, nil
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

// parameter takes note of a ParameterStatus.
func (c *Conn) parameter(m *pgproto3.ParameterStatus) error {
	if m.Name != positionParameter {
		c.parameters[m.Name] = m.Value
		return nil
	}
	p, err := position.Parse(m.Value)
	if err != nil {
		return ErrBroken.Wrap(err, "server %s", c.Server)
	}
	c.Position = p
	return nil
}

// ReadsOnly tells whether the server says that transactions begin read only here.
func (c *Conn) ReadsOnly() bool { return c.parameters[readOnlyParameter] == switchedOn }

// Receive reads the next message, at the latest at deadline (zero: none), which may
// come a deadlineStep early.
// ParameterStatus messages are noted in the connection and returned as well.
// ErrSilent when the deadline passed, ErrBroken when the connection ended.
func (c *Conn) Receive(deadline time.Time) (pgproto3.BackendMessage, error) {
	if err := c.readUntil(deadline); err != nil {
		return nil, err
	}
	// Looked at after the deadline was set, so that an Abort before that isn't lost.
	if c.aborted.Load() {
		return nil, ErrBroken.New("server %s: the wait for its answer was ended", c.Server)
	}
	m, err := c.Front.Receive()
	if err != nil {
		return nil, c.broken(err)
	}
	if p, found := m.(*pgproto3.ParameterStatus); found {
		return m, c.parameter(p)
	}
	return m, nil
}

func (c *Conn) readUntil(deadline time.Time) error {
	if later := deadline.Sub(c.deadline); later >= 0 && later < deadlineStep {
		return nil
	}
	c.deadline = deadline
	if err := c.net.SetReadDeadline(deadline); err != nil {
		return ErrBroken.Wrap(err, "server %s", c.Server)
	}
	return nil
}

func (c *Conn) broken(err error) error {
	if timeout, found := err.(net.Error); found && timeout.Timeout() && !c.aborted.Load() {
		c.silent = true
		return ErrSilent.New("server %s gave no answer within the deadline", c.Server)
	}
	return ErrBroken.Wrap(err, "server %s", c.Server)
}

// Flush sends what was given to Front.Send.
func (c *Conn) Flush() error {
	if err := c.Front.Flush(); err != nil {
		return ErrBroken.Wrap(err, "server %s", c.Server)
	}
	return nil
}

// Ask runs one statement and gives the first column of its first row.
func (c *Conn) Ask(sql string, deadline time.Time) (string, error) {
	c.Front.Send(&pgproto3.Query{String: sql})
	if err := c.Flush(); err != nil {
		return "", err
	}
	var value string
	var failure error
	for {
		m, err := c.Receive(deadline)
		if err != nil {
			return "", err
		}
		switch m := m.(type) {
		case *pgproto3.DataRow:
			if len(m.Values) > 0 {
				value = string(m.Values[0])
			}
		case *pgproto3.ErrorResponse:
			failure = ErrServer.New("%s: %s", m.Code, m.Message)
		case *pgproto3.ReadyForQuery:
			return value, failure
		}
	}
}

// Cancel asks the server to interrupt what runs on the connection.
func (c *Conn) Cancel(ctx context.Context) {
	nc, err := c.pool.Dial(ctx, "tcp", string(c.pool.Server.Address))
	if err != nil {
		return
	}
	defer nc.Close()
	front := pgproto3.NewFrontend(nc, nc)
	front.Send(&pgproto3.CancelRequest{ProcessID: c.pid, SecretKey: c.secret})
	_ = front.Flush()
}

// Doubt keeps the connection from being used by another transaction. It must be
// called before a cancel request is sent, while the one it is meant for still runs.
func (c *Conn) Doubt() { c.doubtful.Store(true) }

// Release gives the connection back. Only one that answered ReadyForQuery idle and
// nothing after it may be kept; any doubt closes it, so that a late answer has no
// reader to reach.
func (c *Conn) Release(keep bool) {
	if len(c.Prepared) > maxPrepared {
		keep = false
	}
	c.pool.release(c, keep && !c.Dirty && !c.doubtful.Load())
}

// Abort breaks the connection from another task, so that its user stops waiting.
func (c *Conn) Abort() {
	c.aborted.Store(true)
	_ = c.net.SetDeadline(time.Unix(1, 0))
}

func (c *Conn) close() { _ = c.net.Close() }

// enter makes a kept connection ready for a workspace: another's prepared statements,
// settings and whatever else the server keeps for a connection are discarded.
func (c *Conn) enter(w platform.WorkspaceName, within time.Duration) bool {
	if c.workspace == w {
		return true
	}
	if _, err := c.Ask("DISCARD ALL", time.Now().Add(within)); err != nil {
		return false
	}
	c.workspace, c.Prepared, c.Unnamed = w, map[string]bool{}, ""
	return true
}

// alive probes a connection that has idled.
func (c *Conn) alive(within time.Duration) bool {
	if time.Since(c.idleSince) < idleProbeAfter {
		return true
	}
	_, err := c.Ask("SELECT savoryramp_status()", time.Now().Add(within))
	return err == nil
}
