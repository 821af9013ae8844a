package hostile

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/platform"
	"github.com/savoryramp/savoryramp/platform/standin"
)

const (
	// vmMemoryMB and vmDescriptors are the lowered limits of a VM under test. Its own start takes
	// under 40 MB and 20 descriptors.
	vmMemoryMB    = 64
	vmDescriptors = 400
	// vmDescriptorBound leaves a part of the descriptors for servers, other VMs and the store.
	vmDescriptorBound = 340

	service = "ledger"
	key     = "key-main"
	// readyTimeout and answerTimeout bound waiting for the VM to be ready and for the answer to an
	// ordinary request.
	readyTimeout  = 20 * time.Second
	answerTimeout = 20 * time.Second
	// attemptTimeout bounds one attempt of these.
	attemptTimeout = 2 * time.Second
	retryPause     = 50 * time.Millisecond
)

// vm is a VM under test before stand-ins of the platform.
type vm struct {
	*process
	ip     string
	ledger *standin.Group
}

func (v *vm) callers() string   { return v.ip + ":8465" }
func (v *vm) readiness() string { return v.ip + ":8460" }
func (v *vm) control() string   { return v.ip + ":8462" }
func (v *vm) metrics() string   { return v.ip + ":9464" }
func (v *vm) internal() string  { return v.ip + ":7560" }

// startVM starts a VM with lowered limits and waits until it answers a request.
func startVM(t *testing.T) *vm {
	t.Helper()
	return startVMWith(t, vmMemoryMB, vmDescriptors)
}

// startVMWith starts a VM with some limits and waits until it answers a request.
func startVMWith(t *testing.T, memoryMB, descriptors int) *vm {
	t.Helper()
	v := &vm{ip: fmt.Sprintf("127.%d.%d.1", 60+os.Getpid()%90, 1+os.Getpid()/90%200)}
	v.ledger = &standin.Group{
		Service: service, Addresses: map[string]string{"i-1": "127.0.0.1:0", "i-2": "127.0.0.1:0"}, Zones: map[string]string{"i-1": "zone-1", "i-2": "zone-1"},
		AdvertisedAddresses: map[string]string{}, Slots: 3, QueueLimit: 24, ConnectionLimit: 24, HandshakeTime: time.Millisecond, StatementTime: time.Millisecond, ReplicationLag: time.Millisecond,
	}
	assert.NilError(t, v.ledger.Start())
	t.Cleanup(v.ledger.Stop)
	store := &standin.Store{Groups: map[string]*standin.Group{service: v.ledger}}
	store.Put("op", "config", standin.Document{
		Version: 1, Connections: 24, TransactionIdleMs: 3000,
		Routes:  []standin.Route{{Database: "strict", Service: service, Kind: "primary", TimeoutMs: 2000}},
		Tenants: []standin.Tenant{{Name: "main", Keys: []string{key}, Rate: 5000, Burst: 5000}},
	}.JSON())
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	keepServerRows(t, store)
	settings := filepath.Join(t.TempDir(), "vm.json")
	address := server.Listener.Addr().String()
	assert.NilError(t, os.WriteFile(settings, setLimits(t, standin.SettingsFile("vm-1", "zone-1", v.ip, address, address), memoryMB, descriptors), 0o600))
	v.process = startProcess(t, "savoryramp-vm", nil, []string{platform.SettingsVariable + "=" + settings}, descriptors,
		v.callers(), v.readiness(), v.control(), v.metrics(), v.internal())
	v.expectAnswer(t)
	return v
}

// setLimits replaces the limits in a VM's settings.
func setLimits(t *testing.T, text []byte, memoryMB, descriptors int) []byte {
	t.Helper()
	var settings map[string]any
	assert.NilError(t, json.Unmarshal(text, &settings))
	settings["limits"] = map[string]any{"memoryMb": memoryMB, "fileDescriptors": descriptors, "cpuShare": 1, "cpuCores": 1, "linkMbps": 200}
	text, err := json.Marshal(settings)
	assert.NilError(t, err)
	return text
}

// keepServerRows has the servers write their rows to the store until the test ends.
func keepServerRows(t *testing.T, store *standin.Store) {
	t.Helper()
	stop := make(chan struct{})
	var tasks sync.WaitGroup
	tasks.Go(func() {
		tick := time.NewTicker(500 * time.Millisecond)
		defer tick.Stop()
		for {
			store.WriteServerRows()
			select {
			case <-stop:
				return
			case <-tick.C:
			}
		}
	})
	t.Cleanup(func() {
		close(stop)
		tasks.Wait()
	})
}

// expectAnswer checks that one ordinary request is answered on a new connection, within some
// attempts.
func (v *vm) expectAnswer(t *testing.T) {
	t.Helper()
	text := ""
	for end := time.Now().Add(answerTimeout); time.Now().Before(end) && v.lives(); time.Sleep(retryPause) {
		c, a := standin.Dial(v.callers(), "strict", key, attemptTimeout)
		if a.Outcome == standin.Done {
			a = c.Query("ordinary", "READ ordinary", attemptTimeout)
			c.Close()
		}
		if a.Outcome == standin.Done {
			return
		}
		text = a.Text
	}
	t.Errorf("no ordinary request was answered: %s; the log ends: %s", text, v.logTail())
}

// isReady asks as the load balancer does.
func (v *vm) isReady() bool {
	client := &http.Client{Timeout: attemptTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + v.readiness() + standin.ReadinessPath)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// pattern is a way in which a crowd of clients misbehaves.
type pattern struct {
	// clients is the size of the crowd.
	clients int
	// client is what each does on a connection to address. The connections stay open until all have
	// done so.
	address func(*vm) string
	client  func(c net.Conn)
	// held is true if an ordinary request must be answered while the crowd's connections are open.
	held bool
}

// run plays a pattern and checks the VM.
func (p pattern) run(t *testing.T) {
	v := startVM(t)
	crowd := openCrowd(p.address(v), p.clients, p.client)
	if p.held {
		v.expectAnswer(t)
	}
	crowd.close()
	v.expectAnswer(t)
	ready := v.isReady()
	for end := time.Now().Add(readyTimeout); !ready && time.Now().Before(end); time.Sleep(retryPause) {
		ready = v.isReady()
	}
	assert.Check(t, ready, "the VM isn't ready")
	v.expectWithinLimits(t, vmMemoryMB, vmDescriptorBound)
}
