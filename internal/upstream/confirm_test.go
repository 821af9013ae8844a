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
	for name, change := range map[string]func(tb *testbed, v *testVM){
		"VM stops":         func(_ *testbed, v *testVM) { v.kill() },
		"upstream removed": func(tb *testbed, _ *testVM) { tb.setServers(nil) },
		"primary removed":  func(tb *testbed, _ *testVM) { tb.setServers(tb.document.Upstreams[0].Servers[1:2]) },
		"no change":        func(*testbed, *testVM) {},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tb := newTestbed(nil)
				defer tb.stop()
				v := tb.startedVMs()[0]
				primary := tb.primary()
				primary.Cut(true)
				done := make(chan write, 1)
				go func() { done <- tb.write(v, "insert into kv values (1, 1)") }()
				time.Sleep(100 * time.Millisecond)
				assert.Equal(t, len(primary.Log()), 2)
				change(tb, v)
				w := <-done
				assert.Equal(t, w.outcome, unknown, "%v", w.err)
			})
		})
	}
}
