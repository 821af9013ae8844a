package upstream

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/savoryramp/savoryramp/internal/platform"
	"github.com/savoryramp/savoryramp/pkg/contract"
)

// failingStatement is a statement that a slowServer answers with an error.
const failingStatement = "SELECT 1/0"

// slowServer runs as many statements at once as it has slots, each for serviceTime.
type slowServer struct {
	slots chan bool

	mu          sync.Mutex
	serviceTime time.Duration
	// openNow counts the open connections, maxOpen is the most that were ever open at
	// once.
	openNow, maxOpen int
	tasks            sync.WaitGroup
}

func newSlowServer(slots int, serviceTime time.Duration) *slowServer {
	return &slowServer{slots: make(chan bool, slots), serviceTime: serviceTime}
}

func (s *slowServer) setServiceTime(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serviceTime = d
}

func (s *slowServer) dial(context.Context, string, string) (net.Conn, error) {
	clientEnd, serverEnd := net.Pipe()
	s.mu.Lock()
	s.openNow++
	s.maxOpen = max(s.maxOpen, s.openNow)
	s.mu.Unlock()
	s.tasks.Go(func() { s.serve(serverEnd) })
	return &openCountingConn{Conn: clientEnd, server: s}, nil
}

// openCountingConn is a client connection that lowers its server's openNow when it is
// first closed.
type openCountingConn struct {
	net.Conn
	server *slowServer
	once   sync.Once
}

func (c *openCountingConn) Close() error {
	c.once.Do(func() {
		c.server.mu.Lock()
		c.server.openNow--
		c.server.mu.Unlock()
	})
	return c.Conn.Close()
}

func (s *slowServer) serve(c net.Conn) {
	defer c.Close()
	backend := pgproto3.NewBackend(c, c)
	if _, err := backend.ReceiveStartupMessage(); err != nil {
		return
	}
	backend.Send(&pgproto3.AuthenticationOk{})
	backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	status := byte('I')
	for backend.Flush() == nil {
		m, err := backend.Receive()
		if err != nil {
			return
		}
		q, _ := m.(*pgproto3.Query)
		switch {
		case q != nil && q.String == "BEGIN":
			status = 'T'
		case q != nil && q.String == "COMMIT":
			status = 'I'
			s.run()
		default:
			s.run()
		}
		if q != nil && q.String == failingStatement {
			backend.Send(&pgproto3.ErrorResponse{Code: "22012"})
		} else {
			backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("OK")})
		}
		backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	}
}

func (s *slowServer) run() {
	s.slots <- true
	s.mu.Lock()
	d := s.serviceTime
	s.mu.Unlock()
	time.Sleep(d)
	<-s.slots
}

// sharedUnits are the connection units of a server that several pools share.
type sharedUnits struct {
	mu   sync.Mutex
	free int
	// released is closed and replaced when a unit is released.
	released chan struct{}
}

func (u *sharedUnits) Acquire(ctx context.Context) error {
	for {
		u.mu.Lock()
		if u.free > 0 {
			u.free--
			u.mu.Unlock()
			return nil
		}
		released := u.released
		u.mu.Unlock()
		select {
		case <-released:
		case <-ctx.Done():
			return ErrBusy.Wrap(ctx.Err(), "units")
		}
	}
}

func (u *sharedUnits) Release() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.free++
	close(u.released)
	u.released = make(chan struct{})
}

func (u *sharedUnits) Excess() contract.Tokens       { return 0 }
func (u *sharedUnits) ExcessNotify() <-chan struct{} { return nil }

// runStatement runs a statement on p for a workspace; it returns false if it got no
// connection within 2 s or the statement failed.
func runStatement(ctx context.Context, p *Pool, w platform.WorkspaceName) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	c, err := p.acquire(ctx, Request{Workspace: w, Weight: 1})
	if err != nil {
		return false
	}
	_, err = c.Query("SELECT 1", time.Now().Add(time.Minute))
	c.Release(err == nil)
	return err == nil
}

// runLoad runs statements from n clients of three workspaces for d.
func runLoad(p *Pool, n int, d time.Duration) {
	var callers sync.WaitGroup
	end := time.Now().Add(d)
	for i := range n {
		callers.Go(func() {
			for time.Now().Before(end) {
				runStatement(context.Background(), p, platform.WorkspaceName(rune('a'+i%3)))
				time.Sleep(time.Millisecond)
			}
		})
	}
	callers.Wait()
}
