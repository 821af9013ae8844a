package caller

import (
	"github.com/jackc/pgx/v5/pgproto3"
)

// step is one expected part of the answer to an extended-protocol request.
type step struct {
	kind stepKind
	// silent steps were put in by savoryramp; the caller doesn't see their answer.
	hidden bool
	// local steps were not sent; savoryramp answers them itself, in their turn.
	localReply pgproto3.BackendMessage
	// prepares is the statement that stands on the connection afterwards.
	prepares *preparedStatement
}

// part is what a step's last message is.
type stepKind string

const (
	stepParse             stepKind = "parse"
	stepBind              stepKind = "bind"
	stepDescribeStatement stepKind = "describe-statement"
	stepDescribePortal    stepKind = "describe-portal"
	stepExecute           stepKind = "execute"
	stepClose             stepKind = "close"
	stepLocal             stepKind = "local"
)

// wanted matches a message of the answer with the steps; false when the caller
// must not see it.
func (x *exchange) matchStep(m pgproto3.BackendMessage) bool {
	if len(x.steps) == 0 || !x.steps[0].isLastReply(m) {
		return true
	}
	finished := x.steps[0]
	x.steps = x.steps[1:]
	if finished.prepares != nil {
		x.conn.PreparedStatements[finished.prepares.serverName] = true
	}
	if finished.hidden {
		x.sendLocalReplies()
		return false
	}
	if len(x.steps) > 0 && x.steps[0].kind == stepLocal {
		_ = x.forward(m)
		x.sendLocalReplies()
		return false
	}
	return true
}

// synthesize answers the local steps whose turn has come.
func (x *exchange) sendLocalReplies() {
	for len(x.steps) > 0 && x.steps[0].kind == stepLocal {
		_ = x.forward(x.steps[0].localReply)
		x.steps = x.steps[1:]
	}
}

// ends tells whether a message is the last one of the step's answer.
func (s step) isLastReply(m pgproto3.BackendMessage) bool {
	switch m.(type) {
	case *pgproto3.ParseComplete:
		return s.kind == stepParse
	case *pgproto3.BindComplete:
		return s.kind == stepBind
	case *pgproto3.CloseComplete:
		return s.kind == stepClose
	case *pgproto3.RowDescription, *pgproto3.NoData:
		return s.kind == stepDescribePortal || s.kind == stepDescribeStatement
	case *pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		return s.kind == stepExecute
	}
	return false
}
