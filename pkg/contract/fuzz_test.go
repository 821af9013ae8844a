package contract

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// manualClock is a clock that only the test advances.
type manualClock struct{ at time.Time }

func (c *manualClock) now() time.Time { return c.at }

// newTestShares returns valid shares of a rate and a count, without peers or a table.
func newTestShares(c *manualClock) *Shares {
	s := &Shares{Self: Holder{"vm-1", 1}, Now: c.now}
	s.SetLimits(map[Name]Limit{"rate": Rate{PerSecond: 100, Burst: 10}, "count": Count{Total: 10}})
	s.Adopt(Row{Version: 1, Grants: []Grant{{Holder: s.Self, Shares: map[Name]Share{"rate": {10, 100 * microPerToken}, "count": {10, 0}}}}})
	for _, bal := range s.balances {
		bal.setValidUntil(c.now().Add(time.Hour))
	}
	return s
}

// FuzzPeer decodes and handles a borrow request, a renew request with a row, and the borrow
// request again after some time. No more than the share may be lent.
func FuzzPeer(f *testing.F) {
	f.Add([]byte(`{"contract":"rate","tokens":3,"done":[1]}`), []byte(`{"version":1}`))
	f.Add([]byte(`{"contract":"count","tokens":3,"keep":[1,2]}`),
		[]byte(`{"version":2,"row":{"version":2,"holders":[{"holder":{"vm":"vm-1","incarnation":1},"shares":{"rate":{"cap":2,"refill":1000000},"count":{"cap":3}}}]}}`))
	f.Add([]byte(`{"contract":"rate","tokens":-3}`), []byte(`{"version":2,"row":{"version":2,"holders":null}}`))
	f.Add([]byte(`{"contract":"rate","tokens":1}`), []byte(`{"version":2,"row":{"version":2,"holders":[{"holder":{"vm":"vm-1","incarnation":1},"shares":{"rate":{"cap":2,"refill":-1}}}]}}`))
	f.Add([]byte(`{`), []byte(`{"row":{}}`))
	f.Fuzz(func(t *testing.T, borrow, renew []byte) {
		c := &manualClock{time.Unix(1_000_000, 0)}
		s := newTestShares(c)
		lent := lend(t, s, borrow)
		assert.Assert(t, lent <= 10, "%d lent", lent)
		if _, err := s.HandleRenew(renew); err != nil {
			assert.Equal(t, s.Row().Version, Version(1))
		}
		c.at = c.at.Add(10 * time.Second)
		lend(t, s, borrow)
		for _, bal := range s.balances {
			bal.setValidUntil(c.now())
		}
	})
}

// lend handles a borrow request and returns how many tokens were lent.
func lend(t *testing.T, s *Shares, body []byte) Tokens {
	t.Helper()
	answer, err := s.HandleBorrow(body)
	if err != nil {
		return 0
	}
	var a BorrowAnswer
	assert.NilError(t, json.Unmarshal(answer, &a))
	assert.Assert(t, a.Tokens >= 0 && a.SpareTokens >= 0, "%s", answer)
	return a.Tokens
}

// FuzzDemand divides a limit by the demand that a peer reports. The shares must never sum to
// more than the limit, and none may be negative.
func FuzzDemand(f *testing.F) {
	f.Add([]byte(`{"holder":{"vm":"vm-2","incarnation":1},"version":1,"demand":{"rate":12.5}}`))
	f.Add([]byte(`{"holder":{"vm":"vm-2","incarnation":1},"demand":{"rate":-5}}`))
	f.Add([]byte(`{"holder":{"vm":"vm-2","incarnation":1},"demand":{"rate":1e308}}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		var a RenewAnswer
		if json.Unmarshal(body, &a) != nil {
			return
		}
		c := &manualClock{time.Unix(1_000_000, 0)}
		allocator := &Allocator{Shares: newTestShares(c), demand: map[Name]map[Holder]float64{}}
		allocator.setRow(allocator.Shares.Row())
		allocator.recordAnswer(a)
		allocator.recordAnswer(RenewAnswer{Holder: allocator.Shares.Self, Demand: map[Name]float64{"rate": 10}})
		limit := Rate{PerSecond: 100, Burst: 10}
		remaining := limit.total()
		for _, s := range divide(limit, []Holder{allocator.Shares.Self, {"vm-2", 1}}, allocator.demand["rate"]) {
			assert.Assert(t, s.Cap >= 0 && s.Refill >= 0, "%+v", s)
			remaining.Cap -= s.Cap
			remaining.Refill -= s.Refill
		}
		assert.Assert(t, remaining.Cap >= 0 && remaining.Refill >= 0, "shares exceed the limit, remaining: %+v", remaining)
	})
}

// FuzzRow adopts a row read from the table, records a response of one of its lenders, and
// advances the clock.
func FuzzRow(f *testing.F) {
	f.Add([]byte(`{"version":2,"holders":[{"holder":{"vm":"vm-1","incarnation":1},"shares":{"rate":{"cap":2,"refill":1000000}}},
		{"holder":{"vm":"vm-2","incarnation":5},"shares":{"rate":{"cap":3,"refill":5}}}]}`), []byte(`{"loan":1,"tokens":3,"valid":1000000000,"left":2,"refill":1,"cap":4}`))
	f.Add([]byte(`{"version":2,"holders":[{"holder":{"vm":"vm-1","incarnation":1},"shares":{"rate":{"cap":2,"refill":-1},"count":{"cap":-4}}}]}`), []byte(`{}`))
	f.Add([]byte(`{"version":2,"holders":[{"holder":{"vm":"vm-2","incarnation":1},"shares":{"rate":{"cap":9000000000000000000,"refill":9000000000000000000}}}]}`), []byte(`{}`))
	f.Add([]byte(`{"version":2,"holders":[{"holder":{"vm":"vm-2","incarnation":1},"shares":{"rate":{"cap":2,"refill":2}}}]}`), []byte(`{"left":-1,"refill":-1,"cap":-1,"valid":-1}`))
	f.Add([]byte(`{"version":2,"previous":[{"vm":"x"}],"holders":[{}]}`), []byte(`{"kept":[1]}`))
	f.Fuzz(func(t *testing.T, row, answer []byte) {
		var r Row
		if json.Unmarshal(row, &r) != nil {
			return
		}
		c := &manualClock{time.Unix(1_000_000, 0)}
		s := newTestShares(c)
		s.Adopt(r)
		var a BorrowAnswer
		hasAnswer := json.Unmarshal(answer, &a) == nil
		for name, bal := range s.balances {
			bal.setValidUntil(c.now().Add(time.Minute))
			lenderStates := s.lenders[name]
			lender, _, found := lenderStates.pickLender()
			if found && hasAnswer {
				lenderStates.recordAnswer(lender, a, time.Millisecond)
			}
			c.at = c.at.Add(10 * time.Second)
			lenderStates.pickLender()
			assert.Assert(t, lenderStates.availableWithin(time.Second) >= 0)
			bal.tokensToBorrow()
			bal.lend(1, 1, time.Second)
			bal.setValidUntil(c.now())
		}
	})
}
