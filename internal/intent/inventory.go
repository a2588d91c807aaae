package intent

import (
	"cmp"
	"fmt"
	"slices"

	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// setInventory replaces the inventory. Rules of services and VMs that stay are
// kept; removed upstreams are retired, and so are removed services to which
// an upstream still refers.
func (s *State) setInventory(inv Inventory) (string, error) {
	machines := s.mergeMachines(inv.Machines)
	if err := s.checkTransition(inv, machines); err != nil {
		return "", err
	}
	s.VMs = machines
	s.Services = s.mergeServices(inv.Services)
	return fmt.Sprintf("inventory of %d VMs and %d services", len(inv.Machines), len(inv.Services)), nil
}

// mergeServices needs the merged VMs in the state.
func (s *State) mergeServices(entries []ServiceEntry) []Service {
	merged := make([]Service, 0, len(entries))
	listed := make(map[service.Name]bool, len(entries))
	for _, e := range entries {
		listed[e.Name] = true
		known, ok := s.FindService(e.Name)
		if !ok {
			s.NextServiceID++
			known = Service{ID: s.NextServiceID, Name: e.Name, Traffic: true, Contract: service.DefaultContract()}
		}
		known.Endpoint, known.Retired = e.Endpoint, false
		merged = append(merged, known)
	}
	for _, v := range s.Services {
		if !listed[v.Name] {
			v.Retired, v.Traffic = true, false
			merged = append(merged, v)
		}
	}
	slices.SortFunc(merged, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	return withoutUnused(merged, s.VMs)
}

// withoutUnused drops the retired services to which no upstream refers.
func withoutUnused(services []Service, machines []VM) []Service {
	used := countUpstreams(machines)
	return slices.DeleteFunc(services, func(v Service) bool { return v.Retired && used[v.Name] == 0 })
}

// countUpstreams counts the upstreams of each service, whatever their status.
func countUpstreams(machines []VM) map[service.Name]int {
	count := map[service.Name]int{}
	for i := range machines {
		if machines[i].Role == vm.RoleUpstream {
			count[machines[i].Service]++
		}
	}
	return count
}

func (s *State) mergeMachines(machines []Machine) []VM {
	known := make(map[vm.ID]VM, len(s.VMs))
	for _, v := range s.VMs {
		known[v.ID] = v
	}
	merged := make([]VM, 0, len(machines))
	listed := make(map[vm.ID]bool, len(machines))
	for _, m := range machines {
		listed[m.ID] = true
		status := Active
		if known[m.ID].Status == Leaving {
			status = Leaving
		}
		merged = append(merged, VM{Machine: m, Status: status})
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
