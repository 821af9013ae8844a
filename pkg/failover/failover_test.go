package failover

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fleet is a view from "a" of nine VMs, of which so many others fail to use the primary
// and so many are silent.
func fleet(own bool, failing, silent int) View {
	v := View{VM: "a", Group: "g", Own: Opinion{VM: "a", Primary: "p", Failing: own}}
	for i := range 8 {
		v.Others = append(v.Others, Opinion{VM: string(rune('b' + i)), Primary: "p", Failing: i < failing, Silent: i >= 8-silent})
	}
	return v
}

func TestVerdict(t *testing.T) {
	leaving, unlisted, other := fleet(false, 0, 0), fleet(false, 0, 0), fleet(true, 0, 0)
	leaving.Leaving = true
	unlisted.Unlisted = true
	for i := range 5 {
		other.Others[i].Primary, other.Others[i].Failing = "q", true
	}
	unknown := fleet(true, 4, 0)
	unknown.Own.Primary = ""
	alone := View{VM: "a", Group: "g", Own: Opinion{VM: "a", Primary: "p", Failing: true}}
	tests := map[string]struct {
		view View
		want Verdict
	}{
		"all is well":                                {fleet(false, 0, 0), Keep},
		"only this VM can't use it":                  {fleet(true, 0, 0), Keep},
		"four of nine can't":                         {fleet(true, 3, 0), Keep},
		"five of nine can't":                         {fleet(true, 4, 0), Replace},
		"others can't, this VM can":                  {fleet(false, 8, 0), Keep},
		"cut off from all others":                    {fleet(true, 0, 8), Keep},
		"half are silent, the rest can't":            {fleet(true, 4, 4), Replace},
		"more are silent than can't":                 {fleet(true, 3, 5), Keep},
		"others speak of another primary":            {other, Keep},
		"nobody leads, others can't use the old one": {unknown, Replace},
		"the only VM":                                {alone, Replace},
		"it leaves":                                  {leaving, HandOver},
		"it is no longer listed":                     {unlisted, HandOver},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { assert.Equal(t, test.view.Verdict(), test.want) })
	}
}

// Of the VMs that agree exactly one acts at once, and each other at a time of its own.
func TestTurnsDiffer(t *testing.T) {
	tests := map[string]struct {
		failing bool
		leaving bool
	}{
		"replace":   {failing: true},
		"hand over": {leaving: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			names := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"}
			waits := map[time.Duration]bool{}
			for _, vm := range names {
				v := View{VM: vm, Group: "g", Leaving: test.leaving, Own: Opinion{VM: vm, Primary: "p", Failing: test.failing}}
				for _, other := range names {
					if other != vm {
						v.Others = append(v.Others, Opinion{VM: other, Primary: "p", Failing: test.failing})
					}
				}
				waits[v.Wait()] = true
			}
			assert.Equal(t, len(waits), len(names))
			assert.Assert(t, waits[0])
		})
	}
}

// A VM whose turn comes next leaves the first the time to order, to see the new primary
// act, and to tell: a listing's age apart in when they learn that a primary leaves, and the
// slowest promotion in use.
func TestTurnsLeaveTimeForTheFirst(t *testing.T) {
	const listing, promotion, telling = 1500 * time.Millisecond, time.Second, 200 * time.Millisecond
	for name, least := range map[string]time.Duration{"replace": promotion + telling, "hand over": listing + promotion + telling} {
		t.Run(name, func(t *testing.T) {
			a, b := fleet(name == "replace", 8, 0), fleet(name == "replace", 8, 0)
			b.VM, b.Others[0].VM = "b", "a"
			a.Leaving, b.Leaving = true, true
			gap := a.Wait() - b.Wait()
			assert.Assert(t, max(gap, -gap) >= least, "%s and %s", a.Wait(), b.Wait())
		})
	}
}

func TestPick(t *testing.T) {
	a, b := Replica{Server: "a", Received: Place{1, 10}}, Replica{Server: "b", Received: Place{1, 12}}
	leaving := Replica{Server: "c", Received: Place{1, 15}, Leaving: true}
	newer := Replica{Server: "d", Received: Place{2, 3}}
	tests := map[string]struct {
		heard     []Replica
		all, sync int
		want      string
	}{
		"nobody answered":                            {all: 2},
		"the longest log":                            {heard: []Replica{a, b}, all: 2, want: "b"},
		"the newest term":                            {heard: []Replica{b, newer}, all: 2, want: "d"},
		"one that stays before one that leaves":      {heard: []Replica{a, leaving}, all: 2, want: "a"},
		"only one that leaves":                       {heard: []Replica{leaving}, all: 2, want: "c"},
		"confirmed commits, one of two answered":     {heard: []Replica{b}, all: 2, sync: 1},
		"confirmed commits, all answered":            {heard: []Replica{a, b}, all: 2, sync: 1, want: "b"},
		"confirmed commits are with one that leaves": {heard: []Replica{a, leaving}, all: 2, sync: 1, want: "c"},
		"confirmed by two of two, one answered":      {heard: []Replica{a}, all: 2, sync: 2, want: "a"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, found := Pick(test.heard, test.all, test.sync)
			assert.Equal(t, found, test.want != "")
			assert.Equal(t, got.Server, test.want)
		})
	}
}
