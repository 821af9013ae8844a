package platform

import (
	"testing"

	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"gotest.tools/v3/assert"
)

// FuzzItem decodes arbitrary attributes of an item as the row "document".
func FuzzItem(f *testing.F) {
	f.Add("document", "3", "c", []byte(`{"changes":[{"version":3,"hash":"h","operator":"o","change":"c"}]}`))
	f.Add("document", "-1", "", []byte(`{"changes":[]}`))
	f.Add("", "1e3", "c", []byte(`null`))
	f.Fuzz(func(t *testing.T, key, version, change string, body []byte) {
		row, err := decodeRow(map[string]types.AttributeValue{
			AttributeKey: stringAttribute(key), AttributeVersion: &types.AttributeValueMemberN{Value: version},
			AttributeChange: stringAttribute(change), AttributeBody: &types.AttributeValueMemberB{Value: body},
		})
		if err != nil {
			return
		}
		a, err := decodeDocumentRow(row)
		if err != nil || row.Version == 0 {
			return
		}
		assert.Equal(t, a.newest().Version, DocumentVersion(row.Version))
		_, err = a.encodeWith(acceptedChange{Version: DocumentVersion(row.Version) + 1})
		assert.NilError(t, err)
		_, found := a.findVersion(DocumentVersion(row.Version))
		assert.Assert(t, found)
	})
}
