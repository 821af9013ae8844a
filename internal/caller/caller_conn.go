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
	messageTimeout = 30 * time.Second
	// writeWithin bounds how long a caller may take to accept a piece of an answer.
	writeTimeout = 30 * time.Second
	// farewellWithin bounds the last message to a caller that is sent away.
	closingTimeout = time.Second
)

// connection is a caller's connection that bounds how long a message begun may take,
// and how long the caller may leave an answer unread.
type callerConn struct {
	net.Conn
	framer messageFramer

	mu sync.Mutex
	// until is the absolute end of the login; zero after it.
	loginDeadline time.Time
	// began is when the message under way began; zero between messages.
	messageStart time.Time
	// stopped connections read nothing more.
	readsStopped bool
	// cut connections also write no more than a farewell.
	closing bool
}

func newCallerConn(nc net.Conn, loginDeadline time.Time) *callerConn {
	c := &callerConn{Conn: nc, loginDeadline: loginDeadline}
	c.setDeadlines()
	return c
}

// Read reads like the connection, and fails once a message has taken too long.
func (c *callerConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if c.readsStopped {
		c.mu.Unlock()
		return 0, os.ErrDeadlineExceeded
	}
	c.setDeadlines()
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.framer.advance(p[:n])
	switch {
	case !c.framer.isPartial():
		c.messageStart = time.Time{}
	case c.messageStart.IsZero() || c.framer.startedInLastRead:
		c.messageStart = time.Now()
	}
	return n, err
}

// setDeadlines applies the bounds that hold now; c.mu is held, or c isn't shared yet.
func (c *callerConn) setDeadlines() {
	if !c.loginDeadline.IsZero() {
		_ = c.SetDeadline(c.loginDeadline)
		return
	}
	if c.messageStart.IsZero() {
		_ = c.SetReadDeadline(time.Time{})
		return
	}
	_ = c.SetReadDeadline(c.messageStart.Add(messageTimeout))
}

// Write sends a piece of an answer.
func (c *callerConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.loginDeadline.IsZero() && !c.closing {
		_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	}
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// admitted ends the bound on the login.
func (c *callerConn) endLogin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loginDeadline, c.framer.completeMessages = time.Time{}, 0
	_ = c.SetDeadline(time.Time{})
}

// receiving tells whether a message has begun and is not whole yet.
func (c *callerConn) isReceiving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.messageStart.IsZero()
}

// ahead tells whether the caller has sent more than the given number of messages.
func (c *callerConn) hasReceivedMoreThan(handled int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.framer.completeMessages > handled || c.framer.isPartial()
}

// stop lets nothing more be read.
func (c *callerConn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readsStopped = true
	_ = c.SetReadDeadline(time.Unix(1, 0))
}

// end also bounds what is still written, for a farewell.
func (c *callerConn) startClosing() {
	c.stopReading()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closing {
		c.closing = true
		_ = c.SetWriteDeadline(time.Now().Add(closingTimeout))
	}
}

// frame follows where messages begin and end in a caller's bytes.
type messageFramer struct {
	// typed is false until the start-up message is over: the ones before have no
	// type byte.
	hasTypeByte bool
	header      []byte
	// whole counts the messages that have come whole.
	completeMessages int
	// left is how much of the message's body is still to come.
	bodyLeft int
	// fresh is true when the partial message began in the bytes taken last.
	startedInLastRead bool
}

const (
	typedHeaderSize   = 5
	untypedHeaderSize = 8
	// firstRequestCode is above every protocol version: codes of requests that come
	// before a start-up message.
	minRequestCode = 1234 << 16
)

// take follows some more bytes.
func (f *messageFramer) advance(p []byte) {
	f.startedInLastRead = false
	for len(p) > 0 {
		if f.bodyLeft == 0 {
			p = f.readHeader(p)
			continue
		}
		n := min(f.bodyLeft, len(p))
		p = p[n:]
		f.bodyLeft -= n
		f.countIfComplete()
	}
}

func (f *messageFramer) countIfComplete() {
	if f.bodyLeft == 0 {
		f.completeMessages++
	}
}

func (f *messageFramer) readHeader(p []byte) []byte {
	size := typedHeaderSize
	if !f.hasTypeByte {
		size = untypedHeaderSize
	}
	if len(f.header) == 0 {
		f.startedInLastRead = true
	}
	n := min(size-len(f.header), len(p))
	f.header = append(f.header, p[:n]...)
	if len(f.header) < size {
		return p[n:]
	}
	if f.hasTypeByte {
		f.bodyLeft = max(0, int(int32(binary.BigEndian.Uint32(f.header[1:])))-4)
	} else {
		f.bodyLeft = max(0, int(int32(binary.BigEndian.Uint32(f.header)))-untypedHeaderSize)
		f.hasTypeByte = binary.BigEndian.Uint32(f.header[4:]) < minRequestCode
	}
	f.header = f.header[:0]
	f.countIfComplete()
	return p[n:]
}

// partial tells whether a message has begun and is not whole.
func (f *messageFramer) isPartial() bool { return f.bodyLeft > 0 || len(f.header) > 0 }
