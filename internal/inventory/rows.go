package inventory

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/vm"
	"bramleyhold.example/bramleyhold/internal/zone"
)

const (
	// MaxSlots bounds the slots of one upstream.
	MaxSlots = 4096
	// MaxConnections bounds the connection limit of one upstream.
	MaxConnections = 1_000_000
	// DefaultConnections is the connection limit of an upstream row without one.
	// The row gets a warning.
	DefaultConnections = 2000

	maxPort = 65535
)

type machineRow struct {
	row     row
	machine intent.InventoryVM
}

type serviceRow struct {
	row   row
	entry intent.ServiceEntry
}

func (p *parser) readMachine(r *row) {
	machine := intent.InventoryVM{ID: vm.ID(p.readName(r)), Address: p.readAddress(r), Zone: p.readZone(r)}
	machine.Role = vm.Role(strings.ToLower(r.value(colRole)))
	p.requireEmpty(r, colPort, colProtocol)
	switch {
	case machine.Role == "":
		p.addCellError(r, colRole, "role is missing: want balancer, upstream or control")
	case !machine.Role.Valid():
		p.addCellError(r, colRole, "unknown role %q: want balancer, upstream or control", r.value(colRole))
	case machine.Role == vm.RoleUpstream:
		p.readUpstream(r, &machine)
	default:
		p.requireEmpty(r, colService, colSlots, colConnections)
	}
	if machine.Role == vm.RoleUpstream || !machine.Role.Valid() {
		p.upstreamRowCounts[r.value(colService)]++
	}
	p.machineRows = append(p.machineRows, machineRow{row: *r, machine: machine})
}

func (p *parser) readUpstream(r *row, machine *intent.InventoryVM) {
	machine.Service = service.Name(r.value(colService))
	if machine.Service == "" {
		p.addCellError(r, colService, "service is missing: every upstream belongs to one service")
	}
	if r.value(colSlots) == "" {
		p.addCellError(r, colSlots, "slots are missing: want 1 to %d", MaxSlots)
	} else {
		machine.Slots = p.readNumber(r, colSlots, MaxSlots)
	}
	if r.value(colConnections) == "" {
		machine.Connections = DefaultConnections
		p.findings.Warnf(p.cellLocation(r, colConnections), "connection limit is missing: %d is used", DefaultConnections)
	} else {
		machine.Connections = p.readNumber(r, colConnections, MaxConnections)
	}
	if machine.Connections > 0 && machine.Connections < machine.Slots {
		p.addCellError(r, colConnections, "connection limit %d is below the %d slots", machine.Connections, machine.Slots)
	}
}

func (p *parser) readService(r *row) {
	entry := intent.ServiceEntry{Name: service.Name(p.readName(r))}
	address := p.readAddress(r)
	port := p.readPort(r)
	entry.Endpoint.Address = netip.AddrPortFrom(address, port)
	entry.Endpoint.Protocol = service.Protocol(strings.ToLower(r.value(colProtocol)))
	if entry.Endpoint.Protocol.Number() == 0 {
		p.addCellError(r, colProtocol, "unknown protocol %q: want tcp or udp", r.value(colProtocol))
	}
	p.requireEmpty(r, colZone, colRole, colService, colSlots, colConnections)
	p.serviceRows = append(p.serviceRows, serviceRow{row: *r, entry: entry})
}

func (p *parser) readName(r *row) string {
	text := r.value(colName)
	switch {
	case text == "":
		p.addCellError(r, colName, "name is missing")
	case len(text) > vm.MaxNameBytes:
		p.addCellError(r, colName, "name has %d bytes: at most %d are allowed", len(text), vm.MaxNameBytes)
	case !vm.ValidName(text):
		p.addCellError(r, colName, "name %q: want letters, digits, '.', '_' and '-', with a letter or digit first", text)
	}
	return text
}

func (p *parser) readAddress(r *row) netip.Addr {
	text := r.value(colAddress)
	if text == "" {
		p.addCellError(r, colAddress, "address is missing")
		return netip.Addr{}
	}
	a, err := netip.ParseAddr(text)
	if err != nil {
		p.addCellError(r, colAddress, "bad address %q: want an IPv4 or IPv6 address", text)
		return netip.Addr{}
	}
	switch {
	case a.Zone() != "":
		p.addCellError(r, colAddress, "address %s has a scope zone, which is not supported", a)
	case a.Is4In6():
		p.addCellError(r, colAddress, "address %s is IPv4 in IPv6 notation: want %s", a, a.Unmap())
	case a.IsUnspecified() || a.IsMulticast() || a == netip.AddrFrom4([4]byte{255, 255, 255, 255}):
		p.addCellError(r, colAddress, "address %s is not a unicast address", a)
	default:
		return a
	}
	return netip.Addr{}
}

func (p *parser) readZone(r *row) zone.ID {
	id, err := zone.Parse(r.value(colZone))
	if err != nil {
		p.addCellError(r, colZone, "%v", err)
	}
	return id
}

func (p *parser) readPort(r *row) uint16 {
	if r.value(colPort) == "" {
		p.addCellError(r, colPort, "port is missing: want 1 to %d", maxPort)
		return 0
	}
	return uint16(p.readNumber(r, colPort, maxPort))
}

// readNumber parses a decimal number from 1 to limit. If the value is invalid, it
// adds a finding and returns 0.
func (p *parser) readNumber(r *row, c column, limit int) int {
	n, err := strconv.Atoi(r.value(c))
	if err != nil || n < 1 || n > limit {
		p.addCellError(r, c, "%q is out of range: want 1 to %d", r.value(c), limit)
		return 0
	}
	return n
}

func (p *parser) requireEmpty(r *row, unsupported ...column) {
	for _, c := range unsupported {
		if r.value(c) == "" {
			continue
		}
		subject := strings.ToLower(r.value(colKind))
		if role := strings.ToLower(r.value(colRole)); subject == "vm" && role != "" {
			subject += " with role " + role
		}
		p.addCellError(r, c, "value %q has no meaning for a %s: want an empty field", r.value(c), subject)
	}
}

// sortedInventory returns the parsed rows sorted by name.
func (p *parser) sortedInventory() *intent.Inventory {
	inv := &intent.Inventory{
		VMs:      make([]intent.InventoryVM, 0, len(p.machineRows)),
		Services: make([]intent.ServiceEntry, 0, len(p.serviceRows)),
	}
	for i := range p.machineRows {
		inv.VMs = append(inv.VMs, p.machineRows[i].machine)
	}
	for i := range p.serviceRows {
		inv.Services = append(inv.Services, p.serviceRows[i].entry)
	}
	slices.SortFunc(inv.VMs, func(a, b intent.InventoryVM) int { return strings.Compare(string(a.ID), string(b.ID)) })
	slices.SortFunc(inv.Services, func(a, b intent.ServiceEntry) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return inv
}
