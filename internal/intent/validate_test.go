package intent

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/vm"
)

func serviceEntry(name service.Name, port uint16) ServiceEntry {
	address := netip.AddrPortFrom(netip.MustParseAddr("203.0.113.1"), port)
	return ServiceEntry{Name: name, Endpoint: service.Endpoint{Address: address, Protocol: service.TCP}}
}

func upstreamMachine(id vm.ID, address string, name service.Name) InventoryVM {
	return InventoryVM{ID: id, Address: netip.MustParseAddr(address), Role: vm.RoleUpstream, Service: name, Slots: 2, Connections: 10}
}

// baseState returns a state with two services. shop has an active and a
// leaving upstream. kilnlog has no traffic and no upstreams.
func baseState(t *testing.T) *State {
	t.Helper()
	inv := Inventory{
		Services: []ServiceEntry{serviceEntry("kilnlog", 2), serviceEntry("shop", 1)},
		VMs:      []InventoryVM{upstreamMachine("a", "192.0.2.1", "shop"), upstreamMachine("b", "192.0.2.2", "shop")},
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

// Guards against an inventory change that cuts established flows at once.
func TestInventoryTransitions(t *testing.T) {
	services := []ServiceEntry{serviceEntry("kilnlog", 2), serviceEntry("shop", 1)}
	a, b := upstreamMachine("a", "192.0.2.1", "shop"), upstreamMachine("b", "192.0.2.2", "shop")
	for name, c := range map[string]struct {
		inventory Inventory
		reason    string
	}{
		"nothing changes":                 {Inventory{[]InventoryVM{a, b}, services}, ""},
		"upstream removed":                {Inventory{[]InventoryVM{b}, services}, ""},
		"leaving upstream moves":          {Inventory{[]InventoryVM{a, upstreamMachine("b", "192.0.2.2", "kilnlog")}, services}, ""},
		"active upstream moves":           {Inventory{[]InventoryVM{upstreamMachine("a", "192.0.2.1", "kilnlog"), b}, services}, "vm a field service"},
		"active upstream changes role":    {Inventory{[]InventoryVM{{ID: "a", Role: vm.RoleBalancer}, b}, services}, "vm a field service"},
		"replaced under the same name":    {Inventory{[]InventoryVM{upstreamMachine("a", "192.0.2.9", "shop"), b}, services}, ""},
		"service with traffic removed":    {Inventory{nil, []ServiceEntry{serviceEntry("kilnlog", 2)}}, "service shop field endpoint"},
		"service with traffic moved":      {Inventory{[]InventoryVM{a}, []ServiceEntry{serviceEntry("kilnlog", 2), serviceEntry("shop", 3)}}, "service shop field endpoint"},
		"service without traffic removed": {Inventory{[]InventoryVM{a, b}, services[1:]}, ""},
		"service without traffic moved":   {Inventory{[]InventoryVM{a, b}, []ServiceEntry{serviceEntry("kilnlog", 3), serviceEntry("shop", 1)}}, ""},
		"endpoint of a removed service":   {Inventory{[]InventoryVM{a, b}, []ServiceEntry{serviceEntry("shop", 1), serviceEntry("web", 2)}}, ""},
		"two services swap endpoints":     {Inventory{[]InventoryVM{a}, []ServiceEntry{serviceEntry("kilnlog", 1), serviceEntry("shop", 2)}}, "service shop field endpoint"},
		"several findings in one result":  {Inventory{[]InventoryVM{upstreamMachine("a", "192.0.2.1", "web")}, []ServiceEntry{serviceEntry("web", 1)}}, "mark it leaving"},
	} {
		t.Run(name, func(t *testing.T) {
			before := baseState(t)
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

// Guards against invalid changes that did not come from an inventory export
// and so were not checked by an importer.
func TestValidate(t *testing.T) {
	valid := func() Change {
		return Change{OperationID: "op", Kind: KindInventory, Inventory: &Inventory{
			Services: []ServiceEntry{serviceEntry("shop", 1)},
			VMs:      []InventoryVM{upstreamMachine("a", "192.0.2.1", "shop"), upstreamMachine("b", "127.0.0.1", "shop"), upstreamMachine("c", "127.0.0.1", "shop")},
		}}
	}
	contract := func(d time.Duration) func(*Change) {
		return func(c *Change) {
			serviceContract := service.DefaultContract()
			serviceContract.QueueDeadline = d
			*c = Change{OperationID: "op", Kind: KindContract, Contract: &ContractRule{Service: "shop", Contract: serviceContract}}
		}
	}
	warmUp := func(d time.Duration, rate float64) func(*Change) {
		return func(c *Change) {
			contract(0)(c)
			c.Contract.Contract.WarmUp, c.Contract.Contract.WarmUpRate = d, rate
		}
	}
	for name, c := range map[string]struct {
		edit   func(*Change)
		reason string
	}{
		"valid":                   {func(*Change) {}, ""},
		"warm-up":                 {warmUp(service.MaxWarmUp, service.MaxWarmUpRate), ""},
		"warm-up without a rate":  {warmUp(time.Second, 0), ""},
		"warm-up too long":        {warmUp(service.MaxWarmUp+1, 5), "want 0s to 10m"},
		"negative rate":           {warmUp(time.Second, -1), "want 0 to 4000 requests per second"},
		"rate is not a number":    {warmUp(time.Second, math.NaN()), "want 0 to 4000 requests per second"},
		"rate without a duration": {warmUp(0, 5), "without a duration"},
		"longest queue deadline":  {contract(service.MaxQueueDeadline), ""},
		"queue deadline too long": {contract(service.MaxQueueDeadline + 1), "want 0s to 30s"},
		"negative queue deadline": {contract(-1), "want 0s to 30s"},
		"duplicate address":       {func(c *Change) { c.Inventory.VMs[1].Address = netip.MustParseAddr("192.0.2.1") }, `is also that of "a"`},
		"port 0":                  {func(c *Change) { c.Inventory.Services[0] = serviceEntry("shop", 0) }, "invalid address, port or protocol"},
		"negative slots":          {func(c *Change) { c.Inventory.VMs[0].Slots = -1 }, "want no negative number"},
		"duplicate endpoint":      {func(c *Change) { c.Inventory.Services = append(c.Inventory.Services, serviceEntry("web", 1)) }, `is also that of service "shop"`},
		"unknown service":         {func(c *Change) { c.Inventory.Services[0].Name = "web" }, `"shop" is not in the inventory`},
	} {
		t.Run(name, func(t *testing.T) {
			change := valid()
			c.edit(&change)
			findings := change.Validate()
			if c.reason == "" {
				require.Empty(t, findings.Findings)
				return
			}
			require.ErrorContains(t, findings.Err(), c.reason)
		})
	}
}

// Guards against a change that reuses the operation id of another change and
// gets its result. Also guards against a retry that does not get the result of
// its first attempt.
func TestReusedOperationID(t *testing.T) {
	leave := func(id vm.ID, base uint64, operator string) Change {
		return Change{OperationID: "op", Operator: operator, Kind: KindLeaving, BaseRevision: base, Leaving: &LeavingRule{VM: id, Leaving: true}}
	}
	s := baseState(t)
	afterFirst, firstResult := Apply(s, leave("a", s.Revision, "iva"))
	require.Equal(t, Accepted, firstResult.Outcome)
	for name, c := range map[string]struct {
		change Change
		want   Outcome
	}{
		"retry":                       {leave("a", s.Revision, "iva"), Accepted},
		"retry by another operator":   {leave("a", s.Revision, "nik"), Accepted},
		"retry on the later revision": {leave("a", afterFirst.Revision, "iva"), Accepted},
		"another change":              {leave("b", afterFirst.Revision, "iva"), Rejected},
	} {
		after, result := Apply(afterFirst, c.change)
		require.Same(t, afterFirst, after, name)
		require.Equal(t, c.want, result.Outcome, name)
		if c.want == Accepted {
			require.Equal(t, firstResult, result, name)
		}
	}
	withoutHash := afterFirst.Clone()
	withoutHash.Operations[len(withoutHash.Operations)-1].ContentHash = 0
	_, result := Apply(withoutHash, leave("b", afterFirst.Revision, "iva"))
	require.Equal(t, firstResult, result, "record of an earlier version")
}
