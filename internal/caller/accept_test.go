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

// failingListener fails its first accepts as if no file descriptors were left.
type failingListener struct {
	accepted chan net.Conn
	failures int
	done     chan struct{}
}

func (p *failingListener) Accept() (net.Conn, error) {
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

func (p *failingListener) Close() error   { close(p.done); return nil }
func (p *failingListener) Addr() net.Addr { return &net.TCPAddr{} }

type noDocuments struct{}

func (noDocuments) Current() platform.Snapshot { return platform.Snapshot{} }

func (noDocuments) Wait(ctx context.Context, _ platform.DocumentVersion) (platform.Snapshot, error) {
	<-ctx.Done()
	return platform.Snapshot{}, ctx.Err()
}

// A failed accept must not end the server.
func TestAcceptRetriesAfterFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &failingListener{accepted: make(chan net.Conn), failures: 3, done: make(chan struct{})}
		s := &Server{Listener: l, Documents: noDocuments{}}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- s.Run(ctx) }()
		clientEnd, serverEnd := net.Pipe()
		select {
		case l.accepted <- serverEnd:
		case <-time.After(time.Second):
			t.Error("no accept after a failure")
		}
		clientEnd.Close()
		cancel()
		assert.NilError(t, <-ended)
	})
}
