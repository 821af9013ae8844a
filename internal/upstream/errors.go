package upstream

import "github.com/joomcode/errorx"

var (
	errs = errorx.NewNamespace("upstream")
	// NotRun is a trait: nothing of the request reached a server's data.
	NotExecuted = errorx.RegisterTrait("not-run")
	// ErrNoServer means that no usable server can take the request.
	ErrNoServer = errs.NewType("no-server", NotExecuted)
	// errMoved means that the server is leaving; another takes the work.
	errRedirected = errs.NewType("moved", NotExecuted)
	// ErrBusy means that the bounded wait for a connection ended.
	ErrBusy = errs.NewType("busy", NotExecuted)
	// ErrConnect means that a new connection could not be opened.
	ErrConnect = errs.NewType("connect", NotExecuted)
	// ErrFloorLost means that the session's own write did not survive a promotion.
	ErrFloorLost = errs.NewType("floor-lost", NotExecuted)
	// ErrNoQuorum means that too few servers said how far their logs reach.
	ErrNoQuorum = errs.NewType("no-quorum", NotExecuted)
	// ErrUnconfirmed means that a commit was answered by its primary but not
	// confirmed by a replica in the same term.
	ErrUnconfirmed = errs.NewType("unconfirmed")
	// ErrSilent means that a server gave no answer within the deadline.
	ErrSilent = errs.NewType("silent")
	// ErrBroken means that a connection ended or spoke out of protocol.
	ErrBroken = errs.NewType("broken")
	// ErrTerm means that a server has accepted a higher term.
	ErrStaleTerm = errs.NewType("term")
	// ErrServer carries a server's own error answer to one of our questions.
	ErrServer = errs.NewType("server")
)

func isSilent(err error) bool { return errorx.IsOfType(err, ErrSilent) }

func isConnect(err error) bool { return errorx.IsOfType(err, ErrConnect) }

func isRedirected(err error) bool { return errorx.IsOfType(err, errRedirected) }
