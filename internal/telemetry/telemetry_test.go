package telemetry_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/telemetry"
)

// Guards against a health check that responds with 200 although the program is
// unhealthy, and against metrics that are not valid JSON.
func TestHandler(t *testing.T) {
	registry := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("proposals", registry).Inc(3)
	health := telemetry.Health{Reason: "no leader"}
	handler := telemetry.Handler(registry, func() telemetry.Health { return health })

	response := httptest.NewRecorder()
	handler.ServeHTTP(response, httptest.NewRequest(http.MethodGet, "/healthz", nil))
	require.Equal(t, http.StatusServiceUnavailable, response.Code)

	health = telemetry.Health{Healthy: true}
	response = httptest.NewRecorder()
	handler.ServeHTTP(response, httptest.NewRequest(http.MethodGet, "/healthz", nil))
	require.Equal(t, http.StatusOK, response.Code)

	response = httptest.NewRecorder()
	handler.ServeHTTP(response, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	var values map[string]map[string]any
	require.NoError(t, json.Unmarshal(response.Body.Bytes(), &values))
	require.EqualValues(t, 3, values["proposals"]["count"])
}

// Guards against log lines that are not valid JSON or lack the VM.
func TestLogger(t *testing.T) {
	var out bytes.Buffer
	log, err := telemetry.NewLogger(&out, "bramley-control", "c1", "info")
	require.NoError(t, err)
	log.WithField("term", 4).Info("became leader")
	var line map[string]any
	require.NoError(t, json.Unmarshal(out.Bytes(), &line))
	require.Equal(t, "c1", line["vm"])
	require.EqualValues(t, 4, line["term"])
	_, err = telemetry.NewLogger(&out, "p", "c1", "loud")
	require.Error(t, err)
}
