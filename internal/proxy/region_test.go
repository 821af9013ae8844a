package proxy

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/clock"
	"github.com/savoryramp/savoryramp/pkg/placement"
)

// regionOf puts zone a, with the first primary, into the north, and zone b into the south. The region of
// zone c isn't known.
func regionOf(zone AvailabilityZone) placement.Region {
	return map[AvailabilityZone]placement.Region{"a": "north", "b": "south"}[zone]
}

// unverifyingFleet is that of a VM that isn't a verifier.
type unverifyingFleet struct{ settledFleet }

func (unverifyingFleet) IsVerifier(ServiceName) bool { return false }

// Neither a statement nor its text may reach a server outside of the allowed regions.
func TestAllowedRegions(t *testing.T) {
	set := func(names ...placement.Region) map[placement.Region]bool {
		s := map[placement.Region]bool{}
		for _, name := range names {
			s[name] = true
		}
		return s
	}
	tests := map[string]struct {
		route, workspace map[placement.Region]bool
		// reads and writes are the servers that may get statements, empty if none.
		reads, writes string
		// unverified is true for a VM that doesn't verify the primary by itself, so that reads do it.
		unverified bool
		// prepare changes the servers.
		prepare func(tb *testbed)
	}{
		"neither is set":                   {reads: "abc", writes: "a"},
		"the route's, with the primary":    {route: set("north"), reads: "a", writes: "a"},
		"the route's, without the primary": {route: set("south"), reads: "b"},
		"reads have to verify the primary": {route: set("south"), reads: "b", unverified: true},
		"the workspace's":                  {workspace: set("south"), reads: "b"},
		"both, with one in common":         {route: set("north", "south"), workspace: set("south"), reads: "b"},
		"both, with none in common":        {route: set("north"), workspace: set("south")},
		"a region that isn't known":        {route: set("east")},
		"retries stay inside": {route: set("south"), prepare: func(tb *testbed) {
			tb.onServer("b", func(s *memServer) { s.fault = func(Command) fault { return refuseBusy } })
		}},
		"after a promotion in another region": {route: set("south"), reads: "b", writes: "b", prepare: func(tb *testbed) { tb.promote("b") }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runTestWith(t, func(v *VM) {
				v.Placement = &Placement{Rule: placement.Evacuation{Bound: evacuationBound}, RegionOf: regionOf, Regions: set("north", "south")}
				if test.unverified {
					v.Fleet = unverifyingFleet{}
				}
			}, func(tb *testbed) {
				tb.vm.SetEvacuated(nil)
				c := testConfiguration(2)
				for _, r := range c.Routes {
					r.AllowedRegions = test.route
				}
				c.Keys[testKey].AllowedRegions = test.workspace
				tb.vm.Configure(c, "test")
				awaitVerifiedPrimary()
				if test.prepare != nil {
					test.prepare(tb)
					clock.Sleep(tb.ctx, 2*time.Second)
				}
				for _, database := range []DatabaseName{boundedDatabase, testDatabase} {
					caller := tb.openSession(database)
					for range 5 {
						began := time.Now()
						for _, s := range []Statement{read("1"), write("1")} {
							a := caller.exec(s)
							_, writes := s.(Write)
							if a.Failure == NoFailure {
								continue
							}
							assert.Equal(t, a.Failure, Busy, a.Detail)
							assert.Assert(t, test.prepare != nil || strings.Contains(a.Detail, "retry-after-ms="), a.Detail)
							assert.Assert(t, writes && test.writes == "" || database == testDatabase && test.writes == "" || test.reads == "", "%T on %s: %s", s, database, a.Detail)
						}
						if test.reads == "" && test.prepare == nil {
							assert.Equal(t, time.Since(began), time.Duration(0), "refused late")
						}
						if caller.exec(Begin{}).Failure == NoFailure {
							caller.exec(write("2"))
							caller.exec(Commit{})
						}
					}
					caller.Close()
				}
				tb.mu.Lock()
				defer tb.mu.Unlock()
				for _, entry := range tb.executed {
					id, _, _ := strings.Cut(entry, " ")
					allowed := test.reads
					if strings.Contains(entry, "WRITE") {
						allowed = test.writes
					}
					assert.Assert(t, strings.Contains(allowed, id), "%s", entry)
				}
				assert.Equal(t, len(tb.executed) > 0, test.reads != "")
			})
		})
	}
}
