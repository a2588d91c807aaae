package agent

import (
	"sync"
	"sync/atomic"
	"time"

	"bramleyhold.example/bramleyhold/internal/event"
	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/peer"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

const (
	// RecoveryTimeout bounds how long packets are buffered during a recovery.
	RecoveryTimeout = 2 * time.Second
	// recoveryDeadline ends the recovery early enough for the interval between two
	// ticks.
	recoveryDeadline = RecoveryTimeout - 50*time.Millisecond
	// minRecoveryBackoff is the interval after which a RecoverRequest is sent
	// again. It doubles with each request up to maxRecoveryBackoff.
	minRecoveryBackoff = 100 * time.Millisecond
	maxRecoveryBackoff = 400 * time.Millisecond
	// maxMissingParts bounds the missing parts that one RecoverRequest lists.
	maxMissingParts = 100
	// restoredSlotTimeout is the time after which a restored flow without a packet
	// releases its slot. The flow may have ended during the restart. Its next
	// packet takes the slot again.
	restoredSlotTimeout = 5 * time.Second
)

// recovery fetches the flows of the previous incarnation from the peers.
type recovery struct {
	// active: packets of unknown flows are buffered.
	active             atomic.Bool
	maxBufferedPackets int

	mu              sync.Mutex
	deadline        int64
	nextRequestAt   int64
	backoff         time.Duration
	bufferedTickets []uint64
	bufferedKeys    []flow.Key
	responses       map[vm.ID]*recoveryResponse
	restoredFlows   int

	// sessions holds the responses to peers that are recovering.
	sessions map[vm.ID]*recoverySession
}

// recoveryResponse is the part of the response of one peer that has arrived.
type recoveryResponse struct {
	receivedParts map[uint32]bool
	// lastPart is the number of the last part, or -1 until it has arrived.
	lastPart int
}

// complete reports whether all parts have arrived.
func (r *recoveryResponse) complete() bool {
	return r != nil && r.lastPart >= 0 && len(r.receivedParts) > r.lastPart
}

// missingParts returns the parts before the last one that have not arrived. It
// returns none until the last part has arrived.
func (r *recoveryResponse) missingParts() []uint32 {
	if r == nil || r.lastPart < 0 {
		return nil
	}
	var missing []uint32
	for i := range r.lastPart {
		if !r.receivedParts[uint32(i)] && len(missing) < maxMissingParts {
			missing = append(missing, uint32(i))
		}
	}
	return missing
}

func newRecovery(enabled bool, limit int) *recovery {
	r := &recovery{maxBufferedPackets: limit, responses: map[vm.ID]*recoveryResponse{}, sessions: map[vm.ID]*recoverySession{}}
	r.active.Store(enabled)
	return r
}

// Recovering reports whether the recovery of flows is in progress. The agent
// has the status starting meanwhile.
func (c *Core) Recovering() bool { return c.recovery.active.Load() }

// bufferDuringRecovery buffers a packet whose flow may still be restored. It
// reports whether the packet was handled.
func (c *Core) bufferDuringRecovery(pkt *callerPacket, out *Actions) bool {
	r := c.recovery
	if !r.active.Load() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.bufferedTickets) >= r.maxBufferedPackets {
		out.drop(BufferFull)
		return true
	}
	ticket := c.lastTicket.Add(1)
	r.bufferedTickets = append(r.bufferedTickets, ticket)
	r.bufferedKeys = append(r.bufferedKeys, pkt.key)
	out.add(Action{Kind: BufferPacket, Flow: pkt.key, Ticket: ticket})
	return true
}

// advanceRecovery sends requests to the peers that have not responded. It ends
// the recovery when all peers have responded or the deadline has passed.
func (c *Core) advanceRecovery(now time.Time, svc *view.Service, out *Actions) {
	r := c.recovery
	c.sendRecoveryParts(now, svc, out)
	if !r.active.Load() {
		return
	}
	nowNanos := now.UnixNano()
	r.mu.Lock()
	if r.deadline == 0 {
		r.deadline = c.firstEventAt.Load() + int64(recoveryDeadline)
		r.nextRequestAt, r.backoff = nowNanos, minRecoveryBackoff
	}
	if nowNanos >= r.deadline || r.allPeersResponded(svc, c.selfHash) {
		r.mu.Unlock()
		c.endRecovery(now, out)
		return
	}
	requestDue := nowNanos >= r.nextRequestAt
	if requestDue {
		r.nextRequestAt = nowNanos + int64(r.backoff)
		r.backoff = min(2*r.backoff, maxRecoveryBackoff)
	}
	r.mu.Unlock()
	if requestDue {
		c.sendRecoverRequests(svc, out)
	}
}

// allPeersResponded reports whether every reachable peer has sent its whole
// response. Just after the start the view may lack peers that the membership
// has not found yet. The view must therefore contain all upstreams of the
// inventory. The lock of the recovery must be held.
func (r *recovery) allPeersResponded(svc *view.Service, self uint64) bool {
	if len(svc.Members) < svc.InventoryCount {
		return false
	}
	for i := range svc.Members {
		upstream := &svc.Members[i]
		if upstream.Hash != self && upstream.Reachable() && !r.responses[upstream.VM].complete() {
			return false
		}
	}
	return true
}

// sendRecoverRequests sends a request to each reachable peer whose response is
// not complete.
func (c *Core) sendRecoverRequests(svc *view.Service, out *Actions) {
	r := c.recovery
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range svc.Members {
		upstream := &svc.Members[i]
		if upstream.Hash == c.selfHash || !upstream.Reachable() || r.responses[upstream.VM].complete() {
			continue
		}
		out.add(Action{Kind: Send, To: upstream.Address, ToVM: upstream.VM, Message: &peer.Message{
			RecoverRequest: &peer.RecoverRequest{Holder: c.cfg.VM, Incarnation: c.cfg.Incarnation, Missing: r.responses[upstream.VM].missingParts()},
		}})
	}
}

// handleRecoverResponse restores the flows of one part of a response. A part
// that arrives after the end of the recovery still restores flows whose key is
// not in use.
func (c *Core) handleRecoverResponse(now time.Time, svc *view.Service, response *peer.RecoverResponse, out *Actions) {
	if response.Incarnation != c.cfg.Incarnation || !c.cfg.Recover {
		out.drop(StaleIncarnation)
		return
	}
	for i := range response.Flows {
		c.restoreFlow(now, svc, &response.Flows[i])
	}
	r := c.recovery
	r.mu.Lock()
	received := r.responses[response.From]
	if received == nil {
		received = &recoveryResponse{receivedParts: map[uint32]bool{}, lastPart: -1}
		r.responses[response.From] = received
	}
	received.receivedParts[response.Part] = true
	if !response.More {
		received.lastPart = int(response.Part)
	}
	done := r.active.Load() && r.allPeersResponded(svc, c.selfHash)
	r.mu.Unlock()
	if done {
		c.endRecovery(now, out)
	}
}

// endRecovery reprocesses the buffered packets in the order of their arrival.
func (c *Core) endRecovery(now time.Time, out *Actions) {
	r := c.recovery
	r.mu.Lock()
	if !r.active.CompareAndSwap(true, false) {
		r.mu.Unlock()
		return
	}
	tickets, keys := r.bufferedTickets, r.bufferedKeys
	r.bufferedTickets, r.bufferedKeys = nil, nil
	restoredCount := r.restoredFlows
	r.mu.Unlock()
	for i, ticket := range tickets {
		out.add(Action{Kind: ReprocessPacket, Flow: keys[i], Ticket: ticket})
	}
	c.scheduleReregistration()
	c.events.recordObject(now, event.Repaired, string(c.cfg.VM), "recovered flows: "+itoa(restoredCount), c.viewRevision())
}

// scheduleReregistration makes this agent register all its flows again.
func (c *Core) scheduleReregistration() {
	for i := range c.flows.shards {
		shard := &c.flows.shards[i]
		shard.mu.Lock()
		shard.registeredFor = nil
		shard.mu.Unlock()
	}
}

// restoreFlow adds a flow of a previous incarnation to the table. It reports
// whether the flow was added.
func (c *Core) restoreFlow(now time.Time, svc *view.Service, record *peer.FlowRecord) bool {
	if record.Key.Virtual != svc.Endpoint.Address || record.Key.Protocol != svc.Endpoint.Protocol.Number() {
		return false
	}
	if started := c.cfg.UpstreamStarted; !started.IsZero() && record.OpenedAt < started.UnixNano() {
		return false
	}
	f := &flowState{
		key: record.Key, hash: c.cfg.Hasher.Hash(record.Key), alias: record.Alias, phase: record.Phase,
		lastPacketAt: now.UnixNano(), openedAt: record.OpenedAt, flags: restored | noPacketSinceRestore | payloadDelivered,
	}
	if c.holds(flowRef{hash: f.hash, key: f.key}) || !c.aliases.reserveAlias(f) {
		return false
	}
	if record.HoldsSlot && f.phase != flow.Closing {
		f.flags |= usesSlot
		c.flows.usedSlots.Add(1)
	}
	if !c.insertFlow(f) {
		c.releaseReservations(f)
		return false
	}
	c.lowerOldestIncarnation(record.Incarnation)
	c.recovery.mu.Lock()
	c.recovery.restoredFlows++
	c.recovery.mu.Unlock()
	return true
}

// lowerOldestIncarnation lowers the oldest incarnation whose frames are
// accepted. Its flows have been restored here.
func (c *Core) lowerOldestIncarnation(incarnation vm.Incarnation) {
	for {
		oldest := c.oldestIncarnation.Load()
		if incarnation == 0 || uint64(incarnation) >= oldest || c.oldestIncarnation.CompareAndSwap(oldest, uint64(incarnation)) {
			return
		}
	}
}
