package platform

import (
	"testing"

	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"gotest.tools/v3/assert"
)

// FuzzItem reads an item of the table as the row "document".
func FuzzItem(f *testing.F) {
	f.Add("document", "3", "c", []byte(`{"changes":[{"version":3,"hash":"h","operator":"o","change":"c"}]}`))
	f.Add("document", "-1", "", []byte(`{"changes":[]}`))
	f.Add("", "1e3", "c", []byte(`null`))
	f.Fuzz(func(t *testing.T, key, version, change string, body []byte) {
		row, err := itemRow(map[string]types.AttributeValue{
			AttributeKey: text(key), AttributeVersion: &types.AttributeValueMemberN{Value: version},
			AttributeChange: text(change), AttributeBody: &types.AttributeValueMemberB{Value: body},
		})
		if err != nil {
			return
		}
		a, err := readAccepted(row)
		if err != nil || row.Version == 0 {
			return
		}
		assert.Equal(t, a.newest().Version, DocumentVersion(row.Version))
		_, err = a.with(acceptedChange{Version: DocumentVersion(row.Version) + 1})
		assert.NilError(t, err)
		_, found := a.at(DocumentVersion(row.Version))
		assert.Assert(t, found)
	})
}
