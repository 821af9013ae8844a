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

func TestOutageLeft(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	tests := map[string]struct {
		before []time.Duration
		failed bool
		lasted time.Duration
		want   time.Duration
	}{
		"nothing seen yet":              {failed: true, want: replaceFirst},
		"one that goes on":              {failed: true, lasted: ms(1000), want: ms(500)},
		"one that lasts unusually":      {failed: true, lasted: ms(4000), want: ms(1000)},
		"seen before":                   {before: []time.Duration{ms(2000)}, failed: true, lasted: ms(500), want: ms(1500)},
		"failures say nothing of moves": {before: []time.Duration{ms(2000)}, want: findFirst},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			o := &outages{}
			for _, took := range test.before {
				o.ended(true, took)
			}
			assert.Equal(t, o.left(test.failed, test.lasted), test.want)
		})
	}
}

// A primary is silent and nobody replaces it: what can't be served within its time is
// refused at once and told when to return, the rest waits.
func TestNoPrimaryInTime(t *testing.T) {
	play(t, func(r *rig) {
		settle()
		r.on("a", func(s *memServer) { s.fault = func(Command) fault { return breakBefore } })
		// Noticed within 0.5 s, the outage takes 1.5 s as a rule; the request has 0.8 s.
		clock.Sleep(r.ctx, 1300*time.Millisecond)
		c := r.call(testDatabase)
		began := time.Now()
		a := c.do(write("1"))
		assert.Equal(t, a.Failure, Busy)
		assert.Assert(t, time.Since(began) >= 700*time.Millisecond, "it might have been served, but was refused after %s", time.Since(began))
		clock.Sleep(r.ctx, 4*time.Second)
		began = time.Now()
		a = c.do(write("2"))
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
		lead  heartbeat.Lead
		since time.Duration
		want  bool
	}{
		"one VM":          {vms: 1, lead: heartbeat.Lead{Server: "a", Failing: true}},
		"most":            {vms: reportsLeast, lead: heartbeat.Lead{Server: "a", Failing: true}, want: true},
		"another primary": {vms: reportsLeast, lead: heartbeat.Lead{Server: "b", Failing: true}},
		"long ago":        {vms: reportsLeast, lead: heartbeat.Lead{Server: "a", Failing: true}, since: 2 * reportFor},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			play(t, func(r *rig) {
				settle()
				for i := range test.vms {
					r.vm.Heard(heartbeat.Beat{VM: heartbeat.Name(fmt.Sprint(i)), Leads: map[string]heartbeat.Lead{string(testService): test.lead}})
				}
				clock.Sleep(r.ctx, test.since)
				g := r.vm.group(testService)
				g.mu.Lock()
				defer g.mu.Unlock()
				_, failed, absent := g.absence()
				assert.Equal(t, absent, test.want)
				assert.Equal(t, failed, test.want)
			})
		})
	}
}
