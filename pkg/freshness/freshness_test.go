package freshness

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/savoryramp/savoryramp/pkg/position"
)

func logPosition(term position.Term, offset position.Offset) position.Position {
	return position.Position{Term: term, Offset: offset}
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func TestFloor(t *testing.T) {
	type sent struct {
		at       int
		position position.Position
	}
	tests := map[string]struct {
		sent         []sent
		arrived      int
		bound        int
		want         position.Position
		wantNotFound bool
	}{
		"the oldest sample within the bound":                    {sent: []sent{{100, logPosition(1, 1)}, {200, logPosition(1, 2)}, {300, logPosition(1, 3)}}, arrived: 400, bound: 250, want: logPosition(1, 2)},
		"no sample within the bound":                            {sent: []sent{{100, logPosition(1, 1)}}, arrived: 400, bound: 250, wantNotFound: true},
		"bound zero requires a sample sent at or after arrival": {sent: []sent{{100, logPosition(1, 1)}, {400, logPosition(1, 2)}}, arrived: 400, want: logPosition(1, 2)},
		"a late answer counts from its sending time":            {sent: []sent{{300, logPosition(1, 3)}, {100, logPosition(1, 1)}}, arrived: 400, bound: 150, want: logPosition(1, 3)},
		"a newer term discards older samples":                   {sent: []sent{{300, logPosition(1, 9)}, {350, logPosition(2, 7)}}, arrived: 400, bound: 200, want: logPosition(2, 7)},
		"an answer of an older term is ignored":                 {sent: []sent{{300, logPosition(2, 7)}, {380, logPosition(1, 9)}}, arrived: 400, bound: 200, want: logPosition(2, 7)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := Samples{Retention: 10 * time.Second}
			for _, message := range test.sent {
				s.Add(milliseconds(message.at), message.position)
			}
			got, found := s.Floor(milliseconds(test.arrived), milliseconds(test.bound))
			assert.Equal(t, found, !test.wantNotFound)
			assert.Equal(t, got, test.want)
		})
	}
}

func TestSurvivingFloor(t *testing.T) {
	tests := map[string]struct {
		sessionFloor, want position.Position
	}{
		"of the current term":                    {sessionFloor: logPosition(2, 9), want: logPosition(2, 9)},
		"of an older term, possibly rolled back": {sessionFloor: logPosition(1, 99), want: logPosition(2, 7)},
		"none":                                   {want: logPosition(2, 7)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := Samples{Retention: time.Second}
			s.Add(milliseconds(100), logPosition(1, 50))
			s.Add(milliseconds(200), logPosition(2, 7))
			s.Add(milliseconds(300), logPosition(2, 8))
			assert.Equal(t, s.SurvivingFloor(test.sessionFloor), test.want)
		})
	}
}

// TestFloorCoversCommitsOlderThanBound checks that a floor covers every commit that is older
// than the bound, whatever the order in which answers arrive.
func TestFloorCoversCommitsOlderThanBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Samples{Retention: 2 * time.Second}
		// acknowledged holds the times of the commits in ascending order. The log has one entry
		// for each commit.
		var acknowledged []time.Duration
		now := milliseconds(1)
		type probe struct {
			sent     time.Duration
			position position.Position
		}
		var unanswered []probe
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += milliseconds(rapid.IntRange(1, 120).Draw(t, "pause"))
			switch rapid.SampledFrom([]string{"commit", "ask", "answer"}).Draw(t, "step") {
			case "commit":
				acknowledged = append(acknowledged, now)
			case "ask":
				unanswered = append(unanswered, probe{now, logPosition(1, position.Offset(len(acknowledged)))})
			case "answer":
				if len(unanswered) > 0 {
					i := rapid.IntRange(0, len(unanswered)-1).Draw(t, "which")
					s.Add(unanswered[i].sent, unanswered[i].position)
					unanswered = append(unanswered[:i], unanswered[i+1:]...)
				}
			}
			bound := milliseconds(rapid.IntRange(0, 1500).Draw(t, "bound"))
			floor, found := s.Floor(now, bound)
			if !found {
				continue
			}
			for i, commitTime := range acknowledged {
				if commitTime < now-bound && floor.Offset < position.Offset(i+1) {
					t.Fatalf("floor %s at %s doesn't cover commit %d of %s", floor, now, i+1, commitTime)
				}
			}
		}
	})
}
