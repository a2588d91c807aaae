package balancer

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/frame"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/packet"
	"bramleyhold.example/bramleyhold/internal/peer"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
	"bramleyhold.example/bramleyhold/internal/zone"
)

var (
	start  = time.Unix(1_700_000_000, 0)
	orders = service.Endpoint{Address: netip.MustParseAddrPort("198.51.100.1:443"), Protocol: service.TCP}
	beacon = service.Endpoint{Address: netip.MustParseAddrPort("198.51.100.2:53"), Protocol: service.UDP}
	site   = zone.ID{Region: "r", Name: "z"}
)

// fixture is a cluster of one TCP and one UDP service.
type fixture struct {
	state   *intent.State
	members []view.Member
}

func newFixture(members int) *fixture {
	f := &fixture{state: &intent.State{Revision: 1}}
	for id, e := range map[service.ID]service.Endpoint{1: orders, 2: beacon} {
		name := service.Name(fmt.Sprintf("s%d", id))
		f.state.Services = append(f.state.Services, intent.Service{ID: id, Name: name, Endpoint: e, Traffic: true, Contract: service.DefaultContract()})
		for i := range members {
			f.add(vm.ID(fmt.Sprintf("%s-%02d", name, i)), name, byte(id), byte(i))
		}
	}
	return f
}

func (f *fixture) add(id vm.ID, name service.Name, net, host byte) {
	address := netip.AddrFrom4([4]byte{10, 0, net, host})
	f.state.VMs = append(f.state.VMs, intent.VM{Status: intent.Active, Machine: intent.Machine{
		ID: id, Address: address, Zone: site, Role: vm.RoleUpstream, Service: name, Slots: 7, Connections: 2000,
	}})
	f.members = append(f.members, view.Member{
		VM: id, Role: vm.RoleUpstream, Zone: site, Service: name, Address: netip.AddrPortFrom(address, 4800), Incarnation: 2, Status: view.Ready,
	})
}

func (f *fixture) set(id vm.ID, status view.Status) {
	for i := range f.members {
		if f.members[i].VM == id {
			f.members[i].Status = status
		}
	}
}

func (f *fixture) view() *view.View {
	f.state.Revision++
	return view.Build(f.state, f.members, nil, start)
}

func (f *fixture) core(cfg Config) *Core {
	cfg.VM = "b1"
	c := New(cfg)
	c.SetView(f.view())
	return c
}

func tcp(flags packet.TCPFlags) *packet.Meta {
	return &packet.Meta{Source: netip.MustParseAddrPort("203.0.113.9:5555"), Destination: orders.Address, Protocol: packet.ProtocolTCP, Flags: flags}
}

func udp() *packet.Meta {
	return &packet.Meta{Source: netip.MustParseAddrPort("203.0.113.9:5555"), Destination: beacon.Address, Protocol: packet.ProtocolUDP}
}

func decide(c *Core, m *packet.Meta) Decision {
	var d Decision
	c.Decide(start, m, &d)
	return d
}

// Guards against a packet that is sent, reset or dropped for another reason
// than the one that counts: callers rely on a reset meaning "not run".
func TestVerdicts(t *testing.T) {
	other := tcp(packet.SYN)
	other.Destination = netip.MustParseAddrPort("198.51.100.9:443")
	fastOpen := tcp(packet.SYN)
	fastOpen.PayloadBytes = 100
	icmp := tcp(0)
	icmp.Protocol = packet.ProtocolICMP
	tests := []struct {
		name    string
		prepare func(*fixture)
		packet  *packet.Meta
		verdict Verdict
		reason  Reason
	}{
		{"SYN", nil, tcp(packet.SYN), Send, ""},
		{"data", nil, tcp(packet.ACK), Send, ""},
		{"datagram", nil, udp(), Send, ""},
		{"unknown address", nil, other, Drop, UnknownService},
		{"unknown protocol", nil, icmp, Drop, UnknownService},
		{"SYN, traffic off", func(f *fixture) { f.traffic(false) }, tcp(packet.SYN), Reset, TrafficOff},
		{"SYN with payload, traffic off", func(f *fixture) { f.traffic(false) }, fastOpen, Drop, TrafficOff},
		{"SYN with payload, no member", func(f *fixture) { f.members = nil }, fastOpen, Drop, NoUpstream},
		{"data, traffic off", func(f *fixture) { f.traffic(false) }, tcp(packet.ACK), Send, ""},
		{"datagram, traffic off", func(f *fixture) { f.traffic(false) }, udp(), Send, ""},
		{"SYN, no member", func(f *fixture) { f.members = nil }, tcp(packet.SYN), Reset, NoUpstream},
		{"data, no member", func(f *fixture) { f.members = nil }, tcp(packet.ACK), Drop, NoUpstream},
		{"datagram, no member", func(f *fixture) { f.members = nil }, udp(), Drop, NoUpstream},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(3)
			if test.prepare != nil {
				test.prepare(f)
			}
			d := decide(f.core(Config{}), test.packet)
			require.Equal(t, test.verdict, d.Verdict)
			require.Equal(t, test.reason, d.Reason)
			require.Equal(t, test.packet.Opening() && d.Service != nil, d.Header.Flags.Has(frame.FlagOpening))
		})
	}
	require.Equal(t, NoView, func() Reason { d := decide(New(Config{}), tcp(packet.SYN)); return d.Reason }())
}

func (f *fixture) traffic(enabled bool) {
	for i := range f.state.Services {
		f.state.Services[i].Traffic = enabled
	}
}

// Guards against packets that follow a hint to a VM that can no longer hold
// the flow, and against a delayed hint that replaces a newer one.
func TestStaleHints(t *testing.T) {
	f := newFixture(7)
	c := f.core(Config{})
	m := tcp(packet.ACK)
	home := decide(c, m).To.VM
	holder := vm.ID("s1-00")
	if holder == home {
		holder = "s1-01"
	}
	c.HandleHint(&peer.Hint{Key: m.CallerKey(), Holder: holder, Incarnation: 2})
	d := decide(c, m)
	require.Equal(t, holder, d.To.VM)
	require.True(t, d.Header.Flags.Has(frame.FlagHinted))
	require.EqualValues(t, 2, d.Header.Incarnation)
	require.Equal(t, holder, c.Explain(m.CallerKey()).Holder)

	c.HandleHint(&peer.Hint{Key: m.CallerKey(), Holder: holder, Incarnation: 1})
	require.EqualValues(t, 2, decide(c, m).Header.Incarnation, "a hint of an earlier life must not replace the current one")

	f.set(holder, view.Suspected)
	c.SetView(f.view())
	require.Equal(t, holder, decide(c, m).To.VM, "a suspected holder may still hold the flow")
	f.set(holder, view.Failed)
	c.SetView(f.view())
	require.NotEqual(t, holder, decide(c, m).To.VM)
	require.Empty(t, c.Explain(m.CallerKey()).Holder)

	c.HandleHint(&peer.Hint{Key: m.CallerKey(), Holder: "s2-00", Incarnation: 1})
	d = decide(c, m)
	require.EqualValues(t, 1, d.Service.ID)
	require.NotEqual(t, vm.ID("s2-00"), d.To.VM, "a VM that changed its service must not get the flow")

	c.HandleHint(&peer.Hint{Key: m.CallerKey()})
	require.Zero(t, c.Hints())
}

// Guards against a hint cache that grows without bound or forgets hints that
// were set recently.
func TestHintBounds(t *testing.T) {
	const capacity = 1024
	c := newHintCache(capacity)
	random := rand.New(rand.NewPCG(1, 1))
	var last uint64
	for range 20 * capacity {
		last = random.Uint64()
		c.put(last, hint{holder: 1})
		_, ok := c.get(last)
		require.True(t, ok)
	}
	require.LessOrEqual(t, c.len(), capacity)
}

// Guards against flows that stall while their home is lost and the loss is not
// known yet: a retransmission must reach another registrar of the registration.
func TestRetransmissionGoesToNextRank(t *testing.T) {
	c := newFixture(7).core(Config{})
	var d Decision
	at := start
	seen := map[vm.ID]bool{}
	data := tcp(packet.ACK)
	data.PayloadBytes = 100
	for _, pause := range []time.Duration{0, 200 * time.Millisecond, 400 * time.Millisecond} {
		at = at.Add(pause)
		c.Decide(at, data, &d)
		first := d.To.VM
		c.Decide(at.Add(time.Millisecond), data, &d)
		require.Equal(t, first, d.To.VM, "a burst is one attempt")
		seen[first] = true
	}
	require.Len(t, seen, 3)
	last := d.To.VM
	next := *data
	next.Sequence += 100
	c.Decide(at.Add(time.Second), &next, &d)
	require.Equal(t, last, d.To.VM, "new data shows that the last attempt arrived")
	c.Decide(at.Add(time.Second+forgetAfter), data, &d)
	require.Equal(t, c.Explain(tcp(0).CallerKey()).Home, d.To.VM, "an idle flow starts at home again")
}

// Guards against packets of known flows being shed before openings.
func TestOverload(t *testing.T) {
	c := newFixture(3).core(Config{})
	key := udp().CallerKey()
	c.HandleHint(&peer.Hint{Key: key, Holder: "s2-00", Incarnation: 2})
	unknown := udp()
	unknown.Source = netip.MustParseAddrPort("203.0.113.10:1")
	for _, test := range []struct {
		pressure QueueFill
		sheds    bool
	}{{QueueFill{}, false}, {QueueFill{Queued: 49, Capacity: 100}, false}, {QueueFill{Queued: 50, Capacity: 100}, true}, {QueueFill{Queued: 0, Capacity: 100}, false}} {
		c.SetQueueFill(test.pressure)
		for _, opening := range []*packet.Meta{tcp(packet.SYN), unknown} {
			d := decide(c, opening)
			require.Equal(t, test.sheds, d.Reason == Overloaded)
			require.NotEqual(t, Reset, d.Verdict)
		}
		require.Equal(t, Send, decide(c, tcp(packet.ACK)).Verdict)
		require.Equal(t, Send, decide(c, udp()).Verdict)
	}
	limited := newFixture(3).core(Config{OpeningsPerSecond: 20})
	sent := 0
	for range 100 {
		if decide(limited, tcp(packet.SYN)).Verdict == Send {
			sent++
		}
		require.Equal(t, Send, decide(limited, tcp(packet.ACK)).Verdict)
	}
	require.Equal(t, 2, sent, "a tenth of a second of the limit")
}

// Guards against a balancer that stops while callers still reach it, or that
// stops forwarding during its drain.
func TestDrain(t *testing.T) {
	c := newFixture(3).core(Config{})
	var d Decision
	c.Decide(start.Add(-time.Minute), tcp(packet.ACK), &d)
	require.False(t, c.CanStop(start.Add(time.Hour)))
	c.Drain(start)
	require.Equal(t, Draining, c.State())
	require.False(t, c.CanStop(start.Add(IdleBeforeStop-1)))
	c.Decide(start.Add(3*time.Second), tcp(packet.SYN), &d)
	require.Equal(t, Send, d.Verdict)
	require.False(t, c.CanStop(start.Add(IdleBeforeStop)))
	require.True(t, c.CanStop(start.Add(3*time.Second+IdleBeforeStop)))
}

// Guards against traces of other packets than openings and against a share
// that the given source does not reproduce.
func TestSampling(t *testing.T) {
	sampled := func() (count int) {
		c := newFixture(3).core(Config{TraceShare: 0.1, Random: rand.New(rand.NewPCG(7, 7))})
		for range 1000 {
			if decide(c, tcp(packet.SYN)).Sampled {
				count++
			}
			require.False(t, decide(c, tcp(packet.ACK)).Sampled)
		}
		return count
	}
	require.InDelta(t, 100, sampled(), 40)
	require.Equal(t, sampled(), sampled())
}

// Guards against an allocation on the path of every packet.
func TestDecideDoesNotAllocate(t *testing.T) {
	c := benchCore(7)
	for name, m := range benchPackets(c) {
		var d Decision
		require.Zero(t, testing.AllocsPerRun(100, func() { c.Decide(start, m, &d) }), name)
	}
}

func benchCore(members int) *Core {
	return newFixture(members).core(Config{Hasher: flow.Hasher{K0: 1, K1: 2}})
}

func benchPackets(c *Core) map[string]*packet.Meta {
	hinted := tcp(packet.ACK)
	hinted.Source = netip.MustParseAddrPort("203.0.113.11:1")
	c.HandleHint(&peer.Hint{Key: hinted.CallerKey(), Holder: "s1-02", Incarnation: 2})
	return map[string]*packet.Meta{"hinted": hinted, "unhinted": tcp(packet.ACK), "opening": tcp(packet.SYN), "datagram": udp()}
}

func BenchmarkDecide(b *testing.B) {
	for _, members := range []int{7, 64} {
		c := benchCore(members)
		for _, name := range []string{"hinted", "unhinted", "opening", "datagram"} {
			m := benchPackets(c)[name]
			b.Run(fmt.Sprintf("%s/%d", name, members), func(b *testing.B) {
				b.ReportAllocs()
				var d Decision
				for b.Loop() {
					c.Decide(start, m, &d)
				}
			})
		}
	}
}
