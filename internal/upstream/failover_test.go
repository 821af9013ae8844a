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
const recoveryTimeout = 10 * time.Second

// action is something that goes wrong, some time after the one before.
type fault struct {
	After, Duration time.Duration
	Kind            string
	// Which server or VM, and of what number, where the kind has a choice.
	Target, Step int
}

var faultKinds = []string{
	"kill primary", "cut primary", "freeze primary", "silence primary", "kill primary's tail", "kill replica", "cut replica", "freeze replica",
	"lag", "pause holder", "pause holder at step", "kill holder", "restart holder", "pause VM", "cut VM", "isolate VM",
	"platform down", "platform slow", "platform loses answers",
}

func drawFaults(t *rapid.T) []fault {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
		return fault{
			After:    time.Duration(rapid.IntRange(0, 1200).Draw(t, "after")) * time.Millisecond,
			Duration: time.Duration(rapid.IntRange(10, 4000).Draw(t, "for")) * time.Millisecond,
			Kind:     rapid.SampledFrom(faultKinds).Draw(t, "kind"),
			Target:   rapid.IntRange(0, 2).Draw(t, "which"),
			Step:     rapid.IntRange(1, 14).Draw(t, "step"),
		}
	}), 1, 8).Draw(t, "actions")
}

// suffer lets an action happen; what it broke is mended after its time.
func (r *testbed) inject(a fault) {
	p := r.primary()
	if p == nil {
		p = r.servers.Servers[a.Target]
	}
	other := r.servers.Servers[(slices.Index(r.servers.Servers, p)+1+a.Target%2)%3]
	i := r.leaseHolder()
	v := r.runningVMs()[i]
	after := func(f func()) { time.AfterFunc(a.Duration, f) }
	switch a.Kind {
	case "kill primary":
		p.Kill(0)
		after(p.Start)
	case "kill primary's tail":
		r.killTruncated(p, a.Step)
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
		other.SetLag(a.Duration / 10)
		after(func() { other.SetLag(0) })
	case "pause holder", "pause holder at step":
		if a.Kind == "pause holder" {
			a.Step = 1
			v.gate.pauseAfter(a.Step, a.Duration)
			v.gate.step()
			return
		}
		v.gate.pauseAfter(a.Step, a.Duration)
	case "pause VM":
		v = r.runningVMs()[a.Target]
		v.gate.pauseAfter(1, a.Duration)
		v.gate.step()
	case "kill holder":
		v.kill()
		after(func() { r.startVM(i) })
	case "restart holder":
		v.kill()
		r.startVM(i)
	case "cut VM":
		h, s := fakenet.Host(r.runningVMs()[a.Target].name), fakenet.Host(p.Name)
		r.network.Cut(h, s)
		after(func() { r.network.Heal(h, s) })
	case "isolate VM":
		v = r.runningVMs()[a.Target]
		v.setIsolated(true)
		after(func() { v.setIsolated(false) })
	case "platform down", "platform slow", "platform loses answers":
		r.platform.SetFaults(map[string]fakeplatform.Fault{
			"platform down": {Kind: fakeplatform.Down}, "platform loses answers": {Kind: fakeplatform.LostAnswer},
			"platform slow": {Kind: fakeplatform.Slow, Delay: a.Duration / 2},
		}[a.Kind])
		after(func() { r.platform.SetFaults(fakeplatform.Fault{Kind: fakeplatform.None}) })
	}
}

// loseTail kills a primary for good and takes the end of its log, which the group
// survives as long as a majority keeps its logs: the server comes back only when the
// others have a primary and the same log.
func (r *testbed) killTruncated(s *fakeupstream.Server, entries int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.truncated == nil {
		r.truncated = s
		s.Kill(entries)
	}
}

func (r *testbed) restartTruncated() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.truncated == nil {
		return
	}
	others := slices.DeleteFunc(slices.Clone(r.servers.Servers), func(s *fakeupstream.Server) bool { return s == r.truncated })
	a, b := others[0].Status(), others[1].Status()
	if a.Received == b.Received && a.Term > r.truncated.Status().Term && (a.Role == fakeupstream.Primary || b.Role == fakeupstream.Primary) {
		r.truncated.Start()
		r.truncated = nil
	}
}

// heal ends all faults.
func (r *testbed) healAll() {
	for _, s := range r.servers.Servers {
		s.Cut(false)
		s.Freeze(false)
		s.SetLag(0)
		if s != r.truncated {
			s.Start()
		}
	}
	r.platform.SetFaults(fakeplatform.Fault{Kind: fakeplatform.None})
	for i, v := range r.runningVMs() {
		for _, s := range r.servers.Servers {
			r.network.Heal(fakenet.Host(v.name), fakenet.Host(s.Name))
		}
		v.setIsolated(false)
		v.gate.pauseAfter(0, 0)
		v.gate.open()
		if v.isDead() {
			r.startVM(i)
		}
	}
}

// read of one key by a caller that has just come, without a token.
type read struct {
	key, value, client int
	begin, end         time.Time
}

// get reads a key in a fresh session, as callers' sessions do.
func (r *testbed) getAndRecord(v *testVM, client, key int) {
	got := read{key: key, client: client, begin: time.Now()}
	g := v.group()
	if g == nil {
		return
	}
	ctx, cancel := context.WithTimeout(r.ctx, writeTimeout)
	defer cancel()
	floor, err := g.Floor(ctx)
	if err != nil {
		return
	}
	c, err := g.AcquireForRead(ctx, upstream.Request{Workspace: "w", Weight: 1}, upstream.Freshness{Floor: g.ClipFloor(floor)})
	if err != nil {
		return
	}
	text, err := c.Query(fmt.Sprintf("select v from kv where k = %d", key), time.Now().Add(answerTimeout))
	covered := c.Position.Covers(g.ClipFloor(floor))
	if err == nil && c.Role == upstream.Primary {
		confirming, cancelConfirm := context.WithTimeout(r.ctx, answerTimeout)
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
func (r *testbed) runScenario(seed uint64, actions []fault) string {
	r.randomizeDelays(rand.New(rand.NewPCG(seed, seed)))
	ctx, stop := context.WithCancel(r.ctx)
	for c := range 6 {
		r.tasks.Go(func() {
			for ctx.Err() == nil {
				r.putUnique(r.runningVMs()[(c+c/3)%3], c, c%3)
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	for c := range 3 {
		r.tasks.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				r.getAndRecord(r.runningVMs()[c], 1000+c, (c+i)%3)
				time.Sleep(130 * time.Millisecond)
			}
		})
	}
	r.tasks.Go(func() {
		for r.ctx.Err() == nil {
			r.restartTruncated()
			time.Sleep(20 * time.Millisecond)
		}
	})
	for _, a := range actions {
		time.Sleep(a.After)
		r.inject(a)
	}
	time.Sleep(3 * time.Second)
	r.healAll()
	at := time.Now()
	var wrong string
	for r.firstAcknowledgedAfter(at, "").IsZero() && wrong == "" {
		if time.Since(at) > recoveryTimeout {
			wrong = fmt.Sprintf("no write was acknowledged within %s after all healed", recoveryTimeout)
		}
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(time.Second)
	stop()
	time.Sleep(5 * time.Second)
	if found := r.checkHistory(); found != "" {
		return found
	}
	return wrong
}

// register is a key's value under writes and reads.
var registerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make([][]porcupine.Operation, 3)
		for _, o := range history {
			k := o.Input.(registerInput).key
			parts[k] = append(parts[k], o)
		}
		return parts
	},
	Init: func() any { return 0 },
	Step: func(state, in, out any) (bool, any) {
		i := in.(registerInput)
		if i.isWrite {
			return true, i.value
		}
		return out.(int) == state.(int), state
	},
}

type registerInput struct {
	isWrite    bool
	key, value int
}

// operations is the run as its callers saw it. A write with unknown outcome may have
// taken effect any time until it was first read; one that nobody read may as well have
// done so after everything else, so it is left out.
func (r *testbed) operations() []porcupine.Operation {
	first := map[int]time.Time{}
	var all []porcupine.Operation
	for _, o := range r.reads {
		if before, seen := first[o.value]; !seen || o.end.Before(before) {
			first[o.value] = o.end
		}
		all = append(all, porcupine.Operation{ClientId: o.client, Input: registerInput{key: o.key}, Output: o.value, Call: o.begin.UnixNano(), Return: o.end.UnixNano()})
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
		all = append(all, porcupine.Operation{ClientId: w.client, Input: registerInput{true, w.key, w.value}, Call: w.begin.UnixNano(), Return: until.UnixNano()})
	}
	return all
}

// TestFailover plays faults in random interleavings. No acknowledged write is lost, no
// term has two primaries, what callers see is linearizable for each key, and writes
// succeed again soon after all has healed.
func TestFailover(t *testing.T) {
	t.Parallel()
	setDefaultChecks(t, 2)
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		always := rapid.IntRange(0, 3).Draw(rt, "two believe that they hold") == 0
		actions := drawFaults(rt)
		var wrong string
		var history []porcupine.Operation
		synctest.Test(t, func(t *testing.T) {
			r := newTestbed(func(r *testbed) {
				r.allHoldLease = always
				if *logEvents {
					r.logger = testLogger(t)
				}
			})
			wrong = r.runScenario(seed, actions)
			history = r.operations()
			r.stop()
		})
		if wrong != "" {
			rt.Fatal(wrong)
		}
		if got := porcupine.CheckOperationsTimeout(registerModel, history, 20*time.Second); got != porcupine.Ok {
			rt.Fatalf("the history isn't linearizable: %s", got)
		}
	})
}

// fewer lowers the number of rapid's checks, unless the command line gives one.
func setDefaultChecks(t *testing.T, checks int) {
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
