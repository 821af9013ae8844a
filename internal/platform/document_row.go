package platform

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
)

// DocumentVersion numbers the accepted documents from 1; 0 means none. It equals the
// version of the table's row "document".
type DocumentVersion int64

// DocumentHash is the SHA-256 of a document's text, in lower-case hex.
type DocumentHash string

// Snapshot is one accepted document. It is immutable.
type Snapshot struct {
	Version  DocumentVersion
	Hash     DocumentHash
	Document *Document
	// Body is the text from which Document was parsed. Its hash is Hash.
	Body []byte
}

const documentKey RowKey = "document"

// maxRememberedChanges limits the accepted changes that the row remembers. The row keeps
// more than the newest, so that a writer whose answer was lost can find its own change
// after others were accepted.
const maxRememberedChanges = 32

// documentRow is the body of the row "document".
type documentRow struct {
	// Changes lists the latest accepted changes, newest first. The first one has the
	// row's version.
	Changes []acceptedChange `json:"changes"`
}

// acceptedChange records an accepted version and the operator who submitted it.
type acceptedChange struct {
	Version  DocumentVersion `json:"version"`
	Hash     DocumentHash    `json:"hash"`
	Operator string          `json:"operator"`
	Change   ChangeID        `json:"change"`
}

// HashDocument returns the hash of a document's text, under which the text is stored.
func HashDocument(text []byte) DocumentHash {
	sum := sha256.Sum256(text)
	return DocumentHash(hex.EncodeToString(sum[:]))
}

// objectName returns the name of the object that stores the document's text.
func (h DocumentHash) objectName() ObjectName {
	return ObjectName("documents/" + string(h))
}

// decodeDocumentRow decodes the row; a row of version 0 has no changes.
func decodeDocumentRow(row Row) (documentRow, error) {
	var a documentRow
	if row.Version == 0 {
		return a, nil
	}
	if err := json.Unmarshal(row.Body, &a); err != nil {
		return a, ErrRow.Wrap(err, "row %s", row.Key)
	}
	if len(a.Changes) == 0 || a.Changes[0].Version != DocumentVersion(row.Version) {
		return a, ErrRow.New("the newest change in row %s doesn't have the row's version", row.Key)
	}
	return a, nil
}

// SubmittedBy returns the operator who submitted a version, or "unknown" if the row no
// longer remembers that change. It returns ErrRow or the errors of Table.
func SubmittedBy(ctx context.Context, t Table, version DocumentVersion) (string, error) {
	row, err := t.Get(ctx, documentKey)
	if err != nil {
		return "", err
	}
	a, err := decodeDocumentRow(row)
	if err != nil {
		return "", err
	}
	if change, found := a.findVersion(version); found {
		return change.Operator, nil
	}
	return "unknown", nil
}

// newest returns the latest accepted change, a zero one if there is none.
func (a documentRow) newest() acceptedChange {
	if len(a.Changes) == 0 {
		return acceptedChange{}
	}
	return a.Changes[0]
}

// findVersion returns the change that made a version, if the row remembers it.
func (a documentRow) findVersion(version DocumentVersion) (acceptedChange, bool) {
	for _, c := range a.Changes {
		if c.Version == version {
			return c, true
		}
	}
	return acceptedChange{}, false
}

// encodeWith returns the row's body with one more change.
func (a documentRow) encodeWith(c acceptedChange) ([]byte, error) {
	changes := append([]acceptedChange{c}, a.Changes...)
	if len(changes) > maxRememberedChanges {
		changes = changes[:maxRememberedChanges]
	}
	body, err := json.Marshal(documentRow{Changes: changes})
	if err != nil {
		return nil, ErrRow.Wrap(err, "row %s", documentKey)
	}
	return body, nil
}
