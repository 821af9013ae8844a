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
	p := &Pool{Limit: func() int { return 1 }, inUse: 1}
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
