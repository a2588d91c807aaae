package telemetry

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// metricPrefix is the prefix of all metric names.
const metricPrefix = "bramley_"

// quantiles are the quantiles that are written for each histogram.
var quantiles = []float64{0.5, 0.9, 0.99}

// WriteExposition writes the metrics of a registry in the Prometheus text format.
// Dots in names are replaced by underscores.
func WriteExposition(w io.Writer, registry metrics.Registry) error {
	metricsByName := map[string]any{}
	registry.Each(func(name string, metric any) { metricsByName[name] = metric })
	for _, name := range slices.Sorted(maps.Keys(metricsByName)) {
		if _, err := io.WriteString(w, formatMetric(metricPrefix+strings.ReplaceAll(name, ".", "_"), metricsByName[name])); err != nil {
			return fmt.Errorf("write metrics: %w", err)
		}
	}
	return nil
}

// formatMetric returns the lines of one metric. It returns "" for types other than
// counters, gauges and histograms.
func formatMetric(name string, metric any) string {
	switch m := metric.(type) {
	case metrics.Counter:
		return fmt.Sprintf("# TYPE %s counter\n%s %d\n", name, name, m.Count())
	case metrics.Gauge:
		return fmt.Sprintf("# TYPE %s gauge\n%s %d\n", name, name, m.Value())
	case metrics.Histogram:
		snapshot := m.Snapshot()
		var b strings.Builder
		fmt.Fprintf(&b, "# TYPE %s summary\n", name)
		for i, value := range snapshot.Percentiles(quantiles) {
			fmt.Fprintf(&b, "%s{quantile=\"%g\"} %g\n", name, quantiles[i], value)
		}
		fmt.Fprintf(&b, "%s_sum %d\n%s_count %d\n", name, snapshot.Sum(), name, snapshot.Count())
		return b.String()
	}
	return ""
}

// ExpositionHandler serves the metrics of a registry in the Prometheus text format.
func ExpositionHandler(registry metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		_ = WriteExposition(w, registry) // The client has disconnected if this fails.
	})
}
