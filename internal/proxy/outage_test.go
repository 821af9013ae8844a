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
		"no previous outage":                   {failed: true, want: initialReplacementTime},
		"part of the expected time has passed": {failed: true, lasted: ms(1000), want: ms(500)},
		"longer than expected":                 {failed: true, lasted: ms(4000), want: ms(1000)},
		"after a previous outage":              {before: []time.Duration{ms(2000)}, failed: true, lasted: ms(500), want: ms(1500)},
		"failures don't affect the estimate for other changes of the primary": {before: []time.Duration{ms(2000)}, want: initialDiscoveryTime},
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

// The primary is silent and isn't replaced. Requests that can't be served within their deadline
// are refused at once with the time after which to retry, the others wait.
func TestRefusalsDuringOutage(t *testing.T) {
	runTest(t, func(tb *testbed) {
		awaitVerifiedPrimary()
		tb.onServer("a", func(s *memServer) { s.fault = func(Command) fault { return breakBefore } })
		// The failure is noticed within 0.5 s, an outage is expected to take 1.5 s, and the
		// request has 0.8 s.
		clock.Sleep(tb.ctx, 1300*time.Millisecond)
		c := tb.openSession(testDatabase)
		began := time.Now()
		a := c.exec(write("1"))
		assert.Equal(t, a.Failure, Busy)
		assert.Assert(t, time.Since(began) >= 700*time.Millisecond, "the request could have been served, but was refused after %s", time.Since(began))
		clock.Sleep(tb.ctx, 4*time.Second)
		began = time.Now()
		a = c.exec(write("2"))
		assert.Equal(t, a.Failure, Busy)
		assert.Assert(t, time.Since(began) < 10*time.Millisecond, "%s", time.Since(began))
		assert.Assert(t, strings.Contains(a.Detail, "retry-after-ms=1"), "%s", a.Detail)
		c.Close()
	})
}

// A VM that has seen no failure itself expects an outage while enough other VMs report that the
// primary fails, and no longer than failureReportTTL after the reports end.
func TestReportedFailure(t *testing.T) {
	tests := map[string]struct {
		vms         int
		observation heartbeat.PrimaryObservation
		since       time.Duration
		want        bool
	}{
		"one VM":                     {vms: 1, observation: heartbeat.PrimaryObservation{Server: "a", Failing: true}},
		"most":                       {vms: minFailureReports, observation: heartbeat.PrimaryObservation{Server: "a", Failing: true}, want: true},
		"another server is reported": {vms: minFailureReports, observation: heartbeat.PrimaryObservation{Server: "b", Failing: true}},
		"reports have expired":       {vms: minFailureReports, observation: heartbeat.PrimaryObservation{Server: "a", Failing: true}, since: 2 * failureReportTTL},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runTest(t, func(tb *testbed) {
				awaitVerifiedPrimary()
				for i := range test.vms {
					tb.vm.ObserveHeartbeat(heartbeat.Message{VM: heartbeat.VMName(fmt.Sprint(i)), Observations: map[string]heartbeat.PrimaryObservation{string(testService): test.observation}})
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

// TestFailedPrimaryIsTriedAgain guards against a VM that refuses all requests for a primary that
// works: its own connections to the primary had failed, and only verifiers, of which it is none, tried
// the primary again.
func TestFailedPrimaryIsTriedAgain(t *testing.T) {
	runTestWith(t, func(vm *VM) { vm.Fleet = nonVerifierFleet{40, true} }, func(tb *testbed) {
		clock.Sleep(tb.ctx, time.Second)
		c := tb.openSession(testDatabase)
		defer c.Close()
		assert.Check(t, c.exec(write("1")).Succeeded())
		g := tb.vm.group(testService)
		g.recordFailure("a", ErrTimeout.New("no answer"), true)
		clock.Sleep(tb.ctx, minFailureDuration+100*time.Millisecond)
		g.recordFailure("a", ErrTimeout.New("no answer"), true)
		a := c.exec(write("2"))
		for began := time.Now(); !a.Succeeded() && time.Since(began) < 2*verifyInterval; a = c.exec(write("3")) {
			clock.Sleep(tb.ctx, 100*time.Millisecond)
		}
		assert.Check(t, a.Succeeded(), "%s %s", a.Failure, a.Detail)
	})
}
