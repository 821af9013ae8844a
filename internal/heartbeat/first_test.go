package heartbeat

import (
	"testing"

	"gotest.tools/v3/assert"
)

// All VMs must choose the same one, or each takes itself for the only one that may use a cold server.
func TestFirstVM(t *testing.T) {
	accepted := func(Message) bool { return true }
	tests := map[string]struct {
		zone   string
		change func(f *Fleet)
		accept func(Message) bool
		want   VMName
	}{
		"of the zone":                  {zone: "zone-1", want: "vm-11"},
		"the first is silent":          {zone: "zone-1", change: func(f *Fleet) { f.peers["vm-11"].live = false }, want: "vm-16"},
		"the first is leaving":         {zone: "zone-1", change: func(f *Fleet) { f.peers["vm-11"].message.Leaving = true }, want: "vm-16"},
		"the first isn't accepted":     {zone: "zone-1", accept: func(m Message) bool { return m.VM != "vm-11" }, want: "vm-16"},
		"no VM in the zone":            {zone: "elsewhere", want: "vm-19"},
		"this VM is the only one left": {zone: "zone-1", accept: func(m Message) bool { return m.VM == "own" }, want: "own"},
		"none":                         {zone: "zone-1", accept: func(Message) bool { return false }, want: ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := fleetOf(20)
			accept := accepted
			if test.accept != nil {
				accept = test.accept
			}
			if test.change != nil {
				test.change(f)
			}
			got, address := f.FirstVM("warm/s", test.zone, accept)
			assert.Equal(t, got, test.want)
			assert.Equal(t, address == "", got == f.VM || got == "")
		})
	}
}
