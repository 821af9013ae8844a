package proxy

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/clock"
	"github.com/savoryramp/savoryramp/internal/heartbeat"
	"github.com/savoryramp/savoryramp/pkg/failover"
	"github.com/savoryramp/savoryramp/pkg/position"
)

func isDown(s *memServer)    { s.fault = func(Command) fault { return breakBefore } }
func isHanging(s *memServer) { s.fault = func(Command) fault { return loseAnswer } }

// slowToAnswer makes a server refuse the first status queries of each test.
func slowToAnswer(d time.Duration) func(s *memServer) {
	began := time.Now()
	return func(s *memServer) {
		s.fault = func(c Command) fault {
			if _, isStatus := c.(QueryStatus); isStatus && time.Since(began) < d {
				return loseAnswer
			}
			return faultNone
		}
	}
}

// TestAnswersBeforePromotion guards against the promotion of a server that lacks a newer term which another
// one has, or which was announced, and against a failover that waits for more than it needs.
func TestAnswersBeforePromotion(t *testing.T) {
	logEnd := func(term position.Term, offset position.Offset) func(s *memServer) {
		return func(s *memServer) { s.logEnd = position.Position{Term: term, Offset: offset} }
	}
	tests := map[string]struct {
		prepare func(tb *testbed, promoter *fakePromoter)
		// since is the time since the first attempt.
		since time.Duration
		// want is the server that is promoted, or empty for none, and within is the time until then.
		want    ServerID
		wantErr bool
		within  time.Duration
	}{
		"the primary hangs, both replicas answer": {
			prepare: func(tb *testbed, _ *fakePromoter) { tb.onServer("a", isHanging) }, want: "b", within: 60 * time.Millisecond,
		},
		"the primary is down, both replicas answer": {
			prepare: func(tb *testbed, _ *fakePromoter) { tb.onServer("a", isDown) }, want: "b", within: 60 * time.Millisecond,
		},
		"one of three answers": {prepare: func(tb *testbed, _ *fakePromoter) {
			tb.onServer("a", isDown)
			tb.onServer("b", isHanging)
		}, wantErr: true},
		"one of three answers for long": {prepare: func(tb *testbed, _ *fakePromoter) {
			tb.onServer("a", isDown)
			tb.onServer("b", isHanging)
		}, since: failover.AnswerTime, want: "c", within: askTime + 60*time.Millisecond},
		"the replica with the longer log is slow": {prepare: func(tb *testbed, _ *fakePromoter) {
			tb.onServer("a", isDown)
			tb.onServer("b", slowToAnswer(200*time.Millisecond))
			tb.onServer("b", logEnd(1, 30))
			tb.onServer("c", logEnd(1, 20))
		}, want: "b", within: askTime},
		"the only one with a newer term is slow": {prepare: func(tb *testbed, promoter *fakePromoter) {
			tb.onServer("a", isDown)
			tb.onServer("c", slowToAnswer(500*time.Millisecond))
			tb.onServer("c", logEnd(2, 5))
			promoter.announced = 2
		}, want: "c", within: 2 * askTime},
		"a newer term was announced that no server has": {prepare: func(tb *testbed, promoter *fakePromoter) {
			tb.onServer("a", isDown)
			promoter.announced = 2
		}, wantErr: true},
		"another VM has told of a newer term": {prepare: func(tb *testbed, _ *fakePromoter) {
			tb.onServer("a", isDown)
			tb.vm.ObserveHeartbeat(heartbeat.Message{VM: "other", Observations: map[string]heartbeat.PrimaryObservation{
				string(testService): {Server: "unlisted", Term: 3, Failing: true},
			}})
		}, wantErr: true},
		"all servers answer, the announced term wasn't created": {
			prepare: func(_ *testbed, promoter *fakePromoter) { promoter.announced = 2 }, want: "b", within: 100 * time.Millisecond,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runTest(t, func(tb *testbed) {
				awaitVerifiedPrimary()
				clock.Sleep(tb.ctx, 300*time.Millisecond)
				promoter := &fakePromoter{testbed: tb}
				test.prepare(tb, promoter)
				g := tb.vm.group(testService)
				f := &Failover{VM: tb.vm, Promoter: promoter, Logger: log.NewNopLogger()}
				defer f.attempts.Wait()
				began := time.Now()
				var orderedAfter time.Duration
				promoter.onPromote = func() { orderedAfter = time.Since(began) }
				a := attempt{group: g, decision: failover.Replace, oldPrimary: g.members["a"], first: began.Add(-test.since), stands: func() bool { return true }}
				err := f.replacePrimary(tb.ctx, a)
				assert.Equal(t, err != nil, test.wantErr, "%v", err)
				if test.want == "" {
					assert.Equal(t, len(promoter.promoted), 0)
					assert.Check(t, isType(err, ErrNotPromotable), "%v", err)
					return
				}
				assert.DeepEqual(t, promoter.promoted, []ServerID{test.want})
				assert.Check(t, orderedAfter <= test.within, "ordered after %s", orderedAfter)
			})
		})
	}
}

// TestDecisionIsCheckedAgain guards against an order after the reason for it has gone: while the token was
// awaited, or while servers were asked again.
func TestDecisionIsCheckedAgain(t *testing.T) {
	tests := map[string]struct {
		during  func(tb *testbed, stands *bool)
		wantErr bool
	}{
		"the decision no longer stands": {func(_ *testbed, stands *bool) { *stands = false }, true},
		"another VM has promoted a server": {func(tb *testbed, _ *bool) {
			tb.vm.ObserveHeartbeat(heartbeat.Message{VM: "other", Observations: map[string]heartbeat.PrimaryObservation{
				string(testService): {Server: "c", Term: 2},
			}})
		}, false},
		"another VM has promoted a server and told nobody": {func(tb *testbed, _ *bool) {
			tb.promote("c")
			clock.Sleep(tb.ctx, time.Second)
		}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runTest(t, func(tb *testbed) {
				awaitVerifiedPrimary()
				tb.onServer("a", isDown)
				stands := true
				promoter := &fakePromoter{testbed: tb, onAcquire: func() { test.during(tb, &stands) }}
				g := tb.vm.group(testService)
				f := &Failover{VM: tb.vm, Promoter: promoter, Logger: log.NewNopLogger()}
				defer f.attempts.Wait()
				err := f.replacePrimary(tb.ctx, attempt{group: g, decision: failover.Replace, oldPrimary: g.members["a"], first: time.Now(), stands: func() bool { return stands }})
				assert.Equal(t, err != nil, test.wantErr, "%v", err)
				assert.Equal(t, len(promoter.promoted), 0)
				assert.DeepEqual(t, promoter.acquired, []position.Term{2})
			})
		})
	}
}
