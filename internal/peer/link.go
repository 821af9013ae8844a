package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/savoryramp/savoryramp/internal/peer/peerpb"
	"github.com/savoryramp/savoryramp/internal/platform"
)

// link is this VM's connection to one peer, which carries heartbeats and calls.
type link struct {
	fleet *Fleet
	to    Name
	// sendRequested holds a token if a heartbeat has to be sent before the next
	// interval ends.
	sendRequested chan struct{}
	// running is whether the link's goroutine runs; the fleet's mutex guards it.
	running bool

	mu      sync.Mutex
	address platform.Address
	conn    *grpc.ClientConn
	// cancelStream ends the current heartbeat stream. While paused, the goroutine opens
	// no other one.
	cancelStream context.CancelFunc
	paused       bool
}

func newLink(f *Fleet, to Name) *link {
	return &link{fleet: f, to: to, sendRequested: make(chan struct{}, 1)}
}

// run exchanges heartbeats with the peer until ctx ends or the link is paused.
func (k *link) run(ctx context.Context) {
	for ctx.Err() == nil && !k.isPaused() {
		k.runStream(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(k.fleet.HeartbeatInterval):
		}
	}
	k.fleet.mu.Lock()
	k.running = false
	k.fleet.mu.Unlock()
}

// runStream opens a stream and exchanges heartbeats on it until an answer is late. It
// then closes the connection, which may be dead although new connections to the peer
// work.
func (k *link) runStream(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := k.connect(cancel)
	if err != nil {
		return
	}
	defer k.closeConn(conn)
	answerTimer := time.AfterFunc(suspectIntervals*k.fleet.HeartbeatInterval, cancel)
	defer answerTimer.Stop()
	stream, err := peerpb.NewPeerClient(conn).Beat(ctx)
	if err != nil {
		return
	}
	k.exchangeHeartbeats(ctx, stream, answerTimer)
}

// exchangeHeartbeats sends a heartbeat at each interval or request and waits for its
// answer. It returns when the stream fails, an answer is late or ctx ends.
func (k *link) exchangeHeartbeats(ctx context.Context, stream peerpb.Peer_BeatClient, answerTimer *time.Timer) {
	ticker := time.NewTicker(k.fleet.HeartbeatInterval)
	defer ticker.Stop()
	w := heartbeatWriter{fleet: k.fleet, to: k.to, sendsViews: true}
	var from Caller
	for {
		answerTimer.Reset(suspectIntervals * k.fleet.HeartbeatInterval)
		sentAt := time.Now()
		if stream.Send(w.nextHeartbeat()) != nil {
			return
		}
		answer, err := stream.Recv()
		roundTrip := time.Since(sentAt)
		if err != nil || roundTrip > suspectIntervals*k.fleet.HeartbeatInterval || !k.fleet.receiveHeartbeat(&from, answer) {
			return
		}
		k.fleet.receiveDocumentReport(from.Name, answer.GetWord(), roundTrip)
		if w.hasUnsentViews() {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-k.sendRequested:
		}
	}
}

// connect returns the connection to the peer and stores cancelStream, which ends the
// stream that is opened on the connection next.
func (k *link) connect(cancelStream context.CancelFunc) (*grpc.ClientConn, error) {
	conn, err := k.clientConn()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cancelStream = cancelStream
	return conn, err
}

// clientConn returns the current connection and creates one if there is none.
func (k *link) clientConn() (*grpc.ClientConn, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.conn != nil {
		return k.conn, nil
	}
	if k.address == "" {
		return nil, ErrUnreachable.New("the address of %s is not known", k.to)
	}
	conn, err := grpc.NewClient(
		"passthrough:///"+string(k.address),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(k.fleet.dial),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 2, Jitter: 0.2, MaxDelay: time.Second},
			MinConnectTimeout: 2 * time.Second,
		}),
		grpc.WithDisableServiceConfig(),
		grpc.WithStaticStreamWindowSize(windowBytes),
		grpc.WithStaticConnWindowSize(windowBytes),
	)
	if err != nil {
		return nil, ErrUnreachable.Wrap(err, "peer %s", k.to)
	}
	k.conn = conn
	return conn, nil
}

// closeConn closes a connection; the next call or stream creates a new one.
func (k *link) closeConn(conn *grpc.ClientConn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.conn == conn {
		k.conn = nil
	}
	_ = conn.Close()
}

// setAddress changes the peer's address and closes the connection to the earlier one.
func (k *link) setAddress(a platform.Address) {
	k.mu.Lock()
	k.address = a
	conn := k.conn
	k.mu.Unlock()
	if conn != nil {
		k.closeConn(conn)
	}
}

// setPaused stops or permits the exchange of heartbeats. Calls may connect in either
// case.
func (k *link) setPaused(paused bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.paused = paused
	if paused && k.cancelStream != nil {
		k.cancelStream()
	}
}

func (k *link) close() {
	k.setPaused(true)
	k.mu.Lock()
	conn := k.conn
	k.mu.Unlock()
	if conn != nil {
		k.closeConn(conn)
	}
}

func (k *link) isPaused() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.paused
}

// sendNow requests a heartbeat before the current interval ends.
func (k *link) sendNow() {
	select {
	case k.sendRequested <- struct{}{}:
	default:
	}
}

// dial opens a connection, with TLS if the fleet is configured for it.
func (f *Fleet) dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := f.Dial(ctx, "tcp", address)
	if err != nil || f.TLS == nil {
		return c, err
	}
	config, err := f.TLS.clientConfig()
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	tlsConn := tls.Client(c, config)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		_ = c.Close()
		return nil, err
	}
	return tlsConn, nil
}

func wrapTLS(l net.Listener, f *TLSFiles) net.Listener { return tls.NewListener(l, f.serverConfig()) }

// heartbeatWriter builds the heartbeats of one stream. Each one contains only what
// changed since the one before.
type heartbeatWriter struct {
	fleet *Fleet
	to    Name
	// sendsViews is set on the side that opened the stream; answers contain no views.
	sendsViews          bool
	sentHello           bool
	sentDocumentVersion int64
	// lastSentChange is the view store's change number up to which views were sent.
	lastSentChange int64
}

func (w *heartbeatWriter) nextHeartbeat() *peerpb.Heartbeat {
	f := w.fleet
	report := f.documentReport()
	f.mu.Lock()
	defer f.mu.Unlock()
	h := &peerpb.Heartbeat{Draining: f.draining, Word: report}
	if !w.sentHello {
		w.sentHello = true
		h.Hello = &peerpb.Hello{
			Vm: string(f.Self), Incarnation: int64(f.Incarnation),
			AvailabilityZone: string(f.AvailabilityZone), Address: string(f.Address),
		}
	}
	if f.document.GetVersion() > w.sentDocumentVersion {
		w.sentDocumentVersion = f.document.GetVersion()
		h.Document = f.document
	}
	if w.sendsViews {
		h.Views, w.lastSentChange = f.views.changesSince(w.lastSentChange, w.to)
	}
	return h
}

// hasUnsentViews reports whether views changed that the last heartbeat didn't contain.
func (w *heartbeatWriter) hasUnsentViews() bool {
	w.fleet.views.mu.Lock()
	defer w.fleet.views.mu.Unlock()
	return w.sendsViews && w.lastSentChange < w.fleet.views.lastChange
}
