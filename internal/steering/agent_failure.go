package steering

import (
	"time"

	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// UpstreamExited records that the process of an incarnation of the upstream no
// longer exists. Openings are then rejected until the next check-in. It reports
// whether the published state of the upstream has changed.
//
// Flows of an upstream that was leaving are not reset here. Its port is closed before
// the process ends its last flows itself, so a refused connection does not prove yet
// that it serves none. Balancers look up the flows whose callers still send, and reset
// those that no upstream holds.
func (a *Agent) UpstreamExited(now time.Time, incarnation vm.Incarnation, actions *[]Action) bool {
	if !a.checkedIn || a.upstream.Incarnation != incarnation {
		return false
	}
	a.endFlowsExcept(now, 0, a.upstream.Status != view.Leaving, actions)
	if a.upstream.Status == view.Failed || a.upstream.Status == view.Left {
		return false
	}
	a.upstream.Status = view.Failed
	return true
}

// ConfirmNoUpstream records that a probe found no process of the upstream before its
// first check-in, so that this VM holds no flow. It reports whether the state has
// changed.
//
// It covers the VM of an upstream that has left. After a loss of power this VM may
// boot together with all others, receive lookups of all flows, and then be removed
// without notice. Its agent must respond FlowNotHeld. FlowUndetermined would make
// it a candidate that no longer responds, and the lookups would stay uncertain.
func (a *Agent) ConfirmNoUpstream() bool {
	if a.checkedIn || a.confirmedAbsent {
		return false
	}
	a.confirmedAbsent = true
	return true
}

// endFlowsExcept ends the flows of all incarnations but the given one. If resetCallers
// is set, it resets those that are established. Without a reset, the callers of an
// upstream that has crashed under load would wait until their timeouts.
func (a *Agent) endFlowsExcept(now time.Time, current vm.Incarnation, resetCallers bool, actions *[]Action) {
	for key, held := range a.flows {
		if held.incarnation == current || held.upstreamExited {
			continue
		}
		if !held.established {
			// The caller may use the SYN-ACK of another upstream.
			a.removeFlow(key, held)
			if !held.accepted {
				a.sendMessage(now, held.balancer, Message{Kind: OpeningRejected, Verdict: NoResponse, Flow: key, Sequence: held.openingSequence}, UpstreamFailed, actions)
			}
			continue
		}
		if !resetCallers {
			a.removeFlow(key, held)
			continue
		}
		a.setStage(held, stageIdle)
		held.upstreamExited, held.lastPacketAt = true, now
		if !held.finished {
			a.resetFlow(&Packet{Flow: key, Ack: held.callerAck}, held, actions)
		}
	}
}

// matchesAck reports whether an acknowledgement number belongs to this flow. The
// caller may have reused its port for a flow at another upstream, which must not be
// reset.
func (f *heldFlow) matchesAck(ack uint32) bool {
	return ack-f.callerAck <= ackWindow || f.callerAck-ack <= ackWindow
}

// resetFlow sends a reset to the caller because the process that held its flow has
// exited. It sends none if the packet is a reset.
func (a *Agent) resetFlow(packet *Packet, held *heldFlow, actions *[]Action) {
	held.finished = true
	if packet.Flags.Has(RST) {
		return
	}
	*actions = append(*actions, Action{Kind: Reset, Reason: UpstreamFailed, Flow: packet.Flow, Sequence: packet.Ack})
}
