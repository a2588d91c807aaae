package telemetry_test

import (
	"bytes"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/telemetry"
)

// Guards against a text that monitoring cannot read, and against changed names.
func TestExposition(t *testing.T) {
	r := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("packets.reset.no_route", r).Inc(3)
	metrics.GetOrRegisterGauge("flows", r).Update(17)
	h := metrics.NewHistogram(metrics.NewUniformSample(8))
	require.NoError(t, r.Register("openings.us", h))
	for _, v := range []int64{100, 200, 300, 400} {
		h.Update(v)
	}
	var text bytes.Buffer
	require.NoError(t, telemetry.WriteExposition(&text, r))
	goldie.New(t).Assert(t, "exposition", text.Bytes())
}
