package load

import (
	"os"
	"testing"
	"time"

	"github.com/go-kit/log"
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
	policies := operator.Policies{Reads: upstream.WaitOrPrimary{}, Order: upstream.DeficitRoundRobin}
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
