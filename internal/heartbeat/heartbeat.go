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
	interval = 600 * time.Millisecond
	// tick is how soon an urgent change is told, and urgentEvery how often at the most.
	tick        = 100 * time.Millisecond
	urgentEvery = 200 * time.Millisecond
	// liveFor three lost beats a VM counts as live.
	liveFor = 2 * time.Second
	// farLiveFor is the same for a VM that is heard of in digests only.
	farLiveFor = 4 * time.Second
	// meshMost VMs all speak with each other; in a larger fleet those of a zone do, and
	// zones exchange digests.
	meshMost = 24
	// knownFor is how long a silent VM counts against a majority.
	knownFor = 15 * time.Second
	// lookEvery is how often the directory is read after the start: VMs that come speak
	// first, so it only mends what was lost.
	lookEvery = 15 * time.Second
	// maxBeat is the largest datagram read, in bytes.
	maxBeat = 64 << 10
)

// Directory is where VMs that start find the others.
type Directory interface {
	Register(ctx context.Context, vm Name, address string) error
	List(ctx context.Context) (map[Name]string, error)
	Remove(ctx context.Context, vm Name) error
}

// Fleet hears the other VMs. The exported fields are set before Run.
type Fleet struct {
	VM Name
	// Zone is the VM's availability zone, Link the width of its link in Mbit/s.
	Zone      string
	Link      float64
	Conn      net.PacketConn
	Directory Directory
	// Seeds are addresses to speak to when the directory is out.
	Seeds []string
	// Fill adds what this VM has to say.
	Fill func(*Beat)
	// Urgent tells whether the others should hear at once.
	Urgent func() bool
	// Hear takes each beat of another VM.
	Hear func(Beat)
	// HearZone takes what all of another zone's so many VMs ask; Note what a VM of this
	// zone has to say to all.
	HearZone func(zone string, demand map[string]float64, vms int)
	Note     func(json.RawMessage)
	Logger   log.Logger

	mu          sync.Mutex
	peers       map[Name]*peer
	incarnation uint32
	began       clock.Instant
	listed      bool
	// heardAt is when any other VM was last heard; met is true once one was.
	heardAt clock.Instant
	met     bool
	// generation rises whenever a VM comes or goes.
	generation uint64
	// dirty is true once a VM of the zone said something urgent that other zones haven't
	// been told.
	dirty bool
	// toldZones is when this VM last sent a digest.
	toldZones time.Time
	among     map[string]among
}

var (
	eventPeer = event.Define(5101, "heartbeat-peer", event.Info,
		"Another VM began to be heard, fell silent, or said that it ends.")
	eventDirectory = event.Define(5102, "heartbeat-directory", event.Warn,
		"The directory of VMs doesn't answer; VMs that this one knows go on being heard.")
	eventBeat = event.Define(5103, "heartbeat-malformed", event.Warn,
		"A datagram isn't a beat and is passed over.")
)

// Run speaks and listens until ctx ends.
func (f *Fleet) Run(ctx context.Context) error {
	f.mu.Lock()
	f.init()
	f.mu.Unlock()
	var tasks sync.WaitGroup
	tasks.Go(func() { f.listen(ctx) })
	tasks.Go(func() { f.look(ctx) })
	f.speak(ctx)
	f.Conn.Close()
	tasks.Wait()
	return nil
}

func (f *Fleet) init() {
	if f.peers == nil {
		f.peers, f.incarnation, f.began = map[Name]*peer{}, rand.Uint32(), clock.Now()
	}
}

// look keeps this VM in the directory and learns the others' addresses.
func (f *Fleet) look(ctx context.Context) {
	registered := false
	for pause := tick; ctx.Err() == nil; {
		var err error
		if !registered {
			err = f.Directory.Register(ctx, f.VM, f.Conn.LocalAddr().String())
			registered = err == nil
		}
		var list map[Name]string
		if registered {
			list, err = f.Directory.List(ctx)
		}
		if err != nil && ctx.Err() == nil {
			eventDirectory.Log(f.Logger, "err", err)
			pause = min(2*pause, time.Second)
		} else {
			pause = lookEvery
			f.know(list)
			if !f.Scout() {
				pause *= scouts * scouts
			}
		}
		clock.Sleep(ctx, pause/2+rand.N(pause))
	}
}

func (f *Fleet) know(list map[Name]string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed = true
	for name, address := range list {
		if name == f.VM {
			continue
		}
		if p := f.peers[name]; p == nil {
			f.peers[name] = &peer{address: address, added: clock.Now()}
		} else if !p.live {
			p.address = address
		}
	}
}

// speak sends beats.
func (f *Fleet) speak(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		f.fade()
		urgent, zone := f.Urgent(), f.zoneUrgent()
		if since := time.Since(last); since < urgentEvery || since < interval && !urgent && !zone {
			continue
		}
		last = time.Now()
		f.tell(urgent)
		f.tellZones()
	}
}

// Tell sends a beat to those that this VM speaks with.
func (f *Fleet) Tell() { f.tell(true) }

func (f *Fleet) tell(urgent bool) {
	f.mu.Lock()
	f.init()
	b := f.own()
	b.Urgent = urgent
	addresses := f.near()
	if len(addresses) == 0 {
		addresses = f.Seeds
	}
	f.mu.Unlock()
	f.Fill(&b)
	f.send(b, addresses)
}

// own is this VM's beat, unfilled; f.mu is held.
func (f *Fleet) own() Beat {
	return Beat{VM: f.VM, Incarnation: f.incarnation, Address: f.Conn.LocalAddr().String(), Zone: f.Zone, Link: f.Link}
}

// near are the addresses of the VMs that this one speaks with; f.mu is held. One whose
// zone isn't known yet is among them.
func (f *Fleet) near() []string {
	var addresses []string
	for _, p := range f.peers {
		if !f.zoned() || p.heard == 0 || p.beat.Zone == f.Zone {
			addresses = append(addresses, p.address)
		}
	}
	return addresses
}

func (f *Fleet) send(b Beat, addresses []string) {
	text, err := json.Marshal(b)
	if err != nil {
		eventBeat.Log(f.Logger, "err", err)
		return
	}
	for _, a := range addresses {
		address, err := net.ResolveUDPAddr("udp", a)
		if err != nil {
			eventBeat.Log(f.Logger, "address", a, "err", err)
			continue
		}
		// A lost beat is made up for by the next.
		_, _ = f.Conn.WriteTo(text, address)
	}
}

// fade takes note of VMs that have fallen silent.
func (f *Fleet) fade() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := clock.Now()
	for name, p := range f.peers {
		if p.live && now.Sub(p.heard) > f.liveFor(p) {
			p.live = false
			f.generation++
			eventPeer.Log(f.Logger, "peer", name, "silent", now.Sub(p.heard), "outcome", "silent")
		}
		if now.Sub(max(p.heard, p.added)) > knownFor {
			delete(f.peers, name)
		}
	}
}

func (f *Fleet) listen(ctx context.Context) {
	buffer := make([]byte, maxBeat)
	for ctx.Err() == nil {
		n, from, err := f.Conn.ReadFrom(buffer)
		if err != nil {
			// Such as an unreachable peer's refusal; a closed socket ends with ctx.
			clock.Sleep(ctx, time.Millisecond)
			continue
		}
		var b Beat
		if err := json.Unmarshal(buffer[:n], &b); err != nil || b.VM == "" {
			eventBeat.Log(f.Logger, "from", from, "bytes", n, "err", err)
			continue
		}
		switch {
		case b.VM == f.VM:
		case b.Digest != nil:
			f.hearDigest(b)
		case b.Note != nil:
			f.Note(b.Note)
		default:
			f.hear(b, false)
		}
	}
}

func (f *Fleet) hear(b Beat, far bool) {
	f.mu.Lock()
	f.init()
	p := f.peers[b.VM]
	if p == nil {
		p = &peer{added: clock.Now()}
		f.peers[b.VM] = p
	}
	if !p.live || p.beat.Leaving != b.Leaving {
		f.generation++
		eventPeer.Log(f.Logger, "peer", b.VM, "incarnation", b.Incarnation, "leaving", b.Leaving, "outcome", "heard")
	}
	fresh := p.heard == 0 && !far
	p.far = far
	f.met, f.heardAt = true, clock.Now()
	f.dirty = f.dirty || b.Urgent && !far
	p.live, p.heard, p.beat, p.address = true, clock.Now(), b, b.Address
	f.mu.Unlock()
	f.Hear(b)
	if fresh {
		f.greet(b.Address)
	}
}

// greet says to a VM that is new here who this one is.
func (f *Fleet) greet(address string) {
	f.mu.Lock()
	own := f.own()
	f.mu.Unlock()
	f.Fill(&own)
	f.send(own, []string{address})
}

// settleFor is how long a VM that starts listens before it takes callers: each other VM
// answers a first beat at once.
const settleFor = 400 * time.Millisecond

// Settled tells whether this VM has had the time to hear the others.
func (f *Fleet) Settled() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listed && clock.Since(f.began) > settleFor
}

// Leave says that this VM ends, and takes it out of the directory.
func (f *Fleet) Leave(ctx context.Context) {
	f.Tell()
	if err := f.Directory.Remove(ctx, f.VM); err != nil {
		eventDirectory.Log(f.Logger, "err", err)
	}
}
