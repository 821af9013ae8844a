// Package heartbeat speaks with the other VMs in datagrams: who lives, what its callers
// ask, which configuration it has, and what it thinks of the primaries.
//
// A datagram neither queues behind a silent connection nor needs one, and each beat says
// all anew, so a lost one costs an interval.
package heartbeat

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/savoryramp/savoryramp/internal/clock"
	"github.com/savoryramp/savoryramp/internal/event"
)

const (
	// interval between beats while nothing urgent changes.
	heartbeatInterval = 600 * time.Millisecond
	// tick is how soon an urgent change is told, and urgentEvery how often at the most.
	sendCheckInterval = 100 * time.Millisecond
	minUrgentInterval = 200 * time.Millisecond
	// liveFor three lost beats a VM counts as live.
	livenessTimeout = 2 * time.Second
	// farLiveFor is the same for a VM that is heard of in digests only.
	digestLivenessTimeout = 4 * time.Second
	// meshMost VMs all speak with each other; in a larger fleet those of a zone do, and
	// zones exchange digests.
	maxMeshPeers = 24
	// knownFor is how long a silent VM counts against a majority.
	silentPeerTTL = 15 * time.Second
	// lookEvery is how often the directory is read after the start: VMs that come speak
	// first, so it only mends what was lost.
	directoryReadInterval = 15 * time.Second
	// maxBeat is the largest datagram read, in bytes.
	maxDatagramSize = 64 << 10
)

// Directory is where VMs that start find the others.
type Directory interface {
	Register(ctx context.Context, vm VMName, address string) error
	List(ctx context.Context) (map[VMName]string, error)
	Remove(ctx context.Context, vm VMName) error
}

// Fleet hears the other VMs. The exported fields are set before Run.
type Fleet struct {
	VM VMName
	// Zone is the VM's availability zone, Link the width of its link in Mbit/s.
	Zone      string
	LinkMbps  float64
	Conn      net.PacketConn
	Directory Directory
	// Seeds are addresses to speak to when the directory is out.
	Seeds []string
	// Fill adds what this VM has to say.
	FillMessage func(*Message)
	// Urgent tells whether the others should hear at once.
	HasUrgentNews func() bool
	// Hear takes each beat of another VM.
	OnMessage func(Message)
	// HearZone takes what all of another zone's so many VMs ask; Note what a VM of this
	// zone has to say to all.
	OnZoneDemand  func(zone string, demand map[string]float64, vms int)
	OnZonePayload func(json.RawMessage)
	Logger        log.Logger

	mu            sync.Mutex
	peers         map[VMName]*peer
	incarnation   uint32
	startedAt     clock.Instant
	directoryRead bool
	// heardAt is when any other VM was last heard; met is true once one was.
	lastPeerSeen clock.Instant
	hasSeenPeer  bool
	// generation rises whenever a VM comes or goes.
	membershipGeneration uint64
	// dirty is true once a VM of the zone said something urgent that other zones haven't
	// been told.
	digestUrgent bool
	// toldZones is when this VM last sent a digest.
	lastDigestSent time.Time
	selections     map[string]selection
}

var (
	eventPeer = event.Define(5101, "heartbeat-peer", event.Info,
		"Another VM began to be heard, fell silent, or said that it ends.")
	eventDirectory = event.Define(5102, "heartbeat-directory", event.Warn,
		"The directory of VMs doesn't answer; VMs that this one knows go on being heard.")
	eventMalformed = event.Define(5103, "heartbeat-malformed", event.Warn,
		"A datagram isn't a beat and is passed over.")
)

// Run speaks and listens until ctx ends.
func (f *Fleet) Run(ctx context.Context) error {
	f.mu.Lock()
	f.init()
	f.mu.Unlock()
	var tasks sync.WaitGroup
	tasks.Go(func() { f.receive(ctx) })
	tasks.Go(func() { f.maintainDirectory(ctx) })
	f.sendPeriodically(ctx)
	f.Conn.Close()
	tasks.Wait()
	return nil
}

func (f *Fleet) init() {
	if f.peers == nil {
		f.peers, f.incarnation, f.startedAt = map[VMName]*peer{}, rand.Uint32(), clock.Now()
	}
}

// look keeps this VM in the directory and learns the others' addresses.
func (f *Fleet) maintainDirectory(ctx context.Context) {
	registered := false
	for pause := sendCheckInterval; ctx.Err() == nil; {
		var err error
		if !registered {
			err = f.Directory.Register(ctx, f.VM, f.Conn.LocalAddr().String())
			registered = err == nil
		}
		var list map[VMName]string
		if registered {
			list, err = f.Directory.List(ctx)
		}
		if err != nil && ctx.Err() == nil {
			eventDirectory.Log(f.Logger, "err", err)
			pause = min(2*pause, time.Second)
		} else {
			pause = directoryReadInterval
			f.addListedPeers(list)
			if !f.IsZoneDelegate() {
				pause *= delegatesPerZone * delegatesPerZone
			}
		}
		clock.Sleep(ctx, pause/2+rand.N(pause))
	}
}

func (f *Fleet) addListedPeers(list map[VMName]string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.directoryRead = true
	for name, address := range list {
		if name == f.VM {
			continue
		}
		if p := f.peers[name]; p == nil {
			f.peers[name] = &peer{address: address, addedAt: clock.Now()}
		} else if !p.live {
			p.address = address
		}
	}
}

// speak sends beats.
func (f *Fleet) sendPeriodically(ctx context.Context) {
	ticker := time.NewTicker(sendCheckInterval)
	defer ticker.Stop()
	var lastSent time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		f.expirePeers()
		urgent, digestUrgent := f.HasUrgentNews(), f.hasUrgentDigest()
		if since := time.Since(lastSent); since < minUrgentInterval || since < heartbeatInterval && !urgent && !digestUrgent {
			continue
		}
		lastSent = time.Now()
		f.sendHeartbeat(urgent)
		f.sendDigest()
	}
}

// Tell sends a beat to those that this VM speaks with.
func (f *Fleet) Announce() { f.sendHeartbeat(true) }

func (f *Fleet) sendHeartbeat(urgent bool) {
	f.mu.Lock()
	f.init()
	b := f.ownMessage()
	b.Urgent = urgent
	addresses := f.directAddresses()
	if len(addresses) == 0 {
		addresses = f.Seeds
	}
	f.mu.Unlock()
	f.FillMessage(&b)
	f.send(b, addresses)
}

// own is this VM's beat, unfilled; f.mu is held.
func (f *Fleet) ownMessage() Message {
	return Message{VM: f.VM, Incarnation: f.incarnation, Address: f.Conn.LocalAddr().String(), Zone: f.Zone, LinkMbps: f.LinkMbps}
}

// near are the addresses of the VMs that this one speaks with; f.mu is held. One whose
// zone isn't known yet is among them.
func (f *Fleet) directAddresses() []string {
	var addresses []string
	for _, p := range f.peers {
		if !f.usesDigests() || p.lastSeen == 0 || p.message.Zone == f.Zone {
			addresses = append(addresses, p.address)
		}
	}
	return addresses
}

func (f *Fleet) send(b Message, addresses []string) {
	text, err := json.Marshal(b)
	if err != nil {
		eventMalformed.Log(f.Logger, "err", err)
		return
	}
	for _, a := range addresses {
		address, err := net.ResolveUDPAddr("udp", a)
		if err != nil {
			eventMalformed.Log(f.Logger, "address", a, "err", err)
			continue
		}
		// A lost beat is made up for by the next.
		_, _ = f.Conn.WriteTo(text, address)
	}
}

// fade takes note of VMs that have fallen silent.
func (f *Fleet) expirePeers() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := clock.Now()
	for name, p := range f.peers {
		if p.live && now.Sub(p.lastSeen) > f.peerLivenessTimeout(p) {
			p.live = false
			f.membershipGeneration++
			eventPeer.Log(f.Logger, "peer", name, "silent", now.Sub(p.lastSeen), "outcome", "silent")
		}
		if now.Sub(max(p.lastSeen, p.addedAt)) > silentPeerTTL {
			delete(f.peers, name)
		}
	}
}

func (f *Fleet) receive(ctx context.Context) {
	buffer := make([]byte, maxDatagramSize)
	for ctx.Err() == nil {
		n, from, err := f.Conn.ReadFrom(buffer)
		if err != nil {
			// Such as an unreachable peer's refusal; a closed socket ends with ctx.
			clock.Sleep(ctx, time.Millisecond)
			continue
		}
		var b Message
		if err := json.Unmarshal(buffer[:n], &b); err != nil || b.VM == "" {
			eventMalformed.Log(f.Logger, "from", from, "bytes", n, "err", err)
			continue
		}
		switch {
		case b.VM == f.VM:
		case b.Digest != nil:
			f.receiveDigest(b)
		case b.ZonePayload != nil:
			f.OnZonePayload(b.ZonePayload)
		default:
			f.recordMessage(b, false)
		}
	}
}

func (f *Fleet) recordMessage(b Message, viaDigest bool) {
	f.mu.Lock()
	f.init()
	p := f.peers[b.VM]
	if p == nil {
		p = &peer{addedAt: clock.Now()}
		f.peers[b.VM] = p
	}
	if !p.live || p.message.Leaving != b.Leaving {
		f.membershipGeneration++
		eventPeer.Log(f.Logger, "peer", b.VM, "incarnation", b.Incarnation, "leaving", b.Leaving, "outcome", "heard")
	}
	firstContact := p.lastSeen == 0 && !viaDigest
	p.viaDigest = viaDigest
	f.hasSeenPeer, f.lastPeerSeen = true, clock.Now()
	f.digestUrgent = f.digestUrgent || b.Urgent && !viaDigest
	p.live, p.lastSeen, p.message, p.address = true, clock.Now(), b, b.Address
	f.mu.Unlock()
	f.OnMessage(b)
	if firstContact {
		f.introduceTo(b.Address)
	}
}

// greet says to a VM that is new here who this one is.
func (f *Fleet) introduceTo(address string) {
	f.mu.Lock()
	own := f.ownMessage()
	f.mu.Unlock()
	f.FillMessage(&own)
	f.send(own, []string{address})
}

// settleFor is how long a VM that starts listens before it takes callers: each other VM
// answers a first beat at once.
const settleTime = 400 * time.Millisecond

// Settled tells whether this VM has had the time to hear the others.
func (f *Fleet) Settled() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.directoryRead && clock.Since(f.startedAt) > settleTime
}

// Leave says that this VM ends, and takes it out of the directory.
func (f *Fleet) Leave(ctx context.Context) {
	f.Announce()
	if err := f.Directory.Remove(ctx, f.VM); err != nil {
		eventDirectory.Log(f.Logger, "err", err)
	}
}
