package upstream

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/fakenet"
)

// A read times out within deadlineGranularity before its deadline, also when successive
// deadlines move later or earlier.
func TestReceiveDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := fakenet.New()
		l, err := network.Listen("server", "server:1")
		assert.NilError(t, err)
		nc, err := network.Dialer("vm")(t.Context(), "tcp", "server:1")
		assert.NilError(t, err)
		server, err := l.Accept()
		assert.NilError(t, err)
		backend := pgproto3.NewBackend(server, server)
		c := &Conn{frontend: pgproto3.NewFrontend(nc, nc), netConn: nc}
		c.Send(&pgproto3.Query{})
		const timeout = time.Second
		for range 500 {
			backend.Send(&pgproto3.EmptyQueryResponse{})
			assert.NilError(t, backend.Flush())
			_, err := c.Receive(time.Now().Add(timeout))
			assert.NilError(t, err)
			time.Sleep(7 * time.Millisecond)
		}
		for _, d := range []time.Duration{timeout, timeout + 5*time.Millisecond, 100 * time.Millisecond, 2 * timeout} {
			began := time.Now()
			_, err := c.Receive(began.Add(d))
			assert.Assert(t, errorx.IsOfType(err, ErrSilent), "%v", err)
			took := time.Since(began)
			assert.Assert(t, took <= d && took > d-deadlineGranularity, "%v in place of %v", took, d)
		}
		nc.Close()
		server.Close()
		l.Close()
	})
}
