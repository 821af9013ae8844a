package fakeupstream

import (
	"context"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/fakenet"
	"github.com/savoryramp/savoryramp/pkg/position"
)

// TestPromotionWaitsForReplay holds a replay that no entry of the log belongs to any
// more: the view must not be copied under it.
func TestPromotionWaitsForReplay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		network := fakenet.New()
		g := &Group{Name: "r1"}
		for _, name := range []ServerName{"a", "b"} {
			l, err := network.Listen(fakenet.Host(name), string(name)+":1")
			assert.NilError(t, err)
			g.Servers = append(g.Servers, &Server{Name: name, Listener: l})
		}
		ended := make(chan error, 1)
		go func() { ended <- g.Run(ctx) }()
		synctest.Wait()
		b := g.Servers[1]
		replay, err := b.view.change(ctx, []Statement{{SQL: "create table dropped (n int)"}})
		assert.NilError(t, err)
		assert.NilError(t, b.Fence(2))

		promoted := make(chan error, 1)
		go func() { promoted <- b.Promote(ctx, 2) }()
		synctest.Wait()
		assert.Equal(t, b.Status().Role, Replica)

		replay.end()
		assert.NilError(t, <-promoted)
		assert.Equal(t, b.Status().Role, Primary)
		assert.Equal(t, b.Status().Term, position.Term(2))
		cancel()
		assert.NilError(t, <-ended)
	})
}
