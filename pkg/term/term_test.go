package term_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/savoryramp/savoryramp/pkg/position"
	"github.com/savoryramp/savoryramp/pkg/term"
)

// pendingWrite is an entry that primary has written to its log at position.
type pendingWrite struct {
	entry    entry
	position position.Position
	primary  term.ServerName
}

// workload commits entries, and acknowledges those that the collected statuses confirm. The
// statuses may be outdated.
type workload struct {
	*group
	record       term.Record
	statuses     []term.Status
	pending      []pendingWrite
	acknowledged []pendingWrite
}

// acknowledge acknowledges the pending writes that the known statuses confirm.
func (w *workload) acknowledge() {
	for _, write := range w.pending {
		rule := term.AcknowledgementRule{Term: write.position.Term, Primary: write.primary, GroupSize: len(w.serverNames)}
		if p, ok := rule.ConfirmedPosition(w.statuses); ok && p.Offset >= write.position.Offset && !slices.Contains(w.acknowledged, write) {
			w.acknowledged = append(w.acknowledged, write)
		}
	}
}

// checkInvariants checks that the primary of the newest term has all acknowledged writes and
// that QuorumFloor covers them.
func (w *workload) checkInvariants() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	newestTerm := position.Term(0)
	var statuses []term.Status
	for t := range w.primaries {
		newestTerm = max(newestTerm, t)
	}
	for _, n := range w.serverNames {
		statuses = append(statuses, w.servers[n].status(n))
	}
	log := w.servers[w.primaries[newestTerm]].log
	for _, write := range w.acknowledged {
		if write.position.Term <= newestTerm && (int(write.position.Offset) > len(log) || log[write.position.Offset-1] != write.entry) {
			w.violation = fmt.Sprintf("acknowledged write %d at %s isn't in the primary of term %d", write.entry.id, write.position, newestTerm)
		}
		for i := range statuses {
			majority := slices.Concat(statuses, statuses)[i : i+term.Majority(len(statuses))]
			if floor, ok := term.QuorumFloor(majority, len(statuses)); !ok || floor.Compare(write.position) < 0 {
				w.violation = fmt.Sprintf("floor %s is below the acknowledged position %s", floor, write.position)
			}
		}
	}
}

// perform executes one action. index selects the server or the promoter that it affects.
func (w *workload) perform(t *testing.T, kind string, index int, promoters []*term.Promoter, cancels map[int]context.CancelFunc, running *sync.WaitGroup) {
	name := w.serverNames[index%len(w.serverNames)]
	switch kind {
	case "commit":
		if e, at, ok := w.commit(w.record.Primary, w.record.Term); ok {
			w.pending = append(w.pending, pendingWrite{e, at, w.record.Primary})
		}
	case "write":
		w.perform(t, "commit", index, promoters, cancels, running)
		w.replicate(name, 200)
		w.perform(t, "status", slices.Index(w.serverNames, w.record.Primary), promoters, cancels, running)
		w.perform(t, "status", index, promoters, cancels, running)
		w.acknowledge()
	case "replicate":
		w.replicate(name, 1+index%3)
	case "status":
		w.mutex.Lock()
		w.statuses = append(w.statuses, w.servers[name].status(name))
		w.mutex.Unlock()
	case "acknowledge":
		w.acknowledge()
	case "table":
		w.mutex.Lock()
		w.tableDown = !w.tableDown
		w.mutex.Unlock()
	case "kill":
		if cancel, ok := cancels[index%len(promoters)]; ok {
			cancel()
		}
	case "read record":
		w.mutex.Lock()
		if w.row.Record.State == term.Active {
			w.record = w.row.Record
		}
		w.mutex.Unlock()
	default:
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		p := promoters[index%len(promoters)]
		cancels[index%len(promoters)] = cancel
		running.Go(func() { defer cancel(); runPromoter(ctx, kind, p) })
	}
}

func runPromoter(ctx context.Context, kind string, p *term.Promoter) {
	switch kind {
	case "promote":
		_, _ = p.Promote(ctx, "test", "r0")
	case "hand over":
		_, _ = p.HandOver(ctx, "test")
	case "reserve":
		_, _ = p.Reserve(ctx)
	case "promote reserved":
		for range 4 {
			if _, err := p.PromoteReserved(ctx, "test", "r0"); err == nil {
				return
			}
		}
	case "record":
		_ = p.RecordOutcome(ctx)
	}
}

var actionKinds = []string{
	"write", "write", "write", "write", "commit", "replicate", "replicate", "status", "status", "acknowledge", "read record", "table",
	"promote", "promote", "hand over", "reserve", "promote reserved", "record", "kill",
}

// action is one step of a random plan, performed after Delay.
type action struct {
	Kind  string
	Index int
	Delay time.Duration
}

// TestNoAcknowledgedWriteIsLost checks with random faults and promotions that each
// acknowledged write is in the newest primary's log, that a term has one primary, that the
// floor covers all acknowledged writes, and that a promotion succeeds once the faults end.
func TestNoAcknowledgedWriteIsLost(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		size := rapid.SampledFrom([]int{3, 5}).Draw(rt, "size")
		plan := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) action {
			return action{
				rapid.SampledFrom(actionKinds).Draw(t, "what"), rapid.IntRange(0, 14).Draw(t, "k"),
				time.Duration(rapid.IntRange(0, 100).Draw(t, "after")) * time.Millisecond,
			}
		}), 5, 120).Draw(rt, "plan")
		var violation string
		synctest.Test(t, func(t *testing.T) { violation = runPlan(t, seed, size, plan) })
		if violation != "" {
			rt.Fatal(violation)
		}
	})
}

// runPlan performs the plan with faults, ends the faults, and returns the violation found, if
// any.
func runPlan(t *testing.T, seed uint64, size int, plan []action) string {
	w := &workload{group: newGroup(seed, size)}
	w.record, w.faultsEnabled = w.row.Record, true
	var promoters []*term.Promoter
	for _, id := range []string{"x", "y", "z"} {
		client, changes := promoterClient{w.group, id}, 0
		promoters = append(promoters, &term.Promoter{
			ID: term.PromoterID(id), Group: w.serverNames, Table: client, Servers: client,
			NewChangeID: func() term.ChangeID { changes++; return term.ChangeID(fmt.Sprint(id, changes)) },
		})
	}
	cancels := map[int]context.CancelFunc{}
	var running sync.WaitGroup
	for _, a := range plan {
		time.Sleep(a.Delay)
		w.perform(t, a.Kind, a.Index, promoters, cancels, &running)
		w.checkInvariants()
	}
	w.mutex.Lock()
	w.faultsEnabled, w.tableDown = false, false
	w.mutex.Unlock()
	running.Wait()
	time.Sleep(20 * time.Second)
	r, err := promoters[0].Promote(t.Context(), "healed", "")
	if err != nil {
		return "no promotion after all faults have ended: " + err.Error()
	}
	w.record = r
	for range 3 {
		for k := range w.serverNames {
			w.perform(t, "commit", k, promoters, cancels, &running)
			w.replicate(w.serverNames[k], 200)
			w.perform(t, "status", k, promoters, cancels, &running)
		}
	}
	acknowledgedBefore := len(w.acknowledged)
	w.acknowledge()
	w.checkInvariants()
	if len(w.acknowledged) == acknowledgedBefore {
		return "no write is acknowledged after all faults have ended"
	}
	return w.violation
}

func TestConfirmedPosition(t *testing.T) {
	at := func(name term.ServerName, t position.Term, o position.Offset) term.Status {
		return term.Status{Server: name, Received: position.Position{Term: t, Offset: o}}
	}
	for name, c := range map[string]struct {
		statuses []term.Status
		want     position.Offset
	}{
		"primary alone":            {[]term.Status{at("r0", 3, 9)}, 0},
		"replicas without primary": {[]term.Status{at("r1", 3, 9), at("r2", 3, 9)}, 0},
		"one replica":              {[]term.Status{at("r0", 3, 9), at("r1", 3, 7)}, 7},
		"replica of an old term":   {[]term.Status{at("r0", 3, 9), at("r1", 2, 9)}, 0},
		"the same replica twice":   {[]term.Status{at("r0", 3, 9), at("r1", 3, 5), at("r1", 3, 7)}, 7},
		"both replicas":            {[]term.Status{at("r0", 3, 9), at("r1", 3, 5), at("r2", 3, 8)}, 8},
	} {
		t.Run(name, func(t *testing.T) {
			got, ok := term.AcknowledgementRule{Term: 3, Primary: "r0", GroupSize: 3}.ConfirmedPosition(c.statuses)
			assert.Equal(t, ok, c.want > 0)
			assert.Equal(t, got.Offset, c.want)
		})
	}
}
