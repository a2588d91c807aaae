package control

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/service"
)

// largeChange returns a desired state whose routes have random names, so that it
// compresses as little as that of a deployment.
func largeChange(t *testing.T, version uint64, routes int) intent.Change {
	random := rand.New(rand.NewPCG(version, 4))
	desired := &intent.DesiredState{Version: version, IdleTimeout: 15 * time.Second}
	for i := range routes {
		desired.Routes = append(desired.Routes, intent.Route{
			Name: fmt.Sprintf("r-%016x", random.Uint64()), Virtual: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443),
			Timeout: time.Second, Backends: []intent.WeightedService{{Service: service.Name(fmt.Sprint("s", i%10)), Weight: 1}},
		})
	}
	var err error
	desired.Document, err = json.Marshal(desired.Routes)
	require.NoError(t, err)
	return intent.Change{Kind: intent.KindDesired, Desired: desired}
}

// Guards against a change that is accepted and whose snapshot does not fit into a message:
// replicas with an empty disk would never get it. The snapshot also has the history.
func TestSnapshotIsLittleLargerThanChange(t *testing.T) {
	machine := newStateMachine(snapshotContent{State: &intent.State{}})
	const changes = 300
	for version := range uint64(changes) {
		machine, _ = machine.applyChange(largeChange(t, version+1, 1), 0)
	}
	change := largeChange(t, changes+1, 15_000)
	command, err := encodeCommand(change)
	require.NoError(t, err)
	machine, _ = machine.applyChange(change, len(command))
	snapshot, err := machine.encodeSnapshot()
	require.NoError(t, err)
	require.Greater(t, len(command), 256<<10)
	const historyBytes = 64 << 10
	require.Less(t, len(snapshot), len(command)+historyBytes)
}

// Guards against a change that is neither accepted nor refused because of its size, and
// against one that an earlier build has accepted and that is refused when it is sent again.
func TestTooLargeChanges(t *testing.T) {
	g := newRaftGroup(t)
	g.maxChangeBytes = 4 << 10
	g.start(1, 0)
	propose := func(change intent.Change) (intent.Result, error) {
		encoded, err := EncodeChange(change)
		require.NoError(t, err)
		var result intent.Result
		require.Eventually(t, func() bool {
			node := g.leader()
			if node == nil {
				return false
			}
			result, err = node.Propose(context.Background(), encoded)
			return true
		}, 10*time.Second, time.Millisecond)
		return result, err
	}
	_, err := propose(largeChange(t, 5, 1))
	require.NoError(t, err)
	_, err = propose(largeChange(t, 6, 1000))
	var tooLarge *ChangeTooLargeError
	require.ErrorAs(t, err, &tooLarge)
	require.Equal(t, 4<<10, tooLarge.Limit)
	require.Greater(t, tooLarge.Bytes, tooLarge.Limit)
	result, err := propose(largeChange(t, 4, 1000))
	require.NoError(t, err)
	require.Equal(t, intent.Superseded, result.Outcome)
	result, err = propose(largeChange(t, 7, 1))
	require.NoError(t, err)
	require.Equal(t, intent.Accepted, result.Outcome)
}
