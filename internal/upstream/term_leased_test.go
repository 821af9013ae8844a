package upstream_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/fakenet"
	"github.com/savoryramp/savoryramp/internal/fakeupstream"
	"github.com/savoryramp/savoryramp/internal/platform"
)

// TestRulesOfAcknowledgement cuts the primary from its replicas and from all VMs but one,
// which goes on writing to it. By either rule nothing is acknowledged by it once another has begun; only
// replica-confirmed also keeps all that was acknowledged before.
func TestAcknowledgeRulesOnPartition(t *testing.T) {
	for title, c := range map[string]struct {
		rule  platform.Acknowledge
		loses bool
	}{
		"replica-confirmed": {platform.ReplicaConfirmed, false},
		"term-leased":       {platform.TermLeased, true},
	} {
		t.Run(title, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTestbed(func(r *testbed) { r.acknowledge = c.rule })
				defer r.stop()
				ctx, stop := context.WithCancel(r.ctx)
				for i := range 3 {
					r.tasks.Go(func() { r.runClients(ctx, i, 200*time.Millisecond) })
				}
				time.Sleep(time.Second)
				old := r.primary()
				r.partition(old)
				old.Cut(true)
				time.Sleep(7 * time.Second)
				r.healAll()
				time.Sleep(time.Second)
				stop()
				time.Sleep(5 * time.Second)

				assert.Assert(t, r.primary() != old, "no other primary")
				first := r.firstAcknowledgedBy(platform.ServerName(r.primary().Name))
				last := r.lastAcknowledgedBy(platform.ServerName(old.Name))
				t.Logf("last acknowledged by the old primary %v before the first by the new", first.Sub(last))
				assert.Assert(t, last.Before(first), "the old primary acknowledged after the new")
				wrong := r.checkHistory()
				t.Log(wrong)
				assert.Equal(t, wrong != "", c.loses, wrong)
			})
		})
	}
}

// split leaves one VM with nothing but the primary and the table, and the others
// without the primary.
func (r *testbed) partition(primary *fakeupstream.Server) {
	isolated := (r.leaseHolder() + 1) % 3
	r.runningVMs()[isolated].setIsolated(true)
	for i, v := range r.runningVMs() {
		for _, s := range r.servers.Servers {
			if (s == primary) != (i == isolated) {
				r.network.Cut(fakenet.Host(v.name), fakenet.Host(s.Name))
			}
		}
	}
}

// firstOf is when a server's first write was acknowledged.
func (r *testbed) firstAcknowledgedBy(s platform.ServerName) (first time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.writes {
		if w.outcome == acknowledged && w.server == s && (first.IsZero() || w.end.Before(first)) {
			first = w.end
		}
	}
	return first
}

// lastOf is when a server's last write was acknowledged.
func (r *testbed) lastAcknowledgedBy(s platform.ServerName) (last time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.writes {
		if w.outcome == acknowledged && w.server == s && w.end.After(last) {
			last = w.end
		}
	}
	return last
}
