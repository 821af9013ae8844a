package heartbeat

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/clock"
)

// TestDuplicateDatagrams guards against a duplicate or late datagram that counts as a sign of life of a VM, or that
// replaces a newer state of it.
func TestDuplicateDatagrams(t *testing.T) {
	heartbeat := func(incarnation, sequence uint32, server string) Message {
		return Message{
			VM: "a", Address: "10.0.0.1:9", Zone: "z", Incarnation: incarnation, Sequence: sequence,
			Demand: map[string]float64{"known": float64(sequence)}, Observations: map[string]PrimaryObservation{"g": {Server: server}},
		}
	}
	// digest is zone y's digest with the state of VM c, sent by its delegate b.
	digest := func(incarnation, sequence uint32, server string) Message {
		record := Message{VM: "c", Address: "10.0.0.3:9", Incarnation: 7, Observations: map[string]PrimaryObservation{"g": {Server: server}}}
		return Message{
			VM: "b", Address: "10.0.0.2:9", Zone: "y", Incarnation: incarnation, Sequence: sequence,
			Digest: &Digest{Zone: "y", Changed: []Message{record}, Demand: map[string]float64{"known": float64(sequence)}, VMs: 1},
		}
	}
	view := func(m Message, demand float64) Message {
		m.View = &View{Demand: map[string]float64{"known": demand}, VMs: 2, Zones: []Digest{*digest(1, 1, "old").Digest}}
		return m
	}
	payload := func(sequence uint32, text string) Message {
		return Message{VM: "a", Incarnation: 1, Sequence: sequence, ZonePayload: json.RawMessage(text)}
	}
	tests := map[string]struct {
		// received are handled in order, a second apart.
		received []Message
		vm       VMName
		// want is the server that the VM observes, age the age of its state.
		want string
		age  time.Duration
	}{
		"heartbeat again":            {[]Message{heartbeat(1, 1, "new"), heartbeat(1, 1, "new")}, "a", "new", time.Second},
		"earlier heartbeat":          {[]Message{heartbeat(1, 2, "new"), heartbeat(1, 1, "old")}, "a", "new", time.Second},
		"heartbeat before a restart": {[]Message{heartbeat(1, 9, "old"), heartbeat(2, 1, "new"), heartbeat(1, 9, "old")}, "a", "new", time.Second},
		"heartbeat after a restart":  {[]Message{heartbeat(1, 9, "old"), heartbeat(2, 1, "new")}, "a", "new", 0},
		"next heartbeat":             {[]Message{heartbeat(1, 9, "old"), heartbeat(1, 10, "new")}, "a", "new", 0},
		"heartbeat of earlier build": {[]Message{heartbeat(1, 0, "old"), heartbeat(1, 0, "new")}, "a", "new", 0},
		"digest again":               {[]Message{digest(1, 1, "new"), digest(1, 1, "new")}, "c", "new", time.Second},
		"earlier digest":             {[]Message{digest(1, 2, "new"), digest(1, 1, "old")}, "c", "new", time.Second},
		"next digest":                {[]Message{digest(1, 1, "old"), digest(1, 2, "new")}, "c", "new", 0},
		"digest of earlier build":    {[]Message{digest(0, 0, "old"), digest(0, 0, "new")}, "c", "new", 0},
		"earlier view":               {[]Message{digest(1, 1, "new"), heartbeat(1, 2, "x"), view(heartbeat(1, 1, "y"), 1)}, "c", "new", 2 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				defer clock.Fake(func() clock.Instant { return clock.Instant(time.Now().UnixNano()) })()
				f := boundFleet()
				for i, m := range test.received {
					if i > 0 {
						time.Sleep(time.Second)
					}
					handle(t, f, m)
				}
				peers := f.PeersNamed(map[VMName]bool{test.vm: true})
				assert.Equal(t, len(peers), 1)
				assert.Equal(t, peers[0].Observations["g"].Server, test.want)
				assert.Equal(t, peers[0].Age, test.age)
			})
		})
	}
	t.Run("earlier payload", func(t *testing.T) {
		f := boundFleet()
		var got string
		f.OnZonePayload = func(text json.RawMessage) { got = string(text) }
		handle(t, f, payload(2, `"new"`))
		handle(t, f, payload(1, `"old"`))
		assert.Equal(t, got, `"new"`)
		handle(t, f, payload(3, `"newer"`))
		assert.Equal(t, got, `"newer"`)
	})
	t.Run("demand", func(t *testing.T) {
		f := boundFleet()
		handle(t, f, heartbeat(1, 2, "new"))
		handle(t, f, heartbeat(1, 1, "old"))
		assert.Equal(t, f.demandByVM["a"].demand["known"], 2.0)
		handle(t, f, digest(1, 2, "new"))
		handle(t, f, digest(1, 1, "old"))
		assert.Equal(t, f.demandByZone["y"].demand["known"], 2.0)
	})
}

// TestNoDuplicatesInCalm guards against datagrams that VMs take for duplicates although the network delivers each
// once and in order.
func TestNoDuplicatesInCalm(t *testing.T) {
	for name, n := range map[string]int{"small": 9, "with digests": 33} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, n, func(fleet *testFleet) {
				fleet.wait(5 * time.Second)
				fleet.startVM(n)
				fleet.wait(5 * time.Second)
				for _, f := range fleet.vms {
					assert.Check(t, f.duplicates.Load() == 0, "%s: %d", f.VM, f.duplicates.Load())
				}
			})
		})
	}
}
