package upstream

import (
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A released connection may be acquired by another goroutine at once, so Release must
// not read the connection's fields after making it idle. The race detector reports a
// violation.
func TestReleaseDoesNotTouchReusedConn(t *testing.T) {
	clientEnd, serverEnd := net.Pipe()
	defer serverEnd.Close()
	p := &Pool{Share: func() int { return 1 }, inUse: 1}
	c := &Conn{pool: p, netConn: clientEnd, acquiredAt: time.Now()}
	readErr := make(chan error)
	go func() {
		for {
			if reused := p.popIdle(""); reused != nil {
				readErr <- reused.readError(os.ErrDeadlineExceeded)
				return
			}
		}
	}()
	c.Release(true)
	assert.Assert(t, isSilent(<-readErr))
}

// closeHookConn calls onClose when it is closed.
type closeHookConn struct {
	net.Conn
	onClose func()
}

func (c closeHookConn) Close() error {
	c.onClose()
	return c.Conn.Close()
}

// A connection that isn't reused must be closed before another request is admitted,
// since that request may open a new one at once.
func TestReleaseClosesBeforeAdmitting(t *testing.T) {
	clientEnd, serverEnd := net.Pipe()
	defer serverEnd.Close()
	// One request uses c, another was admitted and is about to reuse the idle
	// connection, so both connections of the share are used.
	p := &Pool{Share: func() int { return 2 }, inUse: 2, idle: []*Conn{{}}}
	w := p.queue.push("", 1)
	admittedEarly := false
	c := &Conn{pool: p, netConn: closeHookConn{clientEnd, func() {
		select {
		case <-w.ready:
			admittedEarly = true
		default:
		}
	}}, acquiredAt: time.Now()}
	c.Release(true)
	<-w.ready
	assert.Assert(t, !admittedEarly, "another request was admitted before the connection was closed")
}
