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
	// halfOpenEvictionAge is the age from which a half-open flow may be evicted
	// for an opening when the connection limit is reached. It equals the interval
	// of SYN-ACK retransmissions.
	halfOpenEvictionAge = time.Second
)

// flowShard is a part of the flow table with its own lock.
type flowShard struct {
	mu sync.Mutex
	// flows is keyed by the hash of the flow key alone, which saves 64 bytes a
	// flow. Of two flows with the same hash only the first is admitted.
	flows map[uint64]*flowState
	wheel expiryWheel
	// halfOpenQueue holds half-open flows in the order of their openings. Flows
	// that have left this phase are skipped when they reach the head.
	halfOpenQueue []*flowState
	// oldestHalfOpenAt is openedAt of the head of halfOpenQueue, or 0.
	oldestHalfOpenAt atomic.Int64
	// registeredFor is the service for whose members the flows were last
	// registered, or nil.
	registeredFor *view.Service
}

// find returns the flow with the key, or nil.
func (shard *flowShard) find(hash uint64, key flow.Key) *flowState {
	f := shard.flows[hash]
	if f == nil || f.key != key {
		return nil
	}
	return f
}

// trimHalfOpenQueue removes flows that are no longer half-open from the head of
// the queue.
func (shard *flowShard) trimHalfOpenQueue() {
	ended := 0
	for ended < len(shard.halfOpenQueue) && (shard.halfOpenQueue[ended].phase != flow.HalfOpen || shard.halfOpenQueue[ended].flags.has(removed)) {
		shard.halfOpenQueue[ended] = nil
		ended++
	}
	shard.halfOpenQueue = shard.halfOpenQueue[ended:]
	if len(shard.halfOpenQueue) == 0 {
		shard.halfOpenQueue = nil
		shard.oldestHalfOpenAt.Store(0)
		return
	}
	shard.oldestHalfOpenAt.Store(shard.halfOpenQueue[0].openedAt)
}

// flowTable holds the flows of this agent and counts them by phase.
type flowTable struct {
	shards           [flowShards]flowShard
	establishedCount atomic.Int64
	halfOpenCount    atomic.Int64
	closingCount     atomic.Int64
	// usedSlots counts the flows that use a slot of the upstream.
	usedSlots      atomic.Int64
	lastExpiryStep atomic.Int64
}

func newFlowTable() *flowTable {
	t := &flowTable{}
	for i := range t.shards {
		t.shards[i].flows = map[uint64]*flowState{}
	}
	return t
}

func (t *flowTable) shard(hash uint64) *flowShard { return &t.shards[hash%flowShards] }

// counts returns the phases that count against the connection limit.
func (t *flowTable) counts() (established, halfOpen int) {
	return int(t.establishedCount.Load()), int(t.halfOpenCount.Load())
}

// deliveryResult is the result of deliverToHeldFlow.
type deliveryResult uint8

const (
	flowNotHeld deliveryResult = iota
	packetHandled
	// flowHeldElsewhere: the packet belongs to a flow with the same key at another
	// agent.
	flowHeldElsewhere
)

// deliverToHeldFlow delivers a packet of a caller to the upstream if this agent
// holds its flow. A packet that is dropped counts as handled, too.
func (c *Core) deliverToHeldFlow(pkt *callerPacket, out *Actions) deliveryResult {
	shard := c.flows.shard(pkt.hash)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	f := shard.find(pkt.hash, pkt.key)
	if f == nil {
		return flowNotHeld
	}
	switch f.matchPacket(pkt.meta) {
	case reusesPort:
		c.removeFlow(shard, f)
		return flowNotHeld
	case delayedOpening:
		out.drop(LateOpening)
		return packetHandled
	case matchesFlowElsewhere:
		return flowHeldElsewhere
	}
	c.applyCallerPacket(shard, f, pkt)
	out.add(Action{Kind: Deliver, Flow: pkt.key, Alias: f.alias, Upstream: c.cfg.Upstream})
	return packetHandled
}

// applyCallerPacket updates a flow from a packet of its caller. An ICMP error,
// which quotes a packet, changes nothing.
func (c *Core) applyCallerPacket(shard *flowShard, f *flowState, pkt *callerPacket) {
	meta := pkt.meta
	if meta.Quoted {
		return
	}
	c.recordPacketTime(f, pkt.nowNanos)
	if meta.Flags.Has(packet.RST) && meta.Protocol == packet.ProtocolTCP {
		if f.acceptsReset(meta) {
			c.setPhase(shard, f, flow.Closing)
		}
		return
	}
	f.trackCallerSequence(meta)
	if f.phase == flow.HalfOpen && completesHandshake(meta) {
		c.setPhase(shard, f, flow.Established)
	}
	if meta.Flags.Has(packet.FIN) && !meta.IsOpening() {
		f.flags |= callerFINSeen
	}
	c.closeIfBothFinished(shard, f)
}

// completesHandshake reports whether a packet of the caller completes the TCP
// handshake.
func completesHandshake(meta *packet.Meta) bool {
	if meta.Protocol != packet.ProtocolTCP {
		return false
	}
	return meta.Flags.Has(packet.ACK) && !meta.Flags.Has(packet.SYN)
}

// closeIfBothFinished closes a flow in which both sides have sent a FIN.
func (c *Core) closeIfBothFinished(shard *flowShard, f *flowState) {
	if f.phase == flow.Established && f.flags.has(callerFINSeen|upstreamFINSeen) {
		c.setPhase(shard, f, flow.Closing)
	}
}

// replyToCaller sends a packet of the upstream to the caller. It reports false
// if no flow has the alias.
func (c *Core) replyToCaller(now time.Time, alias netip.AddrPort, meta *packet.Meta, out *Actions) bool {
	f := c.aliases.owner(alias, meta.Protocol)
	if f == nil {
		return false
	}
	shard := c.flows.shard(f.hash)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if shard.flows[f.hash] != f {
		// The flow has ended, or is not in the table yet.
		return false
	}
	c.applyUpstreamPacket(shard, f, meta, now.UnixNano())
	out.add(Action{Kind: Reply, Flow: f.key, Alias: f.alias})
	return true
}

// applyUpstreamPacket updates a flow from a packet of the upstream.
func (c *Core) applyUpstreamPacket(shard *flowShard, f *flowState, meta *packet.Meta, nowNanos int64) {
	if meta.Quoted {
		return
	}
	c.recordPacketTime(f, nowNanos)
	c.openingCounters.count(meta)
	if meta.Protocol == packet.ProtocolUDP {
		if f.phase == flow.HalfOpen {
			c.setPhase(shard, f, flow.Established)
		}
		return
	}
	f.trackUpstreamSequence(meta)
	if meta.Flags.Has(packet.RST) {
		c.setPhase(shard, f, flow.Closing)
		return
	}
	if meta.Flags.Has(packet.FIN) {
		f.flags |= upstreamFINSeen
	}
	c.closeIfBothFinished(shard, f)
}

// setPhase changes the phase of a flow and the counts of the table. A flow
// never leaves the closing phase.
func (c *Core) setPhase(shard *flowShard, f *flowState, newPhase flow.Phase) {
	if f.phase == newPhase || f.phase == flow.Closing {
		return
	}
	oldPhase := f.phase
	c.flows.addToPhaseCount(oldPhase, -1)
	c.flows.addToPhaseCount(newPhase, 1)
	f.phase = newPhase
	if oldPhase == flow.HalfOpen {
		shard.trimHalfOpenQueue()
	}
	if newPhase == flow.Closing {
		c.releaseSlot(f)
	} else {
		c.registrationUpdates.addConfirmed(f)
	}
	shard.wheel.unlink(f)
	shard.wheel.link(f, c.nextCheckAt(f))
}

// idleDeadline returns the time at which a flow ends if no packet arrives.
func (c *Core) idleDeadline(f *flowState) int64 {
	return f.lastPacketAt + int64(f.idleTimeout(&c.cfg.Timeouts))
}

// nextCheckAt returns the time at which expireFlows has to check a flow.
func (c *Core) nextCheckAt(f *flowState) int64 {
	if f.flags.has(noPacketSinceRestore | usesSlot) {
		return min(c.idleDeadline(f), f.lastPacketAt+int64(restoredSlotTimeout))
	}
	return c.idleDeadline(f)
}

// recordPacketTime sets the time of the last packet of a flow. The first packet
// after a restore takes a released slot again.
func (c *Core) recordPacketTime(f *flowState, nowNanos int64) {
	f.lastPacketAt = nowNanos
	if !f.flags.has(noPacketSinceRestore) {
		return
	}
	f.flags &^= noPacketSinceRestore
	if f.flags.has(slotReleased) {
		f.flags &^= slotReleased
		f.flags |= usesSlot
		c.flows.usedSlots.Add(1)
	}
}

// releaseSlot releases the slot of a flow, if it uses one.
func (c *Core) releaseSlot(f *flowState) {
	if f.flags.has(usesSlot) {
		f.flags &^= usesSlot
		c.flows.usedSlots.Add(-1)
		c.loadReporter.urgentChange.Store(true)
	}
}

// addToPhaseCount adds delta to the count of a phase.
func (t *flowTable) addToPhaseCount(phase flow.Phase, delta int64) {
	switch phase {
	case flow.HalfOpen:
		t.halfOpenCount.Add(delta)
	case flow.Established:
		t.establishedCount.Add(delta)
	case flow.Closing:
		t.closingCount.Add(delta)
	}
}

// insertFlow adds a flow to the table. If the flow uses a slot, the calling
// function has reserved it. It reports false if another flow has the hash.
func (c *Core) insertFlow(f *flowState) bool {
	shard := c.flows.shard(f.hash)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if _, exists := shard.flows[f.hash]; exists {
		return false
	}
	shard.flows[f.hash] = f
	c.flows.addToPhaseCount(f.phase, 1)
	if f.phase == flow.HalfOpen {
		shard.halfOpenQueue = append(shard.halfOpenQueue, f)
		shard.trimHalfOpenQueue()
	}
	shard.wheel.link(f, c.nextCheckAt(f))
	return true
}

// removeFlow removes a flow from the table. The lock of its shard must be held.
func (c *Core) removeFlow(shard *flowShard, f *flowState) {
	shard.wheel.unlink(f)
	c.removeUnlinkedFlow(shard, f)
}

// removeUnlinkedFlow is removeFlow for a flow that is not linked in the wheel.
func (c *Core) removeUnlinkedFlow(shard *flowShard, f *flowState) {
	delete(shard.flows, f.hash)
	c.flows.addToPhaseCount(f.phase, -1)
	c.releaseSlot(f)
	f.flags |= removed
	if f.phase == flow.HalfOpen {
		shard.trimHalfOpenQueue()
	}
	c.aliases.release(f)
	c.registrationUpdates.addEnded(flowRef{hash: f.hash, key: f.key})
}

// evictOldestHalfOpen removes the oldest half-open flow if it was opened before
// a time. It never removes a flow in another phase.
func (c *Core) evictOldestHalfOpen(openedBefore int64) bool {
	oldestShard, oldestAt := -1, int64(0)
	for i := range c.flows.shards {
		if t := c.flows.shards[i].oldestHalfOpenAt.Load(); t != 0 && t < openedBefore && (oldestShard < 0 || t < oldestAt) {
			oldestShard, oldestAt = i, t
		}
	}
	if oldestShard < 0 {
		return false
	}
	shard := &c.flows.shards[oldestShard]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.trimHalfOpenQueue()
	if len(shard.halfOpenQueue) == 0 {
		return false
	}
	c.removeFlow(shard, shard.halfOpenQueue[0])
	return true
}

// expireFlows removes flows that have been idle for longer than their timeout.
// It checks only flows whose bucket of the wheel is due.
func (c *Core) expireFlows(now time.Time) {
	nowNanos := now.UnixNano()
	step := wheelStepAt(nowNanos)
	if c.flows.lastExpiryStep.Swap(step) == step {
		return
	}
	for i := range c.flows.shards {
		shard := &c.flows.shards[i]
		shard.mu.Lock()
		shard.wheel.visitDue(nowNanos, func(f *flowState) {
			if c.idleDeadline(f) <= nowNanos {
				c.removeUnlinkedFlow(shard, f)
				return
			}
			if f.flags.has(noPacketSinceRestore|usesSlot) && c.nextCheckAt(f) <= nowNanos {
				c.releaseSlot(f)
				f.flags |= slotReleased
			}
			shard.wheel.link(f, c.nextCheckAt(f))
		})
		shard.mu.Unlock()
	}
}
