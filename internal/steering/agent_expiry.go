package steering

import (
	"time"

	"bramleyhold.example/bramleyhold/internal/capacity"
	"bramleyhold.example/bramleyhold/internal/flow"
)

// Tick rejects openings that the upstream has not answered in time, and removes
// expired flows. It delivers deferred requests that have waited for long enough.
func (a *Agent) Tick(now time.Time, actions *[]Action) {
	a.noteCall(now)
	for len(a.pendingOpenings) > 0 && now.Sub(a.pendingOpenings[0].deliveredAt) >= upstreamAnswerTimeout {
		pending := a.pendingOpenings[0]
		a.pendingOpenings = a.pendingOpenings[1:]
		a.rejectUnanswered(now, pending, actions)
	}
	a.reportCapacity(now, actions)
	if !a.nextSweep.IsZero() && !now.Before(a.nextSweep) {
		a.removeExpired(now)
	}
	a.releaseDeferred(now, actions)
}

// rejectUnanswered rejects an opening that the upstream has not answered in time.
func (a *Agent) rejectUnanswered(now time.Time, pending pendingOpening, actions *[]Action) {
	held := a.flows[pending.key]
	if held == nil || held.accepted || held.openingSequence != pending.sequence {
		return
	}
	a.rejectOpeningsUntil = now.Add(unresponsivePause)
	a.warmUp.Unanswered(now)
	a.probeUpstream(now, pending.key, actions)
	balancer := held.balancer
	a.removeFlow(pending.key, held)
	a.sendMessage(now, balancer, Message{Kind: OpeningRejected, Verdict: NoResponse, Flow: pending.key, Sequence: pending.sequence}, UpstreamFailed, actions)
}

// probeUpstream requests a check that the process of the upstream exists, at most
// once in unresponsivePause. It is called after an opening was not answered or was
// returned. A VM returns openings when the process of its upstream has exited.
func (a *Agent) probeUpstream(now time.Time, key flow.Key, actions *[]Action) {
	if now.Sub(a.lastProbeAt) >= unresponsivePause {
		a.lastProbeAt = now
		*actions = append(*actions, Action{Kind: ProbeUpstream, Reason: UpstreamFailed, Flow: key, Incarnation: a.upstream.Incarnation})
	}
}

// Deadline returns the time at which Tick must be called next, or zero if no timer
// is set.
func (a *Agent) Deadline() time.Time {
	next := a.nextSweep
	for len(a.pendingOpenings) > 0 {
		pending := a.pendingOpenings[0]
		if held := a.flows[pending.key]; held == nil || held.accepted || held.openingSequence != pending.sequence {
			a.pendingOpenings = a.pendingOpenings[1:]
			continue
		}
		if answerDue := pending.deliveredAt.Add(upstreamAnswerTimeout); next.IsZero() || answerDue.Before(next) {
			next = answerDue
		}
		break
	}
	if releaseAt := a.deferralDeadline(); !releaseAt.IsZero() && (next.IsZero() || releaseAt.Before(next)) {
		next = releaseAt
	}
	return next
}

func (a *Agent) scheduleSweep(now time.Time) {
	if a.nextSweep.IsZero() {
		a.nextSweep = now.Add(sweepInterval)
	}
}

// dropAbandonedRequests removes requests without recent packets from the count of
// requests in progress.
func (a *Agent) dropAbandonedRequests(now time.Time) {
	for _, held := range a.flows {
		idle := now.Sub(held.lastPacketAt)
		if ((held.stage == stageInProgress || held.stage == stageDeferred) && idle > max(abandonedRequestTimeout, held.timeBudget)) || (held.stage == stageAwaitingRequest && idle > firstRequestTimeout) {
			a.learner.endRequest(now, held, capacity.Silent)
			a.setStage(held, stageIdle)
		}
	}
}

// removeExpired removes expired flows, unconfirmed flows and returned flows.
func (a *Agent) removeExpired(now time.Time) {
	a.dropAbandonedRequests(now)
	for key, returnedAt := range a.returnedFlows {
		if now.Sub(returnedAt) >= returnedFlowLifetime {
			delete(a.returnedFlows, key)
		}
	}
	for key, held := range a.flows {
		idle := now.Sub(held.lastPacketAt)
		if idle > a.cfg.IdleTimeout || (held.finished && idle > closedFlowLifetime) {
			a.removeFlow(key, held)
		}
	}
	for key, unconfirmed := range a.unconfirmedFlows {
		if now.After(unconfirmed.expiresAt) {
			delete(a.unconfirmedFlows, key)
		}
	}
	a.nextSweep = time.Time{}
	if len(a.flows) > 0 || len(a.unconfirmedFlows) > 0 || len(a.returnedFlows) > 0 {
		a.scheduleSweep(now)
	}
}

func (a *Agent) removeFlow(key flow.Key, held *heldFlow) {
	a.learner.forgetRequest(held)
	a.countStage(held, -1)
	delete(a.flows, key)
}
