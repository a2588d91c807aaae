package control_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/consensus"
	"bramleyhold.example/bramleyhold/internal/control"
	"bramleyhold.example/bramleyhold/internal/controlapi"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/keys"
	"bramleyhold.example/bramleyhold/internal/rpc"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// Guards against certificates that may do more than their role: only operators
// propose, only control replicas exchange messages, and nobody speaks for
// another VM; and against replicas that cannot work over TLS.
func TestRolesOfCertificates(t *testing.T) {
	authority := t.TempDir()
	require.NoError(t, keys.Init(authority, time.Now()))
	issue := func(role rpc.Role, id vm.ID) string {
		issued, err := keys.Issue(authority, keys.Request{
			VM: id, Role: role, Addresses: []netip.Addr{netip.MustParseAddr("127.0.0.1")},
		}, time.Now())
		require.NoError(t, err)
		return issued.Folder
	}
	f := newFleet(t, 3)
	f.change = func(o *control.Options) {
		var err error
		o.ServerTLS, o.ClientTLS, err = keys.LoadTLS(issue(rpc.RoleControl, o.VM))
		require.NoError(t, err)
	}
	f.start()
	f.leader()
	message, err := cbor.Marshal(consensus.Message{From: consensus.Replica{VM: "c2"}})
	require.NoError(t, err)
	params := map[string]any{
		controlapi.IntentPropose:   controlapi.ProposeRequest{Change: inventory("a", 0)},
		controlapi.ReplicaForward:  controlapi.ForwardRequest{Method: controlapi.MembersAnnounce, Params: []byte("{}")},
		controlapi.ReplicaMessage:  controlapi.ReplicaEnvelope{Message: message},
		controlapi.MembersAnnounce: view.Member{VM: "b1"},
		controlapi.IntentGet:       controlapi.GetRequest{Linearizable: true},
	}
	allowed := map[rpc.Role]map[string]bool{
		rpc.RoleOperator: {controlapi.IntentPropose: true, controlapi.IntentGet: true},
		rpc.RoleBalancer: {controlapi.MembersAnnounce: true, controlapi.IntentGet: true},
		rpc.RoleAgent:    {controlapi.IntentGet: true},
		rpc.RoleControl:  {controlapi.ReplicaForward: true, controlapi.ReplicaMessage: true, controlapi.IntentGet: true},
	}
	names := map[rpc.Role]vm.ID{rpc.RoleOperator: "ann", rpc.RoleBalancer: "b1", rpc.RoleAgent: "u1", rpc.RoleControl: "c2"}
	for role, methods := range allowed {
		_, client, err := keys.LoadTLS(issue(role, names[role]))
		require.NoError(t, err)
		conn, err := rpc.Dial(context.Background(), f.peers["c1"], client, rpc.Methods{}.Handler())
		require.NoError(t, err)
		for method, request := range params {
			var result any
			err := conn.Call(context.Background(), method, request, &result)
			if methods[method] {
				require.NoError(t, err, "%s as %s", method, role)
			} else {
				require.Equal(t, controlapi.CodeNotAuthorized, codeOf(err), "%s as %s: %v", method, role, err)
			}
		}
		if role == rpc.RoleOperator {
			rows := call[[]intent.HistoryEntry](t, conn, controlapi.IntentHistory, controlapi.HistoryRequest{})
			require.Equal(t, "ann", rows[0].Operator)
		}
		require.NoError(t, conn.Close())
	}
	plain := f.dial("c1", nil)
	var status controlapi.Status
	require.Error(t, plain.Call(context.Background(), controlapi.StatusGet, nil, &status), "plain TCP to a server with TLS")
}
