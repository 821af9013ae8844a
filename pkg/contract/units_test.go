package contract_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/savoryramp/savoryramp/pkg/contract"
)

const server = contract.Name("server/r1a")

// fakeServer counts a server's connections as the server sees them.
type fakeServer struct {
	mu      sync.Mutex
	open    int
	maxOpen int
}

func (s *fakeServer) add(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open += n
	s.maxOpen = max(s.maxOpen, s.open)
}

// client opens and closes connections of one VM's life as its units allow.
type client struct {
	server *fakeServer
	units  *contract.Units
	linger time.Duration
	mu     sync.Mutex
	open   int
	dead   bool
}

func (c *client) openConnection(d time.Duration) bool {
	if c.units.Acquire(context.Background()) != nil {
		return false
	}
	c.mu.Lock()
	if c.dead {
		c.mu.Unlock()
		return false
	}
	c.open++
	c.server.add(1)
	c.mu.Unlock()
	time.Sleep(d)
	c.closeConnections(1)
	return true
}

// closeConnections closes connections that are still open.
func (c *client) closeConnections(n int) {
	c.mu.Lock()
	n = min(n, c.open)
	if c.dead {
		n = 0
	}
	c.open -= n
	c.server.add(-n)
	c.mu.Unlock()
	for range n {
		c.units.Release()
	}
}

// closeExcess closes what exceeds the units, until quit.
func (c *client) closeExcess(quit chan struct{}) {
	for {
		select {
		case <-quit:
			return
		case <-c.units.Shrunk():
			c.closeConnections(int(c.units.Excess()))
		}
	}
}

// die leaves the connections open at the server until it notices.
func (c *client) die() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dead = true
	left := c.open
	time.AfterFunc(c.linger, func() { c.server.add(-left) })
}

// runConnections lets a fleet use a server's connections under faults. It gives the most
// that were open at once, and how many were had and refused.
func runConnections(seed uint64, size int, limit contract.Tokens, events []event) (maxOpen, acquired, refused int) {
	f := newFleet(seed, size, map[contract.Name]contract.Limit{server: contract.Count{Total: limit}})
	f.linger = 2 * time.Second
	f.startAll(0)
	s := &fakeServer{}
	clients := make([]*client, size)
	quit := make(chan struct{})
	var work sync.WaitGroup
	begin := func(i int) {
		u, _ := f.vms[i].shares.Units(server)
		c := &client{server: s, units: u, linger: f.linger}
		clients[i] = c
		work.Go(func() { c.closeExcess(quit) })
	}
	for i := range size {
		begin(i)
	}
	var mu sync.Mutex
	ask := func(d time.Duration) {
		i := f.random.IntN(2) // two VMs need more than their shares
		c := clients[i]
		work.Go(func() {
			ok := c.openConnection(d)
			mu.Lock()
			defer mu.Unlock()
			if ok {
				acquired++
			} else {
				refused++
			}
		})
	}
	time.Sleep(2 * time.Second)
	for _, p := range events {
		for end := time.Now().Add(p.after); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			f.mu.Lock()
			ask(time.Duration(f.random.IntN(600)) * time.Millisecond)
			f.mu.Unlock()
		}
		if p.kind == "start" {
			clients[p.vm].die()
		}
		f.applyEvent(p)
		if p.kind == "start" {
			begin(p.vm)
		}
	}
	time.Sleep(5 * time.Second)
	close(quit)
	work.Wait()
	f.stopAll()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maxOpen, acquired, refused
}

func TestCountIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		size := rapid.IntRange(2, 5).Draw(r, "size")
		limit := contract.Tokens(rapid.IntRange(1, 30).Draw(r, "limit"))
		var happen []event
		for range rapid.IntRange(1, 8).Draw(r, "happenings") {
			happen = append(happen, event{
				after: time.Duration(rapid.IntRange(0, 6000).Draw(r, "after")) * time.Millisecond,
				kind:  rapid.SampledFrom([]string{"start", "start", "cut", "join", "outage", "heal", "lead", "quiet"}).Draw(r, "what"),
				vm:    rapid.IntRange(0, size-1).Draw(r, "vm"),
			})
		}
		most := 0
		synctest.Test(t, func(*testing.T) { most, _, _ = runConnections(seed, size, limit, happen) })
		if most > int(limit) {
			r.Fatalf("%d connections were open of %d", most, limit)
		}
	})
}

func TestUnitsFollowDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		most, had, refused := runConnections(5, 4, 24, []event{{after: 10 * time.Second, kind: "quiet"}})
		t.Logf("%d at once, %d had, %d refused", most, had, refused)
		assert.Equal(t, refused, 0)
		assert.Assert(t, most > 12, "two VMs' own shares are 12 together")
	})
}
