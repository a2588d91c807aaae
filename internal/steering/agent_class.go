package steering

import (
	"time"

	"bramleyhold.example/bramleyhold/internal/admission"
)

// AdmissionCounts counts the decisions about the requests of one priority.
type AdmissionCounts struct {
	// Admitted, Busy and Overloaded count openings, Deferred requests on open flows.
	Admitted, Busy, Overloaded, Deferred uint64
	// Answered counts the requests that were answered, Rejected those that the upstream has
	// rejected because it was full. AnswerTime is the sum of the times from the delivery of
	// requests to their answers.
	Answered, Rejected uint64
	AnswerTime         time.Duration
}

// AdmissionStatus is the state of the admission by class.
type AdmissionStatus struct {
	// Counts has the decisions about each level since the start.
	Counts [admission.Levels]AdmissionCounts
	// Limit is the number of requests that the upstream takes at once, InProgress the
	// number that it works on or has queued.
	Limit, InProgress int
	// Headroom is the number of requests for which room is kept free of the lowest level.
	Headroom int
	// ServiceTime is the expected time that the upstream works on a request.
	ServiceTime time.Duration
}

// AdmissionStatus returns the state of the admission by class.
func (a *Agent) AdmissionStatus(now time.Time) AdmissionStatus {
	load := a.currentLoad(now)
	return AdmissionStatus{
		Counts: a.admissions, Limit: load.Limit, InProgress: a.stageCounts[stageInProgress],
		Headroom: a.classes.Headroom(now, admission.Lowest, load), ServiceTime: a.classes.ServiceTime(),
	}
}

// currentLoad returns the load that decisions by class depend on.
func (a *Agent) currentLoad(now time.Time) *admission.Load {
	a.classLoad.Limit = a.concurrencyLimit(now)
	return &a.classLoad
}

// recordAdmission counts the decision about an opening.
func (a *Agent) recordAdmission(now time.Time, header *ForwardingHeader, verdict Verdict) {
	if !header.ClassKnown {
		return
	}
	level := admission.LevelOf(header.Class)
	a.classes.ObserveOpening(now, level)
	counts := &a.admissions[level]
	switch verdict {
	case 0:
		counts.Admitted++
		a.classes.ObserveAdmission(now, level)
	case Busy:
		counts.Busy++
	case Overloaded:
		counts.Overloaded++
	}
}

// startRequest records that a request is delivered. sequence is the sequence number of its
// first packet.
func (a *Agent) startRequest(now time.Time, held *heldFlow, sequence uint32) {
	if held.stage != stageAwaitingRequest {
		a.warmUp.RecordRequest(now)
	}
	held.requestsFound = a.stageCounts[stageInProgress]
	held.requestStartedAt, held.measureServiceTime = now, held.requestsFound < a.upstream.Slots
	a.setStage(held, stageInProgress)
	a.learner.beginRequest(now, held, held.class)
	if held.classKnown {
		held.requestSequence, held.requestSeen = sequence, true
		a.classes.ObserveRequest(now, held.level)
	}
}

// hasSeen reports whether a packet with data is a copy of the one that has started the last
// request, or an earlier one. A copy that arrives after the answer starts no request.
func (f *heldFlow) hasSeen(sequence uint32) bool {
	return f.requestSeen && int32(sequence-f.requestSequence) <= 0
}

// observeAnswer updates the estimates that decisions by class depend on after a packet of
// the upstream that has ended a request. The FIN of an upstream that closes the flow may
// arrive before the answer.
func (a *Agent) observeAnswer(now time.Time, held *heldFlow, packet *Packet, slotWasFree bool) {
	remaining := a.stageCounts[stageInProgress]
	if packet.Payload == 0 && !packet.Flags.Has(FIN) {
		a.classes.ObserveEnd(remaining, a.upstream.Slots)
		return
	}
	took := now.Sub(held.requestStartedAt)
	rejected := a.classes.ObserveAnswer(now, admission.Answer{Took: took, SlotWasFree: slotWasFree, Found: held.requestsFound, Remaining: remaining, Slots: a.upstream.Slots})
	counts := &a.admissions[held.level]
	switch {
	case !held.classKnown:
	case rejected:
		counts.Rejected++
	default:
		counts.Answered++
		counts.AnswerTime += took
	}
}
