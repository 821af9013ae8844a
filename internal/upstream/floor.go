package upstream

import (
	"context"

	"github.com/savoryramp/savoryramp/pkg/position"
)

// Floor queries the servers for a position that covers every acknowledged write. An
// acknowledged write is held by its primary and by a majority, so the furthest log
// among a majority that includes the primary of the newest term covers everything
// acknowledged before the call. If that primary doesn't answer, any majority is
// accepted; it doesn't cover a write whose only replica has lost it since. While too
// few servers answer, as just after start, Floor queries them again whenever the known
// state of a server of the group changes; it returns ErrNoQuorum if ctx ends first.
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

// queryFloor queries every server once. It returns ErrNoQuorum.
func (g *Group) queryFloor(ctx context.Context) (position.Position, error) {
	watches := g.watches()
	results := make(chan Status, len(watches))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, w := range watches {
		go func() {
			status, _ := w.query(ctx, statusQuery)
			results <- status
		}()
	}
	var statuses []Status
	for range watches {
		status := <-results
		if status.Term == 0 {
			continue
		}
		statuses = append(statuses, status)
		if len(statuses) > len(watches)/2 && hasNewestPrimary(statuses) {
			return maxReceived(statuses), nil
		}
	}
	if len(statuses) > len(watches)/2 {
		return maxReceived(statuses), nil
	}
	return position.Position{}, ErrNoQuorum.New("upstream %s: %d of %d servers answered", g.Upstream.Name, len(statuses), len(watches))
}

// hasNewestPrimary reports whether the statuses include the primary of the newest term
// among them.
func hasNewestPrimary(statuses []Status) bool {
	var newest position.Term
	for _, s := range statuses {
		newest = max(newest, s.Term)
	}
	for _, s := range statuses {
		if s.Role == Primary && s.Term == newest {
			return true
		}
	}
	return false
}

func maxReceived(statuses []Status) position.Position {
	var floor position.Position
	for _, s := range statuses {
		floor = position.Max(floor, s.Received)
	}
	return floor
}

func (g *Group) watches() []*serverWatch {
	g.mu.Lock()
	defer g.mu.Unlock()
	var watches []*serverWatch
	for _, m := range g.members {
		watches = append(watches, m.watch)
	}
	return watches
}

// CheckFloor returns ErrFloorLost if the write at a session's floor was lost in a
// promotion.
func (g *Group) CheckFloor(floor position.Position) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := position.CheckSurvives(floor, g.knownTermStarts()); err != nil {
		return ErrFloorLost.Wrap(err, "upstream %s", g.Upstream.Name)
	}
	return nil
}

// ClipFloor lowers a requested floor to the part of the log that survived promotions.
func (g *Group) ClipFloor(floor position.Position) position.Position {
	g.mu.Lock()
	defer g.mu.Unlock()
	return position.ClipFloor(floor, g.knownTermStarts())
}

func (g *Group) knownTermStarts() []position.TermStart {
	starts := make([]position.TermStart, 0, len(g.termStarts))
	for _, s := range g.termStarts {
		starts = append(starts, s)
	}
	return starts
}
