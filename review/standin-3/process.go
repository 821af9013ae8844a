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
)

const (
	// program is what the build of the deploy file makes, as that places it.
	program = "target/savoryramp-vm"

	callersPort, readyPort, controlPort = "8465", "8460", "8462"
	firstPort, lastPort                 = 7560, 7575
	metricsPort                         = "9464"
	// memoryMB is the machines' limit of memory.
	memoryMB = 284
)

// vm is a machine with one process of the program.
type vm struct {
	name, zone, ip string
	// settings and logs are paths in the run's temporary folder.
	settings, logs string
	record         *record

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
	// stopping is true once the run ends the process itself.
	stopping bool
	// ends counts the ends of processes that the run hasn't ordered.
	ends int
}

// freeNetwork returns the first three bytes of loopback addresses on which the VMs' ports are free.
func freeNetwork(vms int) (string, error) {
	for range 50 {
		network := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		free := true
		for i := range vms {
			for _, port := range []string{callersPort, readyPort, controlPort, strconv.Itoa(firstPort), metricsPort} {
				listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%s", network, i+1, port))
				if err != nil {
					free = false
					continue
				}
				_ = listener.Close()
			}
		}
		if free {
			return network, nil
		}
	}
	return "", fmt.Errorf("no loopback addresses with free ports")
}

// writeSettings writes the VM's settings file, in the form of the platform's.
func (v *vm) writeSettings(store, cloud string, seeds []string) error {
	type object = map[string]any
	text, err := json.Marshal(object{
		"nodeName": v.name, "role": "vm", "machineClass": "frontend", "serves": []string{"frontend", "control_plane"},
		"ipAddress": v.ip, "zone": v.zone, "region": "region-1",
		"zones":             object{"zone-a": "region-1", "zone-b": "region-1", "zone-c": "region-1"},
		"listenAddresses":   object{"frontend": v.ip + ":" + callersPort, "ready": v.ip + ":" + readyPort, "controlPlane": v.ip + ":" + controlPort},
		"internalPortRange": []int{firstPort, lastPort}, "seedNodes": seeds, "bootstrap": true, "lossCounts": false,
		"limits":        object{"cpuShare": 0.4, "cpuCores": 1, "memoryMb": memoryMB, "fileDescriptors": 4200, "linkMbps": 1000.0, "diskMb": 0},
		"dataDirectory": nil, "discovery": "platform", "entryPoint": "virtual_ip", "heartbeatIntervalMs": beatInterval.Milliseconds(),
		"contracts":      []string{"base", "drain", "config", "cost", "recover", "sql", "tenants", "quota", "platform"},
		"faultTolerance": object{"machines": 1, "zones": 0, "regions": 0},
		"bounds":         object{"stabilityWindowMs": 4000, "drainTimeoutMs": 7000, "gracePeriodS": 6, "configApplyMs": 3000, "recoveryS": 12, "fencingEnforced": true},
		"platform":       object{"address": store, "form": "table", "writesPerS": 400, "readsPerS": 2000, "transactionDurationMs": 4.0, "partWritesPerS": 250, "rowBytes": 65536, "across": true, "historyS": 20},
		"cloudApi":       object{"address": cloud, "ratePerS": 50.0, "duties": []string{"promotion"}, "dutyPerS": 50.0},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(v.settings, text, 0o600)
}

// start starts the process with the command of the deploy file.
func (v *vm) start() error {
	logs, err := os.OpenFile(v.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	c := exec.Command(program)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SAVORYRAMP_NODE_FILE=" + v.settings}
	c.Stdout, c.Stderr = logs, logs
	if err := c.Start(); err != nil {
		_ = logs.Close()
		return err
	}
	done := make(chan struct{})
	v.command, v.done = c, done
	go func() {
		_ = c.Wait()
		_ = logs.Close()
		v.mu.Lock()
		if !v.stopping {
			v.ends++
		}
		v.mu.Unlock()
		close(done)
	}()
	return nil
}

// stop kills the process and waits for its end.
func (v *vm) stop() {
	v.mu.Lock()
	c, done := v.command, v.done
	v.stopping = true
	v.mu.Unlock()
	if c == nil {
		return
	}
	_ = c.Process.Signal(syscall.SIGKILL)
	<-done
}

func (v *vm) pid() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.command == nil {
		return 0
	}
	return v.command.Process.Pid
}

func (v *vm) callers() string { return v.ip + ":" + callersPort }

// isReady asks the VM's readiness page.
func (v *vm) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + v.ip + ":" + readyPort + "/-/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// residentMB returns the process's resident memory.
func (v *vm) residentMB() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.pid()))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb / 1024
		}
	}
	return 0
}

// world is a small deployment: the platform, a group of three servers and some VMs.
type world struct {
	record *record
	store  *store
	group  *group
	vms    []*vm
	folder string
	// zones has the last letters of the VMs' zones, "abc" if it is empty.
	zones string
	// seeds are the VMs' control addresses.
	seeds []string
}

const (
	// key is a key of the first tenant.
	key = "k-1"
	// The databases, one for each kind of route.
	primaryDatabase, boundedDatabase, ownDatabase = "d-primary", "d-bounded", "d-own"

	readyWithin = 20 * time.Second
)

// tenantCount is how many tenants there are.
const tenantCount = 8

// tenantKey returns a key of a tenant from 1 to tenantCount.
func tenantKey(i int) string {
	if i == 1 {
		return key
	}
	return fmt.Sprint("k-t", i)
}

// configuration is the operator's desired state. The first tenant has the given keys.
func configuration(syncReplicas, connections, version int, keys ...string) []byte {
	type object = map[string]any
	route := func(host, kind string, staleness int) object {
		return object{"name": "r-" + host, "host": host, "kind": kind, "service": serviceName, "timeoutMs": 800, "maxStalenessMs": staleness, "targetLatencyMs": 200, "priority": 1}
	}
	tenants := []object{{"name": "t-1", "apiKeys": keys, "ratePerS": 100000, "burst": 100000}}
	for i := 2; i <= tenantCount; i++ {
		tenants = append(tenants, object{"name": fmt.Sprint("t-", i), "apiKeys": []string{tenantKey(i)}, "ratePerS": 100000, "burst": 100000})
	}
	text, _ := json.Marshal(object{
		"version":  version,
		"routes":   []object{route(primaryDatabase, "primary", 0), route(boundedDatabase, "bounded_staleness", 1500), route(ownDatabase, "read_your_writes", 2500)},
		"services": []object{{"name": serviceName, "connectionLimit": connections, "syncReplicas": syncReplicas}},
		"limits":   object{"transactionIdleMs": 3000},
		"tenants":  tenants,
	})
	return text
}

// start starts everything and waits until all VMs are ready.
func (w *world) start(vms int) error {
	running.Lock()
	running.worlds = append(running.worlds, w)
	running.Unlock()
	network, err := freeNetwork(vms)
	if err != nil {
		return err
	}
	if w.folder, err = os.MkdirTemp("", "review-3-"); err != nil {
		return err
	}
	w.store = newStore(w.record)
	w.store.promote = w.group.promote
	w.group.store, w.group.record = w.store, w.record
	storeAddress, err := w.store.serve("127.0.0.1")
	if err != nil {
		return err
	}
	w.store.put("op", "config", configuration(w.group.syncReplicas, w.group.connections, 3, key, withdrawnKey))
	if err := w.group.start("127.0.0.1", 3); err != nil {
		return err
	}
	for i := range vms {
		v := &vm{name: fmt.Sprintf("vm-%d", i+1), zone: zoneName(w.zones, i), ip: fmt.Sprintf("%s.%d", network, i+1), record: w.record}
		v.settings, v.logs = filepath.Join(w.folder, v.name+".json"), filepath.Join(w.folder, v.name+".log")
		w.vms = append(w.vms, v)
		w.seeds = append(w.seeds, v.ip+":"+controlPort)
	}
	for _, v := range w.vms {
		if err := v.writeSettings(storeAddress, storeAddress, w.seeds); err != nil {
			return err
		}
		if err := v.start(); err != nil {
			return err
		}
	}
	return w.awaitReady()
}

func (w *world) awaitReady() error {
	for until := time.Now().Add(readyWithin); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, v := range w.vms {
			if v.isReady() {
				ready++
			}
		}
		if ready == len(w.vms) {
			w.record.say("all %d VMs are ready", ready)
			return nil
		}
	}
	return fmt.Errorf("not all VMs are ready after %s", readyWithin)
}

// end ends all processes that the run has started, and removes its folder unless keep is true.
func (w *world) end(keep bool) {
	for _, v := range w.vms {
		v.stop()
	}
	w.group.end()
	w.store.close()
	if !keep && w.folder != "" {
		_ = os.RemoveAll(w.folder)
	}
}

// kill ends the process as the platform does, and counts that as an end of its own.
func (v *vm) kill() {
	v.mu.Lock()
	c, done := v.command, v.done
	v.mu.Unlock()
	_ = c.Process.Signal(syscall.SIGKILL)
	<-done
}
