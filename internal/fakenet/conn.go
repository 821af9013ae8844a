package fakenet

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// Conn is one end of a connection.
type Conn struct {
	network       *Network
	from, to      Host
	local, remote addr
	in, out       *stream
}

// Read waits for bytes from the other end.
func (c *Conn) Read(p []byte) (int, error) { return c.in.read(p) }

// Write sends bytes; it never blocks.
func (c *Conn) Write(p []byte) (int, error) {
	c.network.mu.Lock()
	s := *c.network.state(c.from, c.to)
	c.network.mu.Unlock()
	if s.cut {
		c.out.silence()
	}
	return c.out.write(p, time.Now().Add(s.delay))
}

// Close ends the connection; the other end reads what was sent, then io.EOF.
func (c *Conn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	s := *c.network.state(c.from, c.to)
	c.network.mu.Unlock()
	if s.cut {
		c.out.silence()
	}
	c.out.finish()
	c.in.abandon()
	return nil
}

// LocalAddr is this end's address.
func (c *Conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr is the other end's address.
func (c *Conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline sets both deadlines; writes have none.
func (c *Conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline ends reads at t with os.ErrDeadlineExceeded.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.in.setDeadline(t)
	return nil
}

// SetWriteDeadline does nothing, since writes don't block.
func (c *Conn) SetWriteDeadline(time.Time) error { return nil }

// stream carries bytes one way.
type stream struct {
	mu       sync.Mutex
	changed  *sync.Cond
	chunks   []chunk
	silent   bool
	finished bool
	gone     bool
	deadline time.Time
	timer    *time.Timer
	wake     *time.Timer
}

type chunk struct {
	bytes []byte
	at    time.Time
}

func newStream() *stream {
	s := &stream{}
	s.changed = sync.NewCond(&s.mu)
	return s
}

func (s *stream) read(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		now := time.Now()
		switch {
		case s.gone:
			return 0, net.ErrClosed
		case !s.deadline.IsZero() && !now.Before(s.deadline):
			return 0, os.ErrDeadlineExceeded
		case len(s.chunks) > 0 && !now.Before(s.chunks[0].at):
			return s.take(p), nil
		case len(s.chunks) > 0:
			s.wakeAt(s.chunks[0].at.Sub(now))
		case s.finished && !s.silent:
			return 0, io.EOF
		}
		s.changed.Wait()
	}
}

func (s *stream) take(p []byte) int {
	c := &s.chunks[0]
	n := copy(p, c.bytes)
	c.bytes = c.bytes[n:]
	if len(c.bytes) == 0 {
		s.chunks = s.chunks[1:]
	}
	return n
}

func (s *stream) write(p []byte, at time.Time) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.finished || s.gone && !s.silent {
		return 0, net.ErrClosed
	}
	if !s.silent && len(p) > 0 {
		s.chunks = append(s.chunks, chunk{bytes: append([]byte(nil), p...), at: at})
		s.changed.Broadcast()
	}
	return len(p), nil
}

func (s *stream) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = true
	s.chunks = nil
}

func (s *stream) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finished = true
	s.changed.Broadcast()
}

func (s *stream) abandon() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gone = true
	for _, t := range []*time.Timer{s.timer, s.wake} {
		if t != nil {
			t.Stop()
		}
	}
	s.changed.Broadcast()
}

func (s *stream) setDeadline(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadline = t
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
	if left := time.Until(t); !t.IsZero() && left > 0 {
		s.timer = time.AfterFunc(left, s.broadcast)
	}
	s.changed.Broadcast()
}

func (s *stream) wakeAt(d time.Duration) {
	if s.wake != nil {
		s.wake.Stop()
	}
	s.wake = time.AfterFunc(d, s.broadcast)
}

func (s *stream) broadcast() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changed.Broadcast()
}
