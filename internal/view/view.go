// Package view joins the intent with the live members into the immutable value
// on which balancers and agents decide. It does no I/O.
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

// Status is the status of a live process.
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

// Member is what a live process announces about itself, with the status that
// its observers agree on.
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
	// WarmUpUntil is when the slow start of an upstream ends; zero if warm.
	WarmUpUntil time.Time `json:"cold_until,omitzero"`
}

// Upstream is one member of a service.
type Upstream struct {
	VM          vm.ID
	Hash        uint64
	Zone        zone.ID
	Address     netip.AddrPort
	Incarnation vm.Incarnation
	Status      Status
	Slots       int
	Connections int
	WarmUpUntil time.Time
}

// AcceptsOpenings reports whether the placer may choose the upstream.
func (u *Upstream) AcceptsOpenings() bool { return u.Status == Ready }

// Reachable reports whether packets can be sent to the agent of the upstream.
func (u *Upstream) Reachable() bool { return u.Status != Failed && u.Status != Left }

// Service is a service with its members in the order of their VM ids.
type Service struct {
	ID       service.ID
	Name     service.Name
	Endpoint service.Endpoint
	Contract service.Contract
	Traffic  bool
	Members  []Upstream
	// Registered is how many upstreams the inventory has for the service. More
	// than Members means that some are not known or not running.
	Registered int
	// MemberHashes holds the member hashes in the order of Members.
	MemberHashes []uint64
	// Unreachable has a bit for each member that gets no packets.
	Unreachable uint64
	// ChangedAt is when the set of members, or a status, last changed here.
	ChangedAt   time.Time
	placers     []int
	placeAtHome bool
}

// membersPerPlacer bounds the members that one placer serves.
const membersPerPlacer = 32

// View is immutable after Build.
type View struct {
	Revision  uint64
	Services  []Service
	Balancers []Member

	byEndpoint map[service.Endpoint]int
	byID       map[service.ID]int
	byName     map[service.Name]int
	origins    map[uint64]netip.AddrPort
}

// Build joins a state with the live members. The previous view, if any, tells
// which services have changed. Members that the inventory does not allow are
// left out.
func Build(state *intent.State, members []Member, previous *View, now time.Time) *View {
	v := &View{
		Revision:   state.Revision,
		byEndpoint: make(map[service.Endpoint]int, len(state.Services)),
		byID:       make(map[service.ID]int, len(state.Services)),
		byName:     make(map[service.Name]int, len(state.Services)),
		origins:    map[uint64]netip.AddrPort{},
	}
	upstreams := v.admit(state, members)
	registered := countUpstreams(state)
	for i := range state.Services {
		name := state.Services[i].Name
		v.addService(&state.Services[i], upstreams[name], registered[name], previous, now)
	}
	return v
}

func countUpstreams(state *intent.State) map[service.Name]int {
	count := map[service.Name]int{}
	for i := range state.VMs {
		if state.VMs[i].Role == vm.RoleUpstream {
			count[state.VMs[i].Service]++
		}
	}
	return count
}

func (v *View) addService(s *intent.Service, members []Upstream, registered int, previous *View, now time.Time) {
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
			svc.Unreachable |= 1 << uint(i)
		}
	}
	svc.Registered = registered
	svc.placers = rankPlacers(&svc)
	if before := previous.ServiceByID(s.ID); before != nil && sameMembers(before.Members, members) {
		svc.ChangedAt = before.ChangedAt
	}
	v.byEndpoint[s.Endpoint] = len(v.Services)
	v.byID[s.ID] = len(v.Services)
	v.byName[s.Name] = len(v.Services)
	v.Services = append(v.Services, svc)
}

func sameMembers(a, b []Upstream) bool {
	return slices.EqualFunc(a, b, func(x, y Upstream) bool {
		return x.VM == y.VM && x.Incarnation == y.Incarnation && x.Status == y.Status && x.Address == y.Address
	})
}

// rankPlacers returns the member indexes that place openings.
func rankPlacers(s *Service) []int {
	count := (len(s.Members) + membersPerPlacer - 1) / membersPerPlacer
	skip := s.notPlacing()
	var placers []int
	for len(placers) < count {
		i := ranking.FirstUnweighted(uint64(s.ID), s.MemberHashes, skip)
		if i < 0 {
			break
		}
		placers = append(placers, i)
		skip |= 1 << uint(i)
	}
	return placers
}

// ServiceByID returns a service, or nil. It may be called on a nil view.
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

// ServiceByName returns a service, or nil. It may be called on a nil view.
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

// ServiceByEndpoint returns the service behind a virtual address, or nil.
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

// Origin returns the address of the balancer with the given hash.
func (v *View) Origin(hash uint64) (netip.AddrPort, bool) {
	if v == nil {
		return netip.AddrPort{}, false
	}
	a, ok := v.origins[hash]
	return a, ok
}

// Index returns the position of a VM among the members, or -1.
func (s *Service) Index(id vm.ID) int {
	i, ok := slices.BinarySearchFunc(s.Members, id, func(u Upstream, id vm.ID) int { return cmp.Compare(u.VM, id) })
	if !ok {
		return -1
	}
	return i
}

// IndexByHash returns the position of the member with the given hash, or -1.
func (s *Service) IndexByHash(hash uint64) int { return slices.Index(s.MemberHashes, hash) }

// Home returns the first reachable member in the ranking of a flow, or -1.
func (s *Service) Home(flow uint64) int {
	return ranking.FirstUnweighted(flow, s.MemberHashes, s.Unreachable)
}

// NextCandidate returns the next reachable member in rank that is not in tried, or -1.
func (s *Service) NextCandidate(flow, tried uint64) int {
	return ranking.FirstUnweighted(flow, s.MemberHashes, s.Unreachable|tried)
}

// UseHomePlacers makes the home of each flow place its opening. It is the variant
// against which a placer per service is measured, and is to be called before the
// view is shared.
func (v *View) UseHomePlacers() {
	for i := range v.Services {
		v.Services[i].placeAtHome = true
	}
}

// notPlacing has a bit for each member that may not place openings.
func (s *Service) notPlacing() uint64 {
	skip := s.Unreachable
	for i := range s.Members {
		// A starting or suspected member must not be the one that places.
		if s.Members[i].Status != Ready && s.Members[i].Status != Leaving {
			skip |= 1 << uint(i)
		}
	}
	return skip
}

// Placer returns the member that places the openings of a flow, or -1.
func (s *Service) Placer(flow uint64) int {
	if s.placeAtHome {
		return ranking.FirstUnweighted(flow, s.MemberHashes, s.notPlacing())
	}
	if len(s.placers) == 0 {
		return -1
	}
	return s.placers[flow%uint64(len(s.placers))]
}

// IsPlacer reports whether a member places openings.
func (s *Service) IsPlacer(member int) bool {
	if s.placeAtHome {
		return s.notPlacing()&(1<<uint(member)) == 0
	}
	return slices.Contains(s.placers, member)
}

// Tried returns a bit for each member whose hash is in a list of low hash bits.
func (s *Service) Tried(list []uint32) uint64 {
	var mask uint64
	for _, tried := range list {
		if tried == 0 {
			continue
		}
		for i, hash := range s.MemberHashes {
			if uint32(hash) == tried {
				mask |= 1 << uint(i)
			}
		}
	}
	return mask
}

// SamePlacers reports whether the same processes place openings in both
// views of a service. It may be called on nil.
func (s *Service) SamePlacers(other *Service) bool {
	if s == nil || other == nil {
		return s == other
	}
	return slices.EqualFunc(s.placers, other.placers, func(a, b int) bool {
		x, y := &s.Members[a], &other.Members[b]
		return x.VM == y.VM && x.Incarnation == y.Incarnation
	})
}
