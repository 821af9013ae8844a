// Package caller speaks to callers in the PostgreSQL wire protocol: sessions, keys,
// transactions and the way of each request to a server.
package caller

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"go.opentelemetry.io/otel/metric"

	"github.com/savoryramp/savoryramp/internal/platform"
	"github.com/savoryramp/savoryramp/internal/upstream"
)

// Limiter admits requests inside their workspace's rate and burst.
type Limiter interface {
	// Admit waits a bounded time for a token; ErrRate when there will be none.
	Admit(ctx context.Context, workspace platform.WorkspaceName) error
}

// Server accepts callers and runs a Session for each.
type Server struct {
	VM       platform.VMName
	Listener net.Listener
	// TLS is nil when callers come without it.
	TLS       *tls.Config
	Documents interface {
		Current() platform.Snapshot
		Wait(ctx context.Context, after platform.DocumentVersion) (platform.Snapshot, error)
	}
	Upstreams *upstream.Upstreams
	// Limiter may be nil: no limits.
	Limiter Limiter
	// TokenKey signs session tokens; without it none are given or taken.
	TokenKey TokenKey
	// MaxWait bounds how long a request waits for a server before it is refused.
	MaxWait time.Duration
	// Deadline bounds the silence of a server in the middle of a request.
	ResponseTimeout time.Duration
	// ForwardCancel passes a cancel request on to the other VMs; may be nil.
	ForwardCancel func(id SessionID, secret []byte)
	// Trusted tells whether this VM may still rely on its document: false once it
	// has been cut off from the table and from all peers for too long. May be nil.
	DocumentTrusted func() bool
	Logger          log.Logger
	Meter           metric.Meter

	mu        sync.Mutex
	sessions  map[SessionID]*Session
	nextID    SessionID
	draining  atomic.Bool
	startedAt time.Time
	// trustSeen is when Trusted last held, counted from began.
	lastTrusted atomic.Int64
	// open counts connections, those that haven't logged in yet included.
	openConns atomic.Int64
	metrics   *instruments
}

// SessionID numbers the sessions of one VM; it is the process id that a caller's
// driver sees.
type SessionID uint32

// Run accepts callers until ctx ends, then breaks off the sessions that are left.
func (s *Server) Run(ctx context.Context) error {
	s.init()
	sessionsCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var tasks sync.WaitGroup
	tasks.Go(func() { s.followDocuments(sessionsCtx) })
	tasks.Go(func() { s.watchTrust(sessionsCtx) })
	stop := context.AfterFunc(ctx, func() { s.Listener.Close() })
	defer stop()
	for {
		nc, err := s.Listener.Accept()
		if err != nil {
			if s.isClosed(ctx) {
				break
			}
			// Such as no file descriptors left; those who wait are accepted later.
			eventAcceptFailed.Log(s.Logger, "err", err)
			platform.Pause(ctx, acceptRetryDelay)
			continue
		}
		s.openConns.Add(1)
		tasks.Go(func() { s.serve(sessionsCtx, nc) })
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

// acceptPause follows a failed accept.
const acceptRetryDelay = 50 * time.Millisecond

// closed tells whether the listener was closed by a drain or the end of ctx.
func (s *Server) isClosed(ctx context.Context) bool { return ctx.Err() != nil || s.Draining() }

func (s *Server) init() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sessions, s.nextID = map[SessionID]*Session{}, randomSessionID()
	s.metrics = newInstruments(s.Meter)
	s.startedAt = time.Now()
}

// Draining tells whether the VM takes no new callers.
func (s *Server) Draining() bool { return s.draining.Load() }

// Drain takes no new callers, lets sessions end between transactions, and returns
// when none is left. ErrCut when ctx ended first; Run breaks off the rest.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	_ = s.Listener.Close()
	tick := time.NewTicker(drainCheckInterval)
	defer tick.Stop()
	for s.openConns.Load() > 0 {
		for _, session := range s.openSessions() {
			session.requestEnd(reasonShutdown)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ErrDrainTimeout.New("%d sessions had not ended", s.openConns.Load())
		}
	}
	eventDrained.Log(s.Logger, "vm", s.VM)
	return nil
}

// drainTick is how often a drain looks for sessions that have become idle.
const drainCheckInterval = 20 * time.Millisecond

// follow closes sessions whose key or database a newer document takes away.
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

// trustTick is how often sessions are ended if the VM has lost the right to rely on
// its document.
const trustCheckInterval = 250 * time.Millisecond

// watchTrust ends all sessions while the VM may not rely on its document.
func (s *Server) watchTrust(ctx context.Context) {
	tick := time.NewTicker(trustCheckInterval)
	defer tick.Stop()
	wasTrusted := true
	for {
		select {
		case <-tick.C:
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

// vouched tells whether the VM may rely on its document, without asking anew where that
// was seen lately. A process that was paused hasn't seen it for as long as it stood.
func (s *Server) isDocumentTrustedCached() bool {
	if time.Since(s.startedAt)-time.Duration(s.lastTrusted.Load()) <= 2*trustCheckInterval {
		return true
	}
	return s.isDocumentTrusted()
}

// serve runs one connection to its end.
func (s *Server) serve(ctx context.Context, nc net.Conn) {
	defer s.openConns.Add(-1)
	defer nc.Close()
	session := &Session{server: s, callerConn: newCallerConn(nc, time.Now().Add(loginTimeout)), floors: map[platform.UpstreamName]floor{}, preparedStatements: map[string]*preparedStatement{}}
	session.run(ctx)
}

// add numbers a session and makes it known.
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

// Cancel interrupts what the session runs, if the secret is its own. False if this
// VM has no such session.
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
