package packet

import (
	"bytes"
	"errors"
	"net"
	"net/netip"
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/stretchr/testify/require"
)

var (
	caller4, virtual4 = netip.MustParseAddrPort("192.0.2.10:40000"), netip.MustParseAddrPort("198.51.100.1:80")
	alias4, server4   = netip.MustParseAddrPort("203.0.113.5:40000"), netip.MustParseAddrPort("203.0.113.200:8080")
	caller6, virtual6 = netip.MustParseAddrPort("[2001:db8::10]:40000"), netip.MustParseAddrPort("[2001:db8:1::1]:80")
	alias6, server6   = netip.MustParseAddrPort("[2001:db8:2::5]:40000"), netip.MustParseAddrPort("[2001:db8:2::200]:8080")
)

func build(t testing.TB, source, destination netip.AddrPort, transport gopacket.SerializableLayer, protocol layers.IPProtocol, payload []byte) []byte {
	t.Helper()
	var ip gopacket.SerializableLayer
	var network gopacket.NetworkLayer
	if source.Addr().Is4() {
		l := &layers.IPv4{Version: 4, TTL: 64, Protocol: protocol, SrcIP: net.IP(source.Addr().AsSlice()), DstIP: net.IP(destination.Addr().AsSlice())}
		ip, network = l, l
	} else {
		l := &layers.IPv6{Version: 6, HopLimit: 64, NextHeader: protocol, SrcIP: net.IP(source.Addr().AsSlice()), DstIP: net.IP(destination.Addr().AsSlice())}
		ip, network = l, l
	}
	if l, ok := transport.(interface {
		SetNetworkLayerForChecksum(gopacket.NetworkLayer) error
	}); ok {
		require.NoError(t, l.SetNetworkLayerForChecksum(network))
	}
	buffer := gopacket.NewSerializeBuffer()
	require.NoError(t, gopacket.SerializeLayers(buffer, gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}, ip, transport, gopacket.Payload(payload)))
	return bytes.Clone(buffer.Bytes())
}

func tcpPacket(t testing.TB, source, destination netip.AddrPort, payload []byte, options ...layers.TCPOption) []byte {
	return build(t, source, destination, &layers.TCP{
		SrcPort: layers.TCPPort(source.Port()), DstPort: layers.TCPPort(destination.Port()), Seq: 100, Ack: 200, SYN: true, Window: 1000, Options: options,
	}, layers.IPProtocolTCP, payload)
}

func udpPacket(t testing.TB, source, destination netip.AddrPort, payload []byte) []byte {
	return build(t, source, destination, &layers.UDP{SrcPort: layers.UDPPort(source.Port()), DstPort: layers.UDPPort(destination.Port())}, layers.IPProtocolUDP, payload)
}

// Guards against checksums that a kernel would reject after the addresses, the
// TTL or the segment size were changed: the result must equal a packet that
// was built with the new values.
func TestRewriteEqualsFreshPacket(t *testing.T) {
	for _, c := range []struct {
		name                            string
		source, destination, src2, dst2 netip.AddrPort
		make                            func(testing.TB, netip.AddrPort, netip.AddrPort, []byte) []byte
	}{
		{"tcp4", caller4, virtual4, alias4, server4, func(t testing.TB, s, d netip.AddrPort, p []byte) []byte { return tcpPacket(t, s, d, p) }},
		{"tcp6", caller6, virtual6, alias6, server6, func(t testing.TB, s, d netip.AddrPort, p []byte) []byte { return tcpPacket(t, s, d, p) }},
		{"udp4", caller4, virtual4, alias4, server4, udpPacket},
		{"udp6", caller6, virtual6, alias6, server6, udpPacket},
	} {
		for _, payload := range [][]byte{nil, []byte("odd"), bytes.Repeat([]byte{0xff}, 500)} {
			b := c.make(t, c.source, c.destination, payload)
			require.NoError(t, Rewrite(b, c.src2, c.dst2), c.name)
			require.Equal(t, c.make(t, c.src2, c.dst2, payload), b, c.name)
		}
	}
}

// Guards against segments that do not fit into the tunnel.
func TestClampMSS(t *testing.T) {
	mss := func(v uint16) layers.TCPOption {
		return layers.TCPOption{OptionType: layers.TCPOptionKindMSS, OptionLength: 4, OptionData: []byte{byte(v >> 8), byte(v)}}
	}
	nop := layers.TCPOption{OptionType: layers.TCPOptionKindNop}
	for name, c := range map[string]struct {
		options  []layers.TCPOption
		expected []layers.TCPOption
	}{
		"lowered":    {[]layers.TCPOption{mss(1460)}, []layers.TCPOption{mss(1260)}},
		"odd offset": {[]layers.TCPOption{nop, mss(1460)}, []layers.TCPOption{nop, mss(1260)}},
		"small kept": {[]layers.TCPOption{mss(536)}, []layers.TCPOption{mss(536)}},
		"none":       {nil, nil},
	} {
		b := tcpPacket(t, caller4, virtual4, nil, c.options...)
		ClampMSS(b, 1300)
		require.Equal(t, tcpPacket(t, caller4, virtual4, nil, c.expected...), b, name)
	}
}

// Guards against a TTL that lets packets loop, and against a wrong checksum.
func TestDecrementTTL(t *testing.T) {
	var p Parser
	var m Meta
	for _, b := range [][]byte{tcpPacket(t, caller4, virtual4, nil), tcpPacket(t, caller6, virtual6, nil)} {
		for range 63 {
			require.NoError(t, DecrementTTL(b))
		}
		require.NoError(t, p.Parse(b, &m))
		require.ErrorIs(t, DecrementTTL(b), errTTLExceeded)
	}
	b := tcpPacket(t, caller4, virtual4, nil)
	require.NoError(t, DecrementTTL(b))
	sum := partialSum(b[:20])
	require.Equal(t, uint32(0xffff), sum>>16+sum&0xffff)
}

// Guards against packets that would be read past their end or taken for a flow.
func TestParseRejects(t *testing.T) {
	good := tcpPacket(t, caller4, virtual4, []byte("payload"))
	change := func(f func(b []byte)) []byte { b := bytes.Clone(good); f(b); return b }
	for name, c := range map[string]struct {
		input  []byte
		reason Reason
	}{
		"empty":          {nil, Malformed},
		"version":        {change(func(b []byte) { b[0] = 0x95 }), Malformed},
		"cut":            {good[:30], Malformed},
		"trailing bytes": {append(bytes.Clone(good), 0), Malformed},
		"header length":  {change(func(b []byte) { b[0] = 0x4f }), Malformed},
		"tcp offset":     {change(func(b []byte) { b[32] = 0xf0 }), Malformed},
		"first fragment": {change(func(b []byte) { b[6] = 0x20 }), Fragment},
		"fragment":       {change(func(b []byte) { b[7] = 1 }), Fragment},
		"protocol":       {change(func(b []byte) { b[9] = 47 }), Unsupported},
	} {
		var p Parser
		var m Meta
		err := p.Parse(c.input, &m)
		var rejected *Error
		require.True(t, errors.As(err, &rejected), "%s: %v", name, err)
		require.Equal(t, c.reason, rejected.Reason, name)
	}
}

// Guards against ICMP errors that reach another flow than the one they quote.
func TestQuotedPacket(t *testing.T) {
	router := netip.MustParseAddrPort("192.0.2.254:0")
	quoted := tcpPacket(t, virtual4, caller4, nil)[:28]
	icmp := &layers.ICMPv4{TypeCode: layers.CreateICMPv4TypeCode(layers.ICMPv4TypeDestinationUnreachable, layers.ICMPv4CodeFragmentationNeeded)}
	b := build(t, router, virtual4, icmp, layers.IPProtocolICMPv4, quoted)
	var p Parser
	var m Meta
	require.NoError(t, p.Parse(b, &m))
	require.True(t, m.Quoted)
	require.Equal(t, caller4, m.Source)
	require.Equal(t, virtual4, m.Destination)
	require.NoError(t, RewriteQuote(b, router.Addr(), server4.Addr(), server4, alias4))
	want := build(t, router, server4, icmp, layers.IPProtocolICMPv4, tcpPacketHeader(t, server4, alias4))
	require.Equal(t, want[:28+20], b[:28+20])
	sum := partialSum(b[20:])
	for sum > 0xffff {
		sum = sum>>16 + sum&0xffff
	}
	require.Equal(t, uint32(0xffff), sum)
}

func tcpPacketHeader(t testing.TB, source, destination netip.AddrPort) []byte {
	return tcpPacket(t, source, destination, nil)[:28]
}

// Guards against resets that the caller's stack ignores.
func TestBuildReset(t *testing.T) {
	for _, c := range []struct{ caller, virtual netip.AddrPort }{{caller4, virtual4}, {caller6, virtual6}} {
		var p Parser
		var m, r Meta
		syn := tcpPacket(t, c.caller, c.virtual, nil)
		require.NoError(t, p.Parse(syn, &m))
		b, err := BuildReset(syn, &m)
		require.NoError(t, err)
		require.NoError(t, p.Parse(b, &r))
		require.Equal(t, RST|ACK, r.Flags)
		require.Equal(t, uint32(101), r.Ack)
		require.Equal(t, c.virtual, r.Source)
		datagram := udpPacket(t, c.caller, c.virtual, []byte("x"))
		require.NoError(t, p.Parse(datagram, &m))
		b, err = BuildReset(datagram, &m)
		require.NoError(t, err)
		require.NoError(t, p.Parse(b, &r))
		require.True(t, r.Quoted)
	}
}

func BenchmarkParseRewrite(b *testing.B) {
	raw := tcpPacket(b, caller4, virtual4, make([]byte, 1200))
	var p Parser
	var m Meta
	b.ReportAllocs()
	for b.Loop() {
		if err := p.Parse(raw, &m); err != nil {
			b.Fatal(err)
		}
		_ = Rewrite(raw, alias4, server4)
	}
}

// FuzzPacket guards against panics in parsing and rewriting of arbitrary bytes.
func FuzzPacket(f *testing.F) {
	f.Add(tcpPacket(f, caller4, virtual4, []byte("x")))
	f.Add(udpPacket(f, caller6, virtual6, []byte("x")))
	f.Fuzz(func(_ *testing.T, b []byte) {
		var p Parser
		var m Meta
		if p.Parse(b, &m) == nil {
			_, _ = BuildReset(b, &m)
		}
		ClampMSS(b, 1300)
		_ = DecrementTTL(b)
		_ = Rewrite(b, alias4, server4)
		_ = RewriteQuote(b, caller4.Addr(), server4.Addr(), server4, alias4)
	})
}
