package upstream

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/platform"
)

// pushPositions accepts a login and then pushes a position every 10 ms until sending
// fails.
func pushPositions(c net.Conn) {
	defer c.Close()
	backend := pgproto3.NewBackend(c, c)
	if _, err := backend.ReceiveStartupMessage(); err != nil {
		return
	}
	backend.Send(&pgproto3.AuthenticationOk{})
	backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if backend.Flush() != nil {
		return
	}
	if _, err := backend.Receive(); err != nil {
		return
	}
	for {
		backend.Send(&pgproto3.NotificationResponse{Channel: "savoryramp_position", Payload: `{"server":"a","role":"primary","term":1,"received":"1/1","applied":"1/1"}`})
		if backend.Flush() != nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// A watch ends at once with its context, also while its server keeps pushing positions.
func TestWatchStopsDuringPushes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var servers sync.WaitGroup
		reports := 0
		w := &serverWatch{
			server: platform.Server{Name: "a"},
			dial: func(context.Context, string, string) (net.Conn, error) {
				clientEnd, serverEnd := net.Pipe()
				servers.Go(func() { pushPositions(serverEnd) })
				return clientEnd, nil
			},
			onStatus: func(_ platform.ServerName, _ Status, usable bool) {
				if usable {
					reports++
				}
			},
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began := time.Now()
		w.run(ctx)
		assert.Assert(t, reports > 50, "%d", reports)
		assert.Equal(t, time.Since(began), time.Second)
		servers.Wait()
	})
}
