package intent_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// A fixed seed gives the same result on every run. The flag overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

func twoServices() *intent.Inventory {
	inv := &intent.Inventory{}
	for i, name := range []service.Name{"orders", "kilnlog"} {
		endpoint := service.Endpoint{Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(443+i)), Protocol: service.TCP}
		inv.Services = append(inv.Services, intent.ServiceEntry{Name: name, Endpoint: endpoint})
		for j := range 3 {
			inv.VMs = append(inv.VMs, intent.InventoryVM{ID: vm.ID(fmt.Sprintf("%s%d", name, j)), Role: vm.RoleUpstream, Service: name})
		}
	}
	return inv
}

// Guards against replicas or nodes that reach different states from the same
// changes. Apply must not depend on map order or on memory shared between
// copies of the state. Replay of the accepted changes must give the same state
// as Apply.
func TestApplyIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, node := &intent.State{}, &intent.State{}, &intent.State{}
		for i := range rapid.IntRange(1, 30).Draw(t, "changes") {
			change := drawChange(t, i, a.Revision)
			before, err := json.Marshal(a)
			require.NoError(t, err)
			next, result := intent.Apply(a, change)
			after, err := json.Marshal(a)
			require.NoError(t, err)
			require.Equal(t, string(before), string(after), "Apply modified the given state")
			var otherResult intent.Result
			b, otherResult = intent.Apply(b, change)
			require.Equal(t, result, otherResult)
			if next.Revision > a.Revision {
				node, err = intent.Replay(node, change)
				require.NoError(t, err)
			}
			a = next
		}
		require.Equal(t, a, b)
		require.Equal(t, a.VMs, node.VMs)
		require.Equal(t, a.Services, node.Services)
		require.Equal(t, a.Revision, node.Revision)
	})
}

// drawChange draws a random change. Its operation id may repeat that of an
// earlier change, and its base revision may be one behind the current one.
func drawChange(t *rapid.T, number int, revision uint64) intent.Change {
	c := intent.Change{
		OperationID:  fmt.Sprint("op", rapid.IntRange(max(0, number-3), number).Draw(t, "operation")),
		BaseRevision: revision - min(revision, uint64(rapid.IntRange(0, 1).Draw(t, "behind"))),
	}
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		c.Kind, c.Inventory = intent.KindInventory, twoServices()
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 1))
		random.Shuffle(len(c.Inventory.VMs), func(i, j int) {
			c.Inventory.VMs[i], c.Inventory.VMs[j] = c.Inventory.VMs[j], c.Inventory.VMs[i]
		})
		c.Inventory.VMs = slices.Clip(c.Inventory.VMs[:rapid.IntRange(1, 6).Draw(t, "machines")])
	case 1:
		c.Kind, c.Traffic = intent.KindTraffic, &intent.TrafficRule{Service: "orders", Enabled: rapid.Bool().Draw(t, "enabled")}
	case 2:
		c.Kind, c.Remove = intent.KindRemove, &intent.RemoveRule{VMs: []intent.RemovedVM{
			{VM: vm.ID(fmt.Sprint("orders", rapid.IntRange(0, 2).Draw(t, "vm"))), Reason: "left"},
		}}
	default:
		c.Kind, c.Leaving = intent.KindLeaving, &intent.LeavingRule{VM: "orders1", Leaving: rapid.Bool().Draw(t, "leaving")}
	}
	return c
}

func trafficChange(id string, base uint64) intent.Change {
	return intent.Change{
		OperationID: id, BaseRevision: base, Kind: intent.KindTraffic, Traffic: &intent.TrafficRule{Service: "orders"},
	}
}

// Guards against a conflict that does not name the change that was accepted on
// the same base revision.
func TestConflictNamesAcceptedChange(t *testing.T) {
	s, _ := intent.Apply(&intent.State{}, intent.Change{OperationID: "i", Kind: intent.KindInventory, Inventory: twoServices()})
	for i := range uint64(3) {
		s, _ = intent.Apply(s, trafficChange(fmt.Sprint("w", i+1), i+1))
	}
	for base := range uint64(4) {
		_, result := intent.Apply(s, trafficChange("late", base))
		require.Equal(t, intent.Conflict, result.Outcome)
		require.Equal(t, base+1, result.ConflictingChange.Revision)
	}
	_, result := intent.Apply(s, trafficChange("ahead", 9))
	require.Equal(t, intent.Conflict, result.Outcome)
	require.Nil(t, result.ConflictingChange)
}

// Guards against a node that ignores an accepted change because its operation
// id was used before. Also guards against a node that applies changes out of
// order.
func TestReplay(t *testing.T) {
	s, _ := intent.Apply(&intent.State{}, intent.Change{OperationID: "same", Kind: intent.KindInventory, Inventory: twoServices()})
	next, err := intent.Replay(s, trafficChange("same", 1))
	require.NoError(t, err)
	require.EqualValues(t, 2, next.Revision)
	var revisionErr *intent.BaseRevisionError
	_, err = intent.Replay(s, trafficChange("gap", 2))
	require.ErrorAs(t, err, &revisionErr)
	_, err = intent.Replay(next, trafficChange("old", 1))
	require.ErrorAs(t, err, &revisionErr)
}

// Guards against recording a rejection with a reason of unbounded size.
func TestReasonIsBounded(t *testing.T) {
	change := trafficChange("r", 0)
	change.Traffic.Service = service.Name(strings.Repeat("é", 5000))
	s, result := intent.Apply(&intent.State{}, change)
	require.Equal(t, intent.Rejected, result.Outcome)
	require.Less(t, len(result.Reason), 2100)
	require.Equal(t, result, s.Operations[0].Result)
}
