package steering

import (
	"time"

	"bramleyhold.example/bramleyhold/internal/flow"
)

// evictionSample is the number of flows among which one is evicted from a full table.
// The cost of an eviction must not grow with the table.
const evictionSample = 16

// makeRoom evicts a flow if the table is full.
//
// Load pattern: callers that go away without closing their flows. Their flows stay in the
// table for the largest age of a flow, and must not keep out new ones.
func (a *Agent) makeRoom(now time.Time) {
	if len(a.flows) < a.cfg.MaxFlows {
		return
	}
	var victimKey flow.Key
	var victim *heldFlow
	sampled := 0
	for key, held := range a.flows { // in random order
		if victim == nil || held.isEvictedBefore(victim) {
			victimKey, victim = key, held
		}
		if sampled++; sampled == evictionSample {
			break
		}
	}
	if victim == nil {
		return
	}
	if !victim.finished {
		a.flowsForgottenUntil = now.Add(a.cfg.IdleTimeout)
	}
	a.removeFlow(victimKey, victim)
}

// isEvictedBefore reports whether the flow is evicted rather than another one: finished
// flows before others, those with a request in progress last, and otherwise the one that
// has been without packets for longer.
func (f *heldFlow) isEvictedBefore(other *heldFlow) bool {
	switch {
	case f.finished != other.finished:
		return f.finished
	case (f.stage == stageIdle) != (other.stage == stageIdle):
		return f.stage == stageIdle
	}
	return f.lastPacketAt.Before(other.lastPacketAt)
}
