package caller

import (
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/savoryramp/savoryramp/internal/platform"
)

// reason is why a session is asked to end.
type reason string

const (
	reasonNone      reason = ""
	reasonShutdown  reason = "shutdown"
	reasonWithdrawn reason = "withdrawn"
	reasonUntrusted reason = "untrusted"
)

const (
	// withdrawnStatementFor is how long a statement may go on after its key was
	// withdrawn, or after the VM lost the right to rely on its document.
	withdrawnStatementFor = 2 * time.Second
	// quietBeforeEnd is how long a session must have been idle before a shutdown
	// ends it. Those that aren't idle as long end with their next answer, which the
	// caller gets together with the farewell, so that no request crosses it.
	quietBeforeEnd = 2 * time.Second
)

// farewell tells the caller why its connection ends, when it was sent away.
func (s *Session) farewell(err error) {
	s.mu.Lock()
	ending := s.ending
	s.mu.Unlock()
	s.net.end()
	switch {
	case s.parted:
		return
	case ending == reasonUntrusted:
		s.send(withCode(ErrNotReady.New("VM %s can't learn what was withdrawn; connect again", s.server.VM), CodeNotReady))
	case ending == reasonWithdrawn:
		eventKeyWithdrawn.Log(s.server.Logger, "key", s.key, "workspace", s.workspace.Name)
		s.send(withCode(ErrAuthentication.New("key %s was withdrawn", s.key), CodeAuthorization))
	case ending == reasonShutdown:
		s.send(s.shutdown())
	case isType(err, ErrProtocol):
		eventProtocol.Log(s.server.Logger, "key", s.key, "err", err)
		s.send(response("FATAL", err))
	default:
		return
	}
	_ = s.flush()
}

func (s *Session) shutdown() *pgproto3.ErrorResponse {
	return withCode(ErrNotReady.New("VM %s is shutting down; connect again", s.server.VM), CodeShutdown)
}

// partWays puts the farewell behind a whole answer when the VM shuts down, unless the
// caller has sent more already.
func (s *Session) partWays() {
	if !s.server.Draining() || s.net.ahead(s.taken) {
		return
	}
	s.mu.Lock()
	if s.ending == reasonNone {
		s.ending = reasonShutdown
	}
	s.parted = s.ending == reasonShutdown
	s.mu.Unlock()
	if s.parted {
		s.send(s.shutdown())
	}
}

func withCode(err error, code Code) *pgproto3.ErrorResponse {
	m := response("FATAL", err)
	m.Code = string(code)
	m.Detail = hintNotRun
	return m
}

// interrupt asks the session to end: now if it is idle, else after its answer. A
// shutdown lets a transaction finish.
func (s *Session) interrupt(why reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if why == reasonShutdown && (s.active.Load() || s.inTransaction() || s.net.receiving() || time.Since(s.idleSince) < quietBeforeEnd) {
		return
	}
	if s.ending == reasonNone || s.ending == reasonShutdown {
		s.ending = why
	}
	if !s.active.Load() {
		s.net.stop()
	}
}

// recheck ends the session if a newer document takes its key or database away.
func (s *Session) recheck(d *platform.Document) {
	if s.allowed(d) {
		return
	}
	s.endWithin(reasonWithdrawn)
}

// endWithin ends the session now if it is idle, else after its answer or a bound.
func (s *Session) endWithin(why reason) {
	s.mu.Lock()
	asked := s.ending == why
	s.mu.Unlock()
	if asked {
		return
	}
	s.interrupt(why)
	time.AfterFunc(withdrawnStatementFor, s.abort)
}

// abort breaks off whatever the session does.
func (s *Session) abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ending == reasonNone {
		s.ending = reasonShutdown
	}
	if s.running != nil {
		s.running.Abort()
	}
	s.aborted = true
	s.stop()
	s.net.end()
}
