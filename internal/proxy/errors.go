package proxy

import "github.com/joomcode/errorx"

var (
	errs = errorx.NewNamespace("proxy")
	// ErrBroken means that a connection ended, or said what can't be told.
	ErrBroken = errs.NewType("broken")
	// ErrSilent means that a server left a deadline pass.
	ErrTimeout = errs.NewType("silent")
	// ErrConnect means that a server couldn't be reached.
	ErrConnect = errs.NewType("connect")
	// ErrRefused means that a server wanted no further connection.
	ErrRefused = errs.NewType("refused")
	// ErrWrongServer means that another server stands at the address.
	ErrWrongServer = errs.NewType("wrong-server")
	// ErrNoServer means that no server of the group can take the request.
	ErrNoServer = errs.NewType("no-server")
	// ErrBusy means that no connection became free in time.
	ErrBusy = errs.NewType("busy")
	// ErrUnreached means that another VM couldn't be reached; nothing was sent to it.
	ErrPeerUnreachable = errs.NewType("unreached")
	// ErrPeer means that another VM didn't say what became of a batch.
	ErrPeerOutcomeUnknown = errs.NewType("peer")
	// ErrCaller means that the caller is gone, or broke the protocol.
	ErrCaller = errs.NewType("caller")
	// ErrUnavailable means that the platform's store did nothing.
	ErrUnavailable = errs.NewType("unavailable")
	// ErrOutcomeUnknown means that a write to the store may or may not be done.
	ErrOutcomeUnknown = errs.NewType("outcome-unknown")
	// ErrConflict means that a conditional write found another version.
	ErrConflict = errs.NewType("conflict")
	// ErrFenced means that an order came with too old a fencing token, or can't be done.
	ErrFenced = errs.NewType("fenced")
	// ErrHistory means that the store no longer knows the changes asked for.
	ErrHistoryLost = errs.NewType("history")
	// ErrMalformed means that a setting, row or message isn't what it should be.
	ErrMalformed = errs.NewType("malformed")
)

// IsHistory tells whether a feed has to begin anew.
func IsHistoryLost(err error) bool { return isType(err, ErrHistoryLost) }

// IsMalformed tells whether something isn't what it should be.
func IsMalformed(err error) bool { return isType(err, ErrMalformed) }

// IsSilent tells whether a deadline passed without a message.
func IsTimeout(err error) bool { return isType(err, ErrTimeout) }
