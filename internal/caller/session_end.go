package caller

import (
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/savoryramp/savoryramp/internal/platform"
)

// reason is why a session is asked to end.
type endReason string

const (
	reasonNone      endReason = ""
	reasonShutdown  endReason = "shutdown"
	reasonWithdrawn endReason = "withdrawn"
	reasonUntrusted endReason = "untrusted"
)

const (
	// withdrawnStatementFor is how long a statement may go on after its key was
	// withdrawn, or after the VM lost the right to rely on its document.
	withdrawnStatementTimeout = 2 * time.Second
	// quietBeforeEnd is how long a session must have been idle before a shutdown
	// ends it. Those that aren't idle as long end with their next answer, which the
	// caller gets together with the farewell, so that no request crosses it.
	minIdleBeforeShutdown = 2 * time.Second
)

// farewell tells the caller why its connection ends, when it was sent away.
func (s *Session) sendClosingError(err error) {
	s.mu.Lock()
	reason := s.endReason
	s.mu.Unlock()
	s.callerConn.startClosing()
	switch {
	case s.closingErrorSent:
		return
	case reason == reasonUntrusted:
		s.send(fatalResponse(ErrNotReady.New("VM %s can't learn what was withdrawn; connect again", s.server.VM), CodeCannotConnectNow))
	case reason == reasonWithdrawn:
		eventKeyWithdrawn.Log(s.server.Logger, "key", s.key, "workspace", s.workspace.Name)
		s.send(fatalResponse(ErrAuthentication.New("key %s was withdrawn", s.key), CodeInvalidAuthorization))
	case reason == reasonShutdown:
		s.send(s.shutdownError())
	case isType(err, ErrProtocol):
		eventProtocolError.Log(s.server.Logger, "key", s.key, "err", err)
		s.send(errorResponse("FATAL", err))
	default:
		return
	}
	_ = s.flush()
}

func (s *Session) shutdownError() *pgproto3.ErrorResponse {
	return fatalResponse(ErrNotReady.New("VM %s is shutting down; connect again", s.server.VM), CodeAdminShutdown)
}

// partWays puts the farewell behind a whole answer when the VM shuts down, unless the
// caller has sent more already.
func (s *Session) appendShutdownError() {
	if !s.server.Draining() || s.callerConn.hasReceivedMoreThan(s.messagesHandled) {
		return
	}
	s.mu.Lock()
	if s.endReason == reasonNone {
		s.endReason = reasonShutdown
	}
	s.closingErrorSent = s.endReason == reasonShutdown
	s.mu.Unlock()
	if s.closingErrorSent {
		s.send(s.shutdownError())
	}
}

func fatalResponse(err error, code SQLState) *pgproto3.ErrorResponse {
	m := errorResponse("FATAL", err)
	m.Code = string(code)
	m.Detail = detailNotRun
	return m
}

// interrupt asks the session to end: now if it is idle, else after its answer. A
// shutdown lets a transaction finish.
func (s *Session) requestEnd(reason endReason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reason == reasonShutdown && (s.busy.Load() || s.hasConn() || s.callerConn.isReceiving() || time.Since(s.idleSince) < minIdleBeforeShutdown) {
		return
	}
	if s.endReason == reasonNone || s.endReason == reasonShutdown {
		s.endReason = reason
	}
	if !s.busy.Load() {
		s.callerConn.stopReading()
	}
}

// recheck ends the session if a newer document takes its key or database away.
func (s *Session) endIfRevoked(d *platform.Document) {
	if s.isAllowed(d) {
		return
	}
	s.endWithTimeout(reasonWithdrawn)
}

// endWithin ends the session now if it is idle, else after its answer or a bound.
func (s *Session) endWithTimeout(reason endReason) {
	s.mu.Lock()
	alreadyRequested := s.endReason == reason
	s.mu.Unlock()
	if alreadyRequested {
		return
	}
	s.requestEnd(reason)
	time.AfterFunc(withdrawnStatementTimeout, s.abort)
}

// abort breaks off whatever the session does.
func (s *Session) abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endReason == reasonNone {
		s.endReason = reasonShutdown
	}
	if s.connInUse != nil {
		s.connInUse.Abort()
	}
	s.aborted = true
	s.cancelRequests()
	s.callerConn.startClosing()
}
