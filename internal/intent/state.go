// Package intent holds the operators' configuration: the inventory from their
// asset register and the rules for it, at a numbered revision. Applying a
// change is deterministic. Every control replica and every node that applies
// the same changes in the same order has the same state.
package intent

import (
	"net/netip"
	"slices"

	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/vm"
	"bramleyhold.example/bramleyhold/internal/zone"
)

// InventoryVM is one VM of the asset register.
type InventoryVM struct {
	ID      vm.ID      `json:"id"`
	Address netip.Addr `json:"address"`
	Zone    zone.ID    `json:"zone"`
	Role    vm.Role    `json:"role"`
	// Service, Slots and Connections are set for upstreams only.
	Service     service.Name `json:"service,omitempty"`
	Slots       int          `json:"slots,omitempty"`
	Connections int          `json:"connections,omitempty"`
}

// ServiceEntry is one service of the asset register.
type ServiceEntry struct {
	Name     service.Name     `json:"name"`
	Endpoint service.Endpoint `json:"endpoint"`
}

// Inventory is the content of an asset register export, sorted by name.
type Inventory struct {
	VMs      []InventoryVM  `json:"machines"`
	Services []ServiceEntry `json:"services"`
}

// Service is a service with its numeric id and its rules.
type Service struct {
	ID       service.ID       `json:"id"`
	Name     service.Name     `json:"name"`
	Endpoint service.Endpoint `json:"endpoint"`
	Traffic  bool             `json:"traffic"`
	Contract service.Contract `json:"contract"`
	// Retired is set if the service was removed from the inventory while
	// upstreams still refer to it. It gets no new traffic. Its established
	// flows keep their endpoint until its last upstream is removed.
	Retired bool `json:"retired,omitempty"`
}

// MachineStatus is the status of a VM in the intent.
type MachineStatus string

// The statuses of a VM in the intent.
const (
	Active  MachineStatus = "active"
	Leaving MachineStatus = "leaving"
	// Retired VMs were removed from the inventory. They keep their established
	// flows until these end and get no new work.
	Retired MachineStatus = "retired"
)

// VM is a machine with its status.
type VM struct {
	InventoryVM
	Status MachineStatus `json:"status"`
}

// State is the intent at one revision. Values are not modified after they have
// been published. Apply works on a copy.
type State struct {
	Revision      uint64         `json:"revision"`
	VMs           []VM           `json:"vms"`
	Services      []Service      `json:"services"`
	NextServiceID service.ID     `json:"next_service_id"`
	Operations    []Operation    `json:"operations"`
	History       []HistoryEntry `json:"history"`
	// Desired is the versioned desired state, if one has been set.
	Desired *DesiredState `json:"desired,omitempty"`
	// Zones has the zones about which orders have been accepted, sorted by region and name.
	Zones []ZoneState `json:"zones,omitempty"`
}

// Operation is the recorded result of the first change with an operation id.
type Operation struct {
	ID string `json:"id"`
	// ContentHash identifies what the change does. With it, another change
	// that reuses the operation id is rejected instead of getting the recorded
	// result. It is zero in records of earlier versions.
	ContentHash uint64 `json:"content,omitempty"`
	Result      Result `json:"result"`
}

// HistoryEntry describes the change that made a revision.
type HistoryEntry struct {
	Revision    uint64 `json:"revision"`
	OperationID string `json:"operation_id"`
	Operator    string `json:"operator,omitempty"`
	Summary     string `json:"summary"`
}

// FindVM returns the VM with the given id.
func (s *State) FindVM(id vm.ID) (VM, bool) {
	i := slices.IndexFunc(s.VMs, func(v VM) bool { return v.ID == id })
	if i < 0 {
		return VM{}, false
	}
	return s.VMs[i], true
}

// FindService returns the service with the given name.
func (s *State) FindService(name service.Name) (Service, bool) {
	i := slices.IndexFunc(s.Services, func(v Service) bool { return v.Name == name })
	if i < 0 {
		return Service{}, false
	}
	return s.Services[i], true
}

// Clone returns a copy whose slices are not shared with the state.
func (s *State) Clone() *State {
	c := *s
	c.VMs = slices.Clone(s.VMs)
	c.Services = slices.Clone(s.Services)
	c.Operations = slices.Clone(s.Operations)
	c.History = slices.Clone(s.History)
	c.Zones = slices.Clone(s.Zones)
	return &c
}

// WithoutHistory returns the state without recorded operations and history,
// which nodes do not need. The other slices are shared with the state.
func (s *State) WithoutHistory() *State {
	c := *s
	c.Operations, c.History = nil, nil
	return &c
}
