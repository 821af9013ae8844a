package caller

import (
	"encoding/binary"
	"net"
	"os"
	"sync"
	"time"

	"github.com/savoryramp/savoryramp/internal/budget"
)

const (
	// messageTimeout is the longest time from a message's first byte to its last.
	messageTimeout = 30 * time.Second
	// writeTimeout is the longest time that one write to a caller may block.
	writeTimeout = 30 * time.Second
	// closingTimeout is the longest time for writing the final error message.
	closingTimeout = time.Second
	// roomTimeout bounds waiting for memory for a long message.
	roomTimeout = 10 * time.Second
	// messageCopies is how many copies of a long message are held while it is served: what was read, the
	// decoded message, and the one for the server.
	messageCopies = 3
	// writePart is the size of the parts in which long answers are written, in bytes.
	writePart = 32 << 10
)

// callerConn is a caller's connection. It limits the time for receiving a message once
// its first byte has arrived, and the time for which a write may block.
type callerConn struct {
	net.Conn
	framer messageFramer

	mu sync.Mutex
	// loginDeadline is when the login must be complete; zero after the login.
	loginDeadline time.Time
	// messageStart is when the message being received began; zero between messages.
	messageStart time.Time
	// readsStopped makes every further Read fail.
	readsStopped bool
	// closing is set once closingTimeout limits the remaining writes.
	closing bool
	// account is charged with what the caller makes this VM hold. It may be nil.
	account *budget.Account
	// isReserved is set once the message being received was charged. Only Read uses it.
	isReserved bool
}

func newCallerConn(conn net.Conn, loginDeadline time.Time) *callerConn {
	c := &callerConn{Conn: conn, loginDeadline: loginDeadline, account: budget.AccountOf(conn)}
	c.setDeadlines()
	return c
}

// Read reads from the connection and fails once a message has taken longer than
// messageTimeout.
func (c *callerConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if c.readsStopped {
		c.mu.Unlock()
		return 0, os.ErrDeadlineExceeded
	}
	bodyLeft := c.framer.bodyLeft
	c.mu.Unlock()
	if err := c.reserve(bodyLeft); err != nil {
		return 0, err
	}
	c.mu.Lock()
	c.setDeadlines()
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.framer.advance(p[:n])
	if c.framer.startedInLastRead || !c.framer.isPartial() {
		c.isReserved = false
	}
	switch {
	case !c.framer.isPartial():
		c.messageStart = time.Time{}
	case c.messageStart.IsZero() || c.framer.startedInLastRead:
		c.messageStart = time.Now()
	}
	return n, err
}

// reserve charges a long message before the rest of it is read. It returns ErrOverLimit if there is no
// memory for it in time.
func (c *callerConn) reserve(bodyLeft int) error {
	if bodyLeft <= int(budget.FreeBytes) {
		return nil
	}
	if !c.isReserved && !c.account.Reserve(messageCopies*budget.Bytes(bodyLeft), time.Now().Add(roomTimeout)) {
		return ErrOverLimit.New("no memory for a message of %d bytes", bodyLeft)
	}
	c.isReserved = true
	c.account.Progress(budget.Receiving)
	return nil
}

// setDeadlines sets the connection's deadlines for the current state. The caller holds
// c.mu, or c isn't shared yet.
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

// Write writes p to the caller, limited by writeTimeout after the login.
func (c *callerConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	// A connection that has been answered during its login is still starting.
	next := budget.Starting
	if c.loginDeadline.IsZero() {
		next = budget.Serving
	}
	if c.loginDeadline.IsZero() && !c.closing {
		_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	}
	c.mu.Unlock()
	defer c.account.Progress(next)
	size := budget.Bytes(0)
	if len(p) > int(budget.FreeBytes) {
		size = budget.Bytes(len(p))
	}
	c.account.Force(size)
	defer c.account.GiveBack(size)
	return c.writeParts(p)
}

// writeParts writes in parts, so that it shows whether the caller reads.
func (c *callerConn) writeParts(p []byte) (written int, err error) {
	for {
		c.account.Progress(budget.Sending)
		n, err := c.Conn.Write(p[written:min(written+writePart, len(p))])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// endLogin removes the login deadline.
func (c *callerConn) endLogin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loginDeadline, c.framer.completeMessages = time.Time{}, 0
	_ = c.SetDeadline(time.Time{})
}

// isReceiving reports whether a message has been received in part.
func (c *callerConn) isReceiving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.messageStart.IsZero()
}

// hasReceivedMoreThan reports whether the caller has sent any bytes beyond its first
// handled messages.
func (c *callerConn) hasReceivedMoreThan(handled int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.framer.completeMessages > handled || c.framer.isPartial()
}

// stopReading makes pending and further reads fail.
func (c *callerConn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readsStopped = true
	_ = c.SetReadDeadline(time.Unix(1, 0))
}

// startClosing stops reading and limits the remaining writes to closingTimeout.
func (c *callerConn) startClosing() {
	c.stopReading()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closing {
		c.closing = true
		_ = c.SetWriteDeadline(time.Now().Add(closingTimeout))
	}
}

// messageFramer tracks the boundaries of protocol messages in a caller's byte stream.
type messageFramer struct {
	// hasTypeByte is set after the startup message: messages before it have no type
	// byte.
	hasTypeByte bool
	header      []byte
	// completeMessages counts the messages that have been received completely.
	completeMessages int
	// bodyLeft is how many bytes of the current message's body are missing.
	bodyLeft int
	// startedInLastRead is set if the partial message began in the bytes of the last
	// call of advance.
	startedInLastRead bool
}

const (
	typedHeaderSize   = 5
	untypedHeaderSize = 8
	// minRequestCode is the lowest code of the requests that may precede a startup
	// message (SSLRequest, GSSENCRequest, CancelRequest). It is above every protocol
	// version.
	minRequestCode = 1234 << 16
)

// advance processes the next bytes of the stream.
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

// isPartial reports whether a message has been received in part.
func (f *messageFramer) isPartial() bool { return f.bodyLeft > 0 || len(f.header) > 0 }
