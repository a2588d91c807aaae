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

// metricPrefix starts the names of all metrics.
const metricPrefix = "bramley_"

// quantiles of histograms that are shown.
var quantiles = []float64{0.5, 0.9, 0.99}

// WriteExposition writes the metrics of a registry in the text format of
// Prometheus. Dots in names become underscores.
func WriteExposition(w io.Writer, registry metrics.Registry) error {
	all := map[string]any{}
	registry.Each(func(name string, metric any) { all[name] = metric })
	for _, name := range slices.Sorted(maps.Keys(all)) {
		if _, err := io.WriteString(w, exposition(metricPrefix+strings.ReplaceAll(name, ".", "_"), all[name])); err != nil {
			return fmt.Errorf("write metrics: %w", err)
		}
	}
	return nil
}

func exposition(name string, metric any) string {
	switch m := metric.(type) {
	case metrics.Counter:
		return fmt.Sprintf("# TYPE %s counter\n%s %d\n", name, name, m.Count())
	case metrics.Gauge:
		return fmt.Sprintf("# TYPE %s gauge\n%s %d\n", name, name, m.Value())
	case metrics.Histogram:
		s := m.Snapshot()
		var b strings.Builder
		fmt.Fprintf(&b, "# TYPE %s summary\n", name)
		for i, v := range s.Percentiles(quantiles) {
			fmt.Fprintf(&b, "%s{quantile=\"%g\"} %g\n", name, quantiles[i], v)
		}
		fmt.Fprintf(&b, "%s_sum %d\n%s_count %d\n", name, s.Sum(), name, s.Count())
		return b.String()
	}
	return ""
}

// ExpositionHandler serves WriteExposition.
func ExpositionHandler(registry metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		_ = WriteExposition(w, registry) // The client is gone if this fails.
	})
}
