package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/savoryramp/savoryramp/platform/standin"
)

const (
	serviceName = "ledger"
	// heartbeat is how often the stand-in's servers write their rows.
	heartbeat = 500 * time.Millisecond
	// startWithin and recoverWithin bound the VMs' start and their return to service
	// once all is well again.
	startWithin   = 15 * time.Second
	recoverWithin = 12 * time.Second
	// firstPause lets callers open sessions before the first fault.
	firstPause = 300 * time.Millisecond
	// pollEvery is how often the balancer asks who is ready.
	pollEvery = 250 * time.Millisecond
	// clientRate is a rate that clients without pauses don't reach.
	clientRate = 200_000
)

// Soak is one run. The exported fields are set before Run.
type Soak struct {
	// Binary is the VM's program; Folder takes settings and logs.
	Binary, Folder string
	Seed           uint64
	VMs            int
	// Lasts is how long callers work and faults come.
	Lasts time.Duration
	// Faults that are drawn.
	Faults Faults
	// Contracts are those in the VMs' settings.
	Contracts []string
	// Crowd multiplies the writers and readers. It is 1 if it is 0.
	Crowd int
	// SyncReplicas is how many replicas confirm each commit.
	SyncReplicas int
	// EndsWithFault is true if the primary crashes and all VMs are killed at the end, under load.
	EndsWithFault bool
	// Clients is how many callers send mixed statements without pauses. Unless it is 0, the servers are fast.
	Clients int
	// Stutter is how unreliably the servers answer all the while, StoreStutter the store, which only repeats
	// answers. They may be nil.
	Stutter, StoreStutter *standin.Stutter
	// Network is the third byte of the VMs' loopback addresses, so that runs may overlap.
	Network int
	Log     io.Writer

	ledger  *standin.Group
	store   *standin.Store
	http    *http.Server
	servers map[string]*proxy
	ids     []string
	vms     []*process
	stop    chan struct{}
	tasks   sync.WaitGroup
	check   checks
	// expectations has what callers sent, for the servers.
	expectations *standin.Expectations
	// restoring is held while the store is restored.
	restoring sync.Mutex
	// evacuating is held while a zone is evacuated.
	evacuating sync.Mutex
	// evacuated is the number of the server whose zone is evacuated, from 1, or 0.
	evacuated atomic.Int64
	// warming is held while a server is cold.
	warming sync.Mutex

	mu       sync.Mutex
	free     []*process
	ready    []*process
	document standin.Document
}

// Faults says which faults a run draws.
type Faults string

// The kinds of faults; planned ones may cut no request, the others are drawn from all, from those that a
// restore of the store may make worse, or from those under which zones are still evacuated in time.
const (
	AllFaults     Faults = "all"
	PlannedFaults Faults = "planned"
	RestoreFaults Faults = "restores"
	// EvacuationFaults are evacuations and what happens to VMs and their ways to the store meanwhile.
	EvacuationFaults Faults = "evacuations"
	NoFaults         Faults = "none"
)

// Report is what a run showed.
type Report struct {
	Faults []string
	// Outcomes counts the answers.
	Outcomes map[standin.Outcome]int
	// Repeats counts the answers that the servers sent a second time, StoreRepeats those of the store.
	Repeats, StoreRepeats int64
	// Asked counts the requests below their workspace's rate, Served those of them that succeeded, and P50 and
	// P99 are the latencies of these.
	Asked, Served int
	P50, P99      time.Duration
	// Broken promises, each with what was seen, the first ones. Counts has all by promise.
	Broken []string
	Counts map[string]int
}

// Share returns the share of requests that were served.
func (r Report) Share() float64 { return float64(r.Served) / float64(max(r.Asked, 1)) }

// Run plays one run. The error is one of the soak's own making.
func (s *Soak) Run() (Report, error) {
	s.stop = make(chan struct{})
	s.check.begin()
	s.expectations = &standin.Expectations{Broken: s.check.fail}
	if err := s.stand(); err != nil {
		return Report{}, err
	}
	defer s.end()
	for _, p := range s.vms {
		if err := p.start(); err != nil {
			return Report{}, err
		}
	}
	s.free = slices.Clone(s.vms)
	s.tasks.Go(s.poll)
	if !s.until(startWithin, func() bool { return len(s.balanced()) == len(s.vms) }) {
		s.broken("all VMs get ready", "%d of %d in %s", len(s.balanced()), len(s.vms), startWithin)
	}
	s.stutter(s.Stutter, s.StoreStutter)
	var callers sync.WaitGroup
	halt := make(chan struct{})
	for _, call := range s.callers() {
		callers.Go(func() { call(halt) })
	}
	names := s.play()
	s.stutter(nil, nil)
	s.recover()
	close(halt)
	callers.Wait()
	s.audit()
	s.auditConfirmed()
	s.auditRegions()
	for _, p := range s.vms {
		if p.unexpected > 0 {
			s.broken("no process ends by itself", "%s ended %d times", p.name, p.unexpected)
		}
	}
	report := Report{Faults: names, Repeats: s.ledger.Repeats()}
	for _, p := range s.vms {
		report.StoreRepeats += p.store.repeats.Load()
	}
	s.check.report(&report)
	return report, nil
}

// stutter sets how unreliably the servers and the store answer.
func (s *Soak) stutter(servers, store *standin.Stutter) {
	s.ledger.SetStutter(servers)
	for _, p := range s.vms {
		p.store.stutter.Store(store)
	}
}

// oddServers returns rows that another writer has left among those of the servers.
func oddServers() map[string]string {
	const row = `{"service":%q,"address":%q,"zone":"a","version":"v1","capacity":%s,"state":"ready","sequence":9,"databaseRole":"primary","extra":%s}`
	nested := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	return map[string]string{
		"odd-nested":   fmt.Sprintf(row, serviceName, "127.0.0.1:9", "2", nested),
		"odd-number":   fmt.Sprintf(row, serviceName, "127.0.0.1:9", "1e999", "0"),
		"odd-port":     fmt.Sprintf(row, serviceName, "127.0.0.1:99999", "2", "0"),
		"odd-host":     fmt.Sprintf(row, serviceName, "nowhere", "2", "0"),
		"odd-bytes":    "\xff\x00{",
		"odd-language": "null",
	}
}

// stand starts the stand-ins and the proxies before them.
func (s *Soak) stand() error {
	s.ids = []string{"i-1", "i-2", "i-3"}
	addresses, zones := map[string]string{}, map[string]string{}
	for i, id := range s.ids {
		addresses[id], zones[id] = "127.0.0.1:0", fmt.Sprint("zone-", i+1)
	}
	s.ledger = &standin.Group{
		Service: serviceName, Addresses: addresses, Zones: zones, AdvertisedAddresses: map[string]string{}, Slots: 3, QueueLimit: 24, ConnectionLimit: 24,
		HandshakeTime: 8 * time.Millisecond, StatementTime: 4 * time.Millisecond, ReplicationLag: 10 * time.Millisecond, PromotionTime: 200 * time.Millisecond,
		Expectations: s.expectations, SyncReplicas: s.SyncReplicas,
	}
	if s.Clients > 0 {
		s.ledger.Slots, s.ledger.QueueLimit, s.ledger.StatementTime, s.ledger.HandshakeTime = 16, 100, 300*time.Microsecond, time.Millisecond
	}
	if err := s.ledger.Start(); err != nil {
		return err
	}
	s.servers = map[string]*proxy{}
	for _, id := range s.ids {
		p, err := newProxy(func() string { return s.ledger.Address(id) }, false)
		if err != nil {
			return err
		}
		s.servers[id] = p
		s.ledger.AdvertisedAddresses[id] = p.address()
	}
	s.store = &standin.Store{Groups: map[string]*standin.Group{serviceName: s.ledger}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.http = &http.Server{Handler: s.store, ReadHeaderTimeout: time.Second}
	s.tasks.Go(func() { _ = s.http.Serve(listener) })
	for id, row := range oddServers() {
		s.store.Put("servers", id, row)
	}
	s.document = firstDocument()
	s.document.SyncReplicas = s.SyncReplicas
	if s.Faults == EvacuationFaults {
		s.document, s.ledger.WarmupTime = placedDocument(s.document), warmupTime
	}
	if s.Clients > 0 {
		s.document.Tenants[0].Rate, s.document.Tenants[0].Burst = clientRate, clientRate
	}
	s.store.Put("op", "config", s.document.JSON())
	s.tasks.Go(s.beat)
	for i := range s.VMs {
		p, err := newProxy(func() string { return listener.Addr().String() }, true)
		if err != nil {
			return err
		}
		s.vms = append(s.vms, &process{
			name: fmt.Sprintf("vm-%d-%d", i+1, i%3+1), ip: fmt.Sprintf("127.%d.%d.%d", 1+s.Network/200, 1+s.Network%200, i+1),
			binary: s.Binary, folder: s.Folder, store: p, contracts: s.Contracts, evacuates: s.Faults == EvacuationFaults,
		})
	}
	return nil
}

// beat has the servers write their rows until the run ends.
func (s *Soak) beat() {
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	for {
		s.store.WriteServerRows()
		select {
		case <-s.stop:
			return
		case <-tick.C:
		}
	}
}

// poll is the balancer's look at the VMs.
func (s *Soak) poll() {
	client := &http.Client{Timeout: pollEvery, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		var ready []*process
		for _, p := range s.vms {
			if p.ready(client) {
				ready = append(ready, p)
			}
		}
		s.mu.Lock()
		s.ready = ready
		s.mu.Unlock()
		if !s.pause(pollEvery) {
			return
		}
	}
}

func (s *Soak) balanced() []*process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.ready)
}

// pause waits; false once the run is over.
func (s *Soak) pause(d time.Duration) bool {
	select {
	case <-s.stop:
		return false
	case <-time.After(d):
		return true
	}
}

func (s *Soak) until(within time.Duration, done func() bool) bool {
	for end := time.Now().Add(within); time.Now().Before(end); {
		if done() {
			return true
		}
		s.pause(pollEvery)
	}
	return done()
}

// play injects faults, in series and overlapping, and gives what it did.
func (s *Soak) play() []string {
	r := rand.New(rand.NewPCG(s.Seed, 0))
	var names []string
	var mu sync.Mutex
	var running sync.WaitGroup
	began := time.Now()
	// At the start, so that the run is still on when the key must have stopped.
	s.pause(firstPause)
	names = append(names, "withdraw a key: "+s.withdraw())
	if s.Faults == NoFaults {
		s.pause(s.Lasts)
		return names
	}
	drawn := s.drawn()
	for first := true; time.Since(began) < s.Lasts; first = false {
		f := drawn[r.IntN(len(drawn))]
		for first && s.Faults == EvacuationFaults && f.name != evacuateZone {
			f = drawn[r.IntN(len(drawn))]
		}
		for !f.isDrawn(s.Faults) {
			f = drawn[r.IntN(len(drawn))]
		}
		lasts := time.Duration(300+r.IntN(3000)) * time.Millisecond
		own := rand.New(rand.NewPCG(s.Seed, r.Uint64()))
		running.Go(func() {
			at := time.Since(began).Round(time.Millisecond)
			what := f.do(s, own, lasts)
			mu.Lock()
			defer mu.Unlock()
			names = append(names, fmt.Sprintf("%s +%s %s: %s", at, lasts, f.name, what))
		})
		s.pause(time.Duration(200+r.IntN(1500)) * time.Millisecond)
	}
	running.Wait()
	if s.EndsWithFault {
		names = append(names, s.finalFault())
	}
	slices.Sort(names)
	return names
}

// take reserves a VM that no other fault has, unless it is the last but one.
func (s *Soak) take(r *rand.Rand) *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	if 2*len(s.free) <= len(s.vms) {
		return nil
	}
	i := r.IntN(len(s.free))
	p := s.free[i]
	s.free = slices.Delete(s.free, i, i+1)
	return p
}

func (s *Soak) give(p *process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.free = append(s.free, p)
}

func (s *Soak) restart(p *process) {
	if err := p.start(); err != nil {
		s.broken("a VM starts again", "%s: %v", p.name, err)
	}
	s.give(p)
}

// recover waits until all is served again.
func (s *Soak) recover() {
	if !s.until(recoverWithin, func() bool { return len(s.balanced()) == len(s.vms) }) {
		s.broken("all VMs are ready again", "%d of %d after %s", len(s.balanced()), len(s.vms), recoverWithin)
	}
	for _, p := range s.vms {
		for _, r := range s.document.Routes {
			text := ""
			if !s.until(recoverWithin, func() bool { ok, why := s.try(p, r.Database); text = why; return ok }) {
				s.broken("every VM serves again", "%s, %s: %s", p.name, r.Database, text)
			}
		}
	}
}

// try writes or reads through one VM.
func (s *Soak) try(p *process, database string) (bool, string) {
	c, a := standin.Dial(p.callers(), database, mainKey, time.Second)
	if c == nil {
		return false, a.Text
	}
	defer c.Close()
	text := "READ probe"
	if database == "strict" {
		text = "WRITE probe x"
	}
	id := s.check.id()
	s.expectations.Add(id, standin.Expectation{Text: text})
	a = c.Query(id, text, time.Second)
	return a.Outcome == standin.Done, a.Text
}

// change puts a further configuration into force.
func (s *Soak) change(edit func(d *standin.Document)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	edit(&s.document)
	s.document.Version += 3
	s.store.Put("op", "config", s.document.JSON())
}

// rewrite writes the configuration in force again, which a restored store lacks.
func (s *Soak) rewrite() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.Put("op", "config", s.document.JSON())
}

func (s *Soak) broken(promise, format string, arguments ...any) {
	s.check.fail(promise, fmt.Sprintf(format, arguments...))
}

// end ends all that the run started.
func (s *Soak) end() {
	for _, p := range s.vms {
		if p.command != nil {
			p.signal(9, true)
			p.wait(5 * time.Second)
			p.log.Close()
		}
	}
	close(s.stop)
	s.http.Close()
	for _, p := range s.vms {
		p.store.close()
	}
	for _, p := range s.servers {
		p.close()
	}
	s.ledger.Stop()
	s.tasks.Wait()
}
