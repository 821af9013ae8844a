package lease

import (
	"context"

	"github.com/joomcode/errorx"
)

// Name of a VM, or of another process that takes part.
type Name string

// Incarnation of a name: another after each start, never used twice.
type Incarnation string

// Member is one run of a named process. The zero Member is nobody.
type Member struct {
	Name        Name        `json:"name"`
	Incarnation Incarnation `json:"incarnation"`
}

// Version counts the writes of a row; 0 is no row.
type Version int64

// Change is made anew for each write, to recognise its effect.
type ChangeID string

// Row is the lease in the table.
type Row struct {
	Version  Version  `json:"version"`
	ChangeID ChangeID `json:"change"`
	// Holder may hold the lease; whether it does only it knows.
	Holder Member `json:"holder"`
	// Successor alone may take over from Holder. Nobody: the holder renews by
	// writing the row, and anyone may take over a row left unwritten.
	Successor Member `json:"successor"`
	// Claimant takes both for gone and takes over unless one of them objects.
	Claimant Member `json:"claimant"`
}

// Table is the lease's row in the platform's table.
type Table interface {
	// Read gives the row, strongly consistent; Version 0 if there is none.
	Read(ctx context.Context) (Row, error)
	// Swap writes row as version row.Version+1 if the stored version is row.Version.
	// ErrConflict: another version is stored. ErrUnavailable: nothing was written and
	// nothing will be. Any other error, ErrOutcomeUnknown by custom: it may be, now or
	// later.
	Swap(ctx context.Context, row Row) (Row, error)
}

// Kind of a request: renew, release or probe.
type RequestKind string

// The kinds of request.
const (
	// Renew asks the successor not to take over for the lease's duration.
	Renew RequestKind = "renew"
	// Release tells the successor to take over at once.
	Release RequestKind = "release"
	// Probe asks who answers.
	Probe RequestKind = "probe"
)

// Request goes from one member to another.
type Request struct {
	Kind RequestKind `json:"kind"`
	From Member      `json:"from"`
	// Row is the newest that the sender knows.
	Row Row `json:"row"`
}

// Answer to a Request.
type Response struct {
	Responder Member `json:"self"`
	// Promised is the promise asked for; to a Probe, that the member takes part.
	Promised bool `json:"promised"`
	// Row is the newest that the answering member knows.
	Row Row `json:"row"`
}

// Peers carries requests. The other side gives them to its Lease's Answer.
type Peers interface {
	// Ask gives the answer of whichever incarnation bears the name. After any error
	// the request may have been delivered, or be delivered later.
	Send(ctx context.Context, to Name, request Request) (Response, error)
}

var (
	errs = errorx.NewNamespace("lease")
	// ErrConflict means that a conditional write found another version.
	ErrConflict = errs.NewType("conflict")
	// ErrUnavailable means that the table did nothing.
	ErrUnavailable = errs.NewType("unavailable")
	// ErrOutcomeUnknown means that a write may take effect, now or later.
	ErrOutcomeUnknown = errs.NewType("outcome-unknown")
)
