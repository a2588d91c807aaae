package agent

import (
	"net/netip"
	"sync/atomic"
	"time"

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

// Limits bounds what an agent keeps.
type Limits struct {
	// HalfOpen bounds flows whose handshake is not complete.
	HalfOpen int
	// Registrations bounds the flows of others that are remembered.
	Registrations int
}

// DefaultLimits are used for limits that are not set.
func DefaultLimits() Limits { return Limits{HalfOpen: 4096, Registrations: 65_536} }

// Timeouts says after which idle time a flow ends.
type Timeouts struct {
	HalfOpen    time.Duration
	Established time.Duration
	Closing     time.Duration
	Datagram    time.Duration
}

// DefaultTimeouts are used for timeouts that are not set.
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
}

// Core is safe for concurrent use. Flow state is sharded by flow hash, each
// shard under its own lock; the placer's counts and the registrations of peers
// have locks of their own. Under a shard lock only the locks of the alias pool
// and of the outbox are taken.
type Core struct {
	cfg       Config
	selfHash  uint64
	view      atomic.Pointer[view.View]
	flows     *flowTable
	aliases   *aliasPool
	peers     *registry
	placement *placement
	load      loadState
	outbox    outbox
}

// New returns a core without a view.
func New(cfg Config) *Core {
	if cfg.Limits == (Limits{}) {
		cfg.Limits = DefaultLimits()
	}
	if cfg.Timeouts == (Timeouts{}) {
		cfg.Timeouts = DefaultTimeouts()
	}
	return &Core{
		cfg:       cfg,
		selfHash:  ranking.MemberHash(cfg.VM),
		flows:     newFlowTable(),
		aliases:   newAliasPool(cfg.Aliases),
		peers:     newRegistry(cfg.Limits.Registrations),
		placement: newPlacement(),
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

// service returns the service of this agent in the current view, or nil.
func (c *Core) service() *view.Service {
	v := c.view.Load()
	if v == nil {
		return nil
	}
	return v.ServiceByName(c.cfg.Service)
}

// HandleFrame decides about a packet of a caller that came in a frame.
func (c *Core) HandleFrame(now time.Time, h *frame.Header, m *packet.Meta, out *Actions) {
	svc := c.service()
	if svc == nil {
		out.drop(NoView)
		return
	}
	if !belongs(svc, h, m) {
		out.drop(WrongService)
		return
	}
	if c.stale(h) {
		c.rejectStale(h, m, out)
		return
	}
	a := &arrival{now: now, svc: svc, h: h, m: m, key: m.CallerKey()}
	a.hash = c.cfg.Hasher.Hash(a.key)
	switch c.flows.deliver(a, c, out) {
	case delivered:
		return
	case mismatch:
		c.forwardNext(a, out)
		return
	}
	if m.Opening() && h.Flags.Has(frame.FlagOpening) {
		c.handleOpening(a, out)
		return
	}
	c.handleUnknown(a, out)
}

// arrival is a packet of a caller with what is known about it.
type arrival struct {
	now  time.Time
	svc  *view.Service
	h    *frame.Header
	m    *packet.Meta
	key  flow.Key
	hash uint64
}

func (a *arrival) ref() flowRef { return flowRef{hash: a.hash, key: a.key} }

// belongs checks that frame and packet are for the service of this agent.
func belongs(svc *view.Service, h *frame.Header, m *packet.Meta) bool {
	return uint32(svc.ID) == h.Service &&
		m.Destination == svc.Endpoint.Address &&
		m.Protocol == svc.Endpoint.Protocol.Number()
}

// HandleUpstream decides about a packet that the upstream sent to an alias.
func (c *Core) HandleUpstream(now time.Time, m *packet.Meta, out *Actions) {
	ref, ok := c.aliases.owner(m.Destination, m.Protocol)
	if !ok {
		out.drop(UnknownAlias)
		return
	}
	if !c.flows.reply(now, ref, m, c, out) {
		out.drop(UnknownAlias)
	}
}

// Flows returns the number of flows in each phase that counts against a limit.
func (c *Core) Flows() (established, halfOpen int) { return c.flows.counts() }
