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
	anyRole = rpc.Roles()
	// allowedRoles says which certificates may call a method.
	allowedRoles = map[string][]rpc.Role{
		controlapi.IntentPropose:   {rpc.RoleOperator},
		controlapi.IntentGet:       anyRole,
		controlapi.IntentSubscribe: anyRole,
		controlapi.IntentHistory:   anyRole,
		controlapi.MembersAnnounce: {rpc.RoleControl, rpc.RoleBalancer, rpc.RoleAgent},
		controlapi.MembersList:     anyRole,
		controlapi.StatusGet:       anyRole,
		controlapi.EventsList:      anyRole,
		controlapi.ReplicaMessage:  {rpc.RoleControl},
		controlapi.ReplicaForward:  {rpc.RoleControl},
	}
)

// authorized wraps a handler with the check of the certificate's role. Plain
// TCP is for loopback and allows everything.
func (s *Server) authorized(method string, handle rpc.HandlerFunc) rpc.HandlerFunc {
	if !s.secured() {
		return handle
	}
	return func(ctx context.Context, conn *rpc.Conn, params json.RawMessage) (any, error) {
		peer, known := rpc.PeerFromContext(ctx)
		if !known || !slices.Contains(allowedRoles[method], peer.Role) {
			return nil, notAuthorized("role %q of %q may not call %s", peer.Role, peer.VM, method)
		}
		return handle(ctx, conn, params)
	}
}

func (s *Server) secured() bool { return s.options.ServerTLS != nil }

func notAuthorized(format string, args ...any) error {
	return &jsonrpc2.Error{Code: controlapi.CodeNotAuthorized, Message: fmt.Sprintf(format, args...)}
}

// speaksFor reports whether the certificate belongs to the named VM.
func (s *Server) speaksFor(ctx context.Context, id vm.ID) bool {
	peer, known := rpc.PeerFromContext(ctx)
	return !s.secured() || (known && peer.VM == id)
}
