package upstream

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/fakeplatform"
	"github.com/savoryramp/savoryramp/internal/platform"
	"github.com/savoryramp/savoryramp/pkg/term"
)

// A commit permit's duration counts from before the record was read, and a promoter
// waits longer than that.
func TestCommitPermitExpiresBeforePromotion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := fakeplatform.New()
		body, err := json.Marshal(term.Record{Term: 4, State: term.Active, Primary: "r1a"})
		assert.NilError(t, err)
		_, err = p.Table().Put(t.Context(), platform.Row{Key: "group/r1", Change: "1", Body: body})
		assert.NilError(t, err)
		g := &Group{Upstream: platform.Upstream{Name: "r1", Acknowledge: platform.TermLeased}, Table: p.Table()}
		go g.commitPermit.run(t.Context(), termRecord{g})
		synctest.Wait()
		assert.Assert(t, g.canWriteInTerm(4))
		assert.Assert(t, !g.canWriteInTerm(5))

		p.SetFaults(fakeplatform.Fault{Kind: fakeplatform.Down})
		time.Sleep(commitPermitDuration - time.Nanosecond)
		assert.Assert(t, g.canWriteInTerm(4))
		time.Sleep(time.Nanosecond)
		assert.Assert(t, !g.canWriteInTerm(4))
		assert.Assert(t, commitPermitExpiryWait > commitPermitDuration)
	})
}
