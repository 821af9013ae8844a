package upstream

import (
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/fakeplatform"
	"github.com/savoryramp/savoryramp/internal/platform"
	"github.com/savoryramp/savoryramp/pkg/position"
	"github.com/savoryramp/savoryramp/pkg/term"
)

// The first reserved term must be higher than the group's own term, however early a VM
// holds the group's lease.
func TestFirstReservedTermExceedsGroupTerm(t *testing.T) {
	// reported holds the terms that servers a, b, c reported; 0 if none was received.
	tests := map[string]struct {
		reported [3]position.Term
		reserved position.Term
	}{
		"nobody":              {[3]position.Term{0, 0, 0}, 0},
		"one":                 {[3]position.Term{0, 0, 1}, 0},
		"one, of an old term": {[3]position.Term{1, 0, 0}, 0},
		"two":                 {[3]position.Term{0, 3, 2}, 4},
		"all":                 {[3]position.Term{1, 1, 1}, 2},
		"all, one behind":     {[3]position.Term{1, 2, 2}, 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := &Group{Table: fakeplatform.New().Table(), members: map[platform.ServerName]*member{}}
			for i, n := range []platform.ServerName{"a", "b", "c"} {
				g.members[n] = &member{usable: test.reported[i] > 0, status: Status{Term: test.reported[i]}}
				g.term = max(g.term, test.reported[i])
			}
			r, err := newFailoverMonitor(g).promoter.Reserve(t.Context())
			if test.reserved == 0 {
				assert.Assert(t, errorx.IsOfType(err, term.ErrUnavailable), "%v", err)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, r.ReservedTerm, test.reserved)
		})
	}
}
