package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"
	"github.com/savoryramp/savoryramp/pkg/placement"
)

// coldServer is this VM's part in sending to a server while that is cold.
type coldServer struct {
	mu     sync.Mutex
	sender placement.Sender
	// address is that of the VM that sends, empty if it is this one.
	address Address
	// counted is the number of requests that were sent, refused that of those that had to wait or were
	// refused.
	counted, refused int64
}

// coldLimit returns what a VM may send to a server, and false if it isn't limited.
func (g *Group) coldLimit(s Server) (placement.Limit, bool) {
	p := g.VM.Placement
	if p == nil || p.Sender == nil || !s.Cold && (p.DoubtsList == nil || !p.DoubtsList()) {
		return placement.Limit{}, false
	}
	settings := g.VM.service(g.Name)
	if settings == nil || settings.WarmupPerSecond <= 0 {
		return placement.Limit{}, false
	}
	return p.Warmup.Limit(settings.WarmupPerSecond), true
}

// updateSender determines which VM sends to a cold server.
func (g *Group) updateSender(s Server, m *member) {
	address, isSelf := g.VM.Placement.Sender(s)
	if isSelf {
		address = ""
	}
	m.pool.sendsCold.Store(isSelf)
	m.cold.mu.Lock()
	defer m.cold.mu.Unlock()
	m.cold.address = address
	m.cold.sender.Update(time.Duration(clock.Now()), isSelf)
}

// updateSenders determines which VMs send to the group's cold servers, so that this VM notices soon
// when it becomes one of them.
func (g *Group) updateSenders() {
	if g.VM.Placement == nil || g.VM.Placement.Sender == nil {
		return
	}
	for _, m := range g.sortedMembers() {
		s := g.listed(m)
		if _, limited := g.coldLimit(s); limited {
			g.updateSender(s, m)
			continue
		}
		m.pool.sendsCold.Store(false)
		m.cold.mu.Lock()
		m.cold.sender.Update(time.Duration(clock.Now()), false)
		m.cold.mu.Unlock()
	}
}

// listed returns a member's entry in the platform's list.
func (g *Group) listed(m *member) Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	return m.server
}

// coldSender returns the address of the VM that sends to a server, empty for this VM, and false if the
// server isn't limited.
func (g *Group) coldSender(m *member) (Address, bool) {
	s := g.listed(m)
	if _, limited := g.coldLimit(s); !limited {
		return "", false
	}
	g.updateSender(s, m)
	m.cold.mu.Lock()
	defer m.cold.mu.Unlock()
	return m.cold.address, true
}

// shareOf returns this VM's share of the connections to a server. The VM that sends to a cold server has
// all that the owners have otherwise.
func (g *Group) shareOf(s Server, p *Pool) Share {
	switch {
	case p.sendsCold.Load():
		n := max(g.VM.ownerConnectionLimit(g.Name), minConnections)
		return Share{n, n}
	case g.VM.PriorityScheduling:
		return g.VM.scheduledShare(g.Name, p)
	}
	return g.VM.share(g.Name, s)
}

// isForOthers reports whether a cold server should get no reads of this VM while others can run them:
// another VM sends to it, or there is no token. g.mu must be held.
func (g *Group) isForOthers(m *member) bool {
	limit, limited := g.coldLimit(m.server)
	if !limited {
		return false
	}
	m.cold.mu.Lock()
	defer m.cold.mu.Unlock()
	return m.cold.address != "" || m.cold.sender.Wait(time.Duration(clock.Now()), limit) > 0
}

// coldRetry is the pause between two attempts to send to a cold server while the VM that sends to it
// may be changing.
const coldRetry = time.Second

// checkOutCold checks out a connection to a cold server at the VM that sends to it. Unlike checkOut it
// uses no connection of this VM if that one can't be reached.
func (g *Group) checkOutCold(ctx context.Context, m *member, address Address, d demand, until time.Time) (*checkout, error) {
	id := m.pool.Server.ID
	if address == "" {
		return g.checkOutLocal(ctx, m, d, until)
	}
	link, err := g.VM.Relay.Open(ctx, address)
	if err != nil {
		return nil, ErrBusy.Wrap(err, "%s server %s is cold and the VM that sends to it can't be reached", retryAfterText(coldRetry), id)
	}
	return g.newCheckout(&remoteExecutor{link: link, group: g, server: id, demand: d}, id, false), nil
}

// admitCold takes the tokens of commands for a cold server. Statements of open transactions wait until
// there are some, other requests are refused.
func (g *Group) admitCold(c *Conn, commands []Command, until time.Time) error {
	g.mu.Lock()
	m := g.members[c.Server]
	g.mu.Unlock()
	if m == nil {
		return nil
	}
	s := g.listed(m)
	limit, limited := g.coldLimit(s)
	if !limited {
		return nil
	}
	for range countRequests(commands) {
		for {
			g.updateSender(s, m)
			m.cold.mu.Lock()
			wait := m.cold.sender.Take(time.Duration(clock.Now()), limit)
			if wait > 0 {
				m.cold.refused++
			} else {
				m.cold.counted++
			}
			m.cold.mu.Unlock()
			if wait == 0 {
				break
			}
			if c.inTransaction && time.Now().Add(wait).Before(until) {
				clock.Sleep(context.Background(), wait)
				continue
			}
			if c.inTransaction {
				return ErrNoServer.New("%s server %s is cold", retryAfterText(wait), s.ID)
			}
			return ErrBusy.New("%s server %s is cold", retryAfterText(wait), s.ID)
		}
	}
	return nil
}

// countRequests counts the commands that a cold server's limit is about: statements, and begins of
// transactions unless they only verify the primary, which takes no slot of the server.
func countRequests(commands []Command) int {
	n := 0
	for _, c := range commands {
		switch c.(type) {
		case Forward:
			n++
		case BeginAt:
			if len(commands) == 1 {
				n++
			}
		}
	}
	return n
}
