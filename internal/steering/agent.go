package steering

import (
	"net/netip"
	"time"

	"bramleyhold.example/bramleyhold/internal/admission"
	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/warmup"
	"bramleyhold.example/bramleyhold/internal/zone"
)

const (
	// abandonedRequestTimeout is the time without packets after which a request no
	// longer counts as in progress: its caller has given up, or its answer was lost. If
	// the route of the flow allows requests more time, that time counts.
	abandonedRequestTimeout = time.Second
	// closedFlowLifetime is how long a flow is kept after both ends have finished. It
	// must outlast late retransmissions, which are at most 1.6 s apart.
	closedFlowLifetime = 5 * time.Second
	// sweepInterval is how often expired flows are removed.
	sweepInterval = time.Second
	// ackWindow bounds how far a caller's acknowledgement number may be ahead of the
	// upstream's first sequence number while a flow opens. 16 packets of 1,200 bytes
	// fit with room for a larger window.
	ackWindow = 1 << 16
)

// AgentConfig holds the settings of an agent.
type AgentConfig struct {
	Service service.Name
	Zone    zone.ID
	// ZoneOrderBound is the time after which no zone that was taken out of service may get
	// openings. Zero where zones are not taken out of service.
	ZoneOrderBound time.Duration
	// CheckInInterval is the interval between check-ins of the upstream.
	CheckInInterval time.Duration
	// IdleTimeout is the time without packets after which a flow is removed.
	IdleTimeout time.Duration
	// MaxFlows bounds the flow table. It must be above zero.
	MaxFlows int
	// StartedAt is when this process began to receive the packets of its upstream.
	StartedAt time.Time
	// A cold upstream may get at most its stated rate times WarmUpOvershoot, and
	// WarmUpSlack more, openings within any second.
	WarmUpOvershoot, WarmUpSlack float64
	// TermsAlwaysSent is set if control sends terms also where there is nothing to tell.
	TermsAlwaysSent bool
	// LearnsCapacity is set if the agent learns how many requests its upstream takes well.
	LearnsCapacity bool
	// AdmitsByClass is set if classes decide which requests get scarce room.
	AdmitsByClass bool
}

// Agent steers packets for the process beside one upstream.
type Agent struct {
	cfg        AgentConfig
	serviceTag ServiceTag
	upstream   CheckIn
	// checkedIn is set by the first check-in that this process receives.
	checkedIn bool
	// confirmedAbsent is set if a probe found no upstream before the first check-in.
	confirmedAbsent   bool
	possibleSuccessor possibleSuccessor
	// sawUpstreamStart is set if this agent was running when the upstream's current
	// incarnation started, or started together with it. It has then received all packets
	// of that incarnation.
	sawUpstreamStart bool
	// flowsForgottenUntil is when the last flow that was evicted from the full table expires.
	flowsForgottenUntil time.Time
	// rejectOpeningsUntil is set after the upstream has not answered an opening.
	rejectOpeningsUntil time.Time
	// lastProbeAt is when a probe of the upstream was last requested.
	lastProbeAt time.Time
	flows       map[flow.Key]*heldFlow
	// unconfirmedFlows has the flows that were unknown here and of which a packet was
	// delivered to the upstream. The upstream has neither returned that packet nor sent
	// one of the flow so far.
	unconfirmedFlows map[flow.Key]unconfirmedFlow
	// returnedFlows has the time at which the upstream returned a packet of an
	// unknown flow.
	returnedFlows      map[flow.Key]time.Time
	nextAbandonedCheck time.Time
	// pendingOpenings lists the delivered openings that await an answer, in the order
	// of delivery. Answered ones are removed later.
	pendingOpenings []pendingOpening
	// stageCounts is the number of flows in each request stage.
	stageCounts [stageCount]int
	// classes decides which class gets scarce room. classLoad counts the requests by
	// class, admissions the decisions.
	classes    admission.Policy
	classLoad  admission.Load
	admissions [admission.Levels]AdmissionCounts
	// deferred lists the requests that wait for a place at the upstream, in the order of
	// their arrival.
	deferred    []*deferredRequest
	serviceTime serviceTimeEstimator
	// learner is nil unless the agent learns the capacity of its upstream.
	learner   *capacityLearner
	nextSweep time.Time
	// terms are the latest ones received. They are valid if termsKnown is set.
	terms       Terms
	termsKnown  bool
	unconfirmed unconfirmedTerms
	// awaitTermsUntil is set after a suspension. lastCallAt is when the agent last handled a
	// packet, a check-in or a Tick.
	awaitTermsUntil, lastCallAt time.Time
	warmUp                      *warmup.Limiter
	// warmUpPeak is the highest number of openings within a second of the last warm-up.
	// warmUpPeakEnded is set by openings after it.
	warmUpPeak      int
	warmUpPeakEnded bool
}

// NewAgent returns an agent that has received no check-in.
func NewAgent(cfg AgentConfig) *Agent {
	if cfg.CheckInInterval == 0 {
		cfg.CheckInInterval = defaultCheckInInterval
	}
	limiter := warmup.NewLimiter(warmup.Config{Overshoot: cfg.WarmUpOvershoot, Slack: cfg.WarmUpSlack, RateUnknownUntil: cfg.StartedAt.Add(rateUnknownWait), AwaitsRate: cfg.TermsAlwaysSent})
	limiter.AssumeFull(cfg.StartedAt)
	return &Agent{cfg: cfg, warmUp: limiter, serviceTag: NewServiceTag(cfg.Service), flows: map[flow.Key]*heldFlow{}, unconfirmedFlows: map[flow.Key]unconfirmedFlow{}, returnedFlows: map[flow.Key]time.Time{}, learner: newCapacityLearner(&cfg)}
}

// Upstream returns the last check-in and whether there was one.
func (a *Agent) Upstream() (CheckIn, bool) { return a.upstream, a.checkedIn }

// Load returns the number of requests in progress and the number of flows.
func (a *Agent) Load() (inProgress, flows int) { return a.requestsInProgress(), len(a.flows) }

// HandleBalancerPacket handles a packet of a caller that a balancer has forwarded.
func (a *Agent) HandleBalancerPacket(now time.Time, packet *Packet, header ForwardingHeader, balancer netip.Addr, data []byte, actions *[]Action) {
	a.noteCall(now)
	if !header.Service.matches(a.serviceTag) {
		a.sendRejection(now, packet, balancer, OtherService, actions)
		return
	}
	a.learner.notePacket(now, balancer)
	header.ClassKnown = header.ClassKnown && a.cfg.AdmitsByClass
	held := a.flows[packet.Flow]
	if held != nil && held.upstreamExited && !packet.IsOpening() {
		if !held.matchesAck(packet.Ack) {
			a.sendMessage(now, balancer, Message{Kind: FlowNotFound, Flow: packet.Flow, Ack: packet.Ack}, NotHeld, actions)
			return
		}
		a.resetFlow(packet, held, actions)
		return
	}
	if packet.IsOpening() {
		a.handleOpening(now, packet, held, header, balancer, data, actions)
		return
	}
	if held == nil {
		a.deliverUnconfirmed(now, packet, balancer, data, actions)
		return
	}
	if !held.established {
		if !packet.Flags.Has(ACK) || !held.accepted || packet.Ack-held.answerSequence > ackWindow {
			// The caller uses the SYN-ACK of another upstream.
			a.sendMessage(now, balancer, Message{Kind: FlowNotFound, Flow: packet.Flow, Ack: packet.Ack}, NotHeld, actions)
			return
		}
		held.established = true
	}
	held.balancer, held.lastPacketAt = balancer, now
	a.setClass(held, &header)
	if a.deferPacket(now, held, packet, data, actions) {
		return
	}
	a.trackCallerPacket(now, held, packet)
	*actions = append(*actions, Action{Kind: Deliver, Reason: KnownFlow, Flow: packet.Flow, Data: data})
}

// trackCallerPacket updates the state of a flow after a packet of the caller.
func (a *Agent) trackCallerPacket(now time.Time, held *heldFlow, packet *Packet) {
	held.callerAck = packet.Ack
	switch {
	case packet.Flags.Has(RST):
		a.setStage(held, stageIdle)
		held.finished = true
	case packet.Payload > 0 && held.stage != stageInProgress && !held.hasSeen(packet.Sequence):
		a.startRequest(now, held, packet.Sequence)
	case packet.Payload > 0 && held.stage == stageInProgress:
		a.learner.continueRequest(now, held)
	}
	if packet.Flags.Has(FIN) {
		held.callerFinished = true
	}
}

// sendMessage sends a message with the current load of the upstream.
func (a *Agent) sendMessage(now time.Time, to netip.Addr, message Message, reason Reason, actions *[]Action) {
	message.Load, message.Flows = uint16(min(a.requestsInProgress(), 1<<16-1)), a.reportedFlows(now)
	*actions = append(*actions, Action{Kind: SendMessage, Reason: reason, Flow: message.Flow, To: to, Message: message})
}
