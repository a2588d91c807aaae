package intent

import (
	"bramleyhold.example/bramleyhold/internal/finding"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// checkTransition reports what a new inventory must not change in one step,
// because it would cut established flows at once.
func (s *State) checkTransition(inv Inventory) error {
	var l finding.List
	s.checkMoves(&l, inv.Machines)
	s.checkServices(&l, inv.Services)
	return l.Err()
}

// checkMoves rejects an active upstream that is given another service: it is no
// longer a member of the service whose flows it holds. An upstream that is
// leaving can be moved, which the operator does once it has no flows.
func (s *State) checkMoves(l *finding.List, machines []Machine) {
	active := map[vm.ID]VM{}
	for _, v := range s.VMs {
		if v.Role == vm.RoleUpstream && v.Status == Active {
			active[v.ID] = v
		}
	}
	for _, m := range machines {
		before, ok := active[m.ID]
		if !ok || m.Role == before.Role && m.Service == before.Service {
			continue
		}
		l.Errorf(finding.Place{Object: "vm " + string(m.ID), Field: "service"},
			"is an active upstream of service %q: mark it leaving and wait until it has no flows, then change its role or service", before.Service)
	}
}

// checkServices rejects the removal and a new endpoint of a service that takes
// traffic: balancers drop packets to an endpoint that no service has.
func (s *State) checkServices(l *finding.List, entries []ServiceEntry) {
	endpoints := make(map[service.Name]service.Endpoint, len(entries))
	for _, e := range entries {
		endpoints[e.Name] = e.Endpoint
	}
	for _, before := range s.Services {
		if !before.Traffic {
			continue
		}
		place := finding.Place{Object: "service " + string(before.Name), Field: "endpoint"}
		after, ok := endpoints[before.Name]
		if !ok {
			l.Errorf(place, "%s takes traffic: switch its traffic off and wait until its upstreams have no flows, then remove it", before.Endpoint)
			continue
		}
		if after != before.Endpoint {
			l.Errorf(place, "%s takes traffic: switch its traffic off and wait until its upstreams have no flows, then change it to %s", before.Endpoint, after)
		}
	}
}
