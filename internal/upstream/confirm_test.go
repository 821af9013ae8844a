package upstream_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// A commit that only the primary has must not be confirmed when its group ends or the
// primary is removed from the group.
func TestConfirmCountsOnlyMembers(t *testing.T) {
	for name, change := range map[string]func(r *testbed, v *testVM){
		"VM stops":         func(_ *testbed, v *testVM) { v.kill() },
		"upstream removed": func(r *testbed, _ *testVM) { r.setServers(nil) },
		"primary removed":  func(r *testbed, _ *testVM) { r.setServers(r.document.Upstreams[0].Servers[1:2]) },
		"no change":        func(*testbed, *testVM) {},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTestbed(nil)
				defer r.stop()
				v := r.startedVMs()[0]
				primary := r.primary()
				primary.Cut(true)
				done := make(chan write, 1)
				go func() { done <- r.write(v, "insert into kv values (1, 1)") }()
				time.Sleep(100 * time.Millisecond)
				assert.Equal(t, len(primary.Log()), 2)
				change(r, v)
				w := <-done
				assert.Equal(t, w.outcome, unknown, "%v", w.err)
			})
		})
	}
}
