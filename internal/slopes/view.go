package slopes

import (
	"fmt"
	"net/netip"
	"runtime"
	"time"

	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/membership/fleet"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

const (
	designServices  = 890
	designBalancers = 600
	designUpstreams = 6000
	viewRepeats     = 10
)

func serviceName(i int) service.Name { return service.Name(fmt.Sprintf("service-%03d", i)) }

// measureView measures the join of the intent with the members.
func measureView(p *printer) error {
	state := designState()
	members := designFleet(state)
	n := len(members)
	var v *view.View
	before := heapBytes()
	start := time.Now()
	for range viewRepeats {
		v = view.Build(state, members, v, fleet.Epoch)
	}
	took := time.Since(start) / viewRepeats
	after := heapBytes()
	runtime.KeepAlive(v)
	runtime.KeepAlive(members)
	runtime.KeepAlive(state)
	if err := p.add("view.build", n, float64(took.Nanoseconds())/1e6, "ms"); err != nil {
		return err
	}
	if err := p.add("view.heap", n, float64(after-before)/1e6, "MB"); err != nil {
		return err
	}
	return p.add("intent.state_heap", n, float64(stateHeap())/1e6, "MB")
}

func stateHeap() int64 {
	before := heapBytes()
	state := designState()
	after := heapBytes()
	runtime.KeepAlive(state)
	return after - before
}

// designState is a state with the inventory of the size of the design.
func designState() *intent.State {
	state, _ := intent.Apply(&intent.State{}, intent.Change{
		OperationID: "import", Kind: intent.KindInventory, Inventory: designInventory(),
	})
	return state
}

func designInventory() *intent.Inventory {
	inventory := &intent.Inventory{}
	for i := range designServices {
		inventory.Services = append(inventory.Services, intent.ServiceEntry{
			Name: serviceName(i), Endpoint: service.Endpoint{
				Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, byte(i >> 8), byte(i)}), 443),
				Protocol: service.TCP,
			},
		})
	}
	for i := range designBalancers + designUpstreams {
		inventory.Machines = append(inventory.Machines, machine(i))
	}
	return inventory
}

const (
	designSlots       = 7
	designConnections = 3200
)

func machine(i int) intent.Machine {
	m := intent.Machine{
		ID: vm.ID(fmt.Sprintf("vm-%05d", i)), Address: memberAddress(i).Addr(),
		Zone: fleet.Zones(designZones)[i%designZones], Role: vm.RoleBalancer,
	}
	if i >= designBalancers {
		m.Role = vm.RoleUpstream
		m.Service = serviceName(i % designServices)
		m.Slots, m.Connections = designSlots, designConnections
	}
	return m
}

func designFleet(state *intent.State) []view.Member {
	members := make([]view.Member, 0, len(state.VMs))
	for i, m := range state.VMs {
		members = append(members, view.Member{
			VM: m.ID, Role: m.Role, Zone: m.Zone, Service: m.Service, Address: memberAddress(i),
			Incarnation: 1, Status: view.Ready, Version: 1,
		})
	}
	return members
}
