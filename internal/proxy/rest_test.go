package proxy

import (
	"testing"
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"

	"gotest.tools/v3/assert"
)

// begin opens a transaction on one of a pool's connections.
func (r *rig) begin(t *testing.T, p *Pool, w *Workspace) (*Conn, error) {
	t.Helper()
	c, err := p.Take(r.ctx, w, time.Now().Add(500*time.Millisecond))
	assert.NilError(t, err)
	_, err = local{c}.exec(nil, []Command{BeginAt{}}, time.Now().Add(time.Second))
	if err != nil {
		p.Give(c, notSent(err), 0)
	}
	return c, err
}

// Idle transactions: callers of one workspace begin more transactions than there are
// connections and rest in them, for as long as they may.
func TestIdleTransactionsLeaveRoomForOthers(t *testing.T) {
	const share, idle = 6, 3 * time.Second
	tests := map[string]func(t *testing.T, r *rig, p *Pool, held []*Conn){
		"another workspace gets a connection at once": func(t *testing.T, r *rig, p *Pool, _ []*Conn) {
			began := time.Now()
			c, err := p.Take(r.ctx, workspace(2), began.Add(500*time.Millisecond))
			assert.NilError(t, err)
			assert.Assert(t, time.Since(began) < 50*time.Millisecond, "%s", time.Since(began))
			p.Give(c, true, time.Millisecond)
		},
		"so does the same one, for a statement": func(t *testing.T, r *rig, p *Pool, _ []*Conn) {
			c, err := p.Take(r.ctx, workspace(1), time.Now().Add(100*time.Millisecond))
			assert.NilError(t, err)
			p.Give(c, true, time.Millisecond)
		},
		"its further transactions are refused with the time until one may end": func(t *testing.T, r *rig, p *Pool, _ []*Conn) {
			clock.Sleep(r.ctx, time.Second)
			_, err := r.begin(t, p, workspace(1))
			assert.Assert(t, isType(err, ErrBusy), "%v", err)
			assert.ErrorContains(t, err, "retry-after-ms=1")
		},
		"another workspace's transactions are not": func(t *testing.T, r *rig, p *Pool, _ []*Conn) {
			c, err := r.begin(t, p, workspace(2))
			assert.NilError(t, err)
			p.Give(c, false, 0)
		},
		"once a caller goes on its place is free": func(t *testing.T, r *rig, p *Pool, held []*Conn) {
			_, err := local{held[0]}.exec(nil, []Command{Abandon{}}, time.Now().Add(time.Second))
			assert.NilError(t, err)
			c, err := r.begin(t, p, workspace(1))
			assert.NilError(t, err)
			p.Give(c, false, 0)
		},
		"connections beyond the share end with the transactions": func(t *testing.T, r *rig, p *Pool, held []*Conn) {
			c, err := p.Take(r.ctx, workspace(2), time.Now().Add(500*time.Millisecond))
			assert.NilError(t, err)
			for _, h := range held {
				_, err := local{h}.exec(nil, []Command{Abandon{}}, time.Now().Add(time.Second))
				assert.NilError(t, err)
				p.Give(h, true, time.Second)
			}
			p.Give(c, true, time.Millisecond)
			assert.Assert(t, p.open <= share, "%d open", p.open)
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			play(t, func(r *rig) {
				settle()
				r.promote("b")
				p := &Pool{
					Server: Server{ID: "b", Service: testService}, Connect: r.connect,
					Share: func() Share { return Share{share, share} }, TransactionIdle: func() time.Duration { return idle },
				}
				var held []*Conn
				for range share {
					c, err := r.begin(t, p, workspace(1))
					assert.NilError(t, err)
					held = append(held, c)
				}
				clock.Sleep(r.ctx, restsLong)
				test(t, r, p, held)
				p.Close()
				p.Wait()
			})
		})
	}
}
