package view

import (
	"net/netip"

	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/ranking"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// candidate is a member that the inventory allows.
type candidate struct {
	machine *intent.VM
	member  *Member
	// unreachable: the address belongs to another member.
	unreachable bool
}

// admit checks members against the inventory and groups upstreams by service.
func (v *View) admit(state *intent.State, members []Member) map[service.Name][]Upstream {
	candidates := allowed(state, members)
	settleAddresses(candidates)
	upstreams := make(map[service.Name][]Upstream, len(state.Services))
	for i := range candidates {
		c := &candidates[i]
		if c.member == nil {
			continue
		}
		switch c.member.Role {
		case vm.RoleBalancer:
			v.Balancers = append(v.Balancers, *c.member)
			v.origins[ranking.MemberHash(c.member.VM)] = c.member.Address
		case vm.RoleUpstream:
			name := c.member.Service
			upstreams[name] = append(upstreams[name], c.join())
		case vm.RoleControl:
		}
	}
	return upstreams
}

// allowed returns a candidate for each VM of the state; those without a member
// that the inventory allows have none. Of two records of one VM the later one
// counts.
func allowed(state *intent.State, members []Member) []candidate {
	positions := make(map[vm.ID]int, len(state.VMs))
	candidates := make([]candidate, len(state.VMs))
	for i := range state.VMs {
		positions[state.VMs[i].ID] = i
		candidates[i].machine = &state.VMs[i]
	}
	for i := range members {
		position, ok := positions[members[i].VM]
		if !ok {
			continue
		}
		c := &candidates[position]
		if Allowed(*c.machine, members[i]) && (c.member == nil || later(&members[i], c.member)) {
			c.member = &members[i]
		}
	}
	return candidates
}

func later(a, b *Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Version > b.Version
}

// settleAddresses leaves one reachable member at each address. An address that
// was given to another VM can still be announced by the former one; frames for
// the former one would reach the process of the other VM.
func settleAddresses(candidates []candidate) {
	owners := make(map[netip.AddrPort]*candidate, len(candidates))
	for i := range candidates {
		c := &candidates[i]
		if c.member == nil || !c.member.Address.IsValid() || c.member.Status == Left || c.member.Status == Failed {
			continue
		}
		other := owners[c.member.Address]
		switch {
		case other == nil:
			owners[c.member.Address] = c
		case c.ownsRatherThan(other):
			other.unreachable, owners[c.member.Address] = true, c
		default:
			c.unreachable = true
		}
	}
}

// ownsRatherThan reports which of two members has the address: a VM of the
// inventory before a retired one, then the later process.
func (c *candidate) ownsRatherThan(other *candidate) bool {
	retired, otherRetired := c.machine.Status == intent.Retired, other.machine.Status == intent.Retired
	switch {
	case retired != otherRetired:
		return otherRetired
	case c.member.Incarnation != other.member.Incarnation:
		return c.member.Incarnation > other.member.Incarnation
	}
	return c.member.VM < other.member.VM
}

// Allowed reports whether the inventory lets the VM announce itself like this.
func Allowed(machine intent.VM, m Member) bool {
	return machine.Role == m.Role && machine.Service == m.Service && machine.Zone == m.Zone
}

func (c *candidate) join() Upstream {
	m := c.member
	u := Upstream{
		VM: m.VM, Hash: ranking.MemberHash(m.VM), Zone: m.Zone, Address: m.Address,
		Incarnation: m.Incarnation, Status: m.Status,
		Slots: c.machine.Slots, Connections: c.machine.Connections, WarmUpUntil: m.WarmUpUntil,
	}
	switch {
	case c.unreachable:
		u.Status = Failed
	case c.machine.Status != intent.Active && m.Status == Ready:
		u.Status = Leaving
	}
	return u
}
