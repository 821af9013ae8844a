package term_test

import (
	"context"
	"fmt"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/savoryramp/savoryramp/pkg/position"
	"github.com/savoryramp/savoryramp/pkg/term"
)

// entry is a log entry: the term it was written in and a unique number.
type entry struct {
	term position.Term
	id   int
}

type server struct {
	term           position.Term
	isPrimary      bool
	replicatesFrom term.ServerName
	log            []entry
	starts         []position.TermStart
}

// group simulates a table row and servers, with random faults that depend on the seed.
type group struct {
	mutex         sync.Mutex
	seed          uint64
	serverNames   []term.ServerName
	servers       map[term.ServerName]*server
	row           term.Row
	randomCalls   map[string]uint64
	faultsEnabled bool
	lastEntryID   int
	// primaries holds the promoted server of each term.
	primaries map[position.Term]term.ServerName
	tableDown bool
	violation string
}

func newGroup(seed uint64, size int) *group {
	g := &group{seed: seed, servers: map[term.ServerName]*server{}, randomCalls: map[string]uint64{}, primaries: map[position.Term]term.ServerName{}}
	for i := range size {
		name := term.ServerName(fmt.Sprintf("r%d", i))
		g.serverNames = append(g.serverNames, name)
		g.servers[name] = &server{term: 1, replicatesFrom: "r0", starts: []position.TermStart{{Term: 1}}}
	}
	g.servers["r0"].isPrimary = true
	g.primaries[1] = "r0"
	g.row = term.Row{Version: 1, Record: term.Record{Term: 1, State: term.Active, Primary: "r0", Starts: []position.TermStart{{Term: 1}}}}
	return g
}

// random returns a number below limit that depends only on the seed, the caller and how often
// that caller has called it.
func (g *group) random(limit uint64, caller string) uint64 {
	g.randomCalls[caller]++
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, g.seed, caller, g.randomCalls[caller])
	return (h.Sum64() >> 9) % limit
}

// deliver delays a message by up to 30 ms, with faults sometimes by 2 s more, and reports
// whether it arrives.
func (g *group) deliver(caller string) bool {
	g.mutex.Lock()
	delay := time.Duration(g.random(30_000, caller)) * time.Microsecond
	slow, lost := g.random(10, caller) == 0, g.random(8, caller) == 0
	faulty := g.faultsEnabled
	g.mutex.Unlock()
	if faulty && slow {
		delay += 2 * time.Second
	}
	time.Sleep(delay)
	return !faulty || !lost
}

func (s *server) status(name term.ServerName) term.Status {
	last := position.Position{Term: 1, Offset: position.Offset(len(s.log))}
	if len(s.log) > 0 {
		last.Term = s.log[len(s.log)-1].term
	}
	for _, start := range s.starts {
		if start.Term > last.Term && start.Offset <= last.Offset {
			last.Term = start.Term
		}
	}
	return term.Status{Server: name, IsPrimary: s.isPrimary, Term: s.term, Received: last, Starts: slices.Clone(s.starts)}
}

// promoterClient connects a promoter to the table and the servers.
type promoterClient struct {
	*group
	id string
}

func (c promoterClient) Read(context.Context) (term.Row, error) {
	if !c.deliver(c.id + " read") {
		return term.Row{}, term.ErrUnavailable.New("lost")
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.tableDown {
		return term.Row{}, term.ErrUnavailable.New("out")
	}
	return c.row, nil
}

func (c promoterClient) Swap(_ context.Context, row term.Row) (term.Row, error) {
	if !c.deliver(c.id + " swap") {
		return term.Row{}, term.ErrOutcomeUnknown.New("lost")
	}
	stored, err := c.applySwap(row)
	if !c.deliver(c.id + " swapped") {
		return term.Row{}, term.ErrOutcomeUnknown.New("lost after effect")
	}
	return stored, err
}

func (c promoterClient) applySwap(row term.Row) (term.Row, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.tableDown {
		return term.Row{}, term.ErrUnavailable.New("out")
	}
	if row.Version != c.row.Version {
		return term.Row{}, term.ErrConflict.New("version %d", c.row.Version)
	}
	row.Version++
	c.row = row
	return row, nil
}

// callServer runs f on a server, possibly after the caller's context has ended.
func (c promoterClient) callServer(ctx context.Context, name term.ServerName, operation string, f func(*server) error) (term.Status, error) {
	type result struct {
		status term.Status
		err    error
	}
	results := make(chan result, 1)
	go func() {
		if !c.deliver(c.id + operation + string(name)) {
			return
		}
		c.mutex.Lock()
		s := c.servers[name]
		answer := result{err: f(s)}
		answer.status = s.status(name)
		c.mutex.Unlock()
		if c.deliver(c.id + operation + string(name) + " answer") {
			results <- answer
		}
	}()
	select {
	case answer := <-results:
		return answer.status, answer.err
	case <-ctx.Done():
		return term.Status{}, ctx.Err()
	}
}

func (c promoterClient) Fence(ctx context.Context, name term.ServerName, t position.Term) (term.Status, error) {
	return c.callServer(ctx, name, "fence", func(s *server) error {
		if t < s.term {
			return term.ErrStale.New("term %d", s.term)
		}
		if t > s.term {
			s.term, s.isPrimary, s.replicatesFrom = t, false, ""
		}
		return nil
	})
}

func (c promoterClient) Promote(ctx context.Context, name term.ServerName, t position.Term) (term.Status, error) {
	return c.callServer(ctx, name, "promote", func(s *server) error {
		if t != s.term {
			return term.ErrStale.New("term %d", s.term)
		}
		if s.isPrimary {
			return nil
		}
		if other, taken := c.primaries[t]; taken && other != name {
			c.violation = fmt.Sprintf("term %d has two primaries, %s and %s", t, other, name)
		}
		c.primaries[t] = name
		s.isPrimary, s.replicatesFrom = true, ""
		s.starts = append(s.starts, position.TermStart{Term: t, Offset: position.Offset(len(s.log))})
		return nil
	})
}

func (c promoterClient) Follow(ctx context.Context, name term.ServerName, t position.Term, primary term.ServerName) error {
	_, err := c.callServer(ctx, name, "follow", func(s *server) error {
		if t < s.term {
			return term.ErrStale.New("term %d", s.term)
		}
		if t == s.term && s.isPrimary {
			return nil
		}
		s.term, s.isPrimary, s.replicatesFrom = t, false, primary
		return nil
	})
	return err
}

func (c promoterClient) Status(ctx context.Context, name term.ServerName) (term.Status, error) {
	return c.callServer(ctx, name, "status", func(*server) error { return nil })
}

// replicate copies up to count further entries of its primary's log to a replica.
func (g *group) replicate(name term.ServerName, count int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	s := g.servers[name]
	p, ok := g.servers[s.replicatesFrom]
	if !ok || !p.isPrimary || p.term != s.term {
		return
	}
	common := 0
	for common < len(s.log) && common < len(p.log) && s.log[common] == p.log[common] {
		common++
	}
	s.log = slices.Clone(p.log[:max(common, min(len(p.log), common+count))])
	s.starts = slices.DeleteFunc(slices.Clone(p.starts), func(x position.TermStart) bool { return int(x.Offset) > len(s.log) })
}

// commit writes an entry on the primary of t, as a proxy would that knows t as the current
// term.
func (g *group) commit(name term.ServerName, t position.Term) (entry, position.Position, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	s := g.servers[name]
	if !s.isPrimary || s.term != t {
		return entry{}, position.Position{}, false
	}
	g.lastEntryID++
	e := entry{t, g.lastEntryID}
	s.log = append(s.log, e)
	return e, position.Position{Term: t, Offset: position.Offset(len(s.log))}, true
}
