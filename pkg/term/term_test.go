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

type waiting struct {
	entry   entry
	at      position.Position
	primary term.Server
}

// writers commit and acknowledge by statuses that may be old.
type writers struct {
	*group
	record   term.Record
	statuses []term.Status
	waiting  []waiting
	acked    []waiting
}

func (w *writers) acknowledge() {
	for _, c := range w.waiting {
		rule := term.Acknowledgement{Term: c.at.Term, Primary: c.primary, Size: len(w.names)}
		if p, ok := rule.Confirmed(w.statuses); ok && p.Offset >= c.at.Offset && !slices.Contains(w.acked, c) {
			w.acked = append(w.acked, c)
		}
	}
}

// check looks for acknowledged writes in the newest promoted primary and the floor.
func (w *writers) check() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	newest := position.Term(0)
	var all []term.Status
	for t := range w.primaries {
		newest = max(newest, t)
	}
	for _, n := range w.names {
		all = append(all, w.servers[n].status(n))
	}
	log := w.servers[w.primaries[newest]].log
	for _, c := range w.acked {
		if c.at.Term <= newest && (int(c.at.Offset) > len(log) || log[c.at.Offset-1] != c.entry) {
			w.wrong = fmt.Sprintf("acknowledged write %d at %s isn't in the primary of term %d", c.entry.id, c.at, newest)
		}
		for i := range all {
			majority := slices.Concat(all, all)[i : i+term.Majority(len(all))]
			if floor, ok := term.QuorumFloor(majority, len(all)); !ok || floor.Compare(c.at) < 0 {
				w.wrong = fmt.Sprintf("floor %s is under the acknowledged %s", floor, c.at)
			}
		}
	}
}

func (w *writers) act(t *testing.T, what string, k int, ps []*term.Promoter, cancels map[int]context.CancelFunc, running *sync.WaitGroup) {
	name := w.names[k%len(w.names)]
	switch what {
	case "commit":
		if e, at, ok := w.commit(w.record.Primary, w.record.Term); ok {
			w.waiting = append(w.waiting, waiting{e, at, w.record.Primary})
		}
	case "write":
		w.act(t, "commit", k, ps, cancels, running)
		w.replicate(name, 200)
		w.act(t, "status", slices.Index(w.names, w.record.Primary), ps, cancels, running)
		w.act(t, "status", k, ps, cancels, running)
		w.acknowledge()
	case "replicate":
		w.replicate(name, 1+k%3)
	case "status":
		w.mutex.Lock()
		w.statuses = append(w.statuses, w.servers[name].status(name))
		w.mutex.Unlock()
	case "acknowledge":
		w.acknowledge()
	case "table":
		w.mutex.Lock()
		w.out = !w.out
		w.mutex.Unlock()
	case "kill":
		if cancel, ok := cancels[k%len(ps)]; ok {
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
		p := ps[k%len(ps)]
		cancels[k%len(ps)] = cancel
		running.Go(func() { defer cancel(); run(ctx, what, p) })
	}
}

func run(ctx context.Context, what string, p *term.Promoter) {
	switch what {
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
		_ = p.Record(ctx)
	}
}

var actions = []string{
	"write", "write", "write", "write", "commit", "replicate", "replicate", "status", "status", "acknowledge", "read record", "table",
	"promote", "promote", "hand over", "reserve", "promote reserved", "record", "kill",
}

type action struct {
	What  string
	K     int
	After time.Duration
}

// TestNoAcknowledgedWriteIsLost: whatever promoters do, an acknowledged write is in the
// newest primary's log, a term has one primary, the floor covers what was acknowledged,
// and once all heals a promotion succeeds.
func TestNoAcknowledgedWriteIsLost(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		size := rapid.SampledFrom([]int{3, 5}).Draw(rt, "size")
		plan := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) action {
			return action{
				rapid.SampledFrom(actions).Draw(t, "what"), rapid.IntRange(0, 14).Draw(t, "k"),
				time.Duration(rapid.IntRange(0, 100).Draw(t, "after")) * time.Millisecond,
			}
		}), 5, 120).Draw(rt, "plan")
		var wrong string
		synctest.Test(t, func(t *testing.T) { wrong = play(t, seed, size, plan) })
		if wrong != "" {
			rt.Fatal(wrong)
		}
	})
}

func play(t *testing.T, seed uint64, size int, plan []action) string {
	w := &writers{group: newGroup(seed, size)}
	w.record, w.faulty = w.row.Record, true
	var ps []*term.Promoter
	for _, id := range []string{"x", "y", "z"} {
		n, changes := node{w.group, id}, 0
		ps = append(ps, &term.Promoter{
			ID: term.PromoterID(id), Group: w.names, Table: n, Servers: n,
			NewChange: func() term.Change { changes++; return term.Change(fmt.Sprint(id, changes)) },
		})
	}
	cancels := map[int]context.CancelFunc{}
	var running sync.WaitGroup
	for _, a := range plan {
		time.Sleep(a.After)
		w.act(t, a.What, a.K, ps, cancels, &running)
		w.check()
	}
	w.mutex.Lock()
	w.faulty, w.out = false, false
	w.mutex.Unlock()
	running.Wait()
	time.Sleep(20 * time.Second)
	r, err := ps[0].Promote(t.Context(), "healed", "")
	if err != nil {
		return "no promotion after all has healed: " + err.Error()
	}
	w.record = r
	for range 3 {
		for k := range w.names {
			w.act(t, "commit", k, ps, cancels, &running)
			w.replicate(w.names[k], 200)
			w.act(t, "status", k, ps, cancels, &running)
		}
	}
	acked := len(w.acked)
	w.acknowledge()
	w.check()
	if len(w.acked) == acked {
		return "nothing is acknowledged after all has healed"
	}
	return w.wrong
}

func TestConfirmed(t *testing.T) {
	at := func(name term.Server, t position.Term, o position.Offset) term.Status {
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
			got, ok := term.Acknowledgement{Term: 3, Primary: "r0", Size: 3}.Confirmed(c.statuses)
			assert.Equal(t, ok, c.want > 0)
			assert.Equal(t, got.Offset, c.want)
		})
	}
}
