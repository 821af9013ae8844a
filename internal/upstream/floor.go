package upstream

import (
	"context"
	"slices"
	"time"

	"github.com/savoryramp/savoryramp/pkg/position"
)

// floorWithin bounds how long a question for a floor waits for more servers once a
// majority has answered.
const floorWithin = 3 * time.Millisecond

// Floor asks the servers how far their logs reach. An acknowledged write is held by
// a majority, so the furthest of any majority's logs covers everything that was
// acknowledged before the question. ErrNoQuorum.
func (g *Group) Floor(ctx context.Context) (position.Position, error) {
	watches := g.watches()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan Status, len(watches))
	for _, w := range watches {
		go func() {
			s, _ := w.ask(ctx, statusQuery)
			answers <- s
		}()
	}
	majority := len(watches)/2 + 1
	var heard []position.Position
	var enough <-chan time.Time
	for range watches {
		select {
		case s := <-answers:
			if s.Term > 0 {
				heard = append(heard, s.Received)
			}
		case <-enough:
			return lowestFloor(heard, majority), nil
		}
		if len(heard) == majority && enough == nil {
			enough = time.After(floorWithin)
		}
	}
	if len(heard) < majority {
		return position.Position{}, ErrNoQuorum.New("upstream %s: %d of %d servers answered", g.Upstream.Name, len(heard), len(watches))
	}
	return lowestFloor(heard, majority), nil
}

// lowestFloor is the furthest log of the majority that makes it lowest. So what only
// a primary has, which replicas would have to be waited for, isn't asked for.
func lowestFloor(heard []position.Position, majority int) position.Position {
	slices.SortFunc(heard, position.Position.Compare)
	return heard[majority-1]
}

func (g *Group) watches() []*watch {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []*watch
	for _, m := range g.members {
		list = append(list, m.watch)
	}
	return list
}
