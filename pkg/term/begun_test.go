package term_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/pkg/position"
	"github.com/savoryramp/savoryramp/pkg/term"
)

// TestTermThatHasBegunHasOnePrimary starts with a record that is older than the servers'
// state, as if the first record had been written too early. The term that it assigns next
// is already in use. A promotion with it must fail, whether or not the primary of that term
// responds, since it would create a second primary.
func TestTermThatHasBegunHasOnePrimary(t *testing.T) {
	tests := map[string][]term.ServerName{
		"primary responds":  nil,
		"primary is silent": {"r0"},
	}
	for name, silent := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(1, 3)
				g.row = term.Row{Version: 1, Record: term.Record{State: term.Active}}
				client := &lossyClient{promoterClient: promoterClient{g, "x"}, silent: silent}
				p := &term.Promoter{ID: "x", Group: g.serverNames, Table: client, Servers: client, NewChangeID: func() term.ChangeID { return "1" }}
				r, err := p.Reserve(t.Context())
				assert.NilError(t, err)
				assert.Equal(t, r.ReservedTerm, position.Term(1))
				_, err = p.PromoteReserved(t.Context(), "test", "r0")
				assert.Assert(t, errorx.IsOfType(err, term.ErrStale), "%v", err)
				assert.Equal(t, g.primaries[1], term.ServerName("r0"))
				r, err = p.Promote(t.Context(), "test", "r0")
				assert.NilError(t, err)
				assert.Equal(t, r.Term, position.Term(2))
				assert.Equal(t, g.violation, "")
				time.Sleep(time.Second)
			})
		})
	}
}
