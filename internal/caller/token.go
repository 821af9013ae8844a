package caller

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strings"

	"github.com/savoryramp/savoryramp/internal/platform"
	"github.com/savoryramp/savoryramp/pkg/position"
)

const (
	// maxTokenSize limits the text of a token, in bytes.
	maxTokenSize = 4096
	// maxTokenFloors limits the groups in a token.
	maxTokenFloors = 32
)

// TokenKey signs session tokens. All VMs have the same one.
type TokenKey []byte

// floor is the log position that a server must have reached to serve the session's
// reads.
type floor struct {
	position position.Position
	// fromOwnWrite is set if the floor comes from the session's acknowledged writes.
	// Other floors were queried from the group, and may be lowered to the position that
	// survived a promotion.
	fromOwnWrite bool
}

// sessionToken returns the session's floors as a signed token, "" without a token key
// or floors.
func (s *Session) sessionToken() string {
	if len(s.server.TokenKey) == 0 || len(s.floors) == 0 {
		return ""
	}
	floors := map[platform.UpstreamName]string{}
	for name, f := range s.floors {
		if f.fromOwnWrite {
			floors[name] = f.position.String()
		}
	}
	if len(floors) == 0 || len(floors) > maxTokenFloors {
		return ""
	}
	body, _ := json.Marshal(struct {
		Workspace platform.WorkspaceName           `json:"workspace"`
		Floors    map[platform.UpstreamName]string `json:"floors"`
	}{s.workspace.Name, floors})
	return base64.RawURLEncoding.EncodeToString(body) + "." + base64.RawURLEncoding.EncodeToString(s.server.TokenKey.sign(body))
}

func (k TokenKey) sign(body []byte) []byte {
	mac := hmac.New(sha256.New, k)
	mac.Write(body)
	return mac.Sum(nil)
}

// verifyToken verifies a token of a workspace and returns its floors, or
// ErrInvalidToken.
func (k TokenKey) verifyToken(token string, workspace platform.WorkspaceName) (map[platform.UpstreamName]floor, error) {
	if len(k) == 0 || len(token) > maxTokenSize {
		return nil, ErrInvalidToken.New("token can't be verified")
	}
	encodedBody, encodedSignature, _ := strings.Cut(token, ".")
	body, errBody := base64.RawURLEncoding.DecodeString(encodedBody)
	signature, errSignature := base64.RawURLEncoding.DecodeString(encodedSignature)
	if errBody != nil || errSignature != nil || !hmac.Equal(signature, k.sign(body)) {
		return nil, ErrInvalidToken.New("token's signature is wrong")
	}
	var content struct {
		Workspace platform.WorkspaceName           `json:"workspace"`
		Floors    map[platform.UpstreamName]string `json:"floors"`
	}
	if err := json.Unmarshal(body, &content); err != nil {
		return nil, ErrInvalidToken.Wrap(err, "token's body")
	}
	if content.Workspace != workspace {
		return nil, ErrInvalidToken.New("token belongs to another workspace")
	}
	floors := map[platform.UpstreamName]floor{}
	for name, text := range content.Floors {
		p, err := position.Parse(text)
		if err != nil {
			return nil, ErrInvalidToken.Wrap(err, "token's floor")
		}
		floors[name] = floor{position: p, fromOwnWrite: true}
	}
	return floors, nil
}
