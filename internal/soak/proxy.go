// Package soak runs the VM's program as separate processes before stand-ins of the
// platform, injects faults from outside, and checks what callers and servers see.
package soak

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/savoryramp/savoryramp/platform/standin"
)

// mode is what a proxy does with what passes.
type mode string

const (
	passing mode = "passing"
	// delayed adds a pause to each read.
	delayed mode = "delayed"
	// silenced holds everything back, both ways; halfSilenced only answers.
	silenced     mode = "silenced"
	halfSilenced mode = "half-silenced"
	// refusing resets connections that stand and closes new ones.
	refusing mode = "refusing"
	// stale silences the connections that stand for good; new ones pass.
	stale mode = "stale"
)

// proxy stands before one address on loopback and harms the connections through it.
type proxy struct {
	target   func() string
	listener net.Listener

	mu sync.Mutex
	// mode is that of the connections whose number is a multiple of every.
	mode   mode
	every  int
	number int
	open   map[net.Conn]int
	// responses is true if what comes from the target are HTTP responses, which are passed on one by one and
	// repeated as stutter tells. repeats counts the repeated ones.
	responses bool
	stutter   atomic.Pointer[standin.Stutter]
	repeats   atomic.Int64
	// stale has the numbers of the connections that are silent for good.
	stale   map[int]bool
	changed chan struct{}
	tasks   sync.WaitGroup
}

// delay is what delayed adds, well under the time-outs of routes.
const delay = 30 * time.Millisecond

func newProxy(target func() string, responses bool) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, responses: responses, listener: listener, mode: passing, every: 1, open: map[net.Conn]int{}, stale: map[int]bool{}, changed: make(chan struct{})}
	p.tasks.Go(p.accept)
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set harms every n-th connection.
func (p *proxy) set(m mode, every int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode, p.every = m, every
	close(p.changed)
	p.changed = make(chan struct{})
	for c, n := range p.open {
		switch {
		case n%every != 0:
		case m == refusing:
			reset(c)
		case m == stale:
			p.stale[n] = true
		}
	}
}

func reset(c net.Conn) {
	if tcp, is := c.(*net.TCPConn); is {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

// of is the mode of a connection, and a channel that is closed when it changes.
func (p *proxy) of(n int) (mode, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	harmed := n%p.every == 0
	switch {
	case harmed && p.mode == refusing:
		return refusing, p.changed
	case p.stale[n]:
		return silenced, p.changed
	case !harmed || p.mode == stale:
		return passing, p.changed
	}
	return p.mode, p.changed
}

func (p *proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		p.number++
		n := p.number
		p.mu.Unlock()
		p.tasks.Go(func() { p.serve(near, n) })
	}
}

func (p *proxy) serve(near net.Conn, n int) {
	defer near.Close()
	if m, _ := p.of(n); m == refusing {
		reset(near)
		return
	}
	far, err := net.Dial("tcp", p.target())
	if err != nil {
		reset(near)
		return
	}
	defer far.Close()
	p.mu.Lock()
	p.open[near], p.open[far] = n, n
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.open, near)
		delete(p.open, far)
	}()
	var both sync.WaitGroup
	both.Go(func() { p.copy(far, near, n, false) })
	if p.responses {
		both.Go(func() { p.copyResponses(near, far, n) })
	} else {
		both.Go(func() { p.copy(near, far, n, true) })
	}
	both.Wait()
}

// copy passes bytes on; answers are those that come from the target.
func (p *proxy) copy(to, from net.Conn, n int, answers bool) {
	defer to.Close()
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		if err != nil {
			return
		}
		p.await(n, answers)
		if _, err := to.Write(buffer[:count]); err != nil && err != io.ErrShortWrite {
			return
		}
	}
}

// await waits until something may pass.
func (p *proxy) await(n int, answers bool) {
	for {
		m, changed := p.of(n)
		if m == delayed {
			<-time.After(delay)
		}
		if m != silenced && (m != halfSilenced || !answers) {
			return
		}
		<-changed
	}
}

// copyResponses passes whole HTTP responses on, and some of them again later.
func (p *proxy) copyResponses(to, from net.Conn, n int) {
	defer to.Close()
	in := bufio.NewReader(from)
	var writing sync.Mutex
	write := func(text []byte) error {
		writing.Lock()
		defer writing.Unlock()
		_, err := to.Write(text)
		return err
	}
	for {
		response, err := http.ReadResponse(in, nil)
		if err != nil {
			return
		}
		var text bytes.Buffer
		if err := response.Write(&text); err != nil {
			return
		}
		p.await(n, true)
		if write(text.Bytes()) != nil {
			return
		}
		if after, repeated := p.stutter.Load().Delay(); repeated {
			time.AfterFunc(after, func() {
				if write(text.Bytes()) == nil {
					p.repeats.Add(1)
				}
			})
		}
	}
}

func (p *proxy) close() {
	p.set(refusing, 1)
	p.listener.Close()
	p.mu.Lock()
	for c := range p.open {
		c.Close()
	}
	p.mu.Unlock()
	p.tasks.Wait()
}
