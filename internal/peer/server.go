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

// window is fixed, in bytes: sizing it by measurement would send a ping with each
// heartbeat.
const window = 256 << 10

// service answers peers.
type service struct {
	peerpb.UnimplementedPeerServer
	fleet *Fleet
}

func (f *Fleet) newServer() *grpc.Server {
	s := grpc.NewServer(
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: 10 * time.Second, Timeout: 5 * time.Second}),
		grpc.StaticStreamWindowSize(window),
		grpc.StaticConnWindowSize(window),
	)
	peerpb.RegisterPeerServer(s, &service{fleet: f})
	return s
}

// Beat hears a peer's heartbeats and answers each.
func (s *service) Beat(stream peerpb.Peer_BeatServer) error {
	w := writer{fleet: s.fleet}
	var from Caller
	for {
		h, err := stream.Recv()
		if err != nil {
			return err
		}
		if !s.fleet.hear(&from, h) {
			return status.Error(codes.FailedPrecondition, "an earlier incarnation, or no hello")
		}
		if err := stream.Send(w.next()); err != nil {
			return err
		}
	}
}

// hear takes in a heartbeat. It is false for one of an incarnation that a later one
// has replaced, or that said goodbye.
func (f *Fleet) hear(from *Caller, h *peerpb.Heartbeat) bool {
	if o := h.GetHello(); o != nil {
		*from = Caller{Name(o.GetVm()), Incarnation(o.GetIncarnation())}
	}
	if from.Name == "" || from.Name == f.Self {
		return false
	}
	if !f.note(*from, h) {
		return false
	}
	f.hearDocument(from.Name, h.GetDocument())
	news := false
	for _, v := range h.GetViews() {
		if f.board.take(v) && v.GetOrigin() != string(from.Name) {
			news = true
		}
	}
	if news {
		f.mu.Lock()
		f.kick()
		f.mu.Unlock()
	}
	return true
}

func (f *Fleet) note(from Caller, h *peerpb.Heartbeat) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if from.Incarnation <= f.ended[from.Name] {
		return false
	}
	m := f.member(from.Name)
	if from.Incarnation < m.life {
		return false
	}
	if o := h.GetHello(); o != nil {
		m.zone = platform.AvailabilityZone(o.GetAvailabilityZone())
		m.setAddress(platform.Address(o.GetAddress()))
	}
	m.life = from.Incarnation
	delete(f.removed, from.Name)
	m.heard = time.Now()
	m.draining = h.GetDraining()
	return true
}

// word is what a heartbeat tells of this VM's document, nil if nobody asks.
func (f *Fleet) word() *peerpb.Word {
	if f.Word == nil {
		return nil
	}
	w := f.Word()
	return &peerpb.Word{Version: int64(w.Version), Known: w.Known, AgeMs: w.Age.Milliseconds()}
}

// hearWord takes a peer's word from an answer, which is at most as old as the question.
// Heartbeats that come unasked may have lain in a buffer while this VM was paused.
func (f *Fleet) hearWord(from Name, w *peerpb.Word, took time.Duration) {
	if w == nil || f.OnWord == nil {
		return
	}
	f.OnWord(from, platform.Word{Version: platform.DocumentVersion(w.GetVersion()), Known: w.GetKnown(), Age: wordAge(w.GetAgeMs()) + took})
}

// oldestWord is what an age beyond it, or one under 0, counts as.
const oldestWord = 365 * 24 * time.Hour

// wordAge is rounded up, so that a document never counts as fresher than it is.
func wordAge(ms int64) time.Duration {
	if ms < 0 || ms >= oldestWord.Milliseconds() {
		return oldestWord
	}
	return time.Duration(ms+1) * time.Millisecond
}

func (f *Fleet) hearDocument(from Name, d *peerpb.Document) {
	if d == nil || f.OnNewer == nil {
		return
	}
	f.mu.Lock()
	newer := d.GetVersion() > f.document.GetVersion()
	f.mu.Unlock()
	if newer {
		f.OnNewer(from, platform.DocumentVersion(d.GetVersion()), platform.DocumentHash(d.GetHash()))
	}
}

func answer(ctx context.Context, h Handler, c *peerpb.Call) (*peerpb.Answer, error) {
	if h == nil {
		return nil, status.Error(codes.Unimplemented, "not answered here")
	}
	body, err := h(ctx, Caller{Name(c.GetVm()), Incarnation(c.GetIncarnation())}, c.GetName(), c.GetBody())
	if err != nil {
		return nil, status.Error(codes.Unknown, err.Error())
	}
	return &peerpb.Answer{Body: body}, nil
}

// Promise is answered by the fleet's OnPromise.
func (s *service) Promise(ctx context.Context, c *peerpb.Call) (*peerpb.Answer, error) {
	return answer(ctx, s.fleet.OnPromise, c)
}

// Borrow is answered by the fleet's OnBorrow.
func (s *service) Borrow(ctx context.Context, c *peerpb.Call) (*peerpb.Answer, error) {
	return answer(ctx, s.fleet.OnBorrow, c)
}

// Share is answered by the fleet's OnShare.
func (s *service) Share(ctx context.Context, c *peerpb.Call) (*peerpb.Answer, error) {
	return answer(ctx, s.fleet.OnShare, c)
}

// Document is answered by the fleet's OnDocument.
func (s *service) Document(ctx context.Context, r *peerpb.DocumentRequest) (*peerpb.DocumentAnswer, error) {
	if s.fleet.OnDocument == nil {
		return nil, status.Error(codes.Unimplemented, "no documents here")
	}
	hash, body, err := s.fleet.OnDocument(ctx, platform.DocumentVersion(r.GetVersion()))
	if err != nil {
		return nil, status.Error(codes.Unknown, err.Error())
	}
	return &peerpb.DocumentAnswer{Version: r.GetVersion(), Hash: string(hash), Body: body}, nil
}

// Cancel is answered by the fleet's OnCancel.
func (s *service) Cancel(ctx context.Context, r *peerpb.CancelRequest) (*peerpb.CancelAnswer, error) {
	if s.fleet.OnCancel == nil {
		return nil, status.Error(codes.Unimplemented, "no sessions here")
	}
	if err := s.fleet.OnCancel(ctx, r.GetProcess(), r.GetSecret()); err != nil {
		return nil, status.Error(codes.Unknown, err.Error())
	}
	return &peerpb.CancelAnswer{}, nil
}

// Goodbye takes the caller out of use.
func (s *service) Goodbye(_ context.Context, r *peerpb.GoodbyeRequest) (*peerpb.GoodbyeAnswer, error) {
	f := s.fleet
	f.mu.Lock()
	n := Name(r.GetVm())
	f.ended[n] = max(f.ended[n], Incarnation(r.GetIncarnation()))
	f.member(n).ended = f.ended[n]
	f.mu.Unlock()
	f.judge()
	return &peerpb.GoodbyeAnswer{}, nil
}
