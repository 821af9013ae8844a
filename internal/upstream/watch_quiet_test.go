package upstream

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/fakenet"
	"github.com/savoryramp/savoryramp/internal/platform"
	"github.com/savoryramp/savoryramp/pkg/position"
)

// quietServer never pushes its status. It answers queries with term and offset, and
// nothing while silent.
type quietServer struct {
	mu     sync.Mutex
	term   position.Term
	offset position.Offset
	silent bool
}

func (s *quietServer) update(change func(*quietServer)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (s *quietServer) serve(c net.Conn) {
	defer c.Close()
	backend := pgproto3.NewBackend(c, c)
	if _, err := backend.ReceiveStartupMessage(); err != nil {
		return
	}
	backend.Send(&pgproto3.AuthenticationOk{})
	backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	for backend.Flush() == nil {
		m, err := backend.Receive()
		if err != nil {
			return
		}
		s.mu.Lock()
		silent, at := s.silent, fmt.Sprintf("1/%d", s.offset)
		status := fmt.Sprintf(`{"server":"r","role":"primary","term":%d,"received":%q,"applied":%q}`, s.term, at, at)
		s.mu.Unlock()
		if silent {
			continue
		}
		if q, found := m.(*pgproto3.Query); found && q.String == statusQuery {
			backend.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(status)}})
		}
		backend.Send(&pgproto3.ParameterStatus{Name: positionParameter, Value: at})
		backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	}
}

// A quiet server causes little traffic. It must still be detected in time when, without
// a push, the server's position advances, its term changes or it stops answering.
func TestWatchOfQuietServer(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*quietServer)
		// isDetected reports whether the watch has detected the change.
		isDetected func(Status, bool) bool
		timeout    time.Duration
	}{
		"moves":           {func(s *quietServer) { s.offset = 8 }, func(s Status, _ bool) bool { return s.Received.Offset == 8 }, 2 * probeInterval},
		"changes":         {func(s *quietServer) { s.term = 2 }, func(s Status, _ bool) bool { return s.Term == 2 }, statusInterval + probeInterval},
		"stops answering": {func(s *quietServer) { s.silent = true }, func(_ Status, usable bool) bool { return !usable }, silenceTimeout + 2*probeInterval},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server, bytes := &quietServer{term: 1, offset: 7}, &atomic.Int64{}
				network := fakenet.New()
				l, err := network.Listen("server", "server:1")
				assert.NilError(t, err)
				defer l.Close()
				go func() {
					for {
						c, err := l.Accept()
						if err != nil {
							return
						}
						go server.serve(c)
					}
				}()
				var mu sync.Mutex
				var last Status
				usable := false
				var reports atomic.Int64
				w := &serverWatch{
					server: platform.Server{Name: "r", Address: "server:1"}, login: Login{User: "s", Database: "d"}, logger: log.NewNopLogger(),
					dial: func(ctx context.Context, n, a string) (net.Conn, error) {
						c, err := network.Dialer("vm")(ctx, n, a)
						return countingConn{c, bytes}, err
					},
					onStatus: func(_ platform.ServerName, s Status, up bool) {
						mu.Lock()
						defer mu.Unlock()
						last, usable = s, up
						reports.Add(1)
					},
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go w.run(ctx)
				time.Sleep(12 * time.Second)
				const quiet = 20
				before, reported := bytes.Load(), reports.Load()
				time.Sleep(quiet * time.Second)
				assert.Assert(t, (bytes.Load()-before)/quiet < 250, "%d B/s", (bytes.Load()-before)/quiet)
				assert.Assert(t, reports.Load()-reported >= 4*quiet-1, "%d reports in %d s", reports.Load()-reported, quiet)
				server.update(c.change)
				time.Sleep(c.timeout)
				mu.Lock()
				defer mu.Unlock()
				assert.Assert(t, c.isDetected(last, usable), "%+v, usable: %v", last, usable)
			})
		})
	}
}
