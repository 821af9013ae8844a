package fakeupstream

import (
	"context"
	"net"
	"sync"
	"time"
)

// faults are what is wrong with a server; guarded by group.mu.
type faults struct {
	killed     bool
	refusing   bool
	frozen     bool
	late       time.Duration
	dropAnswer bool
	duplicates Duplicates
}

// up tells whether the server's process runs.
func (f *faults) up() bool { return !f.killed && !f.frozen }

func (f *faults) listens() bool { return !f.killed && !f.refusing }

// change switches a fault and tells everyone.
func (s *Server) change(name FaultName, value any, change func()) {
	s.group.open()
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	change()
	eventFault.Log(s.group.Logger, "server", s.Name, "fault", name, "value", value)
	s.group.broadcast()
}

// Cut stops log entries between the server and all others, both ways, while
// clients still reach it.
func (s *Server) Cut(on bool) {
	s.change(FaultCut, on, func() {
		for _, other := range s.group.Servers {
			for _, d := range []direction{{s.Name, other.Name}, {other.Name, s.Name}} {
				l := Link{Cut: on}
				if before := s.group.links[d]; before != nil {
					l.Delay = before.Delay
				}
				s.group.links[d] = &l
			}
		}
	})
}

// SetLag changes how long after receiving an entry a replica applies it.
func (s *Server) SetLag(d time.Duration) {
	s.change(FaultLag, d, func() { s.Lag = d })
}

// Kill closes the listener and all connections and loses the last entries of the
// log. A primary that lost any comes back as a replica that follows nobody.
func (s *Server) Kill(lost int) {
	s.change(FaultKill, lost, func() {
		s.faults.killed = true
		for n := range s.sessions {
			n.cancel(killed())
		}
		if lost > 0 {
			s.stepDown()
			s.matched = false
			s.truncate(max(0, len(s.log)-lost))
		}
	})
}

func killed() error {
	return refuse(stateShutdown, "terminating connection due to administrator command")
}

// Start lets a killed server listen again.
func (s *Server) Start() {
	s.change(FaultKill, false, func() { s.faults.killed = false })
}

// Freeze stops all answers, notifications and log entries; connections stay.
func (s *Server) Freeze(on bool) {
	s.change(FaultFreeze, on, func() { s.faults.frozen = on })
}

// Silence makes the present connections swallow all bytes, both ways, for good.
func (s *Server) Silence() {
	s.change(FaultSilence, true, func() {
		for n := range s.sessions {
			n.conn.silence()
		}
	})
}

// SetLate delays each answer after its statement took effect.
func (s *Server) SetLate(d time.Duration) {
	s.change(FaultLate, d, func() { s.faults.late = d })
}

// DropAnswer closes the connection of the next commit after it took effect.
func (s *Server) DropAnswer() {
	s.change(FaultDropAnswer, true, func() { s.faults.dropAnswer = true })
}

// Refuse closes the listener; open connections go on.
func (s *Server) Refuse(on bool) {
	s.change(FaultRefuse, on, func() { s.faults.refusing = on })
}

// SetService changes the service time.
func (s *Server) SetService(d time.Duration) {
	s.change(FaultSlow, d, func() { s.Service = d })
}

// SetConnectDelay changes how long a new connection takes.
func (s *Server) SetConnectDelay(d time.Duration) {
	s.change(FaultConnectDelay, d, func() { s.ConnectDelay = d })
}

// thaw waits while the server is frozen.
func (s *Server) thaw(ctx context.Context) error {
	return s.group.until(ctx, func() bool { return !s.faults.frozen })
}

func (s *Server) delay() time.Duration {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.faults.late
}

func (s *Server) service() time.Duration {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.Service
}

func (s *Server) connectDelay() time.Duration {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.ConnectDelay
}

// conn is a client's connection that can go silent.
type conn struct {
	net.Conn
	session *session

	mu     sync.Mutex
	silent bool
	gone   bool

	// writing is held by who writes; it guards the fields below.
	writing chan struct{}
	// recording tells that an answer has begun, recorded is what was written of it.
	recording bool
	recorded  []byte
	// overdue are duplicates that were due within an answer.
	overdue [][]byte
}

func (c *conn) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}

// drop swallows what is written from now on and closes the connection.
func (c *conn) drop() {
	c.mu.Lock()
	c.silent, c.gone = true, true
	c.mu.Unlock()
	_ = c.Conn.Close()
}

func (c *conn) dropped() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gone
}

func (c *conn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

// Read gives nothing more once the connection is silent, until it is closed.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.isSilent() {
			c.session.server.group.Recorder.received(c.session.server.Name, c.session.id, p[:n])
			return n, err
		}
	}
}

// Write records p if it belongs to an answer.
func (c *conn) Write(p []byte) (int, error) {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	if c.recording {
		c.recorded = append(c.recorded, p...)
	}
	return c.write(p)
}

// write pretends success on a silent connection; c.writing is held.
func (c *conn) write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}
