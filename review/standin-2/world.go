package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/savoryramp/savoryramp/platform"
	"github.com/savoryramp/savoryramp/platform/standin"
)

const (
	// program is built by the build line of deploy/system.toml.
	program = "target/savoryramp-vm"
	// memoryMB is the memory limit of a VM, that of the users' machines.
	memoryMB = 284
	// beatInterval is how often the servers write their rows, and the platform measures the VMs' memory.
	beatInterval = 300 * time.Millisecond
	startTimeout = 20 * time.Second
	// restartDelay is the pause before a process that has ended is started again.
	restartDelay = 500 * time.Millisecond
	callTimeout  = 3 * time.Second
	// stableTime is a bit more than stabilityWindowMs, after which the VMs are in touch.
	stableTime = 4500 * time.Millisecond
)

// The ports of each VM, on an address of its own.
const (
	callerPort, readinessPort, controlPort, firstPeerPort, metricsPort = "8465", "8460", "8462", 7560, "9464"
)

// world is a small deployment: a store, groups of servers and VMs as processes.
type world struct {
	record *record
	folder string
	store  *standin.Store
	groups map[string]*standin.Group
	// ledgers are groups whose commits replicas confirm. VMs reach these servers over links of their own.
	ledgers map[string]*ledger
	http    *http.Server
	// storeAddress is the "host:port" of the store and of the API that promotes servers.
	storeAddress string
	vms          []*process
	// memoryLimited makes the platform kill a VM that exceeds its memory limit.
	memoryLimited bool
	// settings changes the settings of the VMs, unless it is nil.
	settings func(map[string]any)
	stop     chan struct{}
	tasks    sync.WaitGroup
}

// record is the list of what was sent, answered and seen.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// note adds a line.
func (r *record) note(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf(format, arguments...)
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), line)
}

// newGroup returns a group of three servers, one in each zone. The first one is the primary.
func newGroup(service string) *standin.Group {
	g := &standin.Group{
		Service: service, Addresses: map[string]string{}, Zones: map[string]string{}, AdvertisedAddresses: map[string]string{},
		Slots: 3, QueueLimit: 24, ConnectionLimit: 23, HandshakeTime: 12 * time.Millisecond, StatementTime: 4 * time.Millisecond,
		ReplicationLag: 8 * time.Millisecond, PromotionTime: 300 * time.Millisecond,
	}
	for i := range 3 {
		id := fmt.Sprintf("i-%s-%d", service, i+1)
		g.Addresses[id], g.Zones[id] = "127.0.0.1:0", zoneName(i)
	}
	return g
}

func zoneName(i int) string { return "zone-" + string(rune('a'+i%3)) }

// build starts the stand-ins, writes the configuration and starts VMs until they are ready.
func (w *world) build(vms int, d standin.Document, groups ...*standin.Group) error {
	w.stop, w.groups = make(chan struct{}), map[string]*standin.Group{}
	for _, l := range w.ledgers {
		if err := l.start(); err != nil {
			return err
		}
	}
	for _, g := range groups {
		if err := g.Start(); err != nil {
			return err
		}
		w.groups[g.Service] = g
	}
	w.store = &standin.Store{Groups: w.groups}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.storeAddress = listener.Addr().String()
	w.http = &http.Server{Handler: w.store, ReadHeaderTimeout: time.Second}
	w.tasks.Go(func() { _ = w.http.Serve(listener) })
	w.store.Put("op", "config", d.JSON())
	w.tasks.Go(w.beat)
	network, err := freeNetwork(vms)
	if err != nil {
		return err
	}
	for i := range vms {
		p := &process{world: w, name: fmt.Sprintf("frontend-%d", i+1), zone: zoneName(i), ip: fmt.Sprintf("%s.%d", network, i+1)}
		w.vms = append(w.vms, p)
		if len(w.ledgers) > 0 {
			if p.front, err = newFront(w, p.name); err != nil {
				return err
			}
		}
		if err := p.start(); err != nil {
			return err
		}
	}
	for deadline := time.Now().Add(startTimeout); ; <-time.After(50 * time.Millisecond) {
		ready := 0
		for _, p := range w.vms {
			if p.isReady() {
				ready++
			}
		}
		if ready == vms {
			w.record.note("%d VMs are ready", vms)
			time.Sleep(stableTime)
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%d of %d VMs are ready after %s", ready, vms, startTimeout)
		}
	}
}

// beat has the servers write their rows and measures the VMs' memory.
func (w *world) beat() {
	tick := time.NewTicker(beatInterval)
	defer tick.Stop()
	for {
		w.store.WriteServerRows()
		for _, l := range w.ledgers {
			for id, row := range l.rows() {
				w.store.Put("servers", id, row)
			}
		}
		for _, p := range w.vms {
			p.checkMemory()
		}
		select {
		case <-w.stop:
			return
		case <-tick.C:
		}
	}
}

// end ends all that the world started.
func (w *world) end() {
	if w.stop != nil {
		close(w.stop)
	}
	for _, p := range w.vms {
		p.kill("the end of the test")
		p.wait(5 * time.Second)
		if p.front != nil {
			p.front.close()
		}
	}
	for _, l := range w.ledgers {
		l.end()
	}
	if w.http != nil {
		w.http.Close()
	}
	for _, g := range w.groups {
		g.Stop()
	}
	w.tasks.Wait()
}

// freeNetwork returns the first three bytes of loopback addresses on which the VMs' ports are free.
func freeNetwork(vms int) (string, error) {
	for range 50 {
		network := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		if isFree(network, vms) {
			return network, nil
		}
	}
	return "", fmt.Errorf("no loopback network with free ports was found")
}

func isFree(network string, vms int) bool {
	for i := range vms {
		for _, port := range []string{callerPort, readinessPort, controlPort, strconv.Itoa(firstPeerPort), metricsPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%s", network, i+1, port))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

// process is a VM.
type process struct {
	world          *world
	name, zone, ip string
	// front is the platform as this VM reaches it, nil if all VMs reach it alike.
	front *front

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
	// ordered is true once the test has sent a signal that ends the process. ended is how it ended by itself.
	ordered bool
	ended   string
	// exceeded counts how often the platform has killed the process for its memory.
	exceeded int
	peakMB   int
}

// settingsText returns the settings file, with the fields that DEPLOY.md lists.
func (p *process) settingsText() ([]byte, error) {
	type object = map[string]any
	seeds, zones := []string{}, object{}
	for i, other := range p.world.vms {
		zones[zoneName(i)] = "region-1"
		if i < 3 {
			seeds = append(seeds, other.ip+":"+controlPort)
		}
	}
	storeAddress := p.world.storeAddress
	if p.front != nil {
		storeAddress = p.front.address
	}
	settings := object{
		"nodeName": p.name, "role": "vm", "machineClass": "frontend", "serves": []string{"frontend", "control_plane"},
		"ipAddress": p.ip, "zone": p.zone, "region": "region-1", "zones": zones,
		"listenAddresses":   object{"frontend": p.ip + ":" + callerPort, "ready": p.ip + ":" + readinessPort, "controlPlane": p.ip + ":" + controlPort},
		"internalPortRange": []int{firstPeerPort, firstPeerPort + 15}, "seedNodes": seeds, "bootstrap": true, "lossCounts": false,
		"limits":        object{"cpuShare": 0.4, "cpuCores": 1, "memoryMb": memoryMB, "fileDescriptors": 4200, "linkMbps": 1000.0, "diskMb": 0},
		"dataDirectory": nil, "discovery": "platform", "entryPoint": "virtual_ip", "heartbeatIntervalMs": 1200,
		"contracts":      []string{"base", "drain", "config", "cost", "recover", "sql", "tenants", "quota", "platform"},
		"faultTolerance": object{"machines": 1, "zones": 0, "regions": 0},
		"bounds": object{
			"seedPropagationS": 3, "addressReuseS": 2, "stabilityWindowMs": 4000, "ackTimeoutMs": 5000, "catchUpS": 4, "drainTimeoutMs": 7000,
			"gracePeriodS": 6, "lossSlackMs": 200, "configApplyMs": 3000, "rollbackSlackMs": 250, "maxExtensionMs": 12000, "strictRevocation": false,
			"revocationMs": 5000, "quotaWindowS": 5, "quotaOvershoot": 0.1, "quotaTolerance": 20, "recoveryS": 12, "fencingEnforced": true, "thawSlackMs": 300,
		},
		"platform": object{
			"address": storeAddress, "form": "table", "writesPerS": 400, "readsPerS": 2000, "transactionDurationMs": 4.0, "partWritesPerS": 250,
			"rowBytes": 65536, "across": true, "historyS": 20, "blobBytes": 8388608, "blobMs": 25.0, "blobMbPerS": 80.0,
		},
		"cloudApi": object{"address": storeAddress, "ratePerS": 50.0, "duties": []string{"promotion"}, "dutyPerS": 50.0},
	}
	if p.world.settings != nil {
		p.world.settings(settings)
	}
	return json.MarshalIndent(settings, "", "  ")
}

// start starts the program.
func (p *process) start() error {
	text, err := p.settingsText()
	if err != nil {
		return err
	}
	path := filepath.Join(p.world.folder, p.name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.world.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command(program)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsVariable + "=" + path}
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.command, p.done, p.ordered = c, done, false
	p.mu.Unlock()
	p.world.record.note("%s starts as process %d at %s", p.name, c.Process.Pid, p.ip)
	go func() {
		err := c.Wait()
		log.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.ordered {
			p.ended = fmt.Sprint(err)
			p.world.record.note("%s has ended by itself: %v; its last words: %s", p.name, err, p.lastWords())
		}
		close(done)
	}()
	return nil
}

// lastWords returns the first lines of a crash in the process's log.
func (p *process) lastWords() string {
	text, err := os.ReadFile(filepath.Join(p.world.folder, p.name+".log"))
	if err != nil {
		return err.Error()
	}
	i := strings.LastIndex(string(text), "panic: ")
	if i < 0 {
		i = max(len(text)-300, 0)
	}
	lines := strings.Split(string(text[i:]), "\n")
	var frames []string
	for _, line := range lines {
		if line != "" && len(frames) < 8 && !strings.HasPrefix(line, "\t") {
			frames = append(frames, line)
		}
	}
	return strings.Join(frames, " | ")
}

// endedByItself returns how the process ended without a signal of the test, empty if it didn't.
func (p *process) endedByItself() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

func (p *process) signal(s syscall.Signal, ends bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil || p.ended != "" {
		return
	}
	p.ordered = p.ordered || ends
	_ = p.command.Process.Signal(s)
}

func (p *process) kill(why string) {
	p.world.record.note("%s is killed: %s", p.name, why)
	p.signal(syscall.SIGKILL, true)
}

// wait reports whether the process ends in time.
func (p *process) wait(limit time.Duration) bool {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done == nil {
		return true
	}
	select {
	case <-done:
		return true
	case <-time.After(limit):
		return false
	}
}

// checkMemory measures the process's memory. The platform kills a process that exceeds its limit.
func (p *process) checkMemory() {
	p.mu.Lock()
	c, over := p.command, p.ordered || p.ended != ""
	p.mu.Unlock()
	if c == nil || over {
		return
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", c.Process.Pid))
	fields := strings.Fields(string(text))
	if err != nil || len(fields) < 2 {
		return
	}
	pages, _ := strconv.Atoi(fields[1])
	mb := pages * os.Getpagesize() >> 20
	p.mu.Lock()
	p.peakMB = max(p.peakMB, mb)
	exceeds := mb > memoryMB && p.world.memoryLimited
	if exceeds {
		p.exceeded++
	}
	p.mu.Unlock()
	if exceeds {
		p.kill(fmt.Sprintf("it uses %d MB, the limit of its machine is %d MB", mb, memoryMB))
		p.world.tasks.Go(p.restart)
	}
}

// restart starts the process again after a short delay, as the platform does.
func (p *process) restart() {
	p.wait(startTimeout)
	select {
	case <-p.world.stop:
		return
	case <-time.After(restartDelay):
	}
	if err := p.start(); err != nil {
		p.world.record.note("%s doesn't start again: %v", p.name, err)
	}
}

// exceededTimes returns how often the process has exceeded its memory limit.
func (p *process) exceededTimes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exceeded
}

// peak returns the most memory that the process has used, in MB.
func (p *process) peak() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peakMB
}

func (p *process) isReady() bool {
	client := &http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + p.ip + ":" + readinessPort + standin.ReadinessPath)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (p *process) callers() string { return p.ip + ":" + callerPort }

// session is a client's session that records what it sends and gets.
type session struct {
	*standin.Client
	name   string
	record *record
}

// open opens a session at a VM. It returns nil if the VM refuses it.
func (w *world) open(name string, p *process, database, key string) *session {
	c, a := standin.Dial(p.callers(), database, key, callTimeout)
	w.record.note("%s: STARTUP %s %s at %s -> %s %s", name, database, key, p.name, a.Outcome, a.Text)
	if c == nil {
		return nil
	}
	return &session{c, name, w.record}
}

// query runs a statement and records it.
func (s *session) query(text string) standin.Answer {
	_, a := s.queryWithID(text)
	return a
}

// queryWithID is query that also returns the request's ID.
func (s *session) queryWithID(text string) (string, standin.Answer) {
	id := newID()
	shown := text
	if len(shown) > 60 {
		shown = fmt.Sprintf("%s... (%d bytes)", shown[:40], len(text))
	}
	s.record.note("%s: QUERY %s %s", s.name, id, shown)
	a := s.Query(id, text, callTimeout)
	s.record.note("%s: %s -> %s rows=%.60q digest=%s state=%s %.120s", s.name, id, a.Outcome, a.Rows, a.Digest, a.State, a.Text)
	return id, a
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
