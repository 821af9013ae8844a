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
type fakePromoter struct {
	testbed *testbed
	// after is how long a promotion takes; refuse has orders fenced off.
	delay     time.Duration
	fencedOff bool
	// lost orders are carried out but not answered.
	answerLost bool
	promoted   []ServerID
	discarded  int
}

func (p *fakePromoter) AcquireToken(context.Context, ServiceName) (Token, error) { return 1, nil }
func (p *fakePromoter) DiscardToken(ServiceName)                                 { p.discarded++ }

func (p *fakePromoter) Promote(_ context.Context, _ ServiceName, id ServerID, _ Token) error {
	if p.fencedOff {
		return ErrFenced.New("a newer token was seen")
	}
	p.promoted = append(p.promoted, id)
	time.AfterFunc(p.delay, func() { p.testbed.promote(id) })
	if p.answerLost {
		return ErrOutcomeUnknown.New("no answer")
	}
	return nil
}

func TestReplacePrimary(t *testing.T) {
	down := func(s *memServer) { s.fault = func(Command) fault { return breakBefore } }
	tests := map[string]struct {
		verdict failover.Decision
		before  func(tb *testbed, promoter *fakePromoter)
		// want is who is ordered to lead, empty for nobody.
		want ServerID
		lead ServerID
		bad  bool
	}{
		"a primary that ended": {verdict: failover.Replace, before: func(tb *testbed, _ *fakePromoter) {
			tb.changeServer("a", down)
			tb.changeServer("c", func(s *memServer) { s.log = position.Position{Term: 1, Offset: 9} })
		}, want: "c", lead: "c"},
		"the order's answer is lost": {verdict: failover.Replace, before: func(tb *testbed, promoter *fakePromoter) {
			tb.changeServer("a", down)
			promoter.answerLost = true
		}, want: "b", lead: "b"},
		"the order is fenced off": {verdict: failover.Replace, before: func(tb *testbed, promoter *fakePromoter) {
			tb.changeServer("a", down)
			promoter.fencedOff = true
		}, lead: "a", bad: true},
		"another VM was quicker": {verdict: failover.Replace, before: func(tb *testbed, _ *fakePromoter) {
			tb.changeServer("a", down)
			tb.promote("c")
		}, lead: "c"},
		"a primary that leaves": {verdict: failover.HandOver, want: "b", lead: "b"},
		"a primary that leaves, and another VM was quicker": {verdict: failover.HandOver, before: func(tb *testbed, _ *fakePromoter) {
			tb.promote("c")
		}, lead: "c"},
		"a primary that leaves, and no replica gets all": {verdict: failover.HandOver, before: func(tb *testbed, _ *fakePromoter) {
			for _, id := range []ServerID{"b", "c"} {
				tb.changeServer(id, func(s *memServer) { s.notReceiving = true })
			}
			tb.changeServer("a", func(s *memServer) { s.log.Offset = 50 })
		}, lead: "a", bad: true},
		"nobody answers": {verdict: failover.Replace, before: func(tb *testbed, _ *fakePromoter) {
			for id := range tb.servers {
				tb.changeServer(id, down)
			}
		}, lead: "a", bad: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runTest(t, func(tb *testbed) {
				awaitVerifiedPrimary()
				promoter := &fakePromoter{testbed: tb, delay: 300 * time.Millisecond}
				if test.before != nil {
					test.before(tb, promoter)
				}
				g := tb.vm.group(testService)
				f := &Failover{VM: tb.vm, Promoter: promoter, Logger: log.NewNopLogger()}
				oldPrimary := g.members["a"]
				err := f.replacePrimary(tb.ctx, g, test.verdict, oldPrimary)
				assert.Equal(t, err != nil, test.bad, "%v", err)
				if test.want == "" {
					assert.Equal(t, len(promoter.promoted), 0)
				} else {
					assert.DeepEqual(t, promoter.promoted, []ServerID{test.want})
				}
				awaitVerifiedPrimary()
				if test.bad {
					tb.mu.Lock()
					defer tb.mu.Unlock()
					assert.Equal(t, tb.primary, test.lead)
					return
				}
				m, _ := g.currentPrimary()
				assert.Assert(t, m != nil)
				assert.Equal(t, m.pool.Server.ID, test.lead)
			})
		})
	}
}

// What another VM says of a new primary is believed, what it says of a failing one isn't.
func TestObserveBeat(t *testing.T) {
	tests := map[string]struct {
		lead heartbeat.PrimaryObservation
		want ServerID
	}{
		"newer":          {heartbeat.PrimaryObservation{Server: "b", Term: 2}, "b"},
		"failing":        {heartbeat.PrimaryObservation{Server: "b", Term: 2, Failing: true}, "a"},
		"of an old term": {heartbeat.PrimaryObservation{Server: "b", Term: 0}, "a"},
		"not listed":     {heartbeat.PrimaryObservation{Server: "z", Term: 2}, "a"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runTest(t, func(tb *testbed) {
				awaitVerifiedPrimary()
				tb.vm.ObserveBeat(heartbeat.Message{VM: "other", Observations: map[string]heartbeat.PrimaryObservation{string(testService): test.lead}})
				m, _ := tb.vm.group(testService).currentPrimary()
				assert.Equal(t, m.pool.Server.ID, test.want)
			})
		})
	}
}
