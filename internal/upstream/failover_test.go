package upstream_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/savoryramp/savoryramp/internal/fakenet"
	"github.com/savoryramp/savoryramp/internal/fakeplatform"
	"github.com/savoryramp/savoryramp/internal/fakeupstream"
	"github.com/savoryramp/savoryramp/internal/upstream"
)

// healWithin bounds the time from the end of all faults to the next write acknowledged.
const healWithin = 10 * time.Second

// action is something that goes wrong, some time after the one before.
type action struct {
	After, For time.Duration
	Kind       string
	// Which server or VM, and of what number, where the kind has a choice.
	Which, Step int
}

var actionKinds = []string{
	"kill primary", "cut primary", "freeze primary", "silence primary", "kill primary's tail", "kill replica", "cut replica", "freeze replica",
	"lag", "pause holder", "pause holder at step", "kill holder", "restart holder", "pause VM", "cut VM", "isolate VM",
	"platform down", "platform slow", "platform loses answers",
}

func drawActions(t *rapid.T) []action {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) action {
		return action{
			After: time.Duration(rapid.IntRange(0, 1200).Draw(t, "after")) * time.Millisecond,
			For:   time.Duration(rapid.IntRange(10, 4000).Draw(t, "for")) * time.Millisecond,
			Kind:  rapid.SampledFrom(actionKinds).Draw(t, "kind"),
			Which: rapid.IntRange(0, 2).Draw(t, "which"),
			Step:  rapid.IntRange(1, 14).Draw(t, "step"),
		}
	}), 1, 8).Draw(t, "actions")
}

// suffer lets an action happen; what it broke is mended after its time.
func (r *rig) suffer(a action) {
	p := r.primary()
	if p == nil {
		p = r.servers.Servers[a.Which]
	}
	other := r.servers.Servers[(slices.Index(r.servers.Servers, p)+1+a.Which%2)%3]
	i := r.holder()
	v := r.list()[i]
	after := func(f func()) { time.AfterFunc(a.For, f) }
	switch a.Kind {
	case "kill primary":
		p.Kill(0)
		after(p.Start)
	case "kill primary's tail":
		r.loseTail(p, a.Step)
	case "kill replica":
		other.Kill(0)
		after(other.Start)
	case "cut primary":
		p.Cut(true)
		after(func() { p.Cut(false) })
	case "cut replica":
		other.Cut(true)
		after(func() { other.Cut(false) })
	case "freeze primary":
		p.Freeze(true)
		after(func() { p.Freeze(false) })
	case "freeze replica":
		other.Freeze(true)
		after(func() { other.Freeze(false) })
	case "silence primary":
		p.Silence()
	case "lag":
		other.SetLag(a.For / 10)
		after(func() { other.SetLag(0) })
	case "pause holder", "pause holder at step":
		if a.Kind == "pause holder" {
			a.Step = 1
			v.gate.pauseAfter(a.Step, a.For)
			v.gate.step()
			return
		}
		v.gate.pauseAfter(a.Step, a.For)
	case "pause VM":
		v = r.list()[a.Which]
		v.gate.pauseAfter(1, a.For)
		v.gate.step()
	case "kill holder":
		v.kill()
		after(func() { r.boot(i) })
	case "restart holder":
		v.kill()
		r.boot(i)
	case "cut VM":
		h, s := fakenet.Host(r.list()[a.Which].name), fakenet.Host(p.Name)
		r.network.Cut(h, s)
		after(func() { r.network.Heal(h, s) })
	case "isolate VM":
		v = r.list()[a.Which]
		v.isolate(true)
		after(func() { v.isolate(false) })
	case "platform down", "platform slow", "platform loses answers":
		r.platform.SetFaults(map[string]fakeplatform.Fault{
			"platform down": {Kind: fakeplatform.Down}, "platform loses answers": {Kind: fakeplatform.LostAnswer},
			"platform slow": {Kind: fakeplatform.Slow, Delay: a.For / 2},
		}[a.Kind])
		after(func() { r.platform.SetFaults(fakeplatform.Fault{Kind: fakeplatform.None}) })
	}
}

// loseTail kills a primary for good and takes the end of its log, which the group
// survives as long as a majority keeps its logs: the server comes back only when the
// others have a primary and the same log.
func (r *rig) loseTail(s *fakeupstream.Server, entries int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lost == nil {
		r.lost = s
		s.Kill(entries)
	}
}

func (r *rig) returnTail() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lost == nil {
		return
	}
	others := slices.DeleteFunc(slices.Clone(r.servers.Servers), func(s *fakeupstream.Server) bool { return s == r.lost })
	a, b := others[0].Status(), others[1].Status()
	if a.Received == b.Received && a.Term > r.lost.Status().Term && (a.Role == fakeupstream.Primary || b.Role == fakeupstream.Primary) {
		r.lost.Start()
		r.lost = nil
	}
}

// heal ends all faults.
func (r *rig) heal() {
	for _, s := range r.servers.Servers {
		s.Cut(false)
		s.Freeze(false)
		s.SetLag(0)
		if s != r.lost {
			s.Start()
		}
	}
	r.platform.SetFaults(fakeplatform.Fault{Kind: fakeplatform.None})
	for i, v := range r.list() {
		for _, s := range r.servers.Servers {
			r.network.Heal(fakenet.Host(v.name), fakenet.Host(s.Name))
		}
		v.isolate(false)
		v.gate.pauseAfter(0, 0)
		v.gate.open()
		if v.killed() {
			r.boot(i)
		}
	}
}

// read of one key by a caller that has just come, without a token.
type read struct {
	key, value, client int
	begin, end         time.Time
}

// get reads a key in a fresh session, as callers' sessions do.
func (r *rig) get(v *vm, client, key int) {
	got := read{key: key, client: client, begin: time.Now()}
	g := v.group()
	if g == nil {
		return
	}
	ctx, cancel := context.WithTimeout(r.ctx, writeWithin)
	defer cancel()
	floor, err := g.Floor(ctx)
	if err != nil {
		return
	}
	c, err := g.Read(ctx, upstream.Request{Workspace: "w", Weight: 1}, upstream.Freshness{Floor: g.Clip(floor)})
	if err != nil {
		return
	}
	text, err := c.Ask(fmt.Sprintf("select v from kv where k = %d", key), time.Now().Add(answerWithin))
	covered := c.Position.Covers(g.Clip(floor))
	if err == nil && c.Role == upstream.Primary {
		confirming, cancelConfirm := context.WithTimeout(r.ctx, answerWithin)
		defer cancelConfirm()
		err = g.ConfirmRead(confirming, c)
	}
	c.Release(err == nil)
	if err != nil || !covered {
		return
	}
	got.value, _ = strconv.Atoi(text)
	got.end = time.Now()
	r.mu.Lock()
	r.reads = append(r.reads, got)
	r.mu.Unlock()
}

// play runs the actions under writers and readers, heals, and says what is wrong.
func (r *rig) play(seed uint64, actions []action) string {
	r.spread(rand.New(rand.NewPCG(seed, seed)))
	ctx, stop := context.WithCancel(r.ctx)
	for c := range 6 {
		r.tasks.Go(func() {
			for ctx.Err() == nil {
				r.put(r.list()[(c+c/3)%3], c, c%3)
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	for c := range 3 {
		r.tasks.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				r.get(r.list()[c], 1000+c, (c+i)%3)
				time.Sleep(130 * time.Millisecond)
			}
		})
	}
	r.tasks.Go(func() {
		for r.ctx.Err() == nil {
			r.returnTail()
			time.Sleep(20 * time.Millisecond)
		}
	})
	for _, a := range actions {
		time.Sleep(a.After)
		r.suffer(a)
	}
	time.Sleep(3 * time.Second)
	r.heal()
	at := time.Now()
	var wrong string
	for r.acknowledgedAfter(at, "").IsZero() && wrong == "" {
		if time.Since(at) > healWithin {
			wrong = fmt.Sprintf("no write was acknowledged within %s after all healed", healWithin)
		}
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(time.Second)
	stop()
	time.Sleep(5 * time.Second)
	if found := r.check(); found != "" {
		return found
	}
	return wrong
}

// register is a key's value under writes and reads.
var register = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make([][]porcupine.Operation, 3)
		for _, o := range history {
			k := o.Input.(input).key
			parts[k] = append(parts[k], o)
		}
		return parts
	},
	Init: func() any { return 0 },
	Step: func(state, in, out any) (bool, any) {
		i := in.(input)
		if i.writes {
			return true, i.value
		}
		return out.(int) == state.(int), state
	},
}

type input struct {
	writes     bool
	key, value int
}

// operations is the run as its callers saw it. A write with unknown outcome may have
// taken effect any time until it was first read; one that nobody read may as well have
// done so after everything else, so it is left out.
func (r *rig) operations() []porcupine.Operation {
	first := map[int]time.Time{}
	var all []porcupine.Operation
	for _, o := range r.reads {
		if before, seen := first[o.value]; !seen || o.end.Before(before) {
			first[o.value] = o.end
		}
		all = append(all, porcupine.Operation{ClientId: o.client, Input: input{key: o.key}, Output: o.value, Call: o.begin.UnixNano(), Return: o.end.UnixNano()})
	}
	for _, w := range r.writes {
		until := w.end
		if w.outcome != acknowledged {
			seen, read := first[w.value]
			if !read {
				continue
			}
			until = seen
		}
		all = append(all, porcupine.Operation{ClientId: w.client, Input: input{true, w.key, w.value}, Call: w.begin.UnixNano(), Return: until.UnixNano()})
	}
	return all
}

// TestFailover plays faults in random interleavings. No acknowledged write is lost, no
// term has two primaries, what callers see is linearizable for each key, and writes
// succeed again soon after all has healed.
func TestFailover(t *testing.T) {
	t.Parallel()
	fewer(t, 2)
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		always := rapid.IntRange(0, 3).Draw(rt, "two believe that they hold") == 0
		actions := drawActions(rt)
		var wrong string
		var history []porcupine.Operation
		synctest.Test(t, func(t *testing.T) {
			r := newRig(func(r *rig) {
				r.always = always
				if *logged {
					r.logger = verbose(t)
				}
			})
			wrong = r.play(seed, actions)
			history = r.operations()
			r.stop()
		})
		if wrong != "" {
			rt.Fatal(wrong)
		}
		if got := porcupine.CheckOperationsTimeout(register, history, 20*time.Second); got != porcupine.Ok {
			rt.Fatalf("the history isn't linearizable: %s", got)
		}
	})
}

// fewer lowers the number of rapid's checks, unless the command line gives one.
func fewer(t *testing.T, checks int) {
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.checks" })
	if given {
		return
	}
	f := flag.Lookup("rapid.checks")
	before := f.Value.String()
	_ = f.Value.Set(strconv.Itoa(checks))
	t.Cleanup(func() { _ = f.Value.Set(before) })
}
