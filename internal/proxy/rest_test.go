package proxy

import (
	"testing"
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"

	"gotest.tools/v3/assert"
)

// begin opens a transaction on one of a pool's connections.
func (tb *testbed) beginTransaction(t *testing.T, p *Pool, w *Workspace) (*Conn, error) {
	t.Helper()
	c, err := p.Acquire(tb.ctx, w, time.Now().Add(500*time.Millisecond))
	assert.NilError(t, err)
	_, err = localExecutor{c}.exec(nil, []Command{BeginAt{}}, time.Now().Add(time.Second))
	if err != nil {
		p.Release(c, notSent(err), 0)
	}
	return c, err
}

// Idle transactions: callers of one workspace begin more transactions than there are
// connections and rest in them, for as long as they may.
func TestIdleTransactionsDontBlockOthers(t *testing.T) {
	const share, idle = 6, 3 * time.Second
	tests := map[string]func(t *testing.T, tb *testbed, p *Pool, held []*Conn){
		"another workspace gets a connection at once": func(t *testing.T, tb *testbed, p *Pool, _ []*Conn) {
			began := time.Now()
			c, err := p.Acquire(tb.ctx, workspace(2), began.Add(500*time.Millisecond))
			assert.NilError(t, err)
			assert.Assert(t, time.Since(began) < 50*time.Millisecond, "%s", time.Since(began))
			p.Release(c, true, time.Millisecond)
		},
		"so does the same one, for a statement": func(t *testing.T, tb *testbed, p *Pool, _ []*Conn) {
			c, err := p.Acquire(tb.ctx, workspace(1), time.Now().Add(100*time.Millisecond))
			assert.NilError(t, err)
			p.Release(c, true, time.Millisecond)
		},
		"its further transactions are refused with the time until one may end": func(t *testing.T, tb *testbed, p *Pool, _ []*Conn) {
			clock.Sleep(tb.ctx, time.Second)
			_, err := tb.beginTransaction(t, p, workspace(1))
			assert.Assert(t, isType(err, ErrBusy), "%v", err)
			assert.ErrorContains(t, err, "retry-after-ms=1")
		},
		"another workspace's transactions are not": func(t *testing.T, tb *testbed, p *Pool, _ []*Conn) {
			c, err := tb.beginTransaction(t, p, workspace(2))
			assert.NilError(t, err)
			p.Release(c, false, 0)
		},
		"once a caller goes on its place is free": func(t *testing.T, tb *testbed, p *Pool, held []*Conn) {
			_, err := localExecutor{held[0]}.exec(nil, []Command{Abandon{}}, time.Now().Add(time.Second))
			assert.NilError(t, err)
			c, err := tb.beginTransaction(t, p, workspace(1))
			assert.NilError(t, err)
			p.Release(c, false, 0)
		},
		"connections beyond the share end with the transactions": func(t *testing.T, tb *testbed, p *Pool, held []*Conn) {
			c, err := p.Acquire(tb.ctx, workspace(2), time.Now().Add(500*time.Millisecond))
			assert.NilError(t, err)
			for _, h := range held {
				_, err := localExecutor{h}.exec(nil, []Command{Abandon{}}, time.Now().Add(time.Second))
				assert.NilError(t, err)
				p.Release(h, true, time.Second)
			}
			p.Release(c, true, time.Millisecond)
			assert.Assert(t, p.open <= share, "%d open", p.open)
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runTest(t, func(tb *testbed) {
				awaitVerifiedPrimary()
				tb.promote("b")
				p := &Pool{
					Server: Server{ID: "b", Service: testService}, Connect: tb.connect,
					Share: func() Share { return Share{share, share} }, TransactionIdleTimeout: func() time.Duration { return idle },
				}
				var held []*Conn
				for range share {
					c, err := tb.beginTransaction(t, p, workspace(1))
					assert.NilError(t, err)
					held = append(held, c)
				}
				clock.Sleep(tb.ctx, longIdleThreshold)
				test(t, tb, p, held)
				p.Close()
				p.Wait()
			})
		})
	}
}
