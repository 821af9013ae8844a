// Package platform speaks to the platform's services: the transactional table, the
// object store and the list of VMs. Everything that must last lives there.
//
// Table and Store are the two narrow interfaces to it; Dynamo and S3 speak to real
// services. A Document is parsed strictly by Parse, accepted by Apply under a
// conditional write of one row, and kept in force on each VM by a Configuration, which
// only ever moves to higher versions.
package platform

import (
	"context"

	"github.com/joomcode/errorx"
)

// RowKey names a row of the table, in path form: "group/receipts-1".
type RowKey string

// Version counts the writes to one row, from 1; 0 is a row that doesn't exist.
type Version int64

// ChangeID is made anew for each attempted write, so that a writer whose answer was
// lost can recognise its own effect when it reads the row back.
type ChangeID string

// Row is a row of the table.
type Row struct {
	Key RowKey
	// Version rises by exactly one with every write of the row.
	Version Version
	// Change is that of the write which made this version.
	Change ChangeID
	// Body is JSON in kebab case, at most 64 KiB.
	Body []byte
}

// Table is the platform's transactional table service.
type Table interface {
	// Get reads a row, strongly consistent. ErrNoRow if there is none,
	// ErrUnavailable if the service didn't answer.
	Get(ctx context.Context, key RowKey) (Row, error)
	// Put writes row.Body and row.Change as version row.Version+1 if the stored
	// version is row.Version (0: no row yet), and returns the row as written.
	// ErrConflict: another version is stored, nothing was written.
	// ErrUnavailable: nothing was written. ErrOutcomeUnknown: it may have been.
	Put(ctx context.Context, row Row) (Row, error)
	// List reads all rows whose key begins with prefix, by key. The prefix names one
	// kind of row with its slash, such as "group/". ErrUnavailable.
	List(ctx context.Context, prefix RowKey) ([]Row, error)
}

// ObjectName names an object of the store.
type ObjectName string

// Store is the platform's object store.
type Store interface {
	// Get reads an object. ErrNoObject if there is none, ErrUnavailable.
	Get(ctx context.Context, name ObjectName) ([]byte, error)
	// Put writes an object whole. ErrUnavailable: it may have been written.
	Put(ctx context.Context, name ObjectName, body []byte) error
}

var (
	errs = errorx.NewNamespace("platform")
	// ErrNoRow means that the table has no such row.
	ErrNoRow = errs.NewType("no-row")
	// ErrNoObject means that the store has no such object.
	ErrNoObject = errs.NewType("no-object")
	// ErrConflict means that a conditional write found another version.
	ErrConflict = errs.NewType("conflict")
	// ErrUnavailable means that the service gave no answer and did nothing.
	ErrUnavailable = errs.NewType("unavailable")
	// ErrOutcomeUnknown means that a write may or may not have taken effect.
	ErrOutcomeUnknown = errs.NewType("outcome-unknown")
	// errUnsettled is the outcome unknown of a write that is of no use to repeat.
	errUnsettled = ErrOutcomeUnknown.NewSubtype("unsettled")
	// ErrRow means that a row or row key isn't of the form that savoryramp writes.
	ErrRow = errs.NewType("row")
)

// PutError gives a failed Put's error as one of another package's types: conflict,
// unavailable (nothing was written) or, for all else, unknown.
func PutError(err error, key RowKey, conflict, unavailable, unknown *errorx.Type) error {
	switch {
	case errorx.IsOfType(err, ErrConflict):
		return conflict.Wrap(err, "row %s", key)
	case errorx.IsOfType(err, ErrUnavailable):
		return unavailable.Wrap(err, "row %s", key)
	}
	return unknown.Wrap(err, "row %s", key)
}
