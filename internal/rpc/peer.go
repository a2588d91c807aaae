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

// Role determines what a peer may do. It is stored in its certificate as the
// organizational unit of the subject.
type Role string

// The roles of certificates.
const (
	RoleControl  Role = "control"
	RoleBalancer Role = "balancer"
	RoleAgent    Role = "agent"
	RoleOperator Role = "operator"
)

// Roles returns all roles.
func Roles() []Role { return []Role{RoleControl, RoleBalancer, RoleAgent, RoleOperator} }

// Valid reports whether the role is one of Roles.
func (r Role) Valid() bool { return slices.Contains(Roles(), r) }

// Peer is the other side of a mutually verified TLS connection.
type Peer struct {
	VM   vm.ID
	Role Role
}

// RoleError reports a peer whose certificate has none of the allowed roles.
type RoleError struct {
	Peer    Peer
	Allowed []Role
}

func (e *RoleError) Error() string {
	return fmt.Sprintf("certificate of %q has role %q, want one of %v", e.Peer.VM, e.Peer.Role, e.Allowed)
}

type peerKey struct{}

// PeerFromContext returns the verified peer of the connection on which a
// request arrived. It returns false on a plain TCP connection. It also returns
// false if the certificate has no VM name or not exactly one valid role.
func PeerFromContext(ctx context.Context) (Peer, bool) {
	p, ok := ctx.Value(peerKey{}).(Peer)
	return p, ok
}

// ContextWithPeer returns a context that carries the peer for PeerFromContext.
func ContextWithPeer(ctx context.Context, p Peer) context.Context {
	return context.WithValue(ctx, peerKey{}, p)
}

// PeerOfCertificate returns the VM and the role in a certificate. It returns
// false unless the certificate has a VM name and exactly one valid role.
func PeerOfCertificate(c *x509.Certificate) (Peer, bool) {
	if c.Subject.CommonName == "" || len(c.Subject.OrganizationalUnit) != 1 {
		return Peer{}, false
	}
	p := Peer{VM: vm.ID(c.Subject.CommonName), Role: Role(c.Subject.OrganizationalUnit[0])}
	return p, p.Role.Valid()
}

// RequireRole returns a copy of a TLS configuration whose handshake also
// rejects verified peers with none of the roles. For nil, which stands for
// plain TCP, it returns nil.
func RequireRole(config *tls.Config, roles ...Role) *tls.Config {
	if config == nil {
		return nil
	}
	c := config.Clone()
	c.VerifyConnection = func(state tls.ConnectionState) error {
		p, ok := verifiedPeer(state)
		if !ok || !slices.Contains(roles, p.Role) {
			return &RoleError{Peer: p, Allowed: roles}
		}
		return nil
	}
	return c
}

// verifiedPeer returns the peer of a TLS connection if its certificate was
// verified against the cluster CA. VerifiedChains is empty otherwise.
func verifiedPeer(state tls.ConnectionState) (Peer, bool) {
	if len(state.VerifiedChains) == 0 || len(state.VerifiedChains[0]) == 0 {
		return Peer{}, false
	}
	return PeerOfCertificate(state.VerifiedChains[0][0])
}

// withPeer adds the verified peer of a connection to the context, if any.
func withPeer(ctx context.Context, conn net.Conn) context.Context {
	tlsConn, ok := conn.(*tls.Conn)
	if !ok {
		return ctx
	}
	p, ok := verifiedPeer(tlsConn.ConnectionState())
	if !ok {
		return ctx
	}
	return ContextWithPeer(ctx, p)
}

// withServerName returns a TLS configuration with which a client verifies the
// server certificate against the host that it dials. A server name that is
// already set is kept.
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
