// Command world plays the review's cases: it starts savoryramp-vm as separate processes before
// stand-ins of the platform, disturbs them, and checks what clients, servers and the platform see.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/savoryramp/savoryramp/platform/standin"
)

const (
	// heartbeatInterval is how often the servers write their rows.
	heartbeatInterval = 400 * time.Millisecond
	// startTimeout bounds the start of all VMs.
	startTimeout = 20 * time.Second
	// readinessInterval is how often the balancer asks whether a VM is ready.
	readinessInterval = time.Second
)

// world is one small deployment: VMs, database groups, the platform's store and its API.
type world struct {
	binary, folder string
	record         *record
	// fencing is the setting fencingEnforced, syncReplicas that of the services.
	fencing bool
	ports   [4]int
	network string

	store    *standin.Store
	api      *api
	groups   map[string]*standin.Group
	document standin.Document
	storeURL string
	apiURL   string
	servers  []*http.Server
	vms      []*vm
	stop     chan struct{}
	tasks    sync.WaitGroup
}

// record is the file with what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	out     io.Writer
	startAt time.Time
}

func (r *record) printf(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.startAt).Seconds(), fmt.Sprintf(format, arguments...))
}

// newWorld starts the stand-ins, but no VM.
func newWorld(binary, folder string, r *record, groups ...*standin.Group) (*world, error) {
	w := &world{binary: binary, folder: folder, record: r, fencing: true, groups: map[string]*standin.Group{}, stop: make(chan struct{})}
	for _, g := range groups {
		if err := g.Start(); err != nil {
			return nil, err
		}
		w.groups[g.Service] = g
	}
	w.store = &standin.Store{Groups: w.groups}
	w.api = &api{store: w.store, record: r, newest: map[string]int64{}}
	var err error
	if w.storeURL, err = w.serve(pagesOnly{w.store}); err != nil {
		return nil, err
	}
	if w.apiURL, err = w.serve(w.api); err != nil {
		return nil, err
	}
	w.tasks.Go(w.beat)
	return w, w.choosePorts()
}

func (w *world) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	w.servers = append(w.servers, server)
	w.tasks.Go(func() { _ = server.Serve(listener) })
	return listener.Addr().String(), nil
}

// choosePorts chooses a loopback network and ports that are free on it.
func (w *world) choosePorts() error {
	w.network = fmt.Sprintf("127.%d.%d", 20+os.Getpid()%200, 1+os.Getpid()/200%250)
	for i := range w.ports {
		listener, err := net.Listen("tcp", w.network+".250:0")
		if err != nil {
			return err
		}
		w.ports[i] = listener.Addr().(*net.TCPAddr).Port
		defer listener.Close()
	}
	return nil
}

func (w *world) beat() {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for {
		w.store.WriteServerRows()
		select {
		case <-w.stop:
			return
		case <-tick.C:
		}
	}
}

// configure has the operator write the document as a new version.
func (w *world) configure(edit func(d *standin.Document)) {
	edit(&w.document)
	w.document.Version += 3
	w.store.Put("op", "config", w.document.JSON())
}

// close ends all processes and stand-ins.
func (w *world) close() {
	for _, v := range w.vms {
		v.kill()
	}
	close(w.stop)
	for _, s := range w.servers {
		s.Close()
	}
	for _, g := range w.groups {
		g.Stop()
	}
	w.tasks.Wait()
}

// pagesOnly removes the header that the platform's pages don't name.
type pagesOnly struct{ handler http.Handler }

func (p pagesOnly) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.handler.ServeHTTP(plainWriter{w}, r)
}

type plainWriter struct{ http.ResponseWriter }

func (p plainWriter) WriteHeader(status int) {
	p.Header().Del("Store-Era")
	p.ResponseWriter.WriteHeader(status)
}

func (p plainWriter) Write(text []byte) (int, error) {
	p.Header().Del("Store-Era")
	return p.ResponseWriter.Write(text)
}

// vm is one VM's process.
type vm struct {
	world          *world
	name, zone, ip string
	env            []string

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
	log     *os.File
	killed  bool
	// crashed is true if the process ended by itself.
	crashed bool
}

// addVM describes a VM, whose process start starts.
func (w *world) addVM(number int, zone string) *vm {
	v := &vm{world: w, name: fmt.Sprintf("vm-%d", number), zone: zone, ip: fmt.Sprintf("%s.%d", w.network, number)}
	w.vms = append(w.vms, v)
	return v
}

func (v *vm) address(port int) string { return fmt.Sprintf("%s:%d", v.ip, v.world.ports[port]) }

func (v *vm) callers() string { return v.address(0) }

// settings returns the settings file, with the figures of a small deployment.
func (v *vm) settings() ([]byte, error) {
	type object = map[string]any
	w := v.world
	seeds := []string{}
	for i := 0; i < len(w.vms) && i < 3; i++ {
		seeds = append(seeds, w.vms[i].address(2))
	}
	return json.Marshal(object{
		"nodeName": v.name, "role": "vm", "machineClass": "frontend", "serves": []string{"frontend", "control_plane"},
		"ipAddress": v.ip, "zone": v.zone, "region": "r1", "zones": object{"zone-1": "r1", "zone-2": "r1", "zone-3": "r1"},
		"listenAddresses":   object{"frontend": v.address(0), "ready": v.address(1), "controlPlane": v.address(2)},
		"internalPortRange": []int{w.ports[3], w.ports[3] + 15}, "seedNodes": seeds, "bootstrap": true, "lossCounts": false,
		"limits":        object{"cpuShare": 0.4, "cpuCores": 1, "memoryMb": 284, "fileDescriptors": 4200, "linkMbps": 1000.0, "diskMb": 0},
		"dataDirectory": nil, "discovery": "platform", "entryPoint": "virtual_ip", "heartbeatIntervalMs": 1200,
		"contracts":      []string{"base", "drain", "config", "cost", "recover", "sql", "tenants", "quota", "platform"},
		"faultTolerance": object{"machines": 1, "zones": 0, "regions": 0},
		"bounds": object{
			"seedPropagationS": 3, "addressReuseS": 2, "stabilityWindowMs": 4000, "ackTimeoutMs": 5000, "catchUpS": 4, "drainTimeoutMs": 7000, "gracePeriodS": 6,
			"lossSlackMs": 200, "configApplyMs": 3000, "rollbackSlackMs": 250, "maxExtensionMs": 12000, "strictRevocation": false, "revocationMs": 5000,
			"quotaWindowS": 5, "quotaOvershoot": 0.1, "quotaTolerance": 20, "recoveryS": 12, "fencingEnforced": w.fencing, "thawSlackMs": 300,
		},
		"platform": object{
			"address": w.storeURL, "form": "table", "writesPerS": 400, "readsPerS": 2000, "transactionDurationMs": 4.0, "partWritesPerS": 250, "rowBytes": 65536,
			"across": true, "historyS": 20, "blobBytes": 8388608, "blobMs": 25.0, "blobMbPerS": 80.0,
		},
		"cloudApi": object{"address": w.apiURL, "ratePerS": 50.0, "duties": []string{"promotion"}, "dutyPerS": 50.0},
	})
}

// start starts the process with the command of the deploy file.
func (v *vm) start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	text, err := v.settings()
	if err != nil {
		return err
	}
	path := filepath.Join(v.world.folder, v.name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	if v.log == nil {
		if v.log, err = os.Create(filepath.Join(v.world.folder, v.name+".log")); err != nil {
			return err
		}
	}
	c := exec.Command(v.world.binary)
	c.Env = append(append(os.Environ(), "SAVORYRAMP_NODE_FILE="+path), v.env...)
	c.Stdout, c.Stderr = v.log, v.log
	if err := c.Start(); err != nil {
		return err
	}
	running.Store(c.Process, true)
	done := make(chan struct{})
	v.command, v.done, v.killed = c, done, false
	go func() {
		err := c.Wait()
		running.Delete(c.Process)
		v.mu.Lock()
		if !v.killed {
			v.crashed = true
			v.world.record.printf("%s ended by itself: %v", v.name, err)
		}
		v.mu.Unlock()
		close(done)
	}()
	return nil
}

// running has the processes that were started and haven't ended.
var running sync.Map

// killAll kills all processes that were started.
func killAll() {
	running.Range(func(process, _ any) bool {
		_ = process.(*os.Process).Kill()
		return true
	})
}

// signal sends a signal to the process that start started.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		v.killed = true
	}
	if v.command != nil {
		_ = v.command.Process.Signal(s)
	}
}

// kill ends the process, if one runs, and waits for its end.
func (v *vm) kill() {
	v.mu.Lock()
	done := v.done
	v.mu.Unlock()
	if done == nil {
		return
	}
	v.signal(syscall.SIGKILL)
	<-done
}

// isReady asks for the VM's readiness as the platform does.
func (v *vm) isReady() bool {
	client := &http.Client{Timeout: readinessInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + v.address(1) + standin.ReadinessPath)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// startAll starts VMs and waits until all of them are ready.
func (w *world) startAll(vms []*vm) error {
	for _, v := range vms {
		if err := v.start(); err != nil {
			return err
		}
	}
	return await(startTimeout, func() bool {
		for _, v := range vms {
			if !v.isReady() {
				return false
			}
		}
		return true
	})
}

// await polls until a condition holds.
func await(within time.Duration, condition func() bool) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("a condition didn't hold within %s", within)
}

// newGroup describes a group of three servers, one in each zone.
func newGroup(service string) *standin.Group {
	g := &standin.Group{
		Service: service, Addresses: map[string]string{}, Zones: map[string]string{}, Slots: 3, QueueLimit: 24, ConnectionLimit: 23,
		HandshakeTime: 12 * time.Millisecond, StatementTime: 4 * time.Millisecond, ReplicationLag: 8 * time.Millisecond, PromotionTime: 300 * time.Millisecond,
	}
	for i := 1; i <= 3; i++ {
		id := fmt.Sprintf("i-%s%d", service, i)
		g.Addresses[id], g.Zones[id] = "127.0.0.1:0", fmt.Sprintf("zone-%d", i)
	}
	return g
}
