package platform

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
)

// DocumentVersion counts the accepted documents, from 1; 0 is none. It is the version
// of the table's row "document".
type DocumentVersion int64

// DocumentHash is the SHA-256 of a document's text, in lower-case hex.
type DocumentHash string

// Snapshot is one accepted document. It is never changed.
type Snapshot struct {
	Version  DocumentVersion
	Hash     DocumentHash
	Document *Document
	// Body is the text that Document was parsed from; its hash is Hash.
	Body []byte
}

const documentKey RowKey = "document"

// acceptedHistory bounds the accepted changes that the row remembers, so that a writer
// whose answer was lost finds its own under those of others.
const acceptedHistory = 32

// accepted is the body of the row "document".
type accepted struct {
	// Changes are the newest accepted changes, the newest first. The first one's
	// version is the row's.
	Changes []acceptedChange `json:"changes"`
}

type acceptedChange struct {
	Version  DocumentVersion `json:"version"`
	Hash     DocumentHash    `json:"hash"`
	Operator string          `json:"operator"`
	Change   ChangeID        `json:"change"`
}

// HashDocument is the hash under which a document's text is stored.
func HashDocument(text []byte) DocumentHash {
	sum := sha256.Sum256(text)
	return DocumentHash(hex.EncodeToString(sum[:]))
}

func (h DocumentHash) object() ObjectName {
	return ObjectName("documents/" + string(h))
}

// readAccepted decodes the row; a row of version 0 has no changes.
func readAccepted(row Row) (accepted, error) {
	var a accepted
	if row.Version == 0 {
		return a, nil
	}
	if err := json.Unmarshal(row.Body, &a); err != nil {
		return a, ErrRow.Wrap(err, "row %s", row.Key)
	}
	if len(a.Changes) == 0 || a.Changes[0].Version != DocumentVersion(row.Version) {
		return a, ErrRow.New("row %s doesn't begin with its own version", row.Key)
	}
	return a, nil
}

// AcceptedBy names the operator who had a version accepted, "unknown" if it is no longer
// remembered. Errors as of Table, ErrRow.
func AcceptedBy(ctx context.Context, t Table, version DocumentVersion) (string, error) {
	row, err := t.Get(ctx, documentKey)
	if err != nil {
		return "", err
	}
	a, err := readAccepted(row)
	if err != nil {
		return "", err
	}
	if change, found := a.at(version); found {
		return change.Operator, nil
	}
	return "unknown", nil
}

// newest is the change in force.
func (a accepted) newest() acceptedChange {
	if len(a.Changes) == 0 {
		return acceptedChange{}
	}
	return a.Changes[0]
}

// at finds the change that made a version, if it is remembered.
func (a accepted) at(version DocumentVersion) (acceptedChange, bool) {
	for _, c := range a.Changes {
		if c.Version == version {
			return c, true
		}
	}
	return acceptedChange{}, false
}

// with is the body after one more change.
func (a accepted) with(c acceptedChange) ([]byte, error) {
	changes := append([]acceptedChange{c}, a.Changes...)
	if len(changes) > acceptedHistory {
		changes = changes[:acceptedHistory]
	}
	body, err := json.Marshal(accepted{Changes: changes})
	if err != nil {
		return nil, ErrRow.Wrap(err, "row %s", documentKey)
	}
	return body, nil
}
