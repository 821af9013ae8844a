package caller

import (
	"context"
	"crypto/rand"
	"encoding/json"

	"github.com/google/uuid"

	"github.com/savoryramp/savoryramp/internal/platform"
)

const (
	tokenKeyRow  platform.RowKey = "fleet/token-key"
	tokenKeySize                 = 32
)

// LoadTokenKey reads the key that all VMs share for session tokens from the table, and
// creates it if it doesn't exist. If it returns the platform's ErrUnavailable, or
// ErrInvalidToken because the row holds no valid key, the VM runs without session
// tokens.
func LoadTokenKey(ctx context.Context, t platform.Table) (TokenKey, error) {
	row, err := t.Get(ctx, tokenKeyRow)
	if isType(err, platform.ErrNoRow) {
		row, err = createTokenKey(ctx, t)
	}
	if err != nil {
		return nil, err
	}
	var stored struct {
		Key []byte `json:"key"`
	}
	if err := json.Unmarshal(row.Body, &stored); err != nil {
		return nil, ErrInvalidToken.Wrap(err, "row %s", tokenKeyRow)
	}
	if len(stored.Key) != tokenKeySize {
		return nil, ErrInvalidToken.New("row %s has a key of %d bytes, not %d", tokenKeyRow, len(stored.Key), tokenKeySize)
	}
	return stored.Key, nil
}

func createTokenKey(ctx context.Context, t platform.Table) (platform.Row, error) {
	key := make([]byte, tokenKeySize)
	_, _ = rand.Read(key)
	body, _ := json.Marshal(struct {
		Key []byte `json:"key"`
	}{key})
	row, err := t.Put(ctx, platform.Row{Key: tokenKeyRow, Change: platform.ChangeID(uuid.NewString()), Body: body})
	if isType(err, platform.ErrConflict) || isType(err, platform.ErrOutcomeUnknown) {
		return t.Get(ctx, tokenKeyRow)
	}
	return row, err
}
