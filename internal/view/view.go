// Package view joins the intent, which contains the services and the inventory
// of VMs, with the live members. The result is an immutable View. Balancers and
// agents make all routing decisions from it. The package does no I/O.
//
// The home of a flow is its first reachable member by rendezvous hashing. A
// placer is a member whose agent selects the upstream for new flows.
package view

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/ranking"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/vm"
	"bramleyhold.example/bramleyhold/internal/zone"
)

// Status is the membership status of a process.
type Status string

// The statuses of a member.
const (
	Starting  Status = "starting"
	Ready     Status = "ready"
	Leaving   Status = "leaving"
	Left      Status = "left"
	Suspected Status = "suspected"
	Failed    Status = "failed"
)

// Member is the announcement of a live process about itself, together with the
// status that the membership protocol has determined.
type Member struct {
	VM          vm.ID          `json:"vm"`
	Role        vm.Role        `json:"role"`
	Zone        zone.ID        `json:"zone"`
	Service     service.Name   `json:"service,omitempty"`
	Address     netip.AddrPort `json:"address"`
	Incarnation vm.Incarnation `json:"incarnation"`
	Status      Status         `json:"status"`
	// Version orders the announcements of one incarnation.
	Version uint64 `json:"version"`
	// WarmUpUntil is the end of the warm-up (slow start) of an upstream. It is
	// zero if the upstream needs none.
	WarmUpUntil time.Time `json:"cold_until,omitzero"`
}

// Upstream is one member of a service.
type Upstream struct {
	VM vm.ID
	// Hash is the ranking.MemberHash of the VM.
	Hash        uint64
	Zone        zone.ID
	Address     netip.AddrPort
	Incarnation vm.Incarnation
	Status      Status
	Slots       int
	Connections int
	WarmUpUntil time.Time
}

// AcceptsOpenings reports whether the placer may select the upstream for a new
// flow.
func (u *Upstream) AcceptsOpenings() bool { return u.Status == Ready }

// Reachable reports whether packets can be sent to the agent of the upstream.
func (u *Upstream) Reachable() bool { return u.Status != Failed && u.Status != Left }

// Service is a service with its members. Bit i of a mask, such as
// UnreachableMask, stands for Members[i].
type Service struct {
	ID       service.ID
	Name     service.Name
	Endpoint service.Endpoint
	Contract service.Contract
	// Traffic is false if openings are refused.
	Traffic bool
	// Members are sorted by VM id.
	Members []Upstream
	// InventoryCount is the number of upstreams that the inventory lists for the
	// service. If it exceeds the number of Members, some upstreams are not
	// running or their announcement has not been received yet.
	InventoryCount int
	// MemberHashes holds the member hashes in the order of Members.
	MemberHashes []uint64
	// UnreachableMask selects the members to which no packets are sent.
	UnreachableMask uint64
	// ChangedAt is the time of the last change of Members in the view of this
	// process: of the set, or of a status, incarnation or address.
	ChangedAt time.Time
	// placerIndexes are the indexes of the placers in Members.
	placerIndexes []int
	// homePlaces: the home of each flow places its opening, instead of
	// placerIndexes.
	homePlaces bool
}

// membersPerPlacer bounds the members for each placer of a service. A larger
// service has several placers.
const membersPerPlacer = 32

// View contains the services and the balancers of the cluster. Views of different
// processes can differ for a short time. A View is immutable after Build.
type View struct {
	// Revision is the revision of the intent.
	Revision  uint64
	Services  []Service
	Balancers []Member

	// byEndpoint, byID and byName hold indexes of Services.
	byEndpoint map[service.Endpoint]int
	byID       map[service.ID]int
	byName     map[service.Name]int
	// balancerAddresses holds the addresses of Balancers by member hash.
	balancerAddresses map[uint64]netip.AddrPort
}

// Build joins the state of the intent with the live members. Members that do not
// match the inventory are left out. A service whose members equal those in the
// previous view keeps its ChangedAt; previous can be nil.
func Build(state *intent.State, members []Member, previous *View, now time.Time) *View {
	v := &View{
		Revision:          state.Revision,
		byEndpoint:        make(map[service.Endpoint]int, len(state.Services)),
		byID:              make(map[service.ID]int, len(state.Services)),
		byName:            make(map[service.Name]int, len(state.Services)),
		balancerAddresses: map[uint64]netip.AddrPort{},
	}
	upstreams := v.addMembers(state, members)
	inventoryCounts := countInventoryUpstreams(state)
	for i := range state.Services {
		name := state.Services[i].Name
		v.addService(&state.Services[i], upstreams[name], inventoryCounts[name], previous, now)
	}
	return v
}

// countInventoryUpstreams returns the number of upstreams in the inventory by
// service.
func countInventoryUpstreams(state *intent.State) map[service.Name]int {
	counts := map[service.Name]int{}
	for i := range state.VMs {
		if state.VMs[i].Role == vm.RoleUpstream {
			counts[state.VMs[i].Service]++
		}
	}
	return counts
}

func (v *View) addService(s *intent.Service, members []Upstream, inventoryCount int, previous *View, now time.Time) {
	slices.SortFunc(members, func(a, b Upstream) int { return cmp.Compare(a.VM, b.VM) })
	if len(members) > ranking.MaxMembers {
		members = members[:ranking.MaxMembers]
	}
	svc := Service{
		ID: s.ID, Name: s.Name, Endpoint: s.Endpoint, Contract: s.Contract, Traffic: s.Traffic,
		Members: members, ChangedAt: now,
	}
	for i := range members {
		svc.MemberHashes = append(svc.MemberHashes, members[i].Hash)
		if !members[i].Reachable() {
			svc.UnreachableMask |= 1 << uint(i)
		}
	}
	svc.InventoryCount = inventoryCount
	svc.placerIndexes = selectPlacers(&svc)
	if former := previous.ServiceByID(s.ID); former != nil && equalMembers(former.Members, members) {
		svc.ChangedAt = former.ChangedAt
	}
	v.byEndpoint[s.Endpoint] = len(v.Services)
	v.byID[s.ID] = len(v.Services)
	v.byName[s.Name] = len(v.Services)
	v.Services = append(v.Services, svc)
}

// equalMembers reports whether two lists have the same VMs with the same
// incarnations, statuses and addresses.
func equalMembers(a, b []Upstream) bool {
	return slices.EqualFunc(a, b, func(x, y Upstream) bool {
		return x.VM == y.VM && x.Incarnation == y.Incarnation && x.Status == y.Status && x.Address == y.Address
	})
}

// selectPlacers returns the indexes of the members that place openings, ranked
// by service ID.
func selectPlacers(s *Service) []int {
	count := (len(s.Members) + membersPerPlacer - 1) / membersPerPlacer
	excludedMask := s.ineligiblePlacerMask()
	var indexes []int
	for len(indexes) < count {
		index := ranking.FirstUnweighted(uint64(s.ID), s.MemberHashes, excludedMask)
		if index < 0 {
			break
		}
		indexes = append(indexes, index)
		excludedMask |= 1 << uint(index)
	}
	return indexes
}

// ServiceByID returns a service, or nil. It can be called on a nil view.
func (v *View) ServiceByID(id service.ID) *Service {
	if v == nil {
		return nil
	}
	i, ok := v.byID[id]
	if !ok {
		return nil
	}
	return &v.Services[i]
}

// ServiceByName returns a service, or nil. It can be called on a nil view.
func (v *View) ServiceByName(name service.Name) *Service {
	if v == nil {
		return nil
	}
	i, ok := v.byName[name]
	if !ok {
		return nil
	}
	return &v.Services[i]
}

// ServiceByEndpoint returns the service with the given virtual address and
// protocol, or nil. It can be called on a nil view.
func (v *View) ServiceByEndpoint(e service.Endpoint) *Service {
	if v == nil {
		return nil
	}
	i, ok := v.byEndpoint[e]
	if !ok {
		return nil
	}
	return &v.Services[i]
}

// BalancerAddress returns the address of the balancer with the given member hash. It can
// be called on a nil view.
func (v *View) BalancerAddress(balancerHash uint64) (netip.AddrPort, bool) {
	if v == nil {
		return netip.AddrPort{}, false
	}
	address, ok := v.balancerAddresses[balancerHash]
	return address, ok
}

// Index returns the index of a VM in Members, or -1.
func (s *Service) Index(id vm.ID) int {
	i, ok := slices.BinarySearchFunc(s.Members, id, func(u Upstream, id vm.ID) int { return cmp.Compare(u.VM, id) })
	if !ok {
		return -1
	}
	return i
}

// IndexByHash returns the index of the member with the given hash, or -1.
func (s *Service) IndexByHash(memberHash uint64) int { return slices.Index(s.MemberHashes, memberHash) }

// Home returns the index of the first reachable member in the ranking of a flow,
// or -1.
func (s *Service) Home(flowHash uint64) int {
	return ranking.FirstUnweighted(flowHash, s.MemberHashes, s.UnreachableMask)
}

// NextMember returns the index of the first reachable member in the ranking of
// a flow that is not in triedMask, or -1.
func (s *Service) NextMember(flowHash, triedMask uint64) int {
	return ranking.FirstUnweighted(flowHash, s.MemberHashes, s.UnreachableMask|triedMask)
}

// UseHomePlacers makes the home of each flow place its opening. Measurements
// compare this variant with one placer per service. It must be called before the
// view is shared.
func (v *View) UseHomePlacers() {
	for i := range v.Services {
		v.Services[i].homePlaces = true
	}
}

// ineligiblePlacerMask selects the members that must not place openings.
func (s *Service) ineligiblePlacerMask() uint64 {
	mask := s.UnreachableMask
	for i := range s.Members {
		// Starting and suspected members must not place openings.
		if s.Members[i].Status != Ready && s.Members[i].Status != Leaving {
			mask |= 1 << uint(i)
		}
	}
	return mask
}

// Placer returns the index of the member that places the opening of a flow, or
// -1.
func (s *Service) Placer(flowHash uint64) int {
	if s.homePlaces {
		return ranking.FirstUnweighted(flowHash, s.MemberHashes, s.ineligiblePlacerMask())
	}
	if len(s.placerIndexes) == 0 {
		return -1
	}
	return s.placerIndexes[flowHash%uint64(len(s.placerIndexes))]
}

// IsPlacer reports whether the member with the given index places openings.
func (s *Service) IsPlacer(member int) bool {
	if s.homePlaces {
		return s.ineligiblePlacerMask()&(1<<uint(member)) == 0
	}
	return slices.Contains(s.placerIndexes, member)
}

// MemberMask returns a mask of the members in a list of member hashes, of which only
// the low 32 bits are given. Zeros in the list are empty entries.
func (s *Service) MemberMask(lowHashes []uint32) uint64 {
	var mask uint64
	for _, lowHash := range lowHashes {
		if lowHash == 0 {
			continue
		}
		for i, hash := range s.MemberHashes {
			if uint32(hash) == lowHash {
				mask |= 1 << uint(i)
			}
		}
	}
	return mask
}

// SamePlacers reports whether the placers of a service are the same processes in
// both views of it. Both can be nil.
func (s *Service) SamePlacers(other *Service) bool {
	if s == nil || other == nil {
		return s == other
	}
	return slices.EqualFunc(s.placerIndexes, other.placerIndexes, func(a, b int) bool {
		x, y := &s.Members[a], &other.Members[b]
		return x.VM == y.VM && x.Incarnation == y.Incarnation
	})
}
