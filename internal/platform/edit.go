package platform

import (
	"context"
	"fmt"
	"slices"

	"github.com/joomcode/errorx"
	"go.yaml.in/yaml/v3"
)

var (
	// ErrNoKey means that the document has no such key or workspace.
	ErrNoKey = errs.NewType("no-key")
	// ErrKeyTaken means that the document already has a key of that name.
	ErrKeyTaken = errs.NewType("key-taken")
	// ErrEdit means that the text is written in a way that can't be edited in place.
	ErrEdit = errs.NewType("edit")
)

// editAttempts bounds how often an edit is made again over another operator's change.
const editAttempts = 5

// SetKeyWithdrawn withdraws a key, or takes that back, in the newest document, whose
// text is otherwise kept byte for byte. Errors as of Apply; ErrNoKey, ErrEdit.
func SetKeyWithdrawn(ctx context.Context, table Table, store Store, operator string, key KeyName, withdrawn bool) (Snapshot, error) {
	return editNewest(ctx, table, store, operator, func(s Snapshot) ([]byte, error) {
		return withKeyWithdrawn(s, key, withdrawn)
	})
}

// AddKey adds a key to a workspace of the newest document, whose text is otherwise kept
// byte for byte. Errors as of Apply; ErrNoKey without the workspace, ErrKeyTaken, ErrEdit.
func AddKey(ctx context.Context, table Table, store Store, operator string, workspace WorkspaceName, key Key) (Snapshot, error) {
	return editNewest(ctx, table, store, operator, func(s Snapshot) ([]byte, error) {
		return withKey(s, workspace, key)
	})
}

func editNewest(ctx context.Context, table Table, store Store, operator string, edit func(Snapshot) ([]byte, error)) (Snapshot, error) {
	for attempt := 1; ; attempt++ {
		newest, err := Newest(ctx, table, store)
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
		snapshot, err := ApplyOver(ctx, table, store, operator, newest.Version, text)
		if !errorx.IsOfType(err, ErrConflict) || attempt == editAttempts {
			return snapshot, err
		}
		if !Pause(ctx, Backoff(attempt)) {
			return Snapshot{}, err
		}
	}
}

// Newest reads the newest accepted document. ErrNoRow if there is none yet,
// ErrUnavailable, ErrNoObject, ErrDocument.
func Newest(ctx context.Context, table Table, store Store) (Snapshot, error) {
	row, err := readDocumentRow(ctx, table)
	if err != nil {
		return Snapshot{}, err
	}
	if row.Version == 0 {
		return Snapshot{}, ErrNoRow.New("no document has been accepted yet")
	}
	a, err := readAccepted(row)
	if err != nil {
		return Snapshot{}, err
	}
	var body []byte
	retry := Retry{Attempts: applyAttempts}
	err = retry.Do(ctx, func(ctx context.Context) error {
		var err error
		body, err = store.Get(ctx, a.newest().Hash.object())
		return err
	})
	if err != nil {
		return Snapshot{}, err
	}
	return openSnapshot(a.newest().Version, a.newest().Hash, body)
}

// openSnapshot parses a body after checking it against the hash.
func openSnapshot(version DocumentVersion, hash DocumentHash, body []byte) (Snapshot, error) {
	if found := HashDocument(body); found != hash {
		return Snapshot{}, ErrDocument.New("the text of version %d has hash %s, not %s", version, found, hash)
	}
	document, err := Parse(body)
	if err != nil {
		return Snapshot{}, err
	}
	return Snapshot{Version: version, Hash: hash, Document: document, Body: body}, nil
}

func withKeyWithdrawn(s Snapshot, name KeyName, withdrawn bool) ([]byte, error) {
	_, key, found := s.Document.Key(name)
	if !found {
		return nil, ErrNoKey.New("there is no key %s", name)
	}
	if key.Withdrawn == withdrawn {
		return s.Body, nil
	}
	node := findKey(s.Body, name)
	value := fmt.Sprint(withdrawn)
	text := newSource(s.Body)
	if old := mappingValue(node, "withdrawn"); old != nil {
		text.replace(old, value)
	} else {
		text.insertField(node, "withdrawn: "+value)
	}
	want, err := Parse(s.Body)
	if err != nil {
		return nil, err
	}
	_, changed, _ := want.Key(name)
	changed.Withdrawn = withdrawn
	return text.checked(want)
}

func withKey(s Snapshot, workspace WorkspaceName, key Key) ([]byte, error) {
	if _, _, found := s.Document.Key(key.Name); found {
		return nil, ErrKeyTaken.New("key %s exists already", key.Name)
	}
	node := findWorkspace(s.Body, workspace)
	if node == nil {
		return nil, ErrNoKey.New("there is no workspace %s", workspace)
	}
	text := newSource(s.Body)
	fields := []string{"name: " + string(key.Name), "verifier: " + string(key.Verifier)}
	if key.Withdrawn {
		fields = append(fields, "withdrawn: true")
	}
	place := text.addItem(mappingValue(node, "keys"), fields)
	want, err := Parse(s.Body)
	if err != nil {
		return nil, err
	}
	w, _ := want.Workspace(workspace)
	w.Keys = slices.Insert(w.Keys, place, key)
	return text.checked(want)
}

func findWorkspace(body []byte, name WorkspaceName) *yaml.Node {
	var document yaml.Node
	if yaml.Unmarshal(body, &document) != nil {
		return nil
	}
	return namedItem(mappingValue(document.Content[0], "workspaces"), string(name))
}

func findKey(body []byte, name KeyName) *yaml.Node {
	var document yaml.Node
	if yaml.Unmarshal(body, &document) != nil {
		return nil
	}
	for _, w := range mappingValue(document.Content[0], "workspaces").Content {
		if key := namedItem(mappingValue(w, "keys"), string(name)); key != nil {
			return key
		}
	}
	return nil
}

func namedItem(list *yaml.Node, name string) *yaml.Node {
	for _, n := range list.Content {
		if mappingValue(n, "name").Value == name {
			return n
		}
	}
	return nil
}

// mappingValue finds a field of a mapping, nil if it isn't there.
func mappingValue(mapping *yaml.Node, name string) *yaml.Node {
	for i := 0; i+1 < len(mapping.Content); i += 2 {
		if mapping.Content[i].Value == name {
			return mapping.Content[i+1]
		}
	}
	return nil
}
