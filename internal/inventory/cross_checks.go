package inventory

import (
	"net/netip"
	"strings"

	"bramleyhold.example/bramleyhold/internal/ranking"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// checkRelations checks the rows against each other.
func (p *parser) checkRelations() {
	p.checkMachines(p.checkServices())
	p.checkVirtualAddresses()
	p.checkRoleCounts()
}

// firstLines maps each value to the line of its first occurrence.
type firstLines[K comparable] map[K]int

// addOrFirst stores the line of a new value and returns 0. For a value that is
// already stored, it returns the line of the first occurrence.
func (f firstLines[K]) addOrFirst(key K, line int) int {
	if first, ok := f[key]; ok {
		return first
	}
	f[key] = line
	return 0
}

// checkServices checks the service rows and returns the virtual address of each
// service. Names that differ only in case are duplicates, because host names are
// not case-sensitive.
func (p *parser) checkServices() map[service.Name]netip.Addr {
	virtualAddresses := map[service.Name]netip.Addr{}
	lowerNames := firstLines[string]{}
	endpoints := firstLines[service.Endpoint]{}
	for i := range p.serviceRows {
		current := &p.serviceRows[i]
		name := string(current.entry.Name)
		virtualAddresses[current.entry.Name] = current.entry.Endpoint.Address.Addr()
		if name == "" {
			continue
		}
		if first := lowerNames.addOrFirst(strings.ToLower(name), current.row.line); first > 0 {
			p.addCellError(&current.row, colName, "duplicate service name, first on line %d", first)
			continue
		}
		p.checkUpstreamCount(current)
		if !isCompleteEndpoint(current.entry.Endpoint) {
			continue
		}
		if first := endpoints.addOrFirst(current.entry.Endpoint, current.row.line); first > 0 {
			p.addCellError(&current.row, colAddress, "duplicate virtual endpoint %s, first on line %d", current.entry.Endpoint, first)
		}
	}
	return virtualAddresses
}

func isCompleteEndpoint(e service.Endpoint) bool {
	return e.Address.IsValid() && e.Address.Port() != 0 && e.Protocol.Number() != 0
}

func (p *parser) checkUpstreamCount(s *serviceRow) {
	count := p.upstreamRowCounts[string(s.entry.Name)]
	if count == 0 {
		p.addCellError(&s.row, colName, "service has no upstream VM")
	}
	if count > ranking.MaxMembers {
		p.addCellError(&s.row, colName, "service has %d upstream VMs: at most %d are allowed", count, ranking.MaxMembers)
	}
}

func (p *parser) checkMachines(virtualAddresses map[service.Name]netip.Addr) {
	lowerNames := firstLines[string]{}
	addresses := firstLines[netip.Addr]{}
	for i := range p.machineRows {
		m := &p.machineRows[i]
		if name := string(m.machine.ID); name != "" {
			if first := lowerNames.addOrFirst(strings.ToLower(name), m.row.line); first > 0 {
				p.addCellError(&m.row, colName, "duplicate VM name, first on line %d", first)
			}
		}
		if m.machine.Address.IsValid() {
			if first := addresses.addOrFirst(m.machine.Address, m.row.line); first > 0 {
				p.addCellError(&m.row, colAddress, "duplicate address %s, first on line %d", m.machine.Address, first)
			}
		}
		p.checkServiceOfVM(m, virtualAddresses)
	}
}

// checkServiceOfVM rejects an upstream VM whose service is unknown. It also
// rejects one whose address is of another IP version than the service's virtual
// address. The agent rewrites addresses but does not translate between IPv4 and
// IPv6.
func (p *parser) checkServiceOfVM(m *machineRow, virtualAddresses map[service.Name]netip.Addr) {
	if m.machine.Service == "" {
		return
	}
	virtualAddress, ok := virtualAddresses[m.machine.Service]
	if !ok {
		p.addCellError(&m.row, colService, "unknown service %q: no service row has this name", m.machine.Service)
		return
	}
	vmAddress := m.machine.Address
	if vmAddress.IsValid() && virtualAddress.IsValid() && vmAddress.Is4() != virtualAddress.Is4() {
		p.addCellError(&m.row, colAddress, "address %s and the virtual address %s of the service are of different IP versions", vmAddress, virtualAddress)
	}
}

// checkVirtualAddresses rejects a VM whose address is a virtual address of a
// service. Packets to the VM itself would otherwise be load balanced.
func (p *parser) checkVirtualAddresses() {
	virtualAddressLines := firstLines[netip.Addr]{}
	for i := range p.serviceRows {
		if address := p.serviceRows[i].entry.Endpoint.Address.Addr(); address.IsValid() {
			virtualAddressLines.addOrFirst(address, p.serviceRows[i].row.line)
		}
	}
	for i := range p.machineRows {
		m := &p.machineRows[i]
		if line, ok := virtualAddressLines[m.machine.Address]; ok {
			p.addCellError(&m.row, colAddress, "address %s is the virtual address of the service on line %d", m.machine.Address, line)
		}
	}
}

// checkRoleCounts warns if there is no balancer, or if the number of control VMs
// is not supported.
func (p *parser) checkRoleCounts() {
	counts := map[vm.Role]int{}
	for i := range p.machineRows {
		counts[p.machineRows[i].machine.Role]++
	}
	if counts[vm.RoleBalancer] == 0 {
		p.findings.Warnf(p.location(0, ""), "no VM has the role balancer")
	}
	switch counts[vm.RoleControl] {
	case 1, 3, 5, 7:
	default:
		p.findings.Warnf(p.location(0, ""), "%d VMs have the role control: want 1, 3, 5 or 7", counts[vm.RoleControl])
	}
}
