package caller

import (
	"github.com/jackc/pgx/v5/pgproto3"
)

// step is one expected reply to a message of an extended-protocol batch.
type step struct {
	kind stepKind
	// hidden steps belong to messages that the proxy added; their reply isn't
	// forwarded.
	hidden bool
	// localReply is set if the message wasn't sent to the server: the proxy sends this
	// reply itself when it is due.
	localReply pgproto3.BackendMessage
	// prepares is the statement that the connection has prepared after this step.
	prepares *preparedStatement
}

// stepKind determines which messages end the reply of a step.
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

// matchStep matches a message of the answer with the expected steps. It returns false
// if the message isn't to be forwarded, or has been forwarded already.
func (x *attempt) matchStep(m pgproto3.BackendMessage) bool {
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

// sendLocalReplies sends the local replies that are due.
func (x *attempt) sendLocalReplies() {
	for len(x.steps) > 0 && x.steps[0].kind == stepLocal {
		_ = x.forward(x.steps[0].localReply)
		x.steps = x.steps[1:]
	}
}

// isLastReply reports whether a message is the last one of the step's reply.
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
