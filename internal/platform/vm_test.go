package platform

import (
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// listedRows is a table whose List returns rows.
type listedRows struct {
	Table
	rows []Row
}

func (l listedRows) List(context.Context, RowKey) ([]Row, error) { return l.rows, nil }

// TestMalformedVM guards against a VM that no longer follows the list of VMs because one entry, which
// another writer left, can't be decoded. The VM of that entry doesn't count as missing.
func TestMalformedVM(t *testing.T) {
	tests := map[string]string{
		"empty":             "",
		"not JSON":          "\xff{",
		"deeply nested":     strings.Repeat("[", 30_000) + strings.Repeat("]", 30_000),
		"number too large":  `{"address":1e999,"availability-zone":"a","state":"live"}`,
		"port out of range": `{"address":"10.0.0.1:65536","availability-zone":"a","state":"live"}`,
		"no port":           `{"address":"10.0.0.1","availability-zone":"a","state":"live"}`,
		"another state":     `{"address":"10.0.0.1:6480","availability-zone":"a","state":"asleep"}`,
	}
	good := Row{Key: "vm/vm-2", Body: []byte(`{"address":"10.0.0.2:6480","availability-zone":"a","state":"live"}`)}
	for name, body := range tests {
		t.Run(name, func(t *testing.T) {
			list, err := VMRows{Table: listedRows{rows: []Row{{Key: "vm/vm-1", Body: []byte(body)}, good}}}.List(t.Context())
			assert.NilError(t, err)
			assert.DeepEqual(t, list, []VM{{Name: "vm-1"}, {Name: "vm-2", Address: "10.0.0.2:6480", AvailabilityZone: "a", State: VMLive}})
			assert.Check(t, list[0].IsMalformed() && !list[1].IsMalformed())
		})
	}
}
