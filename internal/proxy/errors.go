package proxy

import (
	"time"

	"github.com/joomcode/errorx"
)

var (
	errs = errorx.NewNamespace("proxy")
	// ErrBroken means that a connection was closed, received data that can't be decoded, or is
	// in a state that doesn't allow its further use.
	ErrBroken = errs.NewType("broken")
	// ErrTimeout means that no message arrived, or that a server didn't reach the awaited state,
	// before the deadline.
	ErrTimeout = errs.NewType("silent")
	// ErrConnect means that a connection to a server couldn't be opened.
	ErrConnect = errs.NewType("connect")
	// ErrRefused means that a server refused a further connection.
	ErrRefused = errs.NewType("refused")
	// ErrWrongServer means that another server answers at the address of the expected one.
	ErrWrongServer = errs.NewType("wrong-server")
	// ErrNoServer means that no server, or not the one in question, can execute the request.
	ErrNoServer = errs.NewType("no-server")
	// ErrBusy means that a request can't run now because of limited capacity: no connection is
	// expected in time, too many transactions are idle, or the server refused a status command.
	ErrBusy = errs.NewType("busy")
	// ErrPeerUnreachable means that another VM couldn't be reached and that nothing was sent.
	ErrPeerUnreachable = errs.NewType("unreached")
	// ErrPeerOutcomeUnknown means that a batch may have reached another VM, but that its outcome
	// isn't known.
	ErrPeerOutcomeUnknown = errs.NewType("peer")
	// ErrUnproven means that an answer can't be shown to be that of the command, which may have run.
	ErrUnproven = errs.NewType("unproven")
	// ErrNoMemory means that this VM had no memory for a long answer. The command may have run.
	ErrNoMemory = errs.NewType("no-memory")
	// ErrUnsettled means that nothing was sent on a connection, since an earlier answer on it can't be
	// attributed to a command.
	ErrUnsettled = errs.NewType("unsettled")
	// ErrCaller means that the caller closed its connection or violated the protocol.
	ErrCaller = errs.NewType("caller")
	// ErrUnavailable means that the platform's store didn't execute the request, or that the
	// requested data can't be had from it or from another VM.
	ErrUnavailable = errs.NewType("unavailable")
	// ErrOutcomeUnknown means that a write to the platform's store may or may not have taken
	// effect.
	ErrOutcomeUnknown = errs.NewType("outcome-unknown")
	// ErrConflict means that a conditional write found a version other than the expected one.
	ErrConflict = errs.NewType("conflict")
	// ErrFenced means that a promotion was rejected, or wasn't ordered, because the fencing token is
	// outdated or because the promotion can't be carried out.
	ErrFenced = errs.NewType("fenced")
	// ErrNotPromotable means that the servers' answers allow no promotion now.
	ErrNotPromotable = errs.NewType("not-promotable")
	// ErrAbandoned means that a decision on a primary no longer stands, so that it isn't carried out.
	ErrAbandoned = errs.NewType("abandoned")
	// ErrHistoryLost means that the store no longer keeps the requested changes.
	ErrHistoryLost = errs.NewType("history")
	// ErrMalformed means that a setting, row or message has an invalid form.
	ErrMalformed = errs.NewType("malformed")
)

// IsHistoryLost reports whether a change feed has to be read again from its start.
func IsHistoryLost(err error) bool { return isType(err, ErrHistoryLost) }

// IsConflict reports whether a conditional write found another version than the expected one.
func IsConflict(err error) bool { return isType(err, ErrConflict) }

// IsMalformed reports whether a setting, row or message has an invalid form.
func IsMalformed(err error) bool { return isType(err, ErrMalformed) }

// IsBusy reports whether a request can't run now because of limited capacity.
func IsBusy(err error) bool { return isType(err, ErrBusy) }

// IsTimeout reports whether a deadline passed before the awaited message or state.
func IsTimeout(err error) bool { return isType(err, ErrTimeout) }

// retryAfterProperty has the time after which a refused request should be sent again.
var retryAfterProperty = errorx.RegisterProperty("retry-after")

// busyUntil returns an ErrBusy that tells when to send the request again.
func busyUntil(wait time.Duration, format string, args ...any) error {
	return WithRetryAfter(ErrBusy.New(retryAfterText(wait)+" "+format, args...), wait)
}

// WithRetryAfter adds to an error when to send the request again, unless that is zero.
func WithRetryAfter(err *errorx.Error, wait time.Duration) error {
	if wait <= 0 {
		return err
	}
	return err.WithProperty(retryAfterProperty, wait)
}

// RetryAfter returns the time that WithRetryAfter added to an error, or zero.
func RetryAfter(err error) time.Duration {
	value, _ := errorx.ExtractProperty(err, retryAfterProperty)
	wait, _ := value.(time.Duration)
	return wait
}

// busyAnswer returns the answer to a request that was refused with an error.
func busyAnswer(err error) Answer {
	return Answer{Failure: Busy, Detail: err.Error(), RetryAfter: RetryAfter(err)}
}

// isUnattributed reports whether an error only says that an answer can't be attributed to a command.
func isUnattributed(err error) bool { return isType(err, ErrUnproven) || isType(err, ErrUnsettled) }
