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

const serverContract = contract.Name("server/r1a")

// fakeServer counts the connections that are open from the server's point of view.
type fakeServer struct {
	mu      sync.Mutex
	open    int
	maxOpen int
}

func (s *fakeServer) addConnections(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open += n
	s.maxOpen = max(s.maxOpen, s.open)
}

// client opens and closes the connections of one incarnation of a VM, within its units.
type client struct {
	server *fakeServer
	units  *contract.Units
	linger time.Duration
	mu     sync.Mutex
	open   int
	dead   bool
}

// holdConnection acquires a unit and keeps a connection open for a duration. It reports
// whether the connection was opened.
func (c *client) holdConnection(duration time.Duration) bool {
	if c.units.Acquire(context.Background()) != nil {
		return false
	}
	c.mu.Lock()
	if c.dead {
		c.mu.Unlock()
		return false
	}
	c.open++
	c.server.addConnections(1)
	c.mu.Unlock()
	time.Sleep(duration)
	c.closeConnections(1)
	return true
}

// closeConnections closes up to n open connections.
func (c *client) closeConnections(n int) {
	c.mu.Lock()
	n = min(n, c.open)
	if c.dead {
		n = 0
	}
	c.open -= n
	c.server.addConnections(-n)
	c.mu.Unlock()
	for range n {
		c.units.Release()
	}
}

// closeExcess closes connections that exceed the units, until quit is closed.
func (c *client) closeExcess(quit chan struct{}) {
	for {
		select {
		case <-quit:
			return
		case <-c.units.ExcessNotify():
			c.closeConnections(int(c.units.Excess()))
		}
	}
}

// crash ends the client; its connections stay open at the server for linger.
func (c *client) crash() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dead = true
	remaining := c.open
	time.AfterFunc(c.linger, func() { c.server.addConnections(-remaining) })
}

// runConnections simulates a fleet that uses connections to one server, with faults. It
// returns the largest number open at once, and how many were acquired and refused.
func runConnections(seed uint64, size int, limit contract.Tokens, events []event) (maxOpen, acquired, refused int) {
	f := newFleet(seed, size, map[contract.Name]contract.Limit{serverContract: contract.Count{Total: limit}})
	f.linger = 2 * time.Second
	f.startAll(0)
	database := &fakeServer{}
	clients := make([]*client, size)
	quit := make(chan struct{})
	var work sync.WaitGroup
	startClient := func(i int) {
		u, _ := f.vms[i].shares.Units(serverContract)
		c := &client{server: database, units: u, linger: f.linger}
		clients[i] = c
		work.Go(func() { c.closeExcess(quit) })
	}
	for i := range size {
		startClient(i)
	}
	var mu sync.Mutex
	startConnection := func(d time.Duration) {
		i := f.random.IntN(2) // two of the VMs need more than their shares
		c := clients[i]
		work.Go(func() {
			held := c.holdConnection(d)
			mu.Lock()
			defer mu.Unlock()
			if held {
				acquired++
			} else {
				refused++
			}
		})
	}
	time.Sleep(2 * time.Second)
	for _, e := range events {
		for end := time.Now().Add(e.delay); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			f.mu.Lock()
			startConnection(time.Duration(f.random.IntN(600)) * time.Millisecond)
			f.mu.Unlock()
		}
		if e.kind == "start" {
			clients[e.vm].crash()
		}
		f.applyEvent(e)
		if e.kind == "start" {
			startClient(e.vm)
		}
	}
	time.Sleep(5 * time.Second)
	close(quit)
	work.Wait()
	f.stopAll()
	database.mu.Lock()
	defer database.mu.Unlock()
	return database.maxOpen, acquired, refused
}

func TestCountIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		size := rapid.IntRange(2, 5).Draw(r, "size")
		limit := contract.Tokens(rapid.IntRange(1, 30).Draw(r, "limit"))
		var events []event
		for range rapid.IntRange(1, 8).Draw(r, "happenings") {
			events = append(events, event{
				delay: time.Duration(rapid.IntRange(0, 6000).Draw(r, "after")) * time.Millisecond,
				kind:  rapid.SampledFrom([]string{"start", "start", "cut", "join", "outage", "heal", "lead", "quiet"}).Draw(r, "what"),
				vm:    rapid.IntRange(0, size-1).Draw(r, "vm"),
			})
		}
		maxOpen := 0
		synctest.Test(t, func(*testing.T) { maxOpen, _, _ = runConnections(seed, size, limit, events) })
		if maxOpen > int(limit) {
			r.Fatalf("%d connections were open, the limit is %d", maxOpen, limit)
		}
	})
}

func TestUnitsFollowDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		maxOpen, acquired, refused := runConnections(5, 4, 24, []event{{delay: 10 * time.Second, kind: "quiet"}})
		t.Logf("%d open at once, %d acquired, %d refused", maxOpen, acquired, refused)
		assert.Equal(t, refused, 0)
		assert.Assert(t, maxOpen > 12, "the shares of two VMs are 12 units together")
	})
}
