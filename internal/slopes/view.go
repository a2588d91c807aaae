package slopes

import (
	"fmt"
	"net/netip"
	"runtime"
	"time"

	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/membership/simfleet"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

const (
	designServices  = 890
	designBalancers = 600
	designUpstreams = 6000
	viewBuildRuns   = 10
)

func serviceName(index int) service.Name { return service.Name(fmt.Sprintf("service-%03d", index)) }

// measureView measures the time and memory to build a view from the configuration
// and the member records. It also measures the memory of the configuration.
func measureView(w *rowWriter) error {
	state := designState()
	members := designMemberRecords(state)
	memberCount := len(members)
	var v *view.View
	before := liveHeapBytes()
	start := time.Now()
	for range viewBuildRuns {
		v = view.Build(state, members, v, simfleet.StartTime)
	}
	buildTime := time.Since(start) / viewBuildRuns
	after := liveHeapBytes()
	runtime.KeepAlive(v)
	runtime.KeepAlive(members)
	runtime.KeepAlive(state)
	if err := w.writeRow("view.build", memberCount, float64(buildTime.Nanoseconds())/1e6, "ms"); err != nil {
		return err
	}
	if err := w.writeRow("view.heap", memberCount, float64(after-before)/1e6, "MB"); err != nil {
		return err
	}
	return w.writeRow("intent.state_heap", memberCount, float64(stateHeapBytes())/1e6, "MB")
}

func stateHeapBytes() int64 {
	before := liveHeapBytes()
	state := designState()
	after := liveHeapBytes()
	runtime.KeepAlive(state)
	return after - before
}

// designState returns a configuration with the inventory of the design fleet.
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
		inventory.VMs = append(inventory.VMs, designMachine(i))
	}
	return inventory
}

const (
	designSlots       = 7
	designConnections = 3200
)

func designMachine(index int) intent.InventoryVM {
	m := intent.InventoryVM{
		ID: vm.ID(fmt.Sprintf("vm-%05d", index)), Address: memberAddress(index).Addr(),
		Zone: simfleet.Zones(designZones)[index%designZones], Role: vm.RoleBalancer,
	}
	if index >= designBalancers {
		m.Role = vm.RoleUpstream
		m.Service = serviceName(index % designServices)
		m.Slots, m.Connections = designSlots, designConnections
	}
	return m
}

func designMemberRecords(state *intent.State) []view.Member {
	members := make([]view.Member, 0, len(state.VMs))
	for i, inventoryVM := range state.VMs {
		members = append(members, view.Member{
			VM: inventoryVM.ID, Role: inventoryVM.Role, Zone: inventoryVM.Zone, Service: inventoryVM.Service, Address: memberAddress(i),
			Incarnation: 1, Status: view.Ready, Version: 1,
		})
	}
	return members
}
