// Package meter exports the metrics of the process.
package meter

import (
	"net/http"

	"github.com/joomcode/errorx"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

var (
	errs = errorx.NewNamespace("meter")
	// ErrExport means that metrics can't be exported.
	ErrExport = errs.NewType("export")
)

// Metrics exports OpenTelemetry instruments in the Prometheus text format.
type Metrics struct {
	registry *prometheus.Registry
	provider *sdk.MeterProvider
}

// New returns Metrics that already include those of the process and the Go runtime.
func New() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reader, err := exporter.New(exporter.WithRegisterer(registry), exporter.WithoutScopeInfo(), exporter.WithoutTargetInfo())
	if err != nil {
		return nil, ErrExport.Wrap(err, "metrics")
	}
	return &Metrics{registry: registry, provider: sdk.NewMeterProvider(sdk.WithReader(reader))}, nil
}

// Meter returns the meter that creates the instruments of a package; part is the package's
// name.
func (m *Metrics) Meter(part string) metric.Meter {
	return m.provider.Meter("savoryramp/" + part)
}

// Handler returns the HTTP handler that serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Names returns the names of all metrics that are currently exported.
func (m *Metrics) Names() ([]string, error) {
	families, err := m.registry.Gather()
	if err != nil {
		return nil, ErrExport.Wrap(err, "metrics")
	}
	names := make([]string, 0, len(families))
	for _, f := range families {
		names = append(names, f.GetName())
	}
	return names, nil
}
