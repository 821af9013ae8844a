package platform

import (
	"context"

	"github.com/joomcode/errorx"
)

// applyAttempts bounds the attempts at each step of a change.
const applyAttempts = 8

// change is one operator's attempt to have a document accepted.
type change struct {
	table Table
	store Store
	// base is the version that the document replaces.
	base     DocumentVersion
	accepted accepted
	// entry is the change as it will be remembered; its version is base+1.
	entry acceptedChange
}

// Apply has a document accepted in place of the newest one. ErrDocument: it has
// mistakes. ErrConflict: another operator's was accepted first, whose version and name
// are in the message. ErrUnavailable: not accepted. ErrOutcomeUnknown: it may have been.
func Apply(ctx context.Context, table Table, store Store, operator string, text []byte) (Snapshot, error) {
	row, err := readDocumentRow(ctx, table)
	if err != nil {
		return Snapshot{}, err
	}
	return ApplyOver(ctx, table, store, operator, DocumentVersion(row.Version), text)
}

// ApplyOver is Apply for a document that was made from the one of version base: it is a
// conflict if that isn't the newest one any more.
func ApplyOver(ctx context.Context, table Table, store Store, operator string, base DocumentVersion, text []byte) (Snapshot, error) {
	document, err := Parse(text)
	if err != nil {
		return Snapshot{}, err
	}
	snapshot := Snapshot{Version: base + 1, Hash: HashDocument(text), Document: document, Body: text}
	c := &change{table: table, store: store, base: base}
	c.entry = acceptedChange{Version: base + 1, Hash: snapshot.Hash, Operator: operator, Change: NewChangeID()}
	if err := c.prepare(ctx, text); err != nil {
		return Snapshot{}, err
	}
	if err := c.commit(ctx); err != nil {
		return Snapshot{}, err
	}
	return snapshot, nil
}

// prepare stores the text, so that whoever reads the row finds the object.
func (c *change) prepare(ctx context.Context, text []byte) error {
	row, err := readDocumentRow(ctx, c.table)
	if err != nil {
		return err
	}
	c.accepted, err = readAccepted(row)
	if err != nil {
		return err
	}
	if DocumentVersion(row.Version) != c.base {
		return c.conflict(c.accepted.newest())
	}
	retry := Retry{Attempts: applyAttempts}
	return retry.Do(ctx, func(ctx context.Context) error {
		return c.store.Put(ctx, c.entry.Hash.object(), text)
	})
}

// commit moves the row. Every attempt has the same base and change id, so at most one
// of them takes effect.
func (c *change) commit(ctx context.Context) error {
	body, err := c.accepted.with(c.entry)
	if err != nil {
		return err
	}
	row := Row{Key: documentKey, Version: Version(c.base), Change: c.entry.Change, Body: body}
	// unknown is set once an attempt may have taken effect.
	unknown := false
	for attempt := 1; ; attempt++ {
		_, err = c.table.Put(ctx, row)
		if err == nil {
			return nil
		}
		if errorx.IsOfType(err, ErrConflict) && !unknown {
			return c.explain(ctx, err)
		}
		if !errorx.IsOfType(err, ErrUnavailable) {
			unknown = true
			settled, err := c.settle(ctx)
			if settled {
				return err
			}
		}
		if attempt == applyAttempts || !Pause(ctx, Backoff(attempt)) {
			return unfinished(err, unknown)
		}
	}
}

// explain adds the other operator to a conflict, if the row can be read.
func (c *change) explain(ctx context.Context, conflict error) error {
	row, err := readDocumentRow(ctx, c.table)
	if err != nil {
		return conflict
	}
	found, err := readAccepted(row)
	if err != nil {
		return conflict
	}
	return c.conflict(found.newest())
}

// settle reads back whether the change was accepted. It isn't settled while the row is
// unread or still at the base, since a lost attempt may yet arrive.
func (c *change) settle(ctx context.Context) (bool, error) {
	row, err := readDocumentRow(ctx, c.table)
	if err != nil || DocumentVersion(row.Version) <= c.base {
		return false, err
	}
	found, err := readAccepted(row)
	if err != nil {
		return false, err
	}
	entry, remembered := found.at(c.entry.Version)
	if !remembered {
		return true, ErrOutcomeUnknown.New("version %d is no longer remembered", c.entry.Version)
	}
	if entry.Change == c.entry.Change {
		return true, nil
	}
	return true, c.conflict(found.newest())
}

func (c *change) conflict(other acceptedChange) error {
	return ErrConflict.New("version %d by %s was accepted first; this change was made over version %d",
		other.Version, other.Operator, c.base)
}

// unfinished is the error of a change that ran out of attempts.
func unfinished(err error, unknown bool) error {
	if unknown && !errorx.IsOfType(err, ErrOutcomeUnknown) {
		return ErrOutcomeUnknown.Wrap(err, "the change may have been accepted or may yet be")
	}
	return err
}

// readDocumentRow reads the row; version 0 if there is none yet.
func readDocumentRow(ctx context.Context, table Table) (Row, error) {
	row := Row{}
	retry := Retry{Attempts: applyAttempts}
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
