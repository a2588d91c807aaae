package node

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/frame"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/udplink"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
	"bramleyhold.example/bramleyhold/internal/zone"
)

var (
	loopback    = netip.MustParseAddrPort("127.0.0.1:0")
	testZone    = zone.ID{Region: "local", Name: "a"}
	testVirtual = netip.MustParseAddrPort("198.51.100.10:8080")
	testCaller  = netip.MustParseAddrPort("192.0.2.10:40000")
)

const (
	innerPayloadBytes = 1200
	benchmarkMembers  = 7
)

func testKeys() *frame.Keys {
	return &frame.Keys{Current: 1, Secrets: map[uint8]frame.Secret{1: {K0: 1, K1: 2, MAC: [32]byte{3}}}}
}

func newInnerPacket(tb testing.TB) []byte {
	tb.Helper()
	ip := &layers.IPv4{Version: 4, TTL: 64, Protocol: layers.IPProtocolTCP, SrcIP: net.IP(testCaller.Addr().AsSlice()), DstIP: net.IP(testVirtual.Addr().AsSlice())}
	tcp := &layers.TCP{SrcPort: layers.TCPPort(testCaller.Port()), DstPort: layers.TCPPort(testVirtual.Port()), ACK: true, Window: 1000}
	require.NoError(tb, tcp.SetNetworkLayerForChecksum(ip))
	buffer := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	require.NoError(tb, gopacket.SerializeLayers(buffer, options, ip, tcp, gopacket.Payload(make([]byte, innerPayloadBytes))))
	return buffer.Bytes()
}

// newTestBalancer returns a balancer and its packet source. Its view has one service
// whose members have sockets that are never read.
func newTestBalancer(tb testing.TB, members int) (*Balancer, *udplink.PacketSource) {
	tb.Helper()
	source, err := udplink.OpenPackets(loopback, loopback)
	require.NoError(tb, err)
	b, err := NewBalancer(Config{
		VM: "balancer-1", Zone: testZone, Address: loopback, Keys: testKeys(), Hasher: flow.Hasher{K0: 1, K1: 2}, Log: discardLog(),
	}, source)
	require.NoError(tb, err)
	tb.Cleanup(func() { _ = source.Close(); _ = b.transport.link.Close() })
	state := &intent.State{Revision: 1, Services: []intent.Service{{
		ID: 1, Name: "orders", Endpoint: service.Endpoint{Address: testVirtual, Protocol: service.TCP}, Traffic: true, Contract: service.DefaultContract(),
	}}}
	var liveMembers []view.Member
	for i := range members {
		sink, err := udplink.Open(loopback)
		require.NoError(tb, err)
		tb.Cleanup(func() { _ = sink.Close() })
		id := vm.ID("orders-" + string(rune('a'+i)))
		state.VMs = append(state.VMs, intent.VM{Status: intent.Active, InventoryVM: intent.InventoryVM{ID: id, Zone: testZone, Role: vm.RoleUpstream, Service: "orders", Slots: 7, Connections: 2000}})
		liveMembers = append(liveMembers, view.Member{VM: id, Zone: testZone, Role: vm.RoleUpstream, Service: "orders", Address: sink.Address(), Status: view.Ready})
	}
	b.core.SetView(view.Build(state, liveMembers, nil, time.Now()))
	return b, source
}

// fillReceiveBuffer keeps the receive buffer of an address full until the test ends.
func fillReceiveBuffer(tb testing.TB, to netip.AddrPort, packet []byte) {
	tb.Helper()
	link, err := udplink.Open(loopback)
	require.NoError(tb, err)
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		queue := link.NewQueue()
		for {
			select {
			case <-stop:
				return
			default:
				_ = queue.Add(append(queue.Next(), packet...), to)
			}
		}
	}()
	tb.Cleanup(func() { close(stop); <-done; _ = link.Close() })
}

// BenchmarkForwarding compares the packet rate of a balancer with that of a relay,
// which reads and writes the same packets in the same batches without processing
// them. The target is a rate of at least 0.8 of the relay's.
func BenchmarkForwarding(b *testing.B) {
	b.Run("relay", func(b *testing.B) {
		sink, err := udplink.Open(loopback)
		require.NoError(b, err)
		link, err := udplink.Open(loopback)
		require.NoError(b, err)
		defer func() { _ = sink.Close(); _ = link.Close() }()
		fillReceiveBuffer(b, link.Address(), newInnerPacket(b))
		batch, queue, handled := udplink.NewBatch(), link.NewQueue(), 0
		b.ReportAllocs()
		b.ResetTimer()
		for handled < b.N {
			require.NoError(b, link.Receive(batch))
			for i := range batch.Len() {
				_ = queue.Add(append(queue.Next(), batch.Datagram(i)...), sink.Address())
			}
			_ = queue.Flush()
			handled += batch.Len()
		}
		b.ReportMetric(float64(handled)/b.Elapsed().Seconds(), "packets/s")
	})
	b.Run("balancer", func(b *testing.B) {
		balancer, source := newTestBalancer(b, benchmarkMembers)
		fillReceiveBuffer(b, source.Address(), newInnerPacket(b))
		f, batch, handled := balancer.newForwarder(), udplink.NewBatch(), 0
		b.ReportAllocs()
		b.ResetTimer()
		for handled < b.N {
			require.NoError(b, source.ReceiveBatch(batch))
			now := time.Now()
			for i := range batch.Len() {
				f.handlePacket(now, batch.Datagram(i))
			}
			_ = f.sendQueue.Flush()
			handled += batch.Len()
		}
		require.Equal(b, int64(handled), f.forwardedCounter.Count())
		b.ReportMetric(float64(handled)/b.Elapsed().Seconds(), "packets/s")
	})
}

// Openings must be shed while the receive queue grows. They must not be shed after a
// single burst.
func TestFullBatchesShedOpenings(t *testing.T) {
	full := 0
	for range fullBatchesAtSaturation {
		full = countFullBatches(full, udplink.BatchSize)
	}
	require.Equal(t, fullBatchesAtSaturation, full)
	require.Equal(t, fullBatchesAtSaturation, countFullBatches(full, udplink.BatchSize))
	require.Zero(t, countFullBatches(full, udplink.BatchSize-1))
}

func discardLog() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logrus.NewEntry(logger)
}
