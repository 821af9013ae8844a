package peer_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/fakenet"
	"github.com/savoryramp/savoryramp/internal/peer"
	"github.com/savoryramp/savoryramp/internal/platform"
)

// A report that was delayed in the network, or buffered while the receiver was paused,
// must count from when it was made, not from when it was read. Otherwise a VM would rely
// on its document for too long.
func TestDocumentReportNeverUnderstatesAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, vms := fakenet.New(), &vmList{}
		knownAt := time.Now()
		var mu sync.Mutex
		reports := 0
		setReportHooks := func(f *peer.Fleet) {
			f.ReportDocument = func() platform.DocumentReport { return platform.DocumentReport{Known: true, Age: time.Since(knownAt)} }
			f.OnDocumentReport = func(_ peer.Name, w platform.DocumentReport) {
				mu.Lock()
				defer mu.Unlock()
				reports++
				excess := time.Now().Add(-w.Age).Sub(knownAt)
				assert.Check(t, excess <= 0, "the report counts as %s fresher than it is", excess)
			}
		}
		vms.add("a")
		vms.add("b")
		for _, n := range []peer.Name{"a", "b"} {
			v := startVM(t, network, vms, n, 1, setReportHooks)
			defer v.stop()
		}
		reportCount := func() int {
			mu.Lock()
			defer mu.Unlock()
			return reports
		}
		time.Sleep(5 * time.Second)
		network.Delay("a", "b", 600*time.Millisecond)
		before := reportCount()
		time.Sleep(10 * time.Second)
		assert.Assert(t, reportCount() > before+8, "%d reports, then %d", before, reportCount())
	})
}
