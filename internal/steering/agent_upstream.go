package steering

import (
	"time"

	"bramleyhold.example/bramleyhold/internal/admission"
	"bramleyhold.example/bramleyhold/internal/capacity"
)

// HandleUpstreamPacket handles a packet that the upstream sent or returned.
func (a *Agent) HandleUpstreamPacket(now time.Time, packet *Packet, data []byte, actions *[]Action) {
	a.noteCall(now)
	if packet.Flags.Has(Returned) {
		a.handleReturnedPacket(now, packet, actions)
		return
	}
	held := a.flows[packet.Flow]
	if held == nil {
		held = a.adoptFlow(now, packet, actions)
	}
	if held != nil {
		a.trackUpstreamPacket(now, held, packet, actions)
	}
	*actions = append(*actions, Action{Kind: Reply, Reason: UpstreamReplied, Flow: packet.Flow, Data: data})
	a.releaseDeferred(now, actions)
}

// adoptFlow adds a flow that is missing from the table because this agent restarted
// after the flow was opened, or has evicted it. It returns nil if the packet does not
// prove that the upstream holds the flow.
func (a *Agent) adoptFlow(now time.Time, packet *Packet, actions *[]Action) *heldFlow {
	unconfirmed, wasUnconfirmed := a.unconfirmedFlows[packet.Flow]
	delete(a.unconfirmedFlows, packet.Flow)
	if packet.Flags.Has(RST) || packet.Flags.Has(SYN) {
		return nil
	}
	a.makeRoom(now)
	held := &heldFlow{incarnation: a.upstream.Incarnation, accepted: true, established: true, callerAck: packet.Sequence, level: admission.Lowest, openedAt: now, lastPacketAt: now}
	a.flows[packet.Flow] = held
	a.countStage(held, 1)
	a.scheduleSweep(now)
	if wasUnconfirmed {
		held.balancer = unconfirmed.balancer
		a.sendMessage(now, unconfirmed.balancer, Message{Kind: FlowConfirmed, Flow: packet.Flow}, KnownFlow, actions)
	}
	return held
}

// trackUpstreamPacket updates the state of a flow after a packet of the upstream.
func (a *Agent) trackUpstreamPacket(now time.Time, held *heldFlow, packet *Packet, actions *[]Action) {
	held.lastPacketAt = now
	a.rejectOpeningsUntil = time.Time{}
	if packet.Flags.Has(SYN|ACK) && !held.accepted {
		held.accepted, held.answerSequence = true, packet.Sequence
		a.warmUp.Answered(now)
		a.sendMessage(now, held.balancer, Message{Kind: OpeningAccepted, Flow: packet.Flow, Sequence: packet.Sequence}, UpstreamReplied, actions)
	}
	if packet.Payload > 0 && held.stage == stageInProgress && held.measureServiceTime {
		a.serviceTime.addSample(now.Sub(held.requestStartedAt))
	}
	wasInProgress, slotWasFree := held.stage == stageInProgress, held.measureServiceTime
	if packet.Payload > 0 || packet.Flags&(FIN|RST) != 0 {
		held.measureServiceTime = false
		a.learner.endRequest(now, held, requestOutcome(packet))
		a.setStage(held, stageIdle)
	}
	if wasInProgress && held.stage != stageInProgress {
		a.observeAnswer(now, held, packet, slotWasFree)
	}
	if packet.Flags.Has(RST) || (packet.Flags.Has(FIN) && held.callerFinished) {
		held.finished = true
	}
	a.reportCapacity(now, actions)
}

// requestOutcome returns how a request ended with the given packet of the upstream.
func requestOutcome(packet *Packet) capacity.Outcome {
	if packet.Payload == 0 {
		return capacity.Failed
	}
	return capacity.Answered
}

// handleReturnedPacket handles a packet that the upstream has returned because it
// does not accept it.
func (a *Agent) handleReturnedPacket(now time.Time, packet *Packet, actions *[]Action) {
	held := a.flows[packet.Flow]
	if packet.IsOpening() {
		if held == nil || held.openingSequence != packet.Sequence || held.accepted {
			*actions = append(*actions, Action{Kind: Drop, Reason: NotHeld, Flow: packet.Flow})
			return
		}
		balancer := held.balancer
		a.warmUp.Unanswered(now)
		a.removeFlow(packet.Flow, held)
		a.sendRejection(now, packet, balancer, Refused, actions)
		a.probeUpstream(now, packet.Flow, actions)
		return
	}
	if held != nil {
		a.setStage(held, stageIdle)
		if held.incarnation != a.upstream.Incarnation {
			// The process that held the flow has exited.
			*actions = append(*actions, Action{Kind: Reset, Reason: UpstreamFailed, Flow: packet.Flow, Sequence: packet.Ack})
			a.removeFlow(packet.Flow, held)
			return
		}
		if held.established && !held.finished && !held.callerFinished && !held.returnedByUpstream {
			a.presumeCold(now)
		}
		held.returnedByUpstream = true
		a.sendMessage(now, held.balancer, Message{Kind: FlowNotFound, Flow: packet.Flow, Ack: packet.Ack}, NotHeld, actions)
		return
	}
	if len(a.returnedFlows) < maxReturnedFlows {
		a.returnedFlows[packet.Flow] = now
	}
	unconfirmed, wasUnconfirmed := a.unconfirmedFlows[packet.Flow]
	if !wasUnconfirmed {
		*actions = append(*actions, Action{Kind: Drop, Reason: NotHeld, Flow: packet.Flow})
		return
	}
	delete(a.unconfirmedFlows, packet.Flow)
	a.sendMessage(now, unconfirmed.balancer, Message{Kind: FlowNotFound, Flow: packet.Flow, Ack: packet.Ack}, NotHeld, actions)
}
