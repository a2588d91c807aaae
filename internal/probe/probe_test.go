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

// Guards against an endpoint whose answer is taken for more, or for less, than
// it says.
func TestHTTP(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		body   string
		want   health.Probe
	}{
		"load":             {200, `{"busy":3,"slots":7,"shedding":true,"cold_ms":1500}`, health.Probe{OK: true, Load: &health.Load{Busy: 3, Slots: 7, Shedding: true, WarmUp: 1500 * time.Millisecond}}},
		"no load":          {204, ``, health.Probe{OK: true}},
		"text":             {200, `fine`, health.Probe{OK: true}},
		"slots missing":    {200, `{"busy":3}`, health.Probe{OK: true}},
		"negative":         {200, `{"busy":-3,"slots":7}`, health.Probe{OK: true}},
		"cut by the bound": {200, `{"busy":3,"slots":7,"x":"` + strings.Repeat("y", maxBodyBytes) + `"}`, health.Probe{OK: true}},
		"error":            {503, `{"busy":3,"slots":7}`, health.Probe{}},
		"redirect":         {302, ``, health.Probe{}},
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

// Guards against an upstream without an endpoint that is taken for dead.
func TestConnect(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	prober := NewConnect(netip.MustParseAddrPort(listener.Addr().String()))
	require.Equal(t, health.Probe{OK: true}, prober.Probe(t.Context()))
	require.NoError(t, listener.Close())
	require.Equal(t, health.Probe{}, prober.Probe(t.Context()))
}
