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
	term    position.Term
	primary bool
	follows term.Server
	log     []entry
	starts  []position.Start
}

// group is a table row and servers that fail by the seed.
type group struct {
	mutex   sync.Mutex
	seed    uint64
	names   []term.Server
	servers map[term.Server]*server
	row     term.Row
	calls   map[string]uint64
	faulty  bool
	ids     int
	// primaries of each term.
	primaries map[position.Term]term.Server
	out       bool
	wrong     string
}

func newGroup(seed uint64, size int) *group {
	g := &group{seed: seed, servers: map[term.Server]*server{}, calls: map[string]uint64{}, primaries: map[position.Term]term.Server{}}
	for i := range size {
		name := term.Server(fmt.Sprintf("r%d", i))
		g.names = append(g.names, name)
		g.servers[name] = &server{term: 1, follows: "r0", starts: []position.Start{{Term: 1}}}
	}
	g.servers["r0"].primary = true
	g.primaries[1] = "r0"
	g.row = term.Row{Version: 1, Record: term.Record{Term: 1, State: term.Active, Primary: "r0", Starts: []position.Start{{Term: 1}}}}
	return g
}

func (g *group) dice(n uint64, who string) uint64 {
	g.calls[who]++
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, g.seed, who, g.calls[who])
	return (h.Sum64() >> 9) % n
}

// travel delays a message by up to 30 ms, sometimes 2 s, and tells whether it arrives.
func (g *group) travel(who string) bool {
	g.mutex.Lock()
	d := time.Duration(g.dice(30_000, who)) * time.Microsecond
	slow, lost := g.dice(10, who) == 0, g.dice(8, who) == 0
	faulty := g.faulty
	g.mutex.Unlock()
	if faulty && slow {
		d += 2 * time.Second
	}
	time.Sleep(d)
	return !faulty || !lost
}

func (s *server) status(name term.Server) term.Status {
	last := position.Position{Term: 1, Offset: position.Offset(len(s.log))}
	if len(s.log) > 0 {
		last.Term = s.log[len(s.log)-1].term
	}
	for _, start := range s.starts {
		if start.Term > last.Term && start.Offset <= last.Offset {
			last.Term = start.Term
		}
	}
	return term.Status{Server: name, Primary: s.primary, Term: s.term, Received: last, Starts: slices.Clone(s.starts)}
}

// node is a promoter's way to the table and the servers.
type node struct {
	*group
	id string
}

func (n node) Read(context.Context) (term.Row, error) {
	if !n.travel(n.id + " read") {
		return term.Row{}, term.ErrUnavailable.New("lost")
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.out {
		return term.Row{}, term.ErrUnavailable.New("out")
	}
	return n.row, nil
}

func (n node) Swap(_ context.Context, row term.Row) (term.Row, error) {
	if !n.travel(n.id + " swap") {
		return term.Row{}, term.ErrOutcomeUnknown.New("lost")
	}
	stored, err := n.put(row)
	if !n.travel(n.id + " swapped") {
		return term.Row{}, term.ErrOutcomeUnknown.New("lost after effect")
	}
	return stored, err
}

func (n node) put(row term.Row) (term.Row, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.out {
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
func (n node) call(ctx context.Context, name term.Server, what string, f func(*server) error) (term.Status, error) {
	type answer struct {
		status term.Status
		err    error
	}
	answers := make(chan answer, 1)
	go func() {
		if !n.travel(n.id + what + string(name)) {
			return
		}
		n.mutex.Lock()
		s := n.servers[name]
		a := answer{err: f(s)}
		a.status = s.status(name)
		n.mutex.Unlock()
		if n.travel(n.id + what + string(name) + " answer") {
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

func (n node) Fence(ctx context.Context, name term.Server, t position.Term) (term.Status, error) {
	return n.call(ctx, name, "fence", func(s *server) error {
		if t < s.term {
			return term.ErrStale.New("term %d", s.term)
		}
		if t > s.term {
			s.term, s.primary, s.follows = t, false, ""
		}
		return nil
	})
}

func (n node) Promote(ctx context.Context, name term.Server, t position.Term) (term.Status, error) {
	return n.call(ctx, name, "promote", func(s *server) error {
		if t != s.term {
			return term.ErrStale.New("term %d", s.term)
		}
		if s.primary {
			return nil
		}
		if other, taken := n.primaries[t]; taken && other != name {
			n.wrong = fmt.Sprintf("term %d has two primaries, %s and %s", t, other, name)
		}
		n.primaries[t] = name
		s.primary, s.follows = true, ""
		s.starts = append(s.starts, position.Start{Term: t, Offset: position.Offset(len(s.log))})
		return nil
	})
}

func (n node) Follow(ctx context.Context, name term.Server, t position.Term, primary term.Server) error {
	_, err := n.call(ctx, name, "follow", func(s *server) error {
		if t < s.term {
			return term.ErrStale.New("term %d", s.term)
		}
		if t == s.term && s.primary {
			return nil
		}
		s.term, s.primary, s.follows = t, false, primary
		return nil
	})
	return err
}

func (n node) Status(ctx context.Context, name term.Server) (term.Status, error) {
	return n.call(ctx, name, "status", func(*server) error { return nil })
}

// replicate gives a replica up to count further entries of its primary's log.
func (g *group) replicate(name term.Server, count int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	s := g.servers[name]
	p, ok := g.servers[s.follows]
	if !ok || !p.primary || p.term != s.term {
		return
	}
	same := 0
	for same < len(s.log) && same < len(p.log) && s.log[same] == p.log[same] {
		same++
	}
	s.log = slices.Clone(p.log[:max(same, min(len(p.log), same+count))])
	s.starts = slices.DeleteFunc(slices.Clone(p.starts), func(x position.Start) bool { return int(x.Offset) > len(s.log) })
}

// commit writes an entry at the primary of t, as a proxy that holds t would.
func (g *group) commit(name term.Server, t position.Term) (entry, position.Position, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	s := g.servers[name]
	if !s.primary || s.term != t {
		return entry{}, position.Position{}, false
	}
	g.ids++
	e := entry{t, g.ids}
	s.log = append(s.log, e)
	return e, position.Position{Term: t, Offset: position.Offset(len(s.log))}, true
}
