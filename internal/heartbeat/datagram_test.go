package heartbeat

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"testing"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
)

// discardConn drops all datagrams.
type discardConn struct{ net.PacketConn }

func (discardConn) WriteTo(p []byte, _ net.Addr) (int, error) { return len(p), nil }
func (discardConn) LocalAddr() net.Addr                       { return &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 9} }

func boundFleet() *Fleet {
	return &Fleet{
		VM: "own", Zone: "z", Conn: discardConn{}, Logger: log.NewNopLogger(), FillMessage: func(*Message) {}, HasUrgentNews: func() bool { return false },
		OnMessage: func(Message) {}, OnFleetDemand: func(map[string]float64, int, map[string]float64) {}, OnZonePayload: func(json.RawMessage) {},
		IsWorkspace: func(name string) bool { return name == "known" },
	}
}

func handle(t *testing.T, f *Fleet, m Message) {
	t.Helper()
	text, err := json.Marshal(m)
	assert.NilError(t, err)
	f.handleDatagram(text, &net.UDPAddr{})
}

// Datagrams of VMs that don't exist must not make this VM keep any number of them.
func TestTooManyVMs(t *testing.T) {
	f := boundFleet()
	for n := range 20 {
		known := map[VMName]Entry{}
		for i := range 100 {
			known[VMName(fmt.Sprint("known-", n, "-", i))] = Entry{Address: "127.0.0.1:9"}
		}
		handle(t, f, Message{VM: VMName(fmt.Sprint("vm-", n)), Address: "127.0.0.1:9", Incarnation: 1, Known: known})
	}
	assert.Equal(t, len(f.peers), maxPeers)
	// A VM that is heard takes the place of one that never was.
	handle(t, f, Message{VM: "real", Address: "127.0.0.1:9", Incarnation: 1})
	assert.Assert(t, f.peers["real"] != nil)
	assert.Equal(t, len(f.peers), maxPeers)
	for n := range maxPeers {
		handle(t, f, Message{VM: VMName(fmt.Sprint("heard-", n)), Address: "127.0.0.1:9", Incarnation: 1})
	}
	assert.Equal(t, len(f.peers), maxPeers)
}

// Demand for workspaces that don't exist must not be kept, and demand for others must.
func TestUnknownDemand(t *testing.T) {
	f := boundFleet()
	var got map[string]float64
	f.OnMessage = func(m Message) { got = m.Demand }
	handle(t, f, Message{VM: "vm", Address: "127.0.0.1:9", Incarnation: 1, Demand: map[string]float64{"known": 1, "unknown": 2}})
	assert.DeepEqual(t, got, map[string]float64{"known": 1})
}

// FuzzDatagrams guards against a datagram of anyone that makes the VM panic, or keep too many VMs.
func FuzzDatagrams(f *testing.F) {
	seeds := []Message{
		{VM: "a", Address: "127.0.0.1:9", Zone: "z", Incarnation: 1, Sequence: 1, Demand: map[string]float64{"known": 1}, Known: map[VMName]Entry{"b": {Address: "x"}}},
		{VM: "a", Address: "", Zone: "z", Urgent: true, Observations: map[string]PrimaryObservation{"g": {Server: "s", Term: -1}}},
		{VM: "a", Zone: "y", Digest: &Digest{Zone: "y", Full: true, Changed: []Message{{VM: "c"}}, Gone: []VMName{"d"}, Unheard: []VMName{"e"}, Demand: map[string]float64{"known": -1}, VMs: -1}},
		{VM: "a", Zone: "z", View: &View{Zones: []Digest{{Zone: "z", AgeMs: -1}, {Zone: ""}}, Demand: map[string]float64{"known": 1}, VMs: 1 << 30}},
		{VM: "a", RequestedZone: "y"},
		{VM: "a", ZonePayload: json.RawMessage("[]")},
		{VM: "own"},
	}
	for _, m := range seeds {
		text, err := json.Marshal(m)
		assert.NilError(f, err)
		f.Add(text)
	}
	f.Add([]byte("{"))
	f.Add([]byte("null"))
	f.Add([]byte(strings.Repeat("[", 20_000)))
	f.Fuzz(func(t *testing.T, text []byte) {
		fleet := boundFleet()
		handle(t, fleet, Message{VM: "other", Address: "127.0.0.1:9", Zone: "y", Incarnation: rand.Uint32()})
		fleet.handleDatagram(text, &net.UDPAddr{})
		fleet.handleDatagram(text, &net.UDPAddr{})
		if len(fleet.peers) > maxPeers {
			t.Fatalf("%d VMs are known", len(fleet.peers))
		}
	})
}
