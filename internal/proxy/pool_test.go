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

// pool gives the pool of server b.
func (r *rig) pool() *Pool { return r.vm.group(testService).members["b"].pool }

// All callers at once, as after all VMs were killed: the server isn't asked for more
// connections at a time than maxOpening, and nobody's attempt is thrown away.
func TestAllCallersComeBackAtOnce(t *testing.T) {
	play(t, func(r *rig) {
		settle()
		r.mu.Lock()
		opened := r.opened
		r.mostOpening = 0
		r.handshake = 100 * time.Millisecond
		r.mu.Unlock()
		var tasks sync.WaitGroup
		for i := range 60 {
			tasks.Go(func() {
				c, err := r.pool().Take(r.ctx, workspace(i%4), time.Now().Add(600*time.Millisecond))
				if err == nil {
					clock.Sleep(r.ctx, 20*time.Millisecond)
					r.pool().Give(c, true, 20*time.Millisecond)
				}
			})
		}
		tasks.Wait()
		r.mu.Lock()
		defer r.mu.Unlock()
		assert.Assert(t, r.mostOpening <= maxOpening, "%d opened at once", r.mostOpening)
		assert.Assert(t, r.opened-opened <= 8, "%d connections opened for four workspaces", r.opened-opened)
	})
}

func TestPool(t *testing.T) {
	soon := func() time.Time { return time.Now().Add(500 * time.Millisecond) }
	tests := map[string]func(t *testing.T, r *rig, p *Pool){
		"a connection is used again by its workspace": func(t *testing.T, r *rig, p *Pool) {
			c, err := p.Take(r.ctx, workspace(1), soon())
			assert.NilError(t, err)
			p.Give(c, true, time.Millisecond)
			again, err := p.Take(r.ctx, workspace(1), soon())
			assert.NilError(t, err)
			assert.Equal(t, again, c)
			p.Give(again, false, time.Millisecond)
		},
		"never by another": func(t *testing.T, r *rig, p *Pool) {
			c, err := p.Take(r.ctx, workspace(1), soon())
			assert.NilError(t, err)
			p.Give(c, true, time.Millisecond)
			other, err := p.Take(r.ctx, workspace(2), soon())
			assert.NilError(t, err)
			assert.Equal(t, other.Workspace, workspace(2).Name)
			p.Give(other, false, time.Millisecond)
		},
		"the share is kept, and a rested connection makes room": func(t *testing.T, r *rig, p *Pool) {
			for i := range 12 {
				c, err := p.Take(r.ctx, workspace(i), soon())
				assert.NilError(t, err)
				p.Give(c, true, time.Millisecond)
				clock.Sleep(r.ctx, 2*restLeast)
				r.on("b", func(s *memServer) { assert.Assert(t, s.open <= 7, "%d open, one of them the group's own", s.open) })
			}
		},
		"a workspace without any gets a place from those in use": func(t *testing.T, r *rig, p *Pool) {
			var taken []*Conn
			for range 6 {
				c, err := p.Take(r.ctx, workspace(1), soon())
				assert.NilError(t, err)
				taken = append(taken, c)
			}
			var tasks sync.WaitGroup
			var got error
			tasks.Go(func() {
				c, err := p.Take(r.ctx, workspace(2), soon())
				got = err
				if err == nil {
					p.Give(c, false, time.Millisecond)
				}
			})
			clock.Sleep(r.ctx, 100*time.Millisecond)
			for _, c := range taken {
				p.Give(c, true, 100*time.Millisecond)
			}
			tasks.Wait()
			assert.NilError(t, got)
		},
		"a full server is asked again later": func(t *testing.T, r *rig, p *Pool) {
			r.on("b", func(s *memServer) { s.limit = 1; s.open++ })
			_, err := p.Take(r.ctx, workspace(1), soon())
			assert.Assert(t, isType(err, ErrRefused), "%v", err)
			r.on("b", func(s *memServer) { s.limit = 0; s.open-- })
			clock.Sleep(r.ctx, refusedPause)
			c, err := p.Take(r.ctx, workspace(1), soon())
			assert.NilError(t, err)
			p.Give(c, false, time.Millisecond)
		},
		"too long a wait is refused at once": func(t *testing.T, r *rig, p *Pool) {
			r.opensIn(300 * time.Millisecond)
			c, err := p.Take(r.ctx, workspace(1), time.Now().Add(time.Second))
			assert.NilError(t, err)
			began := time.Now()
			_, err = p.Take(r.ctx, workspace(2), time.Now().Add(10*time.Millisecond))
			assert.Assert(t, isType(err, ErrBusy), "%v", err)
			assert.Equal(t, time.Since(began), time.Duration(0))
			p.Give(c, false, time.Millisecond)
		},
		"an attempt goes on when its request gives up": func(t *testing.T, r *rig, p *Pool) {
			ctx, cancel := context.WithCancel(r.ctx)
			r.opensIn(200 * time.Millisecond)
			time.AfterFunc(50*time.Millisecond, cancel)
			_, err := p.Take(ctx, workspace(1), soon())
			assert.Assert(t, isType(err, ErrBusy), "%v", err)
			clock.Sleep(r.ctx, 200*time.Millisecond)
			assert.Assert(t, p.outlook(workspace(1).Name).ready)
		},
		"a connection that may not rest ends as it is given back": func(t *testing.T, r *rig, p *Pool) {
			p.Share = func() Share { return Share{Open: 1} }
			c, err := p.Take(r.ctx, workspace(1), soon())
			assert.NilError(t, err)
			p.Give(c, true, time.Millisecond)
			assert.Equal(t, p.open, 0)
		},
		"a closed pool sends those who wait away": func(t *testing.T, r *rig, p *Pool) {
			r.opensIn(200 * time.Millisecond)
			time.AfterFunc(50*time.Millisecond, p.Close)
			_, err := p.Take(r.ctx, workspace(1), soon())
			assert.Assert(t, isType(err, ErrNoServer), "%v", err)
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			play(t, func(r *rig) {
				settle()
				p := &Pool{Server: Server{ID: "b", Service: testService}, Connect: r.connect, Share: func() Share { return Share{6, 6} }}
				test(t, r, p)
				p.Close()
				p.Wait()
			})
		})
	}
}

func TestChoose(t *testing.T) {
	ready, slow := outlook{ready: true}, outlook{wait: 50 * time.Millisecond}
	tests := map[string]struct {
		list []Candidate
		want ServerID
	}{
		"near before far":                        {[]Candidate{{ID: "a", Factor: 1, Outlook: ready}, {ID: "b", Near: true, Factor: 1, Outlook: ready}}, "b"},
		"a connection at hand before near":       {[]Candidate{{ID: "a", Factor: 1, Outlook: ready}, {ID: "b", Near: true, Factor: 1, Outlook: slow}}, "a"},
		"a replica before the primary":           {[]Candidate{{ID: "a", Lead: true, Near: true, Factor: 1, Outlook: ready}, {ID: "b", Near: true, Factor: 1, Outlook: ready}}, "b"},
		"the primary before a replica that lags": {[]Candidate{{ID: "a", Lead: true, Factor: 1, Outlook: ready}, {ID: "b", Near: true, Behind: true, Factor: 1, Outlook: ready}}, "a"},
		"a quick server before a slow one":       {[]Candidate{{ID: "a", Near: true, Factor: 4, Outlook: ready}, {ID: "b", Factor: 1, Outlook: ready}}, "b"},
		"any before one that failed":             {[]Candidate{{ID: "a", Near: true, Avoid: true, Factor: 1, Outlook: ready}, {ID: "b", Lead: true, Behind: true, Factor: 3, Outlook: slow}}, "b"},
		"one that failed before none":            {[]Candidate{{ID: "a", Avoid: true, Factor: 1, Outlook: ready}}, "a"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, found := Choose(test.list, 20*time.Millisecond)
			assert.Assert(t, found)
			assert.Equal(t, got.ID, test.want)
		})
	}
}
