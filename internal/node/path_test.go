package node

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/frame"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/packet"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/telemetry"
	"bramleyhold.example/bramleyhold/internal/udplink"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

const (
	responseTimeout = 5 * time.Second
	// noPacketWait is how long a test waits before it concludes that no packet will
	// arrive.
	noPacketWait = 200 * time.Millisecond
)

// testNetwork is one balancer and two agents on loopback. The test creates and reads
// the packets of the caller and of the upstreams.
type testNetwork struct {
	t          *testing.T
	addresses  testAddresses
	balancer   *Balancer
	agents     []*Agent
	callerLink *udplink.Link
	// agentSink receives the packets that agents write to their devices: packets for
	// the upstreams and replies to the caller.
	agentSink      *udplink.Link
	agentDevices   []*udplink.PacketSource
	balancerDevice *udplink.PacketSource
	spans          *tracetest.InMemoryExporter
}

func newIPv4TestNetwork(t *testing.T, protocol service.Protocol) *testNetwork {
	t.Helper()
	return newTestNetwork(t, protocol, ipv4Addresses)
}

// testAddresses are the addresses of a testNetwork in one IP version.
type testAddresses struct {
	caller, virtual, upstream netip.AddrPort
	aliases                   netip.Prefix
}

var (
	ipv4Addresses = testAddresses{
		caller: testCaller, virtual: testVirtual,
		upstream: netip.MustParseAddrPort("203.0.113.1:9000"), aliases: netip.MustParsePrefix("203.0.113.128/25"),
	}
	ipv6Addresses = testAddresses{
		caller: netip.MustParseAddrPort("[2001:db8:1::10]:40000"), virtual: netip.MustParseAddrPort("[2001:db8:2::1]:8080"),
		upstream: netip.MustParseAddrPort("[2001:db8:3::1]:9000"), aliases: netip.MustParsePrefix("2001:db8:4::/112"),
	}
)

func newTestNetwork(t *testing.T, protocol service.Protocol, addresses testAddresses) *testNetwork {
	t.Helper()
	network := &testNetwork{t: t, addresses: addresses, spans: tracetest.NewInMemoryExporter()}
	provider := sdktrace.NewTracerProvider(sdktrace.WithSyncer(network.spans))
	config := func(id vm.ID) Config {
		return Config{
			VM: id, Zone: testZone, Service: "orders", Address: loopback, Keys: testKeys(), Hasher: flow.Hasher{K0: 1, K1: 2},
			Log: discardLog(), Metrics: metrics.NewRegistry(), Tracer: telemetry.NewTracer(provider), TraceEvery: 1,
		}
	}
	network.callerLink, network.agentSink = openLink(t), openLink(t)
	network.balancerDevice = openPackets(t, network.callerLink.Address())
	var err error
	network.balancer, err = NewBalancer(config("balancer-1"), network.balancerDevice)
	require.NoError(t, err)
	state := &intent.State{Revision: 1, Services: []intent.Service{{
		ID: 1, Name: "orders", Endpoint: service.Endpoint{Address: addresses.virtual, Protocol: protocol}, Traffic: true,
		Contract: service.Contract{Idempotent: true, Shape: service.ShapeShortRequests, QueueDeadline: time.Second, Priority: service.PrioritySurvival},
	}}}
	members := []view.Member{{VM: "balancer-1", Role: vm.RoleBalancer, Zone: testZone, Address: network.balancer.cfg.Address, Status: view.Ready}}
	state.VMs = append(state.VMs, intent.VM{Status: intent.Active, InventoryVM: intent.InventoryVM{ID: "balancer-1", Role: vm.RoleBalancer, Zone: testZone}})
	for _, id := range []vm.ID{"orders-1", "orders-2"} {
		device := openPackets(t, network.agentSink.Address())
		a, err := NewAgent(AgentConfig{
			Config: config(id), Upstream: addresses.upstream, Aliases: addresses.aliases,
		}, device)
		require.NoError(t, err)
		network.agents, network.agentDevices = append(network.agents, a), append(network.agentDevices, device)
		state.VMs = append(state.VMs, intent.VM{Status: intent.Active, InventoryVM: intent.InventoryVM{
			ID: id, Role: vm.RoleUpstream, Service: "orders", Zone: testZone, Slots: 7, Connections: 100,
		}})
		members = append(members, view.Member{
			VM: id, Role: vm.RoleUpstream, Service: "orders", Zone: testZone, Address: a.cfg.Address, Incarnation: a.cfg.Incarnation, Status: view.Ready,
		})
	}
	network.startNodes(view.Build(state, members, nil, time.Now()))
	return network
}

func openLink(t *testing.T) *udplink.Link {
	t.Helper()
	l, err := udplink.Open(loopback)
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func openPackets(t *testing.T, sink netip.AddrPort) *udplink.PacketSource {
	t.Helper()
	s, err := udplink.OpenPackets(loopback, sink)
	require.NoError(t, err)
	return s
}

func (n *testNetwork) startNodes(v *view.View) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, len(n.agents)+1)
	n.balancer.core.SetView(v)
	go func() { done <- n.balancer.Run(ctx) }()
	for _, a := range n.agents {
		a.core().SetView(v)
		go func() { done <- a.Run(ctx) }()
	}
	n.t.Cleanup(func() {
		if n.t.Failed() {
			n.t.Logf("balancer %v", n.balancer.Counters())
			for _, a := range n.agents {
				n.t.Logf("%s %v", a.cfg.VM, a.Counters())
			}
		}
		cancel()
		for range len(n.agents) + 1 {
			require.NoError(n.t, <-done)
		}
	})
	require.Eventually(n.t, func() bool {
		for _, a := range n.agents {
			if a.core().Recovering() {
				return false
			}
		}
		return true
	}, responseTimeout, time.Millisecond)
}

// sendFromCaller sends a packet of the caller to the balancer.
func (n *testNetwork) sendFromCaller(b []byte) {
	require.NoError(n.t, n.callerLink.Send(b, n.balancerDevice.Address()))
}

// receivePacket returns the next packet at a link, with its parsed metadata.
func (n *testNetwork) receivePacket(link *udplink.Link) ([]byte, packet.Meta) {
	n.t.Helper()
	packetBytes := n.nextDatagram(link, responseTimeout)
	require.NotNil(n.t, packetBytes, "no packet arrived")
	var parser packet.Parser
	var meta packet.Meta
	require.NoError(n.t, parser.Parse(packetBytes, &meta))
	return packetBytes, meta
}

// nextDatagram returns the next datagram at a link, or nil after the limit.
func (n *testNetwork) nextDatagram(link *udplink.Link, limit time.Duration) []byte {
	require.NoError(n.t, link.SetReadDeadline(time.Now().Add(limit)))
	batch := udplink.NewBatch()
	if err := link.Receive(batch); err != nil {
		return nil
	}
	return batch.Datagram(0)
}

// sendFromUpstream sends a packet of the upstream to all agents. The agent that owns
// its alias handles it.
func (n *testNetwork) sendFromUpstream(packet []byte) {
	for _, device := range n.agentDevices {
		require.NoError(n.t, n.agentSink.Send(packet, device.Address()))
	}
}

// sumCounters returns the sum of a counter over all nodes.
func (n *testNetwork) sumCounters(name string) int64 {
	total := n.balancer.Counters()[name]
	for _, a := range n.agents {
		total += a.Counters()[name]
	}
	return total
}

func tcpSegment(t testing.TB, source, destination netip.AddrPort, segment layers.TCP, payload string) []byte {
	t.Helper()
	segment.SrcPort, segment.DstPort, segment.Window = layers.TCPPort(source.Port()), layers.TCPPort(destination.Port()), 1000
	return ipPacket(t, source, destination, layers.IPProtocolTCP, &segment, payload)
}

func ipPacket(t testing.TB, source, destination netip.AddrPort, protocol layers.IPProtocol, transport interface {
	gopacket.SerializableLayer
	SetNetworkLayerForChecksum(gopacket.NetworkLayer) error
}, payload string,
) []byte {
	t.Helper()
	from, to := net.IP(source.Addr().AsSlice()), net.IP(destination.Addr().AsSlice())
	var ip interface {
		gopacket.SerializableLayer
		gopacket.NetworkLayer
	} = &layers.IPv4{Version: 4, TTL: 64, Protocol: protocol, SrcIP: from, DstIP: to}
	if source.Addr().Is6() {
		ip = &layers.IPv6{Version: 6, HopLimit: 64, NextHeader: protocol, SrcIP: from, DstIP: to}
	}
	require.NoError(t, transport.SetNetworkLayerForChecksum(ip))
	buffer := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	require.NoError(t, gopacket.SerializeLayers(buffer, options, ip, transport, gopacket.Payload(payload)))
	return buffer.Bytes()
}

// Balancer and agent must change only the addresses in the packets of a TCP exchange.
// The trace must contain every hop.
func TestExchangeThroughBalancerAndAgent(t *testing.T) {
	t.Run("IPv4", func(t *testing.T) { requireTCPExchange(t, ipv4Addresses) })
	t.Run("IPv6", func(t *testing.T) { requireTCPExchange(t, ipv6Addresses) })
}

func requireTCPExchange(t *testing.T, addresses testAddresses) {
	t.Helper()
	network := newTestNetwork(t, service.TCP, addresses)
	network.sendFromCaller(tcpSegment(t, addresses.caller, addresses.virtual, layers.TCP{SYN: true, Seq: 100}, ""))
	_, syn := network.receivePacket(network.agentSink)
	require.Equal(t, addresses.upstream, syn.Destination)
	require.Equal(t, addresses.caller.Port(), syn.Source.Port())
	require.Equal(t, uint32(100), syn.Sequence)
	network.sendFromUpstream(tcpSegment(t, syn.Destination, syn.Source, layers.TCP{SYN: true, ACK: true, Seq: 500, Ack: 101}, ""))
	_, synAck := network.receivePacket(network.agentSink)
	require.Equal(t, addresses.virtual, synAck.Source)
	require.Equal(t, addresses.caller, synAck.Destination)
	require.Equal(t, uint32(500), synAck.Sequence)
	network.sendFromCaller(tcpSegment(t, addresses.caller, addresses.virtual, layers.TCP{ACK: true, PSH: true, Seq: 101, Ack: 501}, "order 1"))
	packetBytes, request := network.receivePacket(network.agentSink)
	require.Equal(t, syn.Source, request.Source)
	require.Equal(t, "order 1", string(packetBytes[len(packetBytes)-7:]))
	names := map[string]bool{}
	for _, s := range network.spans.GetSpans() {
		names[s.Name] = true
		require.Equal(t, network.spans.GetSpans()[0].SpanContext.TraceID(), s.SpanContext.TraceID())
	}
	require.True(t, names["balancer.opening"] && names["agent.opening"], "%v", names)
}

// All datagrams of a flow must reach the same upstream. The source of the replies must
// be the virtual address that the caller used.
func TestDatagramsThroughBalancerAndAgent(t *testing.T) {
	network := newIPv4TestNetwork(t, service.UDP)
	datagram := func(s, d netip.AddrPort, payload string) []byte {
		return ipPacket(t, s, d, layers.IPProtocolUDP, &layers.UDP{SrcPort: layers.UDPPort(s.Port()), DstPort: layers.UDPPort(d.Port())}, payload)
	}
	var first packet.Meta
	for i, payload := range []string{"one", "two", "three"} {
		network.sendFromCaller(datagram(testCaller, testVirtual, payload))
		_, meta := network.receivePacket(network.agentSink)
		if i == 0 {
			first = meta
		}
		require.Equal(t, first.Source, meta.Source)
	}
	network.sendFromUpstream(datagram(first.Destination, first.Source, "answer"))
	packetBytes, meta := network.receivePacket(network.agentSink)
	require.Equal(t, testVirtual, meta.Source)
	require.Equal(t, "answer", string(packetBytes[len(packetBytes)-6:]))
	established, halfOpen := network.agents[0].core().FlowCounts()
	otherEstablished, otherHalfOpen := network.agents[1].core().FlowCounts()
	require.Equal(t, 1, established+halfOpen+otherEstablished+otherHalfOpen)
}

// Invalid input must be dropped without a reply, and must not end a process. Each kind
// of invalid input must be counted under its own reason.
func TestBadInputIsCountedAndDropped(t *testing.T) {
	network := newIPv4TestNetwork(t, service.TCP)
	syn := tcpSegment(t, testCaller, testVirtual, layers.TCP{SYN: true}, "")
	seal := func(h frame.Header, body []byte) []byte {
		b, err := testKeys().Seal(nil, &h, body)
		require.NoError(t, err)
		return b
	}
	header := frame.Header{Kind: frame.KindPacket, Service: 1, Flags: frame.FlagOpening}
	wrongService, staleIncarnation := header, header
	wrongService.Service = 2
	staleIncarnation.Incarnation, staleIncarnation.Flags = 1, frame.FlagHinted
	forged := seal(header, syn)
	forged[len(forged)-1] ^= 1
	unknownService := tcpSegment(t, testCaller, netip.MustParseAddrPort("198.51.100.99:8080"), layers.TCP{SYN: true}, "")
	fragment := append([]byte(nil), syn...)
	fragment[6] |= 0x20
	agent, balancer := network.agents[0].cfg.Address, network.balancerDevice.Address()
	for _, c := range []struct {
		name, counter string
		to            netip.AddrPort
		input         []byte
	}{
		{"truncated frame", "drop.frame.truncated", agent, seal(header, syn)[:10]},
		{"forged frame", "drop.frame.bad_tag", agent, forged},
		{"unknown version", "drop.frame.bad_version", agent, append([]byte{99}, forged[1:]...)},
		{"wrong service", "drop.wrong_service", agent, seal(wrongService, syn)},
		{"packet of another service", "drop.wrong_service", agent, seal(header, unknownService)},
		{"stale incarnation", "drop.stale_incarnation", agent, seal(staleIncarnation, tcpSegment(t, testCaller, testVirtual, layers.TCP{ACK: true}, ""))},
		{"malformed packet in a frame", "drop.packet.malformed", agent, seal(header, syn[:20])},
		{"malformed message", "drop.peer_message", agent, seal(frame.Header{Kind: frame.KindPeer}, []byte{0xff})},
		{"message for a balancer", "drop.unexpected_message", network.balancer.cfg.Address, seal(frame.Header{Kind: frame.KindPeer}, []byte{0xa1, 0x03, 0xa0})},
		{"malformed packet", "drop.packet.malformed", balancer, syn[:15]},
		{"fragment", "drop.packet.fragment", balancer, fragment},
		{"unknown service", "drop.unknown_service", balancer, unknownService},
	} {
		before := network.sumCounters(c.counter)
		require.NoError(t, network.callerLink.Send(c.input, c.to))
		require.Eventually(t, func() bool { return network.sumCounters(c.counter) == before+1 }, responseTimeout, time.Millisecond, "%s: %s", c.name, c.counter)
	}
	require.Nil(t, network.nextDatagram(network.agentSink, noPacketWait), "invalid input reached an upstream")
	require.Nil(t, network.nextDatagram(network.callerLink, noPacketWait), "invalid input got a reply")
}

// A refused opening must be reset. Otherwise its caller would wait as for a lost
// packet.
func TestTrafficOffIsRefused(t *testing.T) {
	network := newIPv4TestNetwork(t, service.TCP)
	viewWithoutTraffic := *network.balancer.core.View()
	viewWithoutTraffic.Services = append([]view.Service(nil), viewWithoutTraffic.Services...)
	viewWithoutTraffic.Services[0].Traffic = false
	network.balancer.core.SetView(&viewWithoutTraffic)
	network.sendFromCaller(tcpSegment(t, testCaller, testVirtual, layers.TCP{SYN: true, Seq: 7}, ""))
	_, meta := network.receivePacket(network.callerLink)
	require.True(t, meta.Flags.Has(packet.RST))
	require.Equal(t, uint32(8), meta.Ack)
}

// An ICMP error must reach the upstream. It must quote the alias and the upstream
// instead of the caller and the virtual address. Otherwise path MTU discovery of the
// upstream fails.
func TestICMPErrorReachesUpstream(t *testing.T) {
	network := newIPv4TestNetwork(t, service.TCP)
	network.sendFromCaller(tcpSegment(t, testCaller, testVirtual, layers.TCP{SYN: true, Seq: 100}, ""))
	_, syn := network.receivePacket(network.agentSink)
	quoted := tcpSegment(t, testVirtual, testCaller, layers.TCP{ACK: true, Seq: 501}, "")
	router := net.IPv4(192, 0, 2, 254)
	ip := &layers.IPv4{Version: 4, TTL: 64, Protocol: layers.IPProtocolICMPv4, SrcIP: router, DstIP: net.IP(testVirtual.Addr().AsSlice())}
	icmp := &layers.ICMPv4{TypeCode: layers.CreateICMPv4TypeCode(layers.ICMPv4TypeDestinationUnreachable, layers.ICMPv4CodeFragmentationNeeded)}
	buffer := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	require.NoError(t, gopacket.SerializeLayers(buffer, options, ip, icmp, gopacket.Payload(quoted[:28])))
	network.sendFromCaller(buffer.Bytes())
	packetBytes, meta := network.receivePacket(network.agentSink)
	require.True(t, meta.Quoted)
	// Parse swaps source and destination of a quoted packet, as if it came from the
	// other side.
	require.Equal(t, syn.Destination, meta.Destination)
	require.Equal(t, syn.Source, meta.Source)
	require.Equal(t, router.To4(), net.IP(packetBytes[12:16]))
}
