package agent

import (
	"net/netip"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/frame"
	"bramleyhold.example/bramleyhold/internal/packet"
	"bramleyhold.example/bramleyhold/internal/ranking"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

const (
	// GracePeriod is the time after a change of view in which other processes may
	// still use the previous view. Packets of unknown flows are then dropped
	// without a reset. It covers views that reach two processes up to 5 s apart.
	GracePeriod = 10 * time.Second
	// maxReturns bounds how often an opening may be returned to the placer, whether
	// a chosen member declined it or the forwarding chain ended. Header.Passes
	// counts both.
	maxReturns = 3
)

// Limits bounds the state that an agent keeps. For a limit of 0 the default
// applies.
type Limits struct {
	// HalfOpen bounds the flows whose handshake is not complete.
	HalfOpen int
	// Registrations bounds the flows of other agents that are registered here.
	Registrations int
	// Queue bounds the openings that wait at a placer for a free slot.
	Queue int
	// Claims bounds the grants of a home. It also bounds the openings for which an
	// agent awaits the response to a claim.
	Claims int
	// Recovery bounds the packets that are buffered during a recovery.
	Recovery int
}

// DefaultLimits returns the limits that replace limits of 0.
func DefaultLimits() Limits {
	return Limits{HalfOpen: 4096, Registrations: 65_536, Queue: 1024, Claims: 65_536, Recovery: 4096}
}

// withDefaults replaces limits of 0 by the defaults.
func (l Limits) withDefaults() Limits {
	defaults := DefaultLimits()
	for _, field := range []struct{ value, defaultValue *int }{
		{&l.HalfOpen, &defaults.HalfOpen},
		{&l.Registrations, &defaults.Registrations},
		{&l.Queue, &defaults.Queue},
		{&l.Claims, &defaults.Claims},
		{&l.Recovery, &defaults.Recovery},
	} {
		if *field.value == 0 {
			*field.value = *field.defaultValue
		}
	}
	return l
}

// Timeouts holds the idle time after which a flow of each kind ends.
type Timeouts struct {
	HalfOpen    time.Duration
	Established time.Duration
	Closing     time.Duration
	Datagram    time.Duration
}

// DefaultTimeouts returns the timeouts that apply if none are set. The timeout
// of an established flow exceeds the usual TCP keep-alive interval of 2 h.
func DefaultTimeouts() Timeouts {
	return Timeouts{HalfOpen: 10 * time.Second, Established: 4 * time.Hour, Closing: 10 * time.Second, Datagram: time.Minute}
}

// Config holds the settings of an agent.
type Config struct {
	VM          vm.ID
	Service     service.Name
	Incarnation vm.Incarnation
	// Upstream is the address of the server process beside the agent.
	Upstream netip.AddrPort
	// Aliases is the prefix of the alias addresses of flows.
	Aliases  netip.Prefix
	Hasher   flow.Hasher
	Limits   Limits
	Timeouts Timeouts
	// Recover makes the agent fetch the flows of its previous incarnation from its
	// peers. Until it has them, packets of unknown flows are buffered.
	Recover bool
	// UpstreamStarted, if set, is the start time of the upstream process by the
	// clock of this VM. Flows that were opened before it ended with the previous
	// upstream process and are not restored.
	UpstreamStarted time.Time
	// Events, if set, receives a sample of the decisions.
	Events Recorder
}

// Core holds the state of one agent and is safe for concurrent use.
//
// Flow state is sharded by flow hash, and each shard has a lock. The state of
// the placer, the registrations of peers, the claims and the recovery have
// locks of their own. Lock order: under the lock of a shard only the locks of
// the alias pool and of the registration updates are taken. Under the lock of
// the placer, of the claims or of the recovery no other lock is taken.
type Core struct {
	cfg       Config
	selfHash  uint64
	viewState atomic.Pointer[viewState]
	// firstEventAt is the Unix time in nanoseconds of the first event, or 0.
	firstEventAt atomic.Int64
	// oldestIncarnation is the oldest incarnation of this agent whose frames are
	// accepted. It is older than the current one if flows were restored.
	oldestIncarnation atomic.Uint64
	draining          atomic.Bool
	// lastTicket numbers the buffered packets.
	lastTicket atomic.Uint64
	flows      *flowTable
	aliases    *aliasPool
	// registry holds the flows of other agents, for which this one is a registrar.
	registry     *registry
	placer       *placerState
	claims       *claimTable
	recovery     *recovery
	loadReporter loadReporter
	hintLimiter  *rate.Limiter
	// registrationUpdates collects changes of this agent's flows for their
	// registrars.
	registrationUpdates registrationUpdates
	openingCounters     upstreamCounters
	// upstreamLoad is the last load that the upstream reported, or nil.
	upstreamLoad atomic.Pointer[UpstreamLoad]
	coldGuard    *coldGuard
	events       eventSampler
}

// New returns a core that has no view yet.
func New(cfg Config) *Core {
	cfg.Limits = cfg.Limits.withDefaults()
	if cfg.Timeouts == (Timeouts{}) {
		cfg.Timeouts = DefaultTimeouts()
	}
	c := &Core{
		cfg:      cfg,
		selfHash: ranking.MemberHash(cfg.VM),
		flows:    newFlowTable(),
		aliases:  newAliasPool(cfg.Aliases),
		registry: newRegistry(cfg.Limits.Registrations),
		placer:   newPlacerState(cfg.Limits.Queue),
		claims:   newClaimTable(cfg.Limits.Claims),
		recovery: newRecovery(cfg.Recover, cfg.Limits.Recovery),
		events:   newEventSampler(cfg.Events),

		coldGuard: newColdGuard(),
	}
	c.loadReporter.limiter = newLoadLimiter()
	c.hintLimiter = rate.NewLimiter(hintsPerSecond, hintBurst)
	c.oldestIncarnation.Store(uint64(cfg.Incarnation))
	return c
}

// currentService returns the service of this agent in the current view. It is
// nil without a view, or if the view lacks the service.
func (c *Core) currentService() *view.Service {
	state := c.viewState.Load()
	if state == nil {
		return nil
	}
	return state.service
}

// HandleFrame handles a packet of a caller that a balancer or another agent
// forwarded in a frame.
func (c *Core) HandleFrame(now time.Time, header *frame.Header, meta *packet.Meta, out *Actions) {
	svc := c.currentService()
	if svc == nil {
		out.drop(NoView)
		return
	}
	c.recordFirstEvent(now)
	if !isForService(svc, header, meta) {
		out.drop(WrongService)
		return
	}
	if c.isStaleFrame(header) {
		c.dropStaleFrame(header, meta, out)
		return
	}
	pkt := callerPacket{now: now, nowNanos: now.UnixNano(), svc: svc, header: header, meta: meta, key: meta.CallerKey()}
	pkt.hash = c.cfg.Hasher.Hash(pkt.key)
	c.handleCallerPacket(&pkt, out)
	c.placeQueuedOpenings(now, out)
}

// handleCallerPacket delivers, buffers or forwards a packet that is addressed to
// the service of this agent.
func (c *Core) handleCallerPacket(pkt *callerPacket, out *Actions) {
	switch c.deliverToHeldFlow(pkt, out) {
	case packetHandled:
		c.sendHintAfterAttempts(pkt, out)
		return
	case flowHeldElsewhere:
		c.forwardToNextMember(pkt, out)
		return
	}
	if c.bufferDuringRecovery(pkt, out) {
		return
	}
	if pkt.meta.IsOpening() && pkt.header.Flags.Has(frame.FlagOpening) {
		c.handleOpening(pkt, out)
		return
	}
	c.handleUnknownFlow(pkt, out)
}

// callerPacket is a packet of a caller with its frame header, its flow key and
// the service of the view in which it is handled.
type callerPacket struct {
	now      time.Time
	nowNanos int64
	svc      *view.Service
	header   *frame.Header
	meta     *packet.Meta
	key      flow.Key
	hash     uint64
	// excludedMembers has a bit for each member that the placer must not choose.
	excludedMembers uint64
}

// flowRef is the key of a flow with its hash, so that the key is hashed once.
type flowRef struct {
	hash uint64
	key  flow.Key
}

// isForService reports whether the frame and its packet are addressed to the
// service of this agent.
func isForService(svc *view.Service, header *frame.Header, meta *packet.Meta) bool {
	return uint32(svc.ID) == header.Service &&
		meta.Destination == svc.Endpoint.Address &&
		meta.Protocol == svc.Endpoint.Protocol.Number()
}

// HandleUpstreamPacket handles a packet that the upstream sent to an alias.
func (c *Core) HandleUpstreamPacket(now time.Time, meta *packet.Meta, out *Actions) {
	if !c.replyToCaller(now, meta.Destination, meta, out) {
		out.drop(UnknownAlias)
		return
	}
	c.placeQueuedOpenings(now, out)
}

// FlowCounts returns the numbers of established and half-open flows. Closing
// flows count against no limit and are left out.
func (c *Core) FlowCounts() (established, halfOpen int) { return c.flows.counts() }

// recordFirstEvent stores the time of the first event of this incarnation.
func (c *Core) recordFirstEvent(now time.Time) {
	if c.firstEventAt.Load() == 0 {
		c.firstEventAt.CompareAndSwap(0, now.UnixNano())
	}
}

// otherViewsExpired reports whether no other process can use a view that
// differs from this one. The last change of the service and the first event of
// this incarnation must both be at least GracePeriod ago. The second condition
// covers a restarted agent. Functions that only compare ChangedAt with
// GracePeriod test the first condition alone.
func (c *Core) otherViewsExpired(now time.Time, svc *view.Service) bool {
	return now.Sub(svc.ChangedAt) >= GracePeriod && now.UnixNano()-c.firstEventAt.Load() >= int64(GracePeriod)
}
