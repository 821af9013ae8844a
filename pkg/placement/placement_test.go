package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Each use of a server in a zone that is being evacuated, in the grace and after it. A wrong entry
// sends work to a zone that is about to lose power, or refuses work that could run.
func TestEvacuationAllows(t *testing.T) {
	e := Evacuation{Bound: 5 * time.Second}
	all := []Use{Read, Lead, Continue, Verify, Control, Connect, Promote}
	tests := map[string]struct {
		server Server
		want   []Use
	}{
		"zone in use":                       {Server{}, all},
		"zone in use, primary":              {Server{Primary: true}, all},
		"replica, just evacuated":           {Server{Evacuated: true}, []Use{Continue}},
		"replica, grace over":               {Server{Evacuated: true, Elapsed: 3 * time.Second}, nil},
		"primary, just evacuated":           {Server{Evacuated: true, Primary: true}, []Use{Lead, Continue, Verify, Control}},
		"primary, end of the grace":         {Server{Evacuated: true, Primary: true, Elapsed: 3*time.Second - 1}, []Use{Lead, Continue, Verify, Control}},
		"primary, grace over":               {Server{Evacuated: true, Primary: true, Elapsed: 3 * time.Second}, nil},
		"primary, no server elsewhere":      {Server{Evacuated: true, Primary: true, Alone: true}, []Use{Continue, Verify, Control}},
		"primary, alone and the grace over": {Server{Evacuated: true, Primary: true, Alone: true, Elapsed: time.Hour}, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var allowed []Use
			for _, u := range all {
				if e.Allows(test.server, u) {
					allowed = append(allowed, u)
				}
			}
			assert.DeepEqual(t, allowed, test.want)
		})
	}
}

func TestHandsOver(t *testing.T) {
	e := Evacuation{Bound: 5 * time.Second}
	tests := map[string]struct {
		server Server
		want   bool
	}{
		"zone in use":         {Server{Primary: true}, false},
		"primary evacuated":   {Server{Evacuated: true, Primary: true}, true},
		"replica evacuated":   {Server{Evacuated: true}, false},
		"no server elsewhere": {Server{Evacuated: true, Primary: true, Alone: true}, false},
		"grace over":          {Server{Evacuated: true, Primary: true, Elapsed: 4 * time.Second}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { assert.Equal(t, e.HandsOver(test.server), test.want) })
	}
}

// A refusal's retry time must be one at which the request may be served: the end of the grace while
// the role is being handed over.
func TestRetryAfter(t *testing.T) {
	e := Evacuation{Bound: 5 * time.Second}
	tests := map[string]struct {
		server Server
		want   time.Duration
	}{
		"hand-over under way":   {Server{Evacuated: true, Primary: true, Elapsed: time.Second}, 2 * time.Second},
		"no server elsewhere":   {Server{Evacuated: true, Alone: true}, minRetry},
		"evacuated for a while": {Server{Evacuated: true, Elapsed: 20 * time.Second}, 5 * time.Second},
		"evacuated for hours":   {Server{Evacuated: true, Elapsed: 9 * time.Hour}, maxRetry},
		"just begun":            {Server{Evacuated: true}, 3 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { assert.Equal(t, e.RetryAfter(test.server), test.want) })
	}
	assert.Equal(t, Evacuation{Bound: time.Second}.Grace(), time.Duration(0))
}
