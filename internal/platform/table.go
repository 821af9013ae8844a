// Package platform contains the clients of the platform's services: the transactional
// table, the object store and the list of VMs. All durable state is stored there.
//
// Table and Store are the interfaces to these services; Dynamo and S3 implement them. A
// Document is parsed strictly by Parse and accepted by Apply through a conditional write
// of one row. A Configuration keeps the newest document in force on each VM and only ever
// moves to higher versions.
package platform

import (
	"context"

	"github.com/joomcode/errorx"
)

// RowKey identifies a row of the table by a path such as "group/receipts-1".
type RowKey string

// Version is the number of writes to a row; 0 means that the row doesn't exist.
type Version int64

// ChangeID identifies one change of a row. It lets a writer whose answer was lost
// recognize its own write when it reads the row back.
type ChangeID string

// Row is a row of the table.
type Row struct {
	Key RowKey
	// Version increases by exactly one with each write of the row.
	Version Version
	// Change identifies the change that wrote this version.
	Change ChangeID
	// Body is JSON in kebab case, at most 64 KiB.
	Body []byte
}

// Table is the platform's transactional table service.
type Table interface {
	// Get reads a row with strong consistency. It returns ErrNoRow if the row doesn't
	// exist, ErrUnavailable if the service failed and ErrRow if the row is malformed.
	Get(ctx context.Context, key RowKey) (Row, error)
	// Put writes row.Body and row.Change as version row.Version+1 if the stored
	// version is row.Version (0: no row yet), and returns the row as written. It returns
	// ErrConflict if another version is stored, ErrUnavailable if the service failed (in
	// both cases nothing was written) and ErrOutcomeUnknown if the row may have been
	// written.
	Put(ctx context.Context, row Row) (Row, error)
	// List reads all rows whose key begins with prefix, sorted by key. The prefix
	// contains the kind of row and its slash, such as "group/". A malformed row has only
	// its key. It returns ErrUnavailable if the service failed and ErrRow if the prefix is
	// malformed.
	List(ctx context.Context, prefix RowKey) ([]Row, error)
}

// ObjectName is the name of an object in the store.
type ObjectName string

// Store is the platform's object store.
type Store interface {
	// Get reads an object. It returns ErrNoObject if the object doesn't exist, or
	// ErrUnavailable.
	Get(ctx context.Context, name ObjectName) ([]byte, error)
	// Put writes a whole object. On ErrUnavailable it may have been written.
	Put(ctx context.Context, name ObjectName, body []byte) error
}

var (
	errs = errorx.NewNamespace("platform")
	// ErrNoRow means that the table has no such row.
	ErrNoRow = errs.NewType("no-row")
	// ErrNoObject means that the store has no such object.
	ErrNoObject = errs.NewType("no-object")
	// ErrConflict means that a conditional write found another version in the table.
	ErrConflict = errs.NewType("conflict")
	// ErrUnavailable means that the service failed or refused the call. A table write that
	// returns it had no effect; an object may have been written.
	ErrUnavailable = errs.NewType("unavailable")
	// ErrOutcomeUnknown means that a write may or may not have taken effect.
	ErrOutcomeUnknown = errs.NewType("outcome-unknown")
	// errUnretryable is an ErrOutcomeUnknown for which a retry can't find out more.
	errUnretryable = ErrOutcomeUnknown.NewSubtype("unsettled")
	// ErrRow means that a row or row key doesn't have the format that savoryramp writes.
	ErrRow = errs.NewType("row")
)

// TranslatePutError converts the error of a failed Put to one of another package's types:
// conflict, unavailable (nothing was written) or, for all other errors, unknown.
func TranslatePutError(err error, key RowKey, conflict, unavailable, unknown *errorx.Type) error {
	switch {
	case errorx.IsOfType(err, ErrConflict):
		return conflict.Wrap(err, "row %s", key)
	case errorx.IsOfType(err, ErrUnavailable):
		return unavailable.Wrap(err, "row %s", key)
	}
	return unknown.Wrap(err, "row %s", key)
}
