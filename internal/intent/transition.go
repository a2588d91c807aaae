package intent

import (
	"bramleyhold.example/bramleyhold/internal/finding"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// checkTransition reports what a new inventory must not change in one step,
// because it would cut established flows at once. The VMs are those that the
// inventory would give, with the retired ones.
func (s *State) checkTransition(inv Inventory, merged []VM) error {
	var l finding.List
	s.checkMoves(&l, inv.Machines)
	s.checkServices(&l, inv.Services, s.bound(merged))
	s.checkRetiredEndpoints(&l, inv.Services, merged)
	checkSizes(&l, merged)
	return l.Err()
}

// checkMoves rejects an upstream that may hold flows and is given another
// service: it is no longer a member of the service whose flows it holds. An
// upstream that is leaving can be moved, which the operator does once it has no
// flows.
func (s *State) checkMoves(l *finding.List, machines []Machine) {
	known := make(map[vm.ID]VM, len(s.VMs))
	for _, v := range s.VMs {
		known[v.ID] = v
	}
	for _, m := range machines {
		before, ok := known[m.ID]
		if !ok || before.Role != vm.RoleUpstream || m.Role == before.Role && m.Service == before.Service {
			continue
		}
		place := finding.Location{Object: "vm " + string(m.ID), Field: "service"}
		switch before.Status {
		case Active:
			l.Errorf(place, "is an active upstream of service %q: mark it leaving and wait until it has no flows, then change its role or service", before.Service)
		case Retired:
			l.Errorf(place, "is a retired upstream of service %q that may hold flows: wait until it is forgotten or use another name", before.Service)
		case Leaving:
		}
	}
}

// bound counts for each service the known upstreams, also retired ones, that
// stay with it and may hold its flows.
func (s *State) bound(merged []VM) map[service.Name]int {
	before := make(map[vm.ID]service.Name, len(s.VMs))
	for _, v := range s.VMs {
		if v.Role == vm.RoleUpstream {
			before[v.ID] = v.Service
		}
	}
	count := map[service.Name]int{}
	for _, v := range merged {
		if name, ok := before[v.ID]; ok && v.Role == vm.RoleUpstream && v.Service == name {
			count[name]++
		}
	}
	return count
}

// checkServices rejects the removal of a service that takes traffic, and a new
// endpoint of a service that takes traffic or has upstreams that may hold its
// flows: agents and balancers know a flow by the endpoint of its service.
func (s *State) checkServices(l *finding.List, entries []ServiceEntry, bound map[service.Name]int) {
	endpoints := make(map[service.Name]service.Endpoint, len(entries))
	for _, e := range entries {
		endpoints[e.Name] = e.Endpoint
	}
	for _, before := range s.Services {
		place := finding.Location{Object: "service " + string(before.Name), Field: "endpoint"}
		after, ok := endpoints[before.Name]
		switch {
		case !ok && before.Traffic:
			l.Errorf(place, "%s takes traffic: switch its traffic off, then remove it", before.Endpoint)
		case !ok || after == before.Endpoint:
		case before.Traffic && bound[before.Name] == 0:
			l.Errorf(place, "%s takes traffic: switch its traffic off, then change it to %s", before.Endpoint, after)
		case bound[before.Name] > 0:
			l.Errorf(place, "%s has %d upstreams that may hold flows: add a service at %s and move the upstreams to it one by one, each leaving and without flows",
				before.Endpoint, bound[before.Name], after)
		}
	}
}

// checkRetiredEndpoints rejects a service at the endpoint of a retired one:
// packets of established flows would reach the other service.
func (s *State) checkRetiredEndpoints(l *finding.List, entries []ServiceEntry, merged []VM) {
	used := countUpstreams(merged)
	retired := map[service.Endpoint]service.Name{}
	for _, before := range s.Services {
		if used[before.Name] > 0 {
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
				e.Endpoint, name, used[name])
		}
	}
}

func (s *State) endpointOf(name service.Name) service.Endpoint {
	known, _ := s.FindService(name)
	return known.Endpoint
}

// checkSizes rejects a service with more upstreams, together with the retired
// ones, than a view can hold: a member that is left out loses its flows.
func checkSizes(l *finding.List, merged []VM) {
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
