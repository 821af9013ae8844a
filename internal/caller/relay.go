package caller

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/savoryramp/savoryramp/internal/upstream"
)

// relay processes one message of the server's answer.
func (x *attempt) relay(m pgproto3.BackendMessage) error {
	switch m := m.(type) {
	case *pgproto3.ParameterStatus:
		return x.checkPosition(m)
	case *pgproto3.NotificationResponse:
		return nil
	case *pgproto3.ErrorResponse:
		return x.relayError(m)
	case *pgproto3.ReadyForQuery:
		x.readyReceived, x.txStatus = true, m.TxStatus
		return nil
	case *pgproto3.CopyInResponse, *pgproto3.CopyOutResponse, *pgproto3.CopyBothResponse:
		return ErrUnsupported.New("COPY isn't supported")
	}
	if x.request.replacementAnswer != nil || !x.matchStep(m) {
		return nil
	}
	return x.forward(m)
}

// checkPosition checks the server's reported position against the session's floor,
// before any rows are forwarded.
func (x *attempt) checkPosition(m *pgproto3.ParameterStatus) error {
	if m.Name != "savoryramp.position" || x.positionChecked {
		return nil
	}
	x.positionChecked = true
	if !x.request.executes || x.request.kind != kindRead && x.request.kind != kindBeginReadOnly {
		return nil
	}
	if x.inTransaction && x.conn.Role == upstream.Primary {
		return nil
	}
	if _, anyReplica := x.group.ReadPolicy.(upstream.AnyReplica); anyReplica {
		return nil
	}
	f := x.session.floors[x.session.database.Upstream]
	if !f.fromOwnWrite {
		f.position = x.group.ClipFloor(f.position)
	}
	if !x.conn.Position.Covers(f.position) {
		return errBelowFloor.New("server %s is at position %s, below the floor %s", x.conn.Server, x.conn.Position, f.position)
	}
	return nil
}

// relayError forwards an error of the server, unless it only means that the request
// must run on another server.
func (x *attempt) relayError(m *pgproto3.ErrorResponse) error {
	if m.Code == string(CodeReadOnlyTransaction) && !x.forwarded && !x.committed && !x.inTransaction && x.request.kind != kindBeginReadOnly {
		return errReadOnly.New("server %s rejected a write as read-only", x.conn.Server)
	}
	x.hasServerError = true
	x.steps = nil
	x.conn.UnnamedStatement = ""
	return x.forward(m)
}

// forward adds a message to the session's output and flushes large answers in parts.
func (x *attempt) forward(m pgproto3.BackendMessage) error {
	output := &x.session.output
	if !x.committed {
		output.release()
	}
	if c, found := m.(*pgproto3.CommandComplete); found && !x.committed {
		output.hold()
		x.commandTag = string(c.CommandTag)
		x.committed = x.commandTag == "COMMIT"
	}
	if x.request.statements != nil {
		x.recordCommandTag(m)
	}
	if c, found := m.(*pgproto3.CommandComplete); found && !isStateless(string(c.CommandTag)) {
		x.conn.Dirty = true
	}
	if err := output.send(m); err != nil {
		return err
	}
	if len(output.buffer) < flushThreshold {
		return nil
	}
	if x.committed && len(output.buffer) > maxUnconfirmedBytes {
		return ErrUnknownOutcome.New("more than %d bytes follow a commit in one answer", maxUnconfirmedBytes)
	}
	x.forwarded = true
	return output.flush()
}
