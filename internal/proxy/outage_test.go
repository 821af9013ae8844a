package proxy

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"
	"github.com/savoryramp/savoryramp/internal/heartbeat"

	"gotest.tools/v3/assert"
)

func TestOutageRemaining(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	tests := map[string]struct {
		before []time.Duration
		failed bool
		lasted time.Duration
		want   time.Duration
	}{
		"nothing seen yet":              {failed: true, want: initialReplacementTime},
		"one that goes on":              {failed: true, lasted: ms(1000), want: ms(500)},
		"one that lasts unusually":      {failed: true, lasted: ms(4000), want: ms(1000)},
		"seen before":                   {before: []time.Duration{ms(2000)}, failed: true, lasted: ms(500), want: ms(1500)},
		"failures say nothing of moves": {before: []time.Duration{ms(2000)}, want: initialDiscoveryTime},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			o := &outageEstimator{}
			for _, took := range test.before {
				o.record(true, took)
			}
			assert.Equal(t, o.remaining(test.failed, test.lasted), test.want)
		})
	}
}

// A primary is silent and nobody replaces it: what can't be served within its time is
// refused at once and told when to return, the rest waits.
func TestNoPrimaryInTime(t *testing.T) {
	runTest(t, func(tb *testbed) {
		awaitVerifiedPrimary()
		tb.changeServer("a", func(s *memServer) { s.fault = func(Command) fault { return breakBefore } })
		// Noticed within 0.5 s, the outage takes 1.5 s as a rule; the request has 0.8 s.
		clock.Sleep(tb.ctx, 1300*time.Millisecond)
		c := tb.openSession(testDatabase)
		began := time.Now()
		a := c.exec(write("1"))
		assert.Equal(t, a.Failure, Busy)
		assert.Assert(t, time.Since(began) >= 700*time.Millisecond, "it might have been served, but was refused after %s", time.Since(began))
		clock.Sleep(tb.ctx, 4*time.Second)
		began = time.Now()
		a = c.exec(write("2"))
		assert.Equal(t, a.Failure, Busy)
		assert.Assert(t, time.Since(began) < 10*time.Millisecond, "%s", time.Since(began))
		assert.Assert(t, strings.Contains(a.Detail, "retry-after-ms=1"), "%s", a.Detail)
		c.Close()
	})
}

// VMs that don't watch a primary believe those that do once enough of them say that it
// fails, and believe in it again soon after they stop saying so.
func TestReportedFailure(t *testing.T) {
	tests := map[string]struct {
		vms   int
		lead  heartbeat.PrimaryObservation
		since time.Duration
		want  bool
	}{
		"one VM":          {vms: 1, lead: heartbeat.PrimaryObservation{Server: "a", Failing: true}},
		"most":            {vms: minFailureReports, lead: heartbeat.PrimaryObservation{Server: "a", Failing: true}, want: true},
		"another primary": {vms: minFailureReports, lead: heartbeat.PrimaryObservation{Server: "b", Failing: true}},
		"long ago":        {vms: minFailureReports, lead: heartbeat.PrimaryObservation{Server: "a", Failing: true}, since: 2 * failureReportTTL},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runTest(t, func(tb *testbed) {
				awaitVerifiedPrimary()
				for i := range test.vms {
					tb.vm.ObserveBeat(heartbeat.Message{VM: heartbeat.VMName(fmt.Sprint(i)), Observations: map[string]heartbeat.PrimaryObservation{string(testService): test.lead}})
				}
				clock.Sleep(tb.ctx, test.since)
				g := tb.vm.group(testService)
				g.mu.Lock()
				defer g.mu.Unlock()
				_, failed, absent := g.primaryOutage()
				assert.Equal(t, absent, test.want)
				assert.Equal(t, failed, test.want)
			})
		})
	}
}
