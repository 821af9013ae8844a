// Package peer speaks gRPC with the other VMs of the fleet: heartbeats that tell
// who is there and what each sees, and the calls that leases, contracts, the
// document and cancel requests need.
//
// Every VM keeps one connection to each of its neighbours and one goroutine for it.
// In a fleet of up to 16 VMs all are neighbours; in a larger one each VM has about
// log2 of the fleet's size, and views that matter everywhere are passed on.
package peer

import (
	"context"
	"net"
	"sort"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/oklog/run"

	"github.com/savoryramp/savoryramp/internal/peer/peerpb"
	"github.com/savoryramp/savoryramp/internal/platform"
)

const (
	// fullMesh is up to how many VMs everybody talks to everybody.
	fullMesh = 16
	// suspectBeats and goneBeats are how many intervals of silence make a VM suspect
	// and gone.
	suspectBeats = 3
	goneBeats    = 6
	// silentReports is how many VMs must have lost a VM for those who don't talk to it.
	silentReports = 2
	// beatEvery and listEvery are the defaults of Fleet.BeatEvery and Fleet.ListEvery.
	beatEvery = 500 * time.Millisecond
	listEvery = 10 * time.Second
	// firstList is the first pause between two readings of the list; it doubles up to
	// ListEvery.
	firstList = time.Second
)

// Caller is the VM that sent a call.
type Caller struct {
	Name        Name
	Incarnation Incarnation
}

// Handler answers calls of one kind. The name says which lease or group of
// contracts is meant; the body is opaque to this package.
type Handler func(ctx context.Context, from Caller, name string, body []byte) ([]byte, error)

// Fleet talks to the other VMs. Set the fields, then Run.
type Fleet struct {
	Self             Name
	Address          platform.Address
	AvailabilityZone platform.AvailabilityZone
	// Incarnation must be greater than any earlier one of this VM's name.
	Incarnation Incarnation
	VMs         platform.VMList
	// ListEvery is how often VMs is read.
	ListEvery time.Duration
	// BeatEvery is the time between heartbeats, the same on all VMs: a VM is suspect
	// after 3 of them in silence and gone after 6.
	BeatEvery time.Duration
	Listener  net.Listener
	// Dial opens connections; nil for TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// TLS is nil for plaintext, which is allowed on loopback only.
	TLS    *Files
	Logger log.Logger

	// The hooks answer peers; a nil one refuses. They may run at the same time.
	OnPromise, OnBorrow, OnShare Handler
	// OnDocument gives the body of a version that this VM told of, with its hash.
	OnDocument func(ctx context.Context, v platform.DocumentVersion) (platform.DocumentHash, []byte, error)
	// OnNewer learns of a document version greater than this VM's.
	OnNewer func(from Name, v platform.DocumentVersion, h platform.DocumentHash)
	// Word gives what each heartbeat tells of this VM's document, and OnWord gets what
	// each peer's tells; both may be nil.
	Word   func() platform.Word
	OnWord func(from Name, w platform.Word)
	// OnCancel gets a cancel request for a session of this VM.
	OnCancel func(ctx context.Context, process uint32, secret []byte) error
	// OnMembers gets the members after each change; it must not block.
	OnMembers func([]Member)

	once    sync.Once
	board   *board
	mu      sync.Mutex
	members map[Name]*member
	// document is the newest that this VM has.
	document *peerpb.Document
	draining bool
	// ended are the greatest incarnations that said goodbye; they outlast the members,
	// since a heartbeat sent earlier may come later.
	ended map[Name]Incarnation
	// removed are the VMs that this process saw go from the list and hears no more.
	removed map[Name]bool
	// talk starts a neighbour's goroutine; nil before and after Run.
	talk func(*link)
}

func (f *Fleet) init() {
	f.once.Do(func() {
		if f.Incarnation == 0 {
			f.Incarnation = Incarnation(time.Now().UnixNano())
		}
		if f.ListEvery == 0 {
			f.ListEvery = listEvery
		}
		if f.BeatEvery == 0 {
			f.BeatEvery = beatEvery
		}
		if f.Dial == nil {
			f.Dial = (&net.Dialer{}).DialContext
		}
		f.board = newBoard(f.Self, f.Incarnation)
		f.members = map[Name]*member{}
		f.removed = map[Name]bool{}
		f.ended = map[Name]Incarnation{}
		f.document = &peerpb.Document{}
	})
}

// Run serves peers and talks to them until ctx ends. ErrCertificate if the
// certificate files are unusable, or lacking for an address beyond loopback.
func (f *Fleet) Run(ctx context.Context) error {
	f.init()
	l, err := f.listener()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var talks sync.WaitGroup
	f.mu.Lock()
	f.talk = func(k *link) { talks.Go(func() { k.run(ctx) }) }
	f.mu.Unlock()
	server := f.newServer()
	var g run.Group
	g.Add(func() error { return server.Serve(l) }, func(error) { server.Stop() })
	g.Add(func() error { return f.follow(ctx) }, func(error) { cancel() })
	err = g.Run()
	f.hangUp()
	talks.Wait()
	if ctx.Err() == nil && err != nil {
		eventServe.Log(f.Logger, "err", err)
		return ErrUnreachable.Wrap(err, "service for peers")
	}
	return nil
}

// hangUp ends all links.
func (f *Fleet) hangUp() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.talk = nil
	for _, m := range f.members {
		m.link.close()
	}
}

// follow reads the list of VMs and judges the members until ctx ends.
func (f *Fleet) follow(ctx context.Context) error {
	beat := time.NewTicker(f.BeatEvery)
	defer beat.Stop()
	// A VM that has just started looks more often, since others start with it.
	pause := min(firstList, f.ListEvery)
	list := time.NewTimer(pause)
	defer list.Stop()
	f.readList(ctx)
	for {
		f.judge()
		select {
		case <-ctx.Done():
			return nil
		case <-beat.C:
		case <-list.C:
			f.readList(ctx)
			pause = min(2*pause, f.ListEvery)
			list.Reset(pause)
		}
	}
}

func (f *Fleet) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, f.ListEvery/2)
	defer cancel()
	vms, err := f.VMs.List(ctx)
	if err != nil {
		eventList.Log(f.Logger, "err", err)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		m.listed = ""
	}
	for _, vm := range vms {
		if vm.Name == f.Self {
			continue
		}
		m := f.member(vm.Name)
		m.listed = vm.State
		m.wasListed = true
		m.zone = vm.AvailabilityZone
		m.setAddress(vm.Address)
	}
}

// member finds or adds a member; f.mu is held.
func (f *Fleet) member(n Name) *member {
	m := f.members[n]
	if m == nil {
		m = &member{name: n, since: time.Now(), state: Suspect, ended: f.ended[n]}
		m.link = newLink(f, n)
		f.members[n] = m
	}
	return m
}

// Members lists the other VMs by name, gone ones among them while the platform
// lists them.
func (f *Fleet) Members() []Member {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]Member, 0, len(f.members))
	for _, m := range f.members {
		list = append(list, m.public())
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// Publish tells peers a view of this VM, with the next heartbeat.
func (f *Fleet) Publish(v View) {
	f.init()
	f.board.publish(v)
}

// PublishNow tells peers at once.
func (f *Fleet) PublishNow(v View) {
	f.init()
	if !f.board.publish(v) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.kick()
}

// Views lists what this VM and others told, by origin.
func (f *Fleet) Views() []Sighting {
	f.init()
	return f.board.sightings()
}

// Have tells peers at once which document this VM has. Only greater versions count.
func (f *Fleet) Have(v platform.DocumentVersion, h platform.DocumentHash) {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	if int64(v) > f.document.GetVersion() {
		f.document = &peerpb.Document{Version: int64(v), Hash: string(h)}
		f.kick()
	}
}

// Drain tells peers at once that this VM takes nothing new.
func (f *Fleet) Drain() {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.draining = true
	f.kick()
}

// kick makes all links send now; f.mu is held.
func (f *Fleet) kick() {
	for _, m := range f.members {
		m.link.kick()
	}
}

// listener checks the settings and adds TLS.
func (f *Fleet) listener() (net.Listener, error) {
	if f.TLS != nil {
		if _, err := f.TLS.load(); err != nil {
			return nil, err
		}
		return newTLSListener(f.Listener, f.TLS), nil
	}
	a, ok := f.Listener.Addr().(*net.TCPAddr)
	if ok && !a.IP.IsLoopback() {
		return nil, ErrCertificate.New("peers beyond loopback need certificate files")
	}
	return f.Listener, nil
}
