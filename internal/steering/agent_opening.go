package steering

import (
	"net/netip"
	"time"

	"bramleyhold.example/bramleyhold/internal/admission"
	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/view"
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
	// abandonedRequestCheckInterval is how often abandoned requests are removed from
	// the count while all slots appear to be in use.
	abandonedRequestCheckInterval = 100 * time.Millisecond
)

// pendingOpening is a delivered opening that the upstream has not answered.
type pendingOpening struct {
	key         flow.Key
	sequence    uint32
	deliveredAt time.Time
}

// handleOpening handles a packet that opens a new flow.
func (a *Agent) handleOpening(now time.Time, packet *Packet, held *heldFlow, header ForwardingHeader, balancer netip.Addr, data []byte, actions *[]Action) {
	if held != nil && !held.upstreamExited && held.openingSequence == packet.Sequence && held.incarnation == a.upstream.Incarnation {
		held.balancer = balancer
		if !a.admitsCopy(now) {
			*actions = append(*actions, Action{Kind: Drop, Reason: UpstreamCold, Flow: packet.Flow})
			return
		}
		a.recordOpening(now)
		*actions = append(*actions, Action{Kind: Deliver, Reason: Repeated, Flow: packet.Flow, Data: data})
		return
	}
	delete(a.returnedFlows, packet.Flow)
	if a.requestsInProgress() >= a.upstream.Slots && !now.Before(a.nextAbandonedCheck) {
		a.nextAbandonedCheck = now.Add(abandonedRequestCheckInterval)
		a.dropAbandonedRequests(now)
	}
	verdict := a.rejectionVerdict(now, header)
	a.recordAdmission(now, &header, verdict)
	if verdict != 0 {
		a.sendRejection(now, packet, balancer, verdict, actions)
		return
	}
	if held != nil {
		a.removeFlow(packet.Flow, held)
	}
	a.makeRoom(now)
	held = &heldFlow{incarnation: a.upstream.Incarnation, balancer: balancer, openingSequence: packet.Sequence, timeBudget: header.TimeBudget, level: admission.Lowest, openedAt: now, lastPacketAt: now}
	a.countStage(held, 1)
	a.setClass(held, &header)
	a.setStage(held, stageAwaitingRequest)
	a.flows[packet.Flow] = held
	a.pendingOpenings = append(a.pendingOpenings, pendingOpening{key: packet.Flow, sequence: packet.Sequence, deliveredAt: now})
	a.scheduleSweep(now)
	a.recordOpening(now)
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
	}
	if verdict := a.zoneVerdict(now); verdict != 0 {
		return verdict
	}
	if !a.warmUp.Admits(now) {
		return WarmingUp
	}
	return a.admissionVerdict(now, header)
}

// admissionVerdict returns the cause for which the load of the upstream does not allow
// an opening, or 0.
func (a *Agent) admissionVerdict(now time.Time, header ForwardingHeader) Verdict {
	opening := admission.Opening{Class: header.Class, ClassKnown: header.ClassKnown, LastAttempt: header.LastAttempt, TimeBudget: header.TimeBudget}
	switch a.classes.Decide(now, opening, a.currentLoad(now)) {
	case admission.Admit:
		return 0
	case admission.Busy:
		return Busy
	case admission.Overloaded:
		return Overloaded
	case admission.ByLoad:
	}
	limit := a.concurrencyLimit(now)
	switch {
	case !header.LastAttempt && a.requestsInProgress() >= limit:
		return Busy
	case !a.serviceTime.admits(a.requestsInProgress(), limit, header.TimeBudget):
		return Overloaded
	}
	return 0
}

// sendRejection rejects an opening with the given verdict, or reports another packet
// as FlowNotFound.
func (a *Agent) sendRejection(now time.Time, packet *Packet, balancer netip.Addr, verdict Verdict, actions *[]Action) {
	if packet.IsOpening() {
		a.sendMessage(now, balancer, Message{Kind: OpeningRejected, Verdict: verdict, Flow: packet.Flow, Sequence: packet.Sequence}, NotReady, actions)
		return
	}
	a.sendMessage(now, balancer, Message{Kind: FlowNotFound, Flow: packet.Flow, Ack: packet.Ack}, WrongService, actions)
}
