package control

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/sourcegraph/jsonrpc2"

	"bramleyhold.example/bramleyhold/internal/controlapi"
	"bramleyhold.example/bramleyhold/internal/rpc"
	"bramleyhold.example/bramleyhold/internal/vm"
)

var (
	allRoles = rpc.Roles()
	// rolesByMethod lists the certificate roles that may call each method.
	rolesByMethod = map[string][]rpc.Role{
		controlapi.IntentPropose:   {rpc.RoleOperator},
		controlapi.IntentGet:       allRoles,
		controlapi.IntentSubscribe: allRoles,
		controlapi.IntentHistory:   allRoles,
		controlapi.MembersAnnounce: {rpc.RoleControl, rpc.RoleBalancer, rpc.RoleAgent},
		controlapi.MembersList:     allRoles,
		controlapi.StatusGet:       allRoles,
		controlapi.EventsList:      allRoles,
		controlapi.ReplicaMessage:  {rpc.RoleControl},
		controlapi.ReplicaForward:  {rpc.RoleControl},
	}
)

// requireRole wraps the handler of a method. The wrapper rejects clients whose
// certificate has none of the roles in rolesByMethod. Without TLS, which is
// for loopback only, it allows every client.
func (s *Server) requireRole(method string, handler rpc.HandlerFunc) rpc.HandlerFunc {
	if !s.usesTLS() {
		return handler
	}
	return func(ctx context.Context, conn *rpc.Conn, params json.RawMessage) (any, error) {
		peer, verified := rpc.PeerFromContext(ctx)
		if !verified || !slices.Contains(rolesByMethod[method], peer.Role) {
			return nil, notAuthorizedError("role %q of %q may not call %s", peer.Role, peer.VM, method)
		}
		return handler(ctx, conn, params)
	}
}

func (s *Server) usesTLS() bool { return s.options.ServerTLS != nil }

func notAuthorizedError(format string, args ...any) error {
	return &jsonrpc2.Error{Code: controlapi.CodeNotAuthorized, Message: fmt.Sprintf(format, args...)}
}

// certificateMatches reports whether the request came with the certificate of
// the VM. Without TLS it is always true.
func (s *Server) certificateMatches(ctx context.Context, id vm.ID) bool {
	peer, verified := rpc.PeerFromContext(ctx)
	return !s.usesTLS() || (verified && peer.VM == id)
}
