package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/savoryramp/savoryramp/platform/standin"
)

const (
	// withdrawWithin is how long a withdrawn key may work: the bound of 3 s, and the
	// longest fault that keeps a VM from hearing of it.
	withdrawWithin = 7 * time.Second
	// window, overshoot and tolerance are the contract of rates.
	window    = 5 * time.Second
	overshoot = 0.1
	tolerance = 20
	// brokenMost bounds what a report holds.
	brokenMost = 50
)

// checks has what callers were told.
type checks struct {
	next atomic.Int64

	mu       sync.Mutex
	outcomes map[standin.Outcome]int
	broken   []string
	// writes by the id under which they commit.
	writes map[string]written
	// acknowledged are the newest of each writer, in the order of their answers.
	acknowledged map[int][]written
	keys         map[string]time.Time
	hots         []time.Time
}

type written struct {
	item    string
	value   int
	term    int64
	at      time.Time
	outcome standin.Outcome
}

func (c *checks) begin() {
	c.outcomes, c.writes = map[standin.Outcome]int{}, map[string]written{}
	c.acknowledged, c.keys = map[int][]written{}, map[string]time.Time{}
}

func (c *checks) id() string { return fmt.Sprintf("%016x", c.next.Add(1)) }

func (c *checks) count(o standin.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[o]++
}

func (c *checks) fail(promise, what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.broken) < brokenMost {
		c.broken = append(c.broken, promise+": "+what)
	}
}

// answered checks one answer by itself.
func (s *Soak) answered(id, workspace string, p *process, text string, a standin.Answer) {
	s.check.count(a.Outcome)
	own := strings.HasPrefix(text, "BEGIN") || strings.HasPrefix(text, "ROLLBACK")
	if a.Outcome == standin.Done && !own && a.Digest != "d."+id {
		s.broken("an answer is the request's own", "%s %s got %q", id, text, a.Digest)
	}
	if ran := s.ledger.WorkspaceOf(id); ran != "" && ran != workspace {
		s.broken("a request runs for its key's workspace", "%s of %s ran for %s", id, workspace, ran)
	}
	if (s.Faults == PlannedFaults || s.Faults == NoFaults) && a.Outcome == standin.Disconnected && s.ledger.WorkspaceOf(id) != "" {
		s.broken("planned work cuts no request", "%s %s at %s: %s", id, text, p.name, a.Text)
	}
}

// wrote takes note of a write's outcome.
func (c *checks) wrote(id string, writer int, item string, value int, term int64, o standin.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := written{item, value, term, time.Now(), o}
	c.writes[id] = w
	if o == standin.Done {
		c.acknowledged[writer] = append(c.acknowledged[writer], w)
	}
}

// newest gives a writer's present item and the least value that a read from now on may
// show, of what was acknowledged longer than the bound ago.
func (c *checks) newest(writer int, bound time.Duration) (string, int, int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.acknowledged[writer]
	for i := len(list) - 1; i >= 0; i-- {
		if time.Since(list[i].at) > bound {
			return list[i].item, list[i].value, list[i].term
		}
	}
	return "", 0, 0
}

func (c *checks) withdrawn(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keys[key] = time.Now()
}

// goneKey is the key in force, or now and then one that was withdrawn.
func (c *checks) goneKey(r *rand.Rand, current string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key := range c.keys {
		if r.IntN(3) == 0 {
			return key
		}
	}
	return current
}

func (c *checks) late(key string, sent time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, found := c.keys[key]
	return found && sent.Sub(at) > withdrawWithin
}

func (c *checks) hot(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hots = append(c.hots, at)
}

// audit compares what callers were told with what the servers hold.
func (s *Soak) audit() {
	commits, term := s.ledger.Commits(), s.ledger.NewestTerm()
	for id, w := range s.check.writes {
		n := commits[id]
		switch {
		case n > 1:
			s.broken("a write takes effect once", "%s: %d times", id, n)
		case n > 0 && w.outcome == standin.NotApplied:
			s.broken("a refusal is true", "%s of %s was refused and is kept", id, w.item)
		case n == 0 && w.outcome == standin.Done && w.term == term:
			s.broken("an acknowledged write stays", "%s of %s, term %d", id, w.item, w.term)
		}
	}
	for _, token := range s.store.SharedTokens() {
		s.broken("a fencing token has one holder", "%s", token)
	}
	allowed := int((hotRate*window.Seconds()+hotBurst)*(1+overshoot) + tolerance)
	first := 0
	for i, at := range s.check.hots {
		for at.Sub(s.check.hots[first]) >= window {
			first++
		}
		if n := i - first + 1; n > allowed {
			s.broken("a rate holds over all VMs", "%d in %s, %d are allowed", n, window, allowed)
			return
		}
	}
}
