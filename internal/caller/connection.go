package caller

import (
	"encoding/binary"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// messageWithin bounds the time from a message's first byte to its last.
	messageWithin = 30 * time.Second
	// writeWithin bounds how long a caller may take to accept a piece of an answer.
	writeWithin = 30 * time.Second
	// farewellWithin bounds the last message to a caller that is sent away.
	farewellWithin = time.Second
)

// connection is a caller's connection that bounds how long a message begun may take,
// and how long the caller may leave an answer unread.
type connection struct {
	net.Conn
	frame frame

	mu sync.Mutex
	// until is the absolute end of the login; zero after it.
	until time.Time
	// began is when the message under way began; zero between messages.
	began time.Time
	// stopped connections read nothing more.
	stopped bool
	// cut connections also write no more than a farewell.
	cut bool
}

func newConnection(nc net.Conn, until time.Time) *connection {
	c := &connection{Conn: nc, until: until}
	c.setDeadlines()
	return c
}

// Read reads like the connection, and fails once a message has taken too long.
func (c *connection) Read(p []byte) (int, error) {
	c.mu.Lock()
	if c.stopped {
		c.mu.Unlock()
		return 0, os.ErrDeadlineExceeded
	}
	c.setDeadlines()
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.frame.take(p[:n])
	switch {
	case !c.frame.partial():
		c.began = time.Time{}
	case c.began.IsZero() || c.frame.fresh:
		c.began = time.Now()
	}
	return n, err
}

// setDeadlines applies the bounds that hold now; c.mu is held, or c isn't shared yet.
func (c *connection) setDeadlines() {
	if !c.until.IsZero() {
		_ = c.SetDeadline(c.until)
		return
	}
	if c.began.IsZero() {
		_ = c.SetReadDeadline(time.Time{})
		return
	}
	_ = c.SetReadDeadline(c.began.Add(messageWithin))
}

// Write sends a piece of an answer.
func (c *connection) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.until.IsZero() && !c.cut {
		_ = c.SetWriteDeadline(time.Now().Add(writeWithin))
	}
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// admitted ends the bound on the login.
func (c *connection) admitted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until, c.frame.whole = time.Time{}, 0
	_ = c.SetDeadline(time.Time{})
}

// receiving tells whether a message has begun and is not whole yet.
func (c *connection) receiving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.began.IsZero()
}

// ahead tells whether the caller has sent more than the given number of messages.
func (c *connection) ahead(taken int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.frame.whole > taken || c.frame.partial()
}

// stop lets nothing more be read.
func (c *connection) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	_ = c.SetReadDeadline(time.Unix(1, 0))
}

// end also bounds what is still written, for a farewell.
func (c *connection) end() {
	c.stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.cut {
		c.cut = true
		_ = c.SetWriteDeadline(time.Now().Add(farewellWithin))
	}
}

// frame follows where messages begin and end in a caller's bytes.
type frame struct {
	// typed is false until the start-up message is over: the ones before have no
	// type byte.
	typed bool
	head  []byte
	// whole counts the messages that have come whole.
	whole int
	// left is how much of the message's body is still to come.
	left int
	// fresh is true when the partial message began in the bytes taken last.
	fresh bool
}

const (
	typedHead   = 5
	untypedHead = 8
	// firstRequestCode is above every protocol version: codes of requests that come
	// before a start-up message.
	firstRequestCode = 1234 << 16
)

// take follows some more bytes.
func (f *frame) take(p []byte) {
	f.fresh = false
	for len(p) > 0 {
		if f.left == 0 {
			p = f.takeHead(p)
			continue
		}
		n := min(f.left, len(p))
		p = p[n:]
		f.left -= n
		f.count()
	}
}

func (f *frame) count() {
	if f.left == 0 {
		f.whole++
	}
}

func (f *frame) takeHead(p []byte) []byte {
	size := typedHead
	if !f.typed {
		size = untypedHead
	}
	if len(f.head) == 0 {
		f.fresh = true
	}
	n := min(size-len(f.head), len(p))
	f.head = append(f.head, p[:n]...)
	if len(f.head) < size {
		return p[n:]
	}
	if f.typed {
		f.left = max(0, int(int32(binary.BigEndian.Uint32(f.head[1:])))-4)
	} else {
		f.left = max(0, int(int32(binary.BigEndian.Uint32(f.head)))-untypedHead)
		f.typed = binary.BigEndian.Uint32(f.head[4:]) < firstRequestCode
	}
	f.head = f.head[:0]
	f.count()
	return p[n:]
}

// partial tells whether a message has begun and is not whole.
func (f *frame) partial() bool { return f.left > 0 || len(f.head) > 0 }
