package steering

import (
	"net/netip"
	"time"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

const (
	// upstreamAnswerTimeout limits how long an upstream may take to answer an opening.
	// It answers openings without waiting for a free slot. The timeout is half of the
	// caller's first retransmission interval of 200 ms, so that there is time to place
	// the opening elsewhere.
	upstreamAnswerTimeout = 100 * time.Millisecond
	// unresponsivePause is how long openings are rejected without delivery after the
	// upstream has not answered one. Openings with LastAttempt are excepted. The
	// pause is about as long as the check-in interval of the upstream.
	unresponsivePause = time.Second
	// firstRequestTimeout limits how long a new flow counts as a request in progress
	// before its first request arrives. Callers send the request within one or two
	// round trips.
	firstRequestTimeout = 500 * time.Millisecond
	// unconfirmedFlowLifetime is how long the balancer that forwarded a packet of an
	// unknown flow is stored. An upstream returns such a packet at once.
	unconfirmedFlowLifetime = time.Second
	// returnedFlowLifetime is how long an agent stores that its upstream has returned a
	// packet of a flow. It must outlast the retransmissions of the caller.
	returnedFlowLifetime = 5 * time.Second
	// maxReturnedFlows bounds the flows in that store.
	maxReturnedFlows = 5_000
	// abandonedRequestTimeout is the time without packets after which a request no
	// longer counts as in progress: its caller has given up, or its answer was lost. If
	// the route of the flow allows requests more time, that time counts.
	abandonedRequestTimeout = time.Second
	// abandonedRequestCheckInterval is how often abandoned requests are removed from
	// the count while all slots appear to be in use.
	abandonedRequestCheckInterval = 100 * time.Millisecond
	// closedFlowLifetime is how long a flow is kept after both ends have finished. It
	// must outlast late retransmissions, which are at most 1.6 s apart.
	closedFlowLifetime = 5 * time.Second
	// sweepInterval is how often expired flows are removed.
	sweepInterval = time.Second
	// startedTogetherTolerance is how much earlier than its agent an upstream may have
	// started if the two count as started together. Processes of a VM that boots start
	// together. An upstream gets its first opening only after its check-in has reached
	// the balancers, some round trips later.
	startedTogetherTolerance = 100 * time.Millisecond
	// successorCheckInIntervals is the time, in check-in intervals, after which a
	// possible successor replaces the current upstream process. In this time the
	// successor has sent check-ins and the current process has sent none.
	successorCheckInIntervals = 2
	// defaultCheckInInterval is the usual check-in interval of the platform.
	defaultCheckInInterval = 1200 * time.Millisecond
	// maxStartupCheckIns is the highest check-in sequence number of an upstream that
	// has just started. Its first check-ins may get no acknowledgement while the agent
	// starts.
	maxStartupCheckIns = 3
	// ackWindow bounds how far a caller's acknowledgement number may be ahead of the
	// upstream's first sequence number while a flow opens. 16 packets of 1,200 bytes
	// fit with room for a larger window.
	ackWindow = 1 << 16
)

// AgentConfig holds the settings of an agent.
type AgentConfig struct {
	Service service.Name
	// CheckInInterval is the interval between check-ins of the upstream.
	CheckInInterval time.Duration
	// IdleTimeout is the time without packets after which a flow is removed.
	IdleTimeout time.Duration
	// MaxFlows bounds the flow table. It must be above zero.
	MaxFlows int
	// StartedAt is when this process began to receive the packets of its upstream.
	StartedAt time.Time
}

// CheckIn is the status that an upstream reports to its agent at regular intervals.
type CheckIn struct {
	VM          vm.ID
	Service     service.Name
	Incarnation vm.Incarnation
	// StartedAt is when the incarnation started, by the clock of its VM.
	StartedAt time.Time
	// Sequence orders the check-ins of one incarnation.
	Sequence uint64
	Status   view.Status
	Slots    int
	// WarmUp is the remaining time for which the upstream is slow after its start.
	WarmUp time.Duration
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
	serviceTime serviceTimeEstimator
	nextSweep   time.Time
}

// requestStage is the stage of the current request of a flow.
type requestStage uint8

const (
	// stageIdle: no request is in progress.
	stageIdle requestStage = iota
	// stageAwaitingRequest: the flow is new and its first request has not arrived.
	stageAwaitingRequest
	// stageInProgress: the upstream works on a request or has queued it.
	stageInProgress
	stageCount
)

// heldFlow is a flow of the upstream.
type heldFlow struct {
	incarnation vm.Incarnation
	// balancer is the address of the balancer that forwarded the last packet.
	balancer netip.Addr
	// openingSequence and answerSequence are the first sequence numbers of the caller
	// and of the upstream.
	openingSequence, answerSequence uint32
	// accepted is set when the upstream answers the opening with a SYN-ACK, established
	// when the caller acknowledges that SYN-ACK.
	accepted       bool
	established    bool
	stage          requestStage
	callerFinished bool
	// callerAck is the last acknowledgement number of the caller.
	callerAck uint32
	// upstreamExited is set if the process that held the flow has exited.
	upstreamExited bool
	// requestStartedAt is when the last request began. measureServiceTime is set if a
	// slot was free then, so that the answer is a sample for the service time.
	requestStartedAt   time.Time
	measureServiceTime bool
	// timeBudget is the time that the route allowed when the flow was opened, or zero if
	// that is not known.
	timeBudget time.Duration
	// returnedByUpstream is set if the upstream has returned a packet of the flow.
	returnedByUpstream bool
	finished           bool
	openedAt           time.Time
	lastPacketAt       time.Time
}

// unconfirmedFlow is a flow that the upstream may hold.
type unconfirmedFlow struct {
	// balancer gets FlowConfirmed or FlowNotFound once the upstream has sent or
	// returned a packet of the flow.
	balancer  netip.Addr
	expiresAt time.Time
}

// pendingOpening is a delivered opening that the upstream has not answered.
type pendingOpening struct {
	key         flow.Key
	sequence    uint32
	deliveredAt time.Time
}

// NewAgent returns an agent that has received no check-in.
func NewAgent(cfg AgentConfig) *Agent {
	if cfg.CheckInInterval == 0 {
		cfg.CheckInInterval = defaultCheckInInterval
	}
	return &Agent{cfg: cfg, serviceTag: NewServiceTag(cfg.Service), flows: map[flow.Key]*heldFlow{}, unconfirmedFlows: map[flow.Key]unconfirmedFlow{}, returnedFlows: map[flow.Key]time.Time{}}
}

// Upstream returns the last check-in and whether there was one.
func (a *Agent) Upstream() (CheckIn, bool) { return a.upstream, a.checkedIn }

// Load returns the number of requests in progress and the number of flows.
func (a *Agent) Load() (inProgress, flows int) { return a.requestsInProgress(), len(a.flows) }

// HandleCheckIn handles a check-in of the upstream. changed reports whether the
// published state of the upstream has changed.
//
// Check-ins of a previous incarnation, and older ones of the current incarnation,
// are ignored. A new incarnation resets the flows of previous incarnations, so that
// their callers need not wait for a timeout.
//
// accepted is false for a check-in of a process that may have exited, and for one that
// reports another status under an earlier sequence number. Such a check-in is ignored
// and must not be acknowledged.
func (a *Agent) HandleCheckIn(now time.Time, checkIn CheckIn, actions *[]Action) (changed, accepted bool) {
	previous := a.upstream
	if a.checkedIn {
		if checkIn.Incarnation < previous.Incarnation && !a.isSuccessor(now, &checkIn) {
			return false, false
		}
		if checkIn.Incarnation == previous.Incarnation && checkIn.Sequence <= previous.Sequence && !a.sequenceWentBack(now, &checkIn) {
			return false, checkIn.Sequence == previous.Sequence || checkIn.Status == previous.Status
		}
		if checkIn.Incarnation == previous.Incarnation && previous.Status != view.Ready && previous.Status != view.Failed && checkIn.Status == view.Ready {
			// A leaving upstream does not become ready again.
			checkIn.Status = previous.Status
		}
	}
	a.possibleSuccessor = possibleSuccessor{}
	changed = !a.checkedIn || checkIn.Incarnation != previous.Incarnation || checkIn.Status != previous.Status || checkIn.Slots != previous.Slots || checkIn.VM != previous.VM
	if checkIn.Incarnation != previous.Incarnation {
		a.rejectOpeningsUntil = time.Time{}
		a.sawUpstreamStart = a.checkedIn || a.confirmedAbsent || a.startedTogether(now, &checkIn)
		if a.checkedIn {
			a.flowsForgottenUntil = time.Time{}
			a.endFlowsExcept(now, checkIn.Incarnation, true, actions)
		}
	}
	if !a.checkedIn {
		for _, held := range a.flows {
			held.incarnation = checkIn.Incarnation
		}
	}
	a.upstream, a.checkedIn = checkIn, true
	return changed, true
}

// possibleSuccessor is an upstream process that sends check-ins with an earlier start
// time than the current process. It may be the successor of the current process if the
// VM's clock was set back.
type possibleSuccessor struct {
	incarnation    vm.Incarnation
	lastSequence   uint64
	firstCheckInAt time.Time
}

// isSuccessor reports whether a check-in with an earlier start time comes from a
// successor of the current process. This happens if the VM's clock was set back
// between the two starts.
//
// The sender is the successor if the current process has exited. It is also the
// successor if it keeps sending check-ins while the current process sends none, for
// longer than the current process can be late. A delayed check-in of a process that
// has exited does not qualify, because no further check-ins follow it.
func (a *Agent) isSuccessor(now time.Time, checkIn *CheckIn) bool {
	if a.upstream.Status == view.Failed || a.upstream.Status == view.Left {
		return true
	}
	return a.continues(now, checkIn)
}

// sequenceWentBack reports whether a check-in with an earlier sequence number comes from
// the current process all the same. The number that was seen before is then not its own:
// another writer sent a check-in in its name.
func (a *Agent) sequenceWentBack(now time.Time, checkIn *CheckIn) bool {
	if a.upstream.Status == view.Failed || a.upstream.Status == view.Left {
		return false
	}
	return a.continues(now, checkIn)
}

// continues reports whether check-ins that follow one another under one start time have
// arrived for longer than the last accepted sender can be late, and none of that sender.
func (a *Agent) continues(now time.Time, checkIn *CheckIn) bool {
	if successor := &a.possibleSuccessor; successor.incarnation != checkIn.Incarnation {
		*successor = possibleSuccessor{incarnation: checkIn.Incarnation, lastSequence: checkIn.Sequence, firstCheckInAt: now}
		return false
	}
	if checkIn.Sequence <= a.possibleSuccessor.lastSequence {
		return false
	}
	a.possibleSuccessor.lastSequence = checkIn.Sequence
	return now.Sub(a.possibleSuccessor.firstCheckInAt) >= successorCheckInIntervals*a.cfg.CheckInInterval
}

// startedTogether reports whether the upstream started at about the same time as
// this agent. In that case this agent has received all its packets. The start time
// alone does not prove it: the VM's clock may have been set back since the upstream
// started. A high check-in sequence number then shows that the upstream is older.
func (a *Agent) startedTogether(now time.Time, checkIn *CheckIn) bool {
	// receivedAt is the current time on the clock as it was set when this agent started:
	// Sub uses the monotonic clock. Steps of the clock since then thus do not change the
	// range of accepted start times.
	receivedAt := a.cfg.StartedAt.Add(now.Sub(a.cfg.StartedAt))
	return checkIn.Sequence <= maxStartupCheckIns && !checkIn.StartedAt.Before(a.cfg.StartedAt.Add(-startedTogetherTolerance)) && !checkIn.StartedAt.After(receivedAt)
}

// HandleBalancerPacket handles a packet of a caller that a balancer has forwarded.
func (a *Agent) HandleBalancerPacket(now time.Time, packet *Packet, header ForwardingHeader, balancer netip.Addr, data []byte, actions *[]Action) {
	if !header.Service.matches(a.serviceTag) {
		a.sendRejection(packet, balancer, OtherService, actions)
		return
	}
	held := a.flows[packet.Flow]
	if held != nil && held.upstreamExited && !packet.IsOpening() {
		if !held.matchesAck(packet.Ack) {
			a.sendMessage(balancer, Message{Kind: FlowNotFound, Flow: packet.Flow, Ack: packet.Ack}, NotHeld, actions)
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
			a.sendMessage(balancer, Message{Kind: FlowNotFound, Flow: packet.Flow, Ack: packet.Ack}, NotHeld, actions)
			return
		}
		held.established = true
	}
	held.balancer, held.lastPacketAt = balancer, now
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
	case packet.Payload > 0 && held.stage != stageInProgress:
		held.requestStartedAt, held.measureServiceTime = now, a.stageCounts[stageInProgress] < a.upstream.Slots
		a.setStage(held, stageInProgress)
	}
	if packet.Flags.Has(FIN) {
		held.callerFinished = true
	}
}

// setStage changes the request stage of a flow and the counts of both stages.
func (a *Agent) setStage(held *heldFlow, next requestStage) {
	a.stageCounts[held.stage]--
	a.stageCounts[next]++
	held.stage = next
}

// requestsInProgress returns the number of requests that the upstream has in
// progress. Each flow that awaits its first request counts as half a request: the
// request arrives after a round trip, and in that time as many of the requests in
// progress end.
func (a *Agent) requestsInProgress() int {
	return a.stageCounts[stageInProgress] + a.stageCounts[stageAwaitingRequest]/2
}

// handleOpening handles a packet that opens a new flow.
func (a *Agent) handleOpening(now time.Time, packet *Packet, held *heldFlow, header ForwardingHeader, balancer netip.Addr, data []byte, actions *[]Action) {
	if held != nil && !held.upstreamExited && held.openingSequence == packet.Sequence && held.incarnation == a.upstream.Incarnation {
		held.balancer = balancer
		*actions = append(*actions, Action{Kind: Deliver, Reason: Repeated, Flow: packet.Flow, Data: data})
		return
	}
	delete(a.returnedFlows, packet.Flow)
	if a.requestsInProgress() >= a.upstream.Slots && !now.Before(a.nextAbandonedCheck) {
		a.nextAbandonedCheck = now.Add(abandonedRequestCheckInterval)
		a.dropAbandonedRequests(now)
	}
	if verdict := a.rejectionVerdict(now, header); verdict != 0 {
		a.sendRejection(packet, balancer, verdict, actions)
		return
	}
	if held != nil {
		a.removeFlow(packet.Flow, held)
	}
	a.makeRoom(now)
	held = &heldFlow{incarnation: a.upstream.Incarnation, balancer: balancer, openingSequence: packet.Sequence, timeBudget: header.TimeBudget, openedAt: now, lastPacketAt: now}
	a.stageCounts[stageIdle]++
	a.setStage(held, stageAwaitingRequest)
	a.flows[packet.Flow] = held
	a.pendingOpenings = append(a.pendingOpenings, pendingOpening{key: packet.Flow, sequence: packet.Sequence, deliveredAt: now})
	a.scheduleSweep(now)
	*actions = append(*actions, Action{Kind: Deliver, Reason: Placed, Flow: packet.Flow, Data: data})
}

// rejectionVerdict returns the cause for which an opening is rejected, or 0 if it is
// delivered.
func (a *Agent) rejectionVerdict(now time.Time, header ForwardingHeader) Verdict {
	switch {
	case !a.checkedIn:
		return StatusUnknown
	case a.upstream.Status != view.Ready:
		return NotAccepting
	case now.Before(a.rejectOpeningsUntil) && !header.LastAttempt:
		return NoResponse
	case !header.LastAttempt && a.requestsInProgress() >= a.upstream.Slots:
		return Busy
	case !a.serviceTime.admits(a.requestsInProgress(), a.upstream.Slots, header.TimeBudget):
		return Overloaded
	}
	return 0
}

// sendRejection rejects an opening with the given verdict, or reports another packet
// as FlowNotFound.
func (a *Agent) sendRejection(packet *Packet, balancer netip.Addr, verdict Verdict, actions *[]Action) {
	if packet.IsOpening() {
		a.sendMessage(balancer, Message{Kind: OpeningRejected, Verdict: verdict, Flow: packet.Flow, Sequence: packet.Sequence}, NotReady, actions)
		return
	}
	a.sendMessage(balancer, Message{Kind: FlowNotFound, Flow: packet.Flow, Ack: packet.Ack}, WrongService, actions)
}

// deliverUnconfirmed delivers a packet of an unknown flow to the upstream, which
// returns it if it does not hold the flow. If the upstream certainly does not hold the
// flow, deliverUnconfirmed reports FlowNotFound instead.
func (a *Agent) deliverUnconfirmed(now time.Time, packet *Packet, balancer netip.Addr, data []byte, actions *[]Action) {
	if a.definitelyNotHeld(now, packet.Flow) {
		a.sendMessage(balancer, Message{Kind: FlowNotFound, Flow: packet.Flow, Ack: packet.Ack}, NotHeld, actions)
		return
	}
	a.unconfirmedFlows[packet.Flow] = unconfirmedFlow{balancer: balancer, expiresAt: now.Add(unconfirmedFlowLifetime)}
	a.scheduleSweep(now)
	*actions = append(*actions, Action{Kind: Deliver, Reason: CandidateTried, Flow: packet.Flow, Data: data})
}

// everyFlowSeen reports whether every flow that the upstream may hold is in the table.
// This is the case if no flow was evicted and this agent has run for longer than the idle
// timeout, or since the upstream started, or if there is no upstream.
func (a *Agent) everyFlowSeen(now time.Time) bool {
	if now.Before(a.flowsForgottenUntil) {
		return false
	}
	if now.Sub(a.cfg.StartedAt) > a.cfg.IdleTimeout+sweepInterval {
		return true
	}
	return a.sawUpstreamStart || (a.confirmedAbsent && !a.checkedIn)
}

// definitelyNotHeld reports whether it is certain that the upstream does not hold an
// unknown flow.
func (a *Agent) definitelyNotHeld(now time.Time, key flow.Key) bool {
	returnedAt, returned := a.returnedFlows[key]
	return (returned && now.Sub(returnedAt) < returnedFlowLifetime) || a.upstream.Status == view.Failed || a.everyFlowSeen(now)
}

// HandleMessage responds to a lookup request of a balancer.
func (a *Agent) HandleMessage(now time.Time, from netip.Addr, message *Message, actions *[]Action) {
	if message.Kind != LookupRequest {
		return
	}
	response := Message{Kind: LookupResponse, LookupID: message.LookupID, Verdicts: make([]Verdict, 0, len(message.Lookups))}
	for i := range message.Lookups {
		response.Verdicts = append(response.Verdicts, a.lookupVerdict(now, from, &message.Lookups[i]))
	}
	a.sendMessage(from, response, KnownFlow, actions)
}

// lookupVerdict returns the verdict on whether the upstream holds a flow.
func (a *Agent) lookupVerdict(now time.Time, from netip.Addr, lookup *FlowLookup) Verdict {
	held := a.flows[lookup.Flow]
	switch {
	case held != nil && held.upstreamExited:
		// This agent resets the caller when a packet of the flow arrives, so the balancer
		// must forward such packets here.
		if held.matchesAck(lookup.Ack) {
			return FlowHeld
		}
	case held != nil && !held.returnedByUpstream && (held.established || (held.accepted && lookup.Ack-held.answerSequence <= ackWindow)):
		held.balancer = from
		return FlowHeld
	case held == nil && !a.definitelyNotHeld(now, lookup.Flow):
		return FlowUndetermined
	}
	return FlowNotHeld
}

// sendMessage sends a message with the current load of the upstream.
func (a *Agent) sendMessage(to netip.Addr, message Message, reason Reason, actions *[]Action) {
	message.Load, message.Flows = uint16(min(a.requestsInProgress(), 1<<16-1)), uint16(min(len(a.flows), 1<<16-1))
	*actions = append(*actions, Action{Kind: SendMessage, Reason: reason, Flow: message.Flow, To: to, Message: message})
}
