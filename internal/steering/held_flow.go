package steering

import (
	"net/netip"
	"time"

	"bramleyhold.example/bramleyhold/internal/admission"
	"bramleyhold.example/bramleyhold/internal/capacity"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/vm"
)

const (
	// firstRequestTimeout limits how long a new flow counts as a request in progress
	// before its first request arrives. Callers send the request within one or two
	// round trips.
	firstRequestTimeout = 500 * time.Millisecond
)

// requestStage is the stage of the current request of a flow.
type requestStage uint8

const (
	// stageIdle: no request is in progress.
	stageIdle requestStage = iota
	// stageAwaitingRequest: the flow is new and its first request has not arrived.
	stageAwaitingRequest
	// stageInProgress: the upstream works on a request or has queued it.
	stageInProgress
	// stageDeferred: the request waits in this agent for a place at the upstream.
	stageDeferred
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
	// class is the class of the route, if classKnown is set. level is that of the class.
	class      intent.Class
	classKnown bool
	level      admission.Level
	// requestSequence is the sequence number of the packet that started the last request,
	// if requestSeen is set.
	requestSequence uint32
	requestSeen     bool
	// deferred is set while the current request is deferred.
	deferred *deferredRequest
	// requestsFound is the number of requests that the upstream had when the last request
	// was delivered.
	requestsFound int
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
	// capacityToken identifies the request in progress where capacity is learned.
	capacityToken capacity.Token
	openedAt      time.Time
	lastPacketAt  time.Time
}

// setStage changes the request stage of a flow and the counts of both stages.
func (a *Agent) setStage(held *heldFlow, next requestStage) {
	if next != stageInProgress {
		a.learner.forgetRequest(held)
	}
	a.countStage(held, -1)
	held.stage = next
	a.countStage(held, 1)
}

// requestsInProgress returns the number of requests that the upstream has in
// progress. Each flow that awaits its first request counts as half a request: the
// request arrives after a round trip, and in that time as many of the requests in
// progress end.
func (a *Agent) requestsInProgress() int {
	return a.stageCounts[stageInProgress] + a.stageCounts[stageDeferred] + a.stageCounts[stageAwaitingRequest]/2
}

// countStage adds a number to the counts of the stage of a flow.
func (a *Agent) countStage(held *heldFlow, delta int) {
	a.stageCounts[held.stage] += delta
	switch held.stage {
	case stageInProgress:
		a.classLoad.InProgress[held.level] += delta
	case stageDeferred:
		a.classLoad.Deferred[held.level] += delta
	case stageAwaitingRequest:
		a.classLoad.Awaited[held.level] += delta
	case stageIdle, stageCount:
	}
}

// setClass stores the class that a forwarding header has.
func (a *Agent) setClass(held *heldFlow, header *ForwardingHeader) {
	if !header.ClassKnown || (held.classKnown && held.class == header.Class) {
		return
	}
	a.countStage(held, -1)
	held.class, held.classKnown, held.level = header.Class, true, admission.LevelOf(header.Class)
	a.countStage(held, 1)
}
