package intent

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/vm"
)

func forgetting(ids ...vm.ID) Change {
	rule := &RemoveRule{}
	for _, id := range ids {
		rule.VMs = append(rule.VMs, RemovedVM{VM: id, Reason: "left"})
	}
	return Change{OperationID: fmt.Sprint("forget ", ids), Kind: KindRemove, Remove: rule}
}

func importing(services []ServiceEntry, machines ...Machine) Change {
	return Change{Kind: KindInventory, Inventory: &Inventory{Services: services, Machines: machines}}
}

// step applies a change on the current revision.
func step(t *testing.T, s *State, c Change) *State {
	t.Helper()
	c.BaseRevision = s.Revision
	next, result := Apply(s, c)
	require.Equal(t, Accepted, result.Outcome, result.Reason)
	return next
}

func refused(t *testing.T, s *State, c Change, reason string) {
	t.Helper()
	c.BaseRevision = s.Revision
	after, result := Apply(s, c)
	require.Equal(t, Rejected, result.Outcome)
	require.Contains(t, result.Reason, reason)
	require.Equal(t, s.VMs, after.VMs)
	require.Equal(t, s.Services, after.Services)
}

// Guards against a VM that is forgotten while the inventory has it, and against
// retired VMs that stay in the state for ever.
func TestForget(t *testing.T) {
	both := []ServiceEntry{entry("kilnlog", 2), entry("shop", 1)}
	s := step(t, base(t), importing(both, upstream("a", "192.0.2.1", "shop"), upstream("c", "192.0.2.3", "kilnlog")))
	b, _ := s.FindVM("b")
	require.Equal(t, Retired, b.Status)
	s = step(t, s, Change{Kind: KindLeaving, Leaving: &LeavingRule{VM: "c", Leaving: true}})
	long := forgetting("b")
	long.Remove.VMs[0].Reason = strings.Repeat("x", maxForgetReason+1)
	var many []vm.ID
	for i := range MaxRemovals + 1 {
		many = append(many, vm.ID(fmt.Sprint("v", i)))
	}
	for name, c := range map[string]struct {
		change Change
		reason string
	}{
		"active":            {forgetting("a"), `vm "a" field status: error: is not retired`},
		"leaving":           {forgetting("c"), "is not retired"},
		"unknown":           {forgetting("z"), "is not retired"},
		"one of two active": {forgetting("b", "a"), `vm "a"`},
		"twice":             {forgetting("b", "b"), "appears twice"},
		"none":              {forgetting(), "0 VMs"},
		"too many":          {forgetting(many...), "65 VMs"},
		"reason too long":   {long, "length is 65 bytes"},
		"without content":   {Change{Kind: KindRemove}, "missing content"},
	} {
		t.Run(name, func(t *testing.T) { refused(t, s, c.change, c.reason) })
	}
	s = step(t, s, forgetting("b"))
	require.Len(t, s.VMs, 2)
	require.Equal(t, "1 retired VMs forgotten: b (left)", s.History[len(s.History)-1].Summary)
	require.Len(t, s.Services, 2)
}

// Guards against a removed service that disappears while upstreams hold its
// flows, that takes traffic again, or that stays after its last upstream.
func TestRemovedServiceIsKeptForItsUpstreams(t *testing.T) {
	s := step(t, base(t), Change{Kind: KindTraffic, Traffic: &TrafficRule{Service: "shop"}})
	before, _ := s.FindService("shop")
	kilnlog := entry("kilnlog", 2)
	removed := step(t, s, importing([]ServiceEntry{kilnlog}))
	kept, ok := removed.FindService("shop")
	require.True(t, ok)
	require.Equal(t, Service{ID: before.ID, Name: "shop", Endpoint: before.Endpoint, Contract: before.Contract, Retired: true}, kept)

	refused(t, removed, Change{Kind: KindTraffic, Traffic: &TrafficRule{Service: "shop", Enabled: true}}, "not in the inventory")
	refused(t, removed, Change{Kind: KindContract, Contract: &ContractRule{Service: "shop", Contract: before.Contract}}, "not in the inventory")
	refused(t, removed, importing([]ServiceEntry{kilnlog, entry("web", 1)}), `is that of the removed service "shop"`)
	refused(t, removed, importing([]ServiceEntry{kilnlog, entry("shop", 3)}), "2 upstreams that may hold flows")

	back := step(t, removed, importing([]ServiceEntry{kilnlog, entry("shop", 1)}))
	after, _ := back.FindService("shop")
	require.Equal(t, before, after, "a service that returns keeps its number and rules")

	one := step(t, removed, forgetting("a"))
	_, ok = one.FindService("shop")
	require.True(t, ok, "b may hold flows")
	none := step(t, one, forgetting("b"))
	_, ok = none.FindService("shop")
	require.False(t, ok)
	again := step(t, none, importing([]ServiceEntry{kilnlog, entry("shop", 3), entry("web", 1)}))
	renewed, _ := again.FindService("shop")
	require.Greater(t, renewed.ID, before.ID, "numbers are never reused")
	require.True(t, renewed.Traffic)
}

// Guards against a retired VM whose name is used for another service or role
// while its process may hold flows of the former one.
func TestRetiredUpstreamKeepsItsService(t *testing.T) {
	both := []ServiceEntry{entry("kilnlog", 2), entry("shop", 1)}
	a := upstream("a", "192.0.2.1", "shop")
	s := step(t, base(t), importing(both, a))
	moved, balancer := upstream("b", "192.0.2.2", "kilnlog"), Machine{ID: "b", Role: vm.RoleBalancer}
	refused(t, s, importing(both, a, moved), `vm b field service: error: is a retired upstream of service "shop"`)
	refused(t, s, importing(both, a, balancer), "is a retired upstream")
	step(t, s, importing(both, a, upstream("b", "192.0.2.2", "shop")))
	s = step(t, s, forgetting("b"))
	step(t, s, importing(both, a, moved))
}

// Guards against a removed service that stays although its upstreams moved to
// another one, and against one that never had any.
func TestRemovedServiceWithoutUpstreams(t *testing.T) {
	s := step(t, base(t), Change{Kind: KindTraffic, Traffic: &TrafficRule{Service: "shop"}})
	s = step(t, s, Change{Kind: KindLeaving, Leaving: &LeavingRule{VM: "a", Leaving: true}})
	moved := []Machine{upstream("a", "192.0.2.1", "web"), upstream("b", "192.0.2.2", "web")}
	s = step(t, s, importing([]ServiceEntry{entry("web", 1)}, moved...))
	require.Len(t, s.Services, 1)
	require.Equal(t, service.Name("web"), s.Services[0].Name)
}

// Guards against an endpoint that changes under established flows, which agents
// and balancers know by it.
func TestEndpointStaysWithUpstreams(t *testing.T) {
	a, b := upstream("a", "192.0.2.1", "shop"), upstream("b", "192.0.2.2", "shop")
	off := step(t, base(t), Change{Kind: KindTraffic, Traffic: &TrafficRule{Service: "shop"}})
	moved := []ServiceEntry{entry("kilnlog", 2), entry("shop", 3)}
	for name, c := range map[string]Change{
		"active":            importing(moved, a, b),
		"retired":           importing(moved),
		"new ones only":     importing(moved, upstream("c", "192.0.2.3", "shop")),
		"swap with another": importing([]ServiceEntry{entry("kilnlog", 1), entry("shop", 2)}, a, b),
	} {
		t.Run(name, func(t *testing.T) { refused(t, off, c, "service shop field endpoint") })
	}
	gone := step(t, step(t, off, importing([]ServiceEntry{entry("kilnlog", 2), entry("shop", 1)})), forgetting("a", "b"))
	step(t, gone, importing(moved, a, b))
}

// Guards against a replacement that, with the retired VMs, exceeds what a view
// holds, so that members with flows would be left out.
func TestRetiredVMsCountAgainstTheLimit(t *testing.T) {
	generation := func(letter string, count int) []Machine {
		var list []Machine
		for i := range count {
			list = append(list, Machine{ID: vm.ID(fmt.Sprint(letter, i)), Role: vm.RoleUpstream, Service: "shop"})
		}
		return list
	}
	shop := []ServiceEntry{entry("shop", 1)}
	s := step(t, &State{}, importing(shop, generation("a", 33)...))
	refused(t, s, importing(shop, generation("b", 32)...), "65 upstreams together with those that are retired")
	s = step(t, s, importing(shop, generation("b", 31)...))
	s = step(t, s, forgetting("a0"))
	step(t, s, importing(shop, generation("b", 32)...))
}
