package proxy

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/pkg/quota"
)

// between is a relay from one VM of the rig to another, without a network.
type between struct {
	home *VM
	mu   sync.Mutex
	// on is true once the home is to be used.
	on bool
	// unreached ways can't be opened, lost ones lose the answer of what ran.
	unreached, lost bool
	opened          int
}

func (b *between) Home(Server, WorkspaceName, int) (Address, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return "home", !b.on
}

func (b *between) Open(ctx context.Context, _ Address) (RemoteLink, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.unreached {
		return nil, ErrUnreached.New("home is down")
	}
	b.opened++
	return &way{between: b, ctx: ctx, guest: Guest{VM: b.home}}, nil
}

type way struct {
	between *between
	ctx     context.Context
	guest   Guest
}

func (w *way) Exec(b Batch, _ time.Time) ([]Answer, error) {
	answers, err := w.guest.Exec(w.ctx, b)
	w.between.mu.Lock()
	defer w.between.mu.Unlock()
	if w.between.lost {
		return nil, ErrPeer.New("home doesn't answer")
	}
	return answers, err
}

func (w *way) Give(keep bool) {
	if !keep {
		w.guest.Close()
	}
}

// relayed has the rig's VM reach its servers over another VM's connections.
func (r *rig) relayed() *between {
	home := &VM{Name: "home", Zone: "a", Connect: r.connect, Fleet: solo{1}, Logger: r.vm.Logger}
	home.List(r.vm.servers)
	home.Configure(testConfiguration(1), "test")
	r.tasks.Go(func() { _ = home.Run(r.ctx) })
	settle()
	r.between.mu.Lock()
	defer r.between.mu.Unlock()
	r.between.home, r.between.on = home, true
	return r.between
}

func TestRelayed(t *testing.T) {
	tests := map[string]func(t *testing.T, r *rig, b *between){
		"statements and transactions run, on the home's connections": func(t *testing.T, r *rig, b *between) {
			c := r.call(testDatabase)
			assert.Equal(t, c.do(Set{"lang", "ar"}).Failure, NoFailure)
			assert.Equal(t, c.do(Prepare{"s", Plan{Shape: "q"}}).Failure, NoFailure)
			for _, s := range []Statement{write("1"), read("1"), Execute{"s", "1"}, Begin{}, write("2"), read("2"), Commit{}} {
				a := c.do(s)
				assert.Equal(t, a.Failure, NoFailure, "%T: %s", s, a.Detail)
			}
			assert.Equal(t, r.runs("EXECUTE q 1"), 1)
			assert.Equal(t, r.runs("COMMIT"), 1)
			b.mu.Lock()
			assert.Assert(t, b.opened > 0)
			b.mu.Unlock()
			c.Close()
		},
		"a caller that leaves has its transaction rolled back there": func(t *testing.T, r *rig, _ *between) {
			c := r.call(testDatabase)
			assert.Equal(t, c.do(Begin{}).Failure, NoFailure)
			assert.Equal(t, c.do(write("1")).Failure, NoFailure)
			c.Close()
			settle()
			next := r.call(testDatabase)
			assert.Equal(t, next.do(write("2")).Failure, NoFailure)
			assert.Equal(t, r.runs("COMMIT"), 0)
			next.Close()
		},
		"a home that can't be reached is passed by": func(t *testing.T, r *rig, b *between) {
			b.mu.Lock()
			b.unreached = true
			b.mu.Unlock()
			c := r.call(testDatabase)
			assert.Equal(t, c.do(write("1")).Failure, NoFailure)
			assert.Equal(t, c.do(read("1")).Failure, NoFailure)
			c.Close()
		},
		"a home that falls silent leaves a write in doubt, run once": func(t *testing.T, r *rig, b *between) {
			c := r.call(testDatabase)
			b.mu.Lock()
			b.lost = true
			b.mu.Unlock()
			assert.Equal(t, c.do(write("1")).Failure, InDoubt)
			assert.Equal(t, r.runs("WRITE 1 x"), 1)
			c.Close()
		},
		"what a home meets is no evidence against the primary": func(t *testing.T, r *rig, b *between) {
			b.mu.Lock()
			b.lost = true
			b.mu.Unlock()
			c := r.call(testDatabase)
			for range 5 {
				c.do(write("1"))
			}
			assert.Assert(t, !r.vm.group(testService).opinion().Failing)
			c.Close()
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			play(t, func(r *rig) { test(t, r, r.relayed()) })
		})
	}
}

// A home that drains lets other VMs' transactions end.
func TestDrainWaitsForGuests(t *testing.T) {
	play(t, func(r *rig) {
		b := r.relayed()
		c := r.call(testDatabase)
		assert.Equal(t, c.do(Begin{}).Failure, NoFailure)
		assert.Equal(t, c.do(write("1")).Failure, NoFailure)
		done := make(chan bool)
		go func() {
			b.home.Drain(r.ctx, 5*time.Second)
			close(done)
		}()
		clock.Sleep(r.ctx, lingerFor+4*drainTick)
		select {
		case <-done:
			t.Error("the drain ended before the transaction")
		default:
		}
		assert.Equal(t, c.do(Rollback{}).Failure, NoFailure)
		<-done
		c.Close()
	})
}

// A transaction whose connection at the home is gone doesn't go on with another.
func TestGuestDoesNotGoOnElsewhere(t *testing.T) {
	play(t, func(r *rig) {
		settle()
		g := Guest{VM: r.vm}
		p := newProfile()
		b := Batch{Service: testService, Server: "a", Workspace: "amman", Within: time.Second, Profiled: true, Values: p.values}
		begin, write := b, b
		begin.Commands = []Command{BeginAt{}}
		write.Commands, write.Open = []Command{Forward{ID: "1", Statement: Write{Text: "WRITE 1 x"}}}, true
		_, err := g.Exec(r.ctx, begin)
		assert.NilError(t, err)
		r.on("a", func(s *memServer) { s.fault = onText("WRITE 1 x", breakBefore) })
		_, err = g.Exec(r.ctx, write)
		assert.Assert(t, isType(err, ErrBroken), "%v", err)
		_, err = g.Exec(r.ctx, write)
		assert.Assert(t, isType(err, ErrBroken), "%v", err)
		assert.Equal(t, r.runs("WRITE 1 x"), 0)
		g.Close()
	})
}

// homes deals workspaces out over VMs by number.
type homes struct {
	between
	vms, own int
}

func (h *homes) Home(_ Server, w WorkspaceName, _ int) (Address, bool) {
	return "", int(w[len(w)-1]-'0')%h.vms == h.own
}

// All VMs lose power and come back at once: a server still has their old connections, and
// must have room for as many new ones.
func TestSharesLeaveRoomAfterPowerLoss(t *testing.T) {
	for name, test := range map[string]struct{ limit, vms int }{"Ataa": {23, 3}, "Druckkonto": {34, 3}, "one VM": {10, 1}} {
		t.Run(name, func(t *testing.T) {
			c := testConfiguration(1)
			c.Services[testService].Connections = test.limit
			for i := range 9 {
				w := &Workspace{Name: WorkspaceName(fmt.Sprint("w", i))}
				c.Workspaces[w.Name] = w
			}
			sum := 0
			for own := range test.vms {
				limiter := &quota.Limiter{Now: func() time.Duration { return time.Hour }, Size: func() int { return 1 }}
				for i := range 9 {
					for range i * 10 {
						limiter.Admit(fmt.Sprint("w", i), 1000, 1000)
					}
				}
				vm := &VM{Relay: &homes{vms: test.vms, own: own}, Quota: limiter, Fleet: solo{test.vms}, Logger: log.NewNopLogger()}
				delete(c.Workspaces, "amman")
				vm.Configure(c, "test")
				sum += vm.countShare(testService, Server{ID: "a", Service: testService}).Open
			}
			assert.Assert(t, 2*sum <= test.limit, "%d of %d are dealt out", sum, test.limit)
		})
	}
}

// lone is a VM of a large fleet that neither settles nor proves.
type lone struct {
	size    int
	settled bool
}

func (f lone) Size() int             { return f.size }
func (lone) Rank() int               { return 0 }
func (f lone) Settled() bool         { return f.settled }
func (lone) Proves(ServiceName) bool { return false }

// More VMs than a server takes connections, killed and started all at once: what each of
// them keeps open has to leave the homes theirs.
func TestSharesOfALargeFleetLeaveRoom(t *testing.T) {
	const limit, vms = 62, 89
	for name, test := range map[string]struct {
		settled bool
		own     int
		want    Share
	}{
		"the only home":                         {true, 0, Share{27, 27}},
		"no home, which may go round one":       {true, 1, Share{1, 0}},
		"a VM that hasn't heard the others yet": {false, 0, Share{1, 1}},
	} {
		t.Run(name, func(t *testing.T) {
			limiter := &quota.Limiter{Now: func() time.Duration { return time.Hour }, Size: func() int { return vms }}
			vm := &VM{Relay: &homes{vms: vms, own: test.own}, Quota: limiter, Fleet: lone{vms, test.settled}, Logger: log.NewNopLogger()}
			c := testConfiguration(1)
			c.Services[testService].Connections = limit
			c.Workspaces = map[WorkspaceName]*Workspace{"w0": {Name: "w0"}}
			vm.Configure(c, "test")
			assert.Equal(t, vm.countShare(testService, Server{ID: "a", Service: testService}), test.want)
		})
	}
}

func TestEvenShare(t *testing.T) {
	for name, test := range map[string]struct{ limit, size, most int }{
		"more connections than VMs": {23, 9, 23},
		"as many":                   {9, 9, 9},
		"fewer":                     {5, 9, 9},
	} {
		t.Run(name, func(t *testing.T) {
			sum := 0
			for rank := range test.size {
				n := evenShare(test.limit, test.size, rank, "i-1")
				assert.Assert(t, n >= ownConnections)
				sum += n
			}
			assert.Equal(t, sum, test.most)
		})
	}
}

// A batch without commands, which no VM of this build sends, ends nothing but itself.
func TestEmptyBatch(t *testing.T) {
	play(t, func(r *rig) {
		settle()
		g := Guest{VM: r.vm}
		answers, err := g.Exec(r.ctx, Batch{Service: testService, Server: "a", Workspace: "amman", Within: time.Second})
		assert.NilError(t, err)
		assert.Equal(t, len(answers), 0)
		g.Close()
	})
}
