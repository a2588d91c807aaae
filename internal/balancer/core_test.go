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
	startTime      = time.Unix(1_700_000_000, 0)
	ordersEndpoint = service.Endpoint{Address: netip.MustParseAddrPort("198.51.100.1:443"), Protocol: service.TCP}
	beaconEndpoint = service.Endpoint{Address: netip.MustParseAddrPort("198.51.100.2:53"), Protocol: service.UDP}
	testZone       = zone.ID{Region: "r", Name: "z"}
)

// testCluster is the intent and the members of one TCP and one UDP service.
type testCluster struct {
	state   *intent.State
	members []view.Member
}

func newTestCluster(membersPerService int) *testCluster {
	cluster := &testCluster{state: &intent.State{Revision: 1}}
	for id, endpoint := range map[service.ID]service.Endpoint{1: ordersEndpoint, 2: beaconEndpoint} {
		name := service.Name(fmt.Sprintf("s%d", id))
		cluster.state.Services = append(cluster.state.Services, intent.Service{ID: id, Name: name, Endpoint: endpoint, Traffic: true, Contract: service.DefaultContract()})
		for i := range membersPerService {
			cluster.addUpstream(vm.ID(fmt.Sprintf("%s-%02d", name, i)), name, byte(id), byte(i))
		}
	}
	return cluster
}

func (cluster *testCluster) addUpstream(id vm.ID, name service.Name, net, host byte) {
	address := netip.AddrFrom4([4]byte{10, 0, net, host})
	cluster.state.VMs = append(cluster.state.VMs, intent.VM{Status: intent.Active, InventoryVM: intent.InventoryVM{
		ID: id, Address: address, Zone: testZone, Role: vm.RoleUpstream, Service: name, Slots: 7, Connections: 2000,
	}})
	cluster.members = append(cluster.members, view.Member{
		VM: id, Role: vm.RoleUpstream, Zone: testZone, Service: name, Address: netip.AddrPortFrom(address, 4800), Incarnation: 2, Status: view.Ready,
	})
}

func (cluster *testCluster) setStatus(id vm.ID, status view.Status) {
	for i := range cluster.members {
		if cluster.members[i].VM == id {
			cluster.members[i].Status = status
		}
	}
}

func (cluster *testCluster) buildView() *view.View {
	cluster.state.Revision++
	return view.Build(cluster.state, cluster.members, nil, startTime)
}

func (cluster *testCluster) newCore(cfg Config) *Core {
	cfg.VM = "b1"
	c := New(cfg)
	c.SetView(cluster.buildView())
	return c
}

func tcpPacket(flags packet.TCPFlags) *packet.Meta {
	return &packet.Meta{Source: netip.MustParseAddrPort("203.0.113.9:5555"), Destination: ordersEndpoint.Address, Protocol: packet.ProtocolTCP, Flags: flags}
}

func udpPacket() *packet.Meta {
	return &packet.Meta{Source: netip.MustParseAddrPort("203.0.113.9:5555"), Destination: beaconEndpoint.Address, Protocol: packet.ProtocolUDP}
}

func decide(c *Core, m *packet.Meta) Decision {
	var d Decision
	c.Decide(startTime, m, &d)
	return d
}

// Guards against a wrong verdict or reason for a packet. Callers rely on a reset
// as proof that the request was not run.
func TestVerdicts(t *testing.T) {
	otherAddress := tcpPacket(packet.SYN)
	otherAddress.Destination = netip.MustParseAddrPort("198.51.100.9:443")
	synWithPayload := tcpPacket(packet.SYN)
	synWithPayload.PayloadBytes = 100
	icmp := tcpPacket(0)
	icmp.Protocol = packet.ProtocolICMP
	tests := []struct {
		name    string
		prepare func(*testCluster)
		packet  *packet.Meta
		verdict Verdict
		reason  Reason
	}{
		{"SYN", nil, tcpPacket(packet.SYN), Send, ""},
		{"data", nil, tcpPacket(packet.ACK), Send, ""},
		{"datagram", nil, udpPacket(), Send, ""},
		{"unknown address", nil, otherAddress, Drop, UnknownService},
		{"unknown protocol", nil, icmp, Drop, UnknownService},
		{"SYN, traffic off", func(cluster *testCluster) { cluster.setTraffic(false) }, tcpPacket(packet.SYN), Reset, TrafficOff},
		{"SYN with payload, traffic off", func(cluster *testCluster) { cluster.setTraffic(false) }, synWithPayload, Drop, TrafficOff},
		{"SYN with payload, no member", func(cluster *testCluster) { cluster.members = nil }, synWithPayload, Drop, NoUpstream},
		{"data, traffic off", func(cluster *testCluster) { cluster.setTraffic(false) }, tcpPacket(packet.ACK), Send, ""},
		{"datagram, traffic off", func(cluster *testCluster) { cluster.setTraffic(false) }, udpPacket(), Send, ""},
		{"SYN, no member", func(cluster *testCluster) { cluster.members = nil }, tcpPacket(packet.SYN), Reset, NoUpstream},
		{"data, no member", func(cluster *testCluster) { cluster.members = nil }, tcpPacket(packet.ACK), Drop, NoUpstream},
		{"datagram, no member", func(cluster *testCluster) { cluster.members = nil }, udpPacket(), Drop, NoUpstream},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			cluster := newTestCluster(3)
			if test.prepare != nil {
				test.prepare(cluster)
			}
			d := decide(cluster.newCore(Config{}), test.packet)
			require.Equal(t, test.verdict, d.Verdict)
			require.Equal(t, test.reason, d.Reason)
			require.Equal(t, test.packet.IsOpening() && d.Service != nil, d.Header.Flags.Has(frame.FlagOpening))
		})
	}
	require.Equal(t, NoView, func() Reason { d := decide(New(Config{}), tcpPacket(packet.SYN)); return d.Reason }())
}

func (cluster *testCluster) setTraffic(enabled bool) {
	for i := range cluster.state.Services {
		cluster.state.Services[i].Traffic = enabled
	}
}

// Guards against packets that are sent to the VM of a stale hint: one that has
// failed or that serves another service now. Also guards against a delayed hint
// that replaces a newer one.
func TestStaleHintsAreIgnored(t *testing.T) {
	cluster := newTestCluster(7)
	c := cluster.newCore(Config{})
	m := tcpPacket(packet.ACK)
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
	require.EqualValues(t, 2, decide(c, m).Header.Incarnation, "a hint of a previous incarnation must not replace the current one")

	cluster.setStatus(holder, view.Suspected)
	c.SetView(cluster.buildView())
	require.Equal(t, holder, decide(c, m).To.VM, "a suspected holder can still have the flow in its table")
	cluster.setStatus(holder, view.Failed)
	c.SetView(cluster.buildView())
	require.NotEqual(t, holder, decide(c, m).To.VM)
	require.Empty(t, c.Explain(m.CallerKey()).Holder)

	c.HandleHint(&peer.Hint{Key: m.CallerKey(), Holder: "s2-00", Incarnation: 1})
	d = decide(c, m)
	require.EqualValues(t, 1, d.Service.ID)
	require.NotEqual(t, vm.ID("s2-00"), d.To.VM, "a VM that now serves another service must not receive the flow")

	c.HandleHint(&peer.Hint{Key: m.CallerKey()})
	require.Zero(t, c.HintCount())
}

// Guards against a hint cache that grows without bound or evicts hints that
// were set recently.
func TestHintCacheKeepsRecentHintsWithinCapacity(t *testing.T) {
	const capacity = 1024
	c := newHintCache(capacity)
	random := rand.New(rand.NewPCG(1, 1))
	var newest uint64
	for range 20 * capacity {
		newest = random.Uint64()
		c.put(newest, hint{holderHash: 1})
		_, ok := c.get(newest)
		require.True(t, ok)
	}
	require.LessOrEqual(t, c.len(), capacity)
}

// Guards against flows that stall because their home has failed and the balancer
// has not detected the failure yet. A retransmission must reach another agent
// that keeps a copy of the flow record.
func TestRetransmissionIsSentToNextRank(t *testing.T) {
	c := newTestCluster(7).newCore(Config{})
	var d Decision
	now := startTime
	receivers := map[vm.ID]bool{}
	data := tcpPacket(packet.ACK)
	data.PayloadBytes = 100
	for attempts, pause := range []time.Duration{0, 200 * time.Millisecond, 400 * time.Millisecond} {
		now = now.Add(pause)
		c.Decide(now, data, &d)
		receiver := d.To.VM
		c.Decide(now.Add(time.Millisecond), data, &d)
		require.Equal(t, receiver, d.To.VM, "packets of one burst count as one attempt")
		require.Equal(t, attempts, d.Header.Flags.Attempts(), "agents must know which members have not answered")
		receivers[receiver] = true
	}
	require.Len(t, receivers, 3)
	lastReceiver := d.To.VM
	newData := *data
	newData.Sequence += 100
	c.Decide(now.Add(time.Second), &newData, &d)
	require.Equal(t, lastReceiver, d.To.VM, "new data shows that the last attempt reached the holder")
	c.Decide(now.Add(time.Second+attemptExpiry), data, &d)
	require.Equal(t, c.Explain(tcpPacket(0).CallerKey()).Home, d.To.VM, "packets of an idle flow go to its home again")
}

// Guards against an overloaded balancer that sheds packets of established flows
// instead of openings.
func TestOverload(t *testing.T) {
	c := newTestCluster(3).newCore(Config{})
	hintedKey := udpPacket().CallerKey()
	c.HandleHint(&peer.Hint{Key: hintedKey, Holder: "s2-00", Incarnation: 2})
	unhintedDatagram := udpPacket()
	unhintedDatagram.Source = netip.MustParseAddrPort("203.0.113.10:1")
	for _, test := range []struct {
		queue         QueueFill
		shedsOpenings bool
	}{{QueueFill{}, false}, {QueueFill{Queued: 49, Capacity: 100}, false}, {QueueFill{Queued: 50, Capacity: 100}, true}, {QueueFill{Queued: 0, Capacity: 100}, false}} {
		c.SetQueueFill(test.queue)
		for _, opening := range []*packet.Meta{tcpPacket(packet.SYN), unhintedDatagram} {
			d := decide(c, opening)
			require.Equal(t, test.shedsOpenings, d.Reason == Overloaded)
			require.NotEqual(t, Reset, d.Verdict)
		}
		require.Equal(t, Send, decide(c, tcpPacket(packet.ACK)).Verdict)
		require.Equal(t, Send, decide(c, udpPacket()).Verdict)
	}
	limited := newTestCluster(3).newCore(Config{OpeningsPerSecond: 20})
	sent := 0
	for range 100 {
		if decide(limited, tcpPacket(packet.SYN)).Verdict == Send {
			sent++
		}
		require.Equal(t, Send, decide(limited, tcpPacket(packet.ACK)).Verdict)
	}
	require.Equal(t, 2, sent, "the burst is the limit of a tenth of a second")
}

// Guards against a balancer that stops while it still receives packets, or that
// does not forward packets during its drain.
func TestDrain(t *testing.T) {
	c := newTestCluster(3).newCore(Config{})
	var d Decision
	c.Decide(startTime.Add(-time.Minute), tcpPacket(packet.ACK), &d)
	require.False(t, c.CanStop(startTime.Add(time.Hour)))
	c.Drain(startTime)
	require.Equal(t, Draining, c.State())
	require.False(t, c.CanStop(startTime.Add(IdleBeforeStop-1)))
	c.Decide(startTime.Add(3*time.Second), tcpPacket(packet.SYN), &d)
	require.Equal(t, Send, d.Verdict)
	require.False(t, c.CanStop(startTime.Add(IdleBeforeStop)))
	require.True(t, c.CanStop(startTime.Add(3*time.Second+IdleBeforeStop)))
}

// Guards against traces of packets other than openings, and against a selection
// that differs between two runs with the same random source.
func TestOnlyOpeningsAreTraced(t *testing.T) {
	countTraced := func() (count int) {
		c := newTestCluster(3).newCore(Config{TraceShare: 0.1, Random: rand.New(rand.NewPCG(7, 7))})
		for range 1000 {
			if decide(c, tcpPacket(packet.SYN)).Sampled {
				count++
			}
			require.False(t, decide(c, tcpPacket(packet.ACK)).Sampled)
		}
		return count
	}
	require.InDelta(t, 100, countTraced(), 40)
	require.Equal(t, countTraced(), countTraced())
}

// Guards against a heap allocation per packet.
func TestDecideDoesNotAllocate(t *testing.T) {
	c := newBenchCore(7)
	for name, m := range benchPackets(c) {
		var d Decision
		require.Zero(t, testing.AllocsPerRun(100, func() { c.Decide(startTime, m, &d) }), name)
	}
}

func newBenchCore(members int) *Core {
	return newTestCluster(members).newCore(Config{Hasher: flow.Hasher{K0: 1, K1: 2}})
}

func benchPackets(c *Core) map[string]*packet.Meta {
	hinted := tcpPacket(packet.ACK)
	hinted.Source = netip.MustParseAddrPort("203.0.113.11:1")
	c.HandleHint(&peer.Hint{Key: hinted.CallerKey(), Holder: "s1-02", Incarnation: 2})
	return map[string]*packet.Meta{"hinted": hinted, "unhinted": tcpPacket(packet.ACK), "opening": tcpPacket(packet.SYN), "datagram": udpPacket()}
}

func BenchmarkDecide(b *testing.B) {
	for _, members := range []int{7, 64} {
		c := newBenchCore(members)
		for _, name := range []string{"hinted", "unhinted", "opening", "datagram"} {
			m := benchPackets(c)[name]
			b.Run(fmt.Sprintf("%s/%d", name, members), func(b *testing.B) {
				b.ReportAllocs()
				var d Decision
				for b.Loop() {
					c.Decide(startTime, m, &d)
				}
			})
		}
	}
}
