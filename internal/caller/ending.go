package caller

import (
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/savoryramp/savoryramp/internal/platform"
)

// endReason says why the proxy ends a session.
type endReason string

const (
	reasonNone      endReason = ""
	reasonShutdown  endReason = "shutdown"
	reasonWithdrawn endReason = "withdrawn"
	reasonUntrusted endReason = "untrusted"
	reasonOverLimit endReason = "over-limit"
)

const (
	// withdrawnStatementTimeout is how long a running statement may continue after its
	// key was withdrawn, or after the VM may no longer rely on its document.
	withdrawnStatementTimeout = 2 * time.Second
	// minIdleBeforeShutdown is how long a session must have been idle before a shutdown
	// ends it at once. Other sessions get the shutdown error together with their next
	// answer, so that no request is already on its way when the connection closes.
	minIdleBeforeShutdown = 2 * time.Second
)

// sendClosingError sends the caller the reason why the proxy closes its connection, if
// the proxy initiated this.
func (s *Session) sendClosingError(err error) {
	s.mu.Lock()
	reason := s.endReason
	s.mu.Unlock()
	s.callerConn.startClosing()
	switch {
	case s.closingErrorSent:
		return
	case reason == reasonUntrusted:
		s.send(fatalResponse(ErrNotReady.New("VM %s can't check for withdrawn keys; connect again", s.server.VM), CodeCannotConnectNow))
	case reason == reasonWithdrawn:
		eventKeyWithdrawn.Log(s.server.Logger, "key", s.key, "workspace", s.workspace.Name)
		s.send(fatalResponse(ErrAuthentication.New("key %s was withdrawn", s.key), CodeInvalidAuthorization))
	case reason == reasonOverLimit:
		s.send(errorResponse("FATAL", ErrOverLimit.New("the session keeps too many settings")))
	case reason == reasonShutdown:
		s.send(s.shutdownError())
	case isType(err, ErrProtocol):
		eventProtocolError.Log(s.server.Logger, "key", s.key, "err", err)
		s.send(errorResponse("FATAL", err))
	case isType(err, ErrOverLimit):
		s.send(errorResponse("FATAL", err))
	default:
		return
	}
	_ = s.flush()
}

func (s *Session) shutdownError() *pgproto3.ErrorResponse {
	return fatalResponse(ErrNotReady.New("VM %s is shutting down; connect again", s.server.VM), CodeAdminShutdown)
}

// appendShutdownError adds the shutdown error to a complete answer while the VM is
// draining, unless the caller has already sent its next message.
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

// endForShutdown makes the session end in place of an answer. Its transaction is rolled back.
func (s *Session) endForShutdown() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endReason == reasonNone {
		s.endReason = reasonShutdown
	}
	return ErrNotReady.New("VM %s is shutting down", s.server.VM)
}

// requestEnd ends the session at once if it is idle, otherwise after its current answer.
// For a shutdown it does nothing unless the session has been idle for
// minIdleBeforeShutdown, outside of a transaction.
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

// endIfRevoked ends the session if a newer document revokes its key or its access to
// the database.
func (s *Session) endIfRevoked(d *platform.Document) {
	if s.isAllowed(d) {
		return
	}
	s.endWithTimeout(reasonWithdrawn)
}

// endWithTimeout ends the session at once if it is idle, otherwise after its current
// answer, and aborts it after withdrawnStatementTimeout.
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

// abort ends the session at once, also in the middle of a statement.
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
