// Package peer connects the VMs of the fleet over gRPC. Heartbeats carry membership
// and each VM's views of servers and terms; unary calls serve leases, shared limits
// (package contract), the service document and cancel requests.
//
// Every VM keeps one connection and one goroutine for each of its neighbours. In a
// fleet of up to 17 VMs (maxFullMesh others) all are neighbours; in a larger one each VM
// opens streams to about log2(fleet size) neighbours, and views that every VM needs are
// forwarded.
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
	// maxFullMesh is the largest number of other VMs for which all VMs exchange
	// heartbeats directly.
	maxFullMesh = 16
	// suspectIntervals and goneIntervals are the numbers of heartbeat intervals
	// without a heartbeat after which a VM is suspect and gone.
	suspectIntervals = 3
	goneIntervals    = 6
	// minSilentReports is how many VMs must report a VM as silent before a VM that
	// exchanges no heartbeats with it considers it gone.
	minSilentReports = 2
	// These are the defaults of Fleet.HeartbeatInterval and Fleet.ListInterval.
	defaultHeartbeatInterval = 500 * time.Millisecond
	defaultListInterval      = 10 * time.Second
	// initialListInterval is the first pause between two reads of the platform's list
	// of VMs; the pause doubles up to Fleet.ListInterval.
	initialListInterval = time.Second
)

// Caller is the VM that sent a call.
type Caller struct {
	Name        Name
	Incarnation Incarnation
}

// Handler answers one kind of call. name identifies the lease or group of contracts;
// the body is opaque to this package.
type Handler func(ctx context.Context, from Caller, name string, body []byte) ([]byte, error)

// Fleet tracks the other VMs and exchanges heartbeats and calls with them. Set the
// fields before calling Run.
type Fleet struct {
	Self             Name
	Address          platform.Address
	AvailabilityZone platform.AvailabilityZone
	// Incarnation must be greater than any earlier one of this VM's name.
	Incarnation Incarnation
	VMs         platform.VMList
	// ListInterval is the time between two reads of VMs.
	ListInterval time.Duration
	// HeartbeatInterval must be the same on all VMs: a VM is suspect after 3 intervals
	// without a heartbeat and gone after 6.
	HeartbeatInterval time.Duration
	Listener          net.Listener
	// Dial opens connections; nil for TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// TLS is nil for plaintext, which is allowed on loopback only.
	TLS    *TLSFiles
	Logger log.Logger

	// OnPromise, OnBorrow and OnShare answer peers' calls and may run concurrently. A
	// call whose handler is nil is refused.
	OnPromise, OnBorrow, OnShare Handler
	// OnFetchDocument returns the hash and body of a document version that this VM
	// announced.
	OnFetchDocument func(ctx context.Context, v platform.DocumentVersion) (platform.DocumentHash, []byte, error)
	// OnNewerDocument is called when a peer announces a document version greater than
	// this VM's.
	OnNewerDocument func(from Name, v platform.DocumentVersion, h platform.DocumentHash)
	// ReportDocument returns the document report to send with each heartbeat;
	// OnDocumentReport receives the peers' reports. Both may be nil.
	ReportDocument   func() platform.DocumentReport
	OnDocumentReport func(from Name, r platform.DocumentReport)
	// OnCancel handles a cancel request for a session of this VM.
	OnCancel func(ctx context.Context, process uint32, secret []byte) error
	// OnMembersChanged receives all members after a member changed state or was dropped;
	// it must not block.
	OnMembersChanged func([]Member)

	once    sync.Once
	views   *viewStore
	mu      sync.Mutex
	members map[Name]*member
	// document is the version and hash of the newest document that this VM has.
	document *peerpb.Document
	draining bool
	// endedIncarnations holds each VM's greatest incarnation that said goodbye. It is
	// kept after the member is dropped, since a heartbeat sent before the goodbye may
	// arrive after it.
	endedIncarnations map[Name]Incarnation
	// delisted holds the dropped members that had been in the platform's list while
	// this process ran. A new heartbeat removes a VM from it.
	delisted map[Name]bool
	// startLink starts the goroutine of a link to a neighbour; it is nil unless Run is
	// running.
	startLink func(*link)
}

func (f *Fleet) init() {
	f.once.Do(func() {
		if f.Incarnation == 0 {
			f.Incarnation = Incarnation(time.Now().UnixNano())
		}
		if f.ListInterval == 0 {
			f.ListInterval = defaultListInterval
		}
		if f.HeartbeatInterval == 0 {
			f.HeartbeatInterval = defaultHeartbeatInterval
		}
		if f.Dial == nil {
			f.Dial = (&net.Dialer{}).DialContext
		}
		f.views = newViewStore(f.Self, f.Incarnation)
		f.members = map[Name]*member{}
		f.delisted = map[Name]bool{}
		f.endedIncarnations = map[Name]Incarnation{}
		f.document = &peerpb.Document{}
	})
}

// Run serves peers and exchanges heartbeats with them until ctx ends. It returns
// ErrCertificate if the certificate files are unusable, or missing for an address that
// isn't loopback.
func (f *Fleet) Run(ctx context.Context) error {
	f.init()
	l, err := f.serverListener()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var links sync.WaitGroup
	f.mu.Lock()
	f.startLink = func(k *link) { links.Go(func() { k.run(ctx) }) }
	f.mu.Unlock()
	server := f.newServer()
	var g run.Group
	g.Add(func() error { return server.Serve(l) }, func(error) { server.Stop() })
	g.Add(func() error { return f.maintainMembers(ctx) }, func(error) { cancel() })
	err = g.Run()
	f.closeLinks()
	links.Wait()
	if ctx.Err() == nil && err != nil {
		eventServiceEnded.Log(f.Logger, "err", err)
		return ErrUnreachable.Wrap(err, "peer server stopped")
	}
	return nil
}

// closeLinks closes all links and prevents new ones.
func (f *Fleet) closeLinks() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.startLink = nil
	for _, m := range f.members {
		m.link.close()
	}
}

// maintainMembers reads the list of VMs and updates the members' states until ctx ends.
func (f *Fleet) maintainMembers(ctx context.Context) error {
	heartbeatTicker := time.NewTicker(f.HeartbeatInterval)
	defer heartbeatTicker.Stop()
	// A VM that has just started reads the list more often, since the rest of the fleet
	// may be starting too.
	listInterval := min(initialListInterval, f.ListInterval)
	listTimer := time.NewTimer(listInterval)
	defer listTimer.Stop()
	f.readList(ctx)
	for {
		f.updateStates()
		select {
		case <-ctx.Done():
			return nil
		case <-heartbeatTicker.C:
		case <-listTimer.C:
			f.readList(ctx)
			listInterval = min(2*listInterval, f.ListInterval)
			listTimer.Reset(listInterval)
		}
	}
}

func (f *Fleet) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, f.ListInterval/2)
	defer cancel()
	vms, err := f.VMs.List(ctx)
	if err != nil {
		eventListUnread.Log(f.Logger, "err", err)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	malformed := map[Name]bool{}
	for _, vm := range vms {
		malformed[vm.Name] = vm.IsMalformed()
	}
	for name, m := range f.members {
		if !malformed[name] {
			m.listedState = ""
		}
	}
	for _, vm := range vms {
		if vm.Name == f.Self {
			continue
		}
		if vm.IsMalformed() {
			eventListEntryMalformed.Log(f.Logger, "peer", vm.Name)
			continue
		}
		m := f.member(vm.Name)
		m.listedState = vm.State
		m.wasListed = true
		m.zone = vm.AvailabilityZone
		m.setAddress(vm.Address)
	}
}

// member returns the named member and adds it if it is missing; f.mu is held.
func (f *Fleet) member(n Name) *member {
	m := f.members[n]
	if m == nil {
		m = &member{name: n, addedAt: time.Now(), state: Suspect, ended: f.endedIncarnations[n]}
		m.link = newLink(f, n)
		f.members[n] = m
	}
	return m
}

// Members returns the other VMs sorted by name. It includes gone VMs that are still in
// the platform's list.
func (f *Fleet) Members() []Member {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]Member, 0, len(f.members))
	for _, m := range f.members {
		list = append(list, m.snapshot())
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// Publish sends a view of this VM to peers with the next heartbeat.
func (f *Fleet) Publish(v View) {
	f.init()
	f.views.publish(v)
}

// PublishNow sends a view of this VM to peers immediately.
func (f *Fleet) PublishNow(v View) {
	f.init()
	if !f.views.publish(v) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sendNow()
}

// Views returns the newest views published by this VM and received from others, sorted
// by origin.
func (f *Fleet) Views() []ReceivedView {
	f.init()
	return f.views.list()
}

// AnnounceDocument sends the version of this VM's document to peers immediately. A
// version that isn't greater than the announced one is ignored.
func (f *Fleet) AnnounceDocument(v platform.DocumentVersion, h platform.DocumentHash) {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	if int64(v) > f.document.GetVersion() {
		f.document = &peerpb.Document{Version: int64(v), Hash: string(h)}
		f.sendNow()
	}
}

// Drain announces to peers immediately that this VM takes no new work.
func (f *Fleet) Drain() {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.draining = true
	f.sendNow()
}

// sendNow makes all links send a heartbeat immediately; f.mu is held.
func (f *Fleet) sendNow() {
	for _, m := range f.members {
		m.link.sendNow()
	}
}

// serverListener wraps the listener in TLS, or checks that it is on loopback.
func (f *Fleet) serverListener() (net.Listener, error) {
	if f.TLS != nil {
		if _, err := f.TLS.load(); err != nil {
			return nil, err
		}
		return wrapTLS(f.Listener, f.TLS), nil
	}
	a, ok := f.Listener.Addr().(*net.TCPAddr)
	if ok && !a.IP.IsLoopback() {
		return nil, ErrCertificate.New("peer connections beyond loopback require certificate files")
	}
	return f.Listener, nil
}
