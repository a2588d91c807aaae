package intent

import (
	"fmt"
	"net/netip"

	"bramleyhold.example/bramleyhold/internal/finding"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/vm"
)

const (
	// MaxServiceMembers bounds the upstreams of a service. A frame header has
	// one bit per member.
	MaxServiceMembers = 64
	// maxNameBytes bounds operation ids and names.
	maxNameBytes = 128
)

// Validate returns all errors in a change that do not depend on the current
// state.
func (c *Change) Validate() finding.List {
	l := finding.List{}
	if c.Kind == KindDesired && c.Desired != nil {
		return c.Desired.Validate()
	}
	checkName(&l, "change", "operation_id", c.OperationID)
	if len(c.Operator) > maxNameBytes {
		l.Errorf(finding.Location{Object: "change", Field: "operator"}, "longer than %d bytes", maxNameBytes)
	}
	switch {
	case c.Kind == KindInventory && c.Inventory != nil:
		c.Inventory.validate(&l)
	case c.Kind == KindTraffic && c.Traffic != nil:
		checkName(&l, "traffic", "service", string(c.Traffic.Service))
	case c.Kind == KindLeaving && c.Leaving != nil:
		checkName(&l, "leaving", "vm", string(c.Leaving.VM))
	case c.Kind == KindContract && c.Contract != nil:
		c.Contract.validate(&l)
	case c.Kind == KindRemove && c.Remove != nil:
		c.Remove.validate(&l)
	case c.Kind == KindZone && c.Zone != nil:
		c.Zone.validate(&l)
	default:
		l.Errorf(finding.Location{Object: "change", Field: "kind"}, "%.20q: unknown kind or missing content", c.Kind)
	}
	return l
}

func checkName(l *finding.List, object, field, value string) {
	if value == "" || len(value) > maxNameBytes {
		l.Errorf(finding.Location{Object: object, Field: field}, "length is %d bytes, want 1 to %d", len(value), maxNameBytes)
	}
}

func (r *ContractRule) validate(l *finding.List) {
	checkName(l, "contract", "service", string(r.Service))
	if s := r.Contract.Shape; s != service.ShapeShortRequests && s != service.ShapeLongFlows {
		l.Errorf(finding.Location{Object: "contract", Field: "shape"}, "%.20q: unknown shape", s)
	}
	if p := r.Contract.Priority; p != service.PrioritySurvival && p != service.PriorityBalance {
		l.Errorf(finding.Location{Object: "contract", Field: "priority"}, "%.20q: unknown priority", p)
	}
	if d := r.Contract.QueueDeadline; d < 0 || d > service.MaxQueueDeadline {
		l.Errorf(finding.Location{Object: "contract", Field: "queue_deadline_ns"}, "%s: want 0s to %s", d, service.MaxQueueDeadline)
	}
	if d := r.Contract.WarmUp; d < 0 || d > service.MaxWarmUp {
		l.Errorf(finding.Location{Object: "contract", Field: "warm_up_ns"}, "%s: want 0s to %s", d, service.MaxWarmUp)
	}
	if rate := r.Contract.WarmUpRate; !(rate >= 0 && rate <= service.MaxWarmUpRate) {
		l.Errorf(finding.Location{Object: "contract", Field: "warm_up_rate"}, "%g: want 0 to %g requests per second", rate, service.MaxWarmUpRate)
	} else if rate > 0 && r.Contract.WarmUp == 0 {
		l.Errorf(finding.Location{Object: "contract", Field: "warm_up_rate"}, "%g requests per second without a duration of the warm-up", rate)
	}
}

func (inv *Inventory) validate(l *finding.List) {
	services := map[service.Name]bool{}
	endpoints := map[service.Endpoint]service.Name{}
	for _, s := range inv.Services {
		object := fmt.Sprintf("service %.40q", s.Name)
		checkName(l, object, "name", string(s.Name))
		if services[s.Name] {
			l.Errorf(finding.Location{Object: object, Field: "name"}, "appears twice")
		}
		services[s.Name] = true
		if !s.Endpoint.Address.IsValid() || s.Endpoint.Address.Port() == 0 || s.Endpoint.Protocol.Number() == 0 {
			l.Errorf(finding.Location{Object: object, Field: "endpoint"}, "invalid address, port or protocol")
		}
		if other, ok := endpoints[s.Endpoint]; ok {
			l.Errorf(finding.Location{Object: object, Field: "endpoint"}, "is also that of service %q", other)
		}
		endpoints[s.Endpoint] = s.Name
	}
	inv.validateMachines(l, services)
}

func (inv *Inventory) validateMachines(l *finding.List, services map[service.Name]bool) {
	machines := map[vm.ID]bool{}
	addresses := map[netip.Addr]vm.ID{}
	members := map[service.Name]int{}
	for _, m := range inv.VMs {
		object := fmt.Sprintf("vm %.40q", m.ID)
		checkName(l, object, "id", string(m.ID))
		if machines[m.ID] {
			l.Errorf(finding.Location{Object: object, Field: "id"}, "appears twice")
		}
		machines[m.ID] = true
		// All processes of a single-machine deployment share a loopback
		// address.
		if other, ok := addresses[m.Address]; ok && m.Address.IsValid() && !m.Address.IsLoopback() {
			l.Errorf(finding.Location{Object: object, Field: "address"}, "%s is also that of %.40q", m.Address, other)
		}
		addresses[m.Address] = m.ID
		if !m.Role.Valid() {
			l.Errorf(finding.Location{Object: object, Field: "role"}, "%.20q: unknown role", m.Role)
		}
		if m.Role != vm.RoleUpstream {
			continue
		}
		if !services[m.Service] {
			l.Errorf(finding.Location{Object: object, Field: "service"}, "%.40q is not in the inventory", m.Service)
		}
		if m.Slots < 0 || m.Connections < 0 {
			l.Errorf(finding.Location{Object: object, Field: "slots"}, "%d slots and %d connections: want no negative number", m.Slots, m.Connections)
		}
		members[m.Service]++
		if members[m.Service] == MaxServiceMembers+1 {
			l.Errorf(finding.Location{Object: fmt.Sprintf("service %.40q", m.Service)}, "more than %d upstreams", MaxServiceMembers)
		}
	}
}
