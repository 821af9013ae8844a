package failover

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// viewOfNineVMs returns the view of VM "a". Of the other eight VMs, the first failing ones
// can't use the primary and the last silent ones are silent.
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
		"all VMs can use it":                             {viewOfNineVMs(false, 0, 0), Keep},
		"only this VM can't use it":                      {viewOfNineVMs(true, 0, 0), Keep},
		"four of nine can't":                             {viewOfNineVMs(true, 3, 0), Keep},
		"five of nine can't":                             {viewOfNineVMs(true, 4, 0), Replace},
		"others can't, this VM can":                      {viewOfNineVMs(false, 8, 0), Keep},
		"cut off from all others":                        {viewOfNineVMs(true, 0, 8), Keep},
		"half are silent, the rest can't":                {viewOfNineVMs(true, 4, 4), Replace},
		"more are silent than can't":                     {viewOfNineVMs(true, 3, 5), Keep},
		"others can't use another primary":               {otherPrimary, Keep},
		"no primary known, others can't use the old one": {noPrimary, Replace},
		"the only VM":                                    {alone, Replace},
		"the primary is leaving":                         {leaving, HandOver},
		"the primary is no longer listed":                {unlisted, HandOver},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { assert.Equal(t, test.view.Decide(), test.want) })
	}
}

// TestActionDelaysDiffer checks that of the VMs that agree exactly one acts at once, and
// that all others act at different times.
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
			delays := map[time.Duration]bool{}
			for _, vm := range names {
				v := View{VM: vm, Group: "g", PrimaryLeaving: test.leaving, OwnObservation: Observation{VM: vm, Primary: "p", Failing: test.failing}}
				for _, other := range names {
					if other != vm {
						v.Others = append(v.Others, Observation{VM: other, Primary: "p", Failing: test.failing})
					}
				}
				delays[v.ActionDelay()] = true
			}
			assert.Equal(t, len(delays), len(names))
			assert.Assert(t, delays[0])
		})
	}
}

// TestActionDelaysExceedPromotionTime checks that the second VM waits until the first could
// complete and announce the slowest promotion. For a hand-over it also allows for the time
// by which the VMs may learn of the primary's shutdown later than each other.
func TestActionDelaysExceedPromotionTime(t *testing.T) {
	const pollInterval, promotion, announcement = 1500 * time.Millisecond, time.Second, 200 * time.Millisecond
	for name, minGap := range map[string]time.Duration{"replace": promotion + announcement, "hand over": pollInterval + promotion + announcement} {
		t.Run(name, func(t *testing.T) {
			a, b := viewOfNineVMs(name == "replace", 8, 0), viewOfNineVMs(name == "replace", 8, 0)
			b.VM, b.Others[0].VM = "b", "a"
			a.PrimaryLeaving, b.PrimaryLeaving = true, true
			gap := a.ActionDelay() - b.ActionDelay()
			assert.Assert(t, max(gap, -gap) >= minGap, "%s and %s", a.ActionDelay(), b.ActionDelay())
		})
	}
}

func TestPickReplica(t *testing.T) {
	a, b := Replica{Server: "a", Received: LogEnd{1, 10}}, Replica{Server: "b", Received: LogEnd{1, 12}}
	leaving := Replica{Server: "c", Received: LogEnd{1, 15}, Leaving: true}
	newer := Replica{Server: "d", Received: LogEnd{2, 3}}
	tests := map[string]struct {
		answered            []Replica
		total, syncReplicas int
		want                string
	}{
		"no replica answered": {total: 2},
		"the longest log":     {answered: []Replica{a, b}, total: 2, want: "b"},
		"the newest term":     {answered: []Replica{b, newer}, total: 2, want: "d"},
		"a replica that stays before one that is leaving":    {answered: []Replica{a, leaving}, total: 2, want: "a"},
		"only a replica that is leaving":                     {answered: []Replica{leaving}, total: 2, want: "c"},
		"confirmed commits, one of two answered":             {answered: []Replica{b}, total: 2, syncReplicas: 1},
		"confirmed commits, all answered":                    {answered: []Replica{a, b}, total: 2, syncReplicas: 1, want: "b"},
		"confirmed commits are on a replica that is leaving": {answered: []Replica{a, leaving}, total: 2, syncReplicas: 1, want: "c"},
		"confirmed by two of two, one answered":              {answered: []Replica{a}, total: 2, syncReplicas: 2, want: "a"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, found := PickReplica(test.answered, test.total, test.syncReplicas)
			assert.Equal(t, found, test.want != "")
			assert.Equal(t, got.Server, test.want)
		})
	}
}

// TestUnknownFleet guards against a VM that takes the few others that it has heard since its start for all.
func TestUnknownFleet(t *testing.T) {
	v := viewOfNineVMs(true, 8, 0)
	assert.Equal(t, v.Decide(), Replace)
	v.FleetUnknown = true
	assert.Equal(t, v.Decide(), Keep)
	v = viewOfNineVMs(false, 0, 0)
	v.PrimaryLeaving = true
	assert.Assert(t, v.HasQuorum())
	v.FleetUnknown = true
	assert.Equal(t, v.Decide(), Keep)
	assert.Assert(t, !v.HasQuorum())
}

// TestStillStands guards against a promotion that is ordered after what was decided about the primary has
// changed, and against one given up because the old primary restarted and refused to act as one.
func TestStillStands(t *testing.T) {
	paused, recovered, restarted, another, fewer := viewOfNineVMs(true, 4, 0), viewOfNineVMs(false, 4, 0), viewOfNineVMs(true, 0, 0), viewOfNineVMs(true, 8, 0), viewOfNineVMs(true, 3, 0)
	paused.Unwatched = 1100 * time.Millisecond
	restarted.OwnObservation.Primary, restarted.OwnObservation.Failing = "", false
	for i := range 4 {
		restarted.Others[i].Primary, restarted.Others[i].NoPrimary = "", true
	}
	another.OwnObservation.Primary = "q"
	leaving := viewOfNineVMs(false, 0, 0)
	leaving.PrimaryLeaving = true
	tests := map[string]struct {
		view     View
		decision Decision
		want     bool
	}{
		"nothing changed":                     {viewOfNineVMs(true, 4, 0), Replace, true},
		"this VM was paused":                  {paused, Replace, false},
		"this VM can use the primary again":   {recovered, Replace, false},
		"others can use the primary again":    {fewer, Replace, false},
		"another primary is known":            {another, Replace, false},
		"the old primary refuses to act":      {restarted, Replace, true},
		"the primary is still leaving":        {leaving, HandOver, true},
		"the leaving primary fails":           {viewOfNineVMs(true, 8, 0), HandOver, false},
		"the primary no longer leaves":        {viewOfNineVMs(false, 0, 0), HandOver, false},
		"a decision to keep is never carried": {leaving, Replace, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { assert.Equal(t, test.view.StillStands(test.decision, "p"), test.want) })
	}
}

func TestHasQuorum(t *testing.T) {
	can := Observation{Primary: "a"}
	cannot := Observation{Primary: "a", Failing: true}
	silent := Observation{Primary: "a", Silent: true}
	other := Observation{Primary: "b"}
	for name, test := range map[string]struct {
		own        Observation
		isVerifier bool
		others     []Observation
		want       bool
	}{
		"alone":                                 {own: can, isVerifier: true, want: true},
		"all can":                               {own: can, isVerifier: true, others: []Observation{can, can}, want: true},
		"most can":                              {own: can, isVerifier: true, others: []Observation{can, cannot}, want: true},
		"half can":                              {own: can, isVerifier: true, others: []Observation{can, cannot, cannot}},
		"cut off with the primary":              {own: can, isVerifier: true, others: []Observation{silent, silent}},
		"others have another primary":           {own: can, isVerifier: true, others: []Observation{other, other}},
		"this VM can't, most others can":        {own: cannot, isVerifier: true, others: []Observation{can, can}, want: true},
		"not a verifier":                        {own: can, others: []Observation{can, can, cannot}, want: true},
		"not a verifier, all others are silent": {own: can, others: []Observation{silent, silent, silent}},
	} {
		t.Run(name, func(t *testing.T) {
			test.own.Primary = "a"
			v := View{VM: "own", OwnObservation: test.own, IsVerifier: test.isVerifier, Others: test.others}
			assert.Equal(t, v.HasQuorum(), test.want)
		})
	}
}

// TestQuorumExcludesReplacement checks that no VM may use a primary that another VM is about
// to replace, whichever observations reach which VMs. Each VM reports the same observation
// to all others.
func TestQuorumExcludesReplacement(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		size := rapid.IntRange(1, 9).Draw(r, "size")
		failing := rapid.SliceOfN(rapid.Bool(), size, size).Draw(r, "fails")
		var hasQuorum, replaces bool
		for i := range size {
			v := View{VM: fmt.Sprint(i), IsVerifier: true, OwnObservation: Observation{VM: fmt.Sprint(i), Primary: "a", Failing: failing[i]}}
			for j := range size {
				if i != j {
					received := rapid.IntRange(0, 9).Draw(r, "heard") > 0
					v.Others = append(v.Others, Observation{VM: fmt.Sprint(j), Primary: "a", Failing: failing[j], Silent: !received})
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
	assert.Equal(t, v.ActionDelay(), time.Duration(0), "a primary that is leaving is asked to stop")
}
