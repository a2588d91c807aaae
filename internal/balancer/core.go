package balancer

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/frame"
	"bramleyhold.example/bramleyhold/internal/packet"
	"bramleyhold.example/bramleyhold/internal/peer"
	"bramleyhold.example/bramleyhold/internal/ranking"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// Config is what a balancer knows from its settings.
type Config struct {
	VM     vm.ID
	Hasher flow.Hasher
	// HintCapacity bounds the hints that are kept.
	HintCapacity int
	// OpeningsPerSecond bounds what this balancer passes on of openings; 0 sets
	// no bound.
	OpeningsPerSecond int
	// TraceShare of the openings are traced, chosen by Random.
	TraceShare float64
	Random     *rand.Rand
}

// Verdict says what to do with a packet.
type Verdict uint8

// The verdicts on a packet.
const (
	// Send the packet to the agent at Decision.To.
	Send Verdict = iota + 1
	// Reset the opening: the request was not run.
	Reset
	// Drop and count the packet.
	Drop
)

// Reason says why a packet was dropped or reset. It names a counter.
type Reason string

// The reasons of drops and resets.
const (
	NoView         Reason = "no_view"
	UnknownService Reason = "unknown_service"
	TrafficOff     Reason = "traffic_off"
	NoUpstream     Reason = "no_upstream"
	// Overloaded: the balancer sheds an opening to keep room for known flows.
	Overloaded Reason = "overloaded"
)

// Decision is the answer to one packet. Header is complete except for the
// trace context, which the caller of Decide sets for sampled openings.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	Service *view.Service
	To      *view.Upstream
	Header  frame.Header
	// Sampled: the opening is to be traced.
	Sampled bool
}

// Core is safe for concurrent use.
type Core struct {
	cfg    Config
	origin uint64
	view   atomic.Pointer[view.View]
	hints  *hintCache

	unanswered *unanswered
	openings   *rate.Limiter
	shedding   atomic.Bool
	sampler    sampler
	// drainedAt and lastPacket are Unix times in nanoseconds.
	drainedAt, lastPacket atomic.Int64
}

// New returns a core without a view, which drops every packet.
func New(cfg Config) *Core {
	return &Core{
		cfg: cfg, origin: ranking.MemberHash(cfg.VM), hints: newHintCache(cfg.HintCapacity),
		unanswered: &unanswered{}, openings: newOpeningLimit(cfg.OpeningsPerSecond),
		sampler: sampler{random: cfg.Random, share: cfg.TraceShare},
	}
}

// SetView replaces the view. Views of older revisions are ignored.
func (c *Core) SetView(v *view.View) {
	for {
		current := c.view.Load()
		if current != nil && v.Revision < current.Revision {
			return
		}
		if c.view.CompareAndSwap(current, v) {
			return
		}
	}
}

// View returns the current view, or nil.
func (c *Core) View() *view.View { return c.view.Load() }

// Decide chooses what to do with a packet of a caller.
func (c *Core) Decide(now time.Time, m *packet.Meta, d *Decision) {
	*d = Decision{Verdict: Drop}
	if c.State() == Draining {
		c.lastPacket.Store(now.UnixNano())
	}
	v := c.view.Load()
	if v == nil {
		d.Reason = NoView
		return
	}
	d.Service = v.ServiceByEndpoint(service.Endpoint{Address: m.Destination, Protocol: protocolName(m.Protocol)})
	if d.Service == nil {
		d.Reason = UnknownService
		return
	}
	c.route(now, v, m, d)
}

func (c *Core) route(now time.Time, v *view.View, m *packet.Meta, d *Decision) {
	hash := c.cfg.Hasher.Hash(m.CallerKey())
	d.Header = frame.Header{Kind: frame.KindPacket, Service: uint32(d.Service.ID), Epoch: v.Revision, Origin: c.origin}
	syn := m.Opening() && m.Protocol == packet.ProtocolTCP
	if m.Opening() {
		d.Header.Flags = frame.FlagOpening
	}
	if syn && !d.Service.Traffic {
		refuse(m, d, TrafficOff)
		return
	}
	target := c.target(now, d, m, hash)
	if target < 0 {
		c.noUpstream(m, d)
		return
	}
	mayOpen := sheddable(m, d.Header.Flags.Has(frame.FlagHinted))
	if mayOpen && c.overloaded(now) {
		d.Reason = Overloaded
		return
	}
	d.Sampled = mayOpen && c.sampler.sample()
	d.Verdict, d.To = Send, &d.Service.Members[target]
}

// target returns the member that gets the packet, or -1. A SYN goes to the
// placer even if a hint exists, because the caller may be reusing its port. A
// datagram without a hint may be an opening, which only its home can tell.
func (c *Core) target(now time.Time, d *Decision, m *packet.Meta, hash uint64) int {
	if m.Protocol == packet.ProtocolTCP && m.Opening() {
		return d.Service.Placer(hash)
	}
	if hinted := c.hinted(d.Service, hash, &d.Header); hinted >= 0 {
		return hinted
	}
	if m.Protocol == packet.ProtocolTCP {
		return c.unhinted(now, d.Service, hash, m)
	}
	return d.Service.Home(hash)
}

func (c *Core) noUpstream(m *packet.Meta, d *Decision) {
	d.Reason = NoUpstream
	if m.Opening() && m.Protocol == packet.ProtocolTCP {
		refuse(m, d, NoUpstream)
	}
}

// refuse resets an opening as not run. A SYN with payload is dropped instead,
// because an earlier copy of it may have reached an upstream.
func refuse(m *packet.Meta, d *Decision, r Reason) {
	d.Reason = r
	if m.PayloadBytes == 0 {
		d.Verdict = Reset
	}
}

// hinted returns the member that a hint names, or -1.
func (c *Core) hinted(s *view.Service, hash uint64, h *frame.Header) int {
	hint, ok := c.hints.get(hash)
	if !ok {
		return -1
	}
	i := s.IndexByHash(hint.holder)
	if i < 0 || !s.Members[i].Reachable() {
		return -1
	}
	h.Flags |= frame.FlagHinted
	h.Incarnation = uint64(hint.incarnation)
	return i
}

// HandleHint takes a hint from an agent.
func (c *Core) HandleHint(h *peer.Hint) {
	hash := c.cfg.Hasher.Hash(h.Key)
	if h.Holder == "" {
		c.hints.remove(hash)
		return
	}
	c.hints.put(hash, hint{holder: ranking.MemberHash(h.Holder), incarnation: h.Incarnation})
}

// Hints returns how many hints are kept.
func (c *Core) Hints() int { return c.hints.len() }

func protocolName(number uint8) service.Protocol {
	switch number {
	case packet.ProtocolTCP:
		return service.TCP
	case packet.ProtocolUDP:
		return service.UDP
	}
	return ""
}
