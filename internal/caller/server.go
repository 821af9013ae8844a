// Package caller serves callers, the database clients, in the PostgreSQL wire protocol.
// It authenticates them, runs their sessions and transactions, and routes each request
// to a server of an upstream.
package caller

import (
	"context"
	"crypto/tls"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"go.opentelemetry.io/otel/metric"

	"github.com/savoryramp/savoryramp/internal/platform"
	"github.com/savoryramp/savoryramp/internal/upstream"
)

// Limiter limits requests to their workspace's rate and burst.
type Limiter interface {
	// Admit waits a limited time for a token of the rate limit. It returns
	// ErrRateLimited if there is none in time.
	Admit(ctx context.Context, workspace platform.WorkspaceName) error
}

// Server accepts callers' connections and runs a Session for each.
type Server struct {
	VM       platform.VMName
	Listener net.Listener
	// TLS is nil if connections aren't encrypted.
	TLS *tls.Config
	// Documents provides the service document with its databases, workspaces and keys.
	Documents interface {
		Current() platform.Snapshot
		Wait(ctx context.Context, after platform.DocumentVersion) (platform.Snapshot, error)
	}
	Upstreams *upstream.Upstreams
	// Limiter may be nil, for no limits.
	Limiter Limiter
	// TokenKey signs session tokens. Without it, tokens are neither issued nor
	// accepted.
	TokenKey TokenKey
	// MaxWait is the longest time that a request waits for a server, over all attempts.
	MaxWait time.Duration
	// ResponseTimeout is the longest wait for the next message of a server.
	ResponseTimeout time.Duration
	// ForwardCancel passes a cancel request on to the other VMs; it may be nil.
	ForwardCancel func(id SessionID, secret []byte)
	// DocumentTrusted reports whether this VM may still rely on its document. It is
	// false once the VM has been cut off from the platform's table and from all peers
	// for too long. May be nil.
	DocumentTrusted func() bool
	Logger          log.Logger
	Meter           metric.Meter

	mu       sync.Mutex
	sessions map[SessionID]*Session
	nextID   SessionID
	draining atomic.Bool
	// endsTransactions is true in the second half of a drain's time: open transactions are rolled back before their
	// next statement, unless that ends them.
	endsTransactions atomic.Bool
	startedAt        time.Time
	// lastTrusted is when DocumentTrusted was last true, as the time since startedAt.
	lastTrusted atomic.Int64
	// openConns counts connections, including those that haven't logged in yet.
	openConns atomic.Int64
	metrics   *instruments
}

// SessionID identifies a session of this VM. Callers see it as the process ID in
// BackendKeyData.
type SessionID uint32

// Run accepts callers until ctx ends, then aborts the remaining sessions.
func (s *Server) Run(ctx context.Context) error {
	s.init()
	sessionsCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var tasks sync.WaitGroup
	tasks.Go(func() { s.followDocuments(sessionsCtx) })
	tasks.Go(func() { s.watchTrust(sessionsCtx) })
	stopAccepting := context.AfterFunc(ctx, func() { s.Listener.Close() })
	defer stopAccepting()
	for {
		conn, err := s.Listener.Accept()
		if err != nil {
			if s.isClosed(ctx) {
				break
			}
			// For example, no file descriptors are left; pending connections are
			// accepted later.
			eventAcceptFailed.Log(s.Logger, "err", err)
			platform.Pause(ctx, acceptRetryDelay)
			continue
		}
		s.openConns.Add(1)
		tasks.Go(func() { s.serve(sessionsCtx, conn) })
	}
	<-ctx.Done()
	for _, session := range s.openSessions() {
		s.metrics.sessionsCut.Add(context.Background(), 1)
		session.abort()
	}
	cancel()
	tasks.Wait()
	return nil
}

// acceptRetryDelay is the pause after a failed accept.
const acceptRetryDelay = 50 * time.Millisecond

// isClosed reports whether the listener was closed by a drain or by the end of ctx.
func (s *Server) isClosed(ctx context.Context) bool { return ctx.Err() != nil || s.Draining() }

func (s *Server) init() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sessions, s.nextID = map[SessionID]*Session{}, randomSessionID()
	s.metrics = newInstruments(s.Meter)
	s.startedAt = time.Now()
}

// Draining reports whether the VM accepts no new callers.
func (s *Server) Draining() bool { return s.draining.Load() }

// Drain closes the listener, lets sessions end between transactions, and returns when
// none is left. After half of the time until ctx ends, it also ends open transactions. If ctx ends first, it returns ErrDrainTimeout and leaves the remaining
// sessions open; Run aborts them when its own context ends.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	if deadline, limited := ctx.Deadline(); limited {
		half := time.AfterFunc(time.Until(deadline)/2, func() { s.endsTransactions.Store(true) })
		// Sessions that Drain leaves open go on until Run aborts them.
		defer s.endsTransactions.Store(false)
		defer half.Stop()
	}
	_ = s.Listener.Close()
	ticker := time.NewTicker(drainCheckInterval)
	defer ticker.Stop()
	for s.openConns.Load() > 0 {
		for _, session := range s.openSessions() {
			session.requestEnd(reasonShutdown)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ErrDrainTimeout.New("%d sessions had not ended", s.openConns.Load())
		}
	}
	eventDrained.Log(s.Logger, "vm", s.VM)
	return nil
}

// drainCheckInterval is how often a drain looks for sessions that have become idle.
const drainCheckInterval = 20 * time.Millisecond

// followDocuments ends sessions whose key or database access a newer document revokes.
func (s *Server) followDocuments(ctx context.Context) {
	var version platform.DocumentVersion
	for {
		snapshot, err := s.Documents.Wait(ctx, version)
		if err != nil {
			return
		}
		version = snapshot.Version
		for _, session := range s.openSessions() {
			session.endIfRevoked(snapshot.Document)
		}
	}
}

// trustCheckInterval is how often the VM checks whether it may still rely on its
// document.
const trustCheckInterval = 250 * time.Millisecond

// watchTrust ends all sessions while the VM may not rely on its document.
func (s *Server) watchTrust(ctx context.Context) {
	ticker := time.NewTicker(trustCheckInterval)
	defer ticker.Stop()
	wasTrusted := true
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		isTrusted := s.isDocumentTrusted()
		if isTrusted != wasTrusted {
			eventTrustChanged.Log(s.Logger, "vm", s.VM, "trusted", isTrusted)
		}
		wasTrusted = isTrusted
		if isTrusted {
			s.lastTrusted.Store(int64(time.Since(s.startedAt)))
			continue
		}
		for _, session := range s.openSessions() {
			session.endWithTimeout(reasonUntrusted)
		}
	}
}

// isDocumentTrustedCached reports whether the VM may rely on its document, without a
// new check if the last one is recent. After a pause of the process, the last one
// isn't.
func (s *Server) isDocumentTrustedCached() bool {
	if time.Since(s.startedAt)-time.Duration(s.lastTrusted.Load()) <= 2*trustCheckInterval {
		return true
	}
	return s.isDocumentTrusted()
}

// serve runs the session of one connection.
func (s *Server) serve(ctx context.Context, conn net.Conn) {
	defer s.openConns.Add(-1)
	defer conn.Close()
	session := &Session{server: s, callerConn: newCallerConn(conn, time.Now().Add(loginTimeout)), floors: map[platform.UpstreamName]floor{}, preparedStatements: map[string]*preparedStatement{}}
	// A fault that one caller brings about ends that caller's session, not the process with all others.
	defer func() {
		if cause := recover(); cause != nil {
			eventSessionPanic.Log(s.Logger, "key", session.key, "cause", cause, "stack", string(debug.Stack()))
			s.metrics.panics.Add(context.Background(), 1)
			session.closeConnInUse()
		}
	}()
	session.run(ctx)
}

// register gives a session its ID and adds it to the open sessions.
func (s *Server) register(session *Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	session.id = s.nextID
	s.sessions[session.id] = session
	s.metrics.sessions.Add(context.Background(), 1)
}

func (s *Server) unregister(session *Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sessions[session.id] == session {
		delete(s.sessions, session.id)
		s.metrics.sessions.Add(context.Background(), -1)
	}
}

func (s *Server) openSessions() []*Session {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*Session, 0, len(s.sessions))
	for _, session := range s.sessions {
		list = append(list, session)
	}
	return list
}

// Cancel cancels the running statement of a session if the secret is correct. It
// returns false if this VM has no such session or the secret is wrong.
func (s *Server) Cancel(ctx context.Context, id SessionID, secret []byte) bool {
	s.mu.Lock()
	session := s.sessions[id]
	s.mu.Unlock()
	if session == nil || !session.hasSecret(secret) {
		return false
	}
	session.cancelStatement(ctx)
	return true
}
