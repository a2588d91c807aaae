package fanout_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/fanout/simnet"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/membership/simfleet"
	"bramleyhold.example/bramleyhold/internal/memlink"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// propagationLimit is the time within which a revision must be applied everywhere.
const propagationLimit = 8 * time.Second

// startNet starts a simulation with three control replicas and three zones.
func startNet(nodes int, loss float64, state *intent.State) *simnet.Net {
	n := simnet.New(simnet.Config{Seed: 1, Nodes: nodes, ControlReplicas: 3, Zones: simfleet.Zones(3), Loss: loss, State: state})
	n.Run(5 * time.Second)
	return n
}

func initialState() *intent.State {
	return &intent.State{Revision: 1, Services: []intent.Service{{ID: 1, Name: "orders"}}}
}

func trafficChange(i int) intent.Change {
	return intent.Change{
		OperationID: fmt.Sprintf("op-%d", i), Kind: intent.KindTraffic,
		Traffic: &intent.TrafficRule{Service: service.Name("orders"), Enabled: i%2 == 0},
	}
}

// requireAppliedEverywhere requires that all running nodes apply the revision, and
// that the leader receives the acknowledgement, each within propagationLimit.
func requireAppliedEverywhere(t *testing.T, net *simnet.Net, revision uint64) {
	t.Helper()
	_, ok := net.RunUntil(propagationLimit, func() bool { return net.AllApplied(revision) })
	require.True(t, ok, "revision %d is not applied everywhere in time", revision)
	_, ok = net.RunUntil(propagationLimit, func() bool { return net.Members[0].Node.AppliedInSubtree() == revision })
	require.True(t, ok, "the leader has no acknowledgement that the revision is applied everywhere")
	for _, m := range net.Members {
		require.False(t, m.RevisionDecreased, "the revision of %s has decreased", m.ID)
		if m.Stopped {
			continue
		}
		require.Equal(t, net.Members[0].Node.State().Services, m.Node.State().Services)
	}
}

// Revisions must not be lost, applied out of order or rolled back on links that
// lose, duplicate and reorder messages.
func TestRevisionsArriveOnBadLinks(t *testing.T) {
	for _, loss := range []float64{0, 0.01, 0.2} {
		t.Run(fmt.Sprint(loss), func(t *testing.T) {
			n := startNet(100, 0, initialState())
			n.LinkQuality = func(_, _ *simnet.Member) memlink.Quality {
				return memlink.Quality{Delay: 5 * time.Millisecond, Jitter: 50 * time.Millisecond, Loss: loss, Duplicate: 0.1}
			}
			var revision uint64
			for i := range 20 {
				revision = n.Publish(trafficChange(i))
				n.Run(20 * time.Millisecond)
			}
			requireAppliedEverywhere(t, n, revision)
		})
	}
}

// When a delegate or inner node fails, its subtree must receive revisions before
// membership reports the failure. The node that sends most has a subtree.
func TestFailedParentIsBypassed(t *testing.T) {
	n := startNet(90, 0, initialState())
	busiest := n.Members[3]
	for _, m := range n.Members[3:] {
		if m.SentBytes > busiest.SentBytes {
			busiest = m
		}
	}
	busiest.Stopped = true
	revision := n.Publish(trafficChange(1))
	_, ok := n.RunUntil(propagationLimit, func() bool { return n.AllApplied(revision) })
	require.True(t, ok)
	n.UpdateMembers()
	requireAppliedEverywhere(t, n, n.Publish(trafficChange(2)))
}

// The leader must not report a revision as applied everywhere while a running node
// has not applied it.
func TestAppliedEverywhereWaitsForEveryNode(t *testing.T) {
	n := startNet(30, 0, initialState())
	isolated := n.Members[20]
	n.LinkQuality = func(a, b *simnet.Member) memlink.Quality {
		return memlink.Quality{Delay: 5 * time.Millisecond, Down: a == isolated || b == isolated}
	}
	revision := n.Publish(trafficChange(1))
	n.Run(20 * time.Second)
	require.Less(t, n.Members[0].Node.AppliedInSubtree(), revision)
	n.LinkQuality = func(_, _ *simnet.Member) memlink.Quality { return memlink.Quality{Delay: 5 * time.Millisecond} }
	requireAppliedEverywhere(t, n, revision)
}

// A node that returns with an old state must receive all missing revisions. The same
// holds while nodes compute different trees because their members differ.
func TestReturningNodeCatchesUp(t *testing.T) {
	n := startNet(40, 0, initialState())
	returning := n.Members[10]
	returning.Stopped = true
	for i := range 5 {
		n.Publish(trafficChange(i))
		n.Run(100 * time.Millisecond)
	}
	returning.Stopped = false
	requireAppliedEverywhere(t, n, n.Members[0].Node.State().Revision)
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range 10 {
		n.Members[3+rng.IntN(40)].Stopped = true
		n.UpdateMembers()
		for _, m := range n.Members {
			m.Stopped = false
		}
		n.Run(time.Second)
		n.Publish(trafficChange(i))
	}
	n.UpdateMembers()
	requireAppliedEverywhere(t, n, n.Members[0].Node.State().Revision)
}

// When the missing changes are larger than the state, a returning node must receive
// one snapshot and apply it.
func TestLargeChangeIsSentAsSnapshot(t *testing.T) {
	n := startNet(20, 0.01, nil)
	inventory := func(size int) *intent.Inventory {
		inv := &intent.Inventory{Services: []intent.ServiceEntry{{Name: "orders"}}}
		for i := range size {
			inv.VMs = append(inv.VMs, intent.InventoryVM{ID: vm.ID(fmt.Sprint("b", i)), Role: vm.RoleBalancer, Zone: simfleet.Zones(3)[i%3]})
		}
		return inv
	}
	returning := n.Members[10]
	returning.Stopped = true
	for i := range 6 {
		n.Publish(intent.Change{OperationID: fmt.Sprint("import", i), Kind: intent.KindInventory, Inventory: inventory(200)})
		n.Run(time.Second)
	}
	returning.Stopped = false
	n.ResetCounters()
	requireAppliedEverywhere(t, n, n.Members[0].Node.State().Revision)
	var sent int64
	for _, m := range n.Members {
		sent += m.SentBytes
	}
	require.Less(t, sent, int64(3*25_000), "six inventories were sent instead of one state")
}

// Control accepts an operation ID again after it has evicted the first operation. A
// node whose state still contains the ID must not skip the new change as a
// duplicate.
func TestReusedOperationID(t *testing.T) {
	state := initialState()
	state.Operations = []intent.Operation{{ID: "op-1", Result: intent.Result{Outcome: intent.Accepted, Revision: 1}}}
	n := startNet(20, 0, state)
	n.Publish(trafficChange(1))
	requireAppliedEverywhere(t, n, 2)
}
