package intent_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/zone"
)

var zoneA = zone.ID{Region: "si", Name: "a"}

// conditionalOrder returns an order that was noted after the given number of orders.
func conditionalOrder(out bool, afterOrders uint64) intent.Change {
	return intent.Change{Kind: intent.KindZone, Zone: &intent.ZoneOrder{Region: zoneA.Region, Name: zoneA.Name, Out: out, AfterOrders: &afterOrders}}
}

// An order that is late must not undo a later one that was acknowledged. One that is sent
// again must be acknowledged again.
func TestConditionalZoneOrders(t *testing.T) {
	type step struct {
		out          bool
		afterOrders  uint64
		want         intent.Outcome
		wantOut      bool
		wantRevision uint64
	}
	for name, steps := range map[string][]step{
		"sent again": {{true, 0, intent.Accepted, true, 1}, {true, 1, intent.Accepted, true, 1}},
		"a copy that was noted before the first one was applied": {
			{true, 0, intent.Accepted, true, 1}, {true, 0, intent.Accepted, true, 1}, {false, 1, intent.Accepted, false, 2},
		},
		"late after its withdrawal": {
			{true, 0, intent.Accepted, true, 1}, {false, 1, intent.Accepted, false, 2}, {true, 0, intent.Conflict, false, 2}, {true, 1, intent.Conflict, false, 2},
		},
		"late after a withdrawal that found the zone in service": {{false, 0, intent.Accepted, false, 0}, {true, 0, intent.Conflict, false, 0}},
		"a withdrawal late after the next order": {
			{true, 0, intent.Accepted, true, 1}, {false, 1, intent.Accepted, false, 2}, {true, 2, intent.Accepted, true, 3}, {false, 1, intent.Conflict, true, 3},
		},
		"an order and its withdrawal cross": {{false, 0, intent.Accepted, false, 0}, {true, 0, intent.Conflict, false, 0}, {true, 1, intent.Accepted, true, 1}},
		"two operators at once":             {{true, 0, intent.Accepted, true, 1}, {false, 0, intent.Conflict, true, 1}},
	} {
		t.Run(name, func(t *testing.T) {
			state := &intent.State{}
			for i, s := range steps {
				next, result := intent.Apply(state, conditionalOrder(s.out, s.afterOrders))
				require.Equal(t, s.want, result.Outcome, "step %d: %s", i, result.Reason)
				require.Equal(t, s.wantOut, next.ZoneState(zoneA).Out, "step %d", i)
				require.Equal(t, s.wantRevision, next.Revision, "step %d", i)
				require.Equal(t, s.wantRevision, result.Revision, "step %d", i)
				state = next
			}
		})
	}
}

// Orders about one zone must not affect another one, and no desired state may undo them.
func TestZoneOrdersAreIndependent(t *testing.T) {
	state, _ := intent.Apply(&intent.State{}, conditionalOrder(true, 0))
	none := uint64(0)
	state, result := intent.Apply(state, intent.Change{Kind: intent.KindZone, Zone: &intent.ZoneOrder{Region: "at", Name: zoneA.Name, Out: true, AfterOrders: &none}})
	require.Equal(t, intent.Accepted, result.Outcome, result.Reason)
	state, result = intent.Apply(state, intent.Change{Kind: intent.KindDesired, Desired: &intent.DesiredState{Version: 7}})
	require.Equal(t, intent.Accepted, result.Outcome, result.Reason)
	state, result = intent.Apply(state, conditionalOrder(false, 1))
	require.Equal(t, intent.Accepted, result.Outcome, result.Reason)
	require.Equal(t, []zone.ID{{Region: "at", Name: "a"}}, state.ZonesOut())
	require.EqualValues(t, 7, state.Desired.Version)
	require.EqualValues(t, 4, state.Revision)
	require.EqualValues(t, 1, state.ZoneState(zoneA).Returns)
	state, result = intent.Apply(state, conditionalOrder(false, 2))
	require.Equal(t, intent.Accepted, result.Outcome, result.Reason)
	require.EqualValues(t, 1, state.ZoneState(zoneA).Returns, "it was in service")
}

// An operator's order has a base revision and an operation id like other changes, and
// only concerns zones of the inventory.
func TestZoneOrdersOfTheInventory(t *testing.T) {
	inv := twoServices()
	for i := range inv.VMs {
		inv.VMs[i].Zone = zoneA
	}
	state, result := intent.Apply(&intent.State{}, intent.Change{OperationID: "i", Kind: intent.KindInventory, Inventory: inv})
	require.Equal(t, intent.Accepted, result.Outcome, result.Reason)
	order := func(id, name string, base uint64, out bool) intent.Change {
		return intent.Change{OperationID: id, BaseRevision: base, Kind: intent.KindZone, Zone: &intent.ZoneOrder{Region: "si", Name: name, Out: out}}
	}
	_, result = intent.Apply(state, order("o1", "b", 1, true))
	require.Equal(t, intent.Rejected, result.Outcome)
	require.Contains(t, result.Reason, `zone "si/b": has no VM in the inventory`)
	state, result = intent.Apply(state, order("o2", "a", 1, true))
	require.Equal(t, intent.Accepted, result.Outcome, result.Reason)
	require.Equal(t, []zone.ID{zoneA}, state.ZonesOut())
	_, result = intent.Apply(state, order("o3", "a", 1, false))
	require.Equal(t, intent.Conflict, result.Outcome)
	again, result := intent.Apply(state, order("o2", "a", 1, true))
	require.Equal(t, intent.Accepted, result.Outcome)
	require.Equal(t, state, again)
	change := order("o4", "a", 2, false)
	findings := change.Validate()
	require.NoError(t, findings.Err())
	change.Zone.AfterOrders = new(uint64)
	findings = change.Validate()
	require.Error(t, findings.Err(), "a condition belongs to orders without a base revision")
}
