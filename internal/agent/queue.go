package agent

import (
	"slices"
	"time"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/packet"
	"bramleyhold.example/bramleyhold/internal/view"
)

const (
	// synRetransmitInterval is the first retransmission interval of a SYN. Each
	// further interval is twice as long.
	synRetransmitInterval = time.Second
	// synRetransmitSlack is added to the interval before a missing retransmission
	// means that the caller gave up.
	synRetransmitSlack = 500 * time.Millisecond
)

// queuedOpening is an opening that waits at the placer for a free slot.
type queuedOpening struct {
	ticket uint64
	ref    flowRef
	// balancerHash is the member hash of the balancer that received the opening.
	balancerHash    uint64
	protocol        uint8
	synSequence     uint32
	hasPayload      bool
	lastSYNAt       int64
	retransmissions uint
	deadline        int64
	// reprocessing: the opening has left the queue for a chosen member and its
	// packet is being handled again. The placement counts as load of the member. No
	// slot is reserved, so the member may still decline the opening.
	reprocessing bool
	choice       placementChoice
	memberHash   uint64
}

// callerGaveUp reports whether the caller has stopped retransmitting its SYN.
func (opening *queuedOpening) callerGaveUp(nowNanos int64) bool {
	if opening.protocol != packet.ProtocolTCP {
		return false
	}
	return nowNanos-opening.lastSYNAt > int64(synRetransmitInterval<<min(opening.retransmissions, 6)+synRetransmitSlack)
}

// openingQueue holds openings in the order of their arrival. The lock of the
// placer protects it.
type openingQueue struct {
	limit    int
	openings []*queuedOpening
	byKey    map[flow.Key]*queuedOpening
}

func newOpeningQueue(limit int) openingQueue {
	return openingQueue{limit: limit, byKey: map[flow.Key]*queuedOpening{}}
}

func (queue *openingQueue) len() int { return len(queue.openings) }

// remove removes an opening, whether it still waits or is being reprocessed.
func (queue *openingQueue) remove(opening *queuedOpening) {
	delete(queue.byKey, opening.ref.key)
	if i := slices.Index(queue.openings, opening); i >= 0 {
		queue.openings = slices.Delete(queue.openings, i, i+1)
	}
}

// decideQueued decides about an opening of which a copy is already queued. It
// returns false if there is none.
func (c *Core) decideQueued(pkt *callerPacket, out *Actions) (placementDecision, bool) {
	queue := &c.placer.queue
	opening, ok := queue.byKey[pkt.key]
	if !ok {
		return placementDecision{}, false
	}
	if pkt.meta.Protocol == packet.ProtocolTCP && opening.synSequence != pkt.meta.Sequence {
		// The caller opens another connection from the same port.
		queue.remove(opening)
		out.add(Action{Kind: DropBuffered, Flow: pkt.key, Ticket: opening.ticket, Reason: CallerGaveUp})
		return placementDecision{}, false
	}
	if !opening.reprocessing {
		opening.lastSYNAt = pkt.nowNanos
		opening.retransmissions++
		return placementDecision{outcome: dropDuplicate}, true
	}
	queue.remove(opening)
	i := pkt.svc.IndexByHash(opening.memberHash)
	if i < 0 || !pkt.svc.Members[i].AcceptsOpenings() {
		return placementDecision{}, false
	}
	c.placer.recentPlacements.put(pkt, opening.memberHash)
	return placementDecision{outcome: placeOnMember, choice: placementChoice{member: i, placementNumber: opening.choice.placementNumber}}, true
}

// enqueueOpening adds an opening to the queue. One that was returned to the
// placer is put first, because it has waited longest. Its queue deadline starts
// anew.
func (c *Core) enqueueOpening(pkt *callerPacket) placementDecision {
	queue := &c.placer.queue
	if pkt.svc.Contract.QueueDeadline <= 0 {
		return placementDecision{outcome: refusePlacement, reason: NoSlot}
	}
	if queue.len() >= queue.limit {
		return placementDecision{outcome: refusePlacement, reason: QueueFull}
	}
	opening := &queuedOpening{
		ticket: c.lastTicket.Add(1), ref: flowRef{hash: pkt.hash, key: pkt.key}, balancerHash: pkt.header.Origin,
		protocol: pkt.meta.Protocol, synSequence: pkt.meta.Sequence, hasPayload: pkt.meta.PayloadBytes > 0,
		lastSYNAt: pkt.nowNanos, deadline: pkt.nowNanos + int64(pkt.svc.Contract.QueueDeadline),
	}
	queue.byKey[pkt.key] = opening
	if pkt.header.Passes > 0 {
		queue.openings = slices.Insert(queue.openings, 0, opening)
	} else {
		queue.openings = append(queue.openings, opening)
	}
	return placementDecision{outcome: queueOpening, ticket: opening.ticket}
}

// placeQueuedOpenings chooses members for queued openings while a member has a
// free slot, and reprocesses their packets.
func (c *Core) placeQueuedOpenings(now time.Time, out *Actions) {
	placer := c.placer
	if placer.queuedCount.Load() == 0 {
		return
	}
	svc := c.currentService()
	if svc == nil || !svc.Traffic {
		return
	}
	placer.mu.Lock()
	defer placer.mu.Unlock()
	for placer.queue.len() > 0 {
		opening := placer.queue.openings[0]
		chosen, _ := c.chooseMember(now, svc, opening.ref.hash, opening.balancerHash, 0)
		if chosen.member < 0 {
			break
		}
		placer.queue.openings = placer.queue.openings[1:]
		opening.reprocessing, opening.choice, opening.memberHash = true, chosen, svc.MemberHashes[chosen.member]
		out.add(Action{Kind: ReprocessPacket, Flow: opening.ref.key, Ticket: opening.ticket})
	}
	placer.queuedCount.Store(int64(placer.queue.len()))
}

// expireQueuedOpenings refuses openings whose deadline has passed. It drops
// openings whose caller has given up.
func (c *Core) expireQueuedOpenings(now time.Time, svc *view.Service, out *Actions) {
	placer := c.placer
	if placer.queuedCount.Load() == 0 {
		return
	}
	nowNanos := now.UnixNano()
	var expired []*queuedOpening
	placer.mu.Lock()
	remaining := placer.queue.openings[:0]
	for _, opening := range placer.queue.openings {
		switch {
		case nowNanos >= opening.deadline:
			delete(placer.queue.byKey, opening.ref.key)
			expired = append(expired, opening)
		case opening.callerGaveUp(nowNanos):
			delete(placer.queue.byKey, opening.ref.key)
			out.add(Action{Kind: DropBuffered, Flow: opening.ref.key, Ticket: opening.ticket, Reason: CallerGaveUp})
		default:
			remaining = append(remaining, opening)
		}
	}
	clear(placer.queue.openings[len(remaining):])
	placer.queue.openings = remaining
	placer.queuedCount.Store(int64(placer.queue.len()))
	placer.mu.Unlock()
	for _, opening := range expired {
		c.refuseOrDrop(now, c.checkRefusal(now, svc, opening.ref, opening.hasPayload), QueueDeadline, opening.ticket, out)
	}
}

// cancelQueued drops a queued opening whose caller has sent a reset.
func (c *Core) cancelQueued(pkt *callerPacket, out *Actions) bool {
	placer := c.placer
	if placer.queuedCount.Load() == 0 {
		return false
	}
	placer.mu.Lock()
	defer placer.mu.Unlock()
	opening, ok := placer.queue.byKey[pkt.key]
	if !ok || opening.reprocessing || pkt.meta.Sequence-opening.synSequence > 1 {
		return false
	}
	placer.queue.remove(opening)
	placer.queuedCount.Store(int64(placer.queue.len()))
	out.add(Action{Kind: DropBuffered, Flow: pkt.key, Ticket: opening.ticket, Reason: CallerGaveUp})
	return true
}
