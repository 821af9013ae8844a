package upstream

import (
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A connection given back belongs to its next user at once; the race detector sees
// whoever still looks at it.
func TestReleaseDoesNotTouchReusedConn(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	p := &Pool{Share: func() int { return 1 }, inUse: 1}
	c := &Conn{pool: p, netConn: near, acquiredAt: time.Now()}
	next := make(chan error)
	go func() {
		for {
			if kept := p.popIdle(""); kept != nil {
				next <- kept.readError(os.ErrDeadlineExceeded)
				return
			}
		}
	}()
	c.Release(true)
	assert.Assert(t, isSilent(<-next))
}

// closing tells when it is closed.
type closeHookConn struct {
	net.Conn
	onClose func()
}

func (c closeHookConn) Close() error {
	c.onClose()
	return c.Conn.Close()
}

// A connection that isn't kept is closed before its place goes to another request,
// which may open one at once.
func TestReleaseClosesBeforeAdmitting(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	// One request uses the connection, another was let go ahead and takes the idle one
	// next, so that both places are gone.
	p := &Pool{Share: func() int { return 2 }, inUse: 2, idle: []*Conn{{}}}
	w := p.queue.push("", 1)
	given := false
	c := &Conn{pool: p, netConn: closeHookConn{near, func() {
		select {
		case <-w.ready:
			given = true
		default:
		}
	}}, acquiredAt: time.Now()}
	c.Release(true)
	<-w.ready
	assert.Assert(t, !given, "given before the close")
}
