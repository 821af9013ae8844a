package hostile

import (
	"encoding/binary"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/heartbeat"
	"github.com/savoryramp/savoryramp/internal/proxy"
	"github.com/savoryramp/savoryramp/platform/standin"
)

// gobLength returns the length prefix of a gob message.
func gobLength(n uint32) string {
	return string(binary.BigEndian.AppendUint32([]byte{0xfc}, n))
}

// linkPatterns are the crowds at the port for links between VMs.
var linkPatterns = map[string]pattern{
	"batches far over the limit": {clients: 50, held: true, client: func(c net.Conn) {
		send(c, gobLength(900<<20), text(8<<20))
	}},
	"batches that stop half-way": {clients: 200, held: true, client: func(c net.Conn) {
		send(c, gobLength(2<<20), text(1<<20))
	}},
	"long batches at once": {clients: 100, client: func(c net.Conn) {
		batch := proxy.Batch{Service: service, Server: "i-1", Workspace: "main", Within: time.Second, Commands: []proxy.Command{
			proxy.Forward{ID: "a", Statement: proxy.Write{Text: "WRITE k " + text(fullMessage-256)}},
		}}
		for range 3 {
			batch.Number++
			if gob.NewEncoder(c).Encode(batch) != nil {
				return
			}
		}
	}},
	"idle links": {clients: 600, held: true, client: func(net.Conn) {}},
	"half-closed links": {clients: 600, held: true, client: func(c net.Conn) {
		send(c, gobLength(64))
		_ = c.(*net.TCPConn).CloseWrite()
	}},
}

// TestLinks guards against clients at the port for other VMs' statements that take the VM's memory or
// descriptors.
func TestLinks(t *testing.T) {
	for name, p := range linkPatterns {
		p.address = (*vm).internal
		t.Run(name, p.run)
	}
}

// pagePatterns are the crowds at the ports for readiness, control and metrics.
var pagePatterns = map[string]pattern{
	"headers that never end": {clients: 200, held: true, client: func(c net.Conn) {
		send(c, "GET /state HTTP/1.1\r\nHost: vm\r\n")
		for i := range 56 {
			send(c, fmt.Sprint("X-", i, ": ", text(16<<10), "\r\n"))
		}
	}},
	"idle connections": {clients: 600, held: true, client: func(net.Conn) {}},
	"bodies that never end": {clients: 200, held: true, client: func(c net.Conn) {
		send(c, "GET "+standin.ReadinessPath+" HTTP/1.1\r\nHost: vm\r\nContent-Length: 100000000\r\n\r\n", text(1<<20))
	}},
	"pipelined requests, answers unread": {clients: 200, held: true, client: func(c net.Conn) {
		send(c, strings.Repeat("GET /state HTTP/1.1\r\nHost: vm\r\n\r\n", 2000))
	}},
	"kept connections": {clients: 600, held: true, client: func(c net.Conn) {
		send(c, "GET "+standin.ReadinessPath+" HTTP/1.1\r\nHost: vm\r\n\r\n")
	}},
}

// TestPages guards against clients at the HTTP ports that take the VM's memory or descriptors.
func TestPages(t *testing.T) {
	ports := map[string]func(*vm) string{"readiness": (*vm).readiness, "control": (*vm).control, "metrics": (*vm).metrics}
	for port, address := range ports {
		for name, p := range pagePatterns {
			p.address = address
			t.Run(port+"/"+name, p.run)
		}
	}
}

const (
	// datagrams is how many datagrams a test sends; after each datagramGroup of them it pauses, so
	// that the kernel drops few.
	datagrams     = 3000
	datagramGroup = 20
	datagramPause = 2 * time.Millisecond
)

// datagramPatterns return the n-th datagram to the port for heartbeats.
var datagramPatterns = map[string]func(n int) any{
	"many VMs": func(n int) any {
		return heartbeat.Message{VM: heartbeat.VMName(fmt.Sprint("no-vm-", n)), Address: "127.0.0.1:9", Zone: "zone-9", Incarnation: 1, Sequence: 1}
	},
	"many known VMs": func(n int) any {
		known := map[heartbeat.VMName]heartbeat.Entry{}
		for i := range 300 {
			known[heartbeat.VMName(fmt.Sprint("no-vm-", n, "-", i))] = heartbeat.Entry{Address: "127.0.0.1:9", Zone: "zone-9"}
		}
		return heartbeat.Message{VM: "no-vm", Address: "127.0.0.1:9", Zone: "zone-9", Incarnation: 1, Sequence: uint32(n + 1), Known: known}
	},
	"demand of many workspaces": func(n int) any {
		demand := map[string]float64{}
		for i := range 500 {
			demand[fmt.Sprint("no-workspace-", n, "-", i)] = 1
		}
		return heartbeat.Message{VM: heartbeat.VMName(fmt.Sprint("no-vm-", n%20)), Address: "127.0.0.1:9", Zone: "zone-9", Incarnation: 1, Sequence: uint32(n + 1), Demand: demand}
	},
	"deep nesting":  func(int) any { return json.RawMessage(strings.Repeat("[", 8000) + strings.Repeat("]", 8000)) },
	"not a message": func(int) any { return text(32 << 10) },
}

// TestDatagrams guards against datagrams that take the VM's memory.
func TestDatagrams(t *testing.T) {
	for name, datagram := range datagramPatterns {
		t.Run(name, func(t *testing.T) {
			v := startVM(t)
			c, err := net.Dial("udp", v.internal())
			assert.NilError(t, err)
			defer c.Close()
			for n := range datagrams {
				encoded, err := json.Marshal(datagram(n))
				assert.NilError(t, err)
				send(c, string(encoded))
				if n%datagramGroup == 0 {
					time.Sleep(datagramPause)
				}
			}
			v.expectAnswer(t)
			v.expectWithinLimits(t, vmMemoryMB, vmDescriptorBound)
		})
	}
}
