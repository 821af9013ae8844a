package upstream_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/fakeupstream"
)

// promotionSteps is more than the number of steps of a promotion: statements sent and
// answered, and calls to the table.
const promotionSteps = 16

// TestPausedPromoter pauses the promoting VM at each step of a promotion while the
// primary that it considered failed works again: clients write, and only the replica
// that isn't chosen receives the log. After the promotion resumes, no acknowledged
// write may be lost.
func TestPausedPromoter(t *testing.T) {
	t.Parallel()
	stride := 4
	if *seedCount > 1 {
		stride = 1
	}
	for step := 1; step <= promotionSteps; step += stride {
		t.Run(fmt.Sprint(step), func(t *testing.T) {
			var violation string
			acks := 0
			synctest.Test(t, func(*testing.T) {
				tb := newTestbed(nil)
				defer tb.stop()
				v := tb.startedVMs()[tb.leaseHolder()]
				v.gate.pauseAfter(step, 900*time.Millisecond)
				p := tb.primary()
				p.Freeze(true)
				for at := time.Now(); !v.gate.isShut() && time.Since(at) < 4*time.Second; {
					time.Sleep(time.Millisecond)
				}
				tb.servers.SetLink(p.Name, "b", fakeupstream.Link{Cut: true})
				p.Freeze(false)
				ctx, stop := context.WithCancel(tb.ctx)
				for c := range 3 {
					tb.tasks.Go(func() { tb.runClients(ctx, c, 100*time.Millisecond) })
				}
				time.Sleep(7 * time.Second)
				tb.servers.SetLink(p.Name, "b", fakeupstream.Link{})
				time.Sleep(3 * time.Second)
				stop()
				time.Sleep(5 * time.Second)
				violation = tb.checkHistory()
				for _, w := range tb.writes {
					if w.outcome == acknowledged {
						acks++
					}
				}
			})
			assert.Equal(t, violation, "")
			assert.Assert(t, acks > 0)
		})
	}
}

// A replaced primary that was fenced but never sent a follow statement, and whose log
// is longer than its successor's, must soon follow the successor.
func TestReplacedPrimaryWithLongerLogFollows(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		tb := newTestbed(nil)
		defer tb.stop()
		a, b, c := tb.servers.Servers[0], tb.servers.Servers[1], tb.servers.Servers[2]
		a.Cut(true)
		var writers sync.WaitGroup
		for i := range 20 {
			writers.Go(func() { tb.putUnique(tb.startedVMs()[i%3], i, 1) })
		}
		time.Sleep(500 * time.Millisecond)
		for _, s := range tb.servers.Servers {
			assert.NilError(t, s.Fence(9))
		}
		assert.NilError(t, b.Promote(tb.ctx, 9))
		assert.NilError(t, c.Follow(9, "b"))
		a.Cut(false)
		writers.Wait()
		time.Sleep(3 * time.Second)
		assert.Equal(t, a.Status().Received, b.Status().Received)
	})
}
