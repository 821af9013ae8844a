package failover

import (
	"maps"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a roster that loses a server which may hold the only other copy of a confirmed commit, and against
// servers that stay in it for ever.
func TestReduce(t *testing.T) {
	tests := map[string]struct {
		syncReplicas, configured, replicas int
		gone                               []string
		want                               []string
		wantSyncReplicas                   int
	}{
		"the other replica has all":                   {syncReplicas: 1, configured: 1, replicas: 1, gone: []string{"b"}, want: []string{"a", "c"}, wantSyncReplicas: 1},
		"no other replica has all":                    {syncReplicas: 1, configured: 1, gone: []string{"b"}, want: []string{"a", "b", "c"}, wantSyncReplicas: 1},
		"two confirm, one other replica":              {syncReplicas: 2, configured: 2, replicas: 1, gone: []string{"b"}, want: []string{"a", "b", "c"}, wantSyncReplicas: 2},
		"more replicas confirm, one has all":          {syncReplicas: 1, configured: 2, replicas: 1, gone: []string{"b"}, want: []string{"a", "c"}, wantSyncReplicas: 1},
		"more replicas confirm, as many have all":     {syncReplicas: 1, configured: 2, replicas: 2, want: []string{"a", "b", "c"}, wantSyncReplicas: 2},
		"fewer replicas confirm than before, one has": {syncReplicas: 2, configured: 1, replicas: 1, gone: []string{"b"}, want: []string{"a", "c"}, wantSyncReplicas: 1},
		"none is gone":                                {syncReplicas: 1, configured: 1, replicas: 0, want: []string{"a", "b", "c"}, wantSyncReplicas: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := Roster{SyncReplicas: test.syncReplicas, Servers: map[string]RosterServer{"a": {}, "b": {}, "c": {}}}
			reduced := r.Reduce(test.gone, test.replicas, test.configured)
			assert.DeepEqual(t, slices.Sorted(maps.Keys(reduced.Servers)), test.want)
			assert.Equal(t, reduced.SyncReplicas, test.wantSyncReplicas)
			assert.Equal(t, len(r.Servers), 3, "the roster itself doesn't change")
		})
	}
}

// Guards against a server that is forgotten because another one uses its address although it wasn't passed its log.
func TestSuccessors(t *testing.T) {
	tests := map[string]struct {
		before RosterServer
		listed Listed
		want   []string
	}{
		"drained, its successor is listed": {RosterServer{Address: "x", Leaving: true}, Listed{"b": {Address: "x"}}, nil},
		"drained, no successor yet":        {RosterServer{Address: "x", Leaving: true}, Listed{"b": {Address: "y"}}, []string{"a"}},
		"crashed, its address is reused":   {RosterServer{Address: "x"}, Listed{"b": {Address: "x"}}, []string{"a"}},
		"listed":                           {RosterServer{Address: "x", Leaving: true}, Listed{"a": {Address: "x"}}, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := Roster{Servers: map[string]RosterServer{"a": test.before}}.With(test.listed, 1)
			assert.DeepEqual(t, r.Unlisted(test.listed), test.want)
			_, kept := r.WithoutReplaced(test.listed).Servers["a"]
			_, isListed := test.listed["a"]
			assert.Equal(t, kept, test.want != nil || isListed)
		})
	}
}
