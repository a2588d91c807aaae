package fanout_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/fanout/simnet"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/membership/fleet"
	"bramleyhold.example/bramleyhold/internal/memlink"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// target is the time in which a revision must be in force everywhere.
const target = 8 * time.Second

func start(nodes int, loss float64, state *intent.State) *simnet.Net {
	n := simnet.New(simnet.Config{Seed: 1, Nodes: nodes, Control: 3, Zones: fleet.Zones(3), Loss: loss, State: state})
	n.Run(5 * time.Second)
	return n
}

func initial() *intent.State {
	return &intent.State{Revision: 1, Services: []intent.Service{{ID: 1, Name: "orders"}}}
}

func change(i int) intent.Change {
	return intent.Change{
		OperationID: fmt.Sprintf("op-%d", i), Kind: intent.KindTraffic,
		Traffic: &intent.TrafficRule{Service: service.Name("orders"), Enabled: i%2 == 0},
	}
}

func check(t *testing.T, n *simnet.Net, revision uint64) {
	t.Helper()
	_, ok := n.RunUntil(target, func() bool { return n.AllAt(revision) })
	require.True(t, ok, "revision %d is not everywhere in time", revision)
	_, ok = n.RunUntil(target, func() bool { return n.Members[0].Node.AppliedInSubtree() == revision })
	require.True(t, ok, "the leader does not know that the revision is in force")
	for _, m := range n.Members {
		require.False(t, m.WentBack, "%s went back", m.ID)
		if m.Stopped {
			continue
		}
		require.Equal(t, n.Members[0].Node.State().Services, m.Node.State().Services)
	}
}

// Guards against revisions that are lost, applied out of order or taken back
// on links that lose, duplicate and reorder messages.
func TestRevisionsArriveOnBadLinks(t *testing.T) {
	for _, loss := range []float64{0, 0.01, 0.2} {
		t.Run(fmt.Sprint(loss), func(t *testing.T) {
			n := start(100, 0, initial())
			n.Quality = func(_, _ *simnet.Member) memlink.Quality {
				return memlink.Quality{Delay: 5 * time.Millisecond, Jitter: 50 * time.Millisecond, Loss: loss, Duplicate: 0.1}
			}
			var revision uint64
			for i := range 20 {
				revision = n.Publish(change(i))
				n.Run(20 * time.Millisecond)
			}
			check(t, n, revision)
		})
	}
}

// Guards against a delegate, or an inner node, whose loss keeps a revision
// from its subtree before membership has noticed.
func TestSilentParentIsBypassed(t *testing.T) {
	n := start(90, 0, initial())
	busiest := n.Members[3]
	for _, m := range n.Members[3:] {
		if m.Sent > busiest.Sent {
			busiest = m
		}
	}
	busiest.Stopped = true
	revision := n.Publish(change(1))
	_, ok := n.RunUntil(target, func() bool { return n.AllAt(revision) })
	require.True(t, ok)
	n.Announce()
	check(t, n, n.Publish(change(2)))
}

// Guards against a leader that reports a revision as in force while a live
// node lacks it.
func TestInForceWaitsForEveryNode(t *testing.T) {
	n := start(30, 0, initial())
	cut := n.Members[20]
	n.Quality = func(a, b *simnet.Member) memlink.Quality {
		return memlink.Quality{Delay: 5 * time.Millisecond, Down: a == cut || b == cut}
	}
	revision := n.Publish(change(1))
	n.Run(20 * time.Second)
	require.Less(t, n.Members[0].Node.AppliedInSubtree(), revision)
	n.Quality = func(_, _ *simnet.Member) memlink.Quality { return memlink.Quality{Delay: 5 * time.Millisecond} }
	check(t, n, revision)
}

// Guards against a node that returns with an old state, or none, and gets
// nothing or a gap, and against members that disagree on the tree.
func TestCatchUp(t *testing.T) {
	n := start(40, 0, initial())
	late := n.Members[10]
	late.Stopped = true
	for i := range 5 {
		n.Publish(change(i))
		n.Run(100 * time.Millisecond)
	}
	late.Stopped = false
	check(t, n, n.Members[0].Node.State().Revision)
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range 10 {
		n.Members[3+rng.IntN(40)].Stopped = true
		n.Announce()
		for _, m := range n.Members {
			m.Stopped = false
		}
		n.Run(time.Second)
		n.Publish(change(i))
	}
	n.Announce()
	check(t, n, n.Members[0].Node.State().Revision)
}

// Guards against a large change that is sent as a delta although the state is
// smaller, and against nodes that cannot apply a snapshot.
func TestInventoryAndSnapshot(t *testing.T) {
	n := start(20, 0.01, nil)
	inventory := func(size int) *intent.Inventory {
		inv := &intent.Inventory{Services: []intent.ServiceEntry{{Name: "orders"}}}
		for i := range size {
			inv.Machines = append(inv.Machines, intent.Machine{ID: vm.ID(fmt.Sprint("b", i)), Role: vm.RoleBalancer, Zone: fleet.Zones(3)[i%3]})
		}
		return inv
	}
	late := n.Members[10]
	late.Stopped = true
	for i := range 6 {
		n.Publish(intent.Change{OperationID: fmt.Sprint("import", i), Kind: intent.KindInventory, Inventory: inventory(200)})
		n.Run(time.Second)
	}
	late.Stopped = false
	n.ResetCounters()
	check(t, n, n.Members[0].Node.State().Revision)
	var sent int64
	for _, m := range n.Members {
		sent += m.Sent
	}
	require.Less(t, sent, int64(3*25_000), "six inventories were sent instead of one state")
}

// Guards against a node that takes an accepted change for a repetition, because
// it still remembers an operation id that control has forgotten and accepted
// again.
func TestReusedOperationID(t *testing.T) {
	state := initial()
	state.Operations = []intent.Operation{{ID: "op-1", Result: intent.Result{Outcome: intent.Accepted, Revision: 1}}}
	n := start(20, 0, state)
	n.Publish(change(1))
	check(t, n, 2)
}
