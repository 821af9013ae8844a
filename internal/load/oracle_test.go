package load

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/savoryramp/savoryramp/internal/platform"
)

func TestInside(t *testing.T) {
	ms := time.Millisecond
	tests := map[string]struct {
		rate, burst float64
		at          []time.Duration
		want        []bool
	}{
		"burst is full at the start": {1, 2, []time.Duration{0, 0, 0}, []bool{true, true, false}},
		"a token comes at the rate":  {10, 1, []time.Duration{0, 99 * ms, 100 * ms}, []bool{true, false, true}},
		"never more than the burst":  {10, 1, []time.Duration{time.Minute, time.Minute}, []bool{true, false}},
		"one refused takes no token": {10, 1, []time.Duration{0, 50 * ms, 100 * ms, 200 * ms}, []bool{true, false, true, true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.DeepEqual(t, inside(test.at, test.rate, test.burst), test.want)
		})
	}
}

func TestOverAdmitted(t *testing.T) {
	s := time.Second
	tests := map[string]struct {
		rate, burst float64
		admitted    []Span
		want        int
	}{
		"none":                           {1, 1, nil, 0},
		"within the burst":               {1, 2, []Span{{0, 0}, {0, 0}}, 0},
		"one over the burst":             {1, 2, []Span{{0, 0}, {0, 0}, {0, 0}}, 1},
		"waited for the token":           {1, 2, []Span{{0, s}, {0, s}, {0, s}}, 0},
		"the earliest end goes first":    {1, 1, []Span{{0, 2 * s}, {0, 0}, {0, s}}, 0},
		"one too late":                   {1, 1, []Span{{0, s}, {0, 0}, {0, s}}, 1},
		"a quiet time fills to the cap":  {1, 2, []Span{{0, 0}, {9 * s, 9 * s}, {9 * s, 9 * s}, {9 * s, 9 * s}}, 1},
		"one that is late takes nothing": {1, 1, []Span{{0, 0}, {0, 0}, {s, s}}, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, OverAdmitted(test.admitted, test.rate, test.burst), test.want)
		})
	}
}

// What a bucket admitted is never called over, however loosely the times are known.
func TestOverAdmittedAllowsWhatABucketAdmits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate, burst := float64(rapid.IntRange(1, 50).Draw(t, "rate")), float64(rapid.IntRange(1, 20).Draw(t, "burst"))
		var arrivals []time.Duration
		for _, gap := range rapid.SliceOfN(rapid.IntRange(0, 200), 0, 200).Draw(t, "gaps in ms") {
			arrivals = append(arrivals, time.Duration(gap)*time.Millisecond)
		}
		for i := 1; i < len(arrivals); i++ {
			arrivals[i] += arrivals[i-1]
		}
		var admitted []Span
		for i, in := range inside(arrivals, rate, burst) {
			if in {
				early := time.Duration(rapid.IntRange(0, 100).Draw(t, "early")) * time.Millisecond
				late := time.Duration(rapid.IntRange(0, 100).Draw(t, "late")) * time.Millisecond
				admitted = append(admitted, Span{max(0, arrivals[i]-early), arrivals[i] + late})
			}
		}
		assert.Equal(t, OverAdmitted(admitted, rate, burst), 0)
	})
}

func TestFairShares(t *testing.T) {
	tests := map[string]struct {
		capacity float64
		claims   []claim
		want     map[platform.WorkspaceName]float64
	}{
		"enough for all": {100, []claim{{"a", 1, 30}, {"b", 1, 60}}, map[platform.WorkspaceName]float64{"a": 30, "b": 60}},
		"equal weights":  {100, []claim{{"a", 1, 900}, {"b", 1, 90}}, map[platform.WorkspaceName]float64{"a": 50, "b": 50}},
		"by weight":      {100, []claim{{"a", 3, 900}, {"b", 1, 90}}, map[platform.WorkspaceName]float64{"a": 75, "b": 25}},
		"the rest is shared": {
			100,
			[]claim{{"a", 1, 10}, {"b", 1, 900}, {"c", 2, 900}},
			map[platform.WorkspaceName]float64{"a": 10, "b": 30, "c": 60},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.DeepEqual(t, fairShares(test.claims, test.capacity), test.want)
		})
	}
}

func TestFailoverGap(t *testing.T) {
	s := time.Second
	write := func(at, done time.Duration, o Outcome) Result {
		return Result{Request: Request{Kind: Write, At: at}, Done: done, Outcome: o}
	}
	tests := map[string]struct {
		cut     time.Duration
		results []Result
		want    Milliseconds
	}{
		"no cut":             {-1, []Result{write(0, s, Answered)}, 0},
		"one gap":            {s, []Result{write(0, s, Answered), write(2*s, 4*s, Answered), write(5*s, 5*s, Answered)}, 3000},
		"refusals don't end": {s, []Result{write(0, s, Answered), write(2*s, 2*s, Refused), write(5*s, 5*s, Answered)}, 4000},
		"never again":        {s, []Result{write(0, s, Answered), write(9*s, 11*s, Unknown)}, 8000},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, failoverGap(test.results, test.cut), test.want)
		})
	}
}

func TestDemandIsThatOfItsSeed(t *testing.T) {
	d := &platform.Document{
		Upstreams: []platform.Upstream{{Name: "u"}},
		Databases: []platform.Database{{Name: "receipts", Upstream: "u"}, {Name: "elsewhere", Upstream: "v"}},
		Workspaces: []platform.Workspace{
			{Name: "a", Rate: 100, Databases: []platform.DatabaseName{"receipts", "elsewhere"}},
			{Name: "b", Rate: 20, Databases: []platform.DatabaseName{"receipts"}},
			{Name: "c", Rate: 20, Databases: []platform.DatabaseName{"elsewhere"}},
		},
	}
	for _, s := range Scenarios() {
		t.Run(string(s.Name), func(t *testing.T) {
			list := Demand(s, d, 7, time.Minute)
			assert.DeepEqual(t, list, Demand(s, d, 7, time.Minute))
			assert.Assert(t, !slices.Equal(list, Demand(s, d, 8, time.Minute)))
			surge := 0
			for i, r := range list {
				assert.Equal(t, r.ID, RequestID(i+1))
				assert.Equal(t, r.Database, platform.DatabaseName("receipts"))
				assert.Assert(t, r.Workspace != "c")
				surge += one(r.Workspace == "b")
			}
			// Of 60 s at 20/s, a part at Load and the time of the surge at Surge.
			length := s.SurgeTo - s.SurgeFrom
			mean := 60 * 20 * (s.Load*(1-length) + s.Surge*length)
			assert.Assert(t, float64(surge) > 0.7*mean && float64(surge) < 1.3*mean, "%d against %.0f", surge, mean)
		})
	}
}
