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

// TestAcknowledgeRulesOnPartition cuts the primary from its replicas and from all VMs
// but one, which continues to write to it. Under either acknowledge rule the old
// primary's writes are no longer acknowledged once a new primary acknowledges writes;
// only replica-confirmed also keeps all writes acknowledged before.
func TestAcknowledgeRulesOnPartition(t *testing.T) {
	for title, c := range map[string]struct {
		rule        platform.Acknowledge
		losesWrites bool
	}{
		"replica-confirmed": {platform.ReplicaConfirmed, false},
		"term-leased":       {platform.TermLeased, true},
	} {
		t.Run(title, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tb := newTestbed(func(tb *testbed) { tb.acknowledge = c.rule })
				defer tb.stop()
				ctx, stop := context.WithCancel(tb.ctx)
				for i := range 3 {
					tb.tasks.Go(func() { tb.runClients(ctx, i, 200*time.Millisecond) })
				}
				time.Sleep(time.Second)
				old := tb.primary()
				tb.partition(old)
				old.Cut(true)
				time.Sleep(7 * time.Second)
				tb.healAll()
				time.Sleep(time.Second)
				stop()
				time.Sleep(5 * time.Second)

				assert.Assert(t, tb.primary() != old, "the primary was not replaced")
				first := tb.firstAcknowledgedBy(platform.ServerName(tb.primary().Name))
				last := tb.lastAcknowledgedBy(platform.ServerName(old.Name))
				t.Logf("the old primary's last acknowledged write came %v before the new one's first", first.Sub(last))
				assert.Assert(t, last.Before(first), "the old primary's writes were acknowledged after the new one's")
				violation := tb.checkHistory()
				t.Log(violation)
				assert.Equal(t, violation != "", c.losesWrites, violation)
			})
		})
	}
}

// partition leaves one VM connected only to the primary and the table, and cuts the
// others from the primary.
func (tb *testbed) partition(primary *fakeupstream.Server) {
	isolated := (tb.leaseHolder() + 1) % 3
	tb.startedVMs()[isolated].setIsolated(true)
	for i, v := range tb.startedVMs() {
		for _, s := range tb.servers.Servers {
			if (s == primary) != (i == isolated) {
				tb.network.Cut(fakenet.Host(v.name), fakenet.Host(s.Name))
			}
		}
	}
}

// firstAcknowledgedBy returns when a server's first write was acknowledged.
func (tb *testbed) firstAcknowledgedBy(s platform.ServerName) (first time.Time) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, w := range tb.writes {
		if w.outcome == acknowledged && w.server == s && (first.IsZero() || w.end.Before(first)) {
			first = w.end
		}
	}
	return first
}

// lastAcknowledgedBy returns when a server's last write was acknowledged.
func (tb *testbed) lastAcknowledgedBy(s platform.ServerName) (last time.Time) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, w := range tb.writes {
		if w.outcome == acknowledged && w.server == s && w.end.After(last) {
			last = w.end
		}
	}
	return last
}
