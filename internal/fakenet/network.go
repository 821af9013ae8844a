// Package fakenet is a network in memory for tests under testing/synctest: hosts,
// links with delay, cuts, and connections that go silent.
package fakenet

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/joomcode/errorx"
)

// Host names one machine of the network.
type Host string

var (
	errs = errorx.NewNamespace("fakenet")
	// ErrRefused means that nobody listens at the address.
	ErrRefused = errs.NewType("refused")
	// ErrInUse means that the address is taken.
	ErrInUse = errs.NewType("in-use")
	// ErrUnreachable means that the link to the address is cut.
	ErrUnreachable = errs.NewType("unreachable")
)

// Network joins hosts by links. Use New.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*Listener
	links     map[link]*state
	conns     map[*Conn]bool
}

// link is a pair of hosts, in alphabetical order.
type link [2]Host

type state struct {
	cut   bool
	delay time.Duration
}

// New makes a network without delays.
func New() *Network {
	return &Network{listeners: map[string]*Listener{}, links: map[link]*state{}, conns: map[*Conn]bool{}}
}

// Listen opens an address on a host.
func (n *Network) Listen(h Host, address string) (*Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, ErrInUse.New("address %s is in use", address)
	}
	l := &Listener{network: n, host: h, address: address, queue: make(chan *Conn, 1024), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Dialer gives a host's dial function.
func (n *Network) Dialer(from Host) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		return n.dial(ctx, from, address)
	}
}

func (n *Network) dial(ctx context.Context, from Host, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	if l == nil {
		n.mu.Unlock()
		return nil, ErrRefused.New("connection to %s refused", address)
	}
	s := *n.state(from, l.host)
	if s.cut {
		n.mu.Unlock()
		<-ctx.Done()
		return nil, ErrUnreachable.Wrap(ctx.Err(), "no way from %s to %s", from, l.host)
	}
	near, far := n.pair(from, l.host, address)
	n.mu.Unlock()
	select {
	case <-time.After(2 * s.delay):
	case <-ctx.Done():
		near.Close()
		return nil, ErrUnreachable.Wrap(ctx.Err(), "dial to %s", address)
	}
	select {
	case l.queue <- far:
		select {
		case <-l.closed:
			l.drain()
		default:
		}
		return near, nil
	case <-l.closed:
		near.Close()
		return nil, ErrRefused.New("connection to %s refused", address)
	}
}

// pair makes the two ends of a connection; n.mu is held.
func (n *Network) pair(from, to Host, address string) (near, far *Conn) {
	out, back := newStream(), newStream()
	near = &Conn{network: n, from: from, to: to, local: addr(from), remote: addr(address), in: back, out: out}
	far = &Conn{network: n, from: to, to: from, local: addr(address), remote: addr(from), in: out, out: back}
	n.conns[near], n.conns[far] = true, true
	return near, far
}

// state of the link between two hosts; n.mu is held.
func (n *Network) state(a, b Host) *state {
	if a > b {
		a, b = b, a
	}
	s := n.links[link{a, b}]
	if s == nil {
		s = &state{}
		n.links[link{a, b}] = s
	}
	return s
}

// Cut drops everything sent between two hosts from now on, until Heal.
func (n *Network) Cut(a, b Host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.state(a, b).cut = true
}

// Heal lets new bytes pass between two hosts again. Connections that lost bytes
// meanwhile stay silent.
func (n *Network) Heal(a, b Host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.state(a, b).cut = false
}

// Delay sets the one-way delay between two hosts.
func (n *Network) Delay(a, b Host, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.state(a, b).delay = d
}

// Silence makes the present connections between two hosts swallow all bytes for
// good, while new connections work.
func (n *Network) Silence(a, b Host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.from == a && c.to == b || c.from == b && c.to == a {
			c.out.silence()
		}
	}
}

// Kill closes a host's listeners and connections, as when its machine's processes die.
func (n *Network) Kill(h Host) {
	n.mu.Lock()
	var doomed []interface{ Close() error }
	for _, l := range n.listeners {
		if l.host == h {
			doomed = append(doomed, l)
		}
	}
	for c := range n.conns {
		if c.from == h {
			doomed = append(doomed, c)
		}
	}
	n.mu.Unlock()
	for _, d := range doomed {
		_ = d.Close()
	}
}

// Listener accepts connections at one address.
type Listener struct {
	network *Network
	host    Host
	address string
	queue   chan *Conn
	closed  chan struct{}
	once    sync.Once
}

// Accept waits for a connection; net.ErrClosed after Close.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close frees the address.
func (l *Listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, l.address)
		l.network.mu.Unlock()
		close(l.closed)
		l.drain()
	})
	return nil
}

// drain closes the connections that nobody accepted.
func (l *Listener) drain() {
	for {
		select {
		case c := <-l.queue:
			_ = c.Close()
		default:
			return
		}
	}
}

// Addr is the address given to Listen.
func (l *Listener) Addr() net.Addr { return addr(l.address) }

type addr string

func (a addr) Network() string { return "tcp" }
func (a addr) String() string  { return string(a) }
