package agent

import (
	"net/netip"
	"slices"
	"time"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/frame"
	"bramleyhold.example/bramleyhold/internal/packet"
)

// testCaller is a caller that sends packets through the balancer.
type testCaller struct {
	cluster *testCluster
	key     flow.Key
	seq     uint32
}

func (cluster *testCluster) caller(n int) *testCaller {
	protocol := cluster.service().Endpoint.Protocol.Number()
	address := netip.AddrFrom4([4]byte{198, 51, byte(n >> 8), byte(n)})
	return &testCaller{cluster: cluster, seq: 1000, key: flow.Key{Caller: netip.AddrPortFrom(address, uint16(20_000+n%40_000)), Virtual: testVirtual, Protocol: protocol}}
}

func (caller *testCaller) meta(flags packet.TCPFlags, payload int) packet.Meta {
	meta := packet.Meta{Source: caller.key.Caller, Destination: caller.key.Virtual, Protocol: caller.key.Protocol, Flags: flags, Sequence: caller.seq, PayloadBytes: payload}
	if replies := caller.cluster.replies[caller.key]; len(replies) > 0 && flags.Has(packet.ACK) {
		meta.Ack = segmentEndSeq(&replies[len(replies)-1])
	}
	return meta
}

// send sends a packet to the member that the balancer would choose.
func (caller *testCaller) send(meta packet.Meta) {
	cluster, svc := caller.cluster, caller.cluster.service()
	header := frame.Header{Kind: frame.KindPacket, Service: 1, Epoch: cluster.view.Revision, Origin: cluster.balancerHash()}
	hash := testHasher.Hash(caller.key)
	target := svc.Home(hash)
	if meta.IsOpening() {
		header.Flags = frame.FlagOpening
	}
	if meta.IsOpening() && meta.Protocol == packet.ProtocolTCP {
		target = svc.Placer(hash)
	} else if i := svc.Index(cluster.hints[caller.key]); i >= 0 && svc.Members[i].Reachable() {
		target = i
	}
	if target >= 0 {
		cluster.sendFrame(cluster.nodeByAddress(svc.Members[target].Address), testPacket{header: header, meta: meta})
	}
}

func (cluster *testCluster) balancerHash() uint64 {
	for hash := range cluster.node(0).core.viewState.Load().balancerZones {
		return hash
	}
	return 0
}

// connect opens a connection and completes the handshake.
func (caller *testCaller) connect() {
	caller.send(caller.meta(packet.SYN, 0))
	caller.cluster.advance(30 * time.Millisecond)
	caller.seq++
	caller.send(caller.meta(packet.ACK, 0))
	caller.cluster.advance(30 * time.Millisecond)
}

func (caller *testCaller) request(bytes int) {
	caller.send(caller.meta(packet.ACK, bytes))
	caller.seq += uint32(bytes)
	caller.cluster.advance(30 * time.Millisecond)
}

func (caller *testCaller) closeConnection() {
	caller.send(caller.meta(packet.ACK|packet.FIN, 0))
	caller.seq++
	caller.cluster.advance(10 * time.Millisecond)
	if holder := caller.holder(); holder != nil {
		caller.cluster.receiveFromUpstream(holder, packet.Meta{Destination: caller.cluster.aliasOf(holder, caller.key), Protocol: 6, Flags: packet.ACK | packet.FIN, Ack: caller.seq})
	}
	caller.cluster.advance(30 * time.Millisecond)
}

// holder returns the node that holds the flow, or nil.
func (caller *testCaller) holder() *testNode {
	for _, node := range caller.cluster.nodes {
		if !node.down && node.core.holds(flowRef{hash: testHasher.Hash(caller.key), key: caller.key}) {
			return node
		}
	}
	return nil
}

func (cluster *testCluster) aliasOf(node *testNode, key flow.Key) netip.AddrPort {
	hash := testHasher.Hash(key)
	return node.core.flows.shard(hash).find(hash, key).alias
}

func phaseOf(node *testNode, key flow.Key) flow.Phase {
	hash := testHasher.Hash(key)
	if f := node.core.flows.shard(hash).find(hash, key); f != nil {
		return f.phase
	}
	return 0
}

// holderIndex returns the index of the node that holds the flow.
func (caller *testCaller) holderIndex() int {
	return slices.Index(caller.cluster.nodes, caller.holder())
}
