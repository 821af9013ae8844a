package position_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/savoryramp/savoryramp/pkg/position"
)

func TestParse(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want position.Position
		ok   bool
	}{
		"usual":      {"3/1742", position.Position{Term: 3, Offset: 1742}, true},
		"empty":      {"", position.Position{}, false},
		"no offset":  {"3/", position.Position{}, false},
		"negative":   {"3/-1", position.Position{}, false},
		"not digits": {"a/b", position.Position{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := position.Parse(c.text)
			assert.Equal(t, err == nil, c.ok)
			assert.Equal(t, got, c.want)
		})
	}
}

func TestClippedFloorSurvives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		floor := position.Position{
			Term:   position.Term(rapid.IntRange(1, 5).Draw(t, "term")),
			Offset: position.Offset(rapid.IntRange(0, 50).Draw(t, "offset")),
		}
		var starts []position.TermStart
		for term := position.Term(1); term < 6; term++ {
			starts = append(starts, position.TermStart{Term: term, Offset: position.Offset(rapid.IntRange(0, 50).Draw(t, "start"))})
		}
		clipped := position.ClipFloor(floor, starts)
		assert.NilError(t, position.CheckSurvives(clipped, starts))
		assert.Assert(t, floor.Covers(clipped))
	})
}
