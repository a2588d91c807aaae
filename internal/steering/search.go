package steering

import (
	"slices"
	"time"

	"golang.org/x/time/rate"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/view"
)

// splitHasher spreads flows over the services of a split. It needs no secret:
// a caller that chooses its port chooses one of the services that the route
// allows anyway.
var splitHasher = flow.Hasher{K0: 1, K1: 2}

const (
	// searchLinkShare is the part of the link that searches may take. After a loss
	// of power every flow is searched, and the questions must not displace the
	// packets of callers or each other's answers.
	searchLinkShare = 0.2
	// searchMessageBytes is what a question or an answer takes on the link.
	searchMessageBytes = 100
	// searchMessagesPerSecond bounds them on fast links, at some 20 us each: 0.025
	// of a core.
	searchMessagesPerSecond = 1200
	// searchBurst is how many searches may start at once: the flows of a balancer
	// that leaves, some tens for each of its neighbours.
	searchBurst = 40
)

// searchRate returns how many searches among so many agents may start in a
// second.
func searchRate(linkBitsPerSecond float64, agents int) rate.Limit {
	const bitsPerByte, messagesPerAgent = 8, 2
	messages := float64(searchMessagesPerSecond)
	if linkBitsPerSecond > 0 {
		messages = min(messages, searchLinkShare*linkBitsPerSecond/bitsPerByte/searchMessageBytes)
	}
	return rate.Limit(messages / float64(messagesPerAgent*max(agents, 1)))
}

// locate searches for a flow within the bound of searches.
func (b *Balancer) locate(now time.Time, e *entry, p *Packet, data []byte, out *[]Action) {
	b.searches.SetLimitAt(now, searchRate(b.cfg.LinkBitsPerSecond, len(b.targets)))
	if !b.searches.AllowN(now, 1) {
		e.state, e.target, e.missedAt, e.deadline, e.denied, e.held = missing, nil, now, time.Time{}, false, nil
		*out = append(*out, Action{Kind: Drop, Reason: SearchLimit, Flow: e.key})
		return
	}
	e.ack = p.Ack
	if data != nil {
		b.hold(e, data, out)
	}
	b.startSearch(now, e, out)
}

// startSearch asks all agents who holds a flow. Packets wait for the answer.
func (b *Balancer) startSearch(now time.Time, e *entry, out *[]Action) {
	e.state, e.target, e.search = locating, nil, &search{}
	for _, t := range b.targets {
		if t.Status != view.Left {
			e.search.silent = append(e.search.silent, t)
		}
	}
	if len(e.search.silent) == 0 {
		delete(b.flows, e.key)
		*out = append(*out, Action{Kind: Drop, Reason: NoUpstream, Flow: e.key})
		return
	}
	b.ask(now, e, out)
}

// ask sends the question to the agents that have not answered.
func (b *Balancer) ask(now time.Time, e *entry, out *[]Action) {
	e.search.tries++
	for _, t := range e.search.silent {
		*out = append(*out, Action{
			Kind: Tell, Reason: Tried, Flow: e.key, To: t.Address.Addr(),
			Message: Message{Kind: Locate, Flow: e.key, Ack: e.ack},
		})
	}
	b.plan(e, now.Add(locateInterval))
}

// askAgain repeats the question, whose packets or answers may be lost on a full
// link, or ends the search.
func (b *Balancer) askAgain(now time.Time, e *entry, out *[]Action) {
	if e.search.tries < locateTries && e.search.awaited() {
		b.ask(now, e, out)
		return
	}
	b.searchEnded(now, e, out)
}

func (b *Balancer) located(now time.Time, e *entry, t *target, m *Message, out *[]Action) {
	if m.Verdict == Holds {
		// Also late: the holder knows best.
		if e.state == locating || e.state == trying || e.state == missing {
			b.settle(e, t, Found, out)
		}
		return
	}
	if e.search == nil {
		return
	}
	before := len(e.search.silent)
	e.search.silent = slices.DeleteFunc(e.search.silent, func(other *target) bool { return other == t })
	if e.state != locating || len(e.search.silent) == before {
		return
	}
	if m.Verdict == Unsure {
		e.search.unsure = append(e.search.unsure, t)
	}
	if len(e.search.silent) == 0 {
		b.searchEnded(now, e, out)
	}
}

// awaited reports whether an agent has not answered that may still do so. One
// that the directory shows as failed has been silent for seconds: a flow that it
// holds cannot be served, and its caller is better off with a new one.
func (s *search) awaited() bool {
	return slices.ContainsFunc(s.silent, func(t *target) bool { return t.Status != view.Failed })
}

// settle sends what has waited to the holder.
func (b *Balancer) settle(e *entry, t *target, reason Reason, out *[]Action) {
	if e.state == trying && len(e.held) > 0 {
		// The holder has had the first one.
		e.held = e.held[1:]
	}
	e.state, e.target, e.search = settled, t, nil
	e.deadline, e.denied, e.missedAt, e.misses = time.Time{}, false, time.Time{}, 0
	b.release(e, reason, out)
}

func (b *Balancer) release(e *entry, reason Reason, out *[]Action) {
	for _, data := range e.held {
		b.forward(e, reason, data, out)
	}
	e.held = nil
}

// searchEnded tries the agents that are unsure: each gets the first packet that
// waits, and its upstream returns it unless it holds the flow. While another
// agent has not answered, it may be the holder, and nobody is tried in the first
// search. Without agents to try notHeld decides.
func (b *Balancer) searchEnded(now time.Time, e *entry, out *[]Action) {
	if awaited := b.mute(now, e.search.silent); len(e.search.unsure) == 0 || len(e.held) == 0 || (e.misses == 0 && awaited) {
		b.notHeld(now, e, out)
		return
	}
	e.state = trying
	b.plan(e, now.Add(trialTimeout))
	for _, t := range e.search.unsure {
		*out = append(*out, Action{
			Kind: Forward, Reason: Tried, Flow: e.key, To: t.Address.Addr(), Data: e.held[0], Mark: Mark{Service: t.tag},
		})
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

// trialEnded settles on the agent that has not denied the flow, if all others
// have.
func (b *Balancer) trialEnded(now time.Time, e *entry, out *[]Action) {
	if len(e.search.unsure) != 1 || e.search.awaited() {
		b.notHeld(now, e, out)
		return
	}
	b.settle(e, e.search.unsure[0], Found, out)
}

// notHeld ends a search without a holder. The caller is told only after a second
// search has ended like this, and if every upstream of a complete directory has
// denied the flow both times. The second search follows by itself, so that the
// caller need not wait until it repeats its packet.
func (b *Balancer) notHeld(now time.Time, e *entry, out *[]Action) {
	certain := b.complete && !e.search.awaited() && len(e.search.unsure) == 0 && !e.reset
	e.search, e.target = nil, nil
	if certain && e.denied {
		delete(b.flows, e.key)
		*out = append(*out, Action{Kind: Reset, Reason: NobodyHolds, Flow: e.key, Sequence: e.ack})
		return
	}
	e.state, e.denied, e.missedAt, e.deadline = missing, certain, now, time.Time{}
	e.misses++
	if certain {
		// Not bounded again: each search is followed by one of these at most.
		b.plan(e, now.Add(confirmPause))
		return
	}
	e.held = nil
	*out = append(*out, Action{Kind: Drop, Reason: NotHeld, Flow: e.key})
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
		e.search.unsure = slices.DeleteFunc(e.search.unsure, func(other *target) bool { return other == t })
		if len(e.search.unsure) == 0 {
			b.notHeld(now, e, out)
		}
	case settled:
		if e.target == t {
			b.locate(now, e, &Packet{Flow: e.key, Ack: m.Ack}, nil, out)
		}
	case opening, waiting, locating, missing:
	}
}
