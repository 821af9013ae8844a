package caller

import (
	"encoding/base64"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/savoryramp/savoryramp/internal/platform"
	"github.com/savoryramp/savoryramp/pkg/position"
)

func sessionWithFloor(key TokenKey, w platform.WorkspaceName, p position.Position) *Session {
	return &Session{
		server: &Server{TokenKey: key}, workspace: &platform.Workspace{Name: w},
		floors: map[platform.UpstreamName]floor{"receipts-1": {position: p, fromOwnWrite: true}},
	}
}

func TestTokenOpensOnlyForItsWorkspaceAndKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := position.Position{Term: position.Term(rapid.Int64Range(1, 99).Draw(t, "term")), Offset: position.Offset(rapid.Int64Range(0, 1<<40).Draw(t, "offset"))}
		token := sessionWithFloor(TokenKey("k"), "amman", p).sessionToken()
		floors, err := TokenKey("k").verifyToken(token, "amman")
		assert.NilError(t, err)
		assert.Equal(t, floors["receipts-1"].position, p)
		_, err = TokenKey("k").verifyToken(token, "irbid")
		assert.Assert(t, isType(err, ErrInvalidToken))
		_, err = TokenKey("other").verifyToken(token, "amman")
		assert.Assert(t, isType(err, ErrInvalidToken))
		i := rapid.IntRange(0, len(token)-1).Draw(t, "at")
		forged := token[:i] + string(token[i]^1) + token[i+1:]
		if got, err := TokenKey("k").verifyToken(forged, "amman"); err == nil {
			assert.Equal(t, got["receipts-1"].position, p, "a changed token was accepted with another floor")
		}
	})
}

func FuzzToken(f *testing.F) {
	f.Add(sessionWithFloor(TokenKey("k"), "amman", position.Position{Term: 1, Offset: 2}).sessionToken())
	f.Add("")
	f.Add(".")
	f.Add(`{"workspace":"amman","floors":{"receipts-1":"1/2"}}`)
	f.Add(`{"workspace":"amman","floors":{"receipts-1":"-1/2"}}`)
	f.Fuzz(func(t *testing.T, token string) {
		k := TokenKey("k")
		_, _ = k.verifyToken(token, "amman")
		// A body with a valid signature must either be rejected or give valid floors.
		encode := base64.RawURLEncoding.EncodeToString
		floors, err := k.verifyToken(encode([]byte(token))+"."+encode(k.sign([]byte(token))), "amman")
		assert.Assert(t, err == nil || isType(err, ErrInvalidToken))
		for _, f := range floors {
			assert.Assert(t, f.fromOwnWrite && f.position.Term >= 0 && f.position.Offset >= 0)
		}
	})
}
