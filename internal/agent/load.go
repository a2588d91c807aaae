package agent

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"bramleyhold.example/bramleyhold/internal/packet"
	"bramleyhold.example/bramleyhold/internal/peer"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/view"
)

const (
	// loadInterval is the shortest time between two reports to a placer.
	loadInterval = 5 * time.Millisecond
	// loadRepeat is how often the placers get a report without a change.
	loadRepeat = time.Second
	// loadToAll is how often all members get a report. They need it when they
	// become placers, and then get one at once.
	loadToAll = 10 * time.Second
	// loadConfirm delays a report that only confirms placements. It is below
	// pendingTimeout, after which the placer would forget them.
	loadConfirm = 400 * time.Millisecond
	// loadBytesPerSecond and loadBurstBytes bound the load reports; loadBytes
	// is the size of one on the wire.
	loadBytesPerSecond = 2048
	loadBurstBytes     = 8192
	loadBytes          = 160
)

// UpstreamLoad is what the upstream says about itself, as rated by internal/health.
type UpstreamLoad struct {
	// Busy is the number of busy slots. It counts for services with long
	// flows only; the agent counts the slots of short requests itself.
	Busy int
	// Slots, if not 0, lowers the number of slots of the inventory.
	Slots int
	// Shedding: the upstream asks for no new work.
	Shedding bool
}

// SetUpstreamLoad replaces the report of the upstream.
func (c *Core) SetUpstreamLoad(r UpstreamLoad) {
	before := c.report.Swap(&r)
	if before == nil || *before != r {
		c.load.urgent.Store(true)
	}
}

// OpeningCounters is what the agent has seen of its upstream in the data path. The
// counts only grow.
type OpeningCounters struct {
	// Openings were delivered; Accepted were answered by a SYN-ACK or, for
	// UDP, by a datagram; Resets were sent by the upstream.
	Openings, Accepted, Resets uint64
}

type observed struct {
	openings, accepted, resets atomic.Uint64
}

func (o *observed) note(m *packet.Meta) {
	if m.Protocol == packet.ProtocolTCP && m.Flags.Has(packet.SYN|packet.ACK) {
		o.accepted.Add(1)
	}
	if m.Protocol == packet.ProtocolTCP && m.Flags.Has(packet.RST) {
		o.resets.Add(1)
	}
}

// OpeningCounters returns what the agent has seen of its upstream.
func (c *Core) OpeningCounters() OpeningCounters {
	return OpeningCounters{
		Openings: c.observed.openings.Load(), Accepted: c.observed.accepted.Load(), Resets: c.observed.resets.Load(),
	}
}

// loadState decides when the load of this upstream has to be reported.
type loadState struct {
	sequence atomic.Uint64
	// urgent: a slot was freed or the status changed. changed: a placement
	// has to be confirmed.
	urgent, changed atomic.Bool
	// admitted counts the slots that were taken since the last report. The
	// placer adds them to what was reported and knows no departure.
	admitted atomic.Int64

	mu      sync.Mutex
	limiter *rate.Limiter
	// placed holds the greatest placement number by the placer's hash.
	placed     map[uint64]uint32
	lastBusy   int
	lastReport time.Time
	lastToAll  time.Time
	// placersOf is the service as it was at the last report to all members.
	placersOf *view.Service
}

func newLoadLimiter() *rate.Limiter { return rate.NewLimiter(loadBytesPerSecond, loadBurstBytes) }

// notePlacement remembers a placement that arrived from a placer.
func (c *Core) notePlacement(a *arrival) {
	svc, h := a.svc, a.h
	placer := svc.Placer(a.hash)
	if placer < 0 || h.Placement == 0 {
		return
	}
	c.load.mu.Lock()
	defer c.load.mu.Unlock()
	if c.load.placed == nil {
		c.load.placed = map[uint64]uint32{}
	}
	known := c.load.placed[svc.MemberHashes[placer]]
	if int32(h.Placement-known) > 0 {
		c.load.placed[svc.MemberHashes[placer]] = h.Placement
	}
	c.load.changed.Store(true)
}

// Load returns the load of the upstream as its placers get it. It is empty
// while the view has no service of this agent.
func (c *Core) Load() peer.Load {
	svc := c.service()
	if svc == nil {
		return peer.Load{VM: c.cfg.VM}
	}
	return c.ownLoad(svc)
}

// ownLoad returns the load of this upstream.
func (c *Core) ownLoad(svc *view.Service) peer.Load {
	established, halfOpen := c.flows.counts()
	l := peer.Load{
		VM: c.cfg.VM, Incarnation: c.cfg.Incarnation,
		Busy: int(c.flows.slots.Load()), Flows: established + halfOpen, Status: view.Starting,
		Queued: int(c.placement.waiting.Load()),
	}
	if i := svc.IndexByHash(c.selfHash); i >= 0 {
		u := &svc.Members[i]
		l.Slots, l.MaxFlows, l.Status = u.Slots, u.Connections, u.Status
	}
	if r := c.report.Load(); r != nil {
		l.Shedding = r.Shedding
		if r.Slots > 0 {
			l.Slots = min(l.Slots, r.Slots)
		}
		if svc.Contract.Shape == service.LongFlows {
			l.Busy = r.Busy
		}
	}
	if c.draining.Load() {
		l.Status = view.Leaving
	}
	return l
}

// reportLoad sends the load to the placers after a change, and to all members
// from time to time. When the budget is used up, changes wait for the next
// report, except for a slot that becomes free where there was none.
func (c *Core) reportLoad(now time.Time, svc *view.Service, out *Actions) {
	l := c.ownLoad(svc)
	toAll, due := c.loadDue(now, svc, &l)
	if !due {
		return
	}
	l.Sequence = c.load.sequence.Add(1)
	for i := range svc.Members {
		if toAll || svc.IsPlacer(i) {
			c.sendLoad(svc, i, l, out)
		}
	}
}

func (c *Core) loadDue(now time.Time, svc *view.Service, l *peer.Load) (toAll, due bool) {
	s := &c.load
	s.mu.Lock()
	defer s.mu.Unlock()
	full := l.Busy >= l.Slots
	freed := !full && s.lastBusy+int(s.admitted.Load()) >= l.Slots
	switch {
	case l.Busy < s.lastBusy:
		s.urgent.Store(true)
	case l.Busy > s.lastBusy:
		s.changed.Store(true)
	}
	since := now.Sub(s.lastReport)
	toAll = now.Sub(s.lastToAll) >= loadToAll || !s.placersOf.SamePlacers(svc)
	due = toAll || freed || since >= loadRepeat || (s.urgent.Load() && since >= loadInterval) || (s.changed.Load() && since >= loadConfirm)
	if !due {
		return false, false
	}
	if toAll || freed {
		receivers := 1
		if toAll {
			receivers = max(len(svc.Members)-1, 1)
		}
		s.limiter.ReserveN(now, min(receivers*loadBytes, loadBurstBytes))
	} else if !s.limiter.AllowN(now, loadBytes) {
		return false, false
	}
	if toAll {
		s.lastToAll, s.placersOf = now, svc
	}
	s.lastReport, s.lastBusy = now, l.Busy
	s.admitted.Store(0)
	s.urgent.Store(false)
	s.changed.Store(false)
	return toAll, true
}

func (c *Core) sendLoad(svc *view.Service, member int, l peer.Load, out *Actions) {
	u := &svc.Members[member]
	if u.Hash == c.selfHash || !u.Reachable() {
		return
	}
	c.load.mu.Lock()
	l.Placed = c.load.placed[u.Hash]
	c.load.mu.Unlock()
	out.add(Action{Kind: Send, To: u.Address, ToVM: u.VM, Message: &peer.Message{Load: &l}})
}
