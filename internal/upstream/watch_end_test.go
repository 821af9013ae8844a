package upstream

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/fakenet"
	"github.com/savoryramp/savoryramp/internal/platform"
)

// A watch ends at once with its context, not when its server next answers or times out:
// a VM that shuts down stops its groups one after another.
func TestWatchStopsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := fakenet.New()
		l, err := network.Listen("server", "server:1")
		assert.NilError(t, err)
		t.Cleanup(func() { l.Close() })
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go answerStatus(c, `{"server":"r","role":"primary","term":1,"received":"1/7","applied":"1/7"}`)
			}
		}()
		up := make(chan struct{}, 100)
		w := &serverWatch{
			server: platform.Server{Name: "r", Address: "server:1"}, login: Login{User: "s", Database: "d"}, logger: log.NewNopLogger(),
			dial: func(ctx context.Context, n, a string) (net.Conn, error) { return network.Dialer("vm")(ctx, n, a) },
			onStatus: func(_ platform.ServerName, _ Status, usable bool) {
				if usable {
					up <- struct{}{}
				}
			},
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			w.run(ctx)
		}()
		<-up
		ended := time.Now()
		cancel()
		<-done
		assert.Assert(t, time.Since(ended) < 10*time.Millisecond, "%v", time.Since(ended))
	})
}
