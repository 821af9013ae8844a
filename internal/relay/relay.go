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
var names = map[string]any{
	"f":  proxy.Forward{},
	"b":  proxy.BeginAt{},
	"a":  proxy.Abandon{},
	"rs": proxy.Reset{},
	"as": proxy.Assign{},
	"p":  proxy.Plant{},
	"s":  proxy.AskStatus{},
	"d":  proxy.Demote{},
	"h":  proxy.Hold{},
	"u":  proxy.Unhold{},
	"r":  proxy.Read{},
	"w":  proxy.Write{},
	"x":  proxy.Execute{},
	"c":  proxy.Commit{},
}

func init() {
	for name, one := range names {
		gob.RegisterName(name, one)
	}
}

const (
	// dialWithin bounds opening a way: a few round trips to the farthest zone.
	dialWithin = 150 * time.Millisecond
	// slack is waited beyond a batch's time, for the way back and a loaded VM.
	slack = 150 * time.Millisecond
	// homeConnections are dealt to each home of a server at least, so that a workspace finds
	// one of its own more often than not: with fewer homes each has more.
	homeConnections = 4
	// silentTimes batches in a row must have had no answer before a VM is avoided.
	silentTimes = 2
	// avoidFirst follows a failure of a VM; each further one doubles it.
	avoidFirst = 500 * time.Millisecond
	avoidMost  = 4 * time.Second
	// keepIdle ways to a VM are kept, each for idleAtMost.
	keepIdle   = 4
	idleAtMost = 10 * time.Second
	buffer     = 4 << 10
)

var (
	eventPeerFailed = event.Define(5201, "relay-peer-failed", event.Warn,
		"Another VM couldn't be reached or didn't answer; statements go over own connections for a while.")
	eventAccept = event.Define(5202, "relay-accept", event.Warn, "A way from another VM couldn't be taken.")
)

// reply is the answer to a batch.
type reply struct {
	Answers []proxy.Answer
	// Kind and Text are of the error, empty for none.
	Kind, Text string
}

// kinds are the errors that are told to the VM that sent a batch.
var kinds = map[string]*errorx.Type{
	"broken": proxy.ErrBroken, "silent": proxy.ErrSilent, "connect": proxy.ErrConnect, "refused": proxy.ErrRefused,
	"wrong-server": proxy.ErrWrongServer, "no-server": proxy.ErrNoServer, "busy": proxy.ErrBusy,
}

func kindOf(err error) string {
	for name, t := range kinds {
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
	peers map[proxy.Address]*peer
	// homes are the choices made since a VM last came, went or failed.
	homes map[home]proxy.Address
	// generation of the fleet that homes are of; homesAt is when they were begun.
	generation uint64
	homesAt    time.Time
	// zones has the VMs by zone.
	zones map[proxy.AvailabilityZone][]heartbeat.Peer
}

// home is what a VM is home for.
type home struct {
	server    proxy.ServerID
	workspace proxy.WorkspaceName
}

// peer is another VM.
type peer struct {
	idle       []*link
	failures   int
	avoidUntil time.Time
}

// homesFor is how long a choice of homes is kept: as long as VMs are avoided.
const homesFor = 2 * time.Second

// Home is the VM that holds the connections to a server for a workspace: one of those in
// the server's zone, so that only the way there crosses zones, by rendezvous hashing.
func (r *Relay) Home(s proxy.Server, w proxy.WorkspaceName, connections int) (proxy.Address, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if generation := r.Fleet.Generation(); r.homes == nil || generation != r.generation || now.Sub(r.homesAt) > homesFor {
		r.homes, r.homesAt, r.generation = map[home]proxy.Address{}, now, generation
		r.zones = map[proxy.AvailabilityZone][]heartbeat.Peer{}
		for _, p := range r.Fleet.Peers() {
			zone := proxy.AvailabilityZone(p.Zone)
			r.zones[zone] = append(r.zones[zone], p)
		}
	}
	key := home{s.ID, w}
	address, known := r.homes[key]
	if !known {
		address = r.choose(s, w, connections, now)
		r.homes[key] = address
	}
	return address, address == ""
}

// choose gives the home's address, empty for this VM; r.mu is held. Of the VMs in the
// server's zone a few hold connections to it, and one of these is the workspace's home.
func (r *Relay) choose(s proxy.Server, w proxy.WorkspaceName, connections int, now time.Time) proxy.Address {
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
	for _, p := range r.zones[s.Zone] {
		known := r.peers[proxy.Address(p.Address)]
		if p.Silent || p.Leaving || p.Relay != Version || known != nil && now.Before(known.avoidUntil) {
			continue
		}
		list = append(list, candidate{name: string(p.VM), address: proxy.Address(p.Address), size: p.Capacity})
	}
	for i := range list {
		list[i].score = score(string(s.ID), list[i].name, list[i].size)
	}
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
	list = list[:min(len(list), max(connections/homeConnections, 1))]
	var best proxy.Address
	most := -1.0
	for _, c := range list {
		if own := score(string(s.ID)+"/"+string(w), c.name, c.size); own > most {
			best, most = c.address, own
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
func (r *Relay) Open(ctx context.Context, address proxy.Address) (proxy.RemoteLink, error) {
	r.mu.Lock()
	p := r.peer(address)
	for len(p.idle) > 0 {
		l := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if time.Since(l.idleSince) < idleAtMost && socket.Alive(l.net) {
			r.mu.Unlock()
			return l, nil
		}
		l.net.Close()
	}
	r.mu.Unlock()
	dialer := net.Dialer{Timeout: dialWithin, KeepAlive: -1}
	nc, err := dialer.DialContext(ctx, "tcp", string(address))
	if err != nil {
		r.failed(address, err)
		return nil, proxy.ErrUnreached.Wrap(err, "VM at %s", address)
	}
	out := bufio.NewWriterSize(nc, buffer)
	return &link{
		relay: r, address: address, net: nc, out: out,
		encoder: gob.NewEncoder(out), decoder: gob.NewDecoder(bufio.NewReaderSize(nc, buffer)),
	}, nil
}

// peer gives what is known of a VM; r.mu is held.
func (r *Relay) peer(address proxy.Address) *peer {
	if r.peers == nil {
		r.peers = map[proxy.Address]*peer{}
	}
	p := r.peers[address]
	if p == nil {
		p = &peer{}
		r.peers[address] = p
	}
	return p
}

// failed keeps statements from a VM for a while.
func (r *Relay) failed(address proxy.Address, err error) {
	r.mu.Lock()
	p := r.peer(address)
	p.failures++
	if os.IsTimeout(err) && p.failures < silentTimes {
		r.mu.Unlock()
		return
	}
	pause := min(avoidFirst<<min(p.failures-1, 6), avoidMost)
	p.avoidUntil = time.Now().Add(pause)
	idle := p.idle
	p.idle, r.homes = nil, nil
	r.mu.Unlock()
	for _, l := range idle {
		l.net.Close()
	}
	eventPeerFailed.Log(r.Logger, "peer", address, "failures", p.failures, "avoided", pause, "err", err)
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
	used bool
}

// Exec runs a batch at the other VM.
func (l *link) Exec(b proxy.Batch, until time.Time) ([]proxy.Answer, error) {
	_ = l.net.SetDeadline(until.Add(slack))
	err := l.encoder.Encode(b)
	if err == nil {
		err = l.out.Flush()
	}
	var answer reply
	if err == nil {
		err = l.decoder.Decode(&answer)
	}
	if err != nil {
		l.relay.failed(l.address, err)
		return nil, proxy.ErrPeer.Wrap(err, "VM at %s", l.address)
	}
	if answer.Kind != "" {
		t := kinds[answer.Kind]
		if t == nil {
			t = proxy.ErrBroken
		}
		return nil, t.New("by VM at %s: %s", l.address, answer.Text)
	}
	return answer.Answers, nil
}

// Give keeps the way, or ends it.
func (l *link) Give(keep bool) {
	r := l.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peer(l.address)
	if !keep || len(p.idle) >= keepIdle {
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
				eventAccept.Log(r.Logger, "err", err)
				<-time.After(time.Millisecond)
			}
			continue
		}
		tasks.Go(func() { r.serve(ctx, nc) })
	}
	return nil
}

// guestIdle is how long a way may be without a batch: longer than the far end keeps it.
const guestIdle = 2 * idleAtMost

// serve runs what comes over one way.
func (r *Relay) serve(ctx context.Context, nc net.Conn) {
	defer nc.Close()
	stop := context.AfterFunc(ctx, func() { nc.Close() })
	defer stop()
	guest := proxy.Guest{VM: r.VM}
	defer guest.Close()
	out := bufio.NewWriterSize(nc, buffer)
	encoder, decoder := gob.NewEncoder(out), gob.NewDecoder(bufio.NewReaderSize(nc, buffer))
	for {
		_ = nc.SetDeadline(time.Now().Add(guestIdle))
		var b proxy.Batch
		// The end of the way is the usual end of a guest.
		if err := decoder.Decode(&b); err != nil {
			return
		}
		answers, err := guest.Exec(ctx, b)
		answer := reply{Answers: answers}
		if err != nil {
			answer = reply{Kind: kindOf(err), Text: err.Error()}
		}
		if encoder.Encode(answer) != nil || out.Flush() != nil {
			return
		}
	}
}
