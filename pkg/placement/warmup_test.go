package placement

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// warmup is the rule of the platform's settings.
var warmup = Warmup{Overshoot: 1.5, Tolerance: 5}

// largestSecond returns the most events in any second.
func largestSecond(at []time.Duration) int {
	slices.Sort(at)
	largest, first := 0, 0
	for i, t := range at {
		for t-at[first] >= time.Second {
			first++
		}
		largest = max(largest, i-first+1)
	}
	return largest
}

// A cold server that gets more than its limit stays cold or fails. The load asks for far more than
// that, of VMs that are the sender as each case says.
func TestColdServerLimit(t *testing.T) {
	const perSecond, length = 10.0, 20 * time.Second
	always := func(time.Duration) bool { return true }
	tests := map[string]struct {
		// isSender reports for each VM whether it takes itself for the sender at a time.
		isSender []func(at time.Duration) bool
		// least and most bound what the server gets in all.
		least, most int
	}{
		"one sender":   {[]func(time.Duration) bool{always}, 130, 150},
		"no sender":    {[]func(time.Duration) bool{func(time.Duration) bool { return false }}, 0, 0},
		"two, cut off": {[]func(time.Duration) bool{always, always}, 260, 300},
		"a sender that changes each second": {[]func(time.Duration) bool{
			func(at time.Duration) bool { return at/time.Second%2 == 0 },
			func(at time.Duration) bool { return at/time.Second%2 == 1 },
		}, 0, 0},
		"a sender that is replaced": {[]func(time.Duration) bool{
			func(at time.Duration) bool { return at < 10*time.Second },
			func(at time.Duration) bool { return at >= 10*time.Second },
		}, 110, 150},
		"a sender that starts again twice in a second": {[]func(time.Duration) bool{
			func(at time.Duration) bool { return at%(5*time.Second) > 100*time.Millisecond },
		}, 90, 150},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 1))
			vms := make([]Sender, len(test.isSender))
			var sent, arrived []time.Duration
			for now := time.Duration(0); now < length; now += time.Millisecond {
				for i, isSender := range test.isSender {
					vms[i].Update(now, isSender(now))
					if vms[i].Take(now, warmup.Limit(perSecond)) == 0 {
						sent = append(sent, now)
						arrived = append(arrived, now+time.Duration(random.IntN(50))*time.Millisecond)
					}
				}
			}
			allowed := int(perSecond*warmup.Overshoot + warmup.Tolerance)
			assert.Assert(t, largestSecond(sent) <= allowed, "sent %d", largestSecond(sent))
			assert.Assert(t, largestSecond(arrived) <= allowed, "arrived %d", largestSecond(arrived))
			assert.Assert(t, len(sent) >= test.least && len(sent) <= test.most, "%d in all", len(sent))
		})
	}
}

// A refusal tells the time of the next token: not earlier, or callers come for nothing.
func TestNextToken(t *testing.T) {
	tests := map[string]struct {
		now, want time.Duration
	}{
		"just become the sender": {0, senderDelay + 100*time.Millisecond},
		"before the start":       {senderDelay / 2, senderDelay/2 + 100*time.Millisecond},
		"first token half full":  {senderDelay + 50*time.Millisecond, 50 * time.Millisecond},
		"first token":            {senderDelay + 101*time.Millisecond, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var s Sender
			s.Update(0, true)
			l := Limit{PerSecond: 10, Burst: 2}
			wait := s.Take(test.now, l)
			assert.Equal(t, wait.Round(time.Millisecond), test.want)
			if wait > 0 {
				assert.Assert(t, s.Take(test.now+wait-2*time.Microsecond, l) > 0)
				assert.Equal(t, s.Take(test.now+wait, l), time.Duration(0))
			}
		})
	}
}
