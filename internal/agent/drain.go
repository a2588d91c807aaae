package agent

import (
	"time"

	"bramleyhold.example/bramleyhold/internal/event"
)

// PendingWork is the amount of one kind of work that a draining agent has not
// finished.
type PendingWork struct {
	Kind  string `json:"for"`
	Count int    `json:"count"`
}

// The kinds of pending work.
const (
	PendingEstablished = "established flows"
	PendingHalfOpen    = "half-open flows"
	PendingClosing     = "closing flows"
	PendingQueued      = "queued openings"
	PendingClaims      = "openings that wait for a claim"
)

// Drain makes the agent accept no more openings. Its flows stay until they end,
// without a time limit. Draining is final. Shedding, in contrast, is a state
// that the upstream reports and may end.
func (c *Core) Drain(now time.Time) {
	if c.draining.CompareAndSwap(false, true) {
		c.loadReporter.urgentChange.Store(true)
		c.events.recordObject(now, event.Applied, string(c.cfg.VM), "drain", c.viewRevision())
	}
}

// Draining reports whether Drain was called.
func (c *Core) Draining() bool { return c.draining.Load() }

// PendingWork returns the kinds of work that are not finished.
func (c *Core) PendingWork() []PendingWork {
	established, halfOpen := c.flows.counts()
	var pending []PendingWork
	for _, work := range []PendingWork{
		{PendingEstablished, established},
		{PendingHalfOpen, halfOpen},
		{PendingClosing, int(c.flows.closingCount.Load())},
		{PendingQueued, int(c.placer.queuedCount.Load())},
		{PendingClaims, int(c.claims.pendingCount.Load())},
	} {
		if work.Count > 0 {
			pending = append(pending, work)
		}
	}
	return pending
}

// Drained reports whether a draining agent has no pending work left and no
// recovery in progress.
func (c *Core) Drained() bool {
	return c.draining.Load() && !c.recovery.active.Load() && len(c.PendingWork()) == 0
}
