package intent

import (
	"cmp"
	"fmt"
	"slices"

	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// setInventory replaces the inventory. Services and VMs that stay keep their
// rules. Removed upstreams are retired. Removed services are retired if an
// upstream still refers to them.
func (s *State) setInventory(inv Inventory) (string, error) {
	machines := s.mergeMachines(inv.VMs)
	if err := s.checkTransition(inv, machines); err != nil {
		return "", err
	}
	s.VMs = machines
	s.Services = s.mergeServices(inv.Services)
	return fmt.Sprintf("inventory of %d VMs and %d services", len(inv.VMs), len(inv.Services)), nil
}

// mergeServices returns the services after an inventory change, including
// retired ones that upstreams refer to. It requires that s.VMs has the merged
// VMs already.
func (s *State) mergeServices(entries []ServiceEntry) []Service {
	merged := make([]Service, 0, len(entries))
	listed := make(map[service.Name]bool, len(entries))
	for _, e := range entries {
		listed[e.Name] = true
		existing, ok := s.FindService(e.Name)
		if !ok {
			s.NextServiceID++
			existing = Service{ID: s.NextServiceID, Name: e.Name, Traffic: true, Contract: service.DefaultContract()}
		}
		existing.Endpoint, existing.Retired = e.Endpoint, false
		merged = append(merged, existing)
	}
	for _, svc := range s.Services {
		if !listed[svc.Name] {
			svc.Retired, svc.Traffic = true, false
			merged = append(merged, svc)
		}
	}
	slices.SortFunc(merged, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	return dropUnreferencedServices(merged, s.VMs)
}

// dropUnreferencedServices removes the retired services to which no upstream
// refers.
func dropUnreferencedServices(services []Service, machines []VM) []Service {
	upstreams := countUpstreams(machines)
	return slices.DeleteFunc(services, func(v Service) bool { return v.Retired && upstreams[v.Name] == 0 })
}

// countUpstreams counts the upstreams of each service, regardless of their
// status.
func countUpstreams(machines []VM) map[service.Name]int {
	count := map[service.Name]int{}
	for i := range machines {
		if machines[i].Role == vm.RoleUpstream {
			count[machines[i].Service]++
		}
	}
	return count
}

// mergeMachines returns the VMs after an inventory change, including the
// upstreams that it retires.
func (s *State) mergeMachines(machines []InventoryVM) []VM {
	existing := make(map[vm.ID]VM, len(s.VMs))
	for _, v := range s.VMs {
		existing[v.ID] = v
	}
	merged := make([]VM, 0, len(machines))
	listed := make(map[vm.ID]bool, len(machines))
	for _, m := range machines {
		listed[m.ID] = true
		status := Active
		if existing[m.ID].Status == Leaving {
			status = Leaving
		}
		merged = append(merged, VM{InventoryVM: m, Status: status})
	}
	for _, v := range s.VMs {
		if !listed[v.ID] && v.Role == vm.RoleUpstream {
			v.Status = Retired
			merged = append(merged, v)
		}
	}
	slices.SortFunc(merged, func(a, b VM) int { return cmp.Compare(a.ID, b.ID) })
	return merged
}
