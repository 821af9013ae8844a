package main

import (
	"fmt"
	"testing"

	"github.com/jackc/pgx/v5/pgconn"
	"gotest.tools/v3/assert"
)

func TestOutcomes(t *testing.T) {
	tests := map[string]struct {
		err     error
		outcome outcome
		allowed []bool
	}{
		"acknowledged": {nil, acknowledged, []bool{false, true, false}},
		"refused":      {&pgconn.PgError{Code: "53400"}, notRun, []bool{true, false, false}},
		"wrapped":      {fmt.Errorf("prepare: %w", &pgconn.PgError{Code: "42P01"}), notRun, []bool{true, false, false}},
		"unknown":      {&pgconn.PgError{Code: codeUnknown}, unknown, []bool{true, true, false}},
		"broken":       {ErrSetup.New("connection lost"), unknown, []bool{true, true, false}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			told := outcomeOf(test.err)
			assert.Equal(t, told, test.outcome)
			for times, allowed := range test.allowed {
				assert.Equal(t, told.allows(times), allowed, "stored %d times", times)
			}
		})
	}
}

func TestCompareFindsWrongReceipts(t *testing.T) {
	l := &Ledger{outcomes: map[string]outcome{
		"lost": acknowledged, "doubled": acknowledged, "kept": acknowledged,
		"ghost": notRun, "either": unknown, "twice": unknown,
	}}
	l.compare([]string{"doubled", "doubled", "kept", "ghost", "twice", "twice"})
	assert.Equal(t, l.count.wrong, 4)
	assert.Assert(t, l.verdict() != nil)
}

func TestNothingDoneIsNoSuccess(t *testing.T) {
	assert.Assert(t, (&Ledger{}).verdict() != nil)
	assert.NilError(t, (&Ledger{count: counts{writes: 1, reads: 1}}).verdict())
}
