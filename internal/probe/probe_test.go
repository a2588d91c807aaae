package probe

import (
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/health"
)

// Guards against a load taken from an invalid report, and against an upstream that
// counts as healthy without a success status. Also guards against a healthy upstream
// that counts as unhealthy because it reports no valid load.
func TestHTTPProbe(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		body   string
		want   health.Probe
	}{
		"load":          {200, `{"busy":3,"slots":7,"shedding":true,"cold_ms":1500}`, health.Probe{OK: true, Load: &health.Load{Busy: 3, Slots: 7, Shedding: true, WarmUp: 1500 * time.Millisecond}}},
		"no load":       {204, ``, health.Probe{OK: true}},
		"text":          {200, `fine`, health.Probe{OK: true}},
		"slots missing": {200, `{"busy":3}`, health.Probe{OK: true}},
		"negative":      {200, `{"busy":-3,"slots":7}`, health.Probe{OK: true}},
		"body too long": {200, `{"busy":3,"slots":7,"x":"` + strings.Repeat("y", maxResponseBytes) + `"}`, health.Probe{OK: true}},
		"error":         {503, `{"busy":3,"slots":7}`, health.Probe{}},
		"redirect":      {302, ``, health.Probe{}},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(c.status)
			_, _ = w.Write([]byte(c.body))
		}))
		require.Equal(t, c.want, NewHTTP(server.URL).Probe(t.Context()), name)
		server.Close()
		require.Equal(t, health.Probe{}, NewHTTP(server.URL).Probe(t.Context()), name)
	}
}

// Guards against a healthy upstream that counts as unhealthy because it has no health
// endpoint.
func TestConnectProbe(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	prober := NewConnect(netip.MustParseAddrPort(listener.Addr().String()))
	require.Equal(t, health.Probe{OK: true}, prober.Probe(t.Context()))
	require.NoError(t, listener.Close())
	require.Equal(t, health.Probe{}, prober.Probe(t.Context()))
}
