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
	alias4, upstream4 = netip.MustParseAddrPort("203.0.113.5:40000"), netip.MustParseAddrPort("203.0.113.200:8080")
	caller6, virtual6 = netip.MustParseAddrPort("[2001:db8::10]:40000"), netip.MustParseAddrPort("[2001:db8:1::1]:80")
	alias6, upstream6 = netip.MustParseAddrPort("[2001:db8:2::5]:40000"), netip.MustParseAddrPort("[2001:db8:2::200]:8080")
)

func buildPacket(t testing.TB, source, destination netip.AddrPort, transport gopacket.SerializableLayer, protocol layers.IPProtocol, payload []byte) []byte {
	t.Helper()
	var ip gopacket.SerializableLayer
	var network gopacket.NetworkLayer
	if source.Addr().Is4() {
		header := &layers.IPv4{Version: 4, TTL: 64, Protocol: protocol, SrcIP: net.IP(source.Addr().AsSlice()), DstIP: net.IP(destination.Addr().AsSlice())}
		ip, network = header, header
	} else {
		header := &layers.IPv6{Version: 6, HopLimit: 64, NextHeader: protocol, SrcIP: net.IP(source.Addr().AsSlice()), DstIP: net.IP(destination.Addr().AsSlice())}
		ip, network = header, header
	}
	if header, ok := transport.(interface {
		SetNetworkLayerForChecksum(gopacket.NetworkLayer) error
	}); ok {
		require.NoError(t, header.SetNetworkLayerForChecksum(network))
	}
	buffer := gopacket.NewSerializeBuffer()
	require.NoError(t, gopacket.SerializeLayers(buffer, gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}, ip, transport, gopacket.Payload(payload)))
	return bytes.Clone(buffer.Bytes())
}

func tcpPacket(t testing.TB, source, destination netip.AddrPort, payload []byte, options ...layers.TCPOption) []byte {
	return buildPacket(t, source, destination, &layers.TCP{
		SrcPort: layers.TCPPort(source.Port()), DstPort: layers.TCPPort(destination.Port()), Seq: 100, Ack: 200, SYN: true, Window: 1000, Options: options,
	}, layers.IPProtocolTCP, payload)
}

func udpPacket(t testing.TB, source, destination netip.AddrPort, payload []byte) []byte {
	return buildPacket(t, source, destination, &layers.UDP{SrcPort: layers.UDPPort(source.Port()), DstPort: layers.UDPPort(destination.Port())}, layers.IPProtocolUDP, payload)
}

// Guards against wrong checksums after the addresses and ports of a packet were
// replaced: the receiving kernel would drop the packet. The result must equal a
// packet that was built with the new addresses.
func TestRewriteMatchesNewlyBuiltPacket(t *testing.T) {
	for _, c := range []struct {
		name                                           string
		source, destination, newSource, newDestination netip.AddrPort
		build                                          func(testing.TB, netip.AddrPort, netip.AddrPort, []byte) []byte
	}{
		{"tcp4", caller4, virtual4, alias4, upstream4, func(t testing.TB, s, d netip.AddrPort, p []byte) []byte { return tcpPacket(t, s, d, p) }},
		{"tcp6", caller6, virtual6, alias6, upstream6, func(t testing.TB, s, d netip.AddrPort, p []byte) []byte { return tcpPacket(t, s, d, p) }},
		{"udp4", caller4, virtual4, alias4, upstream4, udpPacket},
		{"udp6", caller6, virtual6, alias6, upstream6, udpPacket},
	} {
		for _, payload := range [][]byte{nil, []byte("odd"), bytes.Repeat([]byte{0xff}, 500)} {
			b := c.build(t, c.source, c.destination, payload)
			require.NoError(t, Rewrite(b, c.newSource, c.newDestination), c.name)
			require.Equal(t, c.build(t, c.newSource, c.newDestination, payload), b, c.name)
		}
	}
}

// Guards against segments larger than the tunnel MTU, and against a wrong checksum
// after the MSS option was lowered.
func TestClampMSS(t *testing.T) {
	mss := func(v uint16) layers.TCPOption {
		return layers.TCPOption{OptionType: layers.TCPOptionKindMSS, OptionLength: 4, OptionData: []byte{byte(v >> 8), byte(v)}}
	}
	nop := layers.TCPOption{OptionType: layers.TCPOptionKindNop}
	for name, c := range map[string]struct {
		options  []layers.TCPOption
		expected []layers.TCPOption
	}{
		"lowered":     {[]layers.TCPOption{mss(1460)}, []layers.TCPOption{mss(1260)}},
		"odd offset":  {[]layers.TCPOption{nop, mss(1460)}, []layers.TCPOption{nop, mss(1260)}},
		"below limit": {[]layers.TCPOption{mss(536)}, []layers.TCPOption{mss(536)}},
		"no options":  {nil, nil},
	} {
		b := tcpPacket(t, caller4, virtual4, nil, c.options...)
		ClampMSS(b, 1300)
		require.Equal(t, tcpPacket(t, caller4, virtual4, nil, c.expected...), b, name)
	}
}

// Guards against packets that loop because their TTL is not decremented or not
// checked, and against a wrong header checksum after the decrement.
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
	headerSum := sumWords(b[:20])
	require.Equal(t, uint32(0xffff), headerSum>>16+headerSum&0xffff)
}

// Guards against invalid packets that are read past their end or that are
// accepted as packets of a flow.
func TestParseRejects(t *testing.T) {
	validPacket := tcpPacket(t, caller4, virtual4, []byte("payload"))
	withChange := func(f func(b []byte)) []byte { b := bytes.Clone(validPacket); f(b); return b }
	for name, c := range map[string]struct {
		input  []byte
		reason Reason
	}{
		"empty":          {nil, Malformed},
		"version":        {withChange(func(b []byte) { b[0] = 0x95 }), Malformed},
		"truncated":      {validPacket[:30], Malformed},
		"trailing bytes": {append(bytes.Clone(validPacket), 0), Malformed},
		"header length":  {withChange(func(b []byte) { b[0] = 0x4f }), Malformed},
		"tcp offset":     {withChange(func(b []byte) { b[32] = 0xf0 }), Malformed},
		"first fragment": {withChange(func(b []byte) { b[6] = 0x20 }), Fragment},
		"fragment":       {withChange(func(b []byte) { b[7] = 1 }), Fragment},
		"protocol":       {withChange(func(b []byte) { b[9] = 47 }), UnsupportedProtocol},
	} {
		var p Parser
		var m Meta
		err := p.Parse(c.input, &m)
		var rejected *Error
		require.True(t, errors.As(err, &rejected), "%s: %v", name, err)
		require.Equal(t, c.reason, rejected.Reason, name)
	}
}

// Guards against ICMP errors that are assigned to a flow other than the one that
// they quote.
func TestRewriteOfQuotedPacket(t *testing.T) {
	router := netip.MustParseAddrPort("192.0.2.254:0")
	quotedPacket := tcpPacket(t, virtual4, caller4, nil)[:28]
	icmpError := &layers.ICMPv4{TypeCode: layers.CreateICMPv4TypeCode(layers.ICMPv4TypeDestinationUnreachable, layers.ICMPv4CodeFragmentationNeeded)}
	b := buildPacket(t, router, virtual4, icmpError, layers.IPProtocolICMPv4, quotedPacket)
	var p Parser
	var m Meta
	require.NoError(t, p.Parse(b, &m))
	require.True(t, m.Quoted)
	require.Equal(t, caller4, m.Source)
	require.Equal(t, virtual4, m.Destination)
	require.NoError(t, RewriteQuote(b, router.Addr(), upstream4.Addr(), upstream4, alias4))
	expected := buildPacket(t, router, upstream4, icmpError, layers.IPProtocolICMPv4, quotedTCPPacket(t, upstream4, alias4))
	require.Equal(t, expected[:28+20], b[:28+20])
	checksum := sumWords(b[20:])
	for checksum > 0xffff {
		checksum = checksum>>16 + checksum&0xffff
	}
	require.Equal(t, uint32(0xffff), checksum)
}

// quotedTCPPacket returns the IP header and the first 8 bytes of the TCP header.
func quotedTCPPacket(t testing.TB, source, destination netip.AddrPort) []byte {
	return tcpPacket(t, source, destination, nil)[:28]
}

// Guards against resets that the network stack of the caller ignores because they
// do not match its packet.
func TestResetMatchesRejectedPacket(t *testing.T) {
	for _, c := range []struct{ caller, virtual netip.AddrPort }{{caller4, virtual4}, {caller6, virtual6}} {
		var p Parser
		var m, reply Meta
		syn := tcpPacket(t, c.caller, c.virtual, nil)
		require.NoError(t, p.Parse(syn, &m))
		rawReply, err := BuildReset(syn, &m)
		require.NoError(t, err)
		require.NoError(t, p.Parse(rawReply, &reply))
		require.Equal(t, RST|ACK, reply.Flags)
		require.Equal(t, uint32(101), reply.Ack)
		require.Equal(t, c.virtual, reply.Source)
		datagram := udpPacket(t, c.caller, c.virtual, []byte("x"))
		require.NoError(t, p.Parse(datagram, &m))
		rawReply, err = BuildReset(datagram, &m)
		require.NoError(t, err)
		require.NoError(t, p.Parse(rawReply, &reply))
		require.True(t, reply.Quoted)
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
		_ = Rewrite(raw, alias4, upstream4)
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
		_ = Rewrite(b, alias4, upstream4)
		_ = RewriteQuote(b, caller4.Addr(), upstream4.Addr(), upstream4, alias4)
	})
}
