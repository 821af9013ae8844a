package caller

import (
	"encoding/base64"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/savoryramp/savoryramp/internal/platform"
	"github.com/savoryramp/savoryramp/pkg/position"
)

func holder(key TokenKey, w platform.WorkspaceName, p position.Position) *Session {
	return &Session{
		server: &Server{TokenKey: key}, workspace: &platform.Workspace{Name: w},
		floors: map[platform.UpstreamName]floor{"receipts-1": {position: p, own: true}},
	}
}

func TestTokenOpensOnlyForItsWorkspaceAndKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := position.Position{Term: position.Term(rapid.Int64Range(1, 99).Draw(t, "term")), Offset: position.Offset(rapid.Int64Range(0, 1<<40).Draw(t, "offset"))}
		token := holder(TokenKey("k"), "amman", p).token()
		floors, err := TokenKey("k").open(token, "amman")
		assert.NilError(t, err)
		assert.Equal(t, floors["receipts-1"].position, p)
		_, err = TokenKey("k").open(token, "irbid")
		assert.Assert(t, isType(err, ErrToken))
		_, err = TokenKey("other").open(token, "amman")
		assert.Assert(t, isType(err, ErrToken))
		i := rapid.IntRange(0, len(token)-1).Draw(t, "at")
		forged := token[:i] + string(token[i]^1) + token[i+1:]
		if got, err := TokenKey("k").open(forged, "amman"); err == nil {
			assert.Equal(t, got["receipts-1"].position, p, "a changed token opened to another floor")
		}
	})
}

func FuzzToken(f *testing.F) {
	f.Add(holder(TokenKey("k"), "amman", position.Position{Term: 1, Offset: 2}).token())
	f.Add("")
	f.Add(".")
	f.Add(`{"workspace":"amman","floors":{"receipts-1":"1/2"}}`)
	f.Add(`{"workspace":"amman","floors":{"receipts-1":"-1/2"}}`)
	f.Fuzz(func(t *testing.T, token string) {
		k := TokenKey("k")
		_, _ = k.open(token, "amman")
		// Signed by the fleet's own key, any body is either refused or a floor.
		encode := base64.RawURLEncoding.EncodeToString
		floors, err := k.open(encode([]byte(token))+"."+encode(k.sign([]byte(token))), "amman")
		assert.Assert(t, err == nil || isType(err, ErrToken))
		for _, f := range floors {
			assert.Assert(t, f.own && f.position.Term >= 0 && f.position.Offset >= 0)
		}
	})
}
