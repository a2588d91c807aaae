// Package simnet runs fan-out nodes over in-memory links under virtual time,
// for tests and measurements.
package simnet

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"bramleyhold.example/bramleyhold/internal/fanout"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/memlink"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
	"bramleyhold.example/bramleyhold/internal/zone"
)

// streamOverhead is what a TLS record over TCP and IPv4 adds to a message.
const streamOverhead = 69

// Member is one process.
type Member struct {
	Node    *fanout.Node
	ID      vm.ID
	Zone    zone.ID
	Role    vm.Role
	Stopped bool
	Sent    int64
	// AppliedAt is when each revision was applied here.
	AppliedAt map[uint64]time.Time
	// Highest checks that a revision never goes back.
	Highest  uint64
	WentBack bool
}

// Net is a set of processes and the links between them. The first control
// replica leads.
type Net struct {
	Now     time.Time
	Members []*Member
	Quality func(from, to *Member) memlink.Quality
	// IntraZoneBytes counts bytes on links inside zones, by sender and receiver;
	// InterZoneBytes those on links between zones.
	IntraZoneBytes map[[2]vm.ID]int64
	InterZoneBytes map[[2]zone.ID]int64

	links *memlink.Network[vm.ID, fanout.Message]
	byID  map[vm.ID]*Member
	ticks int
	// results shares applied states between processes.
	results map[result]*intent.State
}

type result struct {
	from      *intent.State
	operation string
}

// replay is intent.Replay with shared results.
func (n *Net) replay(s *intent.State, c intent.Change) (*intent.State, error) {
	key := result{from: s, operation: c.OperationID}
	if next := n.results[key]; next != nil {
		return next, nil
	}
	next, err := intent.Replay(s, c)
	if err == nil {
		n.results[key] = next
	}
	return next, err
}

// Config describes a set of processes.
type Config struct {
	Seed    uint64
	Nodes   int
	Control int
	Zones   []zone.ID
	Direct  bool
	// Uplink is what one process can send in bytes per second; 0 is unlimited.
	Uplink float64
	Loss   float64
	State  *intent.State
}

// balancerShare: one process in eleven is a balancer, as in the design.
const balancerShare = 11

const linkDelay = 5 * time.Millisecond

// New starts all processes with the same state and members.
func New(c Config) *Net {
	n := &Net{
		Now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), byID: map[vm.ID]*Member{},
		IntraZoneBytes: map[[2]vm.ID]int64{}, InterZoneBytes: map[[2]zone.ID]int64{}, results: map[result]*intent.State{},
	}
	n.Quality = func(_, _ *Member) memlink.Quality { return memlink.Quality{Delay: linkDelay, Loss: c.Loss} }
	n.links = memlink.New[vm.ID, fanout.Message](rand.New(rand.NewPCG(c.Seed, 1)), func(from, to vm.ID) memlink.Quality {
		return n.Quality(n.byID[from], n.byID[to])
	})
	n.links.Uplink = c.Uplink
	for i := range c.Control + c.Nodes {
		role := vm.RoleUpstream
		switch {
		case i < c.Control:
			role = vm.RoleControl
		case i%balancerShare == 0:
			role = vm.RoleBalancer
		}
		n.add(c, i, role)
	}
	n.Announce()
	return n
}

func (n *Net) add(c Config, i int, role vm.Role) {
	m := &Member{ID: vm.ID(fmt.Sprintf("vm-%05d", i)), Zone: c.Zones[i%len(c.Zones)], Role: role, AppliedAt: map[uint64]time.Time{}}
	m.Node = fanout.New(fanout.Config{
		Self: m.ID, Zone: m.Zone, Control: role == vm.RoleControl, Direct: c.Direct,
		Rand: rand.New(rand.NewPCG(c.Seed, uint64(i))), Replay: n.replay,
	}, c.State)
	n.Members = append(n.Members, m)
	n.byID[m.ID] = m
}

// Announce gives every running process the members that are running.
func (n *Net) Announce() {
	members := make([]view.Member, 0, len(n.Members))
	for i, m := range n.Members {
		if m.Stopped {
			continue
		}
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
		members = append(members, view.Member{VM: m.ID, Role: m.Role, Zone: m.Zone, Address: address, Status: view.Ready})
	}
	for i, m := range n.Members {
		if !m.Stopped {
			m.Node.SetMembers(n.Now, members, i == 0)
		}
	}
}

// Publish commits a change at the leader and, one link later, at the other
// control replicas.
func (n *Net) Publish(c intent.Change) uint64 {
	leader := n.Members[0]
	c.BaseRevision = leader.Node.State().Revision
	state, err := n.replay(leader.Node.State(), c)
	if err != nil {
		panic(fmt.Sprintf("simulated change is not valid: %v", err))
	}
	for _, m := range n.Members {
		if m.Role == vm.RoleControl && !m.Stopped {
			n.do(m, m.Node.Publish(n.Now, state, &c))
		}
	}
	return state.Revision
}

func (n *Net) do(m *Member, out fanout.Output) {
	revision := m.Node.State().Revision
	if out.Applied != nil {
		m.AppliedAt[revision] = n.Now
	}
	m.WentBack = m.WentBack || revision < m.Highest
	m.Highest = max(m.Highest, revision)
	for _, s := range out.Sends {
		size := s.Message.Size() + streamOverhead
		m.Sent += int64(size)
		if to := n.byID[s.To]; to.Zone == m.Zone {
			n.IntraZoneBytes[[2]vm.ID{m.ID, to.ID}] += int64(size)
		} else {
			n.InterZoneBytes[[2]zone.ID{m.Zone, to.Zone}] += int64(size)
		}
		n.links.Send(n.Now, m.ID, s.To, s.Message, size)
	}
}

// RunUntil lets virtual time pass until the condition holds.
func (n *Net) RunUntil(d time.Duration, done func() bool) (time.Duration, bool) {
	start := n.Now
	for n.Now.Sub(start) < d {
		if done() {
			return n.Now.Sub(start), true
		}
		n.step()
	}
	return n.Now.Sub(start), done()
}

// Run lets virtual time pass.
func (n *Net) Run(d time.Duration) { n.RunUntil(d, func() bool { return false }) }

// slots spreads the ticks of the processes over the tick interval.
const slots = 20

func (n *Net) step() {
	end := n.Now.Add(fanout.TickInterval / slots)
	for {
		p, ok := n.links.Next(end)
		if !ok {
			break
		}
		if p.At.After(n.Now) {
			n.Now = p.At
		}
		if to := n.byID[p.To]; !to.Stopped {
			n.do(to, to.Node.Handle(n.Now, p.From, p.Body))
		}
	}
	n.Now = end
	n.ticks++
	for i := n.ticks % slots; i < len(n.Members); i += slots {
		if m := n.Members[i]; !m.Stopped {
			n.do(m, m.Node.Tick(n.Now))
		}
	}
}

// AllAt reports whether every running process has applied the revision.
func (n *Net) AllAt(revision uint64) bool {
	for _, m := range n.Members {
		if !m.Stopped && m.Node.State().Revision < revision {
			return false
		}
	}
	return true
}

// ResetCounters starts the byte counters again.
func (n *Net) ResetCounters() {
	clear(n.IntraZoneBytes)
	clear(n.InterZoneBytes)
	for _, m := range n.Members {
		m.Sent = 0
	}
}
