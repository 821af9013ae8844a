package proxy

import (
	"context"
	"time"

	"github.com/savoryramp/savoryramp/pkg/position"
)

// Command is a message to a server: Forward, BeginAt, Abandon, Reset, Assign, PreparePlan,
// QueryStatus, Demote, PauseReceiving or ResumeReceiving.
type Command interface{ command() }

type (
	// Forward runs a caller's statement on the server.
	Forward struct {
		ID        RequestID
		Statement Statement
		// Floor is a position that the server's log must contain; zero means no requirement.
		Floor position.Position
	}
	// BeginAt opens a transaction on a server whose log contains Floor.
	BeginAt struct {
		ReadOnly bool
		Floor    position.Position
	}
	// Abandon rolls back the open transaction.
	Abandon struct{}
	// Reset clears all session values and prepared statements of the connection.
	Reset struct{}
	// Assign sets a session value on the connection.
	Assign struct{ Name, Value string }
	// PreparePlan prepares a statement on the connection.
	PreparePlan struct {
		Name StatementName
		Plan Plan
	}
	// QueryStatus requests a ServerStatus. It occupies one of the server's slots.
	QueryStatus struct{}
	// Demote turns the primary of a term lower than Term into a replica.
	Demote struct{ Term position.Term }
	// PauseReceiving stops a replica from receiving the log. Term must be above the newest one.
	PauseReceiving struct{ Term position.Term }
	// ResumeReceiving reverses PauseReceiving.
	ResumeReceiving struct{}
)

func (Forward) command()         {}
func (BeginAt) command()         {}
func (Abandon) command()         {}
func (Reset) command()           {}
func (Assign) command()          {}
func (PreparePlan) command()     {}
func (QueryStatus) command()     {}
func (Demote) command()          {}
func (PauseReceiving) command()  {}
func (ResumeReceiving) command() {}

// ServerStatus is a server's report on itself.
type ServerStatus struct {
	Primary bool
	Term    position.Term
	// Received is the end of the server's log.
	Received position.Position
	// HeldTerm is the term with which the server was paused, zero if it receives the log.
	HeldTerm position.Term
	// BusySlots and OpenConnections count those used by all VMs together.
	BusySlots, OpenConnections int
}

// ServerLink is a connection to a server that encodes the server's protocol. It isn't safe for
// concurrent use.
type ServerLink interface {
	// Send buffers a command until the next Flush. What doesn't fit into the buffer is sent at once, which may
	// block until deadline; Flush returns the error.
	Send(c Command, deadline time.Time)
	// Flush sends the buffered commands. It may block until deadline while the server doesn't
	// read.
	Flush(deadline time.Time) error
	// Receive reads the answer to the oldest unanswered command. It returns ErrTimeout after
	// deadline and ErrBroken if the connection was closed.
	Receive(deadline time.Time) (Answer, error)
	// Input reports whether the connection is open and has received data that wasn't read.
	Input() InputState
	// DecodeStatus decodes the answer to QueryStatus, Demote, PauseReceiving or
	// ResumeReceiving. It returns ErrBroken for any other answer.
	DecodeStatus(a Answer) (ServerStatus, error)
	Close()
}

// InputState is what can be read from a connection without waiting.
type InputState string

// States of a connection's input.
const (
	NoInput       InputState = "none"
	InputReceived InputState = "received"
	InputClosed   InputState = "closed"
)

// Connect opens a connection to a server for a workspace and returns it with the current end of
// the server's log. It returns ErrConnect, ErrRefused or ErrWrongServer on failure, and gives up
// when ctx ends.
type Connect func(ctx context.Context, s Server, w WorkspaceName) (ServerLink, position.Position, error)

// alignment is what is known about the answers that have arrived and may yet arrive on a connection.
type alignment struct {
	// phase is the transaction state after the latest command that was answered.
	phase Phase
	// history has the answers received so far. skipped counts those that weren't the awaited command's,
	// skippedPlain those among them that complete a command of the VM.
	history               answerHistory
	skipped, skippedPlain int
	// isDoubtful is true after a refusal that may be a repeated one, until markers were sent.
	isDoubtful bool
	// refused is true once a statement was refused, other than by a server that lagged.
	refused bool
	// markers are commands that were sent to find out whether all earlier answers have arrived, and whose
	// answers weren't received yet. markerPlans counts those that prepare a plan.
	markers     []Command
	markerPlans int
	// sequences counts the sequences of markers that were sent outside a transaction.
	sequences int
	// verified is true if the latest commands verified the primary.
	verified bool
	// misaligned is true once an answer couldn't be attributed to a command. The connection isn't used again.
	misaligned bool
}

// Conn is a pooled connection to a server. It isn't safe for concurrent use.
type Conn struct {
	Link ServerLink
	// Server and Workspace are constant.
	Server    ServerID
	Workspace WorkspaceName

	pool *Pool
	// isControl is true for the pool's control connection.
	isControl bool
	// number distinguishes the connections of a pool.
	number int
	alignment
	// inTransaction is true if the latest answer on the connection left a transaction open.
	inTransaction bool
	// hasWritten is true if that transaction has written.
	hasWritten bool
	// mayCommit is true while a request that may commit holds the connection.
	mayCommit bool
	// dropped is true if the pool has closed the connection while its transaction was idle. The pool's
	// mutex guards it.
	dropped bool
	// values and plans are the session values and prepared statements that the connection
	// currently has on the server. Nobody is charged for them, so that neither may hold much: plans has digests,
	// and a connection with long values isn't kept.
	values map[string]string
	plans  map[planDigest]StatementName
	// place is the connection's place in the pool's queue while a statement is about to run on it
	// or runs, nil otherwise. demand is that of the latest checkout.
	place  *place
	demand demand
	// idleSince is when the connection last became idle in the pool.
	idleSince time.Time
}
