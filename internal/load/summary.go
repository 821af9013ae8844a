package load

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"text/tabwriter"

	"github.com/savoryramp/savoryramp/internal/platform"
)

// summaryFile is the summary's name in a report's directory.
const summaryFile = "summary.json"

// Milliseconds is a time in the summary.
type Milliseconds float64

// Percentiles of latency, from the intended start to the end of the answer.
type Percentiles struct {
	P50 Milliseconds `json:"p50-ms"`
	P90 Milliseconds `json:"p90-ms"`
	P99 Milliseconds `json:"p99-ms"`
	Max Milliseconds `json:"max-ms"`
}

// WorkspaceSummary is one workspace's part.
type WorkspaceSummary struct {
	Offered int `json:"offered"`
	// Inside is the part of Offered inside rate and burst.
	Inside int `json:"inside-rate"`
	// InTime is the part answered within 2 s of its intended start.
	InTime int `json:"in-time"`
	// FairShare is what max-min fairness gives of the nominal capacity.
	FairShare float64 `json:"fair-share"`
	// ServedShare is InTime by FairShare, at most 1.
	ServedShare      float64     `json:"served-share"`
	Refused          int         `json:"refused"`
	WrongfulRefusals int         `json:"wrongful-refusals"`
	OverAdmitted     int         `json:"over-admitted"`
	Latency          Percentiles `json:"latency"`
}

// Summary is what a trial measured.
type Summary struct {
	Scenario ScenarioName          `json:"scenario"`
	VMs      VMCount               `json:"vms"`
	Reads    string                `json:"reads"`
	Queue    string                `json:"queue"`
	Limit    string                `json:"limit"`
	Seed     uint64                `json:"seed"`
	Document platform.DocumentHash `json:"document-hash"`
	Duration string                `json:"duration"`

	Offered  int `json:"offered"`
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	Unknown  int `json:"unknown-outcomes"`
	// Codes counts what was not answered by SQLSTATE, "none" for a lost connection.
	Codes map[string]int `json:"sqlstates"`

	// ReplicaReadShare is reads served by replicas by reads for which, at the moment
	// of sending, a replica had applied all of the person's own acknowledged writes.
	ReplicaReadShare float64 `json:"replica-read-share"`
	// FailoverGap is the longest time without an acknowledged write from a cut of the
	// primary on; 0 without a cut.
	FailoverGap Milliseconds `json:"failover-gap-ms"`
	// WorstServedShare is the least ServedShare of all workspaces.
	WorstServedShare float64 `json:"worst-served-share"`
	// WrongfulRefusals were refused although an exact token bucket over the whole
	// fleet had a token for them, less those of the same workspace that were answered
	// although it had none.
	WrongfulRefusals int `json:"wrongful-refusals"`

	// The rest break a property when above 0.

	// OverAdmitted is more than any bucket of the workspaces' rates and bursts lets through.
	OverAdmitted int `json:"over-admitted"`
	// LostWrites were acknowledged and are not in the surviving log.
	LostWrites int `json:"lost-writes"`
	// DoubleRuns are writes that a server ran more than once.
	DoubleRuns int `json:"double-runs"`
	// StaleReads missed an acknowledged write of their own session.
	StaleReads int `json:"stale-reads"`
	// UntrueRefusals are writes that were refused as not run and are in the log.
	UntrueRefusals int `json:"untrue-refusals"`

	ReadLatency  Percentiles                                 `json:"read-latency"`
	WriteLatency Percentiles                                 `json:"write-latency"`
	Workspaces   map[platform.WorkspaceName]WorkspaceSummary `json:"workspaces"`
}

// Broken is ErrBroken when a property doesn't hold.
func (s *Summary) Broken() error {
	for _, p := range s.properties() {
		if p.count > 0 {
			return ErrBroken.New("%d %s", p.count, p.name)
		}
	}
	return nil
}

type property struct {
	name  string
	count int
}

func (s *Summary) properties() []property {
	return []property{
		{"stale-reads", s.StaleReads},
		{"lost-writes", s.LostWrites},
		{"double-runs", s.DoubleRuns},
		{"untrue-refusals", s.UntrueRefusals},
		{"over-admitted", s.OverAdmitted},
	}
}

// Write puts the summary into a directory. ErrSetup.
func (s *Summary) Write(dir string) error {
	text, _ := json.MarshalIndent(s, "", "  ")
	if err := os.WriteFile(filepath.Join(dir, summaryFile), append(text, '\n'), 0o644); err != nil {
		return ErrSetup.Wrap(err, "summary")
	}
	return nil
}

// ReadSummary reads the summary of a report's directory, or a summary file. ErrSetup.
func ReadSummary(path string) (*Summary, error) {
	if info, err := os.Stat(path); err == nil && info.IsDir() {
		path = filepath.Join(path, summaryFile)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, ErrSetup.Wrap(err, "summary")
	}
	s := &Summary{}
	if err := json.Unmarshal(text, s); err != nil {
		return nil, ErrSetup.Wrap(err, "summary %s", path)
	}
	return s, nil
}

// row is one line of the table, with the measure's name as in the JSON.
type row struct{ name, value string }

func (s *Summary) rows() []row {
	list := []row{
		{"scenario", string(s.Scenario)},
		{"reads, queue", s.Reads + ", " + s.Queue},
		{"vms", fmt.Sprint(s.VMs)},
		{"limit", s.Limit},
		{"seed, duration", fmt.Sprintf("%d, %s", s.Seed, s.Duration)},
		{"offered", fmt.Sprint(s.Offered)},
		{"answered", fmt.Sprint(s.Answered)},
		{"refused", fmt.Sprint(s.Refused)},
		{"unknown-outcomes", fmt.Sprint(s.Unknown)},
		{"replica-read-share", fmt.Sprintf("%.3f", s.ReplicaReadShare)},
		{"failover-gap-ms", fmt.Sprintf("%.0f", s.FailoverGap)},
		{"worst-served-share", fmt.Sprintf("%.3f", s.WorstServedShare)},
		{"wrongful-refusals", fmt.Sprint(s.WrongfulRefusals)},
	}
	for _, p := range s.properties() {
		list = append(list, row{p.name, fmt.Sprint(p.count)})
	}
	return append(list, row{"read p50/p90/p99 ms", s.ReadLatency.String()}, row{"write p50/p90/p99 ms", s.WriteLatency.String()})
}

// String gives the three percentiles.
func (p Percentiles) String() string { return fmt.Sprintf("%.1f / %.1f / %.1f", p.P50, p.P90, p.P99) }

// Print writes the summary as tables.
func (s *Summary) Print(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, r := range s.rows() {
		fmt.Fprintf(w, "%s\t%s\n", r.name, r.value)
	}
	w.Flush()
	fmt.Fprintln(out)
	w = tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "workspace\toffered\tinside-rate\tin-time\tfair-share\tserved-share\trefused\twrongful\tp99-ms\t")
	for _, name := range s.names() {
		v := s.Workspaces[name]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%.0f\t%.3f\t%d\t%d\t%.1f\t\n", name, v.Offered, v.Inside, v.InTime,
			v.FairShare, v.ServedShare, v.Refused, v.WrongfulRefusals, v.Latency.P99)
	}
	w.Flush()
}

func (s *Summary) names() []platform.WorkspaceName {
	var list []platform.WorkspaceName
	for name := range s.Workspaces {
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}

// Compare writes two summaries side by side.
func Compare(out io.Writer, a, b *Summary) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	right := b.rows()
	for i, r := range a.rows() {
		mark := ""
		if r.value != right[i].value {
			mark = "*"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", r.name, r.value, right[i].value, mark)
	}
	w.Flush()
}
