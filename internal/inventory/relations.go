package inventory

import (
	"net/netip"
	"strings"

	"bramleyhold.example/bramleyhold/internal/ranking"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// relate checks rows against each other.
func (p *parser) relate() {
	p.checkMachines(p.checkServices())
	p.checkVirtualAddresses()
	p.checkRoles()
}

// firstSeen remembers the line of the first use of a value.
type firstSeen[K comparable] map[K]int

// add returns the line of an earlier use, or 0.
func (f firstSeen[K]) add(key K, line int) int {
	if first, ok := f[key]; ok {
		return first
	}
	f[key] = line
	return 0
}

// checkServices returns the virtual address of each service. Names that differ
// only in case are duplicates, because host names do not distinguish case.
func (p *parser) checkServices() map[service.Name]netip.Addr {
	names := map[service.Name]netip.Addr{}
	folded := firstSeen[string]{}
	endpoints := firstSeen[service.Endpoint]{}
	for i := range p.services {
		s := &p.services[i]
		name := string(s.entry.Name)
		names[s.entry.Name] = s.entry.Endpoint.Address.Addr()
		if name == "" {
			continue
		}
		if first := folded.add(strings.ToLower(name), s.row.line); first > 0 {
			p.fail(&s.row, colName, "duplicate service name, first on line %d", first)
			continue
		}
		p.checkMembers(s)
		if !complete(s.entry.Endpoint) {
			continue
		}
		if first := endpoints.add(s.entry.Endpoint, s.row.line); first > 0 {
			p.fail(&s.row, colAddress, "duplicate virtual endpoint %s, first on line %d", s.entry.Endpoint, first)
		}
	}
	return names
}

func complete(e service.Endpoint) bool {
	return e.Address.IsValid() && e.Address.Port() != 0 && e.Protocol.Number() != 0
}

func (p *parser) checkMembers(s *serviceRow) {
	count := p.mentioned[string(s.entry.Name)]
	if count == 0 {
		p.fail(&s.row, colName, "service has no upstream VM")
	}
	if count > ranking.MaxMembers {
		p.fail(&s.row, colName, "service has %d upstream VMs: at most %d are allowed", count, ranking.MaxMembers)
	}
}

func (p *parser) checkMachines(services map[service.Name]netip.Addr) {
	folded := firstSeen[string]{}
	addresses := firstSeen[netip.Addr]{}
	for i := range p.machines {
		m := &p.machines[i]
		if name := string(m.machine.ID); name != "" {
			if first := folded.add(strings.ToLower(name), m.row.line); first > 0 {
				p.fail(&m.row, colName, "duplicate VM name, first on line %d", first)
			}
		}
		if m.machine.Address.IsValid() {
			if first := addresses.add(m.machine.Address, m.row.line); first > 0 {
				p.fail(&m.row, colAddress, "duplicate address %s, first on line %d", m.machine.Address, first)
			}
		}
		p.checkMembership(m, services)
	}
}

// checkMembership rejects an unknown service and a service of another address
// family: the agent rewrites addresses but does not translate between IPv4
// and IPv6.
func (p *parser) checkMembership(m *machineRow, services map[service.Name]netip.Addr) {
	if m.machine.Service == "" {
		return
	}
	virtual, ok := services[m.machine.Service]
	if !ok {
		p.fail(&m.row, colService, "unknown service %q: no service row has this name", m.machine.Service)
		return
	}
	own := m.machine.Address
	if own.IsValid() && virtual.IsValid() && own.Is4() != virtual.Is4() {
		p.fail(&m.row, colAddress, "address %s and the virtual address %s of the service are of different IP versions", own, virtual)
	}
}

// checkVirtualAddresses rejects a VM under a virtual address: packets to the
// VM itself would be balanced.
func (p *parser) checkVirtualAddresses() {
	virtual := firstSeen[netip.Addr]{}
	for i := range p.services {
		if a := p.services[i].entry.Endpoint.Address.Addr(); a.IsValid() {
			virtual.add(a, p.services[i].row.line)
		}
	}
	for i := range p.machines {
		m := &p.machines[i]
		if line, ok := virtual[m.machine.Address]; ok {
			p.fail(&m.row, colAddress, "address %s is the virtual address of the service on line %d", m.machine.Address, line)
		}
	}
}

// checkRoles warns about deployments that cannot work as planned.
func (p *parser) checkRoles() {
	counts := map[vm.Role]int{}
	for i := range p.machines {
		counts[p.machines[i].machine.Role]++
	}
	if counts[vm.RoleBalancer] == 0 {
		p.findings.Warnf(p.place(0, ""), "no VM has the role balancer")
	}
	switch counts[vm.RoleControl] {
	case 1, 3, 5, 7:
	default:
		p.findings.Warnf(p.place(0, ""), "%d VMs have the role control: want 1, 3, 5 or 7", counts[vm.RoleControl])
	}
}
