package view

import (
	"net/netip"
	"slices"

	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/ranking"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/vm"
	"bramleyhold.example/bramleyhold/internal/zone"
)

// inventoryMember is a VM of the inventory with the live member that runs on it.
type inventoryMember struct {
	inventoryVM *intent.VM
	// member is nil if no live member matches the inventory.
	member *Member
	// lostAddress: another member owns the address that this member announces.
	lostAddress bool
}

// addMembers checks the members against the inventory. It adds the balancers to
// the view and returns the upstreams by service.
func (v *View) addMembers(state *intent.State, members []Member) map[service.Name][]Upstream {
	inventory := matchInventory(state, members)
	resolveAddressConflicts(inventory)
	upstreams := make(map[service.Name][]Upstream, len(state.Services))
	zonesOut := state.ZonesOut()
	for i := range inventory {
		entry := &inventory[i]
		if entry.member == nil {
			continue
		}
		switch entry.member.Role {
		case vm.RoleBalancer:
			v.Balancers = append(v.Balancers, *entry.member)
			v.balancerAddresses[ranking.MemberHash(entry.member.VM)] = entry.member.Address
		case vm.RoleUpstream:
			name := entry.member.Service
			upstreams[name] = append(upstreams[name], entry.toUpstream(zonesOut))
		case vm.RoleControl:
		}
	}
	return upstreams
}

// matchInventory returns an entry for each VM of the inventory, with its member
// if there is one. A member whose role, service or zone differs from the
// inventory is left out. Of two records of one VM the newer one is used.
func matchInventory(state *intent.State, members []Member) []inventoryMember {
	indexByVM := make(map[vm.ID]int, len(state.VMs))
	inventory := make([]inventoryMember, len(state.VMs))
	for i := range state.VMs {
		indexByVM[state.VMs[i].ID] = i
		inventory[i].inventoryVM = &state.VMs[i]
	}
	for i := range members {
		index, ok := indexByVM[members[i].VM]
		if !ok {
			continue
		}
		entry := &inventory[index]
		if MatchesInventory(*entry.inventoryVM, members[i]) && (entry.member == nil || isNewer(&members[i], entry.member)) {
			entry.member = &members[i]
		}
	}
	return inventory
}

// isNewer reports whether a is a later announcement of the same VM than b.
func isNewer(a, b *Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Version > b.Version
}

// resolveAddressConflicts leaves one reachable member at each address. When an
// address is reassigned to another VM, the member list can still contain the
// former VM with this address. Frames for the former VM would then reach the
// process of the other VM.
func resolveAddressConflicts(inventory []inventoryMember) {
	owners := make(map[netip.AddrPort]*inventoryMember, len(inventory))
	for i := range inventory {
		entry := &inventory[i]
		if entry.member == nil || !entry.member.Address.IsValid() || entry.member.Status == Left || entry.member.Status == Failed {
			continue
		}
		owner := owners[entry.member.Address]
		switch {
		case owner == nil:
			owners[entry.member.Address] = entry
		case entry.hasPriorityOver(owner):
			owner.lostAddress, owners[entry.member.Address] = true, entry
		default:
			entry.lostAddress = true
		}
	}
}

// hasPriorityOver reports whether m, and not other, owns the address that both
// announce. A VM that is not retired has priority over a retired one. Otherwise
// the higher incarnation decides, and then the lower VM id.
func (m *inventoryMember) hasPriorityOver(other *inventoryMember) bool {
	retired, otherRetired := m.inventoryVM.Status == intent.Retired, other.inventoryVM.Status == intent.Retired
	switch {
	case retired != otherRetired:
		return otherRetired
	case m.member.Incarnation != other.member.Incarnation:
		return m.member.Incarnation > other.member.Incarnation
	}
	return m.member.VM < other.member.VM
}

// MatchesInventory reports whether the role, the service and the zone that a member
// announces match the inventory.
func MatchesInventory(inventoryVM intent.VM, member Member) bool {
	return inventoryVM.Role == member.Role && inventoryVM.Service == member.Service && inventoryVM.Zone == member.Zone
}

// toUpstream returns the upstream of an entry that has a member. Its status is
// Failed if it lost its address, and Leaving instead of Ready if the VM is not
// active in the inventory or its zone is out of service.
func (m *inventoryMember) toUpstream(zonesOut []zone.ID) Upstream {
	announced := m.member
	u := Upstream{
		VM: announced.VM, Hash: ranking.MemberHash(announced.VM), Zone: announced.Zone, Address: announced.Address,
		Incarnation: announced.Incarnation, Status: announced.Status,
		Slots: m.inventoryVM.Slots, Connections: m.inventoryVM.Connections, WarmUpUntil: announced.WarmUpUntil,
	}
	switch {
	case m.lostAddress:
		u.Status = Failed
	case announced.Status == Ready && (m.inventoryVM.Status != intent.Active || slices.Contains(zonesOut, announced.Zone)):
		u.Status = Leaving
	}
	return u
}
