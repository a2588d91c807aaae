package control

import (
	"context"
	"encoding/json"
	"io"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/consensus"
	"bramleyhold.example/bramleyhold/internal/controlapi"
	"bramleyhold.example/bramleyhold/internal/event"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/lifecycle"
	"bramleyhold.example/bramleyhold/internal/logstore"
	"bramleyhold.example/bramleyhold/internal/loopback"
	"bramleyhold.example/bramleyhold/internal/telemetry"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// startSingleLeader starts a group of one replica, waits until it is the
// leader and stops it at the end of the test. The server sees the given
// members.
func startSingleLeader(t *testing.T, members func() []view.Member) *Server {
	t.Helper()
	files, err := logstore.OpenFolder(t.TempDir())
	require.NoError(t, err)
	log, err := telemetry.NewLogger(io.Discard, "test", "c1", "info")
	require.NoError(t, err)
	address, err := loopback.FreeAddress()
	require.NoError(t, err)
	s, err := New(Options{
		VM: "c1", Listen: address.String(), InitialPeers: map[vm.ID]string{"c1": address.String()}, Files: files, Members: members, Log: log,
		Registry: metrics.NewRegistry(), ElectionTimeout: 300 * time.Millisecond, HeartbeatInterval: 30 * time.Millisecond,
	})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	require.Eventually(t, func() bool { return s.replica.published().role == consensus.Leader }, 20*time.Second, 10*time.Millisecond)
	return s
}

// Guards against retired VMs that are never removed from the intent. Also
// guards against a removal without a visible reason and against a removal that
// an operator proposes.
func TestLeaderRemovesRetiredVMs(t *testing.T) {
	u0 := view.Member{VM: "u0", Status: view.Ready}
	u1 := view.Member{VM: "u1", Status: view.Leaving}
	s := startSingleLeader(t, func() []view.Member { return []view.Member{u0, u1} })
	propose := func(c intent.Change) {
		c.BaseRevision = s.replica.published().stateMachine.State.Revision
		result, err := s.proposeLocally(t.Context(), controlapi.ProposeRequest{Change: c})
		require.NoError(t, err)
		require.Equal(t, intent.Accepted, result.Outcome, result.Reason)
	}
	propose(inventoryWithUpstreams(2))
	smaller := inventoryWithUpstreams(1)
	smaller.OperationID = "second"
	propose(smaller)

	tracker, now := lifecycle.NewTracker(), time.Unix(1000, 0)
	review := func() *intent.State {
		for end := now.Add(lifecycle.RemoveFailedAfter); !now.After(end); now = now.Add(lifecycle.RecordInterval) {
			s.reviewRetiredVMs(t.Context(), tracker, now)
		}
		return s.replica.published().stateMachine.State
	}
	require.Len(t, review().VMs, 2, "u1 is leaving and may hold flows")
	u1.Status = view.Left
	state := review()
	require.Len(t, state.VMs, 1)
	entry := state.History[len(state.History)-1]
	require.Equal(t, intent.HistoryEntry{
		Revision: 3, OperationID: "forget-at-2", Operator: "control c1", Summary: "1 retired VMs forgotten: u1 (left)",
	}, entry)
	events := s.events.List()
	last := events[len(events)-1]
	require.Equal(t, event.VMRemoved, last.Kind)
	require.Equal(t, "u1", last.Object)
	require.Equal(t, "left", last.Reason)

	params, err := json.Marshal(controlapi.ProposeRequest{Change: intent.Change{
		OperationID: "op", Kind: intent.KindRemove, Remove: &intent.RemoveRule{VMs: []intent.RemovedVM{{VM: "u0", Reason: "left"}}},
	}})
	require.NoError(t, err)
	_, err = decodeProposal(t.Context(), params)
	require.ErrorContains(t, err, "proposed by control itself")
}
