package upstream

import (
	"context"

	"github.com/savoryramp/savoryramp/pkg/position"
)

// Floor asks the servers how far their logs reach. An acknowledged write is held by
// its primary and by a majority, so the furthest log among a majority with the
// primary of the newest term covers everything that was acknowledged before the
// question. Without an answer of the primary any majority has to do: it doesn't
// cover a write whose only replica lost it since. While too few servers answer it asks
// again at each change, as after a start; ErrNoQuorum when ctx ends first.
func (g *Group) Floor(ctx context.Context) (position.Position, error) {
	for {
		g.mu.Lock()
		changed := g.changed
		g.mu.Unlock()
		floor, err := g.queryFloor(ctx)
		if err == nil {
			return floor, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return position.Position{}, err
		}
	}
}

// askFloor asks every server once. ErrNoQuorum.
func (g *Group) queryFloor(ctx context.Context) (position.Position, error) {
	watches := g.watches()
	answers := make(chan Status, len(watches))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, w := range watches {
		go func() {
			s, _ := w.query(ctx, statusQuery)
			answers <- s
		}()
	}
	var heard []Status
	for range watches {
		s := <-answers
		if s.Term == 0 {
			continue
		}
		heard = append(heard, s)
		if len(heard) > len(watches)/2 && hasNewestPrimary(heard) {
			return maxReceived(heard), nil
		}
	}
	if len(heard) > len(watches)/2 {
		return maxReceived(heard), nil
	}
	return position.Position{}, ErrNoQuorum.New("upstream %s: %d of %d servers answered", g.Upstream.Name, len(heard), len(watches))
}

// led tells whether the primary of the newest term heard of is among the servers.
func hasNewestPrimary(heard []Status) bool {
	var newest position.Term
	for _, s := range heard {
		newest = max(newest, s.Term)
	}
	for _, s := range heard {
		if s.Role == Primary && s.Term == newest {
			return true
		}
	}
	return false
}

func maxReceived(heard []Status) position.Position {
	var floor position.Position
	for _, s := range heard {
		floor = position.Max(floor, s.Received)
	}
	return floor
}

func (g *Group) watches() []*serverWatch {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []*serverWatch
	for _, m := range g.members {
		list = append(list, m.watch)
	}
	return list
}

// Check tells whether a session's floor still names a part of the group's history.
// ErrFloorLost.
func (g *Group) CheckFloor(floor position.Position) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := position.CheckSurvives(floor, g.knownTermStarts()); err != nil {
		return ErrFloorLost.Wrap(err, "upstream %s", g.Upstream.Name)
	}
	return nil
}

// Clip lowers a floor that was asked for to what survived.
func (g *Group) ClipFloor(floor position.Position) position.Position {
	g.mu.Lock()
	defer g.mu.Unlock()
	return position.ClipFloor(floor, g.knownTermStarts())
}

func (g *Group) knownTermStarts() []position.TermStart {
	list := make([]position.TermStart, 0, len(g.termStarts))
	for _, s := range g.termStarts {
		list = append(list, s)
	}
	return list
}
