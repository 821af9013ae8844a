package failover

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestChoose guards against the promotion of a server over one with a newer term that may still answer, and
// against a failover that takes longer than it has to.
func TestChoose(t *testing.T) {
	a, b, newer := Replica{Server: "a", Received: LogEnd{1, 10}}, Replica{Server: "b", Received: LogEnd{1, 12}}, Replica{Server: "c", Received: LogEnd{2, 3}}
	old := Replica{Server: "o", Received: LogEnd{1, 14}, OldPrimary: true}
	oldOfNewerTerm := Replica{Server: "o", Received: LogEnd{2, 1}, OldPrimary: true}
	leaving := Replica{Server: "c", Received: LogEnd{2, 3}, Leaving: true}
	tests := map[string]struct {
		e           Election
		want        string
		wantRefusal Refusal
		// wantLate is the server that is chosen after AnswerTime, refusedLate why none is.
		wantLate    string
		refusedLate Refusal
	}{
		"the primary is gone, both replicas answer":          {e: Election{Listed: 3, Replicas: 2, Answered: []Replica{a, b}, NewestTerm: 1}, want: "b", wantLate: "b"},
		"all answer, the old primary has more":               {e: Election{Listed: 3, Replicas: 2, Answered: []Replica{a, b, old}, NewestTerm: 1}, want: "b", wantLate: "b"},
		"one replica and the old primary answer":             {e: Election{Listed: 3, Replicas: 2, Answered: []Replica{a, old}, NewestTerm: 1}, want: "a", wantLate: "a"},
		"one of three answers":                               {e: Election{Listed: 3, Replicas: 2, Answered: []Replica{b}, NewestTerm: 1}, wantRefusal: TooFewServers, wantLate: "b"},
		"one of two answers":                                 {e: Election{Listed: 2, Replicas: 1, Answered: []Replica{b}, NewestTerm: 1}, wantRefusal: TooFewServers, wantLate: "b"},
		"the only listed server answers":                     {e: Election{Listed: 1, Replicas: 1, Answered: []Replica{b}, NewestTerm: 2}, want: "b", wantLate: "b"},
		"two of four answer":                                 {e: Election{Listed: 4, Replicas: 3, Answered: []Replica{a, b}, NewestTerm: 1}, wantRefusal: TooFewServers, wantLate: "b"},
		"none answers":                                       {e: Election{Listed: 3, Replicas: 2}, wantRefusal: TooFewServers, refusedLate: Unconfirmed},
		"two answer, a newer term is known":                  {e: Election{Listed: 3, Replicas: 3, Answered: []Replica{a, b}, NewestTerm: 2}, wantRefusal: OlderTerm, wantLate: "b"},
		"two answer, one has the newer term":                 {e: Election{Listed: 3, Replicas: 3, Answered: []Replica{b, newer}, NewestTerm: 2}, want: "c", wantLate: "c"},
		"all answer, the announced term wasn't created":      {e: Election{Listed: 3, Replicas: 2, Answered: []Replica{a, b, old}, NewestTerm: 2}, want: "b", wantLate: "b"},
		"the old primary answers with a newer term":          {e: Election{Listed: 3, Replicas: 2, Answered: []Replica{a, b, oldOfNewerTerm}, NewestTerm: 2}, wantRefusal: OlderTerm, refusedLate: OlderTerm},
		"only a server that is leaving has the newer term":   {e: Election{Listed: 3, Replicas: 3, Answered: []Replica{a, leaving}, NewestTerm: 2}, want: "c", wantLate: "c"},
		"confirmed commits, one replica and the old primary": {e: Election{Listed: 3, Replicas: 2, Answered: []Replica{a, old}, SyncReplicas: 1}, wantRefusal: Unconfirmed, refusedLate: Unconfirmed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			test.e.SinceFirstAttempt = AnswerTime - time.Millisecond
			chosen, refused := test.e.Choose()
			assert.Equal(t, chosen.Server, test.want)
			assert.Equal(t, refused, test.wantRefusal)
			assert.Equal(t, test.e.IsDecisive(), test.want != "")
			test.e.SinceFirstAttempt = AnswerTime
			chosen, refused = test.e.Choose()
			assert.Equal(t, chosen.Server, test.wantLate)
			assert.Equal(t, refused, test.refusedLate)
			assert.Equal(t, test.e.IsDecisive(), test.want != "", "answers that are missing are awaited within each attempt")
		})
	}
}

// TestSightingCounts guards against a VM that takes those that it hears for the whole fleet after its start
// or a pause, and against VMs lost for good that prevent a replacement for longer than SilentTime.
func TestSightingCounts(t *testing.T) {
	tests := map[string]struct {
		sighting  Sighting
		observing time.Duration
		want      bool
	}{
		"heard":                            {Sighting{Heard: true, Age: time.Second}, time.Hour, true},
		"silent for a while":               {Sighting{Heard: true, Age: SilentTime - 1}, time.Hour, true},
		"lost":                             {Sighting{Heard: true, Age: SilentTime}, time.Hour, false},
		"listed, this VM has just started": {Sighting{}, SilentTime - 1, true},
		"listed, never heard":              {Sighting{}, SilentTime, false},
		"not heard since this VM's pause":  {Sighting{Heard: true, Age: time.Minute}, SilentTime - 1, true},
		"leaving":                          {Sighting{Heard: true, Leaving: true}, time.Second, false},
		"not heard for long after this VM's pause": {Sighting{Heard: true, Age: time.Minute}, SilentTime, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { assert.Equal(t, test.sighting.Counts(test.observing), test.want) })
	}
}
