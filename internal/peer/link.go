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

// link is this VM's connection to one peer.
type link struct {
	fleet *Fleet
	to    Name
	now   chan struct{}
	// talking is guarded by the fleet's mutex: the link's goroutine runs.
	talking bool

	mu      sync.Mutex
	address platform.Address
	conn    *grpc.ClientConn
	// stop ends the goroutine's present stream; quiet says not to open another.
	stop  context.CancelFunc
	quiet bool
}

func newLink(f *Fleet, to Name) *link {
	return &link{fleet: f, to: to, now: make(chan struct{}, 1)}
}

// run sends heartbeats until ctx ends or the peer is no neighbour any more.
func (k *link) run(ctx context.Context) {
	for ctx.Err() == nil && !k.isQuiet() {
		k.converse(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(k.fleet.BeatEvery):
		}
	}
	k.fleet.mu.Lock()
	k.talking = false
	k.fleet.mu.Unlock()
}

// converse opens a stream and beats on it until an answer fails to come in time.
// The connection is then given up, since it may be silent for good while new ones
// work.
func (k *link) converse(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := k.open(cancel)
	if err != nil {
		return
	}
	defer k.drop(conn)
	patience := time.AfterFunc(suspectBeats*k.fleet.BeatEvery, cancel)
	defer patience.Stop()
	stream, err := peerpb.NewPeerClient(conn).Beat(ctx)
	if err != nil {
		return
	}
	k.beat(ctx, stream, patience)
}

func (k *link) beat(ctx context.Context, stream peerpb.Peer_BeatClient, patience *time.Timer) {
	tick := time.NewTicker(k.fleet.BeatEvery)
	defer tick.Stop()
	w := writer{fleet: k.fleet, to: k.to, views: true}
	var from Caller
	for {
		patience.Reset(suspectBeats * k.fleet.BeatEvery)
		asked := time.Now()
		if stream.Send(w.next()) != nil {
			return
		}
		answer, err := stream.Recv()
		took := time.Since(asked)
		if err != nil || took > suspectBeats*k.fleet.BeatEvery || !k.fleet.hear(&from, answer) {
			return
		}
		k.fleet.hearWord(from.Name, answer.GetWord(), took)
		if w.behind() {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-k.now:
		}
	}
}

func (k *link) open(stop context.CancelFunc) (*grpc.ClientConn, error) {
	conn, err := k.client()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stop = stop
	return conn, err
}

// client gives the present connection, opened on demand.
func (k *link) client() (*grpc.ClientConn, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.conn != nil {
		return k.conn, nil
	}
	if k.address == "" {
		return nil, ErrUnreachable.New("no address of %s is known", k.to)
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
		grpc.WithStaticStreamWindowSize(window),
		grpc.WithStaticConnWindowSize(window),
	)
	if err != nil {
		return nil, ErrUnreachable.Wrap(err, "peer %s", k.to)
	}
	k.conn = conn
	return conn, nil
}

// drop closes a connection that is given up.
func (k *link) drop(conn *grpc.ClientConn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.conn == conn {
		k.conn = nil
	}
	_ = conn.Close()
}

func (k *link) redial(a platform.Address) {
	k.mu.Lock()
	k.address = a
	conn := k.conn
	k.mu.Unlock()
	if conn != nil {
		k.drop(conn)
	}
}

// hush ends the heartbeats, or allows them; calls may open a connection in any case.
func (k *link) hush(quiet bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.quiet = quiet
	if quiet && k.stop != nil {
		k.stop()
	}
}

func (k *link) close() {
	k.hush(true)
	k.mu.Lock()
	conn := k.conn
	k.mu.Unlock()
	if conn != nil {
		k.drop(conn)
	}
}

func (k *link) isQuiet() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.quiet
}

func (k *link) kick() {
	select {
	case k.now <- struct{}{}:
	default:
	}
}

// dial opens a connection, with TLS if the fleet has it.
func (f *Fleet) dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := f.Dial(ctx, "tcp", address)
	if err != nil || f.TLS == nil {
		return c, err
	}
	settings, err := f.TLS.client()
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	secure := tls.Client(c, settings)
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = c.Close()
		return nil, err
	}
	return secure, nil
}

func newTLSListener(l net.Listener, f *Files) net.Listener { return tls.NewListener(l, f.server()) }

// writer composes one stream's heartbeats, each with what changed since the last.
type writer struct {
	fleet *Fleet
	to    Name
	views bool
	began bool
	told  int64
	order int64
}

func (w *writer) next() *peerpb.Heartbeat {
	f := w.fleet
	word := f.word()
	f.mu.Lock()
	defer f.mu.Unlock()
	h := &peerpb.Heartbeat{Draining: f.draining, Word: word}
	if !w.began {
		w.began = true
		h.Hello = &peerpb.Hello{
			Vm: string(f.Self), Incarnation: int64(f.Incarnation),
			AvailabilityZone: string(f.AvailabilityZone), Address: string(f.Address),
		}
	}
	if f.document.GetVersion() > w.told {
		w.told = f.document.GetVersion()
		h.Document = f.document
	}
	if w.views {
		h.Views, w.order = f.board.since(w.order, w.to)
	}
	return h
}

// behind tells whether views were left over from the last heartbeat.
func (w *writer) behind() bool {
	w.fleet.board.mu.Lock()
	defer w.fleet.board.mu.Unlock()
	return w.views && w.order < w.fleet.board.order
}
