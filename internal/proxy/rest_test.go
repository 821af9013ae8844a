package proxy

import (
	"testing"
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"

	"gotest.tools/v3/assert"
)

// beginTransaction opens a transaction on a connection of a pool.
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

// The callers of one workspace open as many transactions as the share allows connections and
// leave them idle. That must not block other workspaces, nor single statements of the same one.
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
		"the same workspace gets a connection for a statement": func(t *testing.T, tb *testbed, p *Pool, _ []*Conn) {
			c, err := p.Acquire(tb.ctx, workspace(1), time.Now().Add(100*time.Millisecond))
			assert.NilError(t, err)
			p.Release(c, true, time.Millisecond)
		},
		"further transactions of the workspace are refused until one times out": func(t *testing.T, tb *testbed, p *Pool, _ []*Conn) {
			clock.Sleep(tb.ctx, time.Second)
			_, err := tb.beginTransaction(t, p, workspace(1))
			assert.Assert(t, isType(err, ErrBusy), "%v", err)
			assert.ErrorContains(t, err, "retry-after-ms=1")
		},
		"transactions of another workspace are admitted": func(t *testing.T, tb *testbed, p *Pool, _ []*Conn) {
			c, err := tb.beginTransaction(t, p, workspace(2))
			assert.NilError(t, err)
			p.Release(c, false, 0)
		},
		"a transaction is admitted after another has ended": func(t *testing.T, tb *testbed, p *Pool, held []*Conn) {
			_, err := localExecutor{held[0]}.exec(nil, []Command{Abandon{}}, time.Now().Add(time.Second))
			assert.NilError(t, err)
			c, err := tb.beginTransaction(t, p, workspace(1))
			assert.NilError(t, err)
			p.Release(c, false, 0)
		},
		"connections beyond the share are closed after the transactions end": func(t *testing.T, tb *testbed, p *Pool, held []*Conn) {
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
