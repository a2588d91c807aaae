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
	"bramleyhold.example/bramleyhold/internal/loopback"
	"bramleyhold.example/bramleyhold/internal/rpc"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// Guards against certificates that allow more than their role. Only operators
// propose changes, only control replicas exchange messages, and no client acts
// for another VM. Also guards against replicas that cannot communicate over
// TLS.
func TestRolesOfCertificates(t *testing.T) {
	authority := t.TempDir()
	require.NoError(t, keys.InitCluster(authority, time.Now()))
	issueCertificate := func(role rpc.Role, id vm.ID) string {
		issued, err := keys.IssueCertificate(authority, keys.CertificateRequest{
			VM: id, Role: role, Addresses: []netip.Addr{loopback.Host},
		}, time.Now())
		require.NoError(t, err)
		return issued.Folder
	}
	cluster := newTestCluster(t, 3)
	cluster.editOptions = func(options *control.Options) {
		var err error
		options.ServerTLS, options.ClientTLS, err = keys.LoadTLS(issueCertificate(rpc.RoleControl, options.VM))
		require.NoError(t, err)
	}
	cluster.start()
	cluster.awaitLeader()
	message, err := cbor.Marshal(consensus.Message{From: consensus.ReplicaID{VM: "c2"}})
	require.NoError(t, err)
	requests := map[string]any{
		controlapi.IntentPropose:   controlapi.ProposeRequest{Change: inventoryChange("a", 0)},
		controlapi.ReplicaForward:  controlapi.ForwardRequest{Method: controlapi.MembersAnnounce, Params: []byte("{}")},
		controlapi.ReplicaMessage:  controlapi.ReplicaEnvelope{Message: message},
		controlapi.MembersAnnounce: view.Member{VM: "b1"},
		controlapi.IntentGet:       controlapi.GetRequest{Linearizable: true},
	}
	allowedByRole := map[rpc.Role]map[string]bool{
		rpc.RoleOperator: {controlapi.IntentPropose: true, controlapi.IntentGet: true},
		rpc.RoleBalancer: {controlapi.MembersAnnounce: true, controlapi.IntentGet: true},
		rpc.RoleAgent:    {controlapi.IntentGet: true},
		rpc.RoleControl:  {controlapi.ReplicaForward: true, controlapi.ReplicaMessage: true, controlapi.IntentGet: true},
	}
	vmByRole := map[rpc.Role]vm.ID{rpc.RoleOperator: "ann", rpc.RoleBalancer: "b1", rpc.RoleAgent: "u1", rpc.RoleControl: "c2"}
	for role, methods := range allowedByRole {
		_, client, err := keys.LoadTLS(issueCertificate(role, vmByRole[role]))
		require.NoError(t, err)
		conn, err := rpc.Dial(context.Background(), cluster.addresses["c1"], client, rpc.Methods{}.Handler())
		require.NoError(t, err)
		for method, request := range requests {
			var result any
			err := conn.Call(context.Background(), method, request, &result)
			if methods[method] {
				require.NoError(t, err, "%s as %s", method, role)
			} else {
				require.Equal(t, controlapi.CodeNotAuthorized, errorCode(err), "%s as %s: %v", method, role, err)
			}
		}
		if role == rpc.RoleOperator {
			rows := mustCall[[]intent.HistoryEntry](t, conn, controlapi.IntentHistory, controlapi.HistoryRequest{})
			require.Equal(t, "ann", rows[0].Operator)
		}
		require.NoError(t, conn.Close())
	}
	plainConn := cluster.dial("c1", nil)
	var status controlapi.Status
	require.Error(t, plainConn.Call(context.Background(), controlapi.StatusGet, nil, &status), "a TLS server must reject plain TCP")
}
