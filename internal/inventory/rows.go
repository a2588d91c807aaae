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
	// DefaultConnections is used, with a warning, where the limit is missing.
	DefaultConnections = 2000

	maxPort = 65535
)

type machineRow struct {
	row     row
	machine intent.Machine
}

type serviceRow struct {
	row   row
	entry intent.ServiceEntry
}

func (p *parser) readMachine(r *row) {
	m := intent.Machine{ID: vm.ID(p.name(r)), Address: p.address(r), Zone: p.zone(r)}
	m.Role = vm.Role(strings.ToLower(r.text(colRole)))
	p.mustBeEmpty(r, colPort, colProtocol)
	switch {
	case m.Role == "":
		p.fail(r, colRole, "role is missing: want balancer, upstream or control")
	case !m.Role.Valid():
		p.fail(r, colRole, "unknown role %q: want balancer, upstream or control", r.text(colRole))
	case m.Role == vm.RoleUpstream:
		p.readUpstream(r, &m)
	default:
		p.mustBeEmpty(r, colService, colSlots, colConnections)
	}
	if m.Role == vm.RoleUpstream || !m.Role.Valid() {
		p.mentioned[r.text(colService)]++
	}
	p.machines = append(p.machines, machineRow{row: *r, machine: m})
}

func (p *parser) readUpstream(r *row, m *intent.Machine) {
	m.Service = service.Name(r.text(colService))
	if m.Service == "" {
		p.fail(r, colService, "service is missing: every upstream belongs to one service")
	}
	if r.text(colSlots) == "" {
		p.fail(r, colSlots, "slots are missing: want 1 to %d", MaxSlots)
	} else {
		m.Slots = p.number(r, colSlots, MaxSlots)
	}
	if r.text(colConnections) == "" {
		m.Connections = DefaultConnections
		p.findings.Warnf(p.cellPlace(r, colConnections), "connection limit is missing: %d is used", DefaultConnections)
	} else {
		m.Connections = p.number(r, colConnections, MaxConnections)
	}
	if m.Connections > 0 && m.Connections < m.Slots {
		p.fail(r, colConnections, "connection limit %d is below the %d slots", m.Connections, m.Slots)
	}
}

func (p *parser) readService(r *row) {
	e := intent.ServiceEntry{Name: service.Name(p.name(r))}
	address := p.address(r)
	port := p.port(r)
	e.Endpoint.Address = netip.AddrPortFrom(address, port)
	e.Endpoint.Protocol = service.Protocol(strings.ToLower(r.text(colProtocol)))
	if e.Endpoint.Protocol.Number() == 0 {
		p.fail(r, colProtocol, "unknown protocol %q: want tcp or udp", r.text(colProtocol))
	}
	p.mustBeEmpty(r, colZone, colRole, colService, colSlots, colConnections)
	p.services = append(p.services, serviceRow{row: *r, entry: e})
}

func (p *parser) name(r *row) string {
	text := r.text(colName)
	switch {
	case text == "":
		p.fail(r, colName, "name is missing")
	case len(text) > vm.MaxNameBytes:
		p.fail(r, colName, "name has %d bytes: at most %d are allowed", len(text), vm.MaxNameBytes)
	case !vm.ValidName(text):
		p.fail(r, colName, "name %q: want letters, digits, '.', '_' and '-', with a letter or digit first", text)
	}
	return text
}

func (p *parser) address(r *row) netip.Addr {
	text := r.text(colAddress)
	if text == "" {
		p.fail(r, colAddress, "address is missing")
		return netip.Addr{}
	}
	a, err := netip.ParseAddr(text)
	if err != nil {
		p.fail(r, colAddress, "bad address %q: want an IPv4 or IPv6 address", text)
		return netip.Addr{}
	}
	switch {
	case a.Zone() != "":
		p.fail(r, colAddress, "address %s has a scope zone, which is not supported", a)
	case a.Is4In6():
		p.fail(r, colAddress, "address %s is IPv4 in IPv6 notation: want %s", a, a.Unmap())
	case a.IsUnspecified() || a.IsMulticast() || a == netip.AddrFrom4([4]byte{255, 255, 255, 255}):
		p.fail(r, colAddress, "address %s is not a unicast address", a)
	default:
		return a
	}
	return netip.Addr{}
}

func (p *parser) zone(r *row) zone.ID {
	id, err := zone.Parse(r.text(colZone))
	if err != nil {
		p.fail(r, colZone, "%v", err)
	}
	return id
}

func (p *parser) port(r *row) uint16 {
	if r.text(colPort) == "" {
		p.fail(r, colPort, "port is missing: want 1 to %d", maxPort)
		return 0
	}
	return uint16(p.number(r, colPort, maxPort))
}

// number reads a decimal from 1 to limit, and returns 0 after a finding.
func (p *parser) number(r *row, c column, limit int) int {
	n, err := strconv.Atoi(r.text(c))
	if err != nil || n < 1 || n > limit {
		p.fail(r, c, "%q is out of range: want 1 to %d", r.text(c), limit)
		return 0
	}
	return n
}

func (p *parser) mustBeEmpty(r *row, cols ...column) {
	for _, c := range cols {
		if r.text(c) == "" {
			continue
		}
		subject := strings.ToLower(r.text(colKind))
		if role := strings.ToLower(r.text(colRole)); subject == "vm" && role != "" {
			subject += " with role " + role
		}
		p.fail(r, c, "value %q has no meaning for a %s: want an empty field", r.text(c), subject)
	}
}

// inventory returns the rows sorted by name.
func (p *parser) inventory() *intent.Inventory {
	inv := &intent.Inventory{
		Machines: make([]intent.Machine, 0, len(p.machines)),
		Services: make([]intent.ServiceEntry, 0, len(p.services)),
	}
	for i := range p.machines {
		inv.Machines = append(inv.Machines, p.machines[i].machine)
	}
	for i := range p.services {
		inv.Services = append(inv.Services, p.services[i].entry)
	}
	slices.SortFunc(inv.Machines, func(a, b intent.Machine) int { return strings.Compare(string(a.ID), string(b.ID)) })
	slices.SortFunc(inv.Services, func(a, b intent.ServiceEntry) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return inv
}
