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

// Config holds the settings of a Core.
type Config struct {
	VM     vm.ID
	Hasher flow.Hasher
	// HintCapacity bounds the cached hints; 0 sets the default.
	HintCapacity int
	// OpeningsPerSecond bounds the openings that this balancer forwards; 0 sets
	// no bound.
	OpeningsPerSecond int
	// TraceShare is the fraction of openings that are traced. Random selects
	// them.
	TraceShare float64
	Random     *rand.Rand
}

// Verdict is the action for a packet.
type Verdict uint8

// The verdicts on a packet.
const (
	// Send forwards the packet to the agent at Decision.To.
	Send Verdict = iota + 1
	// Reset answers an opening with a TCP reset. It guarantees to the caller that
	// no upstream ran the request.
	Reset
	// Drop discards the packet and counts it under Decision.Reason.
	Drop
)

// Reason is the cause of a drop or reset, and the name of its counter.
type Reason string

// The reasons of drops and resets.
const (
	NoView         Reason = "no_view"
	UnknownService Reason = "unknown_service"
	TrafficOff     Reason = "traffic_off"
	NoUpstream     Reason = "no_upstream"
	// Overloaded: the balancer drops an opening to keep capacity for packets of
	// established flows.
	Overloaded Reason = "overloaded"
)

// Decision is the result for one packet. Header is complete except for the
// trace context. The code that called Decide sets it for sampled openings.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	Service *view.Service
	To      *view.Upstream
	Header  frame.Header
	// Sampled: the opening was selected for tracing.
	Sampled bool
}

// Core decides where to send packets. It is safe for concurrent use.
type Core struct {
	cfg Config
	// originHash is the member hash of this balancer. Agents use it to find the
	// balancer that forwarded a packet.
	originHash uint64
	view       atomic.Pointer[view.View]
	hints      *hintCache

	retransmissions *retransmissionTable
	openingLimiter  *rate.Limiter
	shedOpenings    atomic.Bool
	traceSampler    traceSampler
	// drainStartedAt and lastPacketAt are Unix times in nanoseconds, or 0 before
	// the event. lastPacketAt is set only during the drain.
	drainStartedAt, lastPacketAt atomic.Int64
}

// New returns a core without a view. It drops every packet until SetView.
func New(cfg Config) *Core {
	return &Core{
		cfg: cfg, originHash: ranking.MemberHash(cfg.VM), hints: newHintCache(cfg.HintCapacity),
		retransmissions: &retransmissionTable{}, openingLimiter: newOpeningLimiter(cfg.OpeningsPerSecond),
		traceSampler: traceSampler{random: cfg.Random, share: cfg.TraceShare},
	}
}

// SetView replaces the view, unless the current one has a higher revision.
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

// Decide sets d to the decision for a packet from a caller.
func (c *Core) Decide(now time.Time, m *packet.Meta, d *Decision) {
	*d = Decision{Verdict: Drop}
	if c.State() == Draining {
		c.lastPacketAt.Store(now.UnixNano())
	}
	v := c.view.Load()
	if v == nil {
		d.Reason = NoView
		return
	}
	d.Service = v.ServiceByEndpoint(service.Endpoint{Address: m.Destination, Protocol: serviceProtocol(m.Protocol)})
	if d.Service == nil {
		d.Reason = UnknownService
		return
	}
	c.decideInService(now, v, m, d)
}

// decideInService completes the decision for a packet of the service d.Service.
func (c *Core) decideInService(now time.Time, v *view.View, m *packet.Meta, d *Decision) {
	flowHash := c.cfg.Hasher.Hash(m.CallerKey())
	d.Header = frame.Header{Kind: frame.KindPacket, Service: uint32(d.Service.ID), Epoch: v.Revision, Origin: c.originHash}
	isSYN := m.IsOpening() && m.Protocol == packet.ProtocolTCP
	if m.IsOpening() {
		d.Header.Flags = frame.FlagOpening
	}
	if isSYN && !d.Service.Traffic {
		rejectOpening(m, d, TrafficOff)
		return
	}
	member := c.targetMember(now, d, m, flowHash)
	if member < 0 {
		c.rejectWithoutUpstream(m, d)
		return
	}
	opensFlow := mayOpenFlow(m, d.Header.Flags.Has(frame.FlagHinted))
	if opensFlow && c.mustShedOpening(now) {
		d.Reason = Overloaded
		return
	}
	d.Sampled = opensFlow && c.traceSampler.selectOpening()
	d.Verdict, d.To = Send, &d.Service.Members[member]
}

// targetMember returns the index of the member that receives the packet, or -1.
//
// A SYN goes to the placer even if a hint exists, because the caller may be
// reusing its port. Any other packet goes to the holder that a hint names, if
// there is one. A datagram without a hint may be an opening. Only the home of
// the flow can decide that, because it stores the registration of the flow.
func (c *Core) targetMember(now time.Time, d *Decision, m *packet.Meta, flowHash uint64) int {
	if m.Protocol == packet.ProtocolTCP && m.IsOpening() {
		return d.Service.Placer(flowHash)
	}
	if member := c.hintedMember(d.Service, flowHash, &d.Header); member >= 0 {
		return member
	}
	if m.Protocol == packet.ProtocolTCP {
		member, attempts := c.memberByAttempts(now, d.Service, flowHash, m)
		d.Header.Flags = d.Header.Flags.WithAttempts(attempts)
		return member
	}
	return d.Service.Home(flowHash)
}

// rejectWithoutUpstream drops a packet that no member can receive, and resets a
// SYN.
func (c *Core) rejectWithoutUpstream(m *packet.Meta, d *Decision) {
	d.Reason = NoUpstream
	if m.IsOpening() && m.Protocol == packet.ProtocolTCP {
		rejectOpening(m, d, NoUpstream)
	}
}

// rejectOpening resets a SYN, which states that the request was not run. A SYN
// with payload is dropped instead: an earlier copy of it may have reached an
// upstream.
func rejectOpening(m *packet.Meta, d *Decision, reason Reason) {
	d.Reason = reason
	if m.PayloadBytes == 0 {
		d.Verdict = Reset
	}
}

// hintedMember returns the index of the reachable member that a hint names as
// the holder of the flow, or -1. It sets the flag and the incarnation in h.
func (c *Core) hintedMember(s *view.Service, flowHash uint64, h *frame.Header) int {
	hint, ok := c.hints.get(flowHash)
	if !ok {
		return -1
	}
	i := s.IndexByHash(hint.holderHash)
	if i < 0 || !s.Members[i].Reachable() {
		return -1
	}
	h.Flags |= frame.FlagHinted
	h.Incarnation = uint64(hint.incarnation)
	return i
}

// HandleHint stores a hint from an agent. A hint without a holder deletes the
// stored one.
func (c *Core) HandleHint(h *peer.Hint) {
	flowHash := c.cfg.Hasher.Hash(h.Key)
	if h.Holder == "" {
		c.hints.remove(flowHash)
		return
	}
	c.hints.put(flowHash, hint{holderHash: ranking.MemberHash(h.Holder), incarnation: h.Incarnation})
}

// HintCount returns the number of cached hints.
func (c *Core) HintCount() int { return c.hints.len() }

// serviceProtocol returns the protocol with the given IP protocol number, or ""
// if services cannot use it.
func serviceProtocol(protocolNumber uint8) service.Protocol {
	switch protocolNumber {
	case packet.ProtocolTCP:
		return service.TCP
	case packet.ProtocolUDP:
		return service.UDP
	}
	return ""
}
