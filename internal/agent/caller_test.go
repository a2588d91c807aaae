package agent

import (
	"net/netip"
	"slices"
	"time"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/frame"
	"bramleyhold.example/bramleyhold/internal/packet"
)

// caller is a client that sends through the balancer.
type caller struct {
	x   *exchange
	key flow.Key
	seq uint32
}

func (x *exchange) caller(n int) *caller {
	protocol := x.svc().Endpoint.Protocol.Number()
	address := netip.AddrFrom4([4]byte{198, 51, byte(n >> 8), byte(n)})
	return &caller{x: x, seq: 1000, key: flow.Key{Caller: netip.AddrPortFrom(address, uint16(20_000+n%40_000)), Virtual: testVirtual, Protocol: protocol}}
}

func (c *caller) meta(flags packet.TCPFlags, payload int) packet.Meta {
	m := packet.Meta{Source: c.key.Caller, Destination: c.key.Virtual, Protocol: c.key.Protocol, Flags: flags, Sequence: c.seq, PayloadBytes: payload}
	if replies := c.x.replies[c.key]; len(replies) > 0 && flags.Has(packet.ACK) {
		m.Ack = segmentEnd(&replies[len(replies)-1])
	}
	return m
}

// send passes a packet to the member that the balancer would choose.
func (c *caller) send(m packet.Meta) {
	x, svc := c.x, c.x.svc()
	h := frame.Header{Kind: frame.KindPacket, Service: 1, Epoch: x.view.Revision, Origin: x.origin()}
	hash := testHasher.Hash(c.key)
	target := svc.Home(hash)
	if m.Opening() {
		h.Flags = frame.FlagOpening
	}
	if m.Opening() && m.Protocol == packet.ProtocolTCP {
		target = svc.Placer(hash)
	} else if i := svc.Index(x.hints[c.key]); i >= 0 && svc.Members[i].Reachable() {
		target = i
	}
	if target >= 0 {
		x.frame(x.byAddress(svc.Members[target].Address), heldPacket{h: h, m: m})
	}
}

func (x *exchange) origin() uint64 {
	for hash := range x.node(0).core.state.Load().origins {
		return hash
	}
	return 0
}

// connect opens a connection and confirms the handshake.
func (c *caller) connect() {
	c.send(c.meta(packet.SYN, 0))
	c.x.run(30 * time.Millisecond)
	c.seq++
	c.send(c.meta(packet.ACK, 0))
	c.x.run(30 * time.Millisecond)
}

func (c *caller) request(bytes int) {
	c.send(c.meta(packet.ACK, bytes))
	c.seq += uint32(bytes)
	c.x.run(30 * time.Millisecond)
}

func (c *caller) finish() {
	c.send(c.meta(packet.ACK|packet.FIN, 0))
	c.seq++
	c.x.run(10 * time.Millisecond)
	if holder := c.holder(); holder != nil {
		c.x.upstream(holder, packet.Meta{Destination: c.x.alias(holder, c.key), Protocol: 6, Flags: packet.ACK | packet.FIN, Ack: c.seq})
	}
	c.x.run(30 * time.Millisecond)
}

// holder returns the node that holds the flow, or nil.
func (c *caller) holder() *testNode {
	for _, n := range c.x.nodes {
		if !n.down && n.core.holds(flowRef{hash: testHasher.Hash(c.key), key: c.key}) {
			return n
		}
	}
	return nil
}

func (x *exchange) alias(n *testNode, key flow.Key) netip.AddrPort {
	hash := testHasher.Hash(key)
	return n.core.flows.shard(hash).find(hash, key).alias
}

func phaseOf(n *testNode, key flow.Key) flow.Phase {
	hash := testHasher.Hash(key)
	if f := n.core.flows.shard(hash).find(hash, key); f != nil {
		return f.phase
	}
	return 0
}

// holderIndex returns the index of the node that holds the flow.
func (c *caller) holderIndex() int { return slices.Index(c.x.nodes, c.holder()) }
