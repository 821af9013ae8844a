package caller

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/savoryramp/savoryramp/internal/upstream"
)

// relay passes one message of the answer on.
func (x *exchange) relay(m pgproto3.BackendMessage) error {
	switch m := m.(type) {
	case *pgproto3.ParameterStatus:
		return x.noted(m)
	case *pgproto3.NotificationResponse:
		return nil
	case *pgproto3.ErrorResponse:
		return x.failure(m)
	case *pgproto3.ReadyForQuery:
		x.answered, x.status = true, m.TxStatus
		return nil
	case *pgproto3.CopyInResponse, *pgproto3.CopyOutResponse, *pgproto3.CopyBothResponse:
		return ErrUnsupported.New("COPY isn't passed through")
	}
	if x.request.instead != nil || !x.wanted(m) {
		return nil
	}
	return x.forward(m)
}

// noted checks the server's position against the floor before rows go out.
func (x *exchange) noted(m *pgproto3.ParameterStatus) error {
	if m.Name != "savoryramp.position" || x.seen {
		return nil
	}
	x.seen = true
	if !x.request.runs || x.request.kind != kindRead && x.request.kind != kindBeginReadOnly {
		return nil
	}
	if x.inTransaction && x.conn.Role == upstream.Primary {
		return nil
	}
	if _, naive := x.group.ReadPolicy.(upstream.AnyReplica); naive {
		return nil
	}
	f := x.session.floors[x.session.database.Upstream]
	if !f.own {
		f.position = x.group.ClipFloor(f.position)
	}
	if !x.conn.Position.Covers(f.position) {
		return errStale.New("server %s is at %s, under the floor %s", x.conn.Server, x.conn.Position, f.position)
	}
	return nil
}

// failure passes an error of the server on, unless the request can go elsewhere.
func (x *exchange) failure(m *pgproto3.ErrorResponse) error {
	if m.Code == string(CodeReadOnly) && !x.forwarded && !x.committed && !x.inTransaction && x.request.kind != kindBeginReadOnly {
		return errReadOnly.New("server %s refused to write", x.conn.Server)
	}
	x.failedBy = true
	x.steps = nil
	x.conn.UnnamedStatement = ""
	return x.forward(m)
}

// forward gathers a message for the caller and lets larger pieces go.
func (x *exchange) forward(m pgproto3.BackendMessage) error {
	o := &x.session.out
	if !x.committed {
		o.free()
	}
	if c, found := m.(*pgproto3.CommandComplete); found && !x.committed {
		o.hold()
		x.tag = string(c.CommandTag)
		x.committed = x.tag == "COMMIT"
	}
	if x.request.statements != nil {
		x.followed(m)
	}
	if c, found := m.(*pgproto3.CommandComplete); found && !leavesNothing(string(c.CommandTag)) {
		x.conn.Dirty = true
	}
	if err := o.send(m); err != nil {
		return err
	}
	if len(o.bytes) < flushAt {
		return nil
	}
	if x.committed && len(o.bytes) > maxHeldBack {
		return ErrUnknownOutcome.New("more than %d bytes follow a commit in one answer", maxHeldBack)
	}
	x.forwarded = true
	return o.flush()
}
