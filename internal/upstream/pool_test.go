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
func TestReleasedConnectionIsItsNextUsers(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	p := &Pool{Share: func() int { return 1 }, inUse: 1}
	c := &Conn{pool: p, net: near, takenAt: time.Now()}
	next := make(chan error)
	go func() {
		for {
			if kept := p.kept(""); kept != nil {
				next <- kept.broken(os.ErrDeadlineExceeded)
				return
			}
		}
	}()
	c.Release(true)
	assert.Assert(t, isSilent(<-next))
}

// closing tells when it is closed.
type closing struct {
	net.Conn
	closed func()
}

func (c closing) Close() error {
	c.closed()
	return c.Conn.Close()
}

// A connection that isn't kept is closed before its place goes to another request,
// which may open one at once.
func TestClosedBeforeItsPlaceIsGiven(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	// One request uses the connection, another was let go ahead and takes the idle one
	// next, so that both places are gone.
	p := &Pool{Share: func() int { return 2 }, inUse: 2, idle: []*Conn{{}}}
	w := p.queue.push("", 1)
	given := false
	c := &Conn{pool: p, net: closing{near, func() {
		select {
		case <-w.granted:
			given = true
		default:
		}
	}}, takenAt: time.Now()}
	c.Release(true)
	<-w.granted
	assert.Assert(t, !given, "given before the close")
}
