// Package proxy serves sessions of statements in front of database groups, whatever
// protocol carries them. Adapters decode a protocol into its types.
package proxy

// RequestID names one request of a caller; servers see it unchanged.
type RequestID string

// Own is the id of the statements that the VM issues itself.
const InternalRequestID RequestID = "-"

// Request is one statement of a caller.
type Request struct {
	ID        RequestID
	Statement Statement
}

// Statement is what a caller asks for: Begin, Commit, Rollback, Read, Write, Set,
// Prepare, Execute, Deallocate or Malformed.
type Statement interface{ statement() }

type (
	// Begin opens a transaction.
	Begin struct{ ReadOnly bool }
	// Commit ends a transaction and keeps what it wrote.
	Commit struct{}
	// Rollback ends a transaction and keeps nothing.
	Rollback struct{}
	// Read reads an item. Text is the caller's, to be forwarded unchanged.
	Read struct{ Text string }
	// Write writes an item. Text is the caller's, to be forwarded unchanged.
	Write struct{ Text string }
	// Set sets a session value.
	Set struct{ Name, Value string }
	// Prepare gives a shape a name for the rest of the session.
	Prepare struct {
		Name StatementName
		Plan Plan
	}
	// Execute runs a prepared statement.
	Execute struct {
		Name StatementName
		// Arguments are the caller's, to be forwarded unchanged.
		Arguments string
	}
	// Deallocate drops a prepared statement.
	Deallocate struct{ Name StatementName }
	// Malformed can't be told; it is refused.
	Malformed struct{ Reason string }
)

// StatementName names a prepared statement, of one session or of one connection.
type StatementName string

// Plan is what a prepared statement does.
type Plan struct {
	Writes bool
	Shape  string
}

func (Begin) statement()      {}
func (Commit) statement()     {}
func (Rollback) statement()   {}
func (Read) statement()       {}
func (Write) statement()      {}
func (Set) statement()        {}
func (Prepare) statement()    {}
func (Execute) statement()    {}
func (Deallocate) statement() {}
func (Malformed) statement()  {}
