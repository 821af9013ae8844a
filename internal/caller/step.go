package caller

import (
	"github.com/jackc/pgx/v5/pgproto3"
)

// step is one expected part of the answer to an extended-protocol request.
type step struct {
	what part
	// silent steps were put in by savoryramp; the caller doesn't see their answer.
	silent bool
	// local steps were not sent; savoryramp answers them itself, in their turn.
	local pgproto3.BackendMessage
	// prepares is the statement that stands on the connection afterwards.
	prepares *prepared
}

// part is what a step's last message is.
type part string

const (
	partParse             part = "parse"
	partBind              part = "bind"
	partDescribeStatement part = "describe-statement"
	partDescribePortal    part = "describe-portal"
	partExecute           part = "execute"
	partClose             part = "close"
	partLocal             part = "local"
)

// wanted matches a message of the answer with the steps; false when the caller
// must not see it.
func (x *exchange) wanted(m pgproto3.BackendMessage) bool {
	if len(x.steps) == 0 || !x.steps[0].ends(m) {
		return true
	}
	done := x.steps[0]
	x.steps = x.steps[1:]
	if done.prepares != nil {
		x.conn.PreparedStatements[done.prepares.name] = true
	}
	if done.silent {
		x.synthesize()
		return false
	}
	if len(x.steps) > 0 && x.steps[0].what == partLocal {
		_ = x.forward(m)
		x.synthesize()
		return false
	}
	return true
}

// synthesize answers the local steps whose turn has come.
func (x *exchange) synthesize() {
	for len(x.steps) > 0 && x.steps[0].what == partLocal {
		_ = x.forward(x.steps[0].local)
		x.steps = x.steps[1:]
	}
}

// ends tells whether a message is the last one of the step's answer.
func (s step) ends(m pgproto3.BackendMessage) bool {
	switch m.(type) {
	case *pgproto3.ParseComplete:
		return s.what == partParse
	case *pgproto3.BindComplete:
		return s.what == partBind
	case *pgproto3.CloseComplete:
		return s.what == partClose
	case *pgproto3.RowDescription, *pgproto3.NoData:
		return s.what == partDescribePortal || s.what == partDescribeStatement
	case *pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		return s.what == partExecute
	}
	return false
}
