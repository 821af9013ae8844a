package fakenet_test

import (
	"context"
	"io"
	"net"
	"os"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/fakenet"
)

func connect(t *testing.T, n *fakenet.Network) (near, far net.Conn) {
	t.Helper()
	l, err := n.Listen("b", "b:1")
	assert.NilError(t, err)
	near, err = n.Dialer("a")(context.Background(), "tcp", "b:1")
	assert.NilError(t, err)
	far, err = l.Accept()
	assert.NilError(t, err)
	return near, far
}

func TestDelayAndEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := fakenet.New()
		n.Delay("a", "b", 3*time.Millisecond)
		near, far := connect(t, n)
		before := time.Now()
		_, err := near.Write([]byte("hello"))
		assert.NilError(t, err)
		near.Close()
		got, err := io.ReadAll(far)
		assert.NilError(t, err)
		assert.Equal(t, string(got), "hello")
		assert.Equal(t, time.Since(before), 3*time.Millisecond)
	})
}

func TestSilenceKeepsNewConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := fakenet.New()
		near, far := connect(t, n)
		n.Silence("a", "b")
		_, err := near.Write([]byte("lost"))
		assert.NilError(t, err)
		assert.NilError(t, far.SetReadDeadline(time.Now().Add(time.Second)))
		_, err = far.Read(make([]byte, 8))
		assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
		_, err = n.Dialer("a")(context.Background(), "tcp", "b:1")
		assert.NilError(t, err)
	})
}

// TestDelayChangesDuringDial is for the race detector.
func TestDelayChangesDuringDial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const times = 300
		n := fakenet.New()
		l, err := n.Listen("b", "b:1")
		assert.NilError(t, err)
		defer l.Close()
		var both sync.WaitGroup
		both.Go(func() {
			for range times {
				c, err := n.Dialer("a")(t.Context(), "tcp", "b:1")
				assert.Check(t, err)
				_ = c.Close()
			}
		})
		both.Go(func() {
			for i := range times {
				n.Delay("a", "b", time.Duration(i)*time.Microsecond)
				runtime.Gosched()
			}
		})
		both.Wait()
	})
}
