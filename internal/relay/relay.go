// Package relay speaks with the other VMs about statements: a VM sends what is for a
// server to the VM that holds the connections to it, so that a few connections serve
// many VMs.
//
// A way between two VMs is a TCP connection that carries one batch at a time, in gob. It
// isn't gRPC: a fleet of small VMs would pay for a hundred HTTP/2 connections each in
// memory and processor time, and needs none of their streams.
package relay

import (
	"bufio"
	"cmp"
	"context"
	"encoding/gob"
	"math"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/joomcode/errorx"

	"github.com/savoryramp/savoryramp/internal/event"
	"github.com/savoryramp/savoryramp/internal/heartbeat"
	"github.com/savoryramp/savoryramp/internal/proxy"
	"github.com/savoryramp/savoryramp/internal/socket"
)

// Version is that of the messages between VMs. It rises with each change of them, so that
// VMs of two builds don't send each other statements while one replaces the other.
const Version = 2

// names are what ways call the commands and statements, which are sent with each of them:
// one letter or two, since the bytes between zones are paid for.
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
	for name, one := range gobNames {
		gob.RegisterName(name, one)
	}
}

const (
	// dialWithin bounds opening a way: a few round trips to the farthest zone.
	dialTimeout = 150 * time.Millisecond
	// slack is waited beyond a batch's time, for the way back and a loaded VM.
	deadlineSlack = 150 * time.Millisecond
	// homeConnections are dealt to each home of a server at least, so that a workspace finds
	// one of its own more often than not: with fewer homes each has more.
	minConnectionsPerOwner = 4
	// silentTimes batches in a row must have had no answer before a VM is avoided.
	timeoutsBeforeAvoiding = 2
	// avoidFirst follows a failure of a VM; each further one doubles it.
	initialAvoidance = 500 * time.Millisecond
	maxAvoidance     = 4 * time.Second
	// keepIdle ways to a VM are kept, each for idleAtMost.
	maxIdleLinks    = 4
	maxLinkIdleTime = 10 * time.Second
	bufferSize      = 4 << 10
)

var (
	eventPeerFailed = event.Define(5201, "relay-peer-failed", event.Warn,
		"Another VM couldn't be reached or didn't answer; statements go over own connections for a while.")
	eventAcceptFailed = event.Define(5202, "relay-accept", event.Warn, "A way from another VM couldn't be taken.")
)

// reply is the answer to a batch.
type reply struct {
	Answers []proxy.Answer
	// Kind and Text are of the error, empty for none.
	Kind, Text string
}

// kinds are the errors that are told to the VM that sent a batch.
var errorKinds = map[string]*errorx.Type{
	"broken": proxy.ErrBroken, "silent": proxy.ErrTimeout, "connect": proxy.ErrConnect, "refused": proxy.ErrRefused,
	"wrong-server": proxy.ErrWrongServer, "no-server": proxy.ErrNoServer, "busy": proxy.ErrBusy,
}

func errorKind(err error) string {
	for name, t := range errorKinds {
		if errorx.IsOfType(err, t) {
			return name
		}
	}
	return "broken"
}

// Relay sends batches to other VMs and takes theirs. The exported fields are set before Run.
type Relay struct {
	VM *proxy.VM
	// Capacity is this VM's part of a core.
	Capacity float64
	Fleet    *heartbeat.Fleet
	Listener net.Listener
	Logger   log.Logger

	mu    sync.Mutex
	peers map[proxy.Address]*peerState
	// homes are the choices made since a VM last came, went or failed.
	owners map[ownerKey]proxy.Address
	// generation of the fleet that homes are of; homesAt is when they were begun.
	membershipGeneration uint64
	ownersSince          time.Time
	// zones has the VMs by zone.
	peersByZone map[proxy.AvailabilityZone][]heartbeat.Peer
}

// home is what a VM is home for.
type ownerKey struct {
	server    proxy.ServerID
	workspace proxy.WorkspaceName
}

// peer is another VM.
type peerState struct {
	idle       []*link
	failures   int
	avoidUntil time.Time
}

// homesFor is how long a choice of homes is kept: as long as VMs are avoided.
const ownersTTL = 2 * time.Second

// Home is the VM that holds the connections to a server for a workspace: one of those in
// the server's zone, so that only the way there crosses zones, by rendezvous hashing.
func (r *Relay) Owner(s proxy.Server, w proxy.WorkspaceName, connections int) (proxy.Address, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if generation := r.Fleet.MembershipGeneration(); r.owners == nil || generation != r.membershipGeneration || now.Sub(r.ownersSince) > ownersTTL {
		r.owners, r.ownersSince, r.membershipGeneration = map[ownerKey]proxy.Address{}, now, generation
		r.peersByZone = map[proxy.AvailabilityZone][]heartbeat.Peer{}
		for _, p := range r.Fleet.Peers() {
			zone := proxy.AvailabilityZone(p.Zone)
			r.peersByZone[zone] = append(r.peersByZone[zone], p)
		}
	}
	key := ownerKey{s.ID, w}
	address, cached := r.owners[key]
	if !cached {
		address = r.chooseOwner(s, w, connections, now)
		r.owners[key] = address
	}
	return address, address == ""
}

// choose gives the home's address, empty for this VM; r.mu is held. Of the VMs in the
// server's zone a few hold connections to it, and one of these is the workspace's home.
func (r *Relay) chooseOwner(s proxy.Server, w proxy.WorkspaceName, connections int, now time.Time) proxy.Address {
	type candidate struct {
		name    string
		address proxy.Address
		score   float64
		size    float64
	}
	var list []candidate
	if r.VM.Zone == s.Zone {
		list = append(list, candidate{name: string(r.VM.Name), size: r.Capacity})
	}
	for _, p := range r.peersByZone[s.Zone] {
		state := r.peers[proxy.Address(p.Address)]
		if p.Silent || p.Leaving || p.RelayVersion != Version || state != nil && now.Before(state.avoidUntil) {
			continue
		}
		list = append(list, candidate{name: string(p.VM), address: proxy.Address(p.Address), size: p.Capacity})
	}
	for i := range list {
		list[i].score = score(string(s.ID), list[i].name, list[i].size)
	}
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
	list = list[:min(len(list), max(connections/minConnectionsPerOwner, 1))]
	var best proxy.Address
	bestScore := -1.0
	for _, c := range list {
		if workspaceScore := score(string(s.ID)+"/"+string(w), c.name, c.size); workspaceScore > bestScore {
			best, bestScore = c.address, workspaceScore
		}
	}
	return best
}

// score ranks a VM for a key: over all keys, VMs come first in proportion to capacity.
func score(key, vm string, capacity float64) float64 {
	if capacity <= 0 {
		capacity = 1
	}
	u := (float64(xxhash.Sum64String(key+"/"+vm)) + 1) / math.MaxUint64
	return -capacity / math.Log(min(u, 1-1e-12))
}

// Open gives a way to a VM, kept or new.
func (r *Relay) Open(ctx context.Context, address proxy.Address) (proxy.PeerLink, error) {
	r.mu.Lock()
	p := r.peerState(address)
	for len(p.idle) > 0 {
		l := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
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
	return &link{
		relay: r, address: address, net: nc, out: out,
		encoder: gob.NewEncoder(out), decoder: gob.NewDecoder(bufio.NewReaderSize(nc, bufferSize)),
	}, nil
}

// peer gives what is known of a VM; r.mu is held.
func (r *Relay) peerState(address proxy.Address) *peerState {
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

// failed keeps statements from a VM for a while.
func (r *Relay) recordFailure(address proxy.Address, err error) {
	r.mu.Lock()
	p := r.peerState(address)
	p.failures++
	if os.IsTimeout(err) && p.failures < timeoutsBeforeAvoiding {
		r.mu.Unlock()
		return
	}
	avoidance := min(initialAvoidance<<min(p.failures-1, 6), maxAvoidance)
	p.avoidUntil = time.Now().Add(avoidance)
	idle := p.idle
	p.idle, r.owners = nil, nil
	r.mu.Unlock()
	for _, l := range idle {
		l.net.Close()
	}
	eventPeerFailed.Log(r.Logger, "peer", address, "failures", p.failures, "avoided", avoidance, "err", err)
}

// link is a way to another VM.
type link struct {
	relay     *Relay
	address   proxy.Address
	net       net.Conn
	out       *bufio.Writer
	encoder   *gob.Encoder
	decoder   *gob.Decoder
	idleSince time.Time
	// used is true once a batch was answered here.
	answered bool
}

// Exec runs a batch at the other VM.
func (l *link) Exec(b proxy.Batch, until time.Time) ([]proxy.Answer, error) {
	_ = l.net.SetDeadline(until.Add(deadlineSlack))
	err := l.encoder.Encode(b)
	if err == nil {
		err = l.out.Flush()
	}
	var answer reply
	if err == nil {
		err = l.decoder.Decode(&answer)
	}
	if err != nil {
		l.relay.recordFailure(l.address, err)
		return nil, proxy.ErrPeerOutcomeUnknown.Wrap(err, "VM at %s", l.address)
	}
	if answer.Kind != "" {
		t := errorKinds[answer.Kind]
		if t == nil {
			t = proxy.ErrBroken
		}
		return nil, t.New("by VM at %s: %s", l.address, answer.Text)
	}
	return answer.Answers, nil
}

// Give keeps the way, or ends it.
func (l *link) Release(keep bool) {
	r := l.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peerState(l.address)
	if !keep || len(p.idle) >= maxIdleLinks {
		l.net.Close()
		return
	}
	p.failures = 0
	l.idleSince = time.Now()
	p.idle = append(p.idle, l)
}

// Run takes other VMs' batches until ctx ends.
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

// guestIdle is how long a way may be without a batch: longer than the far end keeps it.
const servedLinkIdleTimeout = 2 * maxLinkIdleTime

// serve runs what comes over one way.
func (r *Relay) serveLink(ctx context.Context, nc net.Conn) {
	defer nc.Close()
	stop := context.AfterFunc(ctx, func() { nc.Close() })
	defer stop()
	session := proxy.RemoteSession{VM: r.VM}
	defer session.Close()
	out := bufio.NewWriterSize(nc, bufferSize)
	encoder, decoder := gob.NewEncoder(out), gob.NewDecoder(bufio.NewReaderSize(nc, bufferSize))
	for {
		_ = nc.SetDeadline(time.Now().Add(servedLinkIdleTimeout))
		var b proxy.Batch
		// The end of the way is the usual end of a guest.
		if err := decoder.Decode(&b); err != nil {
			return
		}
		answers, err := session.Exec(ctx, b)
		answer := reply{Answers: answers}
		if err != nil {
			answer = reply{Kind: errorKind(err), Text: err.Error()}
		}
		if encoder.Encode(answer) != nil || out.Flush() != nil {
			return
		}
	}
}
