package steering

import (
	"net/netip"
	"slices"
	"time"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/view"
)

// splitHasher spreads flows over the services of a split. It needs no secret:
// a caller that chooses its port chooses one of the services that the route
// allows anyway.
var splitHasher = flow.Hasher{K0: 1, K1: 2}

// search is what the answers about one flow have told.
type search struct {
	// round numbers the questions.
	round uint32
	// silent are the agents that have not answered, unsure those that may hold
	// the flow.
	silent []*target
	unsure []*target
	// later are unsure agents that are tried after the others, untold those that
	// were tried and have not said whether they hold the flow.
	later  []*target
	untold []*target
	// sample is the packet that waits with which agents are tried.
	sample int
}

// locate searches for the holder of a flow. Packets wait for it.
func (b *Balancer) locate(now time.Time, e *entry, p *Packet, data []byte, out *[]Action) {
	e.ack = p.Ack
	if data != nil {
		b.hold(e, data, out)
	}
	b.enqueue(now, e, out)
}

// awaited reports whether an agent has not answered that may still do so. One
// that the directory shows as failed has been silent for seconds: a flow that it
// holds cannot be served, and its caller is better off with a new one.
func awaited(silent []*target) bool {
	return slices.ContainsFunc(silent, func(t *target) bool { return t.Status != view.Failed })
}

// settle sends what has waited to the holder.
func (b *Balancer) settle(now time.Time, e *entry, t *target, reason Reason, out *[]Action) {
	if e.state == trying && len(e.held) > 0 {
		// The holder has had this one.
		e.held = slices.Delete(e.held, e.search.sample, e.search.sample+1)
	}
	e.state, e.target, e.search = settled, t, nil
	e.deadline, e.denied, e.missedAt, e.misses = time.Time{}, false, time.Time{}, 0
	first := len(*out)
	b.release(e, reason, out)
	if first < len(*out) {
		(*out)[first].Waited = now.Sub(e.searchedAt)
	}
	e.searchedAt = time.Time{}
}

func (b *Balancer) release(e *entry, reason Reason, out *[]Action) {
	for _, data := range e.held {
		b.forward(e, reason, data, out)
	}
	e.held = nil
}

// searchEnded tries the agents that are unsure: each gets a packet that waits, and its
// upstream returns it unless it holds the flow. While another agent is awaited, it may
// be the holder, and nobody is tried in the first search. Without agents to try notHeld
// decides.
func (b *Balancer) searchEnded(now time.Time, e *entry, awaited bool, out *[]Action) {
	if len(e.search.unsure) == 0 || len(e.held) == 0 || (e.misses == 0 && awaited) {
		b.notHeld(now, e, out)
		return
	}
	for i, data := range e.held {
		if len(data) < len(e.held[e.search.sample]) {
			e.search.sample = i
		}
	}
	b.likelyFirst(e)
	b.try(now, e, out)
}

// likelyFirst puts off the agents that hold the flow only if it crossed zones or was
// opened before its route changed. It answers the pattern in which all processes start
// again while the upstreams live: every agent is unsure about every flow, and to try 50
// of them for each takes more of a slow link than the packets of callers.
func (b *Balancer) likelyFirst(e *entry) {
	route := b.routes[e.key.Virtual]
	if route == nil {
		return
	}
	var likely, later []*target
	for _, t := range e.search.unsure {
		routed := slices.ContainsFunc(route.Backends, func(s intent.WeightedService) bool { return s.Service == t.Service && s.Weight > 0 })
		if routed && t.Zone == b.cfg.Zone {
			likely = append(likely, t)
		} else {
			later = append(later, t)
		}
	}
	if len(likely) > 0 {
		e.search.unsure, e.search.later = likely, later
	}
}

// try sends a packet to the agents that are unsure.
func (b *Balancer) try(now time.Time, e *entry, out *[]Action) {
	e.state = trying
	b.plan(e, now.Add(trialTimeout))
	for _, t := range e.search.unsure {
		*out = append(*out, Action{
			Kind: Forward, Reason: CandidateTried, Flow: e.key, To: t.Address.Addr(), Data: e.held[e.search.sample], Header: ForwardingHeader{Service: t.tag},
		})
	}
}

// tryLater goes on with the agents that were put off. It reports whether there are any.
func (b *Balancer) tryLater(now time.Time, e *entry, out *[]Action) bool {
	if len(e.search.later) == 0 {
		return false
	}
	e.search.unsure, e.search.later = e.search.later, nil
	b.try(now, e, out)
	return true
}

// holding settles a flow on an agent whose upstream has sent a packet of it, or
// that has said so: the holder knows best, also late.
func (b *Balancer) holding(now time.Time, e *entry, t *target, out *[]Action) {
	if e.state == locating || e.state == trying || e.state == missing {
		b.settle(now, e, t, HolderFound, out)
	}
}

// mute notes the agents that have not answered a search, and reports whether one
// of them was expected to: its VM may have gone without a word, and must not hold
// up every search until the directory shows it as failed.
func (b *Balancer) mute(now time.Time, silent []*target) (awaited bool) {
	for _, t := range silent {
		if t.Status != view.Failed && !now.Before(t.muteUntil) {
			awaited = true
		}
		t.muteUntil = now.Add(muteTime)
	}
	return awaited
}

// trialEnded goes on with the agents that were put off, and in the end settles on the
// agent that has not denied the flow, if all others have.
func (b *Balancer) trialEnded(now time.Time, e *entry, out *[]Action) {
	e.search.untold = append(e.search.untold, e.search.unsure...)
	e.search.unsure = nil
	if b.tryLater(now, e, out) {
		return
	}
	if len(e.search.untold) != 1 || awaited(e.search.silent) {
		b.notHeld(now, e, out)
		return
	}
	b.settle(now, e, e.search.untold[0], HolderFound, out)
}

// notHeld ends a search without a holder. The caller is told only after a second
// search has ended like this, and if every upstream of a complete directory has
// denied the flow both times. The second search follows by itself, so that the
// caller need not wait until it repeats its packet.
func (b *Balancer) notHeld(now time.Time, e *entry, out *[]Action) {
	doubt := b.doubt(e)
	certain := doubt == "" && !e.reset
	var suspect netip.Addr
	switch doubt {
	case AgentNotResponding:
		suspect = e.search.silent[0].Address.Addr()
	case AgentUndetermined:
		suspect = slices.Concat(e.search.unsure, e.search.untold)[0].Address.Addr()
	}
	e.search, e.target = nil, nil
	if certain && e.denied {
		delete(b.flows, e.key)
		*out = append(*out, Action{Kind: Reset, Reason: NoHolder, Flow: e.key, Sequence: e.ack, Waited: now.Sub(e.searchedAt)})
		return
	}
	e.state, e.denied, e.missedAt, e.deadline = missing, certain, now, time.Time{}
	e.misses++
	if e.reset {
		doubt = NotHeld
	}
	if certain {
		b.plan(e, now.Add(confirmPause))
		return
	}
	e.held = nil
	*out = append(*out, Action{Kind: Drop, Reason: doubt, Flow: e.key, To: suspect})
}

// doubt says why an upstream may hold a flow that was not found; empty if none
// can.
func (b *Balancer) doubt(e *entry) Reason {
	switch {
	case !b.complete:
		return DirectoryIncomplete
	case awaited(e.search.silent):
		return AgentNotResponding
	case len(e.search.unsure)+len(e.search.untold) > 0:
		return AgentUndetermined
	}
	return ""
}

// searchMissing searches for the flows that were not found while the directory
// was incomplete and whose callers still send.
func (b *Balancer) searchMissing(now time.Time, out *[]Action) {
	for _, e := range b.flows {
		if e.state == missing && !e.reset && now.Sub(e.seenAt) < maxMissPause {
			b.locate(now, e, &Packet{Flow: e.key, Ack: e.ack}, nil, out)
		}
	}
}

// notFound deals with a packet that an upstream does not hold.
func (b *Balancer) notFound(now time.Time, e *entry, t *target, m *Message, out *[]Action) {
	switch e.state {
	case trying:
		denied := func(other *target) bool { return other == t }
		e.search.unsure = slices.DeleteFunc(e.search.unsure, denied)
		e.search.untold = slices.DeleteFunc(e.search.untold, denied)
		if len(e.search.unsure) == 0 && !b.tryLater(now, e, out) {
			b.trialEnded(now, e, out)
		}
	case settled:
		if e.target == t {
			b.locate(now, e, &Packet{Flow: e.key, Ack: m.Ack}, nil, out)
		}
	case opening, waiting, locating, missing:
	}
}
