package agent

import (
	"slices"
	"time"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/packet"
	"bramleyhold.example/bramleyhold/internal/view"
)

const (
	// synInterval is the first retransmission interval of a SYN; each further
	// one doubles.
	synInterval = time.Second
	// synSlack is added before a caller that is silent counts as gone.
	synSlack = 500 * time.Millisecond
)

// waitingOpening is an opening that waits at the placer.
type waitingOpening struct {
	ticket   uint64
	ref      flowRef
	origin   uint64
	protocol uint8
	sequence uint32
	payload  bool
	lastSYN  int64
	repeats  uint
	deadline int64
	// released: a slot is reserved and the packet is being handled again.
	released bool
	choice   choice
	member   uint64
}

// gone reports whether the caller has stopped repeating its SYN.
func (w *waitingOpening) gone(nanos int64) bool {
	if w.protocol != packet.ProtocolTCP {
		return false
	}
	return nanos-w.lastSYN > int64(synInterval<<min(w.repeats, 6)+synSlack)
}

// queue holds openings in the order of their arrival. The lock of the
// placement protects it.
type queue struct {
	limit int
	order []*waitingOpening
	byKey map[flow.Key]*waitingOpening
}

func newQueue(limit int) queue {
	return queue{limit: limit, byKey: map[flow.Key]*waitingOpening{}}
}

func (q *queue) len() int { return len(q.order) }

func (q *queue) cancel(w *waitingOpening) {
	delete(q.byKey, w.ref.key)
	if i := slices.Index(q.order, w); i >= 0 {
		q.order = slices.Delete(q.order, i, i+1)
	}
}

// decideWaiting decides about an opening that waits here already.
func (c *Core) decideWaiting(a *arrival, out *Actions) (decision, bool) {
	q := &c.placement.queue
	w, ok := q.byKey[a.key]
	if !ok {
		return decision{}, false
	}
	if a.m.Protocol == packet.ProtocolTCP && w.sequence != a.m.Sequence {
		// The caller opens another connection from the same port.
		q.cancel(w)
		out.add(Action{Kind: Discard, Flow: a.key, Ticket: w.ticket, Reason: CallerGaveUp})
		return decision{}, false
	}
	if !w.released {
		w.lastSYN = a.nanos
		w.repeats++
		return decision{verdict: placeDuplicate}, true
	}
	q.cancel(w)
	i := a.svc.IndexByHash(w.member)
	if i < 0 || !a.svc.Members[i].AcceptsOpenings() {
		return decision{}, false
	}
	c.placement.recent.put(a, w.member)
	return decision{verdict: placeMember, choice: choice{member: i, number: w.choice.number}}, true
}

// enqueue makes an opening wait. One that was passed back goes first, because
// it has waited longest.
func (c *Core) enqueue(a *arrival) decision {
	q := &c.placement.queue
	if a.svc.Contract.QueueDeadline <= 0 {
		return decision{verdict: placeRefuse, reason: NoSlot}
	}
	if q.len() >= q.limit {
		return decision{verdict: placeRefuse, reason: QueueFull}
	}
	w := &waitingOpening{
		ticket: c.tickets.Add(1), ref: flowRef{hash: a.hash, key: a.key}, origin: a.h.Origin,
		protocol: a.m.Protocol, sequence: a.m.Sequence, payload: a.m.PayloadBytes > 0,
		lastSYN: a.nanos, deadline: a.nanos + int64(a.svc.Contract.QueueDeadline),
	}
	q.byKey[a.key] = w
	if a.h.Passes > 0 {
		q.order = slices.Insert(q.order, 0, w)
	} else {
		q.order = append(q.order, w)
	}
	return decision{verdict: placeHold, ticket: w.ticket}
}

// dispatch releases waiting openings for which a slot is free now.
func (c *Core) dispatch(now time.Time, out *Actions) {
	p := c.placement
	if p.waiting.Load() == 0 {
		return
	}
	svc := c.service()
	if svc == nil || !svc.Traffic {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.queue.len() > 0 {
		w := p.queue.order[0]
		chosen, _ := c.choose(now, svc, w.ref.hash, w.origin, 0)
		if chosen.member < 0 {
			break
		}
		p.queue.order = p.queue.order[1:]
		w.released, w.choice, w.member = true, chosen, svc.MemberHashes[chosen.member]
		out.add(Action{Kind: Release, Flow: w.ref.key, Ticket: w.ticket})
	}
	p.waiting.Store(int64(p.queue.len()))
}

// expireQueue refuses openings whose deadline has passed and forgets those
// whose caller has given up.
func (c *Core) expireQueue(now time.Time, svc *view.Service, out *Actions) {
	p := c.placement
	if p.waiting.Load() == 0 {
		return
	}
	nanos := now.UnixNano()
	var late []*waitingOpening
	p.mu.Lock()
	kept := p.queue.order[:0]
	for _, w := range p.queue.order {
		switch {
		case nanos >= w.deadline:
			delete(p.queue.byKey, w.ref.key)
			late = append(late, w)
		case w.gone(nanos):
			delete(p.queue.byKey, w.ref.key)
			out.add(Action{Kind: Discard, Flow: w.ref.key, Ticket: w.ticket, Reason: CallerGaveUp})
		default:
			kept = append(kept, w)
		}
	}
	clear(p.queue.order[len(kept):])
	p.queue.order = kept
	p.waiting.Store(int64(p.queue.len()))
	p.mu.Unlock()
	for _, w := range late {
		c.refuseProved(now, c.proveNotRun(now, svc, w.ref, w.payload), QueueDeadline, w.ticket, out)
	}
}

// cancelWaiting forgets a waiting opening whose caller has reset it.
func (c *Core) cancelWaiting(a *arrival, out *Actions) bool {
	p := c.placement
	if p.waiting.Load() == 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	w, ok := p.queue.byKey[a.key]
	if !ok || w.released || a.m.Sequence-w.sequence > 1 {
		return false
	}
	p.queue.cancel(w)
	p.waiting.Store(int64(p.queue.len()))
	out.add(Action{Kind: Discard, Flow: a.key, Ticket: w.ticket, Reason: CallerGaveUp})
	return true
}
