// Package simnet simulates fan-out nodes on in-memory links in virtual time, for
// tests and measurements.
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

// streamOverheadBytes is added to each message for the TLS record, TCP and IPv4.
const streamOverheadBytes = 69

// Member is one simulated process.
type Member struct {
	Node      *fanout.Node
	ID        vm.ID
	Zone      zone.ID
	Role      vm.Role
	Stopped   bool
	SentBytes int64
	// AppliedAt holds the time at which each revision was applied.
	AppliedAt map[uint64]time.Time
	// HighestRevision is the highest revision so far. RevisionDecreased is set if a
	// later revision was lower.
	HighestRevision   uint64
	RevisionDecreased bool
}

// Net simulates a set of processes and the links between them. The first control
// replica is the leader.
type Net struct {
	Now         time.Time
	Members     []*Member
	LinkQuality func(from, to *Member) memlink.Quality
	// IntraZoneBytes counts the bytes inside zones, by sender and receiver.
	// InterZoneBytes counts the bytes between zones, by their zones.
	IntraZoneBytes map[[2]vm.ID]int64
	InterZoneBytes map[[2]zone.ID]int64

	links *memlink.Network[vm.ID, fanout.Message]
	byID  map[vm.ID]*Member
	steps int
	// replayedStates shares the results of replayed changes between processes.
	replayedStates map[replayKey]*intent.State
}

// replayKey identifies the replay of a change on a state.
type replayKey struct {
	state       *intent.State
	operationID string
}

// replayShared is intent.Replay with results that all processes share.
func (n *Net) replayShared(s *intent.State, c intent.Change) (*intent.State, error) {
	key := replayKey{state: s, operationID: c.OperationID}
	if next := n.replayedStates[key]; next != nil {
		return next, nil
	}
	next, err := intent.Replay(s, c)
	if err == nil {
		n.replayedStates[key] = next
	}
	return next, err
}

// Config configures a simulation.
type Config struct {
	Seed            uint64
	Nodes           int
	ControlReplicas int
	Zones           []zone.ID
	Direct          bool
	// UplinkBytesPerSecond limits what one process sends. 0 is unlimited.
	UplinkBytesPerSecond float64
	Loss                 float64
	State                *intent.State
}

// processesPerBalancer is the ratio of the design: one process in eleven is a
// balancer.
const processesPerBalancer = 11

const linkDelay = 5 * time.Millisecond

// New starts all processes with the same state and members.
func New(c Config) *Net {
	n := &Net{
		Now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), byID: map[vm.ID]*Member{},
		IntraZoneBytes: map[[2]vm.ID]int64{}, InterZoneBytes: map[[2]zone.ID]int64{}, replayedStates: map[replayKey]*intent.State{},
	}
	n.LinkQuality = func(_, _ *Member) memlink.Quality { return memlink.Quality{Delay: linkDelay, Loss: c.Loss} }
	n.links = memlink.New[vm.ID, fanout.Message](rand.New(rand.NewPCG(c.Seed, 1)), func(from, to vm.ID) memlink.Quality {
		return n.LinkQuality(n.byID[from], n.byID[to])
	})
	n.links.Uplink = c.UplinkBytesPerSecond
	for i := range c.ControlReplicas + c.Nodes {
		role := vm.RoleUpstream
		switch {
		case i < c.ControlReplicas:
			role = vm.RoleControl
		case i%processesPerBalancer == 0:
			role = vm.RoleBalancer
		}
		n.add(c, i, role)
	}
	n.UpdateMembers()
	return n
}

func (n *Net) add(c Config, i int, role vm.Role) {
	m := &Member{ID: vm.ID(fmt.Sprintf("vm-%05d", i)), Zone: c.Zones[i%len(c.Zones)], Role: role, AppliedAt: map[uint64]time.Time{}}
	m.Node = fanout.New(fanout.Config{
		Self: m.ID, Zone: m.Zone, IsControlReplica: role == vm.RoleControl, SendDirect: c.Direct,
		Rand: rand.New(rand.NewPCG(c.Seed, uint64(i))), Replay: n.replayShared,
	}, c.State)
	n.Members = append(n.Members, m)
	n.byID[m.ID] = m
}

// UpdateMembers passes the list of running processes to every running process.
func (n *Net) UpdateMembers() {
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

// Publish applies a change to the state of the leader and publishes the result on
// all running control replicas.
func (n *Net) Publish(c intent.Change) uint64 {
	leader := n.Members[0]
	c.BaseRevision = leader.Node.State().Revision
	state, err := n.replayShared(leader.Node.State(), c)
	if err != nil {
		panic(fmt.Sprintf("simulated change is not valid: %v", err))
	}
	for _, m := range n.Members {
		if m.Role == vm.RoleControl && !m.Stopped {
			n.processOutput(m, m.Node.Publish(n.Now, state, &c))
		}
	}
	return state.Revision
}

func (n *Net) processOutput(m *Member, out fanout.Output) {
	revision := m.Node.State().Revision
	if out.Applied != nil {
		m.AppliedAt[revision] = n.Now
	}
	m.RevisionDecreased = m.RevisionDecreased || revision < m.HighestRevision
	m.HighestRevision = max(m.HighestRevision, revision)
	for _, s := range out.Messages {
		size := s.Message.Size() + streamOverheadBytes
		m.SentBytes += int64(size)
		if to := n.byID[s.To]; to.Zone == m.Zone {
			n.IntraZoneBytes[[2]vm.ID{m.ID, to.ID}] += int64(size)
		} else {
			n.InterZoneBytes[[2]zone.ID{m.Zone, to.Zone}] += int64(size)
		}
		n.links.Send(n.Now, m.ID, s.To, s.Message, size)
	}
}

// RunUntil advances virtual time until the condition holds, but at most by d. It
// returns the elapsed time and whether the condition holds.
func (n *Net) RunUntil(d time.Duration, done func() bool) (time.Duration, bool) {
	start := n.Now
	for n.Now.Sub(start) < d {
		if done() {
			return n.Now.Sub(start), true
		}
		n.advanceOneStep()
	}
	return n.Now.Sub(start), done()
}

// Run advances virtual time by d.
func (n *Net) Run(d time.Duration) { n.RunUntil(d, func() bool { return false }) }

// tickGroups is the number of groups of processes. The ticks of the groups are spread
// evenly over the tick interval.
const tickGroups = 20

func (n *Net) advanceOneStep() {
	end := n.Now.Add(fanout.TickInterval / tickGroups)
	for {
		p, ok := n.links.Next(end)
		if !ok {
			break
		}
		if p.At.After(n.Now) {
			n.Now = p.At
		}
		if to := n.byID[p.To]; !to.Stopped {
			n.processOutput(to, to.Node.Handle(n.Now, p.From, p.Body))
		}
	}
	n.Now = end
	n.steps++
	for i := n.steps % tickGroups; i < len(n.Members); i += tickGroups {
		if m := n.Members[i]; !m.Stopped {
			n.processOutput(m, m.Node.Tick(n.Now))
		}
	}
}

// AllApplied reports whether every running process has applied the revision.
func (n *Net) AllApplied(revision uint64) bool {
	for _, m := range n.Members {
		if !m.Stopped && m.Node.State().Revision < revision {
			return false
		}
	}
	return true
}

// ResetCounters sets the byte counters to zero.
func (n *Net) ResetCounters() {
	clear(n.IntraZoneBytes)
	clear(n.InterZoneBytes)
	for _, m := range n.Members {
		m.SentBytes = 0
	}
}
