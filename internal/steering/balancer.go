package steering

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/zone"
)

const (
	// openingTimeout is how long an agent may take to answer an opening before
	// another upstream is tried. It exceeds answerTimeout and an exchange
	// between zones, and is below the caller's first retransmission (200 ms).
	openingTimeout = 150 * time.Millisecond
	// openingLifetime is when a caller gives an opening up: 800 ms after its
	// last copy, which is sent after 600 ms.
	openingLifetime = 1400 * time.Millisecond
	// trialTimeout is how long an upstream may take to return a packet that it is
	// tried with.
	trialTimeout = 150 * time.Millisecond
	// confirmPause lies between two searches for a flow that every upstream denies:
	// three times what a change of the directory takes from one zone to another
	// and on to a balancer, so that the second search asks an upstream that the
	// first one did not know.
	confirmPause = 30 * time.Millisecond
	// missPause lies between the first two searches for a flow of which some
	// upstream could not tell whether it holds it, and doubles up to maxMissPause,
	// the longest retransmission interval of callers. It is shorter than the first
	// retransmission interval (200 ms).
	missPause    = 150 * time.Millisecond
	maxMissPause = 1600 * time.Millisecond
	// maxHeldPackets bounds the packets that wait for an answer: a window.
	maxHeldPackets = 16
	// idleReserve is added to the idle timeout of flows, so that a balancer
	// does not forget a flow before its upstream does.
	idleReserve = 5 * time.Second
	// finishedLifetime keeps a finished flow for late retransmissions.
	finishedLifetime = 5 * time.Second
)

// BalancerConfig is what a balancer knows from its settings.
type BalancerConfig struct {
	Zone zone.ID
	// MaxFlows bounds the remembered flows.
	MaxFlows int
	// LinkBitsPerSecond is the rate of the VM's link; zero if it is unknown.
	LinkBitsPerSecond float64
	Random            *rand.Rand
}

type flowState uint8

const (
	// opening: an agent was asked to take the opening.
	opening flowState = iota
	// settled: the holder is known.
	settled
	// locating: the agents were asked for the holder.
	locating
	// waiting: the opening waits for a desired state or an upstream.
	waiting
	// missing: a search has found no holder.
	missing
	// trying: a packet went to all agents that are unsure whether they hold the
	// flow.
	trying
)

// entry is what is remembered about one flow.
type entry struct {
	key    flow.Key
	state  flowState
	target *target
	// sequence and first are the sequence number and the content of the
	// opening.
	sequence uint32
	first    []byte
	tried    []netip.Addr
	offers   []offer
	// callerAge is how long the caller had waited when the opening arrived.
	callerAge time.Duration
	// startedAt is when the opening arrived, deadline when a step times out.
	startedAt time.Time
	deadline  time.Time
	seenAt    time.Time
	finished  bool
	// reset: the caller has ended the flow by a reset.
	reset  bool
	search *search
	// searchedAt is when the first of the searches in progress began.
	searchedAt time.Time
	held       [][]byte
	ack        uint32
	// missedAt is when the last search found no holder; denied says that every
	// upstream of a complete directory denied the flow in it.
	missedAt time.Time
	denied   bool
	misses   int
}

// missPause returns the pause before the next search.
func (e *entry) missPause() time.Duration {
	const maxDoublings = 4
	return min(missPause<<min(max(e.misses-1, 0), maxDoublings), maxMissPause)
}

// offer is an upstream that has answered the opening.
type offer struct {
	target *target
	answer uint32
}

// Balancer decides for a process on an entry VM.
type Balancer struct {
	cfg     BalancerConfig
	desired *intent.Desired
	routes  map[netip.AddrPort]*intent.Route
	// removed holds the virtual addresses that an earlier desired state had.
	removed map[netip.AddrPort]bool
	targets map[netip.Addr]*target
	members map[service.Name][]*target
	flows   map[flow.Key]*entry
	// due holds what times out, in the order in which it was planned.
	due     []timer
	sweepAt time.Time
	link    linkMeter
	// queue holds the flows whose search has not begun, rounds the questions on
	// their way or answered a short while ago. searches bounds the bytes that they
	// take, and nextRoundAt is when the next one may start.
	queue       []*entry
	rounds      map[uint32]*round
	roundNumber uint32
	nextRoundAt time.Time
	searches    *rate.Limiter
	// complete is set when the directory has told all upstreams.
	complete bool
}

type timer struct {
	entry *entry
	at    time.Time
}

// NewBalancer returns a balancer without routes and upstreams.
func NewBalancer(cfg BalancerConfig) *Balancer {
	return &Balancer{
		cfg: cfg, link: newLinkMeter(cfg.LinkBitsPerSecond), searches: rate.NewLimiter(0, 0), rounds: map[uint32]*round{}, routes: map[netip.AddrPort]*intent.Route{}, removed: map[netip.AddrPort]bool{},
		targets: map[netip.Addr]*target{}, members: map[service.Name][]*target{}, flows: map[flow.Key]*entry{},
	}
}

// Version returns the version of the desired state in force here, or 0.
func (b *Balancer) Version() uint64 {
	if b.desired == nil {
		return 0
	}
	return b.desired.Version
}

// OpeningAge returns how long an opening has waited for an upstream, and whether
// it still does.
func (b *Balancer) OpeningAge(now time.Time, key flow.Key) (age time.Duration, waits bool) {
	e := b.flows[key]
	if e == nil || e.state != opening {
		return 0, false
	}
	return now.Sub(e.startedAt), true
}

// Flows returns how many flows are remembered.
func (b *Balancer) Flows() int { return len(b.flows) }

// SetDesired puts a desired state in force. Earlier versions are ignored. It
// reports whether it took effect.
func (b *Balancer) SetDesired(d *intent.Desired) bool {
	if b.desired != nil && d.Version <= b.desired.Version {
		return false
	}
	routes := make(map[netip.AddrPort]*intent.Route, len(d.Routes))
	for i := range d.Routes {
		routes[d.Routes[i].Virtual] = &d.Routes[i]
		delete(b.removed, d.Routes[i].Virtual)
	}
	for virtual := range b.routes {
		if routes[virtual] == nil {
			b.removed[virtual] = true
		}
	}
	b.desired, b.routes = d, routes
	return true
}

// Packet decides about a packet of a caller.
func (b *Balancer) Packet(now time.Time, p *Packet, data []byte, out *[]Action) {
	b.link.add(now, len(data))
	route := b.routes[p.Flow.Virtual]
	if p.IsOpening() {
		b.open(now, route, p, data, out)
		return
	}
	if route == nil && b.removed[p.Flow.Virtual] {
		delete(b.flows, p.Flow)
		b.reset(p, RouteRemoved, out)
		return
	}
	e := b.flows[p.Flow]
	if e == nil && p.Flags.Has(RST) {
		// The upstream notices by itself that its caller is gone.
		*out = append(*out, Action{Kind: Drop, Reason: NotHeld, Flow: p.Flow})
		return
	}
	if e == nil {
		b.locate(now, b.add(now, p.Flow), p, data, out)
		return
	}
	e.seenAt = now
	if p.Flags.Has(RST) {
		e.reset = true
	}
	if p.Flags&(FIN|RST) != 0 {
		e.finished = true
	}
	switch e.state {
	case opening:
		b.confirm(e, p)
		b.forward(e, KnownFlow, data, out)
	case settled:
		b.forward(e, KnownFlow, data, out)
	case locating, trying:
		b.hold(e, data, out)
	case missing:
		e.ack = p.Ack
		if e.denied {
			b.hold(e, data, out)
			return
		}
		if now.Sub(e.missedAt) >= e.missPause() {
			b.locate(now, e, p, data, out)
			return
		}
		*out = append(*out, Action{Kind: Drop, Reason: NotHeld, Flow: e.key})
	case waiting:
		// The caller holds the answer of an upstream that got an earlier copy
		// of the opening through another balancer.
		b.locate(now, e, p, data, out)
	}
}

// confirm finds out which of the upstreams that answered an opening the caller
// has chosen.
func (b *Balancer) confirm(e *entry, p *Packet) {
	for _, o := range e.offers {
		if p.Ack-o.answer <= ackWindow {
			e.target = o.target
		}
	}
	e.state, e.first, e.offers, e.tried, e.deadline = settled, nil, nil, nil, time.Time{}
}

func (b *Balancer) reset(p *Packet, reason Reason, out *[]Action) {
	if p.Flags.Has(RST) {
		*out = append(*out, Action{Kind: Drop, Reason: reason, Flow: p.Flow})
		return
	}
	*out = append(*out, Action{Kind: Reset, Reason: reason, Flow: p.Flow, Sequence: p.Ack})
}

func (b *Balancer) forward(e *entry, reason Reason, data []byte, out *[]Action) {
	*out = append(*out, Action{
		Kind: Forward, Reason: reason, Flow: e.key, To: e.target.Address.Addr(), Data: data,
		Header: ForwardingHeader{Service: e.target.tag},
	})
}

func (b *Balancer) hold(e *entry, data []byte, out *[]Action) {
	if len(e.held) >= maxHeldPackets {
		*out = append(*out, Action{Kind: Drop, Reason: HoldFull, Flow: e.key})
		return
	}
	e.held = append(e.held, slices.Clone(data))
}

func (b *Balancer) add(now time.Time, key flow.Key) *entry {
	e := &entry{key: key, startedAt: now, seenAt: now}
	if len(b.flows) >= b.cfg.MaxFlows {
		b.evict()
	}
	b.flows[key] = e
	if b.sweepAt.IsZero() {
		b.sweepAt = now.Add(sweepInterval)
	}
	return e
}

// evict forgets one flow. A forgotten flow is located again when it sends.
func (b *Balancer) evict() {
	for key := range b.flows {
		delete(b.flows, key)
		return
	}
}

func (b *Balancer) plan(e *entry, at time.Time) {
	e.deadline = at
	b.due = append(b.due, timer{entry: e, at: at})
}

// Message takes an answer of an agent.
func (b *Balancer) Message(now time.Time, from netip.Addr, m *Message, out *[]Action) {
	t := b.targets[from]
	if t == nil {
		return
	}
	t.heard(now, m)
	if m.Kind == LookupResponse {
		b.located(now, t, m, out)
		return
	}
	e := b.flows[m.Flow]
	if e == nil {
		return
	}
	switch m.Kind {
	case OpeningAccepted:
		b.accepted(e, t, m)
	case OpeningRejected:
		b.rejected(now, e, t, m, out)
	case FlowNotFound:
		b.notFound(now, e, t, m, out)
	case FlowConfirmed:
		b.holding(now, e, t, out)
	case LookupRequest, LookupResponse:
	}
}

// Tick does what is due.
func (b *Balancer) Tick(now time.Time, out *[]Action) {
	for {
		i := b.nextDue()
		if i < 0 || now.Before(b.due[i].at) {
			break
		}
		e := b.due[i].entry
		b.due = slices.Delete(b.due, i, i+1)
		e.deadline = time.Time{}
		b.timedOut(now, e, out)
	}
	b.tickRounds(now, out)
	if !b.sweepAt.IsZero() && !now.Before(b.sweepAt) {
		b.sweep(now)
	}
}

// nextDue drops timers that no longer count and returns the first of the
// others, or -1. There are a few kinds of time-outs, so that the list is nearly
// in order.
func (b *Balancer) nextDue() int {
	b.due = slices.DeleteFunc(b.due, func(t timer) bool {
		return t.entry.deadline != t.at || b.flows[t.entry.key] != t.entry
	})
	first := -1
	for i := range b.due {
		if first < 0 || b.due[i].at.Before(b.due[first].at) {
			first = i
		}
	}
	return first
}

// Deadline returns when Tick has something to do next; zero if never.
func (b *Balancer) Deadline() time.Time {
	next := b.sweepAt
	if i := b.nextDue(); i >= 0 && (next.IsZero() || b.due[i].at.Before(next)) {
		next = b.due[i].at
	}
	if at := b.roundsDeadline(); !at.IsZero() && (next.IsZero() || at.Before(next)) {
		next = at
	}
	return next
}

func (b *Balancer) timedOut(now time.Time, e *entry, out *[]Action) {
	switch e.state {
	case opening:
		b.unanswered(now, e, out)
	case waiting:
		b.tryAgain(now, e, out)
	case trying:
		b.trialEnded(now, e, out)
	case missing:
		b.enqueue(now, e, out)
	case settled, locating:
	}
}

func (b *Balancer) sweep(now time.Time) {
	limit := idleReserve
	if b.desired != nil {
		limit += b.desired.IdleTimeout
	}
	for key, e := range b.flows {
		idle := now.Sub(e.seenAt)
		half := e.state == opening || e.state == waiting
		if idle > limit || (e.finished && idle > finishedLifetime) || (half && idle > openingLifetime) {
			delete(b.flows, key)
		}
	}
	b.sweepAt = time.Time{}
	if len(b.flows) > 0 {
		b.sweepAt = now.Add(sweepInterval)
	}
}
