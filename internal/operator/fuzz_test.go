package operator

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/caller"
	"github.com/savoryramp/savoryramp/internal/platform"
)

// rowTable is a table that returns the same body for every key.
type rowTable []byte

func (r rowTable) Get(_ context.Context, key platform.RowKey) (platform.Row, error) {
	return platform.Row{Key: key, Version: 3, Change: "c", Body: r}, nil
}

func (r rowTable) Put(_ context.Context, row platform.Row) (platform.Row, error) { return row, nil }

func (r rowTable) List(ctx context.Context, prefix platform.RowKey) ([]platform.Row, error) {
	row, err := r.Get(ctx, prefix+"vm-1")
	return []platform.Row{row}, err
}

// FuzzTable decodes the same body as each kind of row that a VM reads. The row's version
// and change ID must come from the table, whatever the body contains.
func FuzzTable(f *testing.F) {
	f.Add([]byte(`{"version":9,"change":"x","holder":{"name":"vm-1","incarnation":"1"},"successor":{"name":"vm-2"}}`))
	f.Add([]byte(`{"version":9,"holders":[{"holder":{"vm":"vm-1","incarnation":1},"shares":{"rate":{"cap":2,"refill":1000000}}}]}`))
	f.Add([]byte(`{"changes":[{"version":3,"hash":"h","operator":"o","change":"c"}]}`))
	f.Add([]byte(`{"address":"10.0.0.1:6480","availability-zone":"a","state":"live"}`))
	f.Add([]byte(`{"key":"MDEyMzQ1Njc4OTAxMjM0NTY3ODkwMTIzNDU2Nzg5MDE="}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		ctx := context.Background()
		if row, err := (leaseRow{rowTable(body), "lease/x"}).Read(ctx); err == nil {
			assert.Assert(t, row.Version == 3 && row.ChangeID == "c")
		}
		if row, err := (contractRow{rowTable(body), "contract/x"}).Read(ctx); err == nil {
			assert.Equal(t, int64(row.Version), int64(3))
		}
		if list, err := (platform.VMRows{Table: rowTable(body)}).List(ctx); err == nil {
			assert.Equal(t, list[0].Name, platform.VMName("vm-1"))
		}
		if key, err := caller.LoadTokenKey(ctx, rowTable(body)); err == nil {
			assert.Equal(t, len(key), 32)
		}
		_, _ = platform.SubmittedBy(ctx, rowTable(body), 3)
	})
}
