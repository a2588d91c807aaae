package steering

import (
	"net/netip"
	"slices"
	"time"

	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/view"
)

const (
	// zonePenalty is the load, as a share of the slots, that an upstream of the
	// own zone may have above one of another zone before the other one is
	// preferred: answers from another zone take two more link delays and cost
	// transfer.
	zonePenalty = 0.4
	// coldFactor is how much slower a cold upstream is taken to be.
	coldFactor = 2.0
	// loadLifetime is how long a load report counts: some requests long.
	loadLifetime = 300 * time.Millisecond
	// jitter spreads the choice of balancers that have the same reports, as a
	// share of the slots.
	jitter = 0.1
	// maxTries is how many upstreams may return an opening because their slots
	// are in use. The last one queues it: each further try costs an exchange,
	// and three tries of the least loaded find a free slot nearly always if
	// there is one.
	maxTries = 3
	// waitInterval is how often an opening without an upstream is tried again.
	waitInterval = 100 * time.Millisecond
	// avoidTime is how long an upstream that could not take an opening gets no
	// other one, unless there is no choice.
	avoidTime = 500 * time.Millisecond
	// muteTime is how long searches are not held up by an agent that has not
	// answered one: about as long as an agent takes to restart.
	muteTime = 2 * time.Second
	// fullTime is how long an upstream that could not answer in time gets no
	// opening. Under lasting overload openings are then refused at once, instead
	// of after an exchange with three upstreams; two or three requests end
	// meanwhile.
	fullTime = 50 * time.Millisecond
	// searchShare: an opening is tried at further upstreams for this fraction of
	// the objective of its route. Later the caller is better served by coming
	// back.
	searchShare = 4
	// silentTime is the same for an agent that did not answer at all.
	silentTime = 1500 * time.Millisecond
)

// Upstream is a member of a service as the directory knows it.
type Upstream struct {
	view.Upstream
	Service service.Name
}

// target is an upstream with what this balancer has seen of it.
type target struct {
	Upstream
	tag uint16
	// load and flows come from its last message, at reportedAt.
	load, flows int
	reportedAt  time.Time
	// placed counts the openings since then.
	placed int
	// avoidUntil: it could not take an opening.
	avoidUntil time.Time
	// muteUntil: it has not answered a search.
	muteUntil time.Time
	// fullUntil: it could not answer one more opening in time.
	fullUntil time.Time
}

func (t *target) heard(now time.Time, m *Message) {
	t.load, t.flows, t.reportedAt, t.placed, t.muteUntil = int(m.Load), int(m.Flows), now, 0, time.Time{}
}

// score is the expected load as a share of the slots; the lowest is chosen.
func (t *target) score(now time.Time, b *Balancer) float64 {
	slots := float64(max(t.Slots, 1))
	load := float64(t.placed)
	if age := now.Sub(t.reportedAt); age < loadLifetime {
		load += float64(t.load) * (1 - float64(age)/float64(loadLifetime))
	}
	if now.Before(t.WarmUpUntil) {
		load = (load + 1) * coldFactor
	}
	s := load/slots + b.cfg.Random.Float64()*jitter
	if t.Zone != b.cfg.Zone {
		s += zonePenalty
	}
	return s
}

// SetUpstreams replaces the known upstreams. What was seen of those that stay
// is kept.
// complete says that the list has all upstreams that are running.
func (b *Balancer) SetUpstreams(list []Upstream, complete bool) {
	b.complete = b.complete || complete
	targets := make(map[netip.Addr]*target, len(list))
	b.members = map[service.Name][]*target{}
	for _, u := range list {
		address := u.Address.Addr()
		t := b.targets[address]
		if t == nil || t.Incarnation != u.Incarnation || t.VM != u.VM || t.Service != u.Service {
			t = &target{tag: ServiceTag(u.Service)}
		}
		t.Upstream = u
		targets[address] = t
		b.members[u.Service] = append(b.members[u.Service], t)
	}
	b.targets = targets
}

// ReadyUpstreams returns how many upstreams take work.
func (b *Balancer) ReadyUpstreams() int {
	count := 0
	for _, t := range b.targets {
		if t.AcceptsOpenings() {
			count++
		}
	}
	return count
}

// open decides about a packet that asks for a new flow.
func (b *Balancer) open(now time.Time, route *intent.Route, p *Packet, data []byte, out *[]Action) {
	e := b.flows[p.Flow]
	if e != nil && e.sequence == p.Sequence && e.target != nil && e.state != locating {
		e.seenAt = now
		b.forward(e, Repeated, data, out)
		return
	}
	if e != nil && e.sequence == p.Sequence && e.state == waiting {
		return
	}
	if b.desired == nil {
		// The fabric sends packets here only if no balancer is ready. Callers
		// that are refused at once come back after different pauses, instead of
		// all at the moment when the desired state arrives.
		b.reset(p, NoDesired, out)
		return
	}
	if route == nil {
		b.reset(p, NoRoute, out)
		return
	}
	if route.Kind == intent.Upload && b.link.full(now) {
		b.reset(p, LinkSaturated, out)
		return
	}
	e = b.add(now, p.Flow)
	e.sequence, e.first = p.Sequence, slices.Clone(data)
	e.callerAge = copyAge(p)
	b.place(now, e, Placed, out)
}

// place sends an opening to the best upstream that has not had it yet.
func (b *Balancer) place(now time.Time, e *entry, reason Reason, out *[]Action) {
	route := b.routes[e.key.Virtual]
	if route == nil {
		b.refuse(e, NoRoute, out)
		return
	}
	best, more := b.choose(now, e, route)
	if best == nil && more {
		b.refuse(e, TooBusy, out)
		return
	}
	if best == nil {
		b.exhausted(now, e, route, out)
		return
	}
	best.placed++
	e.target, e.state = best, opening
	e.tried = append(e.tried, best.Address.Addr())
	b.plan(e, now.Add(openingTimeout))
	*out = append(*out, Action{
		Kind: Forward, Reason: reason, Flow: e.key, To: best.Address.Addr(), Data: e.first,
		Header:    ForwardingHeader{Service: best.tag, LastCandidate: !more, TimeBudget: route.Objective - e.age(now)},
		Placement: PlacementInfo{Load: best.load + best.placed, Slots: best.Slots, Age: now.Sub(best.reportedAt), Attempt: len(e.tried)},
	})
}

// choose returns the upstream for an opening, and whether there are others. If it
// returns none although there are some, all of them are full.
func (b *Balancer) choose(now time.Time, e *entry, route *intent.Route) (best *target, more bool) {
	var second *target
	bestScore := 0.0
	candidates := b.members[b.share(e, route)]
	avoiding, full := false, false
	for _, t := range candidates {
		if t.AcceptsOpenings() && now.Before(t.fullUntil) {
			full = true
			continue
		}
		if !t.AcceptsOpenings() || slices.Contains(e.tried, t.Address.Addr()) {
			continue
		}
		if now.Before(t.avoidUntil) {
			avoiding = true
			continue
		}
		s := t.score(now, b)
		if best == nil || s < bestScore {
			best, second, bestScore = t, best, s
		} else {
			second = t
		}
	}
	if best != nil {
		return best, second != nil && len(e.tried)+1 < maxTries
	}
	if full {
		return nil, true
	}
	if avoiding {
		best = b.leastAvoided(now, e, candidates)
	}
	return best, false
}

// leastAvoided returns the upstream whose time of avoidance ends first.
func (b *Balancer) leastAvoided(now time.Time, e *entry, candidates []*target) *target {
	var best *target
	for _, t := range candidates {
		if !t.AcceptsOpenings() || now.Before(t.fullUntil) || slices.Contains(e.tried, t.Address.Addr()) {
			continue
		}
		if best == nil || t.avoidUntil.Before(best.avoidUntil) {
			best = t
		}
	}
	return best
}

// share returns the service that a new flow goes to. All balancers choose the
// same one for a flow, so that its retransmissions agree.
func (b *Balancer) share(e *entry, route *intent.Route) service.Name {
	total := uint64(0)
	for _, s := range route.Backends {
		total += uint64(s.Weight)
	}
	if total == 0 {
		return ""
	}
	point := splitHasher.Hash(e.key) % total
	for _, s := range route.Backends {
		if point < uint64(s.Weight) {
			return s.Service
		}
		point -= uint64(s.Weight)
	}
	return ""
}

// copyTimes are when a caller sends the copies of an opening. Its
// acknowledgement number counts them.
var copyTimes = [...]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// copyAge returns how long before a copy the caller sent its opening.
func copyAge(p *Packet) time.Duration {
	return copyTimes[min(int(p.Ack), len(copyTimes)-1)]
}

// age returns how long the caller has waited.
func (e *entry) age(now time.Time) time.Duration { return e.callerAge + now.Sub(e.startedAt) }

// exhausted decides about an opening that no upstream has taken so far. It
// waits if that may change before the caller gives up, and is refused if not.
func (b *Balancer) exhausted(now time.Time, e *entry, route *intent.Route, out *[]Action) {
	if b.hopeless(e, route) || now.Sub(e.startedAt) >= openingLifetime-openingTimeout {
		b.refuse(e, NoUpstream, out)
		return
	}
	e.state, e.target, e.tried = waiting, nil, nil
	b.plan(e, now.Add(waitInterval))
	*out = append(*out, Action{Kind: QueueOpening, Reason: NoneAnswered, Flow: e.key})
}

// hopeless reports whether no upstream of the service can take the opening
// soon: all upstreams are known, and none is ready, starting or suspected.
func (b *Balancer) hopeless(e *entry, route *intent.Route) bool {
	if !b.complete {
		return false
	}
	for _, t := range b.members[b.share(e, route)] {
		if t.Status != view.Left && t.Status != view.Leaving && t.Status != view.Failed {
			return false
		}
	}
	return true
}

// tryAgain places an opening that has waited.
func (b *Balancer) tryAgain(now time.Time, e *entry, out *[]Action) {
	b.place(now, e, PlacedOnRetry, out)
}

// RetryPending places the openings that wait, after a change of the desired state or
// of the upstreams. completed says that the directory has just told all of them:
// flows that were not found before are then searched again.
func (b *Balancer) RetryPending(now time.Time, completed bool, out *[]Action) {
	for _, e := range b.flows {
		if e.state == waiting {
			b.tryAgain(now, e, out)
		}
	}
	if completed {
		b.searchMissing(now, out)
	}
}

// refuse tells the caller that its request has not run.
func (b *Balancer) refuse(e *entry, reason Reason, out *[]Action) {
	delete(b.flows, e.key)
	*out = append(*out, Action{Kind: Reset, Reason: reason, Flow: e.key})
}

func (b *Balancer) accepted(e *entry, t *target, m *Message) {
	t.avoidUntil = time.Time{}
	if e.state != opening {
		return
	}
	e.offers = append(e.offers, offer{target: t, answer: m.Sequence})
	e.target, e.deadline = t, time.Time{}
}

func (b *Balancer) rejected(now time.Time, e *entry, t *target, m *Message, out *[]Action) {
	switch m.Verdict {
	case Leaving, OtherService, StatusUnknown, NoResponse, Refused:
		t.avoidUntil = now.Add(avoidTime)
	case Overloaded:
		t.fullUntil = now.Add(fullTime)
	}
	if e.state != opening || e.target != t || e.sequence != m.Sequence || len(e.offers) > 0 {
		return
	}
	if route := b.routes[e.key.Virtual]; m.Verdict == Overloaded && (route == nil || e.age(now) > route.Objective/searchShare) {
		b.refuse(e, TooBusy, out)
		return
	}
	b.place(now, e, PlacedOnRetry, out)
}

// unanswered tries another upstream if an agent has not answered an opening.
func (b *Balancer) unanswered(now time.Time, e *entry, out *[]Action) {
	e.target.avoidUntil = now.Add(silentTime)
	b.place(now, e, PlacedOnRetry, out)
}
