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

// A fixed seed gives the same verdict on every run; the flag can override it.
func init() { _ = flag.Set("rapid.seed", "1") }

var (
	site  = zone.ID{Region: "r", Name: "z"}
	epoch = time.Unix(1000, 0)
)

func endpoint(port uint16) service.Endpoint {
	return service.Endpoint{Address: netip.AddrPortFrom(netip.MustParseAddr("203.0.113.1"), port), Protocol: service.TCP}
}

func address(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, byte(n >> 8), byte(n)}), 7000)
}

// stateOf has the services orders and kilnlog.
func stateOf(machines ...intent.VM) *intent.State {
	return &intent.State{Revision: 5, VMs: machines, Services: []intent.Service{
		{ID: 2, Name: "kilnlog", Endpoint: endpoint(2), Traffic: true},
		{ID: 1, Name: "orders", Endpoint: endpoint(1), Traffic: true},
	}}
}

func upstream(id vm.ID, name service.Name, status intent.MachineStatus) intent.VM {
	return intent.VM{Status: status, Machine: intent.Machine{ID: id, Zone: site, Role: vm.RoleUpstream, Service: name, Slots: 2, Connections: 9}}
}

func member(id vm.ID, name service.Name, at int, incarnation vm.Incarnation) view.Member {
	return view.Member{VM: id, Role: vm.RoleUpstream, Zone: site, Service: name, Address: address(at), Incarnation: incarnation, Status: view.Ready, Version: 1}
}

func with(m view.Member, edit func(*view.Member)) view.Member {
	edit(&m)
	return m
}

// statuses lists the members of a service as "vm:status".
func statuses(v *view.View, name service.Name) []string {
	list := []string{}
	for _, u := range v.ServiceByName(name).Members {
		list = append(list, fmt.Sprintf("%s:%s", u.VM, u.Status))
	}
	return list
}

// Guards against members that the inventory does not allow, and against work
// for VMs that leave.
func TestAdmission(t *testing.T) {
	a := member("a", "orders", 1, 1)
	status := func(s view.Status) view.Member { return with(a, func(m *view.Member) { m.Status = s }) }
	active, retired, leaving := upstream("a", "orders", intent.Active), upstream("a", "orders", intent.Retired), upstream("a", "orders", intent.Leaving)
	for name, c := range map[string]struct {
		machine intent.VM
		members []view.Member
		want    []string
	}{
		"ready":                     {active, []view.Member{a}, []string{"a:ready"}},
		"unknown VM":                {active, []view.Member{member("z", "orders", 1, 1)}, []string{}},
		"another service":           {active, []view.Member{member("a", "kilnlog", 1, 1)}, []string{}},
		"unknown service":           {active, []view.Member{member("a", "web", 1, 1)}, []string{}},
		"another role":              {active, []view.Member{with(a, func(m *view.Member) { m.Role = vm.RoleBalancer })}, []string{}},
		"another zone":              {active, []view.Member{with(a, func(m *view.Member) { m.Zone.Name = "y" })}, []string{}},
		"suspected":                 {active, []view.Member{status(view.Suspected)}, []string{"a:suspected"}},
		"failed":                    {active, []view.Member{status(view.Failed)}, []string{"a:failed"}},
		"leaving by rule":           {leaving, []view.Member{a}, []string{"a:leaving"}},
		"retired":                   {retired, []view.Member{a}, []string{"a:leaving"}},
		"retired and starting":      {retired, []view.Member{status(view.Starting)}, []string{"a:starting"}},
		"retired and left":          {retired, []view.Member{status(view.Left)}, []string{"a:left"}},
		"no record":                 {active, nil, []string{}},
		"two records, later last":   {active, []view.Member{status(view.Failed), with(a, func(m *view.Member) { m.Version = 2 })}, []string{"a:ready"}},
		"two records, later first":  {active, []view.Member{with(a, func(m *view.Member) { m.Incarnation = 2 }), status(view.Failed)}, []string{"a:ready"}},
		"later record not allowed":  {active, []view.Member{a, member("a", "kilnlog", 1, 9)}, []string{"a:ready"}},
		"members without addresses": {active, []view.Member{with(a, func(m *view.Member) { m.Address = netip.AddrPort{} })}, []string{"a:ready"}},
	} {
		t.Run(name, func(t *testing.T) {
			v := view.Build(stateOf(c.machine), c.members, nil, epoch)
			require.Equal(t, c.want, statuses(v, "orders"))
			require.Empty(t, v.ServiceByName("kilnlog").Members)
			require.Empty(t, v.Balancers)
			svc := v.ServiceByName("orders")
			require.Equal(t, 1, svc.Registered)
			for i, u := range svc.Members {
				require.Equal(t, u.Reachable(), svc.Unreachable&(1<<i) == 0)
				require.Equal(t, u.Status == view.Ready, u.AcceptsOpenings())
			}
		})
	}
}

// Guards against packets for one VM, and possibly for another service, that
// reach the process of another VM because it was given the address.
func TestAddressOfAnotherVM(t *testing.T) {
	balancer := intent.VM{Status: intent.Active, Machine: intent.Machine{ID: "b", Zone: site, Role: vm.RoleBalancer}}
	old, oldRetired := upstream("a", "orders", intent.Active), upstream("a", "orders", intent.Retired)
	sameService, otherService := upstream("b", "orders", intent.Active), upstream("b", "kilnlog", intent.Active)
	for name, c := range map[string]struct {
		machines []intent.VM
		former   view.Member
		latter   view.Member
		orders   []string
		kilnlog  []string
	}{
		"another service":                 {[]intent.VM{oldRetired, otherService}, member("a", "orders", 1, 5), member("b", "kilnlog", 1, 9), []string{"a:failed"}, []string{"b:ready"}},
		"clock behind":                    {[]intent.VM{oldRetired, otherService}, member("a", "orders", 1, 9), member("b", "kilnlog", 1, 5), []string{"a:failed"}, []string{"b:ready"}},
		"same service":                    {[]intent.VM{oldRetired, sameService}, member("a", "orders", 1, 5), member("b", "orders", 1, 9), []string{"a:failed", "b:ready"}, []string{}},
		"both in the inventory":           {[]intent.VM{old, otherService}, member("a", "orders", 1, 5), member("b", "kilnlog", 1, 9), []string{"a:failed"}, []string{"b:ready"}},
		"both, the former restarted":      {[]intent.VM{old, otherService}, member("a", "orders", 1, 10), member("b", "kilnlog", 1, 9), []string{"a:ready"}, []string{"b:failed"}},
		"equal incarnations":              {[]intent.VM{old, otherService}, member("a", "orders", 1, 5), member("b", "kilnlog", 1, 5), []string{"a:ready"}, []string{"b:failed"}},
		"only the new one listed":         {[]intent.VM{otherService}, member("a", "orders", 1, 9), member("b", "kilnlog", 1, 5), []string{}, []string{"b:ready"}},
		"new one not announced yet":       {[]intent.VM{oldRetired, otherService}, member("a", "orders", 1, 5), view.Member{VM: "b"}, []string{"a:leaving"}, []string{}},
		"new one announces old service":   {[]intent.VM{oldRetired, otherService}, member("a", "orders", 1, 5), member("b", "orders", 1, 9), []string{"a:leaving"}, []string{}},
		"former has left":                 {[]intent.VM{oldRetired, otherService}, with(member("a", "orders", 1, 5), func(m *view.Member) { m.Status = view.Left }), member("b", "kilnlog", 1, 9), []string{"a:left"}, []string{"b:ready"}},
		"new one failed, former is back":  {[]intent.VM{oldRetired, otherService}, member("a", "orders", 1, 5), with(member("b", "kilnlog", 1, 9), func(m *view.Member) { m.Status = view.Failed }), []string{"a:leaving"}, []string{"b:failed"}},
		"given to a balancer":             {[]intent.VM{oldRetired, balancer}, member("a", "orders", 1, 5), with(member("b", "", 1, 9), func(m *view.Member) { m.Role = vm.RoleBalancer }), []string{"a:failed"}, []string{}},
		"former moved to another address": {[]intent.VM{oldRetired, otherService}, member("a", "orders", 2, 6), member("b", "kilnlog", 1, 9), []string{"a:leaving"}, []string{"b:ready"}},
	} {
		t.Run(name, func(t *testing.T) {
			for _, list := range [][]view.Member{{c.former, c.latter}, {c.latter, c.former}} {
				v := view.Build(stateOf(c.machines...), list, nil, epoch)
				require.Equal(t, c.orders, statuses(v, "orders"))
				require.Equal(t, c.kilnlog, statuses(v, "kilnlog"))
				requireOneProcessPerAddress(t, v)
			}
		})
	}
}

func requireOneProcessPerAddress(t *testing.T, v *view.View) {
	t.Helper()
	seen := map[netip.AddrPort]vm.ID{}
	for _, s := range v.Services {
		for _, u := range s.Members {
			if u.Reachable() {
				require.Empty(t, seen[u.Address], "%s shares an address", u.VM)
				seen[u.Address] = u.VM
			}
		}
	}
}

// Guards against a retired service whose endpoint is no longer found, so that
// its established flows are dropped, and against openings for it.
func TestServicesAndRevision(t *testing.T) {
	state := stateOf(upstream("a", "orders", intent.Retired))
	state.Services[1].Retired, state.Services[1].Traffic = true, false
	v := view.Build(state, []view.Member{member("a", "orders", 1, 1)}, nil, epoch)
	require.EqualValues(t, 5, v.Revision)
	s := v.ServiceByEndpoint(endpoint(1))
	require.NotNil(t, s)
	require.EqualValues(t, 1, s.ID)
	require.False(t, s.Traffic)
	require.Equal(t, 0, s.Home(7), "the retired member still gets packets of its flows")
	require.Same(t, s, v.ServiceByID(1))
	require.Same(t, s, v.ServiceByName("orders"))
	udp := endpoint(1)
	udp.Protocol = service.UDP
	require.Nil(t, v.ServiceByEndpoint(udp))
	require.Nil(t, v.ServiceByEndpoint(endpoint(3)))
	require.Nil(t, v.ServiceByID(3))
	require.Nil(t, v.ServiceByName("web"))
	var none *view.View
	require.Nil(t, none.ServiceByEndpoint(endpoint(1)))
	require.Nil(t, none.ServiceByID(1))
	require.Nil(t, none.ServiceByName("orders"))
}

// Guards against a grace period that starts without a change, or does not start
// with one.
func TestChangedAt(t *testing.T) {
	later := epoch.Add(time.Minute)
	a, b := member("a", "orders", 1, 1), member("b", "orders", 2, 1)
	for name, c := range map[string]struct {
		members []view.Member
		changed bool
	}{
		"same":            {[]view.Member{b, a}, false},
		"newer version":   {[]view.Member{a, with(b, func(m *view.Member) { m.Version = 9 })}, false},
		"member gone":     {[]view.Member{a}, true},
		"new incarnation": {[]view.Member{a, with(b, func(m *view.Member) { m.Incarnation = 2 })}, true},
		"status":          {[]view.Member{a, with(b, func(m *view.Member) { m.Status = view.Suspected })}, true},
		"address":         {[]view.Member{a, with(b, func(m *view.Member) { m.Address = address(3) })}, true},
		"address taken":   {[]view.Member{a, with(b, func(m *view.Member) { m.Address = address(1) })}, true},
	} {
		t.Run(name, func(t *testing.T) {
			state := stateOf(upstream("a", "orders", intent.Active), upstream("b", "orders", intent.Active))
			before := view.Build(state, []view.Member{a, b}, nil, epoch)
			after := view.Build(state, c.members, before, later)
			want := epoch
			if c.changed {
				want = later
			}
			require.Equal(t, want, after.ServiceByName("orders").ChangedAt)
			require.Equal(t, epoch, after.ServiceByName("kilnlog").ChangedAt)
		})
	}
}

// fleetOf returns the given number of upstreams of orders.
func fleetOf(count int) (*intent.State, []view.Member) {
	state := stateOf()
	var members []view.Member
	for i := range count {
		id := vm.ID(fmt.Sprintf("v%03d", i))
		state.VMs = append(state.VMs, upstream(id, "orders", intent.Active))
		members = append(members, member(id, "orders", i+1, 1))
	}
	return state, members
}

// Guards against a service that has more members than a ranking holds, and
// against a wrong number of placers or placers that cannot place.
func TestPlacers(t *testing.T) {
	for _, c := range []struct{ members, kept, placers int }{{0, 0, 0}, {1, 1, 1}, {32, 32, 1}, {33, 33, 2}, {64, 64, 2}, {70, 64, 2}} {
		state, members := fleetOf(c.members)
		for i := range members {
			members[i].Status = []view.Status{view.Ready, view.Suspected, view.Leaving, view.Failed, view.Starting}[i%5]
		}
		s := view.Build(state, members, nil, epoch).ServiceByName("orders")
		require.Len(t, s.Members, c.kept)
		require.Equal(t, c.members, s.Registered)
		var placing []int
		for i, u := range s.Members {
			if s.IsPlacer(i) {
				placing = append(placing, i)
				require.Contains(t, []view.Status{view.Ready, view.Leaving}, u.Status)
			}
		}
		require.Len(t, placing, c.placers)
		for flow := range uint64(100) {
			require.Equal(t, c.placers > 0, slices.Contains(placing, s.Placer(flow)))
		}
	}
}

// Guards against a forwarded packet that returns to an agent which it has
// passed, because views number the members differently.
func TestTried(t *testing.T) {
	state, members := fleetOf(5)
	s := view.Build(state, members, nil, epoch).ServiceByName("orders")
	low := func(i int) uint32 { return uint32(ranking.MemberHash(s.Members[i].VM)) }
	unknown := uint32(ranking.MemberHash("gone"))
	require.Zero(t, s.Tried([]uint32{0, unknown, 0}))
	require.EqualValues(t, 1<<0|1<<3, s.Tried([]uint32{low(3), 0, unknown, low(0)}))
	var tried []uint32
	for range s.Members {
		next := s.NextCandidate(42, s.Tried(tried))
		require.GreaterOrEqual(t, next, 0)
		require.NotContains(t, tried, low(next))
		tried = append(tried, low(next))
	}
	require.Equal(t, -1, s.NextCandidate(42, s.Tried(tried)))
	require.Equal(t, 2, s.Index("v002"))
	require.Equal(t, -1, s.Index("v0021"))
	require.Equal(t, 2, s.IndexByHash(ranking.MemberHash("v002")))
}

// Guards against a change of one member that moves flows of other members, or
// openings of services with more placers than needed.
func TestOneMemberMovesOnlyItsFlows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state, members := fleetOf(rapid.IntRange(2, ranking.MaxMembers).Draw(t, "members"))
		changed := rapid.IntRange(0, len(members)-1).Draw(t, "changed")
		without := slices.Delete(slices.Clone(members), changed, changed+1)
		if rapid.Bool().Draw(t, "failed") {
			without = slices.Clone(members)
			without[changed].Status = view.Failed
		}
		id := members[changed].VM
		random := rapid.Uint64()
		all := view.Build(state, members, nil, epoch).ServiceByName("orders")
		fewer := view.Build(state, rapid.Permutation(without).Draw(t, "members left"), nil, epoch).ServiceByName("orders")
		for range 50 {
			flow := random.Draw(t, "flow")
			home := all.Members[all.Home(flow)].VM
			other := fewer.Members[fewer.Home(flow)].VM
			if home != id {
				require.Equal(t, home, other)
				continue
			}
			second := all.NextCandidate(flow, 1<<uint(changed))
			require.Equal(t, all.Members[second].VM, other, "the second in rank takes over")
		}
	})
}
