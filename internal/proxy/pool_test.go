package proxy

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"

	"gotest.tools/v3/assert"
)

func workspace(i int) *Workspace { return &Workspace{Name: WorkspaceName(fmt.Sprint("w", i))} }

// poolOfB returns the VM's connection pool to server b.
func (tb *testbed) poolOfB() *Pool { return tb.vm.group(testService).members["b"].pool }

// All callers reconnect at once, as after a restart of all VMs. The pool must not open more
// than maxOpening connections concurrently, and must not waste an attempt by abandoning it.
func TestReconnectStorm(t *testing.T) {
	runTest(t, func(tb *testbed) {
		awaitVerifiedPrimary()
		tb.mu.Lock()
		opened := tb.opened
		tb.peakOpening = 0
		tb.handshake = 100 * time.Millisecond
		tb.mu.Unlock()
		var tasks sync.WaitGroup
		for i := range 60 {
			tasks.Go(func() {
				c, err := tb.poolOfB().Acquire(tb.ctx, workspace(i%4), time.Now().Add(600*time.Millisecond))
				if err == nil {
					clock.Sleep(tb.ctx, 20*time.Millisecond)
					tb.poolOfB().Release(c, true, 20*time.Millisecond)
				}
			})
		}
		tasks.Wait()
		tb.mu.Lock()
		defer tb.mu.Unlock()
		assert.Assert(t, tb.peakOpening <= maxOpening, "%d connections opened concurrently", tb.peakOpening)
		assert.Assert(t, tb.opened-opened <= 8, "%d connections opened for four workspaces", tb.opened-opened)
	})
}

func TestPool(t *testing.T) {
	soon := func() time.Time { return time.Now().Add(500 * time.Millisecond) }
	tests := map[string]func(t *testing.T, tb *testbed, p *Pool){
		"a connection is reused by its workspace": func(t *testing.T, tb *testbed, p *Pool) {
			c, err := p.Acquire(tb.ctx, workspace(1), soon())
			assert.NilError(t, err)
			p.Release(c, true, time.Millisecond)
			again, err := p.Acquire(tb.ctx, workspace(1), soon())
			assert.NilError(t, err)
			assert.Equal(t, again, c)
			p.Release(again, false, time.Millisecond)
		},
		"a connection isn't reused by another workspace": func(t *testing.T, tb *testbed, p *Pool) {
			c, err := p.Acquire(tb.ctx, workspace(1), soon())
			assert.NilError(t, err)
			p.Release(c, true, time.Millisecond)
			other, err := p.Acquire(tb.ctx, workspace(2), soon())
			assert.NilError(t, err)
			assert.Equal(t, other.Workspace, workspace(2).Name)
			p.Release(other, false, time.Millisecond)
		},
		"the share is kept by closing a connection that was idle for long": func(t *testing.T, tb *testbed, p *Pool) {
			for i := range 12 {
				c, err := p.Acquire(tb.ctx, workspace(i), soon())
				assert.NilError(t, err)
				p.Release(c, true, time.Millisecond)
				clock.Sleep(tb.ctx, 2*minReassignIdle)
				tb.onServer("b", func(s *memServer) { assert.Assert(t, s.open <= 7, "%d open, including the one of the group", s.open) })
			}
		},
		"a workspace without connections gets one that another workspace releases": func(t *testing.T, tb *testbed, p *Pool) {
			var taken []*Conn
			for range 6 {
				c, err := p.Acquire(tb.ctx, workspace(1), soon())
				assert.NilError(t, err)
				taken = append(taken, c)
			}
			var tasks sync.WaitGroup
			var got error
			tasks.Go(func() {
				c, err := p.Acquire(tb.ctx, workspace(2), soon())
				got = err
				if err == nil {
					p.Release(c, false, time.Millisecond)
				}
			})
			clock.Sleep(tb.ctx, 100*time.Millisecond)
			for _, c := range taken {
				p.Release(c, true, 100*time.Millisecond)
			}
			tasks.Wait()
			assert.NilError(t, got)
		},
		"a server that refused a connection is tried again later": func(t *testing.T, tb *testbed, p *Pool) {
			tb.onServer("b", func(s *memServer) { s.limit = 1; s.open++ })
			_, err := p.Acquire(tb.ctx, workspace(1), soon())
			assert.Assert(t, isType(err, ErrRefused), "%v", err)
			tb.onServer("b", func(s *memServer) { s.limit = 0; s.open-- })
			clock.Sleep(tb.ctx, refusedBackoff)
			c, err := p.Acquire(tb.ctx, workspace(1), soon())
			assert.NilError(t, err)
			p.Release(c, false, time.Millisecond)
		},
		"a request whose estimated wait is too long is refused at once": func(t *testing.T, tb *testbed, p *Pool) {
			tb.setHandshake(300 * time.Millisecond)
			c, err := p.Acquire(tb.ctx, workspace(1), time.Now().Add(time.Second))
			assert.NilError(t, err)
			began := time.Now()
			_, err = p.Acquire(tb.ctx, workspace(2), time.Now().Add(10*time.Millisecond))
			assert.Assert(t, isType(err, ErrBusy), "%v", err)
			assert.Equal(t, time.Since(began), time.Duration(0))
			p.Release(c, false, time.Millisecond)
		},
		"opening a connection continues when its request gives up": func(t *testing.T, tb *testbed, p *Pool) {
			ctx, cancel := context.WithCancel(tb.ctx)
			tb.setHandshake(200 * time.Millisecond)
			time.AfterFunc(50*time.Millisecond, cancel)
			_, err := p.Acquire(ctx, workspace(1), soon())
			assert.Assert(t, isType(err, ErrBusy), "%v", err)
			clock.Sleep(tb.ctx, 200*time.Millisecond)
			assert.Assert(t, p.availability(workspace(1).Name).hasIdle)
		},
		"a connection that may not stay idle is closed on release": func(t *testing.T, tb *testbed, p *Pool) {
			p.Share = func() Share { return Share{MaxOpen: 1} }
			c, err := p.Acquire(tb.ctx, workspace(1), soon())
			assert.NilError(t, err)
			p.Release(c, true, time.Millisecond)
			assert.Equal(t, p.open, 0)
		},
		"closing the pool fails its waiters": func(t *testing.T, tb *testbed, p *Pool) {
			tb.setHandshake(200 * time.Millisecond)
			time.AfterFunc(50*time.Millisecond, p.Close)
			_, err := p.Acquire(tb.ctx, workspace(1), soon())
			assert.Assert(t, isType(err, ErrNoServer), "%v", err)
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runTest(t, func(tb *testbed) {
				awaitVerifiedPrimary()
				p := &Pool{Server: Server{ID: "b", Service: testService}, Connect: tb.connect, Share: func() Share { return Share{6, 6} }}
				test(t, tb, p)
				p.Close()
				p.Wait()
			})
		})
	}
}

func TestChoose(t *testing.T) {
	ready, slow := availability{hasIdle: true}, availability{wait: 50 * time.Millisecond}
	tests := map[string]struct {
		list []Candidate
		want ServerID
	}{
		"same zone before another zone":      {[]Candidate{{ID: "a", LatencyFactor: 1, Availability: ready}, {ID: "b", SameZone: true, LatencyFactor: 1, Availability: ready}}, "b"},
		"idle connection before same zone":   {[]Candidate{{ID: "a", LatencyFactor: 1, Availability: ready}, {ID: "b", SameZone: true, LatencyFactor: 1, Availability: slow}}, "a"},
		"replica before primary":             {[]Candidate{{ID: "a", IsPrimary: true, SameZone: true, LatencyFactor: 1, Availability: ready}, {ID: "b", SameZone: true, LatencyFactor: 1, Availability: ready}}, "b"},
		"primary before lagging replica":     {[]Candidate{{ID: "a", IsPrimary: true, LatencyFactor: 1, Availability: ready}, {ID: "b", SameZone: true, RecentlyLagged: true, LatencyFactor: 1, Availability: ready}}, "a"},
		"fast server before slow server":     {[]Candidate{{ID: "a", SameZone: true, LatencyFactor: 4, Availability: ready}, {ID: "b", LatencyFactor: 1, Availability: ready}}, "b"},
		"any server before one that failed":  {[]Candidate{{ID: "a", SameZone: true, RecentlyFailed: true, LatencyFactor: 1, Availability: ready}, {ID: "b", IsPrimary: true, RecentlyLagged: true, LatencyFactor: 3, Availability: slow}}, "b"},
		"failed server if there is no other": {[]Candidate{{ID: "a", RecentlyFailed: true, LatencyFactor: 1, Availability: ready}}, "a"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, found := ChooseServer(test.list, 20*time.Millisecond)
			assert.Assert(t, found)
			assert.Equal(t, got.ID, test.want)
		})
	}
}
