package nodecmd

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"net/netip"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/keys"
	"bramleyhold.example/bramleyhold/internal/rpc"
	"bramleyhold.example/bramleyhold/internal/telemetry"
)

// Guards against a process that runs with the keys folder of another VM or role. Its
// peers would attribute its requests to that VM or role.
func TestLoadSecretsOf(t *testing.T) {
	clusterFolder := t.TempDir()
	require.NoError(t, keys.InitCluster(clusterFolder, time.Now()))
	issued, err := keys.IssueCertificate(clusterFolder, keys.CertificateRequest{
		Role: rpc.RoleAgent, VM: "orders-1", Addresses: []netip.Addr{netip.MustParseAddr("127.0.0.1")},
	}, time.Now())
	require.NoError(t, err)
	_, err = LoadSecretsForProcess(issued.Folder, "orders-1", rpc.RoleAgent)
	require.NoError(t, err)
	for _, other := range []rpc.Peer{{VM: "orders-2", Role: rpc.RoleAgent}, {VM: "orders-1", Role: rpc.RoleControl}} {
		_, err = LoadSecretsForProcess(issued.Folder, other.VM, other.Role)
		var mismatch *IdentityError
		require.ErrorAs(t, err, &mismatch)
		require.Equal(t, other, mismatch.ExpectedPeer)
	}
}

// Guards against a certificate that expires without a warning in the log, or without
// a metric for an alert.
func TestReportCertificate(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	cases := map[string]struct {
		left  time.Duration
		level string
	}{
		"fresh":   {left: RenewBefore + time.Hour, level: "info"},
		"due":     {left: RenewBefore - time.Hour, level: "warning"},
		"expired": {left: -time.Second, level: "error"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			log, err := telemetry.NewLogger(&out, "bramley-agent", "orders-1", "info")
			require.NoError(t, err)
			registry := metrics.NewRegistry()
			leaf := &x509.Certificate{NotAfter: now.Add(c.left)}
			ReportCertificateExpiry(log, registry, &tls.Config{Certificates: []tls.Certificate{{Leaf: leaf}}}, now)
			require.Contains(t, out.String(), `"level":"`+c.level+`"`)
			require.Equal(t, leaf.NotAfter.Unix(), metrics.GetOrRegisterGauge(certificateExpiryMetric, registry).Value())
		})
	}
}
