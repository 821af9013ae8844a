package upstream_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestCommitIsConfirmedByMembersOnly: a commit that only the primary has waits for a
// replica while its group ends, or the primary is no longer in it.
func TestCommitIsConfirmedByMembersOnly(t *testing.T) {
	for name, change := range map[string]func(r *rig, v *vm){
		"the VM ends":           func(_ *rig, v *vm) { v.kill() },
		"the upstream goes":     func(r *rig, _ *vm) { r.serve(nil) },
		"the primary goes":      func(r *rig, _ *vm) { r.serve(r.document.Upstreams[0].Servers[1:2]) },
		"nothing of it changes": func(*rig, *vm) {},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(nil)
				defer r.stop()
				v := r.list()[0]
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
