package telemetry_test

import (
	"bytes"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/telemetry"
)

// Guards against output that Prometheus cannot parse, and against changed metric
// names.
func TestExposition(t *testing.T) {
	registry := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("packets.reset.no_route", registry).Inc(3)
	metrics.GetOrRegisterGauge("flows", registry).Update(17)
	histogram := metrics.NewHistogram(metrics.NewUniformSample(8))
	require.NoError(t, registry.Register("openings.us", histogram))
	for _, v := range []int64{100, 200, 300, 400} {
		histogram.Update(v)
	}
	var text bytes.Buffer
	require.NoError(t, telemetry.WriteExposition(&text, registry))
	goldie.New(t).Assert(t, "exposition", text.Bytes())
}
