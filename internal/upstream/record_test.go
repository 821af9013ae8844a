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

// The first term that is reserved comes after the group's own, however early a VM holds
// the group's lease.
func TestFirstReservedTermExceedsGroupTerm(t *testing.T) {
	// heard are the terms that servers a, b, c report; 0 for one not heard yet.
	tests := map[string]struct {
		heard    [3]position.Term
		reserved position.Term
	}{
		"nobody":            {[3]position.Term{0, 0, 0}, 0},
		"one":               {[3]position.Term{0, 0, 1}, 0},
		"one, an old one":   {[3]position.Term{1, 0, 0}, 0},
		"two":               {[3]position.Term{0, 3, 2}, 4},
		"all":               {[3]position.Term{1, 1, 1}, 2},
		"all, one left out": {[3]position.Term{1, 2, 2}, 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := &Group{Table: fakeplatform.New().Table(), members: map[platform.ServerName]*member{}}
			for i, n := range []platform.ServerName{"a", "b", "c"} {
				g.members[n] = &member{usable: test.heard[i] > 0, status: Status{Term: test.heard[i]}}
				g.term = max(g.term, test.heard[i])
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
