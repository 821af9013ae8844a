package proxy

import (
	"context"
	"time"

	"github.com/savoryramp/savoryramp/pkg/position"
)

// Command is what a VM asks of a server: Forward, BeginAt, Abandon, Reset, Assign,
// Plant, AskStatus, Demote, Hold or Unhold.
type Command interface{ command() }

type (
	// Forward runs a caller's statement.
	Forward struct {
		ID        RequestID
		Statement Statement
		// Floor must be in the server's log; zero for no demand.
		Floor position.Position
	}
	// BeginAt opens a transaction.
	BeginAt struct {
		ReadOnly bool
		Floor    position.Position
	}
	// Abandon rolls the open transaction back.
	Abandon struct{}
	// Reset drops all values and prepared statements.
	Reset struct{}
	// Assign sets a session value.
	Assign struct{ Name, Value string }
	// Plant prepares a statement.
	PreparePlan struct {
		Name StatementName
		Plan Plan
	}
	// AskStatus asks for a ServerStatus; it takes a slot.
	QueryStatus struct{}
	// Demote makes a primary of a lower term a replica.
	Demote struct{ Term position.Term }
	// Hold stops a replica from receiving, under a term above the newest.
	PauseReceiving struct{ Term position.Term }
	// Unhold ends Hold.
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

// ServerStatus is what a server says of itself.
type ServerStatus struct {
	Primary bool
	Term    position.Term
	// Received is the end of its log.
	Received position.Position
	// Busy slots and open Connections, of all VMs.
	BusySlots, OpenConnections int
}

// Link is one connection to a server, in the server's protocol. One task uses it at a
// time.
type ServerLink interface {
	// Send gathers a command; Flush lets all gathered go.
	Send(c Command)
	// Flush may block while the server doesn't read, at most until deadline.
	Flush(deadline time.Time) error
	// Receive reads the answer to the oldest command that has none.
	// ErrSilent when the deadline passed, ErrBroken when the connection ended.
	Receive(deadline time.Time) (Answer, error)
	// Alive tells whether the connection has neither ended nor received anything unasked.
	IsAlive() bool
	// Status decodes the answer to AskStatus, Demote, Hold or Unhold. ErrBroken.
	DecodeStatus(a Answer) (ServerStatus, error)
	Close()
}

// Connect opens a connection to a server for a workspace; the position is that of the
// server's log. ErrConnect, ErrRefused; ctx bounds it.
type Connect func(ctx context.Context, s Server, w WorkspaceName) (ServerLink, position.Position, error)

// Conn is a pooled connection. One task uses it at a time.
type Conn struct {
	Link ServerLink
	// Server and Workspace never change.
	Server    ServerID
	Workspace WorkspaceName

	pool *Pool
	// inTransaction is true between the statements of a transaction.
	inTransaction bool
	// values and plans are what stands on the server.
	values map[string]string
	plans  map[Plan]StatementName
	// idleSince is when it was given back.
	idleSince time.Time
}
