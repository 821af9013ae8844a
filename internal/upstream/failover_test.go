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

// recoveryTimeout bounds the time from the end of all faults to the next acknowledged
// write.
const recoveryTimeout = 10 * time.Second

// fault is injected some time after the previous one and lasts for Duration.
type fault struct {
	After, Duration time.Duration
	Kind            string
	// Target is the index of a server or VM, Step the step of a promotion or the number
	// of log entries, if the kind of fault needs one.
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

// inject starts a fault and schedules its end.
func (tb *testbed) inject(ft fault) {
	p := tb.primary()
	if p == nil {
		p = tb.servers.Servers[ft.Target]
	}
	other := tb.servers.Servers[(slices.Index(tb.servers.Servers, p)+1+ft.Target%2)%3]
	i := tb.leaseHolder()
	v := tb.startedVMs()[i]
	after := func(f func()) { time.AfterFunc(ft.Duration, f) }
	switch ft.Kind {
	case "kill primary":
		p.Kill(0)
		after(p.Start)
	case "kill primary's tail":
		tb.killTruncated(p, ft.Step)
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
		other.SetLag(ft.Duration / 10)
		after(func() { other.SetLag(0) })
	case "pause holder", "pause holder at step":
		if ft.Kind == "pause holder" {
			ft.Step = 1
			v.gate.pauseAfter(ft.Step, ft.Duration)
			v.gate.step()
			return
		}
		v.gate.pauseAfter(ft.Step, ft.Duration)
	case "pause VM":
		v = tb.startedVMs()[ft.Target]
		v.gate.pauseAfter(1, ft.Duration)
		v.gate.step()
	case "kill holder":
		v.kill()
		after(func() { tb.startVM(i) })
	case "restart holder":
		v.kill()
		tb.startVM(i)
	case "cut VM":
		h, s := fakenet.Host(tb.startedVMs()[ft.Target].name), fakenet.Host(p.Name)
		tb.network.Cut(h, s)
		after(func() { tb.network.Heal(h, s) })
	case "isolate VM":
		v = tb.startedVMs()[ft.Target]
		v.setIsolated(true)
		after(func() { v.setIsolated(false) })
	case "platform down", "platform slow", "platform loses answers":
		tb.platform.SetFaults(map[string]fakeplatform.Fault{
			"platform down": {Kind: fakeplatform.Down}, "platform loses answers": {Kind: fakeplatform.LostAnswer},
			"platform slow": {Kind: fakeplatform.Slow, Delay: ft.Duration / 2},
		}[ft.Kind])
		after(func() { tb.platform.SetFaults(fakeplatform.Fault{Kind: fakeplatform.None}) })
	}
}

// killTruncated kills a primary and removes the end of its log. The group survives this
// as long as a majority keeps its logs, so the server restarts only when the others
// have a primary and the same log.
func (tb *testbed) killTruncated(s *fakeupstream.Server, entries int) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if tb.truncated == nil {
		tb.truncated = s
		s.Kill(entries)
	}
}

func (tb *testbed) restartTruncated() {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if tb.truncated == nil {
		return
	}
	others := slices.DeleteFunc(slices.Clone(tb.servers.Servers), func(s *fakeupstream.Server) bool { return s == tb.truncated })
	a, b := others[0].Status(), others[1].Status()
	if a.Received == b.Received && a.Term > tb.truncated.Status().Term && (a.Role == fakeupstream.Primary || b.Role == fakeupstream.Primary) {
		tb.truncated.Start()
		tb.truncated = nil
	}
}

// healAll ends all faults.
func (tb *testbed) healAll() {
	for _, s := range tb.servers.Servers {
		s.Cut(false)
		s.Freeze(false)
		s.SetLag(0)
		if s != tb.truncated {
			s.Start()
		}
	}
	tb.platform.SetFaults(fakeplatform.Fault{Kind: fakeplatform.None})
	for i, v := range tb.startedVMs() {
		for _, s := range tb.servers.Servers {
			tb.network.Heal(fakenet.Host(v.name), fakenet.Host(s.Name))
		}
		v.setIsolated(false)
		v.gate.pauseAfter(0, 0)
		v.gate.open()
		if v.isDead() {
			tb.startVM(i)
		}
	}
}

// read is a read of one key in a new session without a token.
type read struct {
	key, value, client int
	begin, end         time.Time
}

// getAndRecord reads a key in a new session, as internal/caller does, and records the
// result.
func (tb *testbed) getAndRecord(v *testVM, client, key int) {
	got := read{key: key, client: client, begin: time.Now()}
	g := v.group()
	if g == nil {
		return
	}
	ctx, cancel := context.WithTimeout(tb.ctx, writeTimeout)
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
		confirmCtx, cancelConfirm := context.WithTimeout(tb.ctx, answerTimeout)
		defer cancelConfirm()
		err = g.ConfirmRead(confirmCtx, c)
	}
	c.Release(err == nil)
	if err != nil || !covered {
		return
	}
	got.value, _ = strconv.Atoi(text)
	got.end = time.Now()
	tb.mu.Lock()
	tb.reads = append(tb.reads, got)
	tb.mu.Unlock()
}

// runScenario injects the faults while clients write and read, ends all faults, and
// returns the first violation found.
func (tb *testbed) runScenario(seed uint64, faults []fault) string {
	tb.randomizeDelays(rand.New(rand.NewPCG(seed, seed)))
	ctx, stop := context.WithCancel(tb.ctx)
	for c := range 6 {
		tb.tasks.Go(func() {
			for ctx.Err() == nil {
				tb.putUnique(tb.startedVMs()[(c+c/3)%3], c, c%3)
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	for c := range 3 {
		tb.tasks.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				tb.getAndRecord(tb.startedVMs()[c], 1000+c, (c+i)%3)
				time.Sleep(130 * time.Millisecond)
			}
		})
	}
	tb.tasks.Go(func() {
		for tb.ctx.Err() == nil {
			tb.restartTruncated()
			time.Sleep(20 * time.Millisecond)
		}
	})
	for _, ft := range faults {
		time.Sleep(ft.After)
		tb.inject(ft)
	}
	time.Sleep(3 * time.Second)
	tb.healAll()
	at := time.Now()
	var violation string
	for tb.firstAcknowledgedAfter(at, "").IsZero() && violation == "" {
		if time.Since(at) > recoveryTimeout {
			violation = fmt.Sprintf("no write was acknowledged within %s after all faults ended", recoveryTimeout)
		}
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(time.Second)
	stop()
	time.Sleep(5 * time.Second)
	if found := tb.checkHistory(); found != "" {
		return found
	}
	return violation
}

// registerModel models each key as a register for porcupine.
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

// operations returns the history as the clients saw it. A write with unknown outcome
// may take effect at any time until its value was first read; if its value was never
// read, it may as well take effect after everything else, so it is left out.
func (tb *testbed) operations() []porcupine.Operation {
	firstReads := map[int]time.Time{}
	var all []porcupine.Operation
	for _, o := range tb.reads {
		if before, seen := firstReads[o.value]; !seen || o.end.Before(before) {
			firstReads[o.value] = o.end
		}
		all = append(all, porcupine.Operation{ClientId: o.client, Input: registerInput{key: o.key}, Output: o.value, Call: o.begin.UnixNano(), Return: o.end.UnixNano()})
	}
	for _, w := range tb.writes {
		end := w.end
		if w.outcome != acknowledged {
			seen, read := firstReads[w.value]
			if !read {
				continue
			}
			end = seen
		}
		all = append(all, porcupine.Operation{ClientId: w.client, Input: registerInput{true, w.key, w.value}, Call: w.begin.UnixNano(), Return: end.UnixNano()})
	}
	return all
}

// TestFailover injects faults in random interleavings. No acknowledged write may be
// lost, no term may have two primaries, the results must be linearizable for each key,
// and writes must succeed again within recoveryTimeout after all faults end.
func TestFailover(t *testing.T) {
	t.Parallel()
	setDefaultChecks(t, 2)
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		allHoldLease := rapid.IntRange(0, 3).Draw(rt, "all hold lease") == 0
		faults := drawFaults(rt)
		var violation string
		var history []porcupine.Operation
		synctest.Test(t, func(t *testing.T) {
			tb := newTestbed(func(tb *testbed) {
				tb.allHoldLease = allHoldLease
				if *logEvents {
					tb.logger = testLogger(t)
				}
			})
			violation = tb.runScenario(seed, faults)
			history = tb.operations()
			tb.stop()
		})
		if violation != "" {
			rt.Fatal(violation)
		}
		if got := porcupine.CheckOperationsTimeout(registerModel, history, 20*time.Second); got != porcupine.Ok {
			rt.Fatalf("the history isn't linearizable: %s", got)
		}
	})
}

// setDefaultChecks sets the number of rapid's checks, unless the command line sets it.
func setDefaultChecks(t *testing.T, checks int) {
	isSet := false
	flag.Visit(func(f *flag.Flag) { isSet = isSet || f.Name == "rapid.checks" })
	if isSet {
		return
	}
	f := flag.Lookup("rapid.checks")
	before := f.Value.String()
	_ = f.Value.Set(strconv.Itoa(checks))
	t.Cleanup(func() { _ = f.Value.Set(before) })
}
