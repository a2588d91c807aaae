package agent

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/packet"
)

const flowShards = 64

// flowRef finds a flow without its key being hashed again.
type flowRef struct {
	hash uint64
	key  flow.Key
}

// flowState is one flow that this agent holds.
type flowState struct {
	phase     flow.Phase
	alias     netip.AddrPort
	holdsSlot bool
	// synAck is the sequence number of the upstream's SYN-ACK.
	synAck      uint32
	synAckSeen  bool
	callerFin   bool
	upstreamFin bool
	lastSeen    time.Time
	createdAt   time.Time
}

type flowShard struct {
	mu    sync.Mutex
	flows map[flow.Key]*flowState
}

type flowTable struct {
	shards      [flowShards]flowShard
	established atomic.Int64
	halfOpen    atomic.Int64
	slots       atomic.Int64
}

func newFlowTable() *flowTable {
	t := &flowTable{}
	for i := range t.shards {
		t.shards[i].flows = map[flow.Key]*flowState{}
	}
	return t
}

func (t *flowTable) shard(hash uint64) *flowShard { return &t.shards[hash%flowShards] }

func (t *flowTable) counts() (established, halfOpen int) {
	return int(t.established.Load()), int(t.halfOpen.Load())
}

type deliverResult uint8

const (
	notHeld deliverResult = iota
	delivered
	// mismatch: a half-open flow whose SYN-ACK the caller did not answer.
	mismatch
)

// deliver hands a packet of a caller to the flow that it belongs to.
func (t *flowTable) deliver(a *arrival, c *Core, out *Actions) deliverResult {
	m, key := a.m, a.key
	s := t.shard(a.hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	f, ok := s.flows[key]
	if !ok {
		return notHeld
	}
	if f.phase == flow.Closing && m.Opening() && key.Protocol == packet.ProtocolTCP {
		// The caller reuses its port for a new connection.
		t.remove(s, a.ref(), f, c)
		return notHeld
	}
	if !f.answers(m) {
		return mismatch
	}
	t.advanceCaller(f, m)
	f.lastSeen = a.now
	out.add(Action{Kind: Deliver, Flow: key, Alias: f.alias, Upstream: c.cfg.Upstream})
	return delivered
}

// answers reports whether a packet of the caller belongs to this flow rather
// than to one with the same key that another agent opened.
func (f *flowState) answers(m *packet.Meta) bool {
	if f.phase != flow.HalfOpen || m.Protocol != packet.ProtocolTCP || m.Quoted {
		return true
	}
	if m.Opening() || !m.Flags.Has(packet.ACK) {
		return true
	}
	if !f.synAckSeen {
		return false
	}
	const windowLimit = 1 << 30
	return m.Ack-(f.synAck+1) < windowLimit
}

func (t *flowTable) advanceCaller(f *flowState, m *packet.Meta) {
	if m.Quoted {
		return
	}
	if f.phase == flow.HalfOpen && confirms(m) {
		t.setPhase(f, flow.Established)
	}
	if m.Flags.Has(packet.RST) {
		t.setPhase(f, flow.Closing)
	}
	if m.Flags.Has(packet.FIN) {
		f.callerFin = true
	}
	t.closeIfFinished(f)
}

// confirms reports whether a packet of the caller completes the handshake.
func confirms(m *packet.Meta) bool {
	if m.Protocol != packet.ProtocolTCP {
		return false
	}
	return m.Flags.Has(packet.ACK) && !m.Flags.Has(packet.SYN)
}

func (t *flowTable) closeIfFinished(f *flowState) {
	if f.callerFin && f.upstreamFin && f.phase == flow.Established {
		t.setPhase(f, flow.Closing)
	}
}

// reply hands a packet of the upstream to the caller.
func (t *flowTable) reply(now time.Time, ref flowRef, m *packet.Meta, c *Core, out *Actions) bool {
	s := t.shard(ref.hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	f, ok := s.flows[ref.key]
	if !ok {
		return false
	}
	t.advanceUpstream(f, m)
	f.lastSeen = now
	c.load.noteChange(t.slots.Load())
	out.add(Action{Kind: Reply, Flow: ref.key, Alias: f.alias})
	return true
}

func (t *flowTable) advanceUpstream(f *flowState, m *packet.Meta) {
	if m.Quoted {
		return
	}
	if m.Protocol == packet.ProtocolUDP && f.phase == flow.HalfOpen {
		t.setPhase(f, flow.Established)
	}
	if m.Flags.Has(packet.SYN | packet.ACK) {
		f.synAck, f.synAckSeen = m.Sequence, true
	}
	if m.Flags.Has(packet.RST) {
		t.setPhase(f, flow.Closing)
	}
	if m.Flags.Has(packet.FIN) {
		f.upstreamFin = true
	}
	t.closeIfFinished(f)
}

// setPhase moves a flow to another phase and keeps the counts.
func (t *flowTable) setPhase(f *flowState, p flow.Phase) {
	if f.phase == p {
		return
	}
	t.count(f.phase, -1)
	t.count(p, 1)
	f.phase = p
	if p == flow.Closing {
		t.freeSlot(f)
	}
}

func (t *flowTable) freeSlot(f *flowState) {
	if f.holdsSlot {
		f.holdsSlot = false
		t.slots.Add(-1)
	}
}

func (t *flowTable) count(p flow.Phase, delta int64) {
	switch p {
	case flow.HalfOpen:
		t.halfOpen.Add(delta)
	case flow.Established:
		t.established.Add(delta)
	}
}

// add installs a flow. The caller of add has reserved its slot, if it holds one.
func (t *flowTable) add(hash uint64, key flow.Key, f *flowState) {
	s := t.shard(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flows[key] = f
	t.count(f.phase, 1)
}

func (t *flowTable) remove(s *flowShard, ref flowRef, f *flowState, c *Core) {
	delete(s.flows, ref.key)
	t.count(f.phase, -1)
	t.freeSlot(f)
	c.aliases.release(f.alias, ref.key.Protocol)
	c.outbox.ended(ref)
}

// expire removes flows that have been idle for longer than their timeout.
func (t *flowTable) expire(now time.Time, c *Core) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for key, f := range s.flows {
			if now.Sub(f.lastSeen) >= c.timeout(key, f) {
				t.remove(s, flowRef{hash: c.cfg.Hasher.Hash(key), key: key}, f, c)
			}
		}
		s.mu.Unlock()
	}
}

func (c *Core) timeout(key flow.Key, f *flowState) time.Duration {
	switch {
	case f.phase == flow.HalfOpen:
		return c.cfg.Timeouts.HalfOpen
	case f.phase == flow.Closing:
		return c.cfg.Timeouts.Closing
	case key.Protocol == packet.ProtocolUDP:
		return c.cfg.Timeouts.Datagram
	}
	return c.cfg.Timeouts.Established
}
