// Package fleet runs membership nodes over in-memory links under virtual time,
// for tests and measurements.
package fleet

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

// frameOverhead is what a frame and UDP over IPv4 add to a message body: 53
// bytes of header and tag, 28 bytes of UDP and IPv4.
const frameOverhead = 81

// Member is one process of a fleet.
type Member struct {
	Node    *membership.Node
	Address netip.AddrPort
	Zone    zone.ID
	Stopped bool
	Events  []membership.Event
	// Sent and Received count bytes including the overhead.
	Sent, Received int64
	Messages       int64
	MaxBody        int
}

// Fleet is a set of processes and the links between them.
type Fleet struct {
	Now     time.Time
	Members []*Member
	// Quality decides on each message. It may be replaced at any time.
	Quality func(from, to *Member) memlink.Quality
	// Tamper, if set, replaces the body of each message.
	Tamper func(from, to *Member, body []byte) []byte
	// InterZoneBytes counts the bytes between zones, by sender and receiver zone.
	InterZoneBytes map[[2]zone.ID]int64

	// Handled and HandleTime measure the processor time of received messages.
	Handled    int64
	HandleTime time.Duration

	network   *memlink.Network[netip.AddrPort, []byte]
	rng       *rand.Rand
	seeds     []netip.AddrPort
	byAddress map[netip.AddrPort]*Member
	slot      int
}

// Epoch is the time at which every fleet starts.
var Epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// tickSlots spreads the ticks of the members over the tick interval.
const tickSlots = 10

// GoodLink is the quality of a link without faults.
func GoodLink(_, _ *Member) memlink.Quality { return memlink.Quality{Delay: 5 * time.Millisecond} }

// New returns an empty fleet. The first seeds members added are the seeds.
func New(seed uint64, seeds int) *Fleet {
	f := &Fleet{
		Now: Epoch, Quality: GoodLink, InterZoneBytes: map[[2]zone.ID]int64{},
		rng: rand.New(rand.NewPCG(seed, 1)), byAddress: map[netip.AddrPort]*Member{},
	}
	f.network = memlink.New[netip.AddrPort, []byte](rand.New(rand.NewPCG(seed, 2)), func(from, to netip.AddrPort) memlink.Quality {
		a, b := f.byAddress[from], f.byAddress[to]
		if a == nil || b == nil {
			return memlink.Quality{Down: true}
		}
		return f.Quality(a, b)
	})
	for i := range seeds {
		f.seeds = append(f.seeds, address(i))
	}
	return f
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000)
}

// Zones returns the names of zones, half of them in each of two regions when
// there are more than three.
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
	m := &Member{Address: address(i), Zone: z}
	self := view.Member{
		VM: vm.ID(fmt.Sprintf("vm-%05d", i)), Role: vm.RoleUpstream, Zone: z, Address: m.Address,
		Service: "orders", Incarnation: vm.Incarnation(f.Now.UnixNano()), Status: view.Ready,
	}
	m.Node = f.node(self)
	f.Members = append(f.Members, m)
	f.byAddress[m.Address] = m
	return m
}

func (f *Fleet) node(self view.Member) *membership.Node {
	return membership.New(membership.Config{
		Self: self, Seeds: f.seeds, Rand: rand.New(rand.NewPCG(f.rng.Uint64(), 3)),
	})
}

// Restart starts a process with a later incarnation under the same address.
func (f *Fleet) Restart(m *Member) {
	self := m.Node.Self()
	self.Incarnation, self.Version = vm.Incarnation(f.Now.UnixNano()), 0
	self.Status = view.Ready
	m.Node, m.Stopped = f.node(self), false
}

// Do passes the output of a call to the network.
func (f *Fleet) Do(m *Member, out membership.Output) {
	m.Events = append(m.Events, out.Events...)
	for _, s := range out.Sends {
		size := int64(len(s.Body) + frameOverhead)
		m.Sent += size
		m.Messages++
		m.MaxBody = max(m.MaxBody, len(s.Body))
		if to := f.byAddress[s.To]; to != nil && to.Zone != m.Zone {
			f.InterZoneBytes[[2]zone.ID{m.Zone, to.Zone}] += size
		}
		if f.Tamper != nil {
			s.Body = f.Tamper(m, f.byAddress[s.To], s.Body)
		}
		f.network.Send(f.Now, m.Address, s.To, s.Body, len(s.Body)+frameOverhead)
	}
}

// Run lets virtual time pass.
func (f *Fleet) Run(d time.Duration) { f.RunUntil(d, func() bool { return false }) }

// RunUntil lets virtual time pass until the condition holds, which is checked
// after every step of a tenth of the tick interval. It returns the time that
// passed and whether the condition holds.
func (f *Fleet) RunUntil(d time.Duration, done func() bool) (time.Duration, bool) {
	start := f.Now
	for f.Now.Sub(start) < d {
		if done() {
			return f.Now.Sub(start), true
		}
		f.step()
	}
	return f.Now.Sub(start), done()
}

func (f *Fleet) step() {
	end := f.Now.Add(membership.TickInterval / tickSlots)
	for {
		p, ok := f.network.Next(end)
		if !ok {
			break
		}
		f.deliver(p)
	}
	f.Now = end
	f.slot = (f.slot + 1) % tickSlots
	for i := f.slot; i < len(f.Members); i += tickSlots {
		if m := f.Members[i]; !m.Stopped {
			f.Do(m, m.Node.Tick(f.Now))
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
	to.Received += int64(len(p.Body) + frameOverhead)
	start := time.Now()
	out := to.Node.Handle(f.Now, p.From, p.Body)
	f.HandleTime += time.Since(start)
	f.Handled++
	f.Do(to, out)
}

// ResetCounters starts the byte counters again.
func (f *Fleet) ResetCounters() {
	clear(f.InterZoneBytes)
	f.Handled, f.HandleTime = 0, 0
	for _, m := range f.Members {
		m.Sent, m.Received, m.Messages = 0, 0, 0
	}
}

// AllSeeMembers reports whether every running member knows count members.
func (f *Fleet) AllSeeMembers(count int) bool {
	for _, m := range f.Members {
		if !m.Stopped && m.Node.Size() != count {
			return false
		}
	}
	return true
}

// AllHaveStatus reports whether every other running member gives the subject one of
// the statuses.
func (f *Fleet) AllHaveStatus(subject *Member, statuses ...view.Status) bool {
	for _, m := range f.Members {
		if !m.Stopped && m != subject && !slices.Contains(statuses, m.StatusOf(subject)) {
			return false
		}
	}
	return true
}

// CountStatus returns how many members the node counts with the given status.
func (m *Member) CountStatus(status view.Status) int { return m.Node.Count(status) }

// StatusOf returns the status of one member in the view of another.
func (m *Member) StatusOf(other *Member) view.Status {
	return m.Node.StatusOf(other.Node.Self().VM)
}
