package proxy

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/heartbeat"
	"github.com/savoryramp/savoryramp/pkg/failover"
	"github.com/savoryramp/savoryramp/pkg/position"
)

// orders carries promotions out in the rig.
type orders struct {
	rig *rig
	// after is how long a promotion takes; refuse has orders fenced off.
	after  time.Duration
	refuse bool
	// lost orders are carried out but not answered.
	lost     bool
	promoted []ServerID
	forgot   int
}

func (o *orders) Token(context.Context, ServiceName) (Token, error) { return 1, nil }
func (o *orders) Forget(ServiceName)                                { o.forgot++ }

func (o *orders) Promote(_ context.Context, _ ServiceName, id ServerID, _ Token) error {
	if o.refuse {
		return ErrFenced.New("a newer token was seen")
	}
	o.promoted = append(o.promoted, id)
	time.AfterFunc(o.after, func() { o.rig.promote(id) })
	if o.lost {
		return ErrOutcomeUnknown.New("no answer")
	}
	return nil
}

func TestReplace(t *testing.T) {
	down := func(s *memServer) { s.fault = func(Command) fault { return breakBefore } }
	tests := map[string]struct {
		verdict failover.Verdict
		before  func(r *rig, o *orders)
		// want is who is ordered to lead, empty for nobody.
		want ServerID
		lead ServerID
		bad  bool
	}{
		"a primary that ended": {verdict: failover.Replace, before: func(r *rig, _ *orders) {
			r.on("a", down)
			r.on("c", func(s *memServer) { s.log = position.Position{Term: 1, Offset: 9} })
		}, want: "c", lead: "c"},
		"the order's answer is lost": {verdict: failover.Replace, before: func(r *rig, o *orders) {
			r.on("a", down)
			o.lost = true
		}, want: "b", lead: "b"},
		"the order is fenced off": {verdict: failover.Replace, before: func(r *rig, o *orders) {
			r.on("a", down)
			o.refuse = true
		}, lead: "a", bad: true},
		"another VM was quicker": {verdict: failover.Replace, before: func(r *rig, _ *orders) {
			r.on("a", down)
			r.promote("c")
		}, lead: "c"},
		"a primary that leaves": {verdict: failover.HandOver, want: "b", lead: "b"},
		"a primary that leaves, and another VM was quicker": {verdict: failover.HandOver, before: func(r *rig, _ *orders) {
			r.promote("c")
		}, lead: "c"},
		"a primary that leaves, and no replica gets all": {verdict: failover.HandOver, before: func(r *rig, _ *orders) {
			for _, id := range []ServerID{"b", "c"} {
				r.on(id, func(s *memServer) { s.deaf = true })
			}
			r.on("a", func(s *memServer) { s.log.Offset = 50 })
		}, lead: "a", bad: true},
		"nobody answers": {verdict: failover.Replace, before: func(r *rig, _ *orders) {
			for id := range r.servers {
				r.on(id, down)
			}
		}, lead: "a", bad: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			play(t, func(r *rig) {
				settle()
				o := &orders{rig: r, after: 300 * time.Millisecond}
				if test.before != nil {
					test.before(r, o)
				}
				g := r.vm.group(testService)
				f := &Failover{VM: r.vm, Promotions: o, Logger: log.NewNopLogger()}
				before := g.members["a"]
				err := f.replace(r.ctx, g, test.verdict, before)
				assert.Equal(t, err != nil, test.bad, "%v", err)
				if test.want == "" {
					assert.Equal(t, len(o.promoted), 0)
				} else {
					assert.DeepEqual(t, o.promoted, []ServerID{test.want})
				}
				settle()
				if test.bad {
					r.mu.Lock()
					defer r.mu.Unlock()
					assert.Equal(t, r.lead, test.lead)
					return
				}
				m, _ := g.leader()
				assert.Assert(t, m != nil)
				assert.Equal(t, m.pool.Server.ID, test.lead)
			})
		})
	}
}

// What another VM says of a new primary is believed, what it says of a failing one isn't.
func TestHeard(t *testing.T) {
	tests := map[string]struct {
		lead heartbeat.Lead
		want ServerID
	}{
		"newer":          {heartbeat.Lead{Server: "b", Term: 2}, "b"},
		"failing":        {heartbeat.Lead{Server: "b", Term: 2, Failing: true}, "a"},
		"of an old term": {heartbeat.Lead{Server: "b", Term: 0}, "a"},
		"not listed":     {heartbeat.Lead{Server: "z", Term: 2}, "a"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			play(t, func(r *rig) {
				settle()
				r.vm.Heard(heartbeat.Beat{VM: "other", Leads: map[string]heartbeat.Lead{string(testService): test.lead}})
				m, _ := r.vm.group(testService).leader()
				assert.Equal(t, m.pool.Server.ID, test.want)
			})
		})
	}
}
