package failover

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// fleet is a view from "a" of nine VMs, of which so many others fail to use the primary
// and so many are silent.
func viewOfNineVMs(ownFailing bool, failing, silent int) View {
	v := View{VM: "a", Group: "g", OwnObservation: Observation{VM: "a", Primary: "p", Failing: ownFailing}}
	for i := range 8 {
		v.Others = append(v.Others, Observation{VM: string(rune('b' + i)), Primary: "p", Failing: i < failing, Silent: i >= 8-silent})
	}
	return v
}

func TestDecide(t *testing.T) {
	leaving, unlisted, otherPrimary := viewOfNineVMs(false, 0, 0), viewOfNineVMs(false, 0, 0), viewOfNineVMs(true, 0, 0)
	leaving.PrimaryLeaving = true
	unlisted.PrimaryUnlisted = true
	for i := range 5 {
		otherPrimary.Others[i].Primary, otherPrimary.Others[i].Failing = "q", true
	}
	noPrimary := viewOfNineVMs(true, 4, 0)
	noPrimary.OwnObservation.Primary = ""
	alone := View{VM: "a", Group: "g", OwnObservation: Observation{VM: "a", Primary: "p", Failing: true}}
	tests := map[string]struct {
		view View
		want Decision
	}{
		"all is well":                                {viewOfNineVMs(false, 0, 0), Keep},
		"only this VM can't use it":                  {viewOfNineVMs(true, 0, 0), Keep},
		"four of nine can't":                         {viewOfNineVMs(true, 3, 0), Keep},
		"five of nine can't":                         {viewOfNineVMs(true, 4, 0), Replace},
		"others can't, this VM can":                  {viewOfNineVMs(false, 8, 0), Keep},
		"cut off from all others":                    {viewOfNineVMs(true, 0, 8), Keep},
		"half are silent, the rest can't":            {viewOfNineVMs(true, 4, 4), Replace},
		"more are silent than can't":                 {viewOfNineVMs(true, 3, 5), Keep},
		"others speak of another primary":            {otherPrimary, Keep},
		"nobody leads, others can't use the old one": {noPrimary, Replace},
		"the only VM":                                {alone, Replace},
		"it leaves":                                  {leaving, HandOver},
		"it is no longer listed":                     {unlisted, HandOver},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { assert.Equal(t, test.view.Decide(), test.want) })
	}
}

// Of the VMs that agree exactly one acts at once, and each other at a time of its own.
func TestActionDelaysDiffer(t *testing.T) {
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
				v := View{VM: vm, Group: "g", PrimaryLeaving: test.leaving, OwnObservation: Observation{VM: vm, Primary: "p", Failing: test.failing}}
				for _, other := range names {
					if other != vm {
						v.Others = append(v.Others, Observation{VM: other, Primary: "p", Failing: test.failing})
					}
				}
				waits[v.ActionDelay()] = true
			}
			assert.Equal(t, len(waits), len(names))
			assert.Assert(t, waits[0])
		})
	}
}

// A VM whose turn comes next leaves the first the time to order, to see the new primary
// act, and to tell: a listing's age apart in when they learn that a primary leaves, and the
// slowest promotion in use.
func TestActionDelaysExceedPromotionTime(t *testing.T) {
	const listing, promotion, telling = 1500 * time.Millisecond, time.Second, 200 * time.Millisecond
	for name, least := range map[string]time.Duration{"replace": promotion + telling, "hand over": listing + promotion + telling} {
		t.Run(name, func(t *testing.T) {
			a, b := viewOfNineVMs(name == "replace", 8, 0), viewOfNineVMs(name == "replace", 8, 0)
			b.VM, b.Others[0].VM = "b", "a"
			a.PrimaryLeaving, b.PrimaryLeaving = true, true
			gap := a.ActionDelay() - b.ActionDelay()
			assert.Assert(t, max(gap, -gap) >= least, "%s and %s", a.ActionDelay(), b.ActionDelay())
		})
	}
}

func TestPickReplica(t *testing.T) {
	a, b := Replica{Server: "a", Received: LogEnd{1, 10}}, Replica{Server: "b", Received: LogEnd{1, 12}}
	leaving := Replica{Server: "c", Received: LogEnd{1, 15}, Leaving: true}
	newer := Replica{Server: "d", Received: LogEnd{2, 3}}
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
			got, found := PickReplica(test.heard, test.all, test.sync)
			assert.Equal(t, found, test.want != "")
			assert.Equal(t, got.Server, test.want)
		})
	}
}

func TestHasQuorum(t *testing.T) {
	can := Observation{Primary: "a"}
	cannot := Observation{Primary: "a", Failing: true}
	silent := Observation{Primary: "a", Silent: true}
	other := Observation{Primary: "b"}
	for name, test := range map[string]struct {
		own     Observation
		watches bool
		others  []Observation
		want    bool
	}{
		"alone":                                 {own: can, watches: true, want: true},
		"all can":                               {own: can, watches: true, others: []Observation{can, can}, want: true},
		"most can":                              {own: can, watches: true, others: []Observation{can, cannot}, want: true},
		"half can":                              {own: can, watches: true, others: []Observation{can, cannot, cannot}},
		"cut off with the primary":              {own: can, watches: true, others: []Observation{silent, silent}},
		"others have another":                   {own: can, watches: true, others: []Observation{other, other}},
		"one that can't itself, while most can": {own: cannot, watches: true, others: []Observation{can, can}, want: true},
		"one that doesn't watch":                {own: can, others: []Observation{can, can, cannot}, want: true},
		"one that doesn't watch hears nobody":   {own: can, others: []Observation{silent, silent, silent}},
	} {
		t.Run(name, func(t *testing.T) {
			test.own.Primary = "a"
			v := View{VM: "own", OwnObservation: test.own, IsVerifier: test.watches, Others: test.others}
			assert.Equal(t, v.HasQuorum(), test.want)
		})
	}
}

// However VMs hear one another, none may use a primary that another is about to replace:
// each VM says one thing, and hears any part of the others.
func TestQuorumExcludesReplacement(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		size := rapid.IntRange(1, 9).Draw(r, "size")
		failing := rapid.SliceOfN(rapid.Bool(), size, size).Draw(r, "fails")
		var hasQuorum, replaces bool
		for i := range size {
			v := View{VM: fmt.Sprint(i), IsVerifier: true, OwnObservation: Observation{VM: fmt.Sprint(i), Primary: "a", Failing: failing[i]}}
			for j := range size {
				if i != j {
					heard := rapid.IntRange(0, 9).Draw(r, "heard") > 0
					v.Others = append(v.Others, Observation{VM: fmt.Sprint(j), Primary: "a", Failing: failing[j], Silent: !heard})
				}
			}
			hasQuorum = hasQuorum || v.HasQuorum()
			replaces = replaces || v.Decide() == Replace
		}
		assert.Assert(t, !hasQuorum || !replaces)
	})
}

func TestFenceDelayPrecedesReplacement(t *testing.T) {
	v := View{VM: "own", Group: "g", IsVerifier: true, OwnObservation: Observation{VM: "own", Primary: "a", Failing: true}, FenceDelay: 3 * time.Second}
	assert.Equal(t, v.ActionDelay(), 3*time.Second)
	v.OwnObservation.Failing, v.PrimaryLeaving = false, true
	assert.Equal(t, v.ActionDelay(), time.Duration(0), "a primary that leaves is told to stop")
}
