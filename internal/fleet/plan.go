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

// ServicePlan describes one service of the fleet.
type ServicePlan struct {
	Name        service.Name
	Upstreams   int
	Slots       int
	Connections int
	Contract    service.Contract
}

// Plan describes a fleet. Addresses are from the ranges for documentation and
// for benchmarks, which no other machine uses.
type Plan struct {
	// Prefix starts the names of the TUN devices.
	Prefix string
	// Network is the second octet of the private addresses, 18 or 19, so that
	// two fleets can run beside each other.
	Network   int
	Control   int
	Balancers int
	Services  []ServicePlan
	Folder    string
	Seed      uint64
	// TraceEvery is how many openings there are for each traced one; 0 is none.
	TraceEvery int
}

// DefaultPlan is the fleet of `make dev`.
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
	// virtualHost is the last octet of the first virtual address.
	virtualHost = 10
)

var zones = []zone.ID{{Region: "local", Name: "a"}, {Region: "local", Name: "b"}, {Region: "local", Name: "c"}}

func (p *Plan) virtual(service int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 51, byte(p.Network + 82), byte(virtualHost + service)}), servicePort)
}

// agentNetwork is the /24 of one agent: .1 is the server, .128/25 the aliases.
func (p *Plan) agentNetwork(n int) [3]byte { return [3]byte{198, byte(p.Network), byte(n + 1)} }

func (p *Plan) serverAddress(n int) netip.Addr {
	a := p.agentNetwork(n)
	return netip.AddrFrom4([4]byte{a[0], a[1], a[2], 1})
}

func (p *Plan) aliases(n int) netip.Prefix {
	a := p.agentNetwork(n)
	return netip.PrefixFrom(netip.AddrFrom4([4]byte{a[0], a[1], a[2], 128}), 25)
}

// callerAddress is the source of callers on this machine.
func (p *Plan) callerAddress() netip.Addr {
	return netip.AddrFrom4([4]byte{198, byte(p.Network), 255, 1})
}

func (p *Plan) zone(n int) zone.ID { return zones[n%len(zones)] }

func upstreamName(s service.Name, n int) vm.ID { return vm.ID(fmt.Sprintf("%s-%d", s, n+1)) }

func balancerName(n int) vm.ID { return vm.ID(fmt.Sprintf("balancer-%d", n+1)) }

func controlName(n int) vm.ID { return vm.ID(fmt.Sprintf("control-%d", n+1)) }

// Inventory returns the inventory that the plan stands for.
func (p *Plan) Inventory() intent.Inventory {
	var inv intent.Inventory
	for i := range p.Control {
		inv.Machines = append(inv.Machines, p.machine(controlName(i), vm.RoleControl, i))
	}
	for i := range p.Balancers {
		inv.Machines = append(inv.Machines, p.machine(balancerName(i), vm.RoleBalancer, i))
	}
	n := 0
	for i, s := range p.Services {
		inv.Services = append(inv.Services, intent.ServiceEntry{
			Name: s.Name, Endpoint: service.Endpoint{Address: p.virtual(i), Protocol: service.TCP},
		})
		for j := range s.Upstreams {
			m := p.machine(upstreamName(s.Name, j), vm.RoleUpstream, j)
			m.Address, m.Service, m.Slots, m.Connections = p.serverAddress(n), s.Name, s.Slots, s.Connections
			inv.Machines = append(inv.Machines, m)
			n++
		}
	}
	return inv
}

func (p *Plan) machine(id vm.ID, role vm.Role, n int) intent.Machine {
	loopback := netip.AddrFrom4([4]byte{127, byte(p.Network), roleOctet[role], byte(n + 1)})
	return intent.Machine{ID: id, Address: loopback, Zone: p.zone(n), Role: role}
}

var roleOctet = map[vm.Role]byte{vm.RoleControl: 1, vm.RoleBalancer: 2, vm.RoleUpstream: 3}

// The bounds of a plan: zones, addresses and device names are given for these.
const (
	maxBalancers = 16
	maxUpstreams = 64
)

// Validate reports every setting of the plan that cannot be used.
func (p *Plan) Validate() error {
	var list finding.List
	switch p.Control {
	case 1, 3, 5, 7:
	default:
		list.Errorf(finding.Location{Object: "setting --control"}, "%d: want 1, 3, 5 or 7", p.Control)
	}
	if p.Balancers < 1 || p.Balancers > maxBalancers {
		list.Errorf(finding.Location{Object: "setting --balancers"}, "%d: want 1 to %d", p.Balancers, maxBalancers)
	}
	upstreams := 0
	for _, s := range p.Services {
		upstreams += s.Upstreams
	}
	if upstreams > maxUpstreams {
		list.Errorf(finding.Location{Object: "plan"}, "%d upstreams: want at most %d", upstreams, maxUpstreams)
	}
	return list.Err()
}
