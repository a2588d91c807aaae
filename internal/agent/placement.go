package agent

import (
	"sync"
	"sync/atomic"
	"time"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/packet"
	"bramleyhold.example/bramleyhold/internal/peer"
	"bramleyhold.example/bramleyhold/internal/ranking"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

const (
	// placementConfirmTimeout bounds how long a placement counts as load of the
	// chosen agent without being confirmed. Its frame may be lost.
	placementConfirmTimeout = time.Second
	// recentPlacementLifetime outlasts the first retransmissions of a SYN (after
	// 1 s, 3 s and 7 s).
	recentPlacementLifetime = 10 * time.Second
	// recentPlacementCapacity bounds the stored placements: 10 s of 1,600 openings
	// a second.
	recentPlacementCapacity = 16_384
	// warmUpDuration is the length of the slow start, which ends at WarmUpUntil.
	// An upstream begins it with one slot.
	warmUpDuration = 30 * time.Second
)

// placerState is the state of a placer: the load of each member, the recent
// placements and the openings that wait for a free slot.
type placerState struct {
	mu               sync.Mutex
	memberLoads      map[vm.ID]*memberLoad
	recentPlacements recentPlacements
	queue            openingQueue
	// queuedCount is the length of the queue. It can be read without the lock.
	queuedCount atomic.Int64
}

// memberLoad is what the placer stores about the load of a member: its last
// report and the placements since.
type memberLoad struct {
	lastReport    peer.LoadReport
	hasReport     bool
	lastPlacement uint32
	unconfirmed   []unconfirmedPlacement
	// declinedSinceReport: the member has declined an opening since its last load
	// report.
	declinedSinceReport bool
}

// unconfirmedPlacement is a placement that no load report of the member
// includes yet.
type unconfirmedPlacement struct {
	number   uint32
	chosenAt time.Time
}

func newPlacerState(queueLimit int) *placerState {
	return &placerState{memberLoads: map[vm.ID]*memberLoad{}, queue: newOpeningQueue(queueLimit)}
}

// placementChoice is the index of the chosen member and the number of the
// placement. The number is 0 for a placement that does not count as new load.
type placementChoice struct {
	member          int
	placementNumber uint32
}

// loadOf returns the load of a member and adds an empty one if there is none.
func (placer *placerState) loadOf(id vm.ID) *memberLoad {
	load, ok := placer.memberLoads[id]
	if !ok {
		load = &memberLoad{}
		placer.memberLoads[id] = load
	}
	return load
}

// updateLoad stores a load report and ignores reports older than the last one.
func (placer *placerState) updateLoad(report *peer.LoadReport) {
	placer.mu.Lock()
	defer placer.mu.Unlock()
	load := placer.loadOf(report.VM)
	if load.hasReport && report.Incarnation < load.lastReport.Incarnation {
		return
	}
	if load.hasReport && report.Incarnation == load.lastReport.Incarnation && report.Sequence <= load.lastReport.Sequence {
		return
	}
	if load.hasReport && report.Incarnation != load.lastReport.Incarnation {
		load.unconfirmed = nil
	}
	load.lastReport, load.hasReport, load.declinedSinceReport = *report, true, false
	load.confirmUpTo(report.LastPlacement)
}

// confirmUpTo removes the placements that a load report already includes.
func (load *memberLoad) confirmUpTo(lastConfirmed uint32) {
	remaining := load.unconfirmed[:0]
	for _, p := range load.unconfirmed {
		if int32(p.number-lastConfirmed) > 0 {
			remaining = append(remaining, p)
		}
	}
	load.unconfirmed = remaining
}

// removeUnconfirmed removes a placement on this agent itself, whose own load
// already includes it.
func (placer *placerState) removeUnconfirmed(id vm.ID, number uint32) {
	placer.mu.Lock()
	defer placer.mu.Unlock()
	load := placer.loadOf(id)
	for i := range load.unconfirmed {
		if load.unconfirmed[i].number == number {
			load.unconfirmed = append(load.unconfirmed[:i], load.unconfirmed[i+1:]...)
			return
		}
	}
}

// expireUnconfirmed removes placements older than placementConfirmTimeout.
func (load *memberLoad) expireUnconfirmed(now time.Time) {
	expired := 0
	for expired < len(load.unconfirmed) && now.Sub(load.unconfirmed[expired].chosenAt) >= placementConfirmTimeout {
		expired++
	}
	load.unconfirmed = load.unconfirmed[expired:]
}

// memberCapacity is the load and room of a member as the placer compares them.
type memberCapacity struct {
	busySlots, slots int
	eligible         bool
	// hasRoom: the member has a slot and room in its flow table for an opening.
	hasRoom bool
	// atWarmUpLimit: all slots that the slow start allows now are in use.
	atWarmUpLimit bool
}

// evaluateMember estimates the load of a member from its last report and the
// placements since. The lock of the placer must be held.
func (c *Core) evaluateMember(now time.Time, svc *view.Service, i int, ownLoad *peer.LoadReport) memberCapacity {
	upstream := &svc.Members[i]
	load := c.placer.loadOf(upstream.VM)
	load.expireUnconfirmed(now)
	lastReport := &load.lastReport
	if upstream.Hash == c.selfHash {
		lastReport = ownLoad
	}
	busy, flows, slots := lastReport.Busy+len(load.unconfirmed), lastReport.Flows+len(load.unconfirmed), upstream.Slots
	if lastReport.Slots > 0 {
		slots = min(slots, lastReport.Slots)
	}
	capacity := memberCapacity{busySlots: busy, slots: slots}
	isLeaving := lastReport.Status == view.Leaving || lastReport.Status == view.Left
	capacity.eligible = upstream.AcceptsOpenings() && !isLeaving && !lastReport.Shedding
	capacity.hasRoom = capacity.eligible && !load.declinedSinceReport && flows < upstream.Connections
	if svc.Contract.Shape == service.ShapeShortRequests {
		capacity.hasRoom = capacity.hasRoom && busy < slots
	}
	if svc.Contract.Priority == service.PrioritySurvival && now.Before(upstream.WarmUpUntil) {
		capacity.atWarmUpLimit = busy >= warmUpSlots(slots, upstream.WarmUpUntil.Sub(now))
	}
	return capacity
}

// warmUpSlots returns the number of slots that an upstream may use during its
// slow start. It grows from one slot to all of them.
func warmUpSlots(slots int, remaining time.Duration) int {
	fraction := 1 - min(float64(remaining)/float64(warmUpDuration), 1)
	return max(1, int(fraction*float64(slots)))
}

// chooseMember returns the least busy member with room and counts the placement
// as its load. A member at its warm-up limit is chosen only if no other has
// room. If none has, the index is -1 and the reason is set. The lock of the
// placer must be held.
func (c *Core) chooseMember(now time.Time, svc *view.Service, hash, balancerHash, excluded uint64) (placementChoice, Reason) {
	ownLoad := c.ownLoad(svc)
	var belowLimit, atLimit leastBusyMembers
	reason := NoUpstream
	for member := range svc.Members {
		if excluded&(1<<uint(member)) != 0 {
			continue
		}
		capacity := c.evaluateMember(now, svc, member, &ownLoad)
		if capacity.eligible && reason == NoUpstream {
			reason = NoSlot
		}
		switch {
		case !capacity.hasRoom:
		case capacity.atWarmUpLimit:
			atLimit.add(member, capacity.busySlots)
		default:
			belowLimit.add(member, capacity.busySlots)
		}
	}
	best := &belowLimit
	if belowLimit.members == 0 {
		best = &atLimit
	}
	if best.members == 0 {
		return placementChoice{member: -1}, reason
	}
	member := c.breakTie(svc, best.members, hash, balancerHash)
	load := c.placer.loadOf(svc.Members[member].VM)
	load.lastPlacement++
	load.unconfirmed = append(load.unconfirmed, unconfirmedPlacement{number: load.lastPlacement, chosenAt: now})
	return placementChoice{member: member, placementNumber: load.lastPlacement}, ""
}

// leastBusyMembers is the set of the members with the fewest busy slots.
type leastBusyMembers struct {
	members   uint64
	busySlots int
}

// add adds a member if it is as busy as the members of the set. If it is less
// busy, it replaces them.
func (l *leastBusyMembers) add(i, busy int) {
	switch {
	case l.members == 0 || busy < l.busySlots:
		l.members, l.busySlots = 1<<uint(i), busy
	case busy == l.busySlots:
		l.members |= 1 << uint(i)
	}
}

// breakTie chooses among equally busy members. The home comes first, because it
// saves later packets a hop. Next come members in the zone of the balancer,
// which saves traffic between zones. Among the rest the rank decides, so that
// every placer makes the same choice.
func (c *Core) breakTie(svc *view.Service, members, hash, balancerHash uint64) int {
	if home := svc.Home(hash); home >= 0 && members&(1<<uint(home)) != 0 {
		return home
	}
	if sameZone := members & c.membersInBalancerZone(svc, balancerHash); sameZone != 0 {
		members = sameZone
	}
	return ranking.FirstUnweighted(hash, svc.MemberHashes, ^members)
}

// membersInBalancerZone returns a bit for each member in the zone of the balancer
// with the given member hash (see frame.Header.Origin).
func (c *Core) membersInBalancerZone(svc *view.Service, balancerHash uint64) uint64 {
	balancerZone, ok := c.viewState.Load().balancerZones[balancerHash]
	if !ok {
		return 0
	}
	var mask uint64
	for i := range svc.Members {
		if svc.Members[i].Zone == balancerZone {
			mask |= 1 << uint(i)
		}
	}
	return mask
}

// placementOutcome is what the placer does with an opening.
type placementOutcome uint8

const (
	refusePlacement placementOutcome = iota
	placeOnMember
	queueOpening
	// dropDuplicate: a copy of the opening is queued already.
	dropDuplicate
)

// placementDecision is the result of decidePlacement for an opening.
type placementDecision struct {
	outcome placementOutcome
	choice  placementChoice
	ticket  uint64
	reason  Reason
}

// decidePlacement chooses a member for an opening, queues the opening or
// refuses it. A new opening is queued behind those that wait already. One that
// was returned to the placer (Passes > 0) goes ahead of them.
func (c *Core) decidePlacement(pkt *callerPacket, out *Actions) placementDecision {
	placer := c.placer
	placer.mu.Lock()
	defer placer.mu.Unlock()
	defer func() { placer.queuedCount.Store(int64(placer.queue.len())) }()
	if decision, isQueued := c.decideQueued(pkt, out); isQueued {
		return decision
	}
	if chosen, ok := c.previousPlacement(pkt); ok {
		return placementDecision{outcome: placeOnMember, choice: chosen}
	}
	shortRequests := pkt.svc.Contract.Shape == service.ShapeShortRequests
	if shortRequests && placer.queue.len() > 0 && pkt.header.Passes == 0 {
		return c.enqueueOpening(pkt)
	}
	chosen, reason := c.chooseMember(pkt.now, pkt.svc, pkt.hash, pkt.header.Origin, pkt.excludedMembers)
	if chosen.member >= 0 {
		placer.recentPlacements.put(pkt, pkt.svc.MemberHashes[chosen.member])
		return placementDecision{outcome: placeOnMember, choice: chosen}
	}
	if shortRequests && reason == NoSlot {
		return c.enqueueOpening(pkt)
	}
	if !shortRequests && reason == NoSlot {
		reason = FlowLimit
	}
	return placementDecision{outcome: refusePlacement, reason: reason}
}

// previousPlacement returns the member that an earlier copy of the opening was
// placed on. There is none for an opening that was returned to the placer.
func (c *Core) previousPlacement(pkt *callerPacket) (placementChoice, bool) {
	if pkt.header.Passes > 0 || pkt.excludedMembers != 0 {
		return placementChoice{}, false
	}
	memberHash, ok := c.placer.recentPlacements.get(pkt)
	if !ok {
		return placementChoice{}, false
	}
	i := pkt.svc.IndexByHash(memberHash)
	if i < 0 || !pkt.svc.Members[i].AcceptsOpenings() {
		return placementChoice{}, false
	}
	return placementChoice{member: i}, true
}

// recordDecline excludes the member that declined an opening. No more openings
// are placed on it until its next load report.
func (c *Core) recordDecline(pkt *callerPacket) {
	if pkt.header.Hops == 0 || int(pkt.header.Hops) > len(pkt.header.Tried) {
		return
	}
	decliningMember := pkt.svc.MemberMask(pkt.header.Tried[pkt.header.Hops-1 : pkt.header.Hops])
	placer := c.placer
	placer.mu.Lock()
	defer placer.mu.Unlock()
	if opening := placer.queue.byKey[pkt.key]; opening != nil && opening.reprocessing {
		// The header dates from before the wait, so the decline may be outdated.
		return
	}
	for i := range pkt.svc.Members {
		if decliningMember&(1<<uint(i)) != 0 && pkt.svc.MemberHashes[i] != c.selfHash {
			placer.loadOf(pkt.svc.Members[i].VM).declinedSinceReport = true
			pkt.excludedMembers |= 1 << uint(i)
		}
	}
}

// recentPlacements maps openings to the members that they were placed on, so
// that a retransmission is sent to the same member. It keeps two generations of
// entries.
type recentPlacements struct {
	current, previous map[flow.Key]recentPlacement
	rotatedAt         time.Time
}

type recentPlacement struct {
	memberHash  uint64
	synSequence uint32
}

func (r *recentPlacements) get(pkt *callerPacket) (uint64, bool) {
	placement, ok := r.current[pkt.key]
	if !ok {
		placement, ok = r.previous[pkt.key]
	}
	if !ok || (pkt.meta.Protocol == packet.ProtocolTCP && placement.synSequence != pkt.meta.Sequence) {
		return 0, false
	}
	return placement.memberHash, true
}

func (r *recentPlacements) put(pkt *callerPacket, member uint64) {
	if r.current == nil || len(r.current) >= recentPlacementCapacity/2 || pkt.now.Sub(r.rotatedAt) >= recentPlacementLifetime {
		r.previous, r.current, r.rotatedAt = r.current, map[flow.Key]recentPlacement{}, pkt.now
	}
	r.current[pkt.key] = recentPlacement{memberHash: member, synSequence: pkt.meta.Sequence}
}
