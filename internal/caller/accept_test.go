package caller

import (
	"context"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/platform"
)

// poor is a listener without file descriptors for its first accepts.
type poor struct {
	accepted chan net.Conn
	failures int
	done     chan struct{}
}

func (p *poor) Accept() (net.Conn, error) {
	if p.failures > 0 {
		p.failures--
		return nil, syscall.EMFILE
	}
	select {
	case c := <-p.accepted:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *poor) Close() error   { close(p.done); return nil }
func (p *poor) Addr() net.Addr { return &net.TCPAddr{} }

type nothing struct{}

func (nothing) Current() platform.Snapshot { return platform.Snapshot{} }

func (nothing) Wait(ctx context.Context, _ platform.DocumentVersion) (platform.Snapshot, error) {
	<-ctx.Done()
	return platform.Snapshot{}, ctx.Err()
}

// A failed accept doesn't end the server.
func TestAcceptGoesOnAfterAFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &poor{accepted: make(chan net.Conn), failures: 3, done: make(chan struct{})}
		s := &Server{Listener: l, Documents: nothing{}}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- s.Run(ctx) }()
		near, far := net.Pipe()
		select {
		case l.accepted <- far:
		case <-time.After(time.Second):
			t.Error("no accept after a failure")
		}
		near.Close()
		cancel()
		assert.NilError(t, <-ended)
	})
}
