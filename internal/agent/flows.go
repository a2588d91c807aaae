package agent

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/packet"
	"bramleyhold.example/bramleyhold/internal/view"
)

const (
	flowShards = 64
	// staleHalfOpen is the age from which a half-open flow gives way to an
	// opening at the connection limit: the SYN-ACK retransmission interval.
	staleHalfOpen = time.Second
)

type flowShard struct {
	mu sync.Mutex
	// flows is keyed by the keyed hash alone, which saves 64 bytes a flow. Of
	// two flows with one hash only the first is admitted.
	flows map[uint64]*flowState
	wheel wheel
	// halfOpen holds half-open flows in the order of their openings. Flows in
	// another phase are skipped when they reach the head.
	halfOpen []*flowState
	// oldest is openedAt of the head of halfOpen, or 0.
	oldest atomic.Int64
	// announced is the service as of which registrars know the flows.
	announced *view.Service
}

func (s *flowShard) find(hash uint64, key flow.Key) *flowState {
	f := s.flows[hash]
	if f == nil || f.key != key {
		return nil
	}
	return f
}

// trimHalfOpen drops the heads of the queue that are no longer half-open.
func (s *flowShard) trimHalfOpen() {
	n := 0
	for n < len(s.halfOpen) && (s.halfOpen[n].phase != flow.HalfOpen || s.halfOpen[n].marks.has(removed)) {
		s.halfOpen[n] = nil
		n++
	}
	s.halfOpen = s.halfOpen[n:]
	if len(s.halfOpen) == 0 {
		s.halfOpen = nil
		s.oldest.Store(0)
		return
	}
	s.oldest.Store(s.halfOpen[0].openedAt)
}

type flowTable struct {
	shards      [flowShards]flowShard
	established atomic.Int64
	halfOpen    atomic.Int64
	closing     atomic.Int64
	slots       atomic.Int64
	lastExpiry  atomic.Int64
}

func newFlowTable() *flowTable {
	t := &flowTable{}
	for i := range t.shards {
		t.shards[i].flows = map[uint64]*flowState{}
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
	// mismatch: the packet belongs to a flow with this key at another agent.
	mismatch
)

// deliver hands a packet of a caller to the flow that it belongs to.
func (c *Core) deliver(a *arrival, out *Actions) deliverResult {
	s := c.flows.shard(a.hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.find(a.hash, a.key)
	if f == nil {
		return notHeld
	}
	switch f.fit(a.m) {
	case reusesPort:
		c.remove(s, f)
		return notHeld
	case lateOpening:
		out.drop(LateOpening)
		return delivered
	case fitsOther:
		return mismatch
	}
	c.advanceCaller(s, f, a)
	out.add(Action{Kind: Deliver, Flow: a.key, Alias: f.alias, Upstream: c.cfg.Upstream})
	return delivered
}

func (c *Core) advanceCaller(s *flowShard, f *flowState, a *arrival) {
	m := a.m
	if m.Quoted {
		return
	}
	c.touch(f, a.nanos)
	if m.Flags.Has(packet.RST) && m.Protocol == packet.ProtocolTCP {
		if f.believesReset(m) {
			c.setPhase(s, f, flow.Closing)
		}
		return
	}
	f.trackCaller(m)
	if f.phase == flow.HalfOpen && confirms(m) {
		c.setPhase(s, f, flow.Established)
	}
	if m.Flags.Has(packet.FIN) && !m.Opening() {
		f.marks |= callerFinished
	}
	c.closeIfFinished(s, f)
}

// confirms reports whether a packet of the caller completes the handshake.
func confirms(m *packet.Meta) bool {
	if m.Protocol != packet.ProtocolTCP {
		return false
	}
	return m.Flags.Has(packet.ACK) && !m.Flags.Has(packet.SYN)
}

func (c *Core) closeIfFinished(s *flowShard, f *flowState) {
	if f.phase == flow.Established && f.marks.has(callerFinished|upstreamFinished) {
		c.setPhase(s, f, flow.Closing)
	}
}

// reply hands a packet of the upstream to the caller.
func (c *Core) reply(now time.Time, alias netip.AddrPort, m *packet.Meta, out *Actions) bool {
	f := c.aliases.owner(alias, m.Protocol)
	if f == nil {
		return false
	}
	s := c.flows.shard(f.hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.flows[f.hash] != f {
		// The flow has ended, or is not yet installed.
		return false
	}
	c.advanceUpstream(s, f, m, now.UnixNano())
	out.add(Action{Kind: Reply, Flow: f.key, Alias: f.alias})
	return true
}

func (c *Core) advanceUpstream(s *flowShard, f *flowState, m *packet.Meta, nanos int64) {
	if m.Quoted {
		return
	}
	c.touch(f, nanos)
	c.observed.note(m)
	if m.Protocol == packet.ProtocolUDP {
		if f.phase == flow.HalfOpen {
			c.setPhase(s, f, flow.Established)
		}
		return
	}
	f.trackUpstream(m)
	if m.Flags.Has(packet.RST) {
		c.setPhase(s, f, flow.Closing)
		return
	}
	if m.Flags.Has(packet.FIN) {
		f.marks |= upstreamFinished
	}
	c.closeIfFinished(s, f)
}

// setPhase moves a flow to another phase and keeps the counts. A flow does not
// leave the closing phase.
func (c *Core) setPhase(s *flowShard, f *flowState, p flow.Phase) {
	if f.phase == p || f.phase == flow.Closing {
		return
	}
	before := f.phase
	c.flows.count(before, -1)
	c.flows.count(p, 1)
	f.phase = p
	if before == flow.HalfOpen {
		s.trimHalfOpen()
	}
	if p == flow.Closing {
		c.freeSlot(f)
	} else {
		c.outbox.confirm(f)
	}
	s.wheel.take(f)
	s.wheel.put(f, c.checkAt(f))
}

func (c *Core) deadline(f *flowState) int64 { return f.lastSeen + int64(f.idleLimit(&c.cfg.Timeouts)) }

// checkAt is when the expiry has to look at a flow.
func (c *Core) checkAt(f *flowState) int64 {
	if f.marks.has(quiet | holdsSlot) {
		return min(c.deadline(f), f.lastSeen+int64(quietLimit))
	}
	return c.deadline(f)
}

// touch notes a packet of a flow.
func (c *Core) touch(f *flowState, nanos int64) {
	f.lastSeen = nanos
	if !f.marks.has(quiet) {
		return
	}
	f.marks &^= quiet
	if f.marks.has(slotReturned) {
		f.marks &^= slotReturned
		f.marks |= holdsSlot
		c.flows.slots.Add(1)
	}
}

func (c *Core) freeSlot(f *flowState) {
	if f.marks.has(holdsSlot) {
		f.marks &^= holdsSlot
		c.flows.slots.Add(-1)
		c.load.urgent.Store(true)
	}
}

func (t *flowTable) count(p flow.Phase, delta int64) {
	switch p {
	case flow.HalfOpen:
		t.halfOpen.Add(delta)
	case flow.Established:
		t.established.Add(delta)
	case flow.Closing:
		t.closing.Add(delta)
	}
}

// add installs a flow. The caller of add has reserved its slot, if it holds
// one. It reports false if another flow has the hash.
func (c *Core) add(f *flowState) bool {
	s := c.flows.shard(f.hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, taken := s.flows[f.hash]; taken {
		return false
	}
	s.flows[f.hash] = f
	c.flows.count(f.phase, 1)
	if f.phase == flow.HalfOpen {
		s.halfOpen = append(s.halfOpen, f)
		s.trimHalfOpen()
	}
	s.wheel.put(f, c.checkAt(f))
	return true
}

// remove ends a flow. The lock of its shard is held.
func (c *Core) remove(s *flowShard, f *flowState) {
	s.wheel.take(f)
	c.forget(s, f)
}

// forget is remove for a flow that the wheel has unlinked.
func (c *Core) forget(s *flowShard, f *flowState) {
	delete(s.flows, f.hash)
	c.flows.count(f.phase, -1)
	c.freeSlot(f)
	f.marks |= removed
	if f.phase == flow.HalfOpen {
		s.trimHalfOpen()
	}
	c.aliases.release(f)
	c.outbox.ended(flowRef{hash: f.hash, key: f.key})
}

// evictHalfOpen drops the oldest half-open flow that was opened before a time.
// It never touches a flow in another phase.
func (c *Core) evictHalfOpen(before int64) bool {
	oldest, at := -1, int64(0)
	for i := range c.flows.shards {
		if t := c.flows.shards[i].oldest.Load(); t != 0 && t < before && (oldest < 0 || t < at) {
			oldest, at = i, t
		}
	}
	if oldest < 0 {
		return false
	}
	s := &c.flows.shards[oldest]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trimHalfOpen()
	if len(s.halfOpen) == 0 {
		return false
	}
	c.remove(s, s.halfOpen[0])
	return true
}

// expire removes flows that have been idle for longer than their limit. It
// looks only at those whose slot of the wheel has come due.
func (c *Core) expire(now time.Time) {
	nanos := now.UnixNano()
	step := wheelTime(nanos)
	if c.flows.lastExpiry.Swap(step) == step {
		return
	}
	for i := range c.flows.shards {
		s := &c.flows.shards[i]
		s.mu.Lock()
		s.wheel.advance(nanos, func(f *flowState) {
			if c.deadline(f) <= nanos {
				c.forget(s, f)
				return
			}
			if f.marks.has(quiet|holdsSlot) && c.checkAt(f) <= nanos {
				c.freeSlot(f)
				f.marks |= slotReturned
			}
			s.wheel.put(f, c.checkAt(f))
		})
		s.mu.Unlock()
	}
}
