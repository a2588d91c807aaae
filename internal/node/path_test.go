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
	answerLimit = 5 * time.Second
	// quietTime is how long a test waits before it takes silence for a drop.
	quietTime = 200 * time.Millisecond
)

// testPath is one balancer and two agents on loopback. Packets of the caller
// and of the upstreams are made and read by the test.
type testPath struct {
	t        *testing.T
	at       pathAddresses
	balancer *Balancer
	agents   []*Agent
	caller   *udplink.Link
	// upstream gets what agents write: packets for upstreams and answers.
	upstream *udplink.Link
	devices  []*udplink.PacketSource
	packets  *udplink.PacketSource
	spans    *tracetest.InMemoryExporter
}

func newTestPath(t *testing.T, protocol service.Protocol) *testPath {
	t.Helper()
	return newTestPathAt(t, protocol, addresses4)
}

// pathAddresses are the addresses of a test path in one IP version.
type pathAddresses struct {
	caller, virtual, upstream netip.AddrPort
	aliases                   netip.Prefix
}

var (
	addresses4 = pathAddresses{
		caller: testCaller, virtual: testVirtual,
		upstream: netip.MustParseAddrPort("203.0.113.1:9000"), aliases: netip.MustParsePrefix("203.0.113.128/25"),
	}
	addresses6 = pathAddresses{
		caller: netip.MustParseAddrPort("[2001:db8:1::10]:40000"), virtual: netip.MustParseAddrPort("[2001:db8:2::1]:8080"),
		upstream: netip.MustParseAddrPort("[2001:db8:3::1]:9000"), aliases: netip.MustParsePrefix("2001:db8:4::/112"),
	}
)

func newTestPathAt(t *testing.T, protocol service.Protocol, at pathAddresses) *testPath {
	t.Helper()
	p := &testPath{t: t, at: at, spans: tracetest.NewInMemoryExporter()}
	provider := sdktrace.NewTracerProvider(sdktrace.WithSyncer(p.spans))
	config := func(id vm.ID) Config {
		return Config{
			VM: id, Zone: testZone, Service: "orders", Address: loopback, Keys: testKeys(), Hasher: flow.Hasher{K0: 1, K1: 2},
			Log: discardLog(), Metrics: metrics.NewRegistry(), Tracer: telemetry.NewTracer(provider), TraceEvery: 1,
		}
	}
	p.caller, p.upstream = openLink(t), openLink(t)
	p.packets = openPackets(t, p.caller.Address())
	var err error
	p.balancer, err = NewBalancer(config("balancer-1"), p.packets)
	require.NoError(t, err)
	state := &intent.State{Revision: 1, Services: []intent.Service{{
		ID: 1, Name: "orders", Endpoint: service.Endpoint{Address: at.virtual, Protocol: protocol}, Traffic: true,
		Contract: service.Contract{Idempotent: true, Shape: service.ShortRequests, QueueDeadline: time.Second, Priority: service.PreferSurvival},
	}}}
	members := []view.Member{{VM: "balancer-1", Role: vm.RoleBalancer, Zone: testZone, Address: p.balancer.cfg.Address, Status: view.Ready}}
	state.VMs = append(state.VMs, intent.VM{Status: intent.Active, Machine: intent.Machine{ID: "balancer-1", Role: vm.RoleBalancer, Zone: testZone}})
	for _, id := range []vm.ID{"orders-1", "orders-2"} {
		device := openPackets(t, p.upstream.Address())
		a, err := NewAgent(AgentConfig{
			Config: config(id), Upstream: at.upstream, Aliases: at.aliases,
		}, device)
		require.NoError(t, err)
		p.agents, p.devices = append(p.agents, a), append(p.devices, device)
		state.VMs = append(state.VMs, intent.VM{Status: intent.Active, Machine: intent.Machine{
			ID: id, Role: vm.RoleUpstream, Service: "orders", Zone: testZone, Slots: 7, Connections: 100,
		}})
		members = append(members, view.Member{
			VM: id, Role: vm.RoleUpstream, Service: "orders", Zone: testZone, Address: a.cfg.Address, Incarnation: a.cfg.Incarnation, Status: view.Ready,
		})
	}
	p.run(view.Build(state, members, nil, time.Now()))
	return p
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

func (p *testPath) run(v *view.View) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, len(p.agents)+1)
	p.balancer.core.SetView(v)
	go func() { done <- p.balancer.Run(ctx) }()
	for _, a := range p.agents {
		a.core().SetView(v)
		go func() { done <- a.Run(ctx) }()
	}
	p.t.Cleanup(func() {
		if p.t.Failed() {
			p.t.Logf("balancer %v", p.balancer.Counters())
			for _, a := range p.agents {
				p.t.Logf("%s %v", a.cfg.VM, a.Counters())
			}
		}
		cancel()
		for range len(p.agents) + 1 {
			require.NoError(p.t, <-done)
		}
	})
	require.Eventually(p.t, func() bool {
		for _, a := range p.agents {
			if a.core().Recovering() {
				return false
			}
		}
		return true
	}, answerLimit, time.Millisecond)
}

// send hands a packet of the caller to the balancer.
func (p *testPath) send(b []byte) { require.NoError(p.t, p.caller.Send(b, p.packets.Address())) }

// receive returns the next packet at a link, with what Parse sees of it.
func (p *testPath) receive(l *udplink.Link) ([]byte, packet.Meta) {
	p.t.Helper()
	b := p.next(l, answerLimit)
	require.NotNil(p.t, b, "no packet arrived")
	var parser packet.Parser
	var m packet.Meta
	require.NoError(p.t, parser.Parse(b, &m))
	return b, m
}

// next returns the next datagram at a link, or nil after the limit.
func (p *testPath) next(l *udplink.Link, limit time.Duration) []byte {
	require.NoError(p.t, l.SetReadDeadline(time.Now().Add(limit)))
	batch := udplink.NewBatch()
	if err := l.Receive(batch); err != nil {
		return nil
	}
	return batch.Datagram(0)
}

// answer hands a packet of the upstream to the agent that owns the alias.
func (p *testPath) answer(b []byte) {
	for _, d := range p.devices {
		require.NoError(p.t, p.upstream.Send(b, d.Address()))
	}
}

// counters adds up a counter of all nodes.
func (p *testPath) counter(name string) int64 {
	total := p.balancer.Counters()[name]
	for _, a := range p.agents {
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

// Guards against a TCP exchange whose packets change on the way in anything
// but the addresses, and against a trace that loses a hop.
func TestExchangeThroughBalancerAndAgent(t *testing.T) {
	t.Run("IPv4", func(t *testing.T) { requireExchange(t, addresses4) })
	t.Run("IPv6", func(t *testing.T) { requireExchange(t, addresses6) })
}

func requireExchange(t *testing.T, at pathAddresses) {
	t.Helper()
	p := newTestPathAt(t, service.TCP, at)
	p.send(tcpSegment(t, at.caller, at.virtual, layers.TCP{SYN: true, Seq: 100}, ""))
	_, syn := p.receive(p.upstream)
	require.Equal(t, at.upstream, syn.Destination)
	require.Equal(t, at.caller.Port(), syn.Source.Port())
	require.Equal(t, uint32(100), syn.Sequence)
	p.answer(tcpSegment(t, syn.Destination, syn.Source, layers.TCP{SYN: true, ACK: true, Seq: 500, Ack: 101}, ""))
	_, synAck := p.receive(p.upstream)
	require.Equal(t, at.virtual, synAck.Source)
	require.Equal(t, at.caller, synAck.Destination)
	require.Equal(t, uint32(500), synAck.Sequence)
	p.send(tcpSegment(t, at.caller, at.virtual, layers.TCP{ACK: true, PSH: true, Seq: 101, Ack: 501}, "order 1"))
	b, request := p.receive(p.upstream)
	require.Equal(t, syn.Source, request.Source)
	require.Equal(t, "order 1", string(b[len(b)-7:]))
	names := map[string]bool{}
	for _, s := range p.spans.GetSpans() {
		names[s.Name] = true
		require.Equal(t, p.spans.GetSpans()[0].SpanContext.TraceID(), s.SpanContext.TraceID())
	}
	require.True(t, names["balancer.opening"] && names["agent.opening"], "%v", names)
}

// Guards against datagrams of one flow that reach two upstreams, and answers
// that come from another address than the one that was asked.
func TestDatagramsThroughBalancerAndAgent(t *testing.T) {
	p := newTestPath(t, service.UDP)
	datagram := func(s, d netip.AddrPort, payload string) []byte {
		return ipPacket(t, s, d, layers.IPProtocolUDP, &layers.UDP{SrcPort: layers.UDPPort(s.Port()), DstPort: layers.UDPPort(d.Port())}, payload)
	}
	var first packet.Meta
	for i, payload := range []string{"one", "two", "three"} {
		p.send(datagram(testCaller, testVirtual, payload))
		_, m := p.receive(p.upstream)
		if i == 0 {
			first = m
		}
		require.Equal(t, first.Source, m.Source)
	}
	p.answer(datagram(first.Destination, first.Source, "answer"))
	b, m := p.receive(p.upstream)
	require.Equal(t, testVirtual, m.Source)
	require.Equal(t, "answer", string(b[len(b)-6:]))
	established, halfOpen := p.agents[0].core().Flows()
	otherEstablished, otherHalfOpen := p.agents[1].core().Flows()
	require.Equal(t, 1, established+halfOpen+otherEstablished+otherHalfOpen)
}

// Guards against bad input that is delivered, answered or ends a process. Each
// kind has a counter of its own.
func TestBadInputIsCountedAndDropped(t *testing.T) {
	p := newTestPath(t, service.TCP)
	syn := tcpSegment(t, testCaller, testVirtual, layers.TCP{SYN: true}, "")
	seal := func(h frame.Header, body []byte) []byte {
		b, err := testKeys().Seal(nil, &h, body)
		require.NoError(t, err)
		return b
	}
	header := frame.Header{Kind: frame.KindPacket, Service: 1, Flags: frame.FlagOpening}
	wrongService, stale := header, header
	wrongService.Service = 2
	stale.Incarnation, stale.Flags = 1, frame.FlagHinted
	forged := seal(header, syn)
	forged[len(forged)-1] ^= 1
	elsewhere := tcpSegment(t, testCaller, netip.MustParseAddrPort("198.51.100.99:8080"), layers.TCP{SYN: true}, "")
	fragment := append([]byte(nil), syn...)
	fragment[6] |= 0x20
	agent, balancer := p.agents[0].cfg.Address, p.packets.Address()
	for _, c := range []struct {
		name, counter string
		to            netip.AddrPort
		input         []byte
	}{
		{"truncated frame", "drop.frame.truncated", agent, seal(header, syn)[:10]},
		{"forged frame", "drop.frame.bad_tag", agent, forged},
		{"unknown version", "drop.frame.bad_version", agent, append([]byte{99}, forged[1:]...)},
		{"wrong service", "drop.wrong_service", agent, seal(wrongService, syn)},
		{"packet of another service", "drop.wrong_service", agent, seal(header, elsewhere)},
		{"stale incarnation", "drop.stale_incarnation", agent, seal(stale, tcpSegment(t, testCaller, testVirtual, layers.TCP{ACK: true}, ""))},
		{"malformed packet in a frame", "drop.packet.malformed", agent, seal(header, syn[:20])},
		{"malformed message", "drop.peer_message", agent, seal(frame.Header{Kind: frame.KindPeer}, []byte{0xff})},
		{"message for a balancer", "drop.unexpected_message", p.balancer.cfg.Address, seal(frame.Header{Kind: frame.KindPeer}, []byte{0xa1, 0x03, 0xa0})},
		{"malformed packet", "drop.packet.malformed", balancer, syn[:15]},
		{"fragment", "drop.packet.fragment", balancer, fragment},
		{"unknown service", "drop.unknown_service", balancer, elsewhere},
	} {
		before := p.counter(c.counter)
		require.NoError(t, p.caller.Send(c.input, c.to))
		require.Eventually(t, func() bool { return p.counter(c.counter) == before+1 }, answerLimit, time.Millisecond, "%s: %s", c.name, c.counter)
	}
	require.Nil(t, p.next(p.upstream, quietTime), "bad input reached an upstream")
	require.Nil(t, p.next(p.caller, quietTime), "bad input was answered")
}

// Guards against a refusal that the caller cannot tell from a lost packet.
func TestTrafficOffIsRefused(t *testing.T) {
	p := newTestPath(t, service.TCP)
	off := *p.balancer.core.View()
	off.Services = append([]view.Service(nil), off.Services...)
	off.Services[0].Traffic = false
	p.balancer.core.SetView(&off)
	p.send(tcpSegment(t, testCaller, testVirtual, layers.TCP{SYN: true, Seq: 7}, ""))
	_, m := p.receive(p.caller)
	require.True(t, m.Flags.Has(packet.RST))
	require.Equal(t, uint32(8), m.Ack)
}

// Guards against ICMP errors that are lost or reach the upstream with the
// addresses of the caller's side, so that path MTU discovery fails.
func TestICMPErrorReachesUpstream(t *testing.T) {
	p := newTestPath(t, service.TCP)
	p.send(tcpSegment(t, testCaller, testVirtual, layers.TCP{SYN: true, Seq: 100}, ""))
	_, syn := p.receive(p.upstream)
	quoted := tcpSegment(t, testVirtual, testCaller, layers.TCP{ACK: true, Seq: 501}, "")
	router := net.IPv4(192, 0, 2, 254)
	ip := &layers.IPv4{Version: 4, TTL: 64, Protocol: layers.IPProtocolICMPv4, SrcIP: router, DstIP: net.IP(testVirtual.Addr().AsSlice())}
	icmp := &layers.ICMPv4{TypeCode: layers.CreateICMPv4TypeCode(layers.ICMPv4TypeDestinationUnreachable, layers.ICMPv4CodeFragmentationNeeded)}
	buffer := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	require.NoError(t, gopacket.SerializeLayers(buffer, options, ip, icmp, gopacket.Payload(quoted[:28])))
	p.send(buffer.Bytes())
	b, m := p.receive(p.upstream)
	require.True(t, m.Quoted)
	// Parse shows the quoted packet as if it had been answered.
	require.Equal(t, syn.Destination, m.Destination)
	require.Equal(t, syn.Source, m.Source)
	require.Equal(t, router.To4(), net.IP(b[12:16]))
}
