package steering

import (
	"slices"
	"time"

	"bramleyhold.example/bramleyhold/internal/flow"
)

const (
	// idleTimeoutMargin is added to the idle timeout of flows, so that a balancer does
	// not evict a flow before its upstream does.
	idleTimeoutMargin = 5 * time.Second
	// finishedFlowLifetime is how long a finished flow is kept for late
	// retransmissions.
	finishedFlowLifetime = 5 * time.Second
)

// flowTimer is a timeout that was set for a flow.
type flowTimer struct {
	entry     *flowEntry
	expiresAt time.Time
}

func (b *Balancer) addFlow(now time.Time, key flow.Key) *flowEntry {
	entry := &flowEntry{key: key, createdAt: now, lastPacketAt: now}
	if len(b.flows) >= b.cfg.MaxFlows {
		b.evictArbitraryFlow()
	}
	b.flows[key] = entry
	if b.nextSweep.IsZero() {
		b.nextSweep = now.Add(sweepInterval)
	}
	return entry
}

// evictArbitraryFlow removes an arbitrary flow from the table. If the caller of
// that flow sends another packet, a holder lookup restores the entry.
func (b *Balancer) evictArbitraryFlow() {
	for key := range b.flows {
		delete(b.flows, key)
		return
	}
}

func (b *Balancer) setDeadline(entry *flowEntry, at time.Time) {
	entry.deadline = at
	b.timers = append(b.timers, flowTimer{entry: entry, expiresAt: at})
}

// Tick handles expired timers, advances lookups and sends held packets.
func (b *Balancer) Tick(now time.Time, actions *[]Action) {
	first := len(*actions)
	for {
		index := b.earliestTimer()
		if index < 0 || now.Before(b.timers[index].expiresAt) {
			break
		}
		entry := b.timers[index].entry
		b.timers = slices.Delete(b.timers, index, index+1)
		entry.deadline = time.Time{}
		b.handleTimeout(now, entry, actions)
	}
	b.advanceBatches(now, actions)
	b.scheduleEgress(now, first, actions)
	if !b.nextSweep.IsZero() && !now.Before(b.nextSweep) {
		b.evictExpired(now)
	}
}

// earliestTimer removes obsolete timers and returns the index of the earliest of the
// others, or -1. Only a few different timeouts are in use, so the list is nearly in
// order of expiry.
func (b *Balancer) earliestTimer() int {
	b.timers = slices.DeleteFunc(b.timers, func(timer flowTimer) bool {
		return timer.entry.deadline != timer.expiresAt || b.flows[timer.entry.key] != timer.entry
	})
	earliest := -1
	for i := range b.timers {
		if earliest < 0 || b.timers[i].expiresAt.Before(b.timers[earliest].expiresAt) {
			earliest = i
		}
	}
	return earliest
}

// Deadline returns the time at which Tick must be called next, or zero if no timer
// is set.
func (b *Balancer) Deadline() time.Time {
	next := b.nextSweep
	if index := b.earliestTimer(); index >= 0 && (next.IsZero() || b.timers[index].expiresAt.Before(next)) {
		next = b.timers[index].expiresAt
	}
	for _, at := range [...]time.Time{b.batchesDeadline(), b.egress.deadline()} {
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

func (b *Balancer) handleTimeout(now time.Time, entry *flowEntry, actions *[]Action) {
	switch entry.state {
	case stateOpeningUnconfirmed:
		b.handleOpeningTimeout(now, entry, actions)
	case stateOpeningQueued:
		b.retryQueuedOpening(now, entry, actions)
	case stateCandidatesTried:
		b.finishCandidates(now, entry, actions)
	case stateHolderNotFound:
		b.queueLookup(now, entry, actions)
	case stateHolderKnown, stateLookupPending:
	}
}

// evictExpired removes flows that are idle, finished or whose opening has expired.
func (b *Balancer) evictExpired(now time.Time) {
	limit := idleTimeoutMargin
	if b.desired != nil {
		limit += b.desired.IdleTimeout
	}
	for key, entry := range b.flows {
		idle := now.Sub(entry.lastPacketAt)
		halfOpen := entry.state == stateOpeningUnconfirmed || entry.state == stateOpeningQueued
		if idle > limit || (entry.finished && idle > finishedFlowLifetime) || (halfOpen && idle > openingLifetime) {
			delete(b.flows, key)
		}
	}
	b.nextSweep = time.Time{}
	if len(b.flows) > 0 {
		b.nextSweep = now.Add(sweepInterval)
	}
}
