package rpc

import (
	"context"
	"crypto/x509"
	"crypto/x509/pkix"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against authorizing a certificate that has no VM name, no role,
// several roles or an unknown role.
func TestPeerOfCertificate(t *testing.T) {
	for name, c := range map[string]struct {
		commonName string
		units      []string
		ok         bool
	}{
		"agent":        {"up-1", []string{"agent"}, true},
		"no VM":        {"", []string{"agent"}, false},
		"no role":      {"up-1", nil, false},
		"two roles":    {"up-1", []string{"agent", "control"}, false},
		"unknown role": {"up-1", []string{"Agent"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			_, ok := PeerOfCertificate(&x509.Certificate{Subject: pkix.Name{CommonName: c.commonName, OrganizationalUnit: c.units}})
			require.Equal(t, c.ok, ok)
		})
	}
	_, ok := PeerFromContext(context.Background())
	require.False(t, ok)
}
