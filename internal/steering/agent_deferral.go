package steering

import (
	"slices"
	"time"

	"bramleyhold.example/bramleyhold/internal/admission"
	"bramleyhold.example/bramleyhold/internal/flow"
)

// maxDeferredPackets bounds the packets of one request that are deferred: one window of
// the caller.
const maxDeferredPackets = 16

// deferredRequest is a request on an open flow that waits in the agent while the upstream
// has no place for it.
//
// It is lost with this process. The caller then sends the packets again, because no
// acknowledgement of the upstream has reached it.
type deferredRequest struct {
	key       flow.Key
	held      *heldFlow
	arrivedAt time.Time
	// limit is how long the request is deferred at most.
	limit   time.Duration
	packets []deferredPacket
}

type deferredPacket struct {
	sequence uint32
	data     []byte
}

// deferPacket keeps a packet of an open flow if its request must wait. It reports whether
// it did.
func (a *Agent) deferPacket(now time.Time, held *heldFlow, packet *Packet, data []byte, actions *[]Action) bool {
	if held.stage == stageDeferred {
		return a.extendDeferred(held, packet, data, actions)
	}
	startsRequest := packet.Payload > 0 && held.stage != stageInProgress && held.classKnown && !held.hasSeen(packet.Sequence)
	limit := admission.DeferralLimit(held.timeBudget)
	if !startsRequest || limit <= 0 || !a.classes.Defers(now, held.class, a.currentLoad(now)) {
		return false
	}
	a.admissions[held.level].Deferred++
	held.callerAck = packet.Ack
	held.deferred = &deferredRequest{key: packet.Flow, held: held, arrivedAt: now, limit: limit}
	a.deferred = append(a.deferred, held.deferred)
	a.setStage(held, stageDeferred)
	return a.extendDeferred(held, packet, data, actions)
}

// extendDeferred adds a packet to a deferred request. It reports false if the packet must
// be delivered at once.
func (a *Agent) extendDeferred(held *heldFlow, packet *Packet, data []byte, actions *[]Action) bool {
	if packet.Flags.Has(RST) || (packet.Payload == 0 && !packet.Flags.Has(FIN)) {
		return false
	}
	request := held.deferred
	isCopy := slices.ContainsFunc(request.packets, func(p deferredPacket) bool { return p.sequence == packet.Sequence })
	if isCopy || len(request.packets) >= maxDeferredPackets {
		*actions = append(*actions, Action{Kind: Drop, Reason: Deferred, Flow: packet.Flow})
		return true
	}
	held.callerFinished = held.callerFinished || packet.Flags.Has(FIN)
	request.packets = append(request.packets, deferredPacket{sequence: packet.Sequence, data: slices.Clone(data)})
	return true
}

// releaseDeferred delivers the deferred requests that the upstream has a place for. If one
// has reached its limit, it delivers all that have waited for half of theirs.
func (a *Agent) releaseDeferred(now time.Time, actions *[]Action) {
	a.deferred = slices.DeleteFunc(a.deferred, func(r *deferredRequest) bool { return !r.isPending(a) })
	if len(a.deferred) == 0 {
		return
	}
	releaseBatch := slices.ContainsFunc(a.deferred, func(r *deferredRequest) bool { return now.Sub(r.arrivedAt) >= r.limit })
	for {
		next := -1
		for i, request := range a.deferred {
			if releaseBatch && now.Sub(request.arrivedAt) < request.limit/admission.BatchDivisor {
				continue
			}
			if next < 0 || admission.GoesBefore(request.held.class, a.deferred[next].held.class) {
				next = i
			}
		}
		if next < 0 || (!releaseBatch && !a.classes.HasPlace(now, a.deferred[next].held.level, a.currentLoad(now))) {
			return
		}
		request := a.deferred[next]
		a.deferred = slices.Delete(a.deferred, next, next+1)
		request.held.deferred = nil
		a.startRequest(now, request.held, request.packets[0].sequence)
		for _, packet := range request.packets {
			*actions = append(*actions, Action{Kind: Deliver, Reason: Deferred, Flow: request.key, Data: packet.data, Waited: now.Sub(request.arrivedAt)})
		}
	}
}

// isPending reports whether the request is still deferred: its flow has not ended.
func (r *deferredRequest) isPending(a *Agent) bool {
	return r.held.deferred == r && r.held.stage == stageDeferred && a.flows[r.key] == r.held
}

// deferralDeadline returns when a deferred request must be delivered, or zero.
func (a *Agent) deferralDeadline() time.Time {
	var next time.Time
	for _, request := range a.deferred {
		if due := request.arrivedAt.Add(request.limit); request.isPending(a) && (next.IsZero() || due.Before(next)) {
			next = due
		}
	}
	return next
}
