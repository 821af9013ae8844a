package placement

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A statement must not leave the regions that its route and its workspace allow.
func TestRegionsAllow(t *testing.T) {
	set := func(names ...Region) map[Region]bool {
		s := map[Region]bool{}
		for _, name := range names {
			s[name] = true
		}
		return s
	}
	tests := map[string]struct {
		regions      Regions
		north, south bool
		unknown      bool
		limitsAtAll  bool
	}{
		"neither is set":              {regions: Regions{}, north: true, south: true, unknown: true},
		"the route's":                 {regions: Regions{Route: set("north")}, north: true, limitsAtAll: true},
		"the workspace's":             {regions: Regions{Workspace: set("south")}, south: true, limitsAtAll: true},
		"both":                        {regions: Regions{Route: set("north", "south"), Workspace: set("south")}, south: true, limitsAtAll: true},
		"nothing in common":           {regions: Regions{Route: set("north"), Workspace: set("south")}, limitsAtAll: true},
		"a region that isn't known":   {regions: Regions{Route: set("east")}, limitsAtAll: true},
		"an empty name in the list":   {regions: Regions{Route: set("")}, limitsAtAll: true},
		"an empty set allows nothing": {regions: Regions{Route: set()}, limitsAtAll: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.regions.Allow("north"), test.north)
			assert.Equal(t, test.regions.Allow("south"), test.south)
			assert.Equal(t, test.regions.Allow(""), test.unknown)
			assert.Equal(t, test.regions.IsLimited(), test.limitsAtAll)
		})
	}
}
