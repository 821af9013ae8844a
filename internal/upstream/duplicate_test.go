package upstream

import (
	"context"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/fakenet"
	"github.com/savoryramp/savoryramp/internal/fakeupstream"
	"github.com/savoryramp/savoryramp/internal/platform"
	"github.com/savoryramp/savoryramp/pkg/position"
)

// startDuplicating starts a server that duplicates most answers, and returns a dialer.
func startDuplicating(t *testing.T, seed uint64) Dial {
	network := fakenet.New()
	l, err := network.Listen("a", "a:1")
	assert.NilError(t, err)
	a := &fakeupstream.Server{Name: "a", Listener: l}
	group := &fakeupstream.Group{Name: "g", Servers: []*fakeupstream.Server{a}}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- group.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.Check(t, <-done)
	})
	synctest.Wait()
	a.SetDuplicates(fakeupstream.Duplicates{Share: 0.8, MaxDelay: 500 * time.Millisecond, Seed: seed})
	return func(ctx context.Context, n, address string) (net.Conn, error) {
		return network.Dialer("vm")(ctx, n, address)
	}
}

// A control statement's result must not be the duplicate of an earlier answer: a fence
// would count as accepted although it was refused.
func TestControlStatementsGetTheirOwnAnswers(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &serverWatch{
					server: platform.Server{Name: "a", Address: "a:1"}, login: Login{User: "s", Database: "d"}, logger: log.NewNopLogger(),
					dial: startDuplicating(t, seed), onStatus: func(platform.ServerName, Status, bool) {},
				}
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() {
					defer close(done)
					w.run(ctx)
				}()
				time.Sleep(time.Second)
				for n := range 30 {
					highest := position.Term(n + 2)
					s, err := w.query(ctx, fmt.Sprintf("SELECT savoryramp_fence(%d)", highest))
					assert.NilError(t, err)
					assert.Equal(t, s.Term, highest)
					_, err = w.query(ctx, "SELECT savoryramp_fence(1)")
					assert.Assert(t, errorx.IsOfType(err, ErrStaleTerm), "%v", err)
					time.Sleep(time.Duration(n) * 17 * time.Millisecond)
				}
				cancel()
				<-done
			})
		})
	}
}

// A statement of the proxy's own, on a connection that is reused, must not be answered by
// the duplicate of an earlier answer, also at the start-up, when the workspace changes
// and when the connection was idle.
func TestOwnStatementsGetTheirOwnAnswers(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &Pool{
					Server: platform.Server{Name: "a", Address: "a:1"}, Login: Login{User: "s", Database: "d"}, Dial: startDuplicating(t, seed),
					Share: func() int { return 1 }, MaxQueueLength: 1,
				}
				for n := range 100 {
					c, err := p.acquire(t.Context(), Request{Workspace: platform.WorkspaceName(fmt.Sprint(n % 3)), Weight: 1})
					assert.NilError(t, err)
					for k := range 3 {
						want := fmt.Sprint(n, "-", k)
						got, err := c.Query(fmt.Sprintf("SELECT '%s'", want), time.Now().Add(time.Second))
						assert.NilError(t, err)
						assert.Equal(t, got, want)
					}
					c.Release(true)
					time.Sleep(time.Duration(n%10) * 600 * time.Millisecond)
				}
				p.close()
			})
		})
	}
}
