package intent

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/vm"
)

func entry(name service.Name, port uint16) ServiceEntry {
	address := netip.AddrPortFrom(netip.MustParseAddr("203.0.113.1"), port)
	return ServiceEntry{Name: name, Endpoint: service.Endpoint{Address: address, Protocol: service.TCP}}
}

func upstream(id vm.ID, address string, name service.Name) Machine {
	return Machine{ID: id, Address: netip.MustParseAddr(address), Role: vm.RoleUpstream, Service: name, Slots: 2, Connections: 10}
}

// base has an active and a leaving upstream of shop, and kilnlog without
// traffic.
func base(t *testing.T) *State {
	t.Helper()
	inv := Inventory{
		Services: []ServiceEntry{entry("kilnlog", 2), entry("shop", 1)},
		Machines: []Machine{upstream("a", "192.0.2.1", "shop"), upstream("b", "192.0.2.2", "shop")},
	}
	s := &State{}
	for i, c := range []Change{
		{Kind: KindInventory, Inventory: &inv},
		{Kind: KindLeaving, Leaving: &LeavingRule{VM: "b", Leaving: true}},
		{Kind: KindTraffic, Traffic: &TrafficRule{Service: "kilnlog"}},
	} {
		c.BaseRevision = uint64(i)
		next, result := Apply(s, c)
		require.Equal(t, Accepted, result.Outcome, result.Reason)
		s = next
	}
	return s
}

// Guards against an import that cuts established flows at once.
func TestTransitions(t *testing.T) {
	both := []ServiceEntry{entry("kilnlog", 2), entry("shop", 1)}
	a, b := upstream("a", "192.0.2.1", "shop"), upstream("b", "192.0.2.2", "shop")
	for name, c := range map[string]struct {
		inventory Inventory
		reason    string
	}{
		"nothing changes":                {Inventory{[]Machine{a, b}, both}, ""},
		"upstream removed":               {Inventory{[]Machine{b}, both}, ""},
		"leaving upstream moves":         {Inventory{[]Machine{a, upstream("b", "192.0.2.2", "kilnlog")}, both}, ""},
		"active upstream moves":          {Inventory{[]Machine{upstream("a", "192.0.2.1", "kilnlog"), b}, both}, "vm a field service"},
		"active upstream changes role":   {Inventory{[]Machine{{ID: "a", Role: vm.RoleBalancer}, b}, both}, "vm a field service"},
		"replaced under the same name":   {Inventory{[]Machine{upstream("a", "192.0.2.9", "shop"), b}, both}, ""},
		"service with traffic removed":   {Inventory{nil, []ServiceEntry{entry("kilnlog", 2)}}, "service shop field endpoint"},
		"service with traffic moved":     {Inventory{[]Machine{a}, []ServiceEntry{entry("kilnlog", 2), entry("shop", 3)}}, "service shop field endpoint"},
		"service without traffic gone":   {Inventory{[]Machine{a, b}, both[1:]}, ""},
		"service without traffic moved":  {Inventory{[]Machine{a, b}, []ServiceEntry{entry("kilnlog", 3), entry("shop", 1)}}, ""},
		"endpoint of a removed service":  {Inventory{[]Machine{a, b}, []ServiceEntry{entry("shop", 1), entry("web", 2)}}, ""},
		"two services change endpoints":  {Inventory{[]Machine{a}, []ServiceEntry{entry("kilnlog", 1), entry("shop", 2)}}, "service shop field endpoint"},
		"several problems in one answer": {Inventory{[]Machine{upstream("a", "192.0.2.1", "web")}, []ServiceEntry{entry("web", 1)}}, "mark it leaving"},
	} {
		t.Run(name, func(t *testing.T) {
			before := base(t)
			after, result := Apply(before, Change{Kind: KindInventory, Inventory: &c.inventory, BaseRevision: before.Revision})
			if c.reason == "" {
				require.Equal(t, Accepted, result.Outcome, result.Reason)
				return
			}
			require.Equal(t, Rejected, result.Outcome)
			require.Contains(t, result.Reason, c.reason)
			require.Equal(t, before.Services, after.Services)
			require.Equal(t, before.VMs, after.VMs)
		})
	}
}

// Guards against input of another source than an export, which no importer has
// checked.
func TestValidate(t *testing.T) {
	valid := func() Change {
		return Change{OperationID: "op", Kind: KindInventory, Inventory: &Inventory{
			Services: []ServiceEntry{entry("shop", 1)},
			Machines: []Machine{upstream("a", "192.0.2.1", "shop"), upstream("b", "127.0.0.1", "shop"), upstream("c", "127.0.0.1", "shop")},
		}}
	}
	contract := func(d time.Duration) func(*Change) {
		return func(c *Change) {
			k := service.DefaultContract()
			k.QueueDeadline = d
			*c = Change{OperationID: "op", Kind: KindContract, Contract: &ContractRule{Service: "shop", Contract: k}}
		}
	}
	for name, c := range map[string]struct {
		edit   func(*Change)
		reason string
	}{
		"valid":                   {func(*Change) {}, ""},
		"longest queue deadline":  {contract(service.MaxQueueDeadline), ""},
		"queue deadline too long": {contract(service.MaxQueueDeadline + 1), "want 0s to 30s"},
		"negative queue deadline": {contract(-1), "want 0s to 30s"},
		"duplicate address":       {func(c *Change) { c.Inventory.Machines[1].Address = netip.MustParseAddr("192.0.2.1") }, `is also that of "a"`},
		"port 0":                  {func(c *Change) { c.Inventory.Services[0] = entry("shop", 0) }, "invalid address, port or protocol"},
		"negative slots":          {func(c *Change) { c.Inventory.Machines[0].Slots = -1 }, "want no negative number"},
		"duplicate endpoint":      {func(c *Change) { c.Inventory.Services = append(c.Inventory.Services, entry("web", 1)) }, `is also that of service "shop"`},
		"unknown service":         {func(c *Change) { c.Inventory.Services[0].Name = "web" }, `"shop" is not in the inventory`},
	} {
		t.Run(name, func(t *testing.T) {
			change := valid()
			c.edit(&change)
			l := change.Validate()
			if c.reason == "" {
				require.Empty(t, l.Findings)
				return
			}
			require.ErrorContains(t, l.Err(), c.reason)
		})
	}
}

// Guards against a reused operation id that gets the answer of another change,
// and against a retry that does not get its own first answer.
func TestOperationID(t *testing.T) {
	leave := func(id vm.ID, base uint64, operator string) Change {
		return Change{OperationID: "op", Operator: operator, Kind: KindLeaving, BaseRevision: base, Leaving: &LeavingRule{VM: id, Leaving: true}}
	}
	s := base(t)
	first, answer := Apply(s, leave("a", s.Revision, "iva"))
	require.Equal(t, Accepted, answer.Outcome)
	for name, c := range map[string]struct {
		change Change
		want   Outcome
	}{
		"retry":                       {leave("a", s.Revision, "iva"), Accepted},
		"retry by another operator":   {leave("a", s.Revision, "nik"), Accepted},
		"retry on the later revision": {leave("a", first.Revision, "iva"), Accepted},
		"another change":              {leave("b", first.Revision, "iva"), Rejected},
	} {
		after, result := Apply(first, c.change)
		require.Same(t, first, after, name)
		require.Equal(t, c.want, result.Outcome, name)
		if c.want == Accepted {
			require.Equal(t, answer, result, name)
		}
	}
	old := first.Clone()
	old.Operations[len(old.Operations)-1].Content = 0
	_, result := Apply(old, leave("b", first.Revision, "iva"))
	require.Equal(t, answer, result, "record of an earlier version")
}
