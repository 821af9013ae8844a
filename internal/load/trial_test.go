package load

import (
	"os"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/operator"
	"github.com/savoryramp/savoryramp/internal/upstream"
)

// A short trial runs from start to report, and its audits find nothing.
func TestTrial(t *testing.T) {
	text, err := os.ReadFile("../../examples/trial.yaml")
	assert.NilError(t, err)
	scenario, err := FindScenario("lagging-replicas")
	assert.NilError(t, err)
	policies := operator.TrialPolicies{ReadPolicy: upstream.WaitOrPrimary{}, QueueOrder: upstream.DeficitRoundRobin}
	trial := &Trial{
		Site:     &Site{Text: text, Policies: policies, Logger: log.NewNopLogger()},
		Scenario: scenario, Seed: 1, Duration: 2 * time.Second, Logger: log.NewNopLogger(),
	}
	results, err := trial.Run(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(results), len(trial.demand))

	s := trial.Measure(results)
	assert.Equal(t, s.Offered, s.Answered+s.Refused+s.Unknown)
	assert.Assert(t, s.Answered > 0)
	assert.NilError(t, s.Broken())
	dir := t.TempDir()
	assert.NilError(t, s.Write(dir))
	assert.NilError(t, trial.Plot(results, dir))
	read, err := ReadSummary(dir)
	assert.NilError(t, err)
	assert.DeepEqual(t, read, s)
}

// VMs are of the zones in turn, callers use all of them, and other counts are refused.
func TestTrialOfMoreVMs(t *testing.T) {
	text, err := os.ReadFile("../../examples/trial.yaml")
	assert.NilError(t, err)
	scenario, err := FindScenario("exam")
	assert.NilError(t, err)
	scenario.Faults = nil
	policies := operator.TrialPolicies{ReadPolicy: upstream.WaitOrPrimary{}, QueueOrder: upstream.DeficitRoundRobin}
	site := func(n VMCount) *Site {
		return &Site{Text: text, Policies: policies, Logger: log.NewNopLogger(), Count: n}
	}
	trial := &Trial{Site: site(4), Scenario: scenario, Seed: 1, Duration: time.Second / 2, Logger: log.NewNopLogger()}
	results, err := trial.Run(t.Context())
	assert.NilError(t, err)
	zones, used := map[string]int{}, map[*VM]bool{}
	for _, v := range trial.Site.VMs {
		zones[v.options.AvailabilityZone]++
	}
	for _, c := range trial.crowds {
		for _, p := range c.all {
			used[trial.Site.listed(p.vm)] = true
		}
	}
	assert.DeepEqual(t, zones, map[string]int{"jordan-1": 2, "jordan-2": 1, "jordan-3": 1})
	assert.Equal(t, len(used), 4)
	assert.NilError(t, trial.Measure(results).Broken())
	for _, n := range []VMCount{-1, 1, 2, 10} {
		_, err := (&Trial{Site: site(n)}).Run(t.Context())
		assert.Assert(t, errorx.IsOfType(err, ErrSetup), "%d: %v", n, err)
	}
}
