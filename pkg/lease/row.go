package lease

import (
	"context"

	"github.com/joomcode/errorx"
)

// Name identifies a VM or another process that takes part in a lease.
type Name string

// Incarnation identifies one start of a named process and is never reused.
type Incarnation string

// Member is one incarnation of a named process. The zero Member means that there is none.
type Member struct {
	Name        Name        `json:"name"`
	Incarnation Incarnation `json:"incarnation"`
}

// Version counts the writes of a row; 0 means that there is no row.
type Version int64

// ChangeID is unique to each write, so that the writer recognizes the row it wrote.
type ChangeID string

// Row is the lease as stored in the table.
type Row struct {
	Version  Version  `json:"version"`
	ChangeID ChangeID `json:"change"`
	// Holder is the only member that may hold the lease; only Holder knows whether it does.
	Holder Member `json:"holder"`
	// Successor is the only member that may take over from Holder. Without a successor,
	// the holder renews by writing the row, and any member may take over a row that wasn't
	// rewritten in time.
	Successor Member `json:"successor"`
	// Claimant is an observer that found neither Holder nor Successor running. It takes over
	// if that stays true for the waiting time in the package comment, unless Holder or
	// Successor removes the claim first.
	Claimant Member `json:"claimant"`
}

// Table gives access to the lease's row in the platform's table.
type Table interface {
	// Read returns the row with strong consistency, or Version 0 if there is none.
	Read(ctx context.Context) (Row, error)
	// Swap writes row as version row.Version+1 if the stored version is row.Version.
	// ErrConflict: another version is stored. ErrUnavailable: nothing was written and
	// nothing will be. After any other error, by convention ErrOutcomeUnknown, the write
	// may take effect, now or later.
	Swap(ctx context.Context, row Row) (Row, error)
}

// RequestKind is the kind of a Request: renew, release or probe.
type RequestKind string

// The kinds of requests.
const (
	// Renew asks the successor not to take over for the lease's duration.
	Renew RequestKind = "renew"
	// Release asks the successor to take over at once.
	Release RequestKind = "release"
	// Probe asks which incarnation runs under a name.
	Probe RequestKind = "probe"
)

// Request is a message from one member to another.
type Request struct {
	Kind RequestKind `json:"kind"`
	From Member      `json:"from"`
	// Row is the newest row that the sender knows.
	Row Row `json:"row"`
}

// Response is the reply to a Request.
type Response struct {
	Responder Member `json:"self"`
	// Promised means that the requested promise is made; in the response to a Probe, that
	// the responder takes part in the lease.
	Promised bool `json:"promised"`
	// Row is the newest row that the responder knows.
	Row Row `json:"row"`
}

// Peers sends requests to other members. The receiver passes them to the HandleRequest
// method of its Lease.
type Peers interface {
	// Send returns the response of whichever incarnation runs under the name. After an
	// error the request may have been delivered, or may still be delivered.
	Send(ctx context.Context, to Name, request Request) (Response, error)
}

var (
	errs = errorx.NewNamespace("lease")
	// ErrConflict means that a conditional write found another version.
	ErrConflict = errs.NewType("conflict")
	// ErrUnavailable means that the table didn't execute a read or write and never will.
	ErrUnavailable = errs.NewType("unavailable")
	// ErrOutcomeUnknown means that a write may have taken effect, or may do so later.
	ErrOutcomeUnknown = errs.NewType("outcome-unknown")
)
