package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
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
	// counts has all violations by promise.
	counts map[string]int
	// asked counts the requests below their workspace's rate, took has the latencies of those that were served.
	asked int
	took  []time.Duration
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
	c.outcomes, c.writes, c.counts = map[standin.Outcome]int{}, map[string]written{}, map[string]int{}
	c.acknowledged, c.keys = map[int][]written{}, map[string]time.Time{}
}

func (c *checks) id() string { return fmt.Sprintf("%016x", c.next.Add(1)) }

func (c *checks) count(o standin.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[o]++
}

// served takes note of a request's outcome and latency.
func (c *checks) served(o standin.Outcome, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked++
	if o == standin.Done {
		c.took = append(c.took, took)
	}
}

// report adds what was counted to a report.
func (c *checks) report(r *Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.Outcomes, r.Broken, r.Counts, r.Asked, r.Served = c.outcomes, c.broken, c.counts, c.asked, len(c.took)
	slices.Sort(c.took)
	if n := len(c.took); n > 0 {
		r.P50, r.P99 = c.took[n/2], c.took[n*99/100]
	}
}

func (c *checks) fail(promise, what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[promise]++
	if len(c.broken) < brokenMost {
		c.broken = append(c.broken, promise+": "+what)
	}
}

// localKeywords are those of statements that VMs answer themselves.
var localKeywords = []string{"BEGIN", "ROLLBACK", "SET", "PREPARE", "DEALLOCATE"}

// answered checks one answer by itself. The state is that of the transaction after a success, and reads tells
// whether there are rows.
func (s *Soak) answered(id, workspace string, p *process, text, state string, reads bool, a standin.Answer) {
	s.check.count(a.Outcome)
	keyword, _, _ := strings.Cut(text, " ")
	digest, rows := "d."+id, 0
	if slices.Contains(localKeywords, keyword) {
		digest = "-"
	}
	if reads {
		rows = 1
	}
	// A server's digest of a further run of the same request has the number of the run.
	got, _, _ := strings.Cut(a.Digest, "/")
	switch {
	case a.Outcome == standin.Unasked:
		s.broken("an answer is the request's own", "%s %.60q: %s", id, text, a.Text)
	case a.Outcome == standin.Done && (got != digest || len(a.Rows) != rows):
		s.broken("an answer is the request's own", "%s %.60q got %q and %d rows", id, text, a.Digest, len(a.Rows))
	case a.Outcome == standin.Done && a.State != state:
		s.broken("an answer tells the session's state", "%s %.60q got %s for %s", id, text, a.State, state)
	}
	if ran := s.ledger.WorkspaceOf(id); ran != "" && ran != workspace {
		s.broken("a request runs for its key's workspace", "%s of %s ran for %s", id, workspace, ran)
	}
	if (s.Faults == PlannedFaults || s.Faults == NoFaults) && a.Outcome == standin.Disconnected && s.ledger.WorkspaceOf(id) != "" {
		s.broken("planned work cuts no request", "%s %.60q at %s: %s", id, text, p.name, a.Text)
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
		case n == 0 && w.outcome == standin.Done && (w.term == term || s.SyncReplicas > 0):
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

// pauseWithin is how long a replica may stay paused after the faults: an attempt at a failover counts as ended after
// six seconds, and making sure that none of its orders is carried out takes a few more.
const pauseWithin = 15 * time.Second

// auditConfirmed checks that promotions have lost no confirmed commit and that no replica stays paused.
func (s *Soak) auditConfirmed() {
	for _, id := range s.ledger.Lost() {
		s.broken("a confirmed commit is in the log of the server that is promoted", "%s", id)
	}
	if !s.until(pauseWithin, func() bool { return len(s.ledger.Paused()) == 0 }) {
		s.broken("no replica stays paused", "%v after %s", s.ledger.Paused(), pauseWithin)
	}
}
