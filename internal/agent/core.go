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
	// GracePeriod is the time after a change of view in which a packet of an
	// unknown flow is dropped silently. It covers views that are 5 s apart.
	GracePeriod = 10 * time.Second
	// maxPasses bounds how often an opening is passed back to the placer.
	maxPasses = 3
)

// Limits bounds what an agent keeps. A limit of 0 stands for the default.
type Limits struct {
	// HalfOpen bounds flows whose handshake is not complete.
	HalfOpen int
	// Registrations bounds the flows of others that are remembered.
	Registrations int
	// Queue bounds the openings that wait for a free slot at a placer.
	Queue int
	// Claims bounds the claims that a home remembers, and those that a holder
	// waits for.
	Claims int
	// Recovery bounds the packets that are held during a recovery.
	Recovery int
}

// DefaultLimits are used for limits that are not set.
func DefaultLimits() Limits {
	return Limits{HalfOpen: 4096, Registrations: 65_536, Queue: 1024, Claims: 65_536, Recovery: 4096}
}

func (l Limits) withDefaults() Limits {
	d := DefaultLimits()
	for _, field := range []struct{ value, standard *int }{
		{&l.HalfOpen, &d.HalfOpen},
		{&l.Registrations, &d.Registrations},
		{&l.Queue, &d.Queue},
		{&l.Claims, &d.Claims},
		{&l.Recovery, &d.Recovery},
	} {
		if *field.value == 0 {
			*field.value = *field.standard
		}
	}
	return l
}

// Timeouts says after which idle time a flow ends.
type Timeouts struct {
	HalfOpen    time.Duration
	Established time.Duration
	Closing     time.Duration
	Datagram    time.Duration
}

// DefaultTimeouts are used for timeouts that are not set. The limit of an
// established flow exceeds the usual TCP keep-alive interval of 2 h.
func DefaultTimeouts() Timeouts {
	return Timeouts{HalfOpen: 10 * time.Second, Established: 4 * time.Hour, Closing: 10 * time.Second, Datagram: time.Minute}
}

// Config is what an agent knows from its settings.
type Config struct {
	VM          vm.ID
	Service     service.Name
	Incarnation vm.Incarnation
	// Upstream is the address of the server beside the agent.
	Upstream netip.AddrPort
	// Aliases is the prefix from which flows get their alias.
	Aliases  netip.Prefix
	Hasher   flow.Hasher
	Limits   Limits
	Timeouts Timeouts
	// Recover makes the agent ask its peers for flows of an earlier life
	// before it decides about packets of unknown flows.
	Recover bool
	// UpstreamStarted, if set, is when the upstream process started, by the
	// clock of this VM. Flows that were opened before it ended with the
	// earlier process and are not restored.
	UpstreamStarted time.Time
	// Events, if set, receives a sample of the decisions.
	Events Recorder
}

// Core is safe for concurrent use. Flow state is sharded by flow hash, each
// shard under its own lock; the placer's counts, the registrations of peers,
// the claims and the recovery have locks of their own. Under a shard lock only
// the locks of the alias pool and of the outbox are taken; under the lock of
// the placement, of the claims or of the recovery no other lock is taken.
type Core struct {
	cfg       Config
	selfHash  uint64
	state     atomic.Pointer[viewState]
	started   atomic.Int64
	oldest    atomic.Uint64
	draining  atomic.Bool
	tickets   atomic.Uint64
	flows     *flowTable
	aliases   *aliasPool
	peers     *registry
	placement *placement
	claims    *claims
	recovery  *recovery
	load      loadState
	hints     *rate.Limiter
	outbox    outbox
	observed  observed
	report    atomic.Pointer[UpstreamLoad]
	events    sampler
}

// New returns a core without a view.
func New(cfg Config) *Core {
	cfg.Limits = cfg.Limits.withDefaults()
	if cfg.Timeouts == (Timeouts{}) {
		cfg.Timeouts = DefaultTimeouts()
	}
	c := &Core{
		cfg:       cfg,
		selfHash:  ranking.MemberHash(cfg.VM),
		flows:     newFlowTable(),
		aliases:   newAliasPool(cfg.Aliases),
		peers:     newRegistry(cfg.Limits.Registrations),
		placement: newPlacement(cfg.Limits.Queue),
		claims:    newClaims(cfg.Limits.Claims),
		recovery:  newRecovery(cfg.Recover, cfg.Limits.Recovery),
		events:    newSampler(cfg.Events),
	}
	c.load.limiter = newLoadLimiter()
	c.hints = rate.NewLimiter(hintsPerSecond, hintBurst)
	c.oldest.Store(uint64(cfg.Incarnation))
	return c
}

// service returns the service of this agent in the current view, or nil.
func (c *Core) service() *view.Service {
	st := c.state.Load()
	if st == nil {
		return nil
	}
	return st.service
}

// HandleFrame decides about a packet of a caller that came in a frame.
func (c *Core) HandleFrame(now time.Time, h *frame.Header, m *packet.Meta, out *Actions) {
	svc := c.service()
	if svc == nil {
		out.drop(NoView)
		return
	}
	c.noteStart(now)
	if !belongs(svc, h, m) {
		out.drop(WrongService)
		return
	}
	if c.stale(h) {
		c.rejectStale(h, m, out)
		return
	}
	a := arrival{now: now, nanos: now.UnixNano(), svc: svc, h: h, m: m, key: m.CallerKey()}
	a.hash = c.cfg.Hasher.Hash(a.key)
	c.handleArrival(&a, out)
	c.dispatch(now, out)
}

func (c *Core) handleArrival(a *arrival, out *Actions) {
	switch c.deliver(a, out) {
	case delivered:
		return
	case mismatch:
		c.forwardNext(a, out)
		return
	}
	if c.holdForRecovery(a, out) {
		return
	}
	if a.m.Opening() && a.h.Flags.Has(frame.FlagOpening) {
		c.handleOpening(a, out)
		return
	}
	c.handleUnknown(a, out)
}

// arrival is a packet of a caller with what is known about it.
type arrival struct {
	now   time.Time
	nanos int64
	svc   *view.Service
	h     *frame.Header
	m     *packet.Meta
	key   flow.Key
	hash  uint64
	// excluded has a bit for each member that must not be chosen.
	excluded uint64
}

// flowRef finds a flow without its key being hashed again.
type flowRef struct {
	hash uint64
	key  flow.Key
}

// belongs checks that frame and packet are for the service of this agent.
func belongs(svc *view.Service, h *frame.Header, m *packet.Meta) bool {
	return uint32(svc.ID) == h.Service &&
		m.Destination == svc.Endpoint.Address &&
		m.Protocol == svc.Endpoint.Protocol.Number()
}

// HandleUpstream decides about a packet that the upstream sent to an alias.
func (c *Core) HandleUpstream(now time.Time, m *packet.Meta, out *Actions) {
	if !c.reply(now, m.Destination, m, out) {
		out.drop(UnknownAlias)
		return
	}
	c.dispatch(now, out)
}

// Flows returns the number of flows in each phase that counts against a limit.
func (c *Core) Flows() (established, halfOpen int) { return c.flows.counts() }

// noteStart remembers when this life of the agent saw its first event.
func (c *Core) noteStart(now time.Time) {
	if c.started.Load() == 0 {
		c.started.CompareAndSwap(0, now.UnixNano())
	}
}

// settled reports whether no view that is still in use elsewhere differs from
// the one in use here, and this life of the agent is older than that.
func (c *Core) settled(now time.Time, svc *view.Service) bool {
	return now.Sub(svc.ChangedAt) >= GracePeriod && now.UnixNano()-c.started.Load() >= int64(GracePeriod)
}
