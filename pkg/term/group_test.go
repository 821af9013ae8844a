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

// entry of a log: the term it was written in and a number of its own.
type entry struct {
	term position.Term
	id   int
}

type server struct {
	term           position.Term
	primary        bool
	replicatesFrom term.ServerName
	log            []entry
	starts         []position.TermStart
}

// group is a table row and servers that fail by the seed.
type group struct {
	mutex         sync.Mutex
	seed          uint64
	serverNames   []term.ServerName
	servers       map[term.ServerName]*server
	row           term.Row
	calls         map[string]uint64
	faultsEnabled bool
	lastEntryID   int
	// primaries of each term.
	primaries map[position.Term]term.ServerName
	tableDown bool
	violation string
}

func newGroup(seed uint64, size int) *group {
	g := &group{seed: seed, servers: map[term.ServerName]*server{}, calls: map[string]uint64{}, primaries: map[position.Term]term.ServerName{}}
	for i := range size {
		name := term.ServerName(fmt.Sprintf("r%d", i))
		g.serverNames = append(g.serverNames, name)
		g.servers[name] = &server{term: 1, replicatesFrom: "r0", starts: []position.TermStart{{Term: 1}}}
	}
	g.servers["r0"].primary = true
	g.primaries[1] = "r0"
	g.row = term.Row{Version: 1, Record: term.Record{Term: 1, State: term.Active, Primary: "r0", Starts: []position.TermStart{{Term: 1}}}}
	return g
}

func (g *group) random(limit uint64, caller string) uint64 {
	g.calls[caller]++
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, g.seed, caller, g.calls[caller])
	return (h.Sum64() >> 9) % limit
}

// travel delays a message by up to 30 ms, sometimes 2 s, and tells whether it arrives.
func (g *group) deliver(caller string) bool {
	g.mutex.Lock()
	d := time.Duration(g.random(30_000, caller)) * time.Microsecond
	slow, lost := g.random(10, caller) == 0, g.random(8, caller) == 0
	faulty := g.faultsEnabled
	g.mutex.Unlock()
	if faulty && slow {
		d += 2 * time.Second
	}
	time.Sleep(d)
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
	return term.Status{Server: name, IsPrimary: s.primary, Term: s.term, Received: last, Starts: slices.Clone(s.starts)}
}

// node is a promoter's way to the table and the servers.
type promoterClient struct {
	*group
	id string
}

func (n promoterClient) Read(context.Context) (term.Row, error) {
	if !n.deliver(n.id + " read") {
		return term.Row{}, term.ErrUnavailable.New("lost")
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.tableDown {
		return term.Row{}, term.ErrUnavailable.New("out")
	}
	return n.row, nil
}

func (n promoterClient) Swap(_ context.Context, row term.Row) (term.Row, error) {
	if !n.deliver(n.id + " swap") {
		return term.Row{}, term.ErrOutcomeUnknown.New("lost")
	}
	stored, err := n.applySwap(row)
	if !n.deliver(n.id + " swapped") {
		return term.Row{}, term.ErrOutcomeUnknown.New("lost after effect")
	}
	return stored, err
}

func (n promoterClient) applySwap(row term.Row) (term.Row, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.tableDown {
		return term.Row{}, term.ErrUnavailable.New("out")
	}
	if row.Version != n.row.Version {
		return term.Row{}, term.ErrConflict.New("version %d", n.row.Version)
	}
	row.Version++
	n.row = row
	return row, nil
}

// call runs f at a server; its effect may come after the caller has gone.
func (n promoterClient) callServer(ctx context.Context, name term.ServerName, what string, f func(*server) error) (term.Status, error) {
	type answer struct {
		status term.Status
		err    error
	}
	answers := make(chan answer, 1)
	go func() {
		if !n.deliver(n.id + what + string(name)) {
			return
		}
		n.mutex.Lock()
		s := n.servers[name]
		a := answer{err: f(s)}
		a.status = s.status(name)
		n.mutex.Unlock()
		if n.deliver(n.id + what + string(name) + " answer") {
			answers <- a
		}
	}()
	select {
	case a := <-answers:
		return a.status, a.err
	case <-ctx.Done():
		return term.Status{}, ctx.Err()
	}
}

func (n promoterClient) Fence(ctx context.Context, name term.ServerName, t position.Term) (term.Status, error) {
	return n.callServer(ctx, name, "fence", func(s *server) error {
		if t < s.term {
			return term.ErrStale.New("term %d", s.term)
		}
		if t > s.term {
			s.term, s.primary, s.replicatesFrom = t, false, ""
		}
		return nil
	})
}

func (n promoterClient) Promote(ctx context.Context, name term.ServerName, t position.Term) (term.Status, error) {
	return n.callServer(ctx, name, "promote", func(s *server) error {
		if t != s.term {
			return term.ErrStale.New("term %d", s.term)
		}
		if s.primary {
			return nil
		}
		if other, taken := n.primaries[t]; taken && other != name {
			n.violation = fmt.Sprintf("term %d has two primaries, %s and %s", t, other, name)
		}
		n.primaries[t] = name
		s.primary, s.replicatesFrom = true, ""
		s.starts = append(s.starts, position.TermStart{Term: t, Offset: position.Offset(len(s.log))})
		return nil
	})
}

func (n promoterClient) Follow(ctx context.Context, name term.ServerName, t position.Term, primary term.ServerName) error {
	_, err := n.callServer(ctx, name, "follow", func(s *server) error {
		if t < s.term {
			return term.ErrStale.New("term %d", s.term)
		}
		if t == s.term && s.primary {
			return nil
		}
		s.term, s.primary, s.replicatesFrom = t, false, primary
		return nil
	})
	return err
}

func (n promoterClient) Status(ctx context.Context, name term.ServerName) (term.Status, error) {
	return n.callServer(ctx, name, "status", func(*server) error { return nil })
}

// replicate gives a replica up to count further entries of its primary's log.
func (g *group) replicate(name term.ServerName, count int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	s := g.servers[name]
	p, ok := g.servers[s.replicatesFrom]
	if !ok || !p.primary || p.term != s.term {
		return
	}
	common := 0
	for common < len(s.log) && common < len(p.log) && s.log[common] == p.log[common] {
		common++
	}
	s.log = slices.Clone(p.log[:max(common, min(len(p.log), common+count))])
	s.starts = slices.DeleteFunc(slices.Clone(p.starts), func(x position.TermStart) bool { return int(x.Offset) > len(s.log) })
}

// commit writes an entry at the primary of t, as a proxy that holds t would.
func (g *group) commit(name term.ServerName, t position.Term) (entry, position.Position, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	s := g.servers[name]
	if !s.primary || s.term != t {
		return entry{}, position.Position{}, false
	}
	g.lastEntryID++
	e := entry{t, g.lastEntryID}
	s.log = append(s.log, e)
	return e, position.Position{Term: t, Offset: position.Offset(len(s.log))}, true
}
