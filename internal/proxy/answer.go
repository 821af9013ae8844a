package proxy

import (
	"time"

	"github.com/savoryramp/savoryramp/pkg/position"
)

// Phase is the transaction state of a session or of a server connection.
type Phase string

// Phases of a session or a server connection.
const (
	Idle          Phase = "idle"
	InTransaction Phase = "in-transaction"
	// Failed means that the transaction has failed and accepts only Commit and Rollback.
	Failed Phase = "failed"
)

// Failure is the reason why a request has no result; the empty string stands for success.
type Failure string

// Kinds of failure. After RunFailed, TimedOut, InDoubt and OtherFailure the statement may have
// taken effect; after the others it hasn't.
const (
	NoFailure Failure = ""
	// Busy means that the request can't be served now and may be retried later: overload, an
	// exceeded rate limit, no usable primary or server, or a VM that isn't ready.
	Busy Failure = "busy"
	// Aborted means that the transaction was rolled back.
	Aborted Failure = "aborted"
	// Lagging means that the server's log doesn't contain the requested position yet.
	Lagging Failure = "lagging"
	// NotPrimary means that the server doesn't accept writes.
	NotPrimary Failure = "not-primary"
	// WrongServer means that another server answers at the address of the expected one.
	WrongServer Failure = "wrong-server"
	// TooManyConnections means that the server has reached its connection limit.
	TooManyConnections Failure = "too-many-connections"
	// Unprepared means that no prepared statement has the given name.
	Unprepared Failure = "unprepared"
	// RunFailed means that the statement ran and returned an error.
	RunFailed Failure = "run-failed"
	// TimedOut means that the statement may have run.
	TimedOut Failure = "timed-out"
	// InDoubt means that a write or commit may have taken effect.
	InDoubt Failure = "in-doubt"
	// BadStatement means that the statement is malformed or not allowed in the session's
	// current phase.
	BadStatement Failure = "bad-statement"
	// NoDatabase means that no route has the requested database name.
	NoDatabase Failure = "no-database"
	// UnknownKey means that no workspace has the caller's key.
	UnknownKey Failure = "unknown-key"
	// OtherFailure is a failure code that the protocol adapter doesn't know.
	OtherFailure Failure = "other"
)

// Answer is a server's answer to a command, or the VM's answer to a request.
type Answer struct {
	Rows []string
	// Digest is the text of the protocol's completion message, forwarded unchanged; "-" if no
	// server was involved.
	Digest string
	// Failure is empty on success.
	Failure Failure
	// Detail describes a failure in human-readable form.
	Detail string
	// Phase is the transaction state after the command or request.
	Phase Phase
	// Position is the end of the server's log, or zero if the answer doesn't contain it.
	Position position.Position
	// RetryAfter is set in the VM's answer to a request that a server's queue refused: the time
	// after which the request has its place there.
	RetryAfter time.Duration
	// Release gives back the memory that is reserved for a long answer, nil for others. It may be called more than once.
	// It isn't sent to other VMs.
	Release func()
}

// ReleaseMemory gives back what is reserved for the answer, once it was passed on or is charged elsewhere. If it isn't
// called, the memory is given back when nothing refers to the answer any more.
func (a Answer) ReleaseMemory() {
	if a.Release != nil {
		a.Release()
	}
}

// Succeeded reports whether the request has a result.
func (a Answer) Succeeded() bool { return a.Failure == NoFailure }
