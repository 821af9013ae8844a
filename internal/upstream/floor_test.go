package upstream

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/savoryramp/savoryramp/pkg/position"
)

func TestLowestFloor(t *testing.T) {
	at := func(term position.Term, offset position.Offset) position.Position {
		return position.Position{Term: term, Offset: offset}
	}
	tests := map[string]struct {
		heard []position.Position
		want  position.Position
	}{
		"the primary is ahead":        {[]position.Position{at(1, 9), at(1, 7), at(1, 8)}, at(1, 8)},
		"only a majority answered":    {[]position.Position{at(1, 9), at(1, 7)}, at(1, 9)},
		"a replaced primary is ahead": {[]position.Position{at(1, 20), at(2, 8), at(2, 8)}, at(2, 8)},
		"one is far behind":           {[]position.Position{at(1, 1), at(1, 9), at(1, 9)}, at(1, 9)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, lowestFloor(test.heard, 2), test.want)
		})
	}
}

// A floor covers each write that any majority holds, whichever majority answered.
func TestLowestFloorCoversAcknowledged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := rapid.IntRange(1, 7).Draw(t, "servers")
		majority := servers/2 + 1
		logs := make([]position.Position, servers)
		for i := range logs {
			logs[i] = position.Position{Term: 1, Offset: position.Offset(rapid.IntRange(0, 20).Draw(t, "log"))}
		}
		order := rapid.Permutation(logs).Draw(t, "order of answers")
		heard := rapid.IntRange(majority, servers).Draw(t, "heard")
		floor := lowestFloor(append([]position.Position(nil), order[:heard]...), majority)
		for offset := range position.Offset(21) {
			write := position.Position{Term: 1, Offset: offset}
			holders := 0
			for _, l := range logs {
				if l.Covers(write) {
					holders++
				}
			}
			if holders >= majority {
				assert.Assert(t, floor.Covers(write), "floor %s, acknowledged %s", floor, write)
			}
		}
	})
}
