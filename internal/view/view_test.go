package view_test

import (
	"flag"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/ranking"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
	"bramleyhold.example/bramleyhold/internal/zone"
)

// Property tests use a fixed seed, so that they give the same result on every
// run. The flag can override it.
func init() { _ = flag.Set("rapid.seed", "1") }

var (
	testZone  = zone.ID{Region: "r", Name: "z"}
	buildTime = time.Unix(1000, 0)
)

func endpoint(port uint16) service.Endpoint {
	return service.Endpoint{Address: netip.AddrPortFrom(netip.MustParseAddr("203.0.113.1"), port), Protocol: service.TCP}
}

func address(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, byte(number >> 8), byte(number)}), 7000)
}

// newState returns an intent with the services orders and kilnlog.
func newState(vms ...intent.VM) *intent.State {
	return &intent.State{Revision: 5, VMs: vms, Services: []intent.Service{
		{ID: 2, Name: "kilnlog", Endpoint: endpoint(2), Traffic: true},
		{ID: 1, Name: "orders", Endpoint: endpoint(1), Traffic: true},
	}}
}

func inventoryUpstream(id vm.ID, serviceName service.Name, status intent.MachineStatus) intent.VM {
	return intent.VM{Status: status, InventoryVM: intent.InventoryVM{ID: id, Zone: testZone, Role: vm.RoleUpstream, Service: serviceName, Slots: 2, Connections: 9}}
}

func newMember(id vm.ID, serviceName service.Name, addressNumber int, incarnation vm.Incarnation) view.Member {
	return view.Member{VM: id, Role: vm.RoleUpstream, Zone: testZone, Service: serviceName, Address: address(addressNumber), Incarnation: incarnation, Status: view.Ready, Version: 1}
}

func modifiedMember(m view.Member, edit func(*view.Member)) view.Member {
	edit(&m)
	return m
}

// memberStatuses returns the members of a service as "vm:status".
func memberStatuses(v *view.View, name service.Name) []string {
	list := []string{}
	for _, u := range v.ServiceByName(name).Members {
		list = append(list, fmt.Sprintf("%s:%s", u.VM, u.Status))
	}
	return list
}

// Upstreams of a zone that is out of service must get no openings and keep their flows.
// They must be used again when the zone is back.
func TestUpstreamsOfZoneOutOfService(t *testing.T) {
	state := newState(inventoryUpstream("a", "orders", intent.Active), inventoryUpstream("b", "orders", intent.Active))
	state.VMs[1].Zone.Name = "y"
	members := []view.Member{newMember("a", "orders", 1, 1), modifiedMember(newMember("b", "orders", 2, 1), func(m *view.Member) { m.Zone.Name = "y" })}
	state.Zones = []intent.ZoneState{{Region: testZone.Region, Name: testZone.Name, Out: true}}
	v := view.Build(state, members, nil, buildTime)
	require.Equal(t, []string{"a:leaving", "b:ready"}, memberStatuses(v, "orders"))
	require.True(t, v.ServiceByName("orders").Members[0].Reachable())
	state.Zones[0].Out = false
	require.Equal(t, []string{"a:ready", "b:ready"}, memberStatuses(view.Build(state, members, v, buildTime), "orders"))
}

// Guards against members that do not match the inventory, and against openings
// for VMs that are leaving.
func TestMembersAreCheckedAgainstInventory(t *testing.T) {
	ordersMember := newMember("a", "orders", 1, 1)
	withStatus := func(s view.Status) view.Member {
		return modifiedMember(ordersMember, func(m *view.Member) { m.Status = s })
	}
	active, retired, leaving := inventoryUpstream("a", "orders", intent.Active), inventoryUpstream("a", "orders", intent.Retired), inventoryUpstream("a", "orders", intent.Leaving)
	for name, c := range map[string]struct {
		inventoryVM intent.VM
		members     []view.Member
		want        []string
	}{
		"ready":                     {active, []view.Member{ordersMember}, []string{"a:ready"}},
		"unknown VM":                {active, []view.Member{newMember("z", "orders", 1, 1)}, []string{}},
		"another service":           {active, []view.Member{newMember("a", "kilnlog", 1, 1)}, []string{}},
		"unknown service":           {active, []view.Member{newMember("a", "web", 1, 1)}, []string{}},
		"another role":              {active, []view.Member{modifiedMember(ordersMember, func(m *view.Member) { m.Role = vm.RoleBalancer })}, []string{}},
		"another zone":              {active, []view.Member{modifiedMember(ordersMember, func(m *view.Member) { m.Zone.Name = "y" })}, []string{}},
		"suspected":                 {active, []view.Member{withStatus(view.Suspected)}, []string{"a:suspected"}},
		"failed":                    {active, []view.Member{withStatus(view.Failed)}, []string{"a:failed"}},
		"leaving by rule":           {leaving, []view.Member{ordersMember}, []string{"a:leaving"}},
		"retired":                   {retired, []view.Member{ordersMember}, []string{"a:leaving"}},
		"retired and starting":      {retired, []view.Member{withStatus(view.Starting)}, []string{"a:starting"}},
		"retired and left":          {retired, []view.Member{withStatus(view.Left)}, []string{"a:left"}},
		"no record":                 {active, nil, []string{}},
		"two records, later last":   {active, []view.Member{withStatus(view.Failed), modifiedMember(ordersMember, func(m *view.Member) { m.Version = 2 })}, []string{"a:ready"}},
		"two records, later first":  {active, []view.Member{modifiedMember(ordersMember, func(m *view.Member) { m.Incarnation = 2 }), withStatus(view.Failed)}, []string{"a:ready"}},
		"later record not allowed":  {active, []view.Member{ordersMember, newMember("a", "kilnlog", 1, 9)}, []string{"a:ready"}},
		"members without addresses": {active, []view.Member{modifiedMember(ordersMember, func(m *view.Member) { m.Address = netip.AddrPort{} })}, []string{"a:ready"}},
	} {
		t.Run(name, func(t *testing.T) {
			v := view.Build(newState(c.inventoryVM), c.members, nil, buildTime)
			require.Equal(t, c.want, memberStatuses(v, "orders"))
			require.Empty(t, v.ServiceByName("kilnlog").Members)
			require.Empty(t, v.Balancers)
			svc := v.ServiceByName("orders")
			require.Equal(t, 1, svc.InventoryCount)
			for i, u := range svc.Members {
				require.Equal(t, u.Reachable(), svc.UnreachableMask&(1<<i) == 0)
				require.Equal(t, u.Status == view.Ready, u.AcceptsOpenings())
			}
		})
	}
}

// Guards against packets that reach the wrong VM, and possibly the wrong service,
// after the address of a VM was reassigned.
func TestAddressOfAnotherVM(t *testing.T) {
	newBalancer := intent.VM{Status: intent.Active, InventoryVM: intent.InventoryVM{ID: "b", Zone: testZone, Role: vm.RoleBalancer}}
	formerActive, formerRetired := inventoryUpstream("a", "orders", intent.Active), inventoryUpstream("a", "orders", intent.Retired)
	newSameService, newOtherService := inventoryUpstream("b", "orders", intent.Active), inventoryUpstream("b", "kilnlog", intent.Active)
	for name, c := range map[string]struct {
		inventory       []intent.VM
		formerMember    view.Member
		newVMMember     view.Member
		ordersStatuses  []string
		kilnlogStatuses []string
	}{
		"another service":                 {[]intent.VM{formerRetired, newOtherService}, newMember("a", "orders", 1, 5), newMember("b", "kilnlog", 1, 9), []string{"a:failed"}, []string{"b:ready"}},
		"clock of new VM is behind":       {[]intent.VM{formerRetired, newOtherService}, newMember("a", "orders", 1, 9), newMember("b", "kilnlog", 1, 5), []string{"a:failed"}, []string{"b:ready"}},
		"same service":                    {[]intent.VM{formerRetired, newSameService}, newMember("a", "orders", 1, 5), newMember("b", "orders", 1, 9), []string{"a:failed", "b:ready"}, []string{}},
		"both active in the inventory":    {[]intent.VM{formerActive, newOtherService}, newMember("a", "orders", 1, 5), newMember("b", "kilnlog", 1, 9), []string{"a:failed"}, []string{"b:ready"}},
		"both active, former restarted":   {[]intent.VM{formerActive, newOtherService}, newMember("a", "orders", 1, 10), newMember("b", "kilnlog", 1, 9), []string{"a:ready"}, []string{"b:failed"}},
		"equal incarnations":              {[]intent.VM{formerActive, newOtherService}, newMember("a", "orders", 1, 5), newMember("b", "kilnlog", 1, 5), []string{"a:ready"}, []string{"b:failed"}},
		"only new VM in the inventory":    {[]intent.VM{newOtherService}, newMember("a", "orders", 1, 9), newMember("b", "kilnlog", 1, 5), []string{}, []string{"b:ready"}},
		"new VM not announced yet":        {[]intent.VM{formerRetired, newOtherService}, newMember("a", "orders", 1, 5), view.Member{VM: "b"}, []string{"a:leaving"}, []string{}},
		"new VM announces old service":    {[]intent.VM{formerRetired, newOtherService}, newMember("a", "orders", 1, 5), newMember("b", "orders", 1, 9), []string{"a:leaving"}, []string{}},
		"former has left":                 {[]intent.VM{formerRetired, newOtherService}, modifiedMember(newMember("a", "orders", 1, 5), func(m *view.Member) { m.Status = view.Left }), newMember("b", "kilnlog", 1, 9), []string{"a:left"}, []string{"b:ready"}},
		"new VM failed, former is back":   {[]intent.VM{formerRetired, newOtherService}, newMember("a", "orders", 1, 5), modifiedMember(newMember("b", "kilnlog", 1, 9), func(m *view.Member) { m.Status = view.Failed }), []string{"a:leaving"}, []string{"b:failed"}},
		"reassigned to a balancer":        {[]intent.VM{formerRetired, newBalancer}, newMember("a", "orders", 1, 5), modifiedMember(newMember("b", "", 1, 9), func(m *view.Member) { m.Role = vm.RoleBalancer }), []string{"a:failed"}, []string{}},
		"former moved to another address": {[]intent.VM{formerRetired, newOtherService}, newMember("a", "orders", 2, 6), newMember("b", "kilnlog", 1, 9), []string{"a:leaving"}, []string{"b:ready"}},
	} {
		t.Run(name, func(t *testing.T) {
			for _, list := range [][]view.Member{{c.formerMember, c.newVMMember}, {c.newVMMember, c.formerMember}} {
				v := view.Build(newState(c.inventory...), list, nil, buildTime)
				require.Equal(t, c.ordersStatuses, memberStatuses(v, "orders"))
				require.Equal(t, c.kilnlogStatuses, memberStatuses(v, "kilnlog"))
				requireOneUpstreamPerAddress(t, v)
			}
		})
	}
}

func requireOneUpstreamPerAddress(t *testing.T, v *view.View) {
	t.Helper()
	ownerOf := map[netip.AddrPort]vm.ID{}
	for _, s := range v.Services {
		for _, u := range s.Members {
			if u.Reachable() {
				require.Empty(t, ownerOf[u.Address], "%s shares its address with another upstream", u.VM)
				ownerOf[u.Address] = u.VM
			}
		}
	}
}

// Guards against a retired service that is not found by its endpoint, so that
// packets of its established flows are dropped. Also guards against openings for
// such a service.
func TestRetiredServiceIsFound(t *testing.T) {
	state := newState(inventoryUpstream("a", "orders", intent.Retired))
	state.Services[1].Retired, state.Services[1].Traffic = true, false
	v := view.Build(state, []view.Member{newMember("a", "orders", 1, 1)}, nil, buildTime)
	require.EqualValues(t, 5, v.Revision)
	orders := v.ServiceByEndpoint(endpoint(1))
	require.NotNil(t, orders)
	require.EqualValues(t, 1, orders.ID)
	require.False(t, orders.Traffic)
	require.Equal(t, 0, orders.Home(7), "the retired member still receives packets of its flows")
	require.Same(t, orders, v.ServiceByID(1))
	require.Same(t, orders, v.ServiceByName("orders"))
	udpEndpoint := endpoint(1)
	udpEndpoint.Protocol = service.UDP
	require.Nil(t, v.ServiceByEndpoint(udpEndpoint))
	require.Nil(t, v.ServiceByEndpoint(endpoint(3)))
	require.Nil(t, v.ServiceByID(3))
	require.Nil(t, v.ServiceByName("web"))
	var nilView *view.View
	require.Nil(t, nilView.ServiceByEndpoint(endpoint(1)))
	require.Nil(t, nilView.ServiceByID(1))
	require.Nil(t, nilView.ServiceByName("orders"))
}

// Guards against a grace period that starts without a change of the members, or
// that does not start after one. The grace period starts at ChangedAt.
func TestChangedAt(t *testing.T) {
	laterBuildTime := buildTime.Add(time.Minute)
	a, b := newMember("a", "orders", 1, 1), newMember("b", "orders", 2, 1)
	for name, c := range map[string]struct {
		members []view.Member
		changed bool
	}{
		"same":             {[]view.Member{b, a}, false},
		"newer version":    {[]view.Member{a, modifiedMember(b, func(m *view.Member) { m.Version = 9 })}, false},
		"member removed":   {[]view.Member{a}, true},
		"new incarnation":  {[]view.Member{a, modifiedMember(b, func(m *view.Member) { m.Incarnation = 2 })}, true},
		"status":           {[]view.Member{a, modifiedMember(b, func(m *view.Member) { m.Status = view.Suspected })}, true},
		"address":          {[]view.Member{a, modifiedMember(b, func(m *view.Member) { m.Address = address(3) })}, true},
		"address conflict": {[]view.Member{a, modifiedMember(b, func(m *view.Member) { m.Address = address(1) })}, true},
	} {
		t.Run(name, func(t *testing.T) {
			state := newState(inventoryUpstream("a", "orders", intent.Active), inventoryUpstream("b", "orders", intent.Active))
			before := view.Build(state, []view.Member{a, b}, nil, buildTime)
			after := view.Build(state, c.members, before, laterBuildTime)
			expected := buildTime
			if c.changed {
				expected = laterBuildTime
			}
			require.Equal(t, expected, after.ServiceByName("orders").ChangedAt)
			require.Equal(t, buildTime, after.ServiceByName("kilnlog").ChangedAt)
		})
	}
}

// newOrdersUpstreams returns an intent and members with the given number of
// upstreams of orders.
func newOrdersUpstreams(count int) (*intent.State, []view.Member) {
	state := newState()
	var members []view.Member
	for i := range count {
		id := vm.ID(fmt.Sprintf("v%03d", i))
		state.VMs = append(state.VMs, inventoryUpstream(id, "orders", intent.Active))
		members = append(members, newMember(id, "orders", i+1, 1))
	}
	return state, members
}

// Guards against a service with more members than ranking.MaxMembers, against a
// wrong number of placers, and against placers with an unsuitable status.
func TestPlacerSelection(t *testing.T) {
	for _, c := range []struct{ members, membersInView, placers int }{{0, 0, 0}, {1, 1, 1}, {32, 32, 1}, {33, 33, 2}, {64, 64, 2}, {70, 64, 2}} {
		state, members := newOrdersUpstreams(c.members)
		for i := range members {
			members[i].Status = []view.Status{view.Ready, view.Suspected, view.Leaving, view.Failed, view.Starting}[i%5]
		}
		s := view.Build(state, members, nil, buildTime).ServiceByName("orders")
		require.Len(t, s.Members, c.membersInView)
		require.Equal(t, c.members, s.InventoryCount)
		var placerIndexes []int
		for i, u := range s.Members {
			if s.IsPlacer(i) {
				placerIndexes = append(placerIndexes, i)
				require.Contains(t, []view.Status{view.Ready, view.Leaving}, u.Status)
			}
		}
		require.Len(t, placerIndexes, c.placers)
		for flow := range uint64(100) {
			require.Equal(t, c.placers > 0, slices.Contains(placerIndexes, s.Placer(flow)))
		}
	}
}

// Guards against a packet that is forwarded again to an agent that has already
// forwarded it. Members have different indexes in different views, so packets
// carry member hashes.
func TestTriedMaskOfMemberHashes(t *testing.T) {
	state, members := newOrdersUpstreams(5)
	s := view.Build(state, members, nil, buildTime).ServiceByName("orders")
	lowHash := func(i int) uint32 { return uint32(ranking.MemberHash(s.Members[i].VM)) }
	unknownHash := uint32(ranking.MemberHash("unknown"))
	require.Zero(t, s.MemberMask([]uint32{0, unknownHash, 0}))
	require.EqualValues(t, 1<<0|1<<3, s.MemberMask([]uint32{lowHash(3), 0, unknownHash, lowHash(0)}))
	var triedHashes []uint32
	for range s.Members {
		next := s.NextMember(42, s.MemberMask(triedHashes))
		require.GreaterOrEqual(t, next, 0)
		require.NotContains(t, triedHashes, lowHash(next))
		triedHashes = append(triedHashes, lowHash(next))
	}
	require.Equal(t, -1, s.NextMember(42, s.MemberMask(triedHashes)))
	require.Equal(t, 2, s.Index("v002"))
	require.Equal(t, -1, s.Index("v0021"))
	require.Equal(t, 2, s.IndexByHash(ranking.MemberHash("v002")))
}

// Guards against a change of one member that changes the home of flows whose home
// is another member.
func TestMemberChangeMovesOnlyItsFlows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state, members := newOrdersUpstreams(rapid.IntRange(2, ranking.MaxMembers).Draw(t, "members"))
		changed := rapid.IntRange(0, len(members)-1).Draw(t, "changed")
		remaining := slices.Delete(slices.Clone(members), changed, changed+1)
		if rapid.Bool().Draw(t, "failed") {
			remaining = slices.Clone(members)
			remaining[changed].Status = view.Failed
		}
		changedVM := members[changed].VM
		flowHashes := rapid.Uint64()
		before := view.Build(state, members, nil, buildTime).ServiceByName("orders")
		after := view.Build(state, rapid.Permutation(remaining).Draw(t, "members left"), nil, buildTime).ServiceByName("orders")
		for range 50 {
			flowHash := flowHashes.Draw(t, "flow")
			homeBefore := before.Members[before.Home(flowHash)].VM
			homeAfter := after.Members[after.Home(flowHash)].VM
			if homeBefore != changedVM {
				require.Equal(t, homeBefore, homeAfter)
				continue
			}
			secondInRank := before.NextMember(flowHash, 1<<uint(changed))
			require.Equal(t, before.Members[secondInRank].VM, homeAfter, "the second in rank becomes the home")
		}
	})
}
