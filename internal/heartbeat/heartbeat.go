// Package heartbeat exchanges the state of the VMs in UDP datagrams: which VMs are live, the
// demand of their callers, their configuration version, and their observations of primaries.
//
// Datagrams need no connection, so a heartbeat never waits behind an unresponsive one. Each
// heartbeat carries the sender's whole state, so a lost heartbeat delays an update by one
// interval only.
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
	// heartbeatInterval is the time between heartbeats while there is no urgent news.
	heartbeatInterval = 600 * time.Millisecond
	// sendCheckInterval is how often Run checks whether a heartbeat is due. minUrgentInterval is
	// the shortest time from one periodic heartbeat to the next if there is urgent news; Announce
	// doesn't wait for it.
	sendCheckInterval = 100 * time.Millisecond
	minUrgentInterval = 200 * time.Millisecond
	// livenessTimeout is how long a VM counts as live after its last heartbeat. It is a bit more
	// than three intervals, so that two heartbeats in a row may be lost.
	livenessTimeout = 2 * time.Second
	// digestLivenessTimeout replaces livenessTimeout for a VM whose heartbeats arrive in digests.
	digestLivenessTimeout = 4 * time.Second
	// maxMeshSize is the largest number of VMs that all exchange heartbeats with each other.
	// In a larger fleet only the VMs of a zone do, and the zones exchange digests.
	maxMeshSize = 24
	// silentPeerTTL is how long after its last heartbeat a VM is still counted as a member when
	// VMs are selected or a majority is computed. After that, it is forgotten.
	silentPeerTTL = 15 * time.Second
	// directoryReadInterval is the average time between two reads of the directory by a zone
	// delegate; other VMs read it less often. A starting VM sends heartbeats to the others, so
	// these reads only make up for lost ones.
	directoryReadInterval = 15 * time.Second
	// maxDatagramSize is the largest datagram read, in bytes.
	maxDatagramSize = 64 << 10
)

// Directory stores the VMs' addresses, so that a starting VM finds the others.
type Directory interface {
	Register(ctx context.Context, vm VMName, address string) error
	List(ctx context.Context) (map[VMName]string, error)
	Remove(ctx context.Context, vm VMName) error
}

// Fleet exchanges heartbeats with the other VMs and tracks which of them are live. Its
// exported fields are set before Run.
type Fleet struct {
	VM VMName
	// Zone is the VM's availability zone, LinkMbps the bandwidth of its network link in
	// Mbit/s.
	Zone      string
	LinkMbps  float64
	Conn      net.PacketConn
	Directory Directory
	// Seeds are the addresses that get heartbeats while no other VM is known, such as when the
	// directory is unavailable.
	Seeds []string
	// FillMessage adds this VM's state to a heartbeat.
	FillMessage func(*Message)
	// HasUrgentNews reports whether a heartbeat should be sent before the next one is due.
	HasUrgentNews func() bool
	// OnMessage is called with each heartbeat of another VM, direct or from a digest.
	OnMessage func(Message)
	// OnZoneDemand is called with another zone's total demand and its number of VMs.
	// OnZonePayload is called with each payload sent to the VMs of this zone.
	OnZoneDemand  func(zone string, demand map[string]float64, vms int)
	OnZonePayload func(json.RawMessage)
	Logger        log.Logger

	mu            sync.Mutex
	peers         map[VMName]*peer
	incarnation   uint32
	startedAt     clock.Instant
	directoryRead bool
	// lastPeerSeen is when a heartbeat of any other VM last arrived; hasSeenPeer is true once
	// one has.
	lastPeerSeen clock.Instant
	hasSeenPeer  bool
	// membershipGeneration increases whenever a VM joins, falls silent or starts to leave.
	membershipGeneration uint64
	// digestUrgent is true after another VM has sent urgent news that this VM hasn't yet included
	// in a digest.
	digestUrgent bool
	// lastDigestSent is when this VM last sent a digest.
	lastDigestSent time.Time
	// selections caches the results of SelectVMs by purpose.
	selections map[string]selection
}

var (
	eventPeerChanged = event.Define(5101, "heartbeat-peer", event.Info,
		"Another VM appeared, fell silent, or announced that it is leaving.")
	eventDirectoryUnavailable = event.Define(5102, "heartbeat-directory", event.Warn,
		"The directory of VMs is unavailable; heartbeats to and from known VMs continue.")
	eventMalformed = event.Define(5103, "heartbeat-malformed", event.Warn,
		"A datagram couldn't be encoded, addressed or decoded and was skipped.")
)

// Run sends and receives heartbeats until ctx ends.
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

// maintainDirectory registers this VM in the directory, and reads the addresses of the others
// periodically.
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
			eventDirectoryUnavailable.Log(f.Logger, "err", err)
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

// addListedPeers adds the VMs of the directory, and updates the addresses of those that aren't
// live.
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

// sendPeriodically sends heartbeats and digests when they are due, and marks VMs as silent.
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

// Announce sends an urgent heartbeat to all VMs that this one exchanges heartbeats with.
func (f *Fleet) Announce() { f.sendHeartbeat(true) }

func (f *Fleet) sendHeartbeat(urgent bool) {
	f.mu.Lock()
	f.init()
	message := f.ownMessage()
	message.Urgent = urgent
	addresses := f.directAddresses()
	if len(addresses) == 0 {
		addresses = f.Seeds
	}
	f.mu.Unlock()
	f.FillMessage(&message)
	f.send(message, addresses)
}

// ownMessage returns this VM's heartbeat before FillMessage has added the state. f.mu must be
// held.
func (f *Fleet) ownMessage() Message {
	return Message{VM: f.VM, Incarnation: f.incarnation, Address: f.Conn.LocalAddr().String(), Zone: f.Zone, LinkMbps: f.LinkMbps}
}

// directAddresses returns the addresses of the VMs that get this VM's heartbeats, including
// VMs whose zone isn't known yet. f.mu must be held.
func (f *Fleet) directAddresses() []string {
	var addresses []string
	for _, p := range f.peers {
		if !f.hasDigests() || p.lastSeen == 0 || p.message.Zone == f.Zone {
			addresses = append(addresses, p.address)
		}
	}
	return addresses
}

func (f *Fleet) send(message Message, addresses []string) {
	text, err := json.Marshal(message)
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
		// The next heartbeat makes up for a lost one.
		_, _ = f.Conn.WriteTo(text, address)
	}
}

// expirePeers marks VMs as silent when their liveness timeout has passed since their last
// heartbeat, and forgets them when silentPeerTTL has passed.
func (f *Fleet) expirePeers() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := clock.Now()
	for name, p := range f.peers {
		if p.live && now.Sub(p.lastSeen) > f.peerLivenessTimeout(p) {
			p.live = false
			f.membershipGeneration++
			eventPeerChanged.Log(f.Logger, "peer", name, "silent", now.Sub(p.lastSeen), "outcome", "silent")
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
			// ReadFrom also fails when an unreachable peer's host refuses a datagram. A closed
			// socket means that ctx has ended.
			clock.Sleep(ctx, time.Millisecond)
			continue
		}
		var message Message
		if err := json.Unmarshal(buffer[:n], &message); err != nil || message.VM == "" {
			eventMalformed.Log(f.Logger, "from", from, "bytes", n, "err", err)
			continue
		}
		switch {
		case message.VM == f.VM:
		case message.Digest != nil:
			f.receiveDigest(message)
		case message.ZonePayload != nil:
			f.OnZonePayload(message.ZonePayload)
		default:
			f.recordMessage(message, false)
		}
	}
}

// recordMessage records a heartbeat of another VM, which arrived directly or in a digest.
func (f *Fleet) recordMessage(message Message, viaDigest bool) {
	f.mu.Lock()
	f.init()
	p := f.peers[message.VM]
	if p == nil {
		p = &peer{addedAt: clock.Now()}
		f.peers[message.VM] = p
	}
	if !p.live || p.message.Leaving != message.Leaving {
		f.membershipGeneration++
		eventPeerChanged.Log(f.Logger, "peer", message.VM, "incarnation", message.Incarnation, "leaving", message.Leaving, "outcome", "heard")
	}
	firstContact := p.lastSeen == 0 && !viaDigest
	p.viaDigest = viaDigest
	f.hasSeenPeer, f.lastPeerSeen = true, clock.Now()
	f.digestUrgent = f.digestUrgent || message.Urgent && !viaDigest
	p.live, p.lastSeen, p.message, p.address = true, clock.Now(), message, message.Address
	f.mu.Unlock()
	f.OnMessage(message)
	if firstContact {
		f.introduceTo(message.Address)
	}
}

// introduceTo sends this VM's heartbeat to a VM seen for the first time.
func (f *Fleet) introduceTo(address string) {
	f.mu.Lock()
	own := f.ownMessage()
	f.mu.Unlock()
	f.FillMessage(&own)
	f.send(own, []string{address})
}

// settleTime is how long a starting VM collects heartbeats before it accepts callers. Each VM
// that receives its first heartbeat answers with its own at once.
const settleTime = 400 * time.Millisecond

// Settled reports whether this VM has read the directory and has had enough time to receive the
// heartbeats of the others.
func (f *Fleet) Settled() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.directoryRead && clock.Since(f.startedAt) > settleTime
}

// Leave announces that this VM is leaving and removes it from the directory. It relies on
// FillMessage to set the message's Leaving field.
func (f *Fleet) Leave(ctx context.Context) {
	f.Announce()
	if err := f.Directory.Remove(ctx, f.VM); err != nil {
		eventDirectoryUnavailable.Log(f.Logger, "err", err)
	}
}
