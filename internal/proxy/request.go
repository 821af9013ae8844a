// Package proxy runs the sessions of callers on database groups, independently of the protocol.
// Protocol adapters translate requests and answers to and from its types.
package proxy

import (
	"crypto/sha256"
	"io"
)

// RequestID identifies a caller's request; it is forwarded to servers unchanged.
type RequestID string

// InternalRequestID is the ID of statements that the VM sends on its own behalf.
const InternalRequestID RequestID = "-"

// Request is one statement of a caller.
type Request struct {
	ID        RequestID
	Statement Statement
}

// Statement is the content of a request: Begin, Commit, Rollback, Read, Write, Set, Prepare,
// Execute, Deallocate or Malformed.
type Statement interface{ statement() }

type (
	// Begin opens a transaction.
	Begin struct{ ReadOnly bool }
	// Commit ends a transaction and makes its writes permanent.
	Commit struct{}
	// Rollback ends a transaction and discards its writes.
	Rollback struct{}
	// Read reads an item. Text is the caller's statement, which is forwarded unchanged.
	Read struct{ Text string }
	// Write writes an item. Text is the caller's statement, which is forwarded unchanged.
	Write struct{ Text string }
	// Set sets a session value.
	Set struct{ Name, Value string }
	// Prepare defines a prepared statement, which exists until Deallocate or the end of the
	// session.
	Prepare struct {
		Name StatementName
		Plan Plan
	}
	// Execute runs a prepared statement.
	Execute struct {
		Name StatementName
		// Arguments is the caller's text, which is forwarded unchanged.
		Arguments string
	}
	// Deallocate drops a prepared statement.
	Deallocate struct{ Name StatementName }
	// Malformed is a statement that can't be parsed; it is refused.
	Malformed struct{ Reason string }
)

// StatementName names a prepared statement within one session or one server connection.
type StatementName string

// Plan is the definition of a prepared statement.
type Plan struct {
	// Writes is true if the statement writes.
	Writes bool
	// Shape is the caller's text of the statement, which is forwarded unchanged.
	Shape string
}

// planDigest identifies a plan without its text. No two plans are known to have the same one.
type planDigest [sha256.Size]byte

func (p Plan) digest() planDigest {
	h := sha256.New()
	if p.Writes {
		_, _ = h.Write([]byte{1})
	} else {
		_, _ = h.Write([]byte{0})
	}
	_, _ = io.WriteString(h, p.Shape)
	return planDigest(h.Sum(nil))
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
