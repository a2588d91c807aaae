package intent

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/vm"
)

func removalChange(ids ...vm.ID) Change {
	removals := &RemoveRule{}
	for _, id := range ids {
		removals.VMs = append(removals.VMs, RemovedVM{VM: id, Reason: "left"})
	}
	return Change{OperationID: fmt.Sprint("forget ", ids), Kind: KindRemove, Remove: removals}
}

func inventoryChange(services []ServiceEntry, machines ...InventoryVM) Change {
	return Change{Kind: KindInventory, Inventory: &Inventory{Services: services, VMs: machines}}
}

// mustApply applies a change on the current revision, which must be accepted.
func mustApply(t *testing.T, s *State, c Change) *State {
	t.Helper()
	c.BaseRevision = s.Revision
	next, result := Apply(s, c)
	require.Equal(t, Accepted, result.Outcome, result.Reason)
	return next
}

// requireRejected applies a change on the current revision, which must be
// rejected for the given reason without changing the state.
func requireRejected(t *testing.T, s *State, c Change, reason string) {
	t.Helper()
	c.BaseRevision = s.Revision
	after, result := Apply(s, c)
	require.Equal(t, Rejected, result.Outcome)
	require.Contains(t, result.Reason, reason)
	require.Equal(t, s.VMs, after.VMs)
	require.Equal(t, s.Services, after.Services)
}

// Guards against removing a VM that is still in the inventory, and against
// retired VMs that are never removed.
func TestRemoveRetiredVMs(t *testing.T) {
	services := []ServiceEntry{serviceEntry("kilnlog", 2), serviceEntry("shop", 1)}
	s := mustApply(t, baseState(t), inventoryChange(services, upstreamMachine("a", "192.0.2.1", "shop"), upstreamMachine("c", "192.0.2.3", "kilnlog")))
	b, _ := s.FindVM("b")
	require.Equal(t, Retired, b.Status)
	s = mustApply(t, s, Change{Kind: KindLeaving, Leaving: &LeavingRule{VM: "c", Leaving: true}})
	longReason := removalChange("b")
	longReason.Remove.VMs[0].Reason = strings.Repeat("x", maxRemovalReasonBytes+1)
	var tooMany []vm.ID
	for i := range MaxRemovals + 1 {
		tooMany = append(tooMany, vm.ID(fmt.Sprint("v", i)))
	}
	for name, c := range map[string]struct {
		change Change
		reason string
	}{
		"active":            {removalChange("a"), `vm "a" field status: error: is not retired`},
		"leaving":           {removalChange("c"), "is not retired"},
		"unknown":           {removalChange("z"), "is not retired"},
		"one of two active": {removalChange("b", "a"), `vm "a"`},
		"twice":             {removalChange("b", "b"), "appears twice"},
		"none":              {removalChange(), "0 VMs"},
		"too many":          {removalChange(tooMany...), "65 VMs"},
		"reason too long":   {longReason, "length is 65 bytes"},
		"without content":   {Change{Kind: KindRemove}, "missing content"},
	} {
		t.Run(name, func(t *testing.T) { requireRejected(t, s, c.change, c.reason) })
	}
	s = mustApply(t, s, removalChange("b"))
	require.Len(t, s.VMs, 2)
	require.Equal(t, "1 retired VMs forgotten: b (left)", s.History[len(s.History)-1].Summary)
	require.Len(t, s.Services, 2)
}

// Guards against three faults with a service that was removed from the
// inventory. It must not disappear while upstreams hold its flows. It must not
// get traffic again. It must not stay after its last upstream has been
// removed.
func TestRemovedServiceIsRetiredWhileReferenced(t *testing.T) {
	s := mustApply(t, baseState(t), Change{Kind: KindTraffic, Traffic: &TrafficRule{Service: "shop"}})
	before, _ := s.FindService("shop")
	kilnlog := serviceEntry("kilnlog", 2)
	removed := mustApply(t, s, inventoryChange([]ServiceEntry{kilnlog}))
	retired, ok := removed.FindService("shop")
	require.True(t, ok)
	require.Equal(t, Service{ID: before.ID, Name: "shop", Endpoint: before.Endpoint, Contract: before.Contract, Retired: true}, retired)

	requireRejected(t, removed, Change{Kind: KindTraffic, Traffic: &TrafficRule{Service: "shop", Enabled: true}}, "not in the inventory")
	requireRejected(t, removed, Change{Kind: KindContract, Contract: &ContractRule{Service: "shop", Contract: before.Contract}}, "not in the inventory")
	requireRejected(t, removed, inventoryChange([]ServiceEntry{kilnlog, serviceEntry("web", 1)}), `is that of the removed service "shop"`)
	requireRejected(t, removed, inventoryChange([]ServiceEntry{kilnlog, serviceEntry("shop", 3)}), "2 upstreams that may hold flows")

	restored := mustApply(t, removed, inventoryChange([]ServiceEntry{kilnlog, serviceEntry("shop", 1)}))
	after, _ := restored.FindService("shop")
	require.Equal(t, before, after, "a service that is added again must keep its id and rules")

	afterFirst := mustApply(t, removed, removalChange("a"))
	_, ok = afterFirst.FindService("shop")
	require.True(t, ok, "b may hold flows")
	afterLast := mustApply(t, afterFirst, removalChange("b"))
	_, ok = afterLast.FindService("shop")
	require.False(t, ok)
	recreated := mustApply(t, afterLast, inventoryChange([]ServiceEntry{kilnlog, serviceEntry("shop", 3), serviceEntry("web", 1)}))
	newService, _ := recreated.FindService("shop")
	require.Greater(t, newService.ID, before.ID, "ids must never be reused")
	require.True(t, newService.Traffic)
}

// Guards against an inventory that assigns a retired VM to another service or
// role while it may hold flows of the old one.
func TestRetiredUpstreamKeepsService(t *testing.T) {
	services := []ServiceEntry{serviceEntry("kilnlog", 2), serviceEntry("shop", 1)}
	a := upstreamMachine("a", "192.0.2.1", "shop")
	s := mustApply(t, baseState(t), inventoryChange(services, a))
	moved, balancer := upstreamMachine("b", "192.0.2.2", "kilnlog"), InventoryVM{ID: "b", Role: vm.RoleBalancer}
	requireRejected(t, s, inventoryChange(services, a, moved), `vm b field service: error: is a retired upstream of service "shop"`)
	requireRejected(t, s, inventoryChange(services, a, balancer), "is a retired upstream")
	mustApply(t, s, inventoryChange(services, a, upstreamMachine("b", "192.0.2.2", "shop")))
	s = mustApply(t, s, removalChange("b"))
	mustApply(t, s, inventoryChange(services, a, moved))
}

// Guards against a removed service that stays in the state although no
// upstream refers to it, because its upstreams moved to another service.
func TestRemovedServiceWithoutUpstreams(t *testing.T) {
	s := mustApply(t, baseState(t), Change{Kind: KindTraffic, Traffic: &TrafficRule{Service: "shop"}})
	s = mustApply(t, s, Change{Kind: KindLeaving, Leaving: &LeavingRule{VM: "a", Leaving: true}})
	moved := []InventoryVM{upstreamMachine("a", "192.0.2.1", "web"), upstreamMachine("b", "192.0.2.2", "web")}
	s = mustApply(t, s, inventoryChange([]ServiceEntry{serviceEntry("web", 1)}, moved...))
	require.Len(t, s.Services, 1)
	require.Equal(t, service.Name("web"), s.Services[0].Name)
}

// Guards against a new endpoint of a service with established flows. Agents
// and balancers identify the flows of a service by its endpoint.
func TestEndpointWithUpstreamsCannotChange(t *testing.T) {
	a, b := upstreamMachine("a", "192.0.2.1", "shop"), upstreamMachine("b", "192.0.2.2", "shop")
	withoutTraffic := mustApply(t, baseState(t), Change{Kind: KindTraffic, Traffic: &TrafficRule{Service: "shop"}})
	moved := []ServiceEntry{serviceEntry("kilnlog", 2), serviceEntry("shop", 3)}
	for name, c := range map[string]Change{
		"active":             inventoryChange(moved, a, b),
		"retired":            inventoryChange(moved),
		"new upstreams only": inventoryChange(moved, upstreamMachine("c", "192.0.2.3", "shop")),
		"endpoints swapped":  inventoryChange([]ServiceEntry{serviceEntry("kilnlog", 1), serviceEntry("shop", 2)}, a, b),
	} {
		t.Run(name, func(t *testing.T) { requireRejected(t, withoutTraffic, c, "service shop field endpoint") })
	}
	emptied := mustApply(t, mustApply(t, withoutTraffic, inventoryChange([]ServiceEntry{serviceEntry("kilnlog", 2), serviceEntry("shop", 1)})), removalChange("a", "b"))
	mustApply(t, emptied, inventoryChange(moved, a, b))
}

// Guards against a replacement of upstreams that exceeds the size of a view
// together with the retired ones. The view would then leave out members with
// flows.
func TestRetiredVMsCountAgainstTheLimit(t *testing.T) {
	generation := func(letter string, count int) []InventoryVM {
		var list []InventoryVM
		for i := range count {
			list = append(list, InventoryVM{ID: vm.ID(fmt.Sprint(letter, i)), Role: vm.RoleUpstream, Service: "shop"})
		}
		return list
	}
	shop := []ServiceEntry{serviceEntry("shop", 1)}
	s := mustApply(t, &State{}, inventoryChange(shop, generation("a", 33)...))
	requireRejected(t, s, inventoryChange(shop, generation("b", 32)...), "65 upstreams together with those that are retired")
	s = mustApply(t, s, inventoryChange(shop, generation("b", 31)...))
	s = mustApply(t, s, removalChange("a0"))
	mustApply(t, s, inventoryChange(shop, generation("b", 32)...))
}
