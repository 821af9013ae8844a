package platform

import (
	"context"
	"fmt"
	"slices"

	"github.com/joomcode/errorx"
	"go.yaml.in/yaml/v3"
)

var (
	// ErrNoKey means that the document has no key or workspace of that name.
	ErrNoKey = errs.NewType("no-key")
	// ErrKeyTaken means that the document already has a key of that name.
	ErrKeyTaken = errs.NewType("key-taken")
	// ErrEdit means that the document's text is formatted in a way that can't be edited
	// in place.
	ErrEdit = errs.NewType("edit")
)

// maxEditAttempts limits the attempts at an edit that conflicts with other operators'
// changes.
const maxEditAttempts = 5

// SetKeyWithdrawn withdraws or reinstates a key in the newest document and keeps the rest
// of the text byte for byte. It returns the errors of Apply, ErrNoKey or ErrEdit.
func SetKeyWithdrawn(ctx context.Context, table Table, store Store, operator string, key KeyName, withdrawn bool) (Snapshot, error) {
	return editNewest(ctx, table, store, operator, func(s Snapshot) ([]byte, error) {
		return withKeyWithdrawn(s, key, withdrawn)
	})
}

// AddKey adds a key to a workspace of the newest document and keeps the rest of the text
// byte for byte. It returns the errors of Apply, ErrNoKey if the workspace doesn't exist,
// ErrKeyTaken or ErrEdit.
func AddKey(ctx context.Context, table Table, store Store, operator string, workspace WorkspaceName, key Key) (Snapshot, error) {
	return editNewest(ctx, table, store, operator, func(s Snapshot) ([]byte, error) {
		return withKey(s, workspace, key)
	})
}

// editNewest edits the text of the newest document and submits the result. If another
// operator's change was accepted first, it repeats the edit on the newer document.
func editNewest(ctx context.Context, table Table, store Store, operator string, edit func(Snapshot) ([]byte, error)) (Snapshot, error) {
	for attempt := 1; ; attempt++ {
		newest, err := ReadNewest(ctx, table, store)
		if err != nil {
			return Snapshot{}, err
		}
		text, err := edit(newest)
		if err != nil {
			return Snapshot{}, err
		}
		if string(text) == string(newest.Body) {
			return newest, nil
		}
		snapshot, err := ApplyToVersion(ctx, table, store, operator, newest.Version, text)
		if !errorx.IsOfType(err, ErrConflict) || attempt == maxEditAttempts {
			return snapshot, err
		}
		if !Pause(ctx, Backoff(attempt)) {
			return Snapshot{}, err
		}
	}
}

// ReadNewest reads the newest accepted document. It returns ErrNoRow if there is none
// yet, or ErrUnavailable, ErrRow, ErrNoObject or ErrDocument.
func ReadNewest(ctx context.Context, table Table, store Store) (Snapshot, error) {
	row, err := readDocumentRow(ctx, table)
	if err != nil {
		return Snapshot{}, err
	}
	if row.Version == 0 {
		return Snapshot{}, ErrNoRow.New("no document has been accepted yet")
	}
	a, err := decodeDocumentRow(row)
	if err != nil {
		return Snapshot{}, err
	}
	var body []byte
	retry := Retry{Attempts: maxApplyAttempts}
	err = retry.Do(ctx, func(ctx context.Context) error {
		var err error
		body, err = store.Get(ctx, a.newest().Hash.objectName())
		return err
	})
	if err != nil {
		return Snapshot{}, err
	}
	return parseSnapshot(a.newest().Version, a.newest().Hash, body)
}

// parseSnapshot checks a body against its hash and parses it.
func parseSnapshot(version DocumentVersion, hash DocumentHash, body []byte) (Snapshot, error) {
	if found := HashDocument(body); found != hash {
		return Snapshot{}, ErrDocument.New("the text of version %d has hash %s, not %s", version, found, hash)
	}
	document, err := Parse(body)
	if err != nil {
		return Snapshot{}, err
	}
	return Snapshot{Version: version, Hash: hash, Document: document, Body: body}, nil
}

// withKeyWithdrawn returns the document's text with the key's withdrawn field set.
func withKeyWithdrawn(s Snapshot, name KeyName, withdrawn bool) ([]byte, error) {
	_, key, found := s.Document.Key(name)
	if !found {
		return nil, ErrNoKey.New("there is no key %s", name)
	}
	if key.Withdrawn == withdrawn {
		return s.Body, nil
	}
	node := findKeyNode(s.Body, name)
	value := fmt.Sprint(withdrawn)
	editor := newTextEditor(s.Body)
	if current := mappingValue(node, "withdrawn"); current != nil {
		editor.replaceScalar(current, value)
	} else {
		editor.insertField(node, "withdrawn: "+value)
	}
	wanted, err := Parse(s.Body)
	if err != nil {
		return nil, err
	}
	_, wantedKey, _ := wanted.Key(name)
	wantedKey.Withdrawn = withdrawn
	return editor.verifiedText(wanted)
}

// withKey returns the document's text with a key added to the workspace.
func withKey(s Snapshot, workspace WorkspaceName, key Key) ([]byte, error) {
	if _, _, found := s.Document.Key(key.Name); found {
		return nil, ErrKeyTaken.New("key %s exists already", key.Name)
	}
	node := findWorkspaceNode(s.Body, workspace)
	if node == nil {
		return nil, ErrNoKey.New("there is no workspace %s", workspace)
	}
	editor := newTextEditor(s.Body)
	fields := []string{"name: " + string(key.Name), "verifier: " + string(key.Verifier)}
	if key.Withdrawn {
		fields = append(fields, "withdrawn: true")
	}
	index := editor.addItem(mappingValue(node, "keys"), fields)
	wanted, err := Parse(s.Body)
	if err != nil {
		return nil, err
	}
	wantedWorkspace, _ := wanted.Workspace(workspace)
	wantedWorkspace.Keys = slices.Insert(wantedWorkspace.Keys, index, key)
	return editor.verifiedText(wanted)
}

// findWorkspaceNode returns the YAML mapping of a workspace, nil if it isn't there.
func findWorkspaceNode(body []byte, name WorkspaceName) *yaml.Node {
	var document yaml.Node
	if yaml.Unmarshal(body, &document) != nil {
		return nil
	}
	return findItemByName(mappingValue(document.Content[0], "workspaces"), string(name))
}

// findKeyNode returns the YAML mapping of a key, nil if it isn't there.
func findKeyNode(body []byte, name KeyName) *yaml.Node {
	var document yaml.Node
	if yaml.Unmarshal(body, &document) != nil {
		return nil
	}
	for _, w := range mappingValue(document.Content[0], "workspaces").Content {
		if key := findItemByName(mappingValue(w, "keys"), string(name)); key != nil {
			return key
		}
	}
	return nil
}

// findItemByName returns the item of a list whose field "name" has the given value.
func findItemByName(list *yaml.Node, name string) *yaml.Node {
	for _, n := range list.Content {
		if mappingValue(n, "name").Value == name {
			return n
		}
	}
	return nil
}

// mappingValue returns the value of a field of a mapping, nil if it isn't there.
func mappingValue(mapping *yaml.Node, name string) *yaml.Node {
	for i := 0; i+1 < len(mapping.Content); i += 2 {
		if mapping.Content[i].Value == name {
			return mapping.Content[i+1]
		}
	}
	return nil
}
