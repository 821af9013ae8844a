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

// A word that was long under way, or lay in a buffer while the hearer was paused, counts
// from when it was true, not from when it was read.
func TestWordIsNoFresherThanTrue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, vms := fakenet.New(), &list{}
		confirmed := time.Now()
		var mu sync.Mutex
		words := 0
		with := func(f *peer.Fleet) {
			f.Word = func() platform.Word { return platform.Word{Known: true, Age: time.Since(confirmed)} }
			f.OnWord = func(_ peer.Name, w platform.Word) {
				mu.Lock()
				defer mu.Unlock()
				words++
				fresher := time.Now().Add(-w.Age).Sub(confirmed)
				assert.Check(t, fresher <= 0, "%s fresher than true", fresher)
			}
		}
		vms.add("a")
		vms.add("b")
		for _, n := range []peer.Name{"a", "b"} {
			v := start(t, network, vms, n, 1, with)
			defer v.kill()
		}
		count := func() int {
			mu.Lock()
			defer mu.Unlock()
			return words
		}
		time.Sleep(5 * time.Second)
		network.Delay("a", "b", 600*time.Millisecond)
		before := count()
		time.Sleep(10 * time.Second)
		assert.Assert(t, count() > before+8, "%d words, then %d", before, count())
	})
}
