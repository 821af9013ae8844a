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
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/savoryramp/savoryramp/internal/clock"
	"github.com/savoryramp/savoryramp/internal/event"
	"github.com/savoryramp/savoryramp/pkg/failover"
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
	// digestLivenessTimeout replaces livenessTimeout for a VM that is known from digests. It leaves
	// time for another VM to take over from a zone's delegate.
	digestLivenessTimeout = 4 * time.Second
	// maxMeshSize is the largest number of VMs that all exchange heartbeats with each other.
	// In a larger fleet VMs send them to their zone's delegates, which exchange digests with the
	// other zones and send views of the fleet to their own.
	maxMeshSize = 24
	// silentPeerTTL is how long after its last heartbeat, or after this VM's start, a VM is still counted as a
	// member when VMs are selected or a majority is computed. After that, it is forgotten.
	silentPeerTTL = failover.SilentTime
	// directTTL is how long after its last heartbeat that arrived directly a VM is expected to send
	// more of them. It is longer than digestLivenessTimeout.
	directTTL = 5 * time.Second
	// directoryReadInterval is the average time between two reads of the directory by a zone
	// delegate; other VMs read it less often. A starting VM sends heartbeats to the others, so
	// these reads only make up for lost ones.
	directoryReadInterval = 15 * time.Second
	// reregisterSpread is the time over which the VMs register again after the directory has lost
	// their entries.
	reregisterSpread = 500 * time.Millisecond
	// rewriteTime is how long after a restore the store may lack what its writers have written before.
	rewriteTime = 2500 * time.Millisecond
	// maxDatagramSize is the largest datagram read, in bytes.
	maxDatagramSize = 64 << 10
)

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
	// IsWorkspace reports whether a workspace is known here. Demand for others isn't kept. It may be nil
	// if all are.
	IsWorkspace func(name string) bool
	// OnMessage is called with each heartbeat of another VM, and with each change of a VM's state
	// in a digest.
	OnMessage func(Message)
	// OnFleetDemand is called with the total demand of a number of VMs, of which own is the part
	// that this VM reported. The maps must not be modified.
	OnFleetDemand func(total map[string]float64, vms int, own map[string]float64)
	// OnZonePayload is called with each payload sent to the VMs of this zone.
	OnZonePayload func(json.RawMessage)
	// SpreadsEvacuation is true if this VM learns of zones that are being evacuated and tells others.
	// OnEvacuation, which may be nil, is called after each change of EvacuatedZones.
	SpreadsEvacuation bool
	OnEvacuation      func()
	Logger            log.Logger

	// sending is held from when a numbered message is composed until it has been sent, since receivers skip
	// those that arrive after a later one. It is locked before mu.
	sending sync.Mutex

	mu            sync.Mutex
	peers         map[VMName]*peer
	incarnation   uint32
	startedAt     clock.Instant
	directoryRead bool
	// toldFleet is true once a VM that knows the fleet has named all VMs that it counts. Only VMs of a fleet
	// without digests do so.
	toldFleet bool
	// listedPeers is the number of other VMs in the directory when it was last read.
	listedPeers int
	// storeEra is the newest known era of the store that has the directory, registeredEra the one in
	// which this VM registered, if it has.
	storeEra, registeredEra StoreEra
	isRegistered, isLeaving bool
	// restoredAt is when this VM learned that the store was restored, zero if it wasn't.
	restoredAt clock.Instant
	// entryLost wakes the task that registers this VM.
	entryLost chan struct{}
	// lastPeerSeen is when a heartbeat of any other VM last arrived; hasSeenPeer is true once
	// one has.
	lastPeerSeen clock.Instant
	hasSeenPeer  bool
	// membershipGeneration increases whenever a VM joins, falls silent or starts to leave.
	membershipGeneration uint64
	// sequence is the number of this VM's latest heartbeat. sentDemands has the demand in the
	// latest ones by number.
	sequence    uint32
	sentDemands map[uint32]sentDemand
	// payloads is the number of the latest payload for this zone.
	payloads uint32
	// lastNumbers has the numbers of the other VMs' newest messages, and duplicates counts those that weren't
	// newer.
	lastNumbers map[sender]*lastNumber
	duplicates  atomic.Int64
	// ownChecksum is the checksum of this VM's latest heartbeat, which last changed at
	// ownChangedAt.
	ownChecksum  uint64
	ownChangedAt clock.Instant
	// lastTick is when this VM last checked what to send, and pausedUntil when its last pause
	// ended.
	lastTick, pausedUntil clock.Instant
	// lastHeartbeat, lastDigest and lastViewSent are when this VM last sent one. lastView is when a
	// view last arrived.
	lastHeartbeat, lastDigest, lastViewSent, lastView clock.Instant
	// lastRedirect is when this VM last forwarded another zone's digest.
	lastRedirect clock.Instant
	// digestUrgent and viewUrgent are true after another VM has sent urgent news that this VM
	// hasn't yet included in a digest or a view, viewDue after any change that it hasn't yet
	// included in a view.
	digestUrgent, viewUrgent, viewDue bool
	// wake makes a first delegate pass on urgent news before its next check.
	wake chan struct{}
	// digestsReceived is the instant that the latest digest of each zone describes, lastRequests
	// when a full one was last requested.
	digestsReceived, lastRequests map[string]clock.Instant
	// demandByVM has the demand of the VMs of this zone, demandByZone that of the other zones.
	demandByVM   map[VMName]reportedDemand
	demandByZone map[string]reportedDemand
	published    publishedDemand
	// total is the demand of all VMs as of the latest change of published or demandByZone, or as of the
	// latest view. Each change makes a new map. It is nil until there was one.
	total map[string]float64
	// delegatesByZone caches the choices of delegates.
	delegatesByZone map[string]cachedDelegates
	// largeFleet caches whether the fleet has digests.
	largeFleet cachedSize
	// selections caches the results of SelectVMs by purpose.
	selections map[string]selection
	evacuation evacuationState
}

var (
	eventPeerChanged = event.Define(5101, "heartbeat-peer", event.Info,
		"Another VM appeared, fell silent, or announced that it is leaving.")
	eventDirectoryUnavailable = event.Define(5102, "heartbeat-directory", event.Warn,
		"The directory of VMs is unavailable; heartbeats to and from known VMs continue.")
	eventMalformed = event.Define(5103, "heartbeat-malformed", event.Warn,
		"A datagram couldn't be encoded, addressed or decoded and was skipped.")
	eventPaused = event.Define(5106, "heartbeat-paused", event.Warn,
		"This VM was paused. It isn't a delegate until it has heard from the other VMs again.")
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
		// Another incarnation's numbers aren't mistaken for this one's.
		f.wake, f.entryLost = make(chan struct{}, 1), make(chan struct{}, 1)
		f.sequence, f.payloads, f.sentDemands = rand.Uint32()>>1, rand.Uint32()>>1, map[uint32]sentDemand{}
		f.digestsReceived, f.lastRequests = map[string]clock.Instant{}, map[string]clock.Instant{}
		f.demandByVM, f.demandByZone = map[VMName]reportedDemand{}, map[string]reportedDemand{}
	}
}

// sendPeriodically sends heartbeats, digests and views when they are due, and marks VMs as silent.
func (f *Fleet) sendPeriodically(ctx context.Context) {
	ticker := time.NewTicker(sendCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-f.wake:
		}
		now := clock.Now()
		f.detectPause(now)
		f.checkEvacuation(now)
		f.expirePeers()
		f.sendDue(f.HasUrgentNews() || f.hasEvacuationNews(now))
	}
}

// sendDue sends what is due. urgent is true if this VM has urgent news.
func (f *Fleet) sendDue(urgent bool) {
	now := clock.Now()
	f.mu.Lock()
	first := f.isFirstDelegate()
	sinceHeartbeat, sinceDigest, sinceView := now.Sub(f.lastHeartbeat), now.Sub(f.lastDigest), now.Sub(f.lastViewSent)
	digestDue := sinceDigest >= digestInterval || (urgent || f.digestUrgent) && sinceDigest >= minUrgentDigestInterval
	viewDue := sinceView >= heartbeatInterval || (digestDue || f.viewDue) && sinceView >= minViewInterval ||
		(urgent || f.viewUrgent) && sinceView >= minUrgentDigestInterval
	f.mu.Unlock()
	switch {
	case first && (digestDue || viewDue):
		f.sending.Lock()
		defer f.sending.Unlock()
		own := f.composeOwn()
		own.Urgent = urgent
		if digestDue {
			f.sendDigests(own)
		}
		if viewDue {
			f.sendView(own)
		}
	case !first && (sinceHeartbeat >= heartbeatInterval || urgent && sinceHeartbeat >= minUrgentInterval):
		f.sendHeartbeat(urgent)
	}
}

// noteUrgent makes a first delegate send a view soon. f.mu must be held.
func (f *Fleet) noteUrgent() {
	f.viewUrgent = true
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Announce sends an urgent heartbeat to all VMs that get this VM's heartbeats.
func (f *Fleet) Announce() { f.sendHeartbeat(true) }

func (f *Fleet) sendHeartbeat(urgent bool) {
	f.sending.Lock()
	defer f.sending.Unlock()
	message := f.composeOwn()
	message.Urgent = urgent
	f.mu.Lock()
	f.lastHeartbeat = clock.Now()
	addresses := f.directAddresses()
	if len(addresses) == 0 {
		addresses = f.Seeds
	}
	received := f.receivedSequences()
	f.mu.Unlock()
	text, err := json.Marshal(message)
	if err != nil {
		eventMalformed.Log(f.Logger, "err", err)
		return
	}
	for _, address := range addresses {
		f.sendText(withIncluded(text, received[address]), address)
	}
}

// receivedSequences returns the number of the latest heartbeat of each VM that sends them to this one,
// by address. f.mu must be held.
func (f *Fleet) receivedSequences() map[string]uint32 {
	received := map[string]uint32{}
	for _, p := range f.peers {
		if p.lastDirect != 0 {
			received[p.address] = p.lastSequence
		}
	}
	return received
}

// sentDemand is the demand in a heartbeat of this VM, and when it was sent.
type sentDemand struct {
	demand map[string]float64
	at     clock.Instant
}

// SentDemand returns the demand in one of this VM's latest heartbeats, and how long ago that was sent.
func (f *Fleet) SentDemand(sequence uint32) (demand map[string]float64, age time.Duration, found bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	sent, found := f.sentDemands[sequence]
	return sent.demand, clock.Since(sent.at), found
}

// composeOwn returns this VM's next heartbeat.
func (f *Fleet) composeOwn() Message {
	f.mu.Lock()
	f.init()
	f.sequence++
	message := f.ownMessage()
	f.mu.Unlock()
	f.FillMessage(&message)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sentDemands[message.Sequence] = sentDemand{message.Demand, clock.Now()}
	delete(f.sentDemands, message.Sequence-maxSentDemands)
	if sum := message.checksum(); sum != f.ownChecksum {
		f.ownChecksum, f.ownChangedAt = sum, clock.Now()
	}
	return message
}

// ownMessage returns this VM's heartbeat before FillMessage has added the state. f.mu must be
// held.
func (f *Fleet) ownMessage() Message {
	message := Message{VM: f.VM, Incarnation: f.incarnation, Address: f.Conn.LocalAddr().String(), Zone: f.Zone, LinkMbps: f.LinkMbps, StoreEra: f.storeEra, Sequence: f.sequence, Evacuation: f.ownEvacuation()}
	// Before it has read the directory, a VM doesn't know whether the fleet is so large that it matters.
	if f.hasDigests() || !f.directoryRead {
		message.Settling = f.isSettling(clock.Now())
	}
	return message
}

// sendOwn sends this VM's heartbeat to some addresses.
func (f *Fleet) sendOwn(addresses []string) {
	if len(addresses) == 0 {
		return
	}
	f.sending.Lock()
	defer f.sending.Unlock()
	f.send(f.composeOwn(), addresses)
}

func (f *Fleet) send(message Message, addresses []string) {
	text, err := json.Marshal(message)
	if err != nil {
		eventMalformed.Log(f.Logger, "err", err)
		return
	}
	for _, a := range addresses {
		f.sendText(text, a)
	}
}

func (f *Fleet) sendText(text []byte, to string) {
	address, err := netip.ParseAddrPort(to)
	if err != nil {
		eventMalformed.Log(f.Logger, "address", to, "err", err)
		return
	}
	// The next heartbeat makes up for a lost one.
	_, _ = f.Conn.WriteTo(text, net.UDPAddrFromAddrPort(address))
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
		f.handleDatagram(buffer[:n], from)
	}
}

// recordMessage records a heartbeat of another VM.
func (f *Fleet) recordMessage(message Message) {
	f.mu.Lock()
	f.init()
	now := clock.Now()
	p := f.peers[message.VM]
	if p == nil {
		p = &peer{addedAt: now}
		f.peers[message.VM] = p
	}
	firstContact := p.message.Incarnation != message.Incarnation
	p.lastDirect, p.lastSequence = now, message.Sequence
	f.notePeerSeen(now)
	if message.Urgent && message.Zone == f.Zone {
		f.digestUrgent = true
		f.noteUrgent()
	}
	if message.Zone == f.Zone {
		f.recordDemand(message, now)
	}
	known := message.Known
	f.toldFleet = f.toldFleet || message.KnowsFleet
	message.View, message.Known, message.KnowsFleet, message.Evacuation = nil, nil, false, nil
	f.update(p, message, now)
	added := f.addPeers(known)
	f.mu.Unlock()
	f.OnMessage(message)
	f.sendOwn(added)
	if firstContact {
		f.introduceTo(message)
	}
}

// update replaces the state of a VM, as of an instant. f.mu must be held.
func (f *Fleet) update(p *peer, message Message, at clock.Instant) {
	before, sum := p.message, message.checksum()
	if !p.live || before.Leaving != message.Leaving || before.Settling != message.Settling {
		f.membershipGeneration++
	}
	if !p.live || before.Leaving != message.Leaving {
		eventPeerChanged.Log(f.Logger, "peer", message.VM, "incarnation", message.Incarnation, "leaving", message.Leaving, "outcome", "heard")
	}
	if sum != p.checksum || !p.live || !maps.Equal(before.Observations, message.Observations) {
		p.changedAt = clock.Now()
	}
	p.live, p.lastSeen, p.message, p.address, p.checksum = true, at, message, message.Address, sum
}

// settleTime is how long a starting VM collects heartbeats before it accepts callers. Each VM
// that receives its first heartbeat answers with its own at once.
const settleTime = 400 * time.Millisecond

// Settled reports whether this VM has read the directory and has had enough time to receive the
// heartbeats of the others, or has received or sent a view of the fleet. If it knows no other VM, the directory may have
// lost their entries, and they have as long as it takes them to register again.
func (f *Fleet) Settled() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	age := clock.Since(f.startedAt)
	isAlone := len(f.peers) == 0
	return f.directoryRead && age > settleTime && (!f.hasDigests() && !isAlone || f.lastView != 0 || f.lastViewSent != 0 || age > livenessTimeout)
}

// Leave announces that this VM is leaving and removes it from the directory. It relies on
// FillMessage to set the message's Leaving field.
func (f *Fleet) Leave(ctx context.Context) {
	f.mu.Lock()
	f.isLeaving = true
	f.mu.Unlock()
	f.Announce()
	if err := f.Directory.Remove(ctx, f.VM); err != nil {
		eventDirectoryUnavailable.Log(f.Logger, "err", err)
	}
}
