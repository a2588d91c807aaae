// Package simfleet simulates membership nodes on in-memory links in virtual time, for
// tests and measurements.
package simfleet

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"bramleyhold.example/bramleyhold/internal/membership"
	"bramleyhold.example/bramleyhold/internal/memlink"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
	"bramleyhold.example/bramleyhold/internal/zone"
)

// packetOverheadBytes is added to each message body: 53 bytes of frame header and
// tag, 28 bytes of UDP and IPv4 headers.
const packetOverheadBytes = 81

// Member is one simulated process.
type Member struct {
	Node    *membership.Node
	Address netip.AddrPort
	Zone    zone.ID
	Stopped bool
	Events  []membership.Event
	// SentBytes and ReceivedBytes include packetOverheadBytes for each message.
	SentBytes, ReceivedBytes int64
	Messages                 int64
	MaxBodyBytes             int
}

// Fleet simulates a set of processes and the links between them.
type Fleet struct {
	Now     time.Time
	Members []*Member
	// LinkQuality returns the quality of the link for each message. It may be replaced
	// at any time.
	LinkQuality func(from, to *Member) memlink.Quality
	// Tamper, if set, replaces the body of each message.
	Tamper func(from, to *Member, body []byte) []byte
	// InterZoneBytes counts the bytes between zones, by zone of sender and receiver.
	InterZoneBytes map[[2]zone.ID]int64

	// HandledMessages counts the received messages. HandleTime is the time spent in
	// Node.Handle for them.
	HandledMessages int64
	HandleTime      time.Duration

	network   *memlink.Network[netip.AddrPort, []byte]
	rng       *rand.Rand
	seeds     []netip.AddrPort
	byAddress map[netip.AddrPort]*Member
	tickGroup int
}

// StartTime is the virtual time at which every fleet starts.
var StartTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// tickGroups is the number of groups of members. The ticks of the groups are spread
// evenly over the tick interval.
const tickGroups = 10

// GoodLink is the quality of a link without faults.
func GoodLink(_, _ *Member) memlink.Quality { return memlink.Quality{Delay: 5 * time.Millisecond} }

// New returns an empty fleet. The first members that are added, up to the number of
// seeds, are the seeds.
func New(seed uint64, seeds int) *Fleet {
	f := &Fleet{
		Now: StartTime, LinkQuality: GoodLink, InterZoneBytes: map[[2]zone.ID]int64{},
		rng: rand.New(rand.NewPCG(seed, 1)), byAddress: map[netip.AddrPort]*Member{},
	}
	f.network = memlink.New[netip.AddrPort, []byte](rand.New(rand.NewPCG(seed, 2)), func(from, to netip.AddrPort) memlink.Quality {
		a, b := f.byAddress[from], f.byAddress[to]
		if a == nil || b == nil {
			return memlink.Quality{Down: true}
		}
		return f.LinkQuality(a, b)
	})
	for i := range seeds {
		f.seeds = append(f.seeds, memberAddress(i))
	}
	return f
}

func memberAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000)
}

// Zones returns zone IDs. Up to three zones are in one region. More are split evenly
// between two regions.
func Zones(count int) []zone.ID {
	zones := make([]zone.ID, count)
	for i := range zones {
		region := "r1"
		if count > 3 && i >= count/2 {
			region = "r2"
		}
		zones[i] = zone.ID{Region: region, Name: fmt.Sprintf("z%d", i+1)}
	}
	return zones
}

// Add starts a new process.
func (f *Fleet) Add(z zone.ID) *Member {
	i := len(f.Members)
	m := &Member{Address: memberAddress(i), Zone: z}
	self := view.Member{
		VM: vm.ID(fmt.Sprintf("vm-%05d", i)), Role: vm.RoleUpstream, Zone: z, Address: m.Address,
		Service: "orders", Incarnation: vm.Incarnation(f.Now.UnixNano()), Status: view.Ready,
	}
	m.Node = f.newNode(self)
	f.Members = append(f.Members, m)
	f.byAddress[m.Address] = m
	return m
}

func (f *Fleet) newNode(self view.Member) *membership.Node {
	return membership.New(membership.Config{
		Self: self, Seeds: f.seeds, Rand: rand.New(rand.NewPCG(f.rng.Uint64(), 3)),
	})
}

// Restart replaces the process of a member by one with a later incarnation and the
// same address.
func (f *Fleet) Restart(m *Member) {
	self := m.Node.Self()
	self.Incarnation, self.Version = vm.Incarnation(f.Now.UnixNano()), 0
	self.Status = view.Ready
	m.Node, m.Stopped = f.newNode(self), false
}

// ProcessOutput records the events of a call's output and sends its messages.
func (f *Fleet) ProcessOutput(m *Member, out membership.Output) {
	m.Events = append(m.Events, out.Events...)
	for _, s := range out.Messages {
		size := int64(len(s.Body) + packetOverheadBytes)
		m.SentBytes += size
		m.Messages++
		m.MaxBodyBytes = max(m.MaxBodyBytes, len(s.Body))
		if to := f.byAddress[s.To]; to != nil && to.Zone != m.Zone {
			f.InterZoneBytes[[2]zone.ID{m.Zone, to.Zone}] += size
		}
		if f.Tamper != nil {
			s.Body = f.Tamper(m, f.byAddress[s.To], s.Body)
		}
		f.network.Send(f.Now, m.Address, s.To, s.Body, len(s.Body)+packetOverheadBytes)
	}
}

// Run advances virtual time by d.
func (f *Fleet) Run(d time.Duration) { f.RunUntil(d, func() bool { return false }) }

// RunUntil advances virtual time until the condition holds, but at most by d. It
// checks the condition after every step of a tenth of the tick interval. It returns
// the elapsed time and whether the condition holds.
func (f *Fleet) RunUntil(d time.Duration, done func() bool) (time.Duration, bool) {
	start := f.Now
	for f.Now.Sub(start) < d {
		if done() {
			return f.Now.Sub(start), true
		}
		f.advanceOneStep()
	}
	return f.Now.Sub(start), done()
}

func (f *Fleet) advanceOneStep() {
	end := f.Now.Add(membership.TickInterval / tickGroups)
	for {
		p, ok := f.network.Next(end)
		if !ok {
			break
		}
		f.deliver(p)
	}
	f.Now = end
	f.tickGroup = (f.tickGroup + 1) % tickGroups
	for i := f.tickGroup; i < len(f.Members); i += tickGroups {
		if m := f.Members[i]; !m.Stopped {
			f.ProcessOutput(m, m.Node.Tick(f.Now))
		}
	}
}

func (f *Fleet) deliver(p memlink.Packet[netip.AddrPort, []byte]) {
	to := f.byAddress[p.To]
	if to == nil || to.Stopped {
		return
	}
	if p.At.After(f.Now) {
		f.Now = p.At
	}
	to.ReceivedBytes += int64(len(p.Body) + packetOverheadBytes)
	start := time.Now()
	out := to.Node.Handle(f.Now, p.From, p.Body)
	f.HandleTime += time.Since(start)
	f.HandledMessages++
	f.ProcessOutput(to, out)
}

// ResetCounters sets all counters to zero.
func (f *Fleet) ResetCounters() {
	clear(f.InterZoneBytes)
	f.HandledMessages, f.HandleTime = 0, 0
	for _, m := range f.Members {
		m.SentBytes, m.ReceivedBytes, m.Messages = 0, 0, 0
	}
}

// AllHaveMemberCount reports whether every running member has count members in its list.
func (f *Fleet) AllHaveMemberCount(count int) bool {
	for _, m := range f.Members {
		if !m.Stopped && m.Node.MemberCount() != count {
			return false
		}
	}
	return true
}

// AllHaveStatus reports whether every other running member shows the subject with one
// of the statuses.
func (f *Fleet) AllHaveStatus(subject *Member, statuses ...view.Status) bool {
	for _, m := range f.Members {
		if !m.Stopped && m != subject && !slices.Contains(statuses, m.StatusOf(subject)) {
			return false
		}
	}
	return true
}

// CountWithStatus returns the number of members that have the status on this node.
func (m *Member) CountWithStatus(status view.Status) int { return m.Node.CountWithStatus(status) }

// StatusOf returns the status of another member on this node.
func (m *Member) StatusOf(other *Member) view.Status {
	return m.Node.StatusOf(other.Node.Self().VM)
}
