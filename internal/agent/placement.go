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
	// pendingTimeout bounds how long a placement counts that the chosen agent
	// has not confirmed: its frame may be lost.
	pendingTimeout = time.Second
	// recentLifetime covers the first retransmissions of a SYN (1 s, 3 s, 7 s).
	recentLifetime = 10 * time.Second
	// recentCapacity bounds the remembered placements: 10 s of 1,600 openings
	// a second.
	recentCapacity = 16_384
	// slowStart is how long before WarmUpUntil an upstream starts with one slot.
	slowStart = 30 * time.Second
)

// placement is what the placer of a service knows about the members, and the
// openings that wait for a free slot.
type placement struct {
	mu      sync.Mutex
	members map[vm.ID]*memberLoad
	recent  recentPlacements
	queue   queue
	// waiting is the length of the queue, for a check without the lock.
	waiting atomic.Int64
}

type memberLoad struct {
	last    peer.Load
	known   bool
	number  uint32
	pending []pendingPlacement
	// full: the member has passed an opening back since its last load report.
	full bool
}

type pendingPlacement struct {
	number uint32
	at     time.Time
}

func newPlacement(queueLimit int) *placement {
	return &placement{members: map[vm.ID]*memberLoad{}, queue: newQueue(queueLimit)}
}

// choice is a member with the number of the placement; 0 is not counted.
type choice struct {
	member int
	number uint32
}

func (p *placement) member(id vm.ID) *memberLoad {
	m, ok := p.members[id]
	if !ok {
		m = &memberLoad{}
		p.members[id] = m
	}
	return m
}

// update takes a load report. Reports that are older than the last one are
// ignored.
func (p *placement) update(l *peer.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.member(l.VM)
	if m.known && l.Incarnation < m.last.Incarnation {
		return
	}
	if m.known && l.Incarnation == m.last.Incarnation && l.Sequence <= m.last.Sequence {
		return
	}
	if m.known && l.Incarnation != m.last.Incarnation {
		m.pending = nil
	}
	m.last, m.known, m.full = *l, true, false
	m.confirm(l.Placed)
}

// confirm forgets the placements that the load report already contains.
func (m *memberLoad) confirm(placed uint32) {
	kept := m.pending[:0]
	for _, p := range m.pending {
		if int32(p.number-placed) > 0 {
			kept = append(kept, p)
		}
	}
	m.pending = kept
}

// settle forgets a placement whose result is in the load of this agent.
func (p *placement) settle(id vm.ID, number uint32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.member(id)
	for i := range m.pending {
		if m.pending[i].number == number {
			m.pending = append(m.pending[:i], m.pending[i+1:]...)
			return
		}
	}
}

func (m *memberLoad) dropOld(now time.Time) {
	n := 0
	for n < len(m.pending) && now.Sub(m.pending[n].at) >= pendingTimeout {
		n++
	}
	m.pending = m.pending[n:]
}

// candidate is what the placer compares of a member.
type candidate struct {
	busy, slots int
	eligible    bool
	// free: an opening would find a slot and room for a flow.
	free bool
	// cold: the slow start of the member leaves no slot now.
	cold bool
}

// weigh estimates the load of a member. The lock is held.
func (c *Core) weigh(now time.Time, svc *view.Service, i int, own *peer.Load) candidate {
	u := &svc.Members[i]
	m := c.placement.member(u.VM)
	m.dropOld(now)
	last := &m.last
	if u.Hash == c.selfHash {
		last = own
	}
	busy, flows, slots := last.Busy+len(m.pending), last.Flows+len(m.pending), u.Slots
	if last.Slots > 0 {
		slots = min(slots, last.Slots)
	}
	k := candidate{busy: busy, slots: slots}
	leaving := last.Status == view.Leaving || last.Status == view.Left
	k.eligible = u.AcceptsOpenings() && !leaving && !last.Shedding
	k.free = k.eligible && !m.full && flows < u.Connections
	if svc.Contract.Shape == service.ShortRequests {
		k.free = k.free && busy < slots
	}
	if svc.Contract.Priority == service.PreferSurvival && now.Before(u.WarmUpUntil) {
		k.cold = busy >= warmSlots(slots, u.WarmUpUntil.Sub(now))
	}
	return k
}

// warmSlots is the number of slots that a cold upstream gets: one at first and
// all of them at the end of the slow start.
func warmSlots(slots int, remaining time.Duration) int {
	warm := 1 - min(float64(remaining)/float64(slowStart), 1)
	return max(1, int(warm*float64(slots)))
}

// choose returns the least busy member with a free slot and reserves it, or
// -1. A cold member that has its share is chosen only if no other is free.
// The lock is held.
func (c *Core) choose(now time.Time, svc *view.Service, hash, origin, excluded uint64) (choice, Reason) {
	own := c.ownLoad(svc)
	var warm, cold tie
	reason := NoUpstream
	for i := range svc.Members {
		if excluded&(1<<uint(i)) != 0 {
			continue
		}
		k := c.weigh(now, svc, i, &own)
		if k.eligible && reason == NoUpstream {
			reason = NoSlot
		}
		switch {
		case !k.free:
		case k.cold:
			cold.consider(i, k.busy)
		default:
			warm.consider(i, k.busy)
		}
	}
	best := &warm
	if warm.members == 0 {
		best = &cold
	}
	if best.members == 0 {
		return choice{member: -1}, reason
	}
	i := c.breakTie(svc, best.members, hash, origin)
	m := c.placement.member(svc.Members[i].VM)
	m.number++
	m.pending = append(m.pending, pendingPlacement{number: m.number, at: now})
	return choice{member: i, number: m.number}, ""
}

// tie is the set of the least busy members.
type tie struct {
	members uint64
	busy    int
}

func (t *tie) consider(i, busy int) {
	switch {
	case t.members == 0 || busy < t.busy:
		t.members, t.busy = 1<<uint(i), busy
	case busy == t.busy:
		t.members |= 1 << uint(i)
	}
}

// breakTie chooses among equally busy members: home saves a hop for later
// packets, the zone of the balancer a link between zones, and the rank makes
// the choice the same at every placer.
func (c *Core) breakTie(svc *view.Service, members, hash, origin uint64) int {
	if home := svc.Home(hash); home >= 0 && members&(1<<uint(home)) != 0 {
		return home
	}
	if near := members & c.sameZone(svc, origin); near != 0 {
		members = near
	}
	return ranking.FirstUnweighted(hash, svc.MemberHashes, ^members)
}

// sameZone returns a bit for each member in the zone of a balancer.
func (c *Core) sameZone(svc *view.Service, origin uint64) uint64 {
	z, ok := c.state.Load().origins[origin]
	if !ok {
		return 0
	}
	var mask uint64
	for i := range svc.Members {
		if svc.Members[i].Zone == z {
			mask |= 1 << uint(i)
		}
	}
	return mask
}

type verdict uint8

const (
	placeRefuse verdict = iota
	placeMember
	placeHold
	placeDuplicate
)

// decision is the answer of the placer to an opening.
type decision struct {
	verdict verdict
	choice  choice
	ticket  uint64
	reason  Reason
}

// decidePlacement chooses a member for an opening or queues it.
func (c *Core) decidePlacement(a *arrival, out *Actions) decision {
	p := c.placement
	p.mu.Lock()
	defer p.mu.Unlock()
	defer func() { p.waiting.Store(int64(p.queue.len())) }()
	if d, known := c.decideWaiting(a, out); known {
		return d
	}
	if chosen, ok := c.repeated(a); ok {
		return decision{verdict: placeMember, choice: chosen}
	}
	short := a.svc.Contract.Shape == service.ShortRequests
	if short && p.queue.len() > 0 && a.h.Passes == 0 {
		return c.enqueue(a)
	}
	chosen, reason := c.choose(a.now, a.svc, a.hash, a.h.Origin, a.excluded)
	if chosen.member >= 0 {
		p.recent.put(a, a.svc.MemberHashes[chosen.member])
		return decision{verdict: placeMember, choice: chosen}
	}
	if short && reason == NoSlot {
		return c.enqueue(a)
	}
	if !short && reason == NoSlot {
		reason = FlowLimit
	}
	return decision{verdict: placeRefuse, reason: reason}
}

// repeated returns the member that got the same opening before.
func (c *Core) repeated(a *arrival) (choice, bool) {
	if a.h.Passes > 0 || a.excluded != 0 {
		return choice{}, false
	}
	hash, ok := c.placement.recent.get(a)
	if !ok {
		return choice{}, false
	}
	i := a.svc.IndexByHash(hash)
	if i < 0 || !a.svc.Members[i].AcceptsOpenings() {
		return choice{}, false
	}
	return choice{member: i}, true
}

// noteReturned takes the member that passed an opening back as full until its
// next load report.
func (c *Core) noteReturned(a *arrival) {
	if a.h.Hops == 0 || int(a.h.Hops) > len(a.h.Tried) {
		return
	}
	mask := a.svc.Tried(a.h.Tried[a.h.Hops-1 : a.h.Hops])
	p := c.placement
	p.mu.Lock()
	defer p.mu.Unlock()
	if w := p.queue.byKey[a.key]; w != nil && w.released {
		// The header is that of the first arrival, from before the wait.
		return
	}
	for i := range a.svc.Members {
		if mask&(1<<uint(i)) != 0 && a.svc.MemberHashes[i] != c.selfHash {
			p.member(a.svc.Members[i].VM).full = true
			a.excluded |= 1 << uint(i)
		}
	}
}

// recentPlacements remembers which member got an opening, so that a
// retransmission goes to the same one. It keeps two generations.
type recentPlacements struct {
	young, old map[flow.Key]recentPlacement
	turned     time.Time
}

type recentPlacement struct {
	member   uint64
	sequence uint32
}

func (r *recentPlacements) get(a *arrival) (uint64, bool) {
	known, ok := r.young[a.key]
	if !ok {
		known, ok = r.old[a.key]
	}
	if !ok || (a.m.Protocol == packet.ProtocolTCP && known.sequence != a.m.Sequence) {
		return 0, false
	}
	return known.member, true
}

func (r *recentPlacements) put(a *arrival, member uint64) {
	if r.young == nil || len(r.young) >= recentCapacity/2 || a.now.Sub(r.turned) >= recentLifetime {
		r.old, r.young, r.turned = r.young, map[flow.Key]recentPlacement{}, a.now
	}
	r.young[a.key] = recentPlacement{member: member, sequence: a.m.Sequence}
}
