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

// fault affects one node, or the table, after Delay.
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

// advance lets time pass and checks every millisecond that there aren't two holders.
func (c *cluster) advance(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Millisecond)
		c.checkHolders()
	}
}

func (c *cluster) inject(t *testing.T, f fault, group *sync.WaitGroup) {
	n := c.nodes[f.NodeIndex]
	switch f.Kind {
	case "pause":
		c.mutex.Lock()
		n.pausedUntil = time.Now().Add(f.Duration)
		c.mutex.Unlock()
	case "restart":
		c.stopNode(n)
		c.startNode(t, n, group)
	case "stop":
		c.stopNode(n)
	case "out":
		c.mutex.Lock()
		c.tableDown = !c.tableDown
		c.mutex.Unlock()
	case "hand-over":
		if n.up {
			ctx, cancel := context.WithTimeout(t.Context(), leaseDuration)
			group.Go(func() { defer cancel(); _ = n.lease.HandOver(ctx) })
		}
	}
}

// TestOneHolder checks that random faults never lead to two holders, and that a member holds
// the lease soon after the faults have ended.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		faults := drawFaults(rt)
		restartStopped := rapid.Bool().Draw(rt, "restart stopped VMs")
		var violation string
		var holder lease.Name
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(seed, "a", "b", "c", "d")
			var group sync.WaitGroup
			for _, n := range c.nodes {
				c.startNode(t, n, &group)
			}
			c.advance(leaseDuration)
			c.mutex.Lock()
			c.faultsEnabled = true
			c.mutex.Unlock()
			for _, f := range faults {
				c.advance(f.Delay)
				c.inject(t, f, &group)
			}
			c.mutex.Lock()
			c.tableDown, c.faultsEnabled = false, false
			up := 0
			for _, n := range c.nodes {
				n.pausedUntil = time.Time{}
				if n.up {
					up++
				}
			}
			c.mutex.Unlock()
			for _, n := range c.nodes {
				if !n.up && (restartStopped || up == 0) {
					c.startNode(t, n, &group)
				}
			}
			// Time for the rest of a pause, one PollInterval, then two claims one after the other
			// (2*PollInterval+promiseTTL each), and a change of the holder.
			c.advance(3*time.Second + 20*leaseDuration)
			for range 500 {
				if holder = c.holder(); holder != "" {
					break
				}
				c.advance(time.Millisecond)
			}
			violation = c.violation
			for _, n := range c.nodes {
				c.stopNode(n)
			}
			group.Wait()
			time.Sleep(10 * time.Second)
		})
		if violation != "" {
			rt.Fatal(violation)
		}
		if holder == "" {
			rt.Fatal("no member holds the lease after all faults have ended")
		}
	})
}

// TestPromiseRules runs the interleavings that lead to two holders if rule 1 or rule 2 of
// the package comment is violated.
func TestPromiseRules(t *testing.T) {
	for name, interleave := range map[string]func(*cluster){
		// The successor's takeover is delayed on its way to the table while the holder becomes
		// reachable again.
		"1: no promise while a takeover is pending": func(c *cluster) {
			c.isCut = func(from, to lease.Name) bool { return from == "a" || to == "a" }
			taken := false
			c.swapHook = func(by lease.Name) (time.Duration, bool) {
				if by == "b" && !taken {
					taken = true
					c.isCut = func(lease.Name, lease.Name) bool { return false }
					return 400 * time.Millisecond, false
				}
				if by == "b" {
					return 0, false
				}
				return -1, false
			}
		},
		// The replacement of the successor took effect, but the response is lost, and the old
		// successor becomes reachable again.
		"2: only promises requested before a replacement count": func(c *cluster) {
			c.isCut = func(from, to lease.Name) bool { return from == "a" && to == "b" }
			replaced := false
			c.swapHook = func(by lease.Name) (time.Duration, bool) {
				if by == "a" && !replaced {
					replaced = true
					c.isCut = func(from, to lease.Name) bool { return from == "a" && to == "c" || from == "c" && to == "a" }
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
				c := newCluster(1, "a", "b", "c")
				var group sync.WaitGroup
				c.startNode(t, c.nodes[0], &group)
				c.advance(leaseDuration)
				c.startNode(t, c.nodes[1], &group)
				c.advance(leaseDuration)
				c.startNode(t, c.nodes[2], &group)
				c.advance(leaseDuration)
				assert.Equal(t, c.holder(), lease.Name("a"))
				c.mutex.Lock()
				assert.Equal(t, c.row.Successor.Name, lease.Name("b"))
				interleave(c)
				c.mutex.Unlock()
				c.advance(4 * leaseDuration)
				for _, n := range c.nodes {
					c.stopNode(n)
				}
				group.Wait()
				time.Sleep(2 * time.Hour)
				assert.Equal(t, c.violation, "")
				assert.Assert(t, c.row.Holder.Name != "a", "the interleaving didn't happen")
			})
		})
	}
}
