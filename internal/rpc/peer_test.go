package rpc

import (
	"context"
	"crypto/x509"
	"crypto/x509/pkix"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against authorising a certificate whose role is unknown, missing or
// ambiguous.
func TestPeerOfCertificate(t *testing.T) {
	for name, c := range map[string]struct {
		common string
		units  []string
		ok     bool
	}{
		"agent":        {"up-1", []string{"agent"}, true},
		"no VM":        {"", []string{"agent"}, false},
		"no role":      {"up-1", nil, false},
		"two roles":    {"up-1", []string{"agent", "control"}, false},
		"unknown role": {"up-1", []string{"Agent"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			_, ok := PeerOfCertificate(&x509.Certificate{Subject: pkix.Name{CommonName: c.common, OrganizationalUnit: c.units}})
			require.Equal(t, c.ok, ok)
		})
	}
	_, ok := PeerFromContext(context.Background())
	require.False(t, ok)
}
