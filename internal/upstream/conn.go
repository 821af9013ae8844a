package upstream

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/savoryramp/savoryramp/internal/platform"
	"github.com/savoryramp/savoryramp/internal/socket"
	"github.com/savoryramp/savoryramp/pkg/position"
)

const (
	positionParameter = "savoryramp.position"
	// readOnlyParameter decides whether transactions begin read only; servers report
	// its changes.
	readOnlyParameter = "default_transaction_read_only"
	parameterOn       = "on"
	// idleProbeDelay is how long a connection may be idle before it is probed on reuse.
	idleProbeDelay = 5 * time.Second
	// maxPreparedStatements bounds the prepared statements of a connection that is
	// reused.
	maxPreparedStatements = 256
	// deadlineGranularity is how much later than the present deadline a new one must be
	// to replace it: setting a deadline costs more than reading a row.
	deadlineGranularity = 10 * time.Millisecond
)

// Dial opens a network connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Conn is one connection to a server. It must be used by one goroutine at a time.
type Conn struct {
	Server platform.ServerName
	// Role is the role for which the connection was acquired. Transactions on a
	// replica's connection begin read only, even after the replica is promoted, unless
	// DefaultsToReadOnly is false.
	Role Role
	// Position is the last position that the server reported on this connection.
	Position position.Position
	// PreparedStatements holds the names of the statements that are prepared on the
	// server.
	PreparedStatements map[string]bool
	// UnnamedStatement is the key of the statement that is prepared on the server under
	// the empty name.
	UnnamedStatement string
	// Dirty connections carry a caller's settings and are closed when released.
	Dirty bool

	// frontend implements the client side of the PostgreSQL protocol.
	frontend *pgproto3.Frontend
	cycles   cycles
	// numbered is set if the server numbers its answers; it doesn't change after the
	// login.
	numbered bool
	// answered is the number of the newest cycle whose answer began, or ended if answers
	// aren't numbered.
	answered int64
	// inAnswer is true from the number of an answer to its ReadyForQuery, skipping while
	// a repeated answer is skipped; never both.
	inAnswer, skipping bool
	skippedNumber      int64
	// monitor may be nil.
	monitor *answerMonitor
	// readOnly connections were opened for a replica.
	readOnly bool
	// timedOut is set once the server did not answer within a deadline.
	timedOut atomic.Bool
	// notReusable connections may still be hit by a cancel request that is on its way.
	notReusable atomic.Bool
	netConn     net.Conn
	pool        *Pool
	// aborted connections receive no more messages.
	aborted atomic.Bool
	// workspace is the workspace that used the connection last.
	workspace platform.WorkspaceName
	// deadline is the read deadline that is set on netConn.
	deadline   time.Time
	backendPID uint32
	cancelKey  []byte
	idleSince  time.Time
	acquiredAt time.Time
	// timed is true while the connection is acquired from a pool with an adaptive
	// limit: response times are measured and idle phases are counted.
	timed bool
	// timer is nil while no response is timed, idlePhase while a statement runs or no
	// idle phases are counted.
	timer      *responseTimer
	idlePhase  *idlePhase
	parameters map[string]string
}

// handleParameterStatus stores a reported parameter or position.
func (c *Conn) handleParameterStatus(m *pgproto3.ParameterStatus) error {
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

// DefaultsToReadOnly reports whether transactions on this connection begin read only,
// as the server last reported it.
func (c *Conn) DefaultsToReadOnly() bool { return c.parameters[readOnlyParameter] == parameterOn }

// Receive reads the next message, until deadline (zero: no deadline); it may time out
// up to deadlineGranularity early. Answers that the server repeats are skipped. ParameterStatus messages are both stored in the
// connection and returned. It returns ErrSilent when the deadline passed and ErrBroken
// when the connection ended or a message can't be shown to belong to what was sent.
func (c *Conn) Receive(deadline time.Time) (pgproto3.BackendMessage, error) {
	c.endIdlePhase()
	if err := c.setReadDeadline(deadline); err != nil {
		return nil, err
	}
	// Checked after the deadline was set, so that an Abort before that isn't lost.
	if c.aborted.Load() {
		return nil, ErrBroken.New("server %s: the connection was aborted", c.Server)
	}
	m, err := c.receiveOwn()
	if err != nil {
		return nil, err
	}
	c.recordMessage(m)
	if p, found := m.(*pgproto3.ParameterStatus); found {
		return m, c.handleParameterStatus(p)
	}
	return m, nil
}

// receiveOwn reads the next message that isn't part of a repeated answer.
func (c *Conn) receiveOwn() (pgproto3.BackendMessage, error) {
	for {
		m, err := c.frontend.Receive()
		if err != nil {
			return nil, c.readError(err)
		}
		if isOwn, err := c.isOwn(m); isOwn || err != nil {
			return m, err
		}
	}
}

func (c *Conn) setReadDeadline(deadline time.Time) error {
	if extension := deadline.Sub(c.deadline); extension >= 0 && extension < deadlineGranularity {
		return nil
	}
	c.deadline = deadline
	if err := c.netConn.SetReadDeadline(deadline); err != nil {
		return ErrBroken.Wrap(err, "server %s", c.Server)
	}
	return nil
}

func (c *Conn) readError(err error) error {
	if timeout, found := err.(net.Error); found && timeout.Timeout() && !c.aborted.Load() {
		c.timedOut.Store(true)
		return ErrSilent.New("server %s did not answer within the deadline", c.Server)
	}
	return ErrBroken.Wrap(err, "server %s", c.Server)
}

// Flush sends the messages that were queued by Send.
func (c *Conn) Flush() error {
	c.recordRequest()
	if err := c.frontend.Flush(); err != nil {
		return ErrBroken.Wrap(err, "server %s", c.Server)
	}
	return nil
}

// Query runs one statement and returns the first column of its last row.
func (c *Conn) Query(sql string, deadline time.Time) (string, error) {
	c.Send(&pgproto3.Query{String: sql})
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
			value = firstValue(m)
		case *pgproto3.ErrorResponse:
			failure = ErrServer.New("%s: %s", m.Code, m.Message)
		case *pgproto3.ReadyForQuery:
			return value, failure
		}
	}
}

// firstValue returns the first column of a row; empty if it has none.
func firstValue(m *pgproto3.DataRow) string {
	if len(m.Values) == 0 {
		return ""
	}
	return string(m.Values[0])
}

// Cancel sends a cancel request for the statement that runs on the connection.
func (c *Conn) Cancel(ctx context.Context) {
	netConn, err := c.pool.Dial(ctx, "tcp", string(c.pool.Server.Address))
	if err != nil {
		return
	}
	defer netConn.Close()
	frontend := pgproto3.NewFrontend(netConn, netConn)
	frontend.Send(&pgproto3.CancelRequest{ProcessID: c.backendPID, SecretKey: c.cancelKey})
	_ = frontend.Flush()
}

// PreventReuse keeps the connection from being used by another transaction. It must be
// called before a cancel request is sent, while the statement to cancel still runs.
func (c *Conn) PreventReuse() { c.notReusable.Store(true) }

// Release returns the connection to its pool. It may only be reusable if its last
// message was a ReadyForQuery with status idle; in any doubt it must be closed, so that
// no later user receives a late answer.
func (c *Conn) Release(reusable bool) {
	if len(c.PreparedStatements) > maxPreparedStatements {
		reusable = false
	}
	c.pool.release(c, reusable && !c.Dirty && !c.notReusable.Load() && c.isAnswered())
}

// Abort breaks the connection from another goroutine, so that a blocked Receive
// returns.
func (c *Conn) Abort() {
	c.aborted.Store(true)
	_ = c.netConn.SetDeadline(time.Unix(1, 0))
}

func (c *Conn) close() {
	if c.timedOut.Load() {
		// Statements that weren't delivered yet must not run once a partition has healed.
		_ = socket.CloseDiscarding(c.netConn)
		return
	}
	_ = c.netConn.Close()
}

// switchWorkspace prepares a reused connection for a workspace: prepared statements,
// settings and other session state of another workspace are discarded. It returns false
// if that failed.
func (c *Conn) switchWorkspace(workspace platform.WorkspaceName, timeout time.Duration) bool {
	if c.workspace == workspace {
		return true
	}
	if _, err := c.Query("DISCARD ALL", time.Now().Add(timeout)); err != nil {
		return false
	}
	c.workspace, c.PreparedStatements, c.UnnamedStatement = workspace, map[string]bool{}, ""
	return true
}

// isAlive reports whether the server still answers on an idle connection, which has no
// unread answer. It assumes the former without a probe if the connection was idle for
// less than idleProbeDelay.
func (c *Conn) isAlive(timeout time.Duration) bool {
	if !c.isInputValid(timeout) {
		return false
	}
	if time.Since(c.idleSince) < idleProbeDelay {
		return true
	}
	_, err := c.Query("SELECT savoryramp_status()", time.Now().Add(timeout))
	return err == nil
}
