package lease_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/savoryramp/savoryramp/pkg/lease"
)

type fault struct {
	Delay     time.Duration
	Kind      string
	NodeIndex int
	Duration  time.Duration
}

func drawFaults(t *rapid.T) []fault {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
		return fault{
			Delay:     time.Duration(rapid.IntRange(1, 1500).Draw(t, "after")) * time.Millisecond,
			Kind:      rapid.SampledFrom([]string{"pause", "restart", "stop", "out", "hand-over"}).Draw(t, "kind"),
			NodeIndex: rapid.IntRange(0, 3).Draw(t, "node"),
			Duration:  time.Duration(rapid.IntRange(1, 3000).Draw(t, "for")) * time.Millisecond,
		}
	}), 1, 12).Draw(t, "faults")
}

// watchFor lets time pass and looks for two holders at each millisecond.
func (w *cluster) advance(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Millisecond)
		w.checkHolders()
	}
}

func (w *cluster) inject(t *testing.T, f fault, group *sync.WaitGroup) {
	n := w.nodes[f.NodeIndex]
	switch f.Kind {
	case "pause":
		w.mutex.Lock()
		n.pausedUntil = time.Now().Add(f.Duration)
		w.mutex.Unlock()
	case "restart":
		w.stopNode(n)
		w.startNode(t, n, group)
	case "stop":
		w.stopNode(n)
	case "out":
		w.mutex.Lock()
		w.tableDown = !w.tableDown
		w.mutex.Unlock()
	case "hand-over":
		if n.up {
			ctx, cancel := context.WithTimeout(t.Context(), duration)
			group.Go(func() { defer cancel(); _ = n.lease.HandOver(ctx) })
		}
	}
}

// TestOneHolder: never two holders, and one soon after all has healed.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		faults := drawFaults(rt)
		heals := rapid.Bool().Draw(rt, "stopped VMs come back")
		var both string
		var holder lease.Name
		synctest.Test(t, func(t *testing.T) {
			w := newCluster(seed, "a", "b", "c", "d")
			var group sync.WaitGroup
			for _, n := range w.nodes {
				w.startNode(t, n, &group)
			}
			w.advance(duration)
			w.mutex.Lock()
			w.faultsEnabled = true
			w.mutex.Unlock()
			for _, f := range faults {
				w.advance(f.Delay)
				w.inject(t, f, &group)
			}
			w.mutex.Lock()
			w.tableDown, w.faultsEnabled = false, false
			up := 0
			for _, n := range w.nodes {
				n.pausedUntil = time.Time{}
				if n.up {
					up++
				}
			}
			w.mutex.Unlock()
			for _, n := range w.nodes {
				if !n.up && (heals || up == 0) {
					w.startNode(t, n, &group)
				}
			}
			// A pause under way, two claims (2*Poll+wait each) with a Poll before them, and a change.
			w.advance(3*time.Second + 20*duration)
			for range 500 {
				if holder = w.holder(); holder != "" {
					break
				}
				w.advance(time.Millisecond)
			}
			both = w.violation
			for _, n := range w.nodes {
				w.stopNode(n)
			}
			group.Wait()
			time.Sleep(10 * time.Second)
		})
		if both != "" {
			rt.Fatal(both)
		}
		if holder == "" {
			rt.Fatal("nobody holds the lease after all has healed")
		}
	})
}

// TestRules plays the interleavings that make two holders without rule 1 or rule 2.
func TestPromiseRules(t *testing.T) {
	for name, play := range map[string]func(*cluster){
		// The successor's take-over is on its way for long when the holder is heard again.
		"1: nothing is promised during a take-over": func(w *cluster) {
			w.isCut = func(from, to lease.Name) bool { return from == "a" || to == "a" }
			taken := false
			w.swapHook = func(by lease.Name) (time.Duration, bool) {
				if by == "b" && !taken {
					taken = true
					w.isCut = func(lease.Name, lease.Name) bool { return false }
					return 400 * time.Millisecond, false
				}
				if by == "b" {
					return 0, false
				}
				return -1, false
			}
		},
		// The replacement of the successor took effect; the holder doesn't hear so and
		// the old successor is heard again.
		"2: only promises asked for before a replacement count": func(w *cluster) {
			w.isCut = func(from, to lease.Name) bool { return from == "a" && to == "b" }
			replaced := false
			w.swapHook = func(by lease.Name) (time.Duration, bool) {
				if by == "a" && !replaced {
					replaced = true
					w.isCut = func(from, to lease.Name) bool { return from == "a" && to == "c" || from == "c" && to == "a" }
					return 0, true
				}
				if by == "a" {
					return time.Hour, true
				}
				return 0, false
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newCluster(1, "a", "b", "c")
				var group sync.WaitGroup
				w.startNode(t, w.nodes[0], &group)
				w.advance(duration)
				w.startNode(t, w.nodes[1], &group)
				w.advance(duration)
				w.startNode(t, w.nodes[2], &group)
				w.advance(duration)
				assert.Equal(t, w.holder(), lease.Name("a"))
				w.mutex.Lock()
				assert.Equal(t, w.row.Successor.Name, lease.Name("b"))
				play(w)
				w.mutex.Unlock()
				w.advance(4 * duration)
				for _, n := range w.nodes {
					w.stopNode(n)
				}
				group.Wait()
				time.Sleep(2 * time.Hour)
				assert.Equal(t, w.violation, "")
				assert.Assert(t, w.row.Holder.Name != "a", "the interleaving wasn't played")
			})
		})
	}
}
