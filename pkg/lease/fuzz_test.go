package lease_test

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/pkg/lease"
)

// FuzzAnswer checks that no request from a peer makes a member hold the lease, and that the
// version of its row never decreases.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte(`{"kind":"renew","from":{"name":"vm-1","incarnation":"1"},"row":{"version":1,"holder":{"name":"vm-1","incarnation":"1"},"successor":{"name":"vm-2","incarnation":"1"}}}`))
	f.Add([]byte(`{"kind":"release","row":{"version":3,"holder":{"name":"vm-2","incarnation":"1"}}}`))
	f.Add([]byte(`{"kind":"probe"}`))
	f.Add([]byte(`{"kind":1}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		l := &lease.Lease{Self: lease.Member{Name: "vm-2", Incarnation: "1"}}
		var r lease.Request
		if json.Unmarshal(body, &r) != nil {
			return
		}
		first := l.HandleRequest(r)
		second := l.HandleRequest(lease.Request{Kind: lease.Probe})
		assert.Assert(t, second.Row.Version >= first.Row.Version)
		_, held := l.Held()
		assert.Assert(t, !held)
		assert.Assert(t, !l.State().Held)
	})
}
