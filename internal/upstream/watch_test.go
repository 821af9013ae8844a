package upstream

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
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

// A notification that the server sends again must not replace a newer status: an old
// position of the primary would count as its present one, and reads with a bound on
// staleness would go to replicas that are too far behind.
func TestRepeatedNotificationIsIgnored(t *testing.T) {
	status := func(role string, term, offset int) string {
		return fmt.Sprintf(`{"server":"a","role":%q,"term":%d,"received":"%d/%d","applied":"%d/%d"}`, role, term, term, offset, term, offset)
	}
	for name, test := range map[string]struct {
		received []string
		want     []string
	}{
		"position of the primary": {[]string{status("primary", 1, 5), status("primary", 1, 9), status("primary", 1, 5)}, []string{"primary 1/5", "primary 1/9"}},
		"role before a promotion": {[]string{status("replica", 2, 5), status("primary", 2, 5), status("replica", 2, 5)}, []string{"replica 2/5", "primary 2/5"}},
		"term":                    {[]string{status("primary", 1, 9), status("replica", 2, 7), status("primary", 1, 9)}, []string{"primary 1/9", "replica 2/7"}},
		"log cut off":             {[]string{status("replica", 2, 9), status("replica", 2, 7)}, []string{"replica 2/9", "replica 2/7"}},
	} {
		t.Run(name, func(t *testing.T) {
			ready := &pgproto3.ReadyForQuery{TxStatus: 'I'}
			sent := encodeMessages(&pgproto3.AuthenticationOk{}, number("0"), ready, number("1"), ready)
			for _, text := range test.received {
				sent = append(sent, encodeMessages(&pgproto3.NotificationResponse{Payload: text})...)
			}
			var got []string
			var logged bytes.Buffer
			w := &serverWatch{
				server: platform.Server{Name: "a"}, logger: log.NewNopLogger(), monitor: newAnswerMonitor(log.NewLogfmtLogger(&logged), nil),
				dial: func(context.Context, string, string) (net.Conn, error) { return &scriptedConn{sent}, nil },
				onStatus: func(_ platform.ServerName, s Status, _ bool) {
					got = append(got, fmt.Sprint(s.Role, " ", s.Applied))
				},
			}
			assert.Assert(t, w.runConnection(t.Context()) != nil)
			assert.DeepEqual(t, got, test.want)
			assert.Equal(t, strings.Count(logged.String(), "event=3015 "), len(test.received)-len(test.want), logged.String())
		})
	}
}
