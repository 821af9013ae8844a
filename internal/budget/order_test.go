package budget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestOrderForBytes(t *testing.T) {
	const long, short = 2 * StallTime, StallTime / 2
	tests := map[string]struct {
		sessions []session
		needed   Bytes
		want     []int
	}{
		"one that reads nothing before a larger one that sends nothing": {
			[]session{{activity: Receiving, watched: long, held: 9}, {activity: Sending, watched: long, held: 2}}, 1, []int{1},
		},
		"the largest of those that read nothing": {
			[]session{{activity: Sending, watched: long, held: 2}, {activity: Sending, watched: long, held: 5}}, 1, []int{1},
		},
		"the largest of those that send nothing": {
			[]session{{activity: Receiving, watched: long, held: 2}, {activity: Receiving, watched: long, held: 5}}, 1, []int{1},
		},
		"as many as needed": {
			[]session{{activity: Receiving, watched: long, held: 2}, {activity: Sending, watched: long, held: 5}, {activity: Receiving, watched: long, held: 3}}, 8, []int{1, 2},
		},
		"never one that makes progress": {
			[]session{{activity: Receiving, watched: short, held: 9}, {activity: Sending, watched: short, held: 9}, {activity: Receiving, watched: long, held: 1}}, 5, []int{2},
		},
		"never one that is served or idle": {
			[]session{{activity: Serving, watched: long, held: 9}, {activity: Idle, watched: long, held: 9}}, 5, nil,
		},
		"never one that was quiet while the process was paused": {
			[]session{{activity: Sending, quiet: time.Hour, watched: short, held: 9}}, 5, nil,
		},
		"never one that holds nothing": {
			[]session{{activity: Sending, watched: long}}, 5, nil,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { assert.DeepEqual(t, orderForBytes(test.sessions, test.needed), test.want) })
	}
}

func TestOrderForConnection(t *testing.T) {
	const long = 2 * StallTime
	tests := map[string]struct {
		sessions []session
		want     int
	}{
		"one that reads nothing before one that hasn't started": {[]session{{activity: Starting, quiet: time.Hour}, {activity: Sending, quiet: long}}, 1},
		"one that sends nothing before one that hasn't started": {[]session{{activity: Starting, quiet: time.Hour}, {activity: Receiving, quiet: long}}, 1},
		"the one that has been starting for longest":            {[]session{{activity: Starting, quiet: 1}, {activity: Starting, quiet: 3}, {activity: Starting, quiet: 2}}, 1},
		"never an idle caller":                                  {[]session{{class: Callers, activity: Idle, quiet: time.Hour}}, -1},
		"never a link that its VM may still use":                {[]session{{class: Links, activity: Idle, quiet: IdleLinkTime - 1}}, -1},
		"a link that its VM doesn't use any more":               {[]session{{class: Links, activity: Idle, quiet: IdleLinkTime}}, 0},
		"an idle connection to a page":                          {[]session{{class: Pages, activity: Serving, quiet: time.Hour}, {class: Pages, activity: Idle}}, 1},
		"never one that is served":                              {[]session{{activity: Serving, quiet: time.Hour}}, -1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { assert.Equal(t, orderForConnection(test.sessions), test.want) })
	}
}

// Clients within the documented limits must not meet the defaults: open sessions and messages of 1 MiB
// on the smallest machines of each fleet.
func TestDefaultsLeaveRoom(t *testing.T) {
	tests := map[string]struct {
		memoryMB, descriptors  int
		sessions, vms, inFleet int
	}{
		"36 VMs":  {184, 4200, 4000, 36, 36},
		"89 VMs":  {184, 4200, 4000, 89, 89},
		"295 VMs": {184, 4200, 20000, 295, 295},
		"9 VMs":   {284, 4200, 300, 9, 9},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := LimitsFor(Bytes(test.memoryMB)*MB, test.descriptors, MB)
			// After the loss of two of three zones, the rest has all sessions.
			assert.Assert(t, l.Connections[Callers] >= 3*test.sessions/test.vms, "%d callers", l.Connections[Callers])
			// Each other VM may keep an idle link, besides one for a batch.
			assert.Assert(t, l.Connections[Links] >= 2*test.inFleet || test.inFleet > 200 && l.Connections[Links] >= test.inFleet, "%d links", l.Connections[Links])
			// A long message is charged three times.
			assert.Assert(t, l.Total >= 12*3*MB, "%d bytes in total", l.Total)
			assert.Equal(t, l.Session, 8*MB)
			all := 0
			for _, n := range l.Connections {
				all += n
			}
			assert.Assert(t, all <= (test.descriptors-maxFiles)*13/16+1, "%d connections", all)
			assert.Assert(t, Bytes(all)*ConnectionBytes+l.Total <= Bytes(test.memoryMB)*MB*6/10, "connections and messages take too much")
		})
	}
}
