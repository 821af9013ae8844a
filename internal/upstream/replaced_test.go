package upstream_test

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/fakenet"
	"github.com/savoryramp/savoryramp/internal/fakeupstream"
	"github.com/savoryramp/savoryramp/internal/platform"
	"github.com/savoryramp/savoryramp/internal/upstream"
)

// fixedDocument is a document that never changes.
type fixedDocument struct{ document *platform.Document }

func (d fixedDocument) Wait(ctx context.Context, after platform.DocumentVersion) (platform.Snapshot, error) {
	if after == 0 {
		return platform.Snapshot{Version: 1, Document: d.document}, nil
	}
	<-ctx.Done()
	return platform.Snapshot{}, ctx.Err()
}

// startGroup runs a group of three servers and one VM until the test ends.
func startGroup(t *testing.T, network *fakenet.Network) (*upstream.Upstreams, *fakeupstream.Group) {
	t.Helper()
	servers := &fakeupstream.Group{Name: "r1"}
	up := platform.Upstream{Name: "r1"}
	for _, name := range []string{"a", "b", "c"} {
		l, err := network.Listen(fakenet.Host(name), name+":1")
		assert.NilError(t, err)
		servers.Servers = append(servers.Servers, &fakeupstream.Server{
			Name: fakeupstream.ServerName(name), Listener: l,
			Listen: func() (net.Listener, error) { return network.Listen(fakenet.Host(name), name+":1") },
		})
		up.Servers = append(up.Servers, platform.Server{Name: platform.ServerName(name), Address: platform.Address(name + ":1")})
	}
	u := &upstream.Upstreams{
		Dial: network.Dialer("vm"), Documents: fixedDocument{&platform.Document{Upstreams: []platform.Upstream{up}}},
		Share: func(platform.ServerName) int { return 4 }, ReadPolicy: upstream.WaitOrPrimary{}, MaxQueueLength: 10,
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 2)
	go func() { done <- servers.Run(ctx) }()
	go func() { done <- u.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
		assert.NilError(t, <-done)
	})
	return u, servers
}

// A client must not wait for the answer of a frozen primary once another server is
// primary.
func TestReplacedPrimaryConnsAreAborted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u, servers := startGroup(t, fakenet.New())
		ctx := t.Context()
		time.Sleep(time.Second)

		g, found := u.Group("r1")
		assert.Assert(t, found)
		c, err := g.AcquireForWrite(ctx, upstream.Request{Workspace: "w", Weight: 1})
		assert.NilError(t, err)
		servers.Server("a").Freeze(true)
		c.Send(&pgproto3.Query{String: "create table t (n int)"})
		assert.NilError(t, c.Flush())
		for _, name := range []fakeupstream.ServerName{"b", "c"} {
			assert.NilError(t, servers.Server(name).Fence(2))
		}
		assert.NilError(t, servers.Server("b").Promote(ctx, 2))

		began := time.Now()
		_, err = c.Receive(began.Add(30 * time.Second))
		assert.Assert(t, err != nil)
		assert.Assert(t, time.Since(began) < time.Second, "waited %s", time.Since(began))
		c.Release(false)
	})
}
