package peer

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"github.com/savoryramp/savoryramp/internal/peer/peerpb"
	"github.com/savoryramp/savoryramp/internal/platform"
)

// windowBytes is the fixed HTTP/2 flow-control window. With a dynamic window, gRPC's
// bandwidth estimator would send a ping with each heartbeat.
const windowBytes = 256 << 10

// peerService implements the gRPC service for peers.
type peerService struct {
	peerpb.UnimplementedPeerServer
	fleet *Fleet
}

const (
	// loginTimeout bounds the TLS handshake of a peer and the start of its HTTP/2 connection.
	loginTimeout = 5 * time.Second
	// maxHeader limits the headers of a request, in bytes.
	maxHeader = 8 << 10
)

func (f *Fleet) newServer() *grpc.Server {
	s := grpc.NewServer(
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: 10 * time.Second, Timeout: 5 * time.Second}),
		grpc.StaticStreamWindowSize(windowBytes),
		grpc.StaticConnWindowSize(windowBytes),
		grpc.ConnectionTimeout(loginTimeout),
		grpc.MaxHeaderListSize(maxHeader),
	)
	peerpb.RegisterPeerServer(s, &peerService{fleet: f})
	return s
}

// Beat receives a peer's heartbeats and answers each with one of its own.
func (s *peerService) Beat(stream peerpb.Peer_BeatServer) error {
	w := heartbeatWriter{fleet: s.fleet}
	var from Caller
	for {
		h, err := stream.Recv()
		if err != nil {
			return err
		}
		if !s.fleet.receiveHeartbeat(&from, h) {
			return status.Error(codes.FailedPrecondition, "heartbeat of an ended or earlier incarnation, or without a hello")
		}
		if err := stream.Send(w.nextHeartbeat()); err != nil {
			return err
		}
	}
}

// receiveHeartbeat processes a heartbeat and sets from by its hello, if it has one. It
// returns false, and ignores the heartbeat, if no valid hello came on the stream or the
// incarnation said goodbye or was replaced by a later one.
func (f *Fleet) receiveHeartbeat(from *Caller, h *peerpb.Heartbeat) bool {
	if hello := h.GetHello(); hello != nil {
		*from = Caller{Name(hello.GetVm()), Incarnation(hello.GetIncarnation())}
	}
	if from.Name == "" || from.Name == f.Self {
		return false
	}
	if !f.recordHeartbeat(*from, h) {
		return false
	}
	f.receiveDocumentVersion(from.Name, h.GetDocument())
	forward := false
	for _, v := range h.GetViews() {
		if f.views.update(v) && v.GetOrigin() != string(from.Name) {
			forward = true
		}
	}
	if forward {
		f.mu.Lock()
		f.sendNow()
		f.mu.Unlock()
	}
	return true
}

// recordHeartbeat updates the sender's member. It returns false if the incarnation said
// goodbye or was replaced by a later one.
func (f *Fleet) recordHeartbeat(from Caller, h *peerpb.Heartbeat) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if from.Incarnation <= f.endedIncarnations[from.Name] {
		return false
	}
	m := f.member(from.Name)
	if from.Incarnation < m.incarnation {
		return false
	}
	if hello := h.GetHello(); hello != nil {
		m.zone = platform.AvailabilityZone(hello.GetAvailabilityZone())
		m.setAddress(platform.Address(hello.GetAddress()))
	}
	m.incarnation = from.Incarnation
	delete(f.delisted, from.Name)
	m.lastSeen = time.Now()
	m.draining = h.GetDraining()
	return true
}

// documentReport returns the report on this VM's document for a heartbeat, nil without
// a ReportDocument hook.
func (f *Fleet) documentReport() *peerpb.Word {
	if f.ReportDocument == nil {
		return nil
	}
	w := f.ReportDocument()
	return &peerpb.Word{Version: int64(w.Version), Known: w.Known, AgeMs: w.Age.Milliseconds()}
}

// receiveDocumentReport passes on the report in the answer to a heartbeat, with the round
// trip added to the report's age: the answer can't be older than the heartbeat that it answers.
// Reports in heartbeats that a peer sent first aren't used, since these may have been
// buffered for any time while this VM was paused.
func (f *Fleet) receiveDocumentReport(from Name, w *peerpb.Word, roundTrip time.Duration) {
	if w == nil || f.OnDocumentReport == nil {
		return
	}
	f.OnDocumentReport(from, platform.DocumentReport{Version: platform.DocumentVersion(w.GetVersion()), Known: w.GetKnown(), Age: reportAge(w.GetAgeMs()) + roundTrip, Delay: roundTrip})
}

// maxReportAge replaces reported ages that are negative or greater.
const maxReportAge = 365 * 24 * time.Hour

// reportAge converts a reported age and rounds it up, so that a document never counts as
// confirmed more recently than it was.
func reportAge(ms int64) time.Duration {
	if ms < 0 || ms >= maxReportAge.Milliseconds() {
		return maxReportAge
	}
	return time.Duration(ms+1) * time.Millisecond
}

// receiveDocumentVersion calls OnNewerDocument if a peer announces a document version
// greater than this VM's.
func (f *Fleet) receiveDocumentVersion(from Name, d *peerpb.Document) {
	if d == nil || f.OnNewerDocument == nil {
		return
	}
	f.mu.Lock()
	newer := d.GetVersion() > f.document.GetVersion()
	f.mu.Unlock()
	if newer {
		f.OnNewerDocument(from, platform.DocumentVersion(d.GetVersion()), platform.DocumentHash(d.GetHash()))
	}
}

// callHandler runs the hook for a call and converts its result for gRPC.
func callHandler(ctx context.Context, h Handler, c *peerpb.Call) (*peerpb.Answer, error) {
	if h == nil {
		return nil, status.Error(codes.Unimplemented, "no handler for this call")
	}
	body, err := h(ctx, Caller{Name(c.GetVm()), Incarnation(c.GetIncarnation())}, c.GetName(), c.GetBody())
	if err != nil {
		return nil, status.Error(codes.Unknown, err.Error())
	}
	return &peerpb.Answer{Body: body}, nil
}

// Promise answers a lease request through the fleet's OnPromise hook.
func (s *peerService) Promise(ctx context.Context, c *peerpb.Call) (*peerpb.Answer, error) {
	return callHandler(ctx, s.fleet.OnPromise, c)
}

// Borrow answers a request for tokens through the fleet's OnBorrow hook.
func (s *peerService) Borrow(ctx context.Context, c *peerpb.Call) (*peerpb.Answer, error) {
	return callHandler(ctx, s.fleet.OnBorrow, c)
}

// Share answers a request about shares through the fleet's OnShare hook.
func (s *peerService) Share(ctx context.Context, c *peerpb.Call) (*peerpb.Answer, error) {
	return callHandler(ctx, s.fleet.OnShare, c)
}

// Document answers a request for a document body through the fleet's OnFetchDocument
// hook.
func (s *peerService) Document(ctx context.Context, r *peerpb.DocumentRequest) (*peerpb.DocumentAnswer, error) {
	if s.fleet.OnFetchDocument == nil {
		return nil, status.Error(codes.Unimplemented, "this VM serves no documents")
	}
	hash, body, err := s.fleet.OnFetchDocument(ctx, platform.DocumentVersion(r.GetVersion()))
	if err != nil {
		return nil, status.Error(codes.Unknown, err.Error())
	}
	return &peerpb.DocumentAnswer{Version: r.GetVersion(), Hash: string(hash), Body: body}, nil
}

// Cancel answers a cancel request through the fleet's OnCancel hook.
func (s *peerService) Cancel(ctx context.Context, r *peerpb.CancelRequest) (*peerpb.CancelAnswer, error) {
	if s.fleet.OnCancel == nil {
		return nil, status.Error(codes.Unimplemented, "this VM serves no sessions")
	}
	if err := s.fleet.OnCancel(ctx, r.GetProcess(), r.GetSecret()); err != nil {
		return nil, status.Error(codes.Unknown, err.Error())
	}
	return &peerpb.CancelAnswer{}, nil
}

// Goodbye marks the caller's incarnation as ended, so that its state becomes gone.
func (s *peerService) Goodbye(_ context.Context, r *peerpb.GoodbyeRequest) (*peerpb.GoodbyeAnswer, error) {
	f := s.fleet
	f.mu.Lock()
	n := Name(r.GetVm())
	f.endedIncarnations[n] = max(f.endedIncarnations[n], Incarnation(r.GetIncarnation()))
	f.member(n).ended = f.endedIncarnations[n]
	f.mu.Unlock()
	f.updateStates()
	return &peerpb.GoodbyeAnswer{}, nil
}
