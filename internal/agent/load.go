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
	// minLoadReportInterval is the shortest time between two reports to a placer.
	minLoadReportInterval = 5 * time.Millisecond
	// loadRepeatInterval is the interval of reports to the placers when nothing
	// has changed.
	loadRepeatInterval = time.Second
	// loadBroadcastInterval is the interval of reports to all members. A member
	// needs the load when it becomes a placer. A change of placers is therefore
	// followed by a report to all members at once.
	loadBroadcastInterval = 10 * time.Second
	// placementConfirmDelay delays a report that only confirms placements. It is
	// shorter than placementConfirmTimeout, after which the placer no longer
	// counts them.
	placementConfirmDelay = 400 * time.Millisecond
	// loadBytesPerSecond and loadBurstBytes bound the traffic of load reports.
	// loadMessageBytes is the size of one report on the wire.
	loadBytesPerSecond = 2048
	loadBurstBytes     = 8192
	loadMessageBytes   = 160
)

// UpstreamLoad is the load that the upstream reports, as evaluated by
// internal/health.
type UpstreamLoad struct {
	// Busy is the number of busy slots. It is used for services with long flows
	// only. For short requests the agent counts the slots itself.
	Busy int
	// Slots, if not 0, lowers the number of slots from the inventory.
	Slots int
	// Shedding: the upstream requests that no openings are placed on it for now.
	Shedding bool
}

// SetUpstreamLoad replaces the reported load of the upstream.
func (c *Core) SetUpstreamLoad(load UpstreamLoad) {
	previous := c.upstreamLoad.Swap(&load)
	if previous == nil || *previous != load {
		c.loadReporter.urgentChange.Store(true)
	}
}

// OpeningCounters counts openings and their outcomes, as seen in the packets to
// and from the upstream. The counts never decrease.
type OpeningCounters struct {
	// Openings counts those delivered to the upstream, Accepted the SYN-ACKs and
	// Resets the resets that the upstream sent.
	Openings, Accepted, Resets uint64
}

// upstreamCounters holds the counts of OpeningCounters.
type upstreamCounters struct {
	openings, accepted, resets atomic.Uint64
}

// count counts a packet of the upstream.
func (o *upstreamCounters) count(meta *packet.Meta) {
	if meta.Protocol == packet.ProtocolTCP && meta.Flags.Has(packet.SYN|packet.ACK) {
		o.accepted.Add(1)
	}
	if meta.Protocol == packet.ProtocolTCP && meta.Flags.Has(packet.RST) {
		o.resets.Add(1)
	}
}

// OpeningCounters returns the current counts.
func (c *Core) OpeningCounters() OpeningCounters {
	return OpeningCounters{
		Openings: c.openingCounters.openings.Load(), Accepted: c.openingCounters.accepted.Load(), Resets: c.openingCounters.resets.Load(),
	}
}

// loadReporter decides when the load of this upstream is reported.
type loadReporter struct {
	sequence atomic.Uint64
	// urgentChange: a slot was freed or the status changed. minorChange: a
	// placement has to be confirmed.
	urgentChange, minorChange atomic.Bool
	// slotsTakenSinceReport counts the slots that were taken since the last
	// report. The placer adds its own placements to the reported load, but it does
	// not see flows end.
	slotsTakenSinceReport atomic.Int64

	mu      sync.Mutex
	limiter *rate.Limiter
	// lastPlacements holds the greatest placement number from each placer, by the
	// member hash of the placer.
	lastPlacements   map[uint64]uint32
	lastReportedBusy int
	lastReportAt     time.Time
	lastBroadcastAt  time.Time
	// broadcastService is the service at the time of the last report to all
	// members.
	broadcastService *view.Service
}

func newLoadLimiter() *rate.Limiter { return rate.NewLimiter(loadBytesPerSecond, loadBurstBytes) }

// recordPlacementNumber stores the number of a placement that arrived from its
// placer, so that the next load report confirms it.
func (c *Core) recordPlacementNumber(pkt *callerPacket) {
	svc, header := pkt.svc, pkt.header
	placer := svc.Placer(pkt.hash)
	if placer < 0 || header.Placement == 0 {
		return
	}
	c.loadReporter.mu.Lock()
	defer c.loadReporter.mu.Unlock()
	if c.loadReporter.lastPlacements == nil {
		c.loadReporter.lastPlacements = map[uint64]uint32{}
	}
	last := c.loadReporter.lastPlacements[svc.MemberHashes[placer]]
	if int32(header.Placement-last) > 0 {
		c.loadReporter.lastPlacements[svc.MemberHashes[placer]] = header.Placement
	}
	c.loadReporter.minorChange.Store(true)
}

// Load returns the load of the upstream as it is reported to placers. It is
// empty while the view lacks the service of this agent.
func (c *Core) Load() peer.LoadReport {
	svc := c.currentService()
	if svc == nil {
		return peer.LoadReport{VM: c.cfg.VM}
	}
	return c.ownLoad(svc)
}

// ownLoad returns the load of this upstream.
func (c *Core) ownLoad(svc *view.Service) peer.LoadReport {
	established, halfOpen := c.flows.counts()
	report := peer.LoadReport{
		VM: c.cfg.VM, Incarnation: c.cfg.Incarnation,
		Busy: int(c.flows.usedSlots.Load()), Flows: established + halfOpen, Status: view.Starting,
		Queued: int(c.placer.queuedCount.Load()),
	}
	if i := svc.IndexByHash(c.selfHash); i >= 0 {
		upstream := &svc.Members[i]
		report.Slots, report.MaxFlows, report.Status = upstream.Slots, upstream.Connections, upstream.Status
	}
	if upstreamLoad := c.upstreamLoad.Load(); upstreamLoad != nil {
		report.Shedding = upstreamLoad.Shedding
		if upstreamLoad.Slots > 0 {
			report.Slots = min(report.Slots, upstreamLoad.Slots)
		}
		if svc.Contract.Shape == service.ShapeLongFlows {
			report.Busy = upstreamLoad.Busy
		}
	}
	if c.draining.Load() {
		report.Status = view.Leaving
	}
	return report
}

// sendLoadReports sends the load to the placers after a change, and to all
// members at loadBroadcastInterval. When the byte budget is used up, a change
// waits for a later report. Two reports are sent regardless and count against
// the budget: those to all members, and the first free slot after all were
// busy.
func (c *Core) sendLoadReports(now time.Time, svc *view.Service, out *Actions) {
	report := c.ownLoad(svc)
	toAll, due := c.takeDueLoadReport(now, svc, &report)
	if !due {
		return
	}
	report.Sequence = c.loadReporter.sequence.Add(1)
	for i := range svc.Members {
		if toAll || svc.IsPlacer(i) {
			c.sendLoad(svc, i, report, out)
		}
	}
}

// takeDueLoadReport reports whether a load report is due, and whether it goes
// to all members. For a due report it takes the bytes from the budget and
// resets the recorded changes.
func (c *Core) takeDueLoadReport(now time.Time, svc *view.Service, report *peer.LoadReport) (toAll, due bool) {
	reporter := &c.loadReporter
	reporter.mu.Lock()
	defer reporter.mu.Unlock()
	noFreeSlot := report.Busy >= report.Slots
	freeAgain := !noFreeSlot && reporter.lastReportedBusy+int(reporter.slotsTakenSinceReport.Load()) >= report.Slots
	switch {
	case report.Busy < reporter.lastReportedBusy:
		reporter.urgentChange.Store(true)
	case report.Busy > reporter.lastReportedBusy:
		reporter.minorChange.Store(true)
	}
	sinceReport := now.Sub(reporter.lastReportAt)
	toAll = now.Sub(reporter.lastBroadcastAt) >= loadBroadcastInterval || !reporter.broadcastService.SamePlacers(svc)
	due = toAll || freeAgain || sinceReport >= loadRepeatInterval || (reporter.urgentChange.Load() && sinceReport >= minLoadReportInterval) || (reporter.minorChange.Load() && sinceReport >= placementConfirmDelay)
	if !due {
		return false, false
	}
	if toAll || freeAgain {
		receivers := 1
		if toAll {
			receivers = max(len(svc.Members)-1, 1)
		}
		reporter.limiter.ReserveN(now, min(receivers*loadMessageBytes, loadBurstBytes))
	} else if !reporter.limiter.AllowN(now, loadMessageBytes) {
		return false, false
	}
	if toAll {
		reporter.lastBroadcastAt, reporter.broadcastService = now, svc
	}
	reporter.lastReportAt, reporter.lastReportedBusy = now, report.Busy
	reporter.slotsTakenSinceReport.Store(0)
	reporter.urgentChange.Store(false)
	reporter.minorChange.Store(false)
	return toAll, true
}

// sendLoad sends a report to a member, with the number of its last placement
// here.
func (c *Core) sendLoad(svc *view.Service, member int, report peer.LoadReport, out *Actions) {
	upstream := &svc.Members[member]
	if upstream.Hash == c.selfHash || !upstream.Reachable() {
		return
	}
	c.loadReporter.mu.Lock()
	report.LastPlacement = c.loadReporter.lastPlacements[upstream.Hash]
	c.loadReporter.mu.Unlock()
	out.add(Action{Kind: Send, To: upstream.Address, ToVM: upstream.VM, Message: &peer.Message{LoadReport: &report}})
}
