package upstream

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/pkg/position"
)

func TestReplicaLagTimeToApply(t *testing.T) {
	ms := time.Millisecond
	start := time.Unix(1000, 0)
	// The log reached 10 at 0 ms, 20 at 100 ms, 30 at 200 ms.
	var timeline logTimeline
	for i, o := range []position.Offset{10, 20, 20, 15, 30} {
		timeline.record(o, start.Add([]time.Duration{0, 100, 150, 160, 200}[i]*ms))
	}
	tests := map[string]struct {
		usual          time.Duration
		applied, floor position.Offset
		now            time.Duration
		want           time.Duration
	}{
		"already applied":                     {5 * ms, 30, 30, 300 * ms, 0},
		"expected after the typical lag":      {8 * ms, 20, 30, 201 * ms, 7 * ms},
		"between two timeline entries":        {8 * ms, 20, 25, 201 * ms, 7 * ms},
		"not in the timeline yet":             {8 * ms, 30, 31, 201 * ms, 8 * ms},
		"waits longer than the typical lag":   {8 * ms, 10, 30, 201 * ms, 100 * ms},
		"no observation and nothing to apply": {0, 30, 31, 300 * ms, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := replicaLag{typical: test.usual}
			assert.Equal(t, l.timeToApply(&timeline, test.applied, test.floor, start.Add(test.now)), test.want)
		})
	}
}

func TestReplicaLagObserve(t *testing.T) {
	now := time.Unix(1000, 0)
	var timeline logTimeline
	timeline.record(10, now)
	var l replicaLag
	l.observe(&timeline, 10, now.Add(10*time.Millisecond))
	assert.Equal(t, l.typical, 10*time.Millisecond)
	l.observe(&timeline, 10, now.Add(20*time.Millisecond))
	assert.Equal(t, l.typical, 12*time.Millisecond)
	timeline.reset()
	assert.Equal(t, timeline.reachedAt(10, now), now)
}

func TestLogTimelineIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	var timeline logTimeline
	for o := range position.Offset(3 * maxTimelineEntries) {
		timeline.record(o+1, now.Add(time.Duration(o)))
	}
	assert.Assert(t, len(timeline.entries) <= maxTimelineEntries)
	assert.Equal(t, timeline.reachedAt(3*maxTimelineEntries, now), now.Add(3*maxTimelineEntries-1))
}
