package upstream

import "github.com/joomcode/errorx"

var (
	errs = errorx.NewNamespace("upstream")
	// NotExecuted is a trait of errors after which no part of the request has reached a
	// server's data.
	NotExecuted = errorx.RegisterTrait("not-run")
	// ErrNoServer means that no usable server can take the request.
	ErrNoServer = errs.NewType("no-server", NotExecuted)
	// errRedirect means that the server is leaving, lost or removed, so that the
	// request must go to another one.
	errRedirect = errs.NewType("moved", NotExecuted)
	// ErrBusy means that no connection became free within the allowed wait, or that the
	// queue is full.
	ErrBusy = errs.NewType("busy", NotExecuted)
	// ErrConnect means that a new connection could not be opened, or that the
	// connection that watches a server is not open or was lost.
	ErrConnect = errs.NewType("connect", NotExecuted)
	// ErrFloorLost means that the session's own write did not survive a promotion.
	ErrFloorLost = errs.NewType("floor-lost", NotExecuted)
	// ErrNoQuorum means that too few servers reported how far their logs reach.
	ErrNoQuorum = errs.NewType("no-quorum", NotExecuted)
	// ErrUnconfirmed means that the primary answered a commit, but the commit could not
	// be confirmed as the group's acknowledge rule requires.
	ErrUnconfirmed = errs.NewType("unconfirmed")
	// ErrSilent means that a server gave no answer within the deadline.
	ErrSilent = errs.NewType("silent")
	// ErrBroken means that a connection ended or that a message violated the protocol.
	ErrBroken = errs.NewType("broken")
	// ErrStaleTerm means that a server has accepted a higher term than the one in a
	// control statement.
	ErrStaleTerm = errs.NewType("term")
	// ErrServer carries the error that a server returned for a statement of
	// savoryramp's own.
	ErrServer = errs.NewType("server")
)

func isSilent(err error) bool { return errorx.IsOfType(err, ErrSilent) }

func isConnect(err error) bool { return errorx.IsOfType(err, ErrConnect) }

func isRedirect(err error) bool { return errorx.IsOfType(err, errRedirect) }
