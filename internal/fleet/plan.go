package fleet

import (
	"fmt"
	"net/netip"

	"bramleyhold.example/bramleyhold/internal/finding"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/vm"
	"bramleyhold.example/bramleyhold/internal/zone"
)

// ServicePlan describes one service of a fleet. Slots and Connections apply to each
// of its upstreams.
type ServicePlan struct {
	Name        service.Name
	Upstreams   int
	Slots       int
	Connections int
	Contract    service.Contract
}

// Plan describes a fleet. Its addresses are from the ranges reserved for documentation
// and benchmarks, which no other machine uses.
type Plan struct {
	// Prefix is the prefix of the names of the TUN devices.
	Prefix string
	// Network is the second octet of the private addresses, 18 or 19, so that
	// two fleets can run at the same time.
	Network   int
	Control   int
	Balancers int
	Services  []ServicePlan
	Folder    string
	Seed      uint64
	// TraceEvery makes balancers trace one opening of this many. 0 disables
	// tracing.
	TraceEvery int
}

// DefaultPlan returns the plan of `make dev`.
func DefaultPlan(folder string) Plan {
	return Plan{
		Prefix: "bram", Network: 18, Control: 1, Balancers: 3, Folder: folder, Seed: 1, TraceEvery: 1,
		Services: []ServicePlan{
			{Name: "orders", Upstreams: 3, Slots: 7, Connections: 2000, Contract: service.DefaultContract()},
			{Name: "kilnlog", Upstreams: 2, Slots: 7, Connections: 2000, Contract: service.DefaultContract()},
		},
	}
}

const (
	servicePort  = 8080
	upstreamPort = 9000
	// firstVirtualHost is the last octet of the first virtual address.
	firstVirtualHost = 10
)

var zones = []zone.ID{{Region: "local", Name: "a"}, {Region: "local", Name: "b"}, {Region: "local", Name: "c"}}

func (p *Plan) virtualAddress(service int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 51, byte(p.Network + 82), byte(firstVirtualHost + service)}), servicePort)
}

// upstreamNetwork returns the first three octets of the /24 network of one upstream.
// Host .1 is the server, and .128/25 contains the aliases of the agent.
func (p *Plan) upstreamNetwork(upstreamNumber int) [3]byte {
	return [3]byte{198, byte(p.Network), byte(upstreamNumber + 1)}
}

func (p *Plan) serverAddress(upstreamNumber int) netip.Addr {
	network := p.upstreamNetwork(upstreamNumber)
	return netip.AddrFrom4([4]byte{network[0], network[1], network[2], 1})
}

func (p *Plan) aliasPrefix(upstreamNumber int) netip.Prefix {
	network := p.upstreamNetwork(upstreamNumber)
	return netip.PrefixFrom(netip.AddrFrom4([4]byte{network[0], network[1], network[2], 128}), 25)
}

// callerAddress returns the source address of callers on this machine.
func (p *Plan) callerAddress() netip.Addr {
	return netip.AddrFrom4([4]byte{198, byte(p.Network), 255, 1})
}

func (p *Plan) zoneOf(number int) zone.ID { return zones[number%len(zones)] }

func upstreamName(serviceName service.Name, index int) vm.ID {
	return vm.ID(fmt.Sprintf("%s-%d", serviceName, index+1))
}

func balancerName(index int) vm.ID { return vm.ID(fmt.Sprintf("balancer-%d", index+1)) }

func controlName(index int) vm.ID { return vm.ID(fmt.Sprintf("control-%d", index+1)) }

// Inventory returns the inventory of the planned fleet.
func (p *Plan) Inventory() intent.Inventory {
	var inv intent.Inventory
	for i := range p.Control {
		inv.VMs = append(inv.VMs, p.loopbackMachine(controlName(i), vm.RoleControl, i))
	}
	for i := range p.Balancers {
		inv.VMs = append(inv.VMs, p.loopbackMachine(balancerName(i), vm.RoleBalancer, i))
	}
	upstreamNumber := 0
	for i, s := range p.Services {
		inv.Services = append(inv.Services, intent.ServiceEntry{
			Name: s.Name, Endpoint: service.Endpoint{Address: p.virtualAddress(i), Protocol: service.TCP},
		})
		for index := range s.Upstreams {
			machine := p.loopbackMachine(upstreamName(s.Name, index), vm.RoleUpstream, index)
			machine.Address, machine.Service, machine.Slots, machine.Connections = p.serverAddress(upstreamNumber), s.Name, s.Slots, s.Connections
			inv.VMs = append(inv.VMs, machine)
			upstreamNumber++
		}
	}
	return inv
}

func (p *Plan) loopbackMachine(id vm.ID, role vm.Role, number int) intent.InventoryVM {
	loopback := netip.AddrFrom4([4]byte{127, byte(p.Network), roleOctet[role], byte(number + 1)})
	return intent.InventoryVM{ID: id, Address: loopback, Zone: p.zoneOf(number), Role: role}
}

var roleOctet = map[vm.Role]byte{vm.RoleControl: 1, vm.RoleBalancer: 2, vm.RoleUpstream: 3}

// The limits of a plan. Addresses and device names are available for this many.
const (
	maxBalancers = 16
	maxUpstreams = 64
)

// Validate returns an error with a finding for each unsupported setting of the plan.
func (p *Plan) Validate() error {
	var findings finding.List
	switch p.Control {
	case 1, 3, 5, 7:
	default:
		findings.Errorf(finding.Location{Object: "setting --control"}, "%d: want 1, 3, 5 or 7", p.Control)
	}
	if p.Balancers < 1 || p.Balancers > maxBalancers {
		findings.Errorf(finding.Location{Object: "setting --balancers"}, "%d: want 1 to %d", p.Balancers, maxBalancers)
	}
	upstreams := 0
	for _, s := range p.Services {
		upstreams += s.Upstreams
	}
	if upstreams > maxUpstreams {
		findings.Errorf(finding.Location{Object: "plan"}, "%d upstreams: want at most %d", upstreams, maxUpstreams)
	}
	return findings.Err()
}
