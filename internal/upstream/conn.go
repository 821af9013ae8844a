package upstream

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/savoryramp/savoryramp/internal/platform"
	"github.com/savoryramp/savoryramp/pkg/position"
)

const (
	positionParameter = "savoryramp.position"
	// readOnlyParameter decides what transactions begin as; servers report its changes.
	readOnlyParameter = "default_transaction_read_only"
	parameterOn       = "on"
	// idleProbeAfter is how long a connection may idle before it is probed.
	idleProbeDelay = 5 * time.Second
	// maxPrepared bounds the statements kept prepared on one connection.
	maxPreparedStatements = 256
	// deadlineStep is how much later than the present deadline a new one must be to be
	// set: setting it costs more than reading a row.
	deadlineGranularity = 10 * time.Millisecond
)

// Dial opens a network connection, as net.Dialer.DialContext.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Conn is one connection to a server. One task uses it at a time.
type Conn struct {
	Server platform.ServerName
	// Front speaks the frontend's side of the protocol.
	Frontend *pgproto3.Frontend
	// Role is what the connection was taken for. Transactions on a replica's begin
	// read only, also once it is promoted, unless ReadsOnly tells otherwise.
	Role Role
	// Position is the last one that the server reported on this connection.
	Position position.Position
	// Prepared holds the names of statements that stand on the server.
	PreparedStatements map[string]bool
	// Unnamed is the key of the statement that stands under the empty name.
	UnnamedStatement string
	// Dirty connections carry a caller's settings and are closed when released.
	Dirty bool

	// readOnly connections were opened for a replica.
	readOnly bool
	// silent is set once the server left a deadline pass.
	timedOut bool
	// doubtful connections may yet be hit by a cancel request and aren't reused.
	notReusable atomic.Bool
	netConn     net.Conn
	pool        *Pool
	// aborted connections receive nothing more.
	aborted atomic.Bool
	// workspace is the one that used the connection last.
	workspace platform.WorkspaceName
	// deadline is that of reads, as Receive set it last.
	deadline   time.Time
	backendPID uint32
	cancelKey  []byte
	idleSince  time.Time
	acquiredAt time.Time
	// observed connections are looked at for an adaptive limit.
	timed bool
	// stopwatch is nil when nothing is timed, rest unless a transaction pauses.
	timer      *responseTimer
	idlePhase  *idlePhase
	parameters map[string]string
}

// parameter takes note of a ParameterStatus.
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

// ReadsOnly tells whether the server says that transactions begin read only here.
func (c *Conn) DefaultsToReadOnly() bool { return c.parameters[readOnlyParameter] == parameterOn }

// Receive reads the next message, at the latest at deadline (zero: none), which may
// come a deadlineStep early.
// ParameterStatus messages are noted in the connection and returned as well.
// ErrSilent when the deadline passed, ErrBroken when the connection ended.
func (c *Conn) Receive(deadline time.Time) (pgproto3.BackendMessage, error) {
	c.endIdlePhase()
	if err := c.setReadDeadline(deadline); err != nil {
		return nil, err
	}
	// Looked at after the deadline was set, so that an Abort before that isn't lost.
	if c.aborted.Load() {
		return nil, ErrBroken.New("server %s: the wait for its answer was ended", c.Server)
	}
	m, err := c.Frontend.Receive()
	if err != nil {
		return nil, c.readError(err)
	}
	c.recordMessage(m)
	if p, found := m.(*pgproto3.ParameterStatus); found {
		return m, c.handleParameterStatus(p)
	}
	return m, nil
}

func (c *Conn) setReadDeadline(deadline time.Time) error {
	if later := deadline.Sub(c.deadline); later >= 0 && later < deadlineGranularity {
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
		c.timedOut = true
		return ErrSilent.New("server %s gave no answer within the deadline", c.Server)
	}
	return ErrBroken.Wrap(err, "server %s", c.Server)
}

// Flush sends what was given to Front.Send.
func (c *Conn) Flush() error {
	c.recordRequest()
	if err := c.Frontend.Flush(); err != nil {
		return ErrBroken.Wrap(err, "server %s", c.Server)
	}
	return nil
}

// Ask runs one statement and gives the first column of its first row.
func (c *Conn) Query(sql string, deadline time.Time) (string, error) {
	c.Frontend.Send(&pgproto3.Query{String: sql})
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

// first is a row's first value; empty if it has none.
func firstValue(m *pgproto3.DataRow) string {
	if len(m.Values) == 0 {
		return ""
	}
	return string(m.Values[0])
}

// Cancel asks the server to interrupt what runs on the connection.
func (c *Conn) Cancel(ctx context.Context) {
	nc, err := c.pool.Dial(ctx, "tcp", string(c.pool.Server.Address))
	if err != nil {
		return
	}
	defer nc.Close()
	front := pgproto3.NewFrontend(nc, nc)
	front.Send(&pgproto3.CancelRequest{ProcessID: c.backendPID, SecretKey: c.cancelKey})
	_ = front.Flush()
}

// Doubt keeps the connection from being used by another transaction. It must be
// called before a cancel request is sent, while the one it is meant for still runs.
func (c *Conn) PreventReuse() { c.notReusable.Store(true) }

// Release gives the connection back. Only one that answered ReadyForQuery idle and
// nothing after it may be kept; any doubt closes it, so that a late answer has no
// reader to reach.
func (c *Conn) Release(reusable bool) {
	if len(c.PreparedStatements) > maxPreparedStatements {
		reusable = false
	}
	c.pool.release(c, reusable && !c.Dirty && !c.notReusable.Load())
}

// Abort breaks the connection from another task, so that its user stops waiting.
func (c *Conn) Abort() {
	c.aborted.Store(true)
	_ = c.netConn.SetDeadline(time.Unix(1, 0))
}

func (c *Conn) close() { _ = c.netConn.Close() }

// enter makes a kept connection ready for a workspace: another's prepared statements,
// settings and whatever else the server keeps for a connection are discarded.
func (c *Conn) switchWorkspace(w platform.WorkspaceName, timeout time.Duration) bool {
	if c.workspace == w {
		return true
	}
	if _, err := c.Query("DISCARD ALL", time.Now().Add(timeout)); err != nil {
		return false
	}
	c.workspace, c.PreparedStatements, c.UnnamedStatement = w, map[string]bool{}, ""
	return true
}

// alive probes a connection that has idled.
func (c *Conn) isAlive(timeout time.Duration) bool {
	if time.Since(c.idleSince) < idleProbeDelay {
		return true
	}
	_, err := c.Query("SELECT savoryramp_status()", time.Now().Add(timeout))
	return err == nil
}
