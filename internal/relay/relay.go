// Package relay sends statements to other VMs: a VM forwards the statements for a server to
// the VM that owns the pooled connections to it, so that many VMs share a few connections.
//
// A link between two VMs is a TCP connection that carries one batch of commands at a time,
// encoded with gob. It doesn't use gRPC, because on a fleet of small VMs a hundred HTTP/2
// connections per VM would cost too much memory and CPU time, and their streams aren't needed.
package relay

import (
	"bufio"
	"context"
	"encoding/gob"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/joomcode/errorx"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/savoryramp/savoryramp/internal/budget"
	"github.com/savoryramp/savoryramp/internal/clock"
	"github.com/savoryramp/savoryramp/internal/event"
	"github.com/savoryramp/savoryramp/internal/heartbeat"
	"github.com/savoryramp/savoryramp/internal/proxy"
	"github.com/savoryramp/savoryramp/internal/socket"
)

// Version is the version of the messages between VMs. It must be raised with each change of
// them, so that VMs of different builds don't send each other statements during a rolling
// upgrade.
const Version = 4

// gobNames are the names under which gob encodes the commands and statements. They are sent
// with each value and have one or two letters, since traffic between zones is paid for by the
// byte.
var gobNames = map[string]any{
	"f":  proxy.Forward{},
	"b":  proxy.BeginAt{},
	"a":  proxy.Abandon{},
	"rs": proxy.Reset{},
	"as": proxy.Assign{},
	"p":  proxy.PreparePlan{},
	"s":  proxy.QueryStatus{},
	"d":  proxy.Demote{},
	"h":  proxy.PauseReceiving{},
	"u":  proxy.ResumeReceiving{},
	"r":  proxy.Read{},
	"w":  proxy.Write{},
	"x":  proxy.Execute{},
	"c":  proxy.Commit{},
}

func init() {
	for name, value := range gobNames {
		gob.RegisterName(name, value)
	}
}

const (
	// dialTimeout bounds opening a link: a few round trips to the farthest zone.
	dialTimeout = 150 * time.Millisecond
	// deadlineSlack is added to a batch's deadline for the network round trip and a busy VM.
	deadlineSlack = 150 * time.Millisecond
	// minConnectionsPerOwner is how many connections each owner of a server has at least. With
	// fewer owners each has more connections, so that a workspace usually finds an idle one of
	// its own.
	minConnectionsPerOwner = 4
	// timeoutsBeforeAvoiding is the number of consecutive failures from which on a timeout makes
	// a VM avoided. Any other error does so at once.
	timeoutsBeforeAvoiding = 2
	// initialAvoidance is how long a VM is avoided after its first failure. Each further failure,
	// including timeouts after which the VM wasn't avoided, doubles it, up to maxAvoidance.
	initialAvoidance = 500 * time.Millisecond
	maxAvoidance     = 4 * time.Second
	// maxIdleLinks is how many idle links to a VM are kept. A link that was idle for
	// maxLinkIdleTime isn't reused.
	maxIdleLinks    = 4
	maxLinkIdleTime = 10 * time.Second
	// bufferSize is the size of a link's read buffer and of its write buffer, in bytes.
	bufferSize = 4 << 10
)

var (
	eventPeerFailed = event.Define(5201, "relay-peer-failed", event.Warn,
		"Another VM couldn't be reached or didn't answer; it gets no statements for a while.")
	eventLateBatch = event.Define(5203, "relay-late-batch", event.Warn,
		"Statements of another VM arrived after that VM had stopped waiting for them, and weren't run.")
	eventDuplicate = event.Define(5204, "relay-duplicate", event.Warn,
		"A batch or reply of another VM had arrived before on the same link, or doesn't belong to the batch sent; it wasn't used.")
	eventAcceptFailed = event.Define(5202, "relay-accept", event.Warn, "Accepting a connection from another VM failed.")
)

// reply is the response to a batch.
type reply struct {
	// Number is that of the batch.
	Number  uint64
	Answers []proxy.Answer
	// Kind is the error's name in errorKinds, Text its message. They are empty if there is no
	// error.
	Kind, Text string
	// RetryAfterMs is the time to return after a refusal by the server's queue, in milliseconds,
	// and Load the server's load. Both are zero if there is no queue.
	RetryAfterMs int64
	Load         proxy.ServerLoad
}

// errorKinds are the errors whose type is preserved in the response to a batch.
var errorKinds = map[string]*errorx.Type{
	"broken": proxy.ErrBroken, "silent": proxy.ErrTimeout, "connect": proxy.ErrConnect, "refused": proxy.ErrRefused,
	"wrong-server": proxy.ErrWrongServer, "no-server": proxy.ErrNoServer, "busy": proxy.ErrBusy,
	"no-memory": proxy.ErrNoMemory, "unproven": proxy.ErrUnproven, "unsettled": proxy.ErrUnsettled,
}

// errorKind returns the name under which errorKinds has the error's type, "broken" if it has
// none.
func errorKind(err error) string {
	for name, errorType := range errorKinds {
		if errorx.IsOfType(err, errorType) {
			return name
		}
	}
	return "broken"
}

// Relay sends batches to other VMs and runs the batches that other VMs send. Its exported fields
// are set before Run.
type Relay struct {
	VM *proxy.VM
	// Capacity is this VM's CPU allowance in cores.
	Capacity float64
	Fleet    *heartbeat.Fleet
	Listener net.Listener
	// Budget is charged with long replies. It may be nil. Long batches are charged to the accounts of the
	// connections that Listener accepts.
	Budget *budget.Budget
	Logger log.Logger

	mu    sync.Mutex
	peers map[proxy.Address]*peerState
	// owners caches the choices of owners by server. It is emptied when the fleet's membership
	// changes, when a VM is avoided, and after ownersTTL.
	owners map[proxy.ServerID]*serverOwners
	// membershipGeneration is the fleet's MembershipGeneration for which owners and peersByZone
	// are valid, and ownersSince is when owners was last empty.
	membershipGeneration uint64
	ownersSince          time.Time
	// peersByZone has the other VMs by zone, as of ownersSince.
	peersByZone map[proxy.AvailabilityZone][]heartbeat.Peer
	// duplicateBatches and duplicateReplies count the messages that weren't used since they had arrived before.
	duplicateBatches, duplicateReplies atomic.Int64
}

// peerState is the state of the links to another VM.
type peerState struct {
	idleLinks []*link
	// failures counts the consecutive failures. It is reset when a link is kept for reuse.
	failures   int
	avoidUntil time.Time
}

// Open returns a link to a VM, an idle one if there is one.
func (r *Relay) Open(ctx context.Context, address proxy.Address) (proxy.PeerLink, error) {
	r.mu.Lock()
	p := r.stateOf(address)
	for len(p.idleLinks) > 0 {
		l := p.idleLinks[len(p.idleLinks)-1]
		p.idleLinks = p.idleLinks[:len(p.idleLinks)-1]
		if time.Since(l.idleSince) < maxLinkIdleTime && socket.IsAlive(l.net) {
			r.mu.Unlock()
			return l, nil
		}
		l.net.Close()
	}
	r.mu.Unlock()
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	nc, err := dialer.DialContext(ctx, "tcp", string(address))
	if err != nil {
		r.recordFailure(address, err)
		return nil, proxy.ErrPeerUnreachable.Wrap(err, "VM at %s", address)
	}
	out := bufio.NewWriterSize(nc, bufferSize)
	account := r.Budget.Unlimited()
	frames := &frameReader{in: bufio.NewReaderSize(nc, bufferSize), maxLength: maxReply, account: account, isReply: true}
	return &link{
		relay: r, address: address, net: nc, out: out, openedAt: clock.Now(), account: account,
		encoder: gob.NewEncoder(out), frames: frames, decoder: gob.NewDecoder(frames),
	}, nil
}

// stateOf returns the state of the links to a VM and creates it if necessary. r.mu must be
// held.
func (r *Relay) stateOf(address proxy.Address) *peerState {
	if r.peers == nil {
		r.peers = map[proxy.Address]*peerState{}
	}
	p := r.peers[address]
	if p == nil {
		p = &peerState{}
		r.peers[address] = p
	}
	return p
}

// recordFailure counts a failure of a VM. Unless the failure is a first timeout, the VM isn't
// chosen as an owner for a while.
func (r *Relay) recordFailure(address proxy.Address, err error) {
	r.mu.Lock()
	p := r.stateOf(address)
	p.failures++
	if os.IsTimeout(err) && p.failures < timeoutsBeforeAvoiding {
		r.mu.Unlock()
		return
	}
	avoidance := min(initialAvoidance<<min(p.failures-1, 6), maxAvoidance)
	p.avoidUntil = time.Now().Add(avoidance)
	idle := p.idleLinks
	p.idleLinks, r.owners = nil, nil
	r.mu.Unlock()
	for _, l := range idle {
		l.net.Close()
	}
	eventPeerFailed.Log(r.Logger, "peer", address, "failures", p.failures, "avoided", avoidance, "err", err)
}

// link is a connection to another VM. It implements proxy.PeerLink.
type link struct {
	relay   *Relay
	address proxy.Address
	net     net.Conn
	out     *bufio.Writer
	encoder *gob.Encoder
	decoder *gob.Decoder
	// frames reads the replies for the decoder.
	frames *frameReader
	// account is charged with a reply while it is received. It may be nil.
	account *budget.Account
	// openedAt is when the link was opened, idleSince when it last became idle.
	openedAt  clock.Instant
	idleSince time.Time
	// number is that of the latest batch.
	number uint64
	// failed is true after a batch whose answer didn't arrive.
	failed bool
	// load is the server's load in the last response.
	load proxy.ServerLoad
}

// Load returns the server's load in the last response.
func (l *link) Load() proxy.ServerLoad { return l.load }

// Exec runs a batch on the other VM. It returns ErrPeerOutcomeUnknown if no response arrived.
func (l *link) Exec(batch proxy.Batch, deadline time.Time) ([]proxy.Answer, error) {
	l.load = proxy.ServerLoad{}
	_ = l.net.SetDeadline(deadline.Add(deadlineSlack))
	l.number++
	batch.LinkAgeMs, batch.Number = clock.Since(l.openedAt).Milliseconds(), l.number
	err := l.encoder.Encode(batch)
	if err == nil {
		err = l.out.Flush()
	}
	var response reply
	defer l.account.ReleaseMessage()
	l.frames.forces = !batch.OnlyReads()
	if err == nil {
		response, err = l.receive()
	}
	if proxy.IsBusy(err) {
		// The link and the other VM work.
		l.failed = true
		return nil, proxy.ErrNoMemory.Wrap(err, "VM at %s", l.address)
	}
	if err != nil {
		l.failed = true
		l.relay.recordFailure(l.address, err)
		return nil, proxy.ErrPeerOutcomeUnknown.Wrap(err, "VM at %s", l.address)
	}
	l.load = response.Load
	if response.Kind != "" {
		errorType := errorKinds[response.Kind]
		if errorType == nil {
			errorType = proxy.ErrBroken
		}
		failure := errorType.New("VM at %s failed: %s", l.address, response.Text)
		return nil, proxy.WithRetryAfter(failure, time.Duration(response.RetryAfterMs)*time.Millisecond)
	}
	return response.Answers, nil
}

// receive returns the reply to the latest batch. It skips replies to earlier ones.
func (l *link) receive() (reply, error) {
	for {
		var response reply
		if err := l.decoder.Decode(&response); err != nil || response.Number == l.number {
			return response, err
		}
		l.account.ReleaseMessage()
		l.relay.duplicateReplies.Add(1)
		eventDuplicate.Log(l.relay.Logger, "peer", l.address, "kind", "reply", "received", response.Number, "expected", l.number)
		if response.Number > l.number {
			return reply{}, proxy.ErrPeerOutcomeUnknown.New("reply to batch %d, the latest one is %d", response.Number, l.number)
		}
	}
}

// RegisterMetrics registers the relay's instruments. It returns ErrMalformed if the meter rejects one.
func (r *Relay) RegisterMetrics(m metric.Meter) error {
	_, err := m.Int64ObservableCounter("savoryramp.relay.duplicates",
		metric.WithDescription("Batches and replies of other VMs that had arrived before and weren't used."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(r.duplicateBatches.Load(), metric.WithAttributes(attribute.String("kind", "batch")))
			o.Observe(r.duplicateReplies.Load(), metric.WithAttributes(attribute.String("kind", "reply")))
			return nil
		}))
	if err != nil {
		return proxy.ErrMalformed.Wrap(err, "instrument")
	}
	return nil
}

// Release keeps the link for reuse and resets the VM's count of failures, or closes the link if
// keep is false or enough links are idle.
func (l *link) Release(keep bool) {
	r := l.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.stateOf(l.address)
	if l.failed {
		_ = socket.CloseDiscarding(l.net)
		return
	}
	if !keep || len(p.idleLinks) >= maxIdleLinks {
		l.net.Close()
		return
	}
	p.failures = 0
	l.idleSince = time.Now()
	p.idleLinks = append(p.idleLinks, l)
}

// Run accepts the links of other VMs and runs the batches that arrive over them, until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { r.Listener.Close() })
	defer stop()
	var tasks sync.WaitGroup
	defer tasks.Wait()
	for ctx.Err() == nil {
		nc, err := r.Listener.Accept()
		if err != nil {
			if ctx.Err() == nil {
				eventAcceptFailed.Log(r.Logger, "err", err)
				<-time.After(time.Millisecond)
			}
			continue
		}
		tasks.Go(func() { r.serveLink(ctx, nc) })
	}
	return nil
}

// servedLinkIdleTimeout bounds waiting for the next batch of another VM, running the batch and
// sending the response. It is longer than the other VM keeps an idle link, so that a link isn't
// closed here while it may be reused there.
const servedLinkIdleTimeout = 2 * maxLinkIdleTime

// arrivalDelay returns how much later than sent a batch arrived, over a link that was accepted at an
// instant. The link's age at both ends tells it, whatever the clocks of the two VMs are. It is short of the
// truth by the time that the link itself waited to be accepted.
func arrivalDelay(b proxy.Batch, acceptedAt clock.Instant) time.Duration {
	return max(clock.Since(acceptedAt)-time.Duration(b.LinkAgeMs)*time.Millisecond, 0)
}

// serveLink runs the batches that arrive over one link.
func (r *Relay) serveLink(ctx context.Context, nc net.Conn) {
	defer nc.Close()
	stop := context.AfterFunc(ctx, func() { nc.Close() })
	defer stop()
	acceptedAt := clock.Now()
	session := proxy.RemoteSession{VM: r.VM}
	// A fault that one link brings about ends that link, not the process.
	defer func() {
		if cause := recover(); cause != nil {
			r.VM.RecordPanic(cause, "peer", nc.RemoteAddr())
		}
	}()
	defer session.Close()
	account := budget.AccountOf(nc)
	out := bufio.NewWriterSize(nc, bufferSize)
	encoder, decoder := gob.NewEncoder(out), gob.NewDecoder(&frameReader{in: bufio.NewReaderSize(nc, bufferSize), maxLength: maxBatch, account: account})
	// latest is the number of the latest batch. The link carries one at a time.
	latest := uint64(0)
	for {
		_ = nc.SetDeadline(time.Now().Add(servedLinkIdleTimeout))
		var batch proxy.Batch
		err := decoder.Decode(&batch)
		if err != nil && !proxy.IsBusy(err) {
			// A remote session usually ends when the other VM closes the link.
			return
		}
		if err != nil {
			// The skipped batch is taken for the next one. If it was a duplicate, the next one will be
			// refused as one, so that the reply remains true.
			batch.Number = latest + 1
		}
		if batch.Number <= latest {
			r.duplicateBatches.Add(1)
			eventDuplicate.Log(r.Logger, "peer", nc.RemoteAddr(), "kind", "batch", "request", requestOf(batch), "server", batch.Server, "received", batch.Number, "expected", latest+1)
			account.ReleaseMessage()
			continue
		}
		latest = batch.Number
		account.Progress(budget.Serving)
		batch.Shorten(arrivalDelay(batch, acceptedAt))
		if err == nil && (batch.Within <= 0 || !socket.IsAlive(budget.Underlying(nc))) {
			// Its sender has given up, perhaps long ago, and has told its caller so.
			eventLateBatch.Log(r.Logger, "peer", nc.RemoteAddr(), "server", batch.Server, "workspace", batch.Workspace, "late", -batch.Within, "outcome", "not run")
			return
		}
		var response reply
		if err == nil {
			response.Answers, err = session.Exec(ctx, batch)
		}
		if err != nil {
			response = reply{Kind: errorKind(err), Text: err.Error(), RetryAfterMs: proxy.RetryAfter(err).Milliseconds()}
		}
		response.Number, response.Load = batch.Number, session.Load(batch)
		chargeAnswers(account, response.Answers)
		account.Progress(budget.Sending)
		if encoder.Encode(response) != nil || out.Flush() != nil {
			return
		}
		account.ReleaseMessage()
		account.Progress(budget.Idle)
	}
}

// requestOf returns the ID of the request that a batch is part of, empty if it has none.
func requestOf(b proxy.Batch) proxy.RequestID {
	for _, c := range b.Commands {
		if f, isForward := c.(proxy.Forward); isForward {
			return f.ID
		}
	}
	return ""
}

// chargeAnswers charges long answers, which have been received already, and their encoded copy, in place of what was
// reserved for them.
func chargeAnswers(account *budget.Account, answers []proxy.Answer) {
	size := budget.Bytes(0)
	for _, a := range answers {
		for _, row := range a.Rows {
			size += budget.Bytes(len(row))
		}
	}
	if size > budget.FreeBytes {
		account.Force(2 * size)
	}
	for _, a := range answers {
		a.ReleaseMemory()
	}
}
