package proxy

import "github.com/savoryramp/savoryramp/pkg/position"

// Phase is a session's place between transactions, as its caller sees it.
type Phase string

// The phases.
const (
	Idle          Phase = "idle"
	InTransaction Phase = "in-transaction"
	// Failed transactions take nothing but their end.
	Failed Phase = "failed"
)

// Failure is why a request has no result.
type Failure string

// The failures. Each but the last eight promises that nothing of the attempt is kept.
const (
	NoFailure Failure = ""
	// Busy servers, or a rate that is used up.
	Busy Failure = "busy"
	// Aborted transactions were rolled back.
	Aborted Failure = "aborted"
	// Lagging servers lack the position asked for.
	Lagging Failure = "lagging"
	// NotPrimary servers take no writes.
	NotPrimary Failure = "not-primary"
	// WrongServer stands where another server was expected.
	WrongServer Failure = "wrong-server"
	// TooManyConnections stand open at the server.
	TooManyConnections Failure = "too-many-connections"
	// Unprepared statements have no plan under their name.
	Unprepared Failure = "unprepared"
	// RunFailed statements ran and failed.
	RunFailed Failure = "run-failed"
	// TimedOut statements may have run.
	TimedOut Failure = "timed-out"
	// InDoubt commits and writes may have been kept.
	InDoubt Failure = "in-doubt"
	// BadStatement isn't one that can be told, or not at this place.
	BadStatement Failure = "bad-statement"
	// NoDatabase is served under the name asked for.
	NoDatabase Failure = "no-database"
	// UnknownKey lets nobody in.
	UnknownKey Failure = "unknown-key"
	// OtherFailure is one that the adapter doesn't know.
	OtherFailure Failure = "other"
)

// Answer is a server's answer to one command, or the VM's to one request.
type Answer struct {
	Rows   []string
	Digest string
	// Failure is empty on success.
	Failure Failure
	// Detail is text for people, with a failure.
	Detail string
	Phase  Phase
	// Position of the server's log; zero if it isn't told.
	Position position.Position
}

// Succeeded tells whether the request has a result.
func (a Answer) Succeeded() bool { return a.Failure == NoFailure }
