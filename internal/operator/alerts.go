package operator

import (
	"fmt"
	"slices"
	"strings"

	"github.com/prometheus/prometheus/promql/parser"
	"go.yaml.in/yaml/v3"
)

// Names of the metrics that this package exports.
const (
	metricReady    = "savoryramp_ready"
	metricDraining = "savoryramp_draining"
	metricDocument = "savoryramp_document_version"
)

// exportedMetrics lists savoryramp's metrics under their Prometheus names. A histogram is
// listed without the suffixes _bucket, _sum and _count.
var exportedMetrics = []string{
	metricReady, metricDraining, metricDocument,
	"savoryramp_caller_sessions",
	"savoryramp_caller_requests_total",
	"savoryramp_caller_refused_total",
	"savoryramp_caller_request_duration_seconds",
	"savoryramp_upstream_primary_usable",
	"savoryramp_upstream_replica_lag",
	"savoryramp_upstream_connections",
	"savoryramp_upstream_requests_waiting",
	"savoryramp_upstream_answers_unexpected_total",
	"savoryramp_budget_acts_total",
	"savoryramp_budget_held_bytes",
	"savoryramp_configuration_version",
	"savoryramp_configuration_read_timestamp_seconds",
	"savoryramp_platform_responses_rejected_total",
}

// prometheusMetrics lists the metrics that Prometheus itself adds.
var prometheusMetrics = []string{"up", "ALERTS", "ALERTS_FOR_STATE"}

// runtimeMetricPrefixes lists the prefixes of the process and Go runtime metrics.
var runtimeMetricPrefixes = []string{"go_", "process_"}

// printAlerts prints the alert rules as written and warns about metrics that savoryramp
// doesn't export.
func (s *invocation) printAlerts() error {
	document, err := s.readDocument()
	if err != nil {
		return err
	}
	fmt.Fprint(s.out, document.Alerts)
	names, err := alertMetrics(document.Alerts)
	if err != nil {
		return err
	}
	for _, n := range names {
		if !isExported(n) {
			fmt.Fprintf(s.errOut, "savoryramp: warning: %s isn't exported by savoryramp; check the rules that use it\n", n)
		}
	}
	return nil
}

// alertMetrics returns the sorted names of the metrics that the rules read, without those
// that the rules record themselves.
func alertMetrics(text string) ([]string, error) {
	var rules struct {
		Groups []struct {
			Rules []struct {
				Record     string `yaml:"record"`
				Expression string `yaml:"expr"`
			} `yaml:"rules"`
		} `yaml:"groups"`
	}
	if err := yaml.Unmarshal([]byte(text), &rules); err != nil {
		return nil, ErrDocument.New("the alert rules are not valid YAML: %s", err)
	}
	var used, recorded []string
	for _, g := range rules.Groups {
		for _, r := range g.Rules {
			names, err := expressionMetrics(r.Expression)
			if err != nil {
				return nil, err
			}
			used = append(used, names...)
			recorded = append(recorded, r.Record)
		}
	}
	slices.Sort(used)
	used = slices.Compact(used)
	return slices.DeleteFunc(used, func(n string) bool { return slices.Contains(recorded, n) }), nil
}

func expressionMetrics(text string) ([]string, error) {
	expression, err := parser.NewParser(parser.Options{}).ParseExpr(text)
	if err != nil {
		return nil, ErrDocument.New("the alert expression %q is invalid: %s", text, err)
	}
	var names []string
	parser.Inspect(expression, func(n parser.Node, _ []parser.Node) error {
		if selector, ok := n.(*parser.VectorSelector); ok && selector.Name != "" {
			names = append(names, selector.Name)
		}
		return nil
	})
	return names, nil
}

func isExported(name string) bool {
	if slices.Contains(exportedMetrics, name) || slices.Contains(prometheusMetrics, name) {
		return true
	}
	for _, p := range runtimeMetricPrefixes {
		if strings.HasPrefix(name, p) {
			return true
		}
	}
	for _, suffix := range []string{"_bucket", "_sum", "_count"} {
		if base, found := strings.CutSuffix(name, suffix); found && slices.Contains(exportedMetrics, base) {
			return true
		}
	}
	return false
}
