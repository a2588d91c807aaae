package intent

import (
	"bramleyhold.example/bramleyhold/internal/finding"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// checkTransition rejects a new inventory that would cut established flows at
// once. The merged VMs are those after the change, including retired ones.
func (s *State) checkTransition(inv Inventory, merged []VM) error {
	var l finding.List
	s.checkReassignedUpstreams(&l, inv.VMs)
	s.checkServices(&l, inv.Services, s.countRetainedUpstreams(merged))
	s.checkRetiredEndpoints(&l, inv.Services, merged)
	checkServiceSizes(&l, merged)
	return l.Err()
}

// checkReassignedUpstreams rejects another service or role for an upstream
// that may hold flows. The upstream would no longer be a member of the service
// whose flows it holds. A leaving upstream can be reassigned. The operator
// does this once it has no flows.
func (s *State) checkReassignedUpstreams(l *finding.List, machines []InventoryVM) {
	existing := make(map[vm.ID]VM, len(s.VMs))
	for _, v := range s.VMs {
		existing[v.ID] = v
	}
	for _, m := range machines {
		before, ok := existing[m.ID]
		if !ok || before.Role != vm.RoleUpstream || m.Role == before.Role && m.Service == before.Service {
			continue
		}
		location := finding.Location{Object: "vm " + string(m.ID), Field: "service"}
		switch before.Status {
		case Active:
			l.Errorf(location, "is an active upstream of service %q: mark it leaving and wait until it has no flows, then change its role or service", before.Service)
		case Retired:
			l.Errorf(location, "is a retired upstream of service %q that may hold flows: wait until it is forgotten or use another name", before.Service)
		case Leaving:
		}
	}
}

// countRetainedUpstreams counts, for each service, the upstreams that belong
// to it before and after the change and may hold its flows. Retired ones are
// included.
func (s *State) countRetainedUpstreams(merged []VM) map[service.Name]int {
	previousService := make(map[vm.ID]service.Name, len(s.VMs))
	for _, v := range s.VMs {
		if v.Role == vm.RoleUpstream {
			previousService[v.ID] = v.Service
		}
	}
	count := map[service.Name]int{}
	for _, v := range merged {
		if name, ok := previousService[v.ID]; ok && v.Role == vm.RoleUpstream && v.Service == name {
			count[name]++
		}
	}
	return count
}

// checkServices rejects the removal of a service that takes traffic. It also
// rejects a new endpoint for a service that takes traffic or has upstreams
// that may hold its flows: agents and balancers identify the flows of a
// service by its endpoint.
func (s *State) checkServices(l *finding.List, entries []ServiceEntry, retained map[service.Name]int) {
	endpoints := make(map[service.Name]service.Endpoint, len(entries))
	for _, e := range entries {
		endpoints[e.Name] = e.Endpoint
	}
	for _, before := range s.Services {
		location := finding.Location{Object: "service " + string(before.Name), Field: "endpoint"}
		after, ok := endpoints[before.Name]
		switch {
		case !ok && before.Traffic:
			l.Errorf(location, "%s takes traffic: switch its traffic off, then remove it", before.Endpoint)
		case !ok || after == before.Endpoint:
		case before.Traffic && retained[before.Name] == 0:
			l.Errorf(location, "%s takes traffic: switch its traffic off, then change it to %s", before.Endpoint, after)
		case retained[before.Name] > 0:
			l.Errorf(location, "%s has %d upstreams that may hold flows: add a service at %s and move the upstreams to it one by one, each leaving and without flows",
				before.Endpoint, retained[before.Name], after)
		}
	}
}

// checkRetiredEndpoints rejects a service with the endpoint of a retired one.
// Packets of established flows would reach the other service.
func (s *State) checkRetiredEndpoints(l *finding.List, entries []ServiceEntry, merged []VM) {
	upstreams := countUpstreams(merged)
	retired := map[service.Endpoint]service.Name{}
	for _, before := range s.Services {
		if upstreams[before.Name] > 0 {
			retired[before.Endpoint] = before.Name
		}
	}
	for _, e := range entries {
		delete(retired, s.endpointOf(e.Name))
	}
	for _, e := range entries {
		if name, ok := retired[e.Endpoint]; ok {
			l.Errorf(finding.Location{Object: "service " + string(e.Name), Field: "endpoint"},
				"%s is that of the removed service %q, whose %d upstreams may hold flows: choose another one or wait until they are forgotten",
				e.Endpoint, name, upstreams[name])
		}
	}
}

func (s *State) endpointOf(name service.Name) service.Endpoint {
	existing, _ := s.FindService(name)
	return existing.Endpoint
}

// checkServiceSizes rejects a service that has more upstreams, including
// retired ones, than a view can hold. A member that the view leaves out loses
// its flows.
func checkServiceSizes(l *finding.List, merged []VM) {
	sizes := countUpstreams(merged)
	reported := map[service.Name]bool{}
	for _, v := range merged {
		if v.Role != vm.RoleUpstream || sizes[v.Service] <= MaxServiceMembers || reported[v.Service] {
			continue
		}
		reported[v.Service] = true
		l.Errorf(finding.Location{Object: "service " + string(v.Service)},
			"%d upstreams together with those that are retired: want at most %d; wait until retired ones are forgotten", sizes[v.Service], MaxServiceMembers)
	}
}
