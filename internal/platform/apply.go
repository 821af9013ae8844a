package platform

import (
	"context"

	"github.com/joomcode/errorx"
)

// maxApplyAttempts limits the attempts at each step of a change.
const maxApplyAttempts = 8

// documentChange is one operator's request to replace the newest accepted document.
type documentChange struct {
	table Table
	store Store
	// baseVersion is the version that the document replaces.
	baseVersion DocumentVersion
	// previous is the content of the row before the change.
	previous documentRow
	// entry is the change as the row will remember it; its version is baseVersion+1.
	entry acceptedChange
}

// Apply submits a document to replace the newest accepted one. It returns ErrDocument if
// the document has mistakes, ErrConflict if another operator's document was accepted
// first (the message names its version and operator), ErrUnavailable if the document
// wasn't accepted and ErrOutcomeUnknown if it may have been.
func Apply(ctx context.Context, table Table, store Store, operator string, text []byte) (Snapshot, error) {
	row, err := readDocumentRow(ctx, table)
	if err != nil {
		return Snapshot{}, err
	}
	return ApplyToVersion(ctx, table, store, operator, DocumentVersion(row.Version), text)
}

// ApplyToVersion is Apply for a document that was edited from version base. It returns
// ErrConflict if base is no longer the newest version.
func ApplyToVersion(ctx context.Context, table Table, store Store, operator string, base DocumentVersion, text []byte) (Snapshot, error) {
	document, err := Parse(text)
	if err != nil {
		return Snapshot{}, err
	}
	snapshot := Snapshot{Version: base + 1, Hash: HashDocument(text), Document: document, Body: text}
	c := &documentChange{table: table, store: store, baseVersion: base}
	c.entry = acceptedChange{Version: base + 1, Hash: snapshot.Hash, Operator: operator, Change: NewChangeID()}
	if err := c.storeText(ctx, text); err != nil {
		return Snapshot{}, err
	}
	if err := c.writeRow(ctx); err != nil {
		return Snapshot{}, err
	}
	return snapshot, nil
}

// storeText checks that the base version is the newest and stores the document's text.
// The text is stored before the row is written, so that every reader of the row finds it.
func (c *documentChange) storeText(ctx context.Context, text []byte) error {
	row, err := readDocumentRow(ctx, c.table)
	if err != nil {
		return err
	}
	c.previous, err = decodeDocumentRow(row)
	if err != nil {
		return err
	}
	if DocumentVersion(row.Version) != c.baseVersion {
		return c.conflictError(c.previous.newest())
	}
	retry := Retry{Attempts: maxApplyAttempts}
	return retry.Do(ctx, func(ctx context.Context) error {
		return c.store.Put(ctx, c.entry.Hash.objectName(), text)
	})
}

// writeRow writes the row with the new change. All attempts have the same base version
// and change ID, so at most one of them takes effect.
func (c *documentChange) writeRow(ctx context.Context) error {
	body, err := c.previous.encodeWith(c.entry)
	if err != nil {
		return err
	}
	row := Row{Key: documentKey, Version: Version(c.baseVersion), Change: c.entry.Change, Body: body}
	// maybeApplied is set once an attempt may have taken effect.
	maybeApplied := false
	for attempt := 1; ; attempt++ {
		_, err = c.table.Put(ctx, row)
		if err == nil {
			return nil
		}
		if errorx.IsOfType(err, ErrConflict) && !maybeApplied {
			return c.describeConflict(ctx, err)
		}
		if !errorx.IsOfType(err, ErrUnavailable) {
			maybeApplied = true
			certain, err := c.checkOutcome(ctx)
			if certain {
				return err
			}
		}
		if attempt == maxApplyAttempts || !Pause(ctx, Backoff(attempt)) {
			return attemptsExhausted(err, maybeApplied)
		}
	}
}

// describeConflict returns a conflict error that names the other operator, or the given
// one if the row can't be read.
func (c *documentChange) describeConflict(ctx context.Context, conflict error) error {
	row, err := readDocumentRow(ctx, c.table)
	if err != nil {
		return conflict
	}
	current, err := decodeDocumentRow(row)
	if err != nil {
		return conflict
	}
	return c.conflictError(current.newest())
}

// checkOutcome reads the row to find out whether the change was accepted, and returns
// true if that is certain. It isn't while the row can't be read or is still at the base
// version, since a delayed write may yet arrive.
func (c *documentChange) checkOutcome(ctx context.Context) (bool, error) {
	row, err := readDocumentRow(ctx, c.table)
	if err != nil || DocumentVersion(row.Version) <= c.baseVersion {
		return false, err
	}
	current, err := decodeDocumentRow(row)
	if err != nil {
		return false, err
	}
	entry, found := current.findVersion(c.entry.Version)
	if !found {
		return true, ErrOutcomeUnknown.New("version %d is no longer remembered", c.entry.Version)
	}
	if entry.Change == c.entry.Change {
		return true, nil
	}
	return true, c.conflictError(current.newest())
}

func (c *documentChange) conflictError(other acceptedChange) error {
	return ErrConflict.New("version %d by %s was accepted first; this change was made over version %d",
		other.Version, other.Operator, c.baseVersion)
}

// attemptsExhausted returns the error of a change after its last attempt.
func attemptsExhausted(err error, maybeApplied bool) error {
	if maybeApplied && !errorx.IsOfType(err, ErrOutcomeUnknown) {
		return ErrOutcomeUnknown.Wrap(err, "the change may have been accepted or may yet be")
	}
	return err
}

// readDocumentRow reads the row "document". It returns a row of version 0 if there is
// none yet.
func readDocumentRow(ctx context.Context, table Table) (Row, error) {
	row := Row{}
	retry := Retry{Attempts: maxApplyAttempts}
	err := retry.Do(ctx, func(ctx context.Context) error {
		var err error
		row, err = table.Get(ctx, documentKey)
		return err
	})
	if errorx.IsOfType(err, ErrNoRow) {
		return Row{Key: documentKey}, nil
	}
	return row, err
}
