package rpc

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"slices"

	"bramleyhold.example/bramleyhold/internal/vm"
)

// Role is what the certificate of a peer allows it to do. It is the
// organisational unit of the certificate's subject.
type Role string

// The roles of certificates.
const (
	RoleControl  Role = "control"
	RoleBalancer Role = "balancer"
	RoleAgent    Role = "agent"
	RoleOperator Role = "operator"
)

// Roles returns every role of certificates.
func Roles() []Role { return []Role{RoleControl, RoleBalancer, RoleAgent, RoleOperator} }

// Valid reports whether the role is one of the known roles.
func (r Role) Valid() bool { return slices.Contains(Roles(), r) }

// Peer is the other side of a mutually verified TLS connection.
type Peer struct {
	VM   vm.ID
	Role Role
}

// RoleError reports a certificate whose role is not accepted.
type RoleError struct {
	Peer Peer
	Want []Role
}

func (e *RoleError) Error() string {
	return fmt.Sprintf("certificate of %q has role %q, want one of %v", e.Peer.VM, e.Peer.Role, e.Want)
}

type peerKey struct{}

// PeerFromContext returns the verified peer of the connection on which a
// request arrived. It returns false on plain TCP connections and for
// certificates without exactly one known role and a VM name.
func PeerFromContext(ctx context.Context) (Peer, bool) {
	p, ok := ctx.Value(peerKey{}).(Peer)
	return p, ok
}

// ContextWithPeer returns a context from which PeerFromContext reads the peer.
func ContextWithPeer(ctx context.Context, p Peer) context.Context {
	return context.WithValue(ctx, peerKey{}, p)
}

// PeerOfCertificate reads the VM and the role of a certificate.
func PeerOfCertificate(c *x509.Certificate) (Peer, bool) {
	if c.Subject.CommonName == "" || len(c.Subject.OrganizationalUnit) != 1 {
		return Peer{}, false
	}
	p := Peer{VM: vm.ID(c.Subject.CommonName), Role: Role(c.Subject.OrganizationalUnit[0])}
	return p, p.Role.Valid()
}

// RequireRole returns a copy of a TLS configuration that also rejects verified
// peers of other roles during the handshake. It returns nil, which stands for
// plain TCP, for nil.
func RequireRole(config *tls.Config, roles ...Role) *tls.Config {
	if config == nil {
		return nil
	}
	c := config.Clone()
	c.VerifyConnection = func(state tls.ConnectionState) error {
		p, ok := verifiedPeer(state)
		if !ok || !slices.Contains(roles, p.Role) {
			return &RoleError{Peer: p, Want: roles}
		}
		return nil
	}
	return c
}

// verifiedPeer relies on VerifiedChains, which is empty unless the certificate
// was verified against the cluster CA.
func verifiedPeer(state tls.ConnectionState) (Peer, bool) {
	if len(state.VerifiedChains) == 0 || len(state.VerifiedChains[0]) == 0 {
		return Peer{}, false
	}
	return PeerOfCertificate(state.VerifiedChains[0][0])
}

// withPeer adds the verified peer of a connection to the context, if any.
func withPeer(ctx context.Context, conn net.Conn) context.Context {
	secured, ok := conn.(*tls.Conn)
	if !ok {
		return ctx
	}
	p, ok := verifiedPeer(secured.ConnectionState())
	if !ok {
		return ctx
	}
	return ContextWithPeer(ctx, p)
}

// withServerName makes a client verify the certificate of the server against
// the host that it dialled, unless the configuration names another one.
func withServerName(config *tls.Config, address string) *tls.Config {
	if config == nil || config.ServerName != "" {
		return config
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		host = address
	}
	c := config.Clone()
	c.ServerName = host
	return c
}
