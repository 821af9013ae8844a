package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/mattn/go-isatty"

	"github.com/savoryramp/savoryramp/internal/load"
	"github.com/savoryramp/savoryramp/internal/operator"
	"github.com/savoryramp/savoryramp/internal/platform"
	"github.com/savoryramp/savoryramp/internal/upstream"
)

// logFile is the name, in a report's directory, of what the trial's parts logged.
const logFile = "trial.log"

// scenarioRun plays a scenario and reports what it measured.
type scenarioRun struct {
	Document string
	Scenario string
	Seed     uint64
	Duration time.Duration
	Report   string
	VMs      int
	Baseline string
	Queue    string
	Limit    string
	Out      *os.File
}

func (s *scenarioRun) define(app *kingpin.Application) *kingpin.CmdClause {
	c := app.Command("run", "Plays a scenario on parts of its own, in this process, and measures. Exits with 1 when a property was broken.")
	c.Arg("doc", "Path of the service's document; its first upstream is used.").Required().StringVar(&s.Document)
	var names []string
	for _, known := range load.Scenarios() {
		names = append(names, string(known.Name))
	}
	c.Flag("scenario", "Load and faults.").Default(names[0]).EnumVar(&s.Scenario, names...)
	c.Flag("seed", "Seed of the demand.").Default("1").Uint64Var(&s.Seed)
	c.Flag("duration", "How long to play.").Default("20s").DurationVar(&s.Duration)
	c.Flag("vms", fmt.Sprintf("How many VMs, %d to %d, by availability zone in turn.", load.LeastVMs, load.MostVMs)).
		Default(fmt.Sprint(load.UsualVMs)).IntVar(&s.VMs)
	c.Flag("report", "Directory for summary.json, plot.png and trial.log.").Default("report").StringVar(&s.Report)
	c.Flag("baseline", "Where reads go instead of by position.").Default(load.BaselineNone).
		EnumVar(&s.Baseline, load.BaselineNone, load.BaselinePrimary, load.BaselineNaive)
	c.Flag("queue", "How a server's queue serves workspaces.").Default(string(upstream.DeficitRoundRobin)).
		EnumVar(&s.Queue, string(upstream.DeficitRoundRobin), string(upstream.FirstCome))
	c.Flag("limit", "How many connections to a server a VM uses at once: its share, or less by response time.").
		Default(string(operator.LimitFixed)).EnumVar(&s.Limit, string(operator.LimitFixed), string(operator.LimitAdaptive))
	return c
}

// run plays, measures and reports; load.ErrBroken when a property was broken.
func (s *scenarioRun) run(ctx context.Context) error {
	text, err := os.ReadFile(s.Document)
	if err != nil {
		return ErrSetup.Wrap(err, "document")
	}
	if err := os.MkdirAll(s.Report, 0o755); err != nil {
		return ErrSetup.Wrap(err, "report")
	}
	file, err := os.Create(filepath.Join(s.Report, logFile))
	if err != nil {
		return ErrSetup.Wrap(err, "log")
	}
	defer file.Close()
	t, err := s.trial(text, file)
	if err != nil {
		return err
	}
	results, err := t.Run(ctx)
	if err != nil {
		return err
	}
	return s.report(t, results, platform.HashDocument(text))
}

func (s *scenarioRun) trial(text []byte, logs io.Writer) (*load.Trial, error) {
	scenario, err := load.FindScenario(load.ScenarioName(s.Scenario))
	if err != nil {
		return nil, err
	}
	policies, err := load.PoliciesOf(s.Baseline, s.Queue, operator.LimitName(s.Limit))
	if err != nil {
		return nil, err
	}
	logger := log.With(log.NewLogfmtLogger(log.NewSyncWriter(logs)), "time", log.DefaultTimestampUTC)
	logger = level.NewFilter(logger, level.AllowDebug())
	t := &load.Trial{
		Site: &load.Site{Text: text, Policies: policies, Logger: logger, Count: load.VMCount(s.VMs)}, Scenario: scenario,
		Seed: s.Seed, Duration: s.Duration, Settle: load.UsualSettle, Logger: logger,
	}
	if isatty.IsTerminal(s.Out.Fd()) {
		t.Progress = s.progress
	}
	return t, nil
}

func (s *scenarioRun) progress(elapsed time.Duration, told map[load.Outcome]int) {
	fmt.Fprintf(s.Out, "%3.0fs of %s: %d answered, %d refused, %d unknown\n", elapsed.Seconds(), s.Duration,
		told[load.Answered], told[load.Refused], told[load.Unknown])
}

func (s *scenarioRun) report(t *load.Trial, results []load.Result, hash platform.DocumentHash) error {
	summary := t.Measure(results)
	summary.Document = hash
	if err := summary.Write(s.Report); err != nil {
		return err
	}
	if err := t.Plot(results, s.Report); err != nil {
		return err
	}
	summary.Print(s.Out)
	return summary.Broken()
}

// comparison sets two summaries side by side.
type comparison struct{ A, B string }

func (c *comparison) define(app *kingpin.Application) *kingpin.CmdClause {
	clause := app.Command("compare", "Sets two summaries side by side and marks what differs.")
	clause.Arg("a", "Report's directory or summary file.").Required().StringVar(&c.A)
	clause.Arg("b", "The other.").Required().StringVar(&c.B)
	return clause
}

func (c *comparison) run(out io.Writer) error {
	a, err := load.ReadSummary(c.A)
	if err != nil {
		return err
	}
	b, err := load.ReadSummary(c.B)
	if err != nil {
		return err
	}
	load.Compare(out, a, b)
	return nil
}
