package agent

import (
	"time"

	"bramleyhold.example/bramleyhold/internal/event"
)

// PendingWork is one kind of work that a draining agent has not finished.
type PendingWork struct {
	Kind  string `json:"for"`
	Count int    `json:"count"`
}

// The kinds of unfinished work.
const (
	WaitingEstablished = "established flows"
	WaitingHalfOpen    = "half-open flows"
	WaitingClosing     = "closing flows"
	WaitingQueue       = "queued openings"
	WaitingClaims      = "openings that wait for a claim"
)

// Drain makes the agent take no new work from now on. Its flows stay until
// they end, without a time limit.
func (c *Core) Drain(now time.Time) {
	if c.draining.CompareAndSwap(false, true) {
		c.load.urgent.Store(true)
		c.events.note(now, event.Applied, string(c.cfg.VM), "drain", c.revision())
	}
}

// Draining reports whether Drain was called.
func (c *Core) Draining() bool { return c.draining.Load() }

// PendingWork returns what is still open.
func (c *Core) PendingWork() []PendingWork {
	established, halfOpen := c.flows.counts()
	var list []PendingWork
	for _, w := range []PendingWork{
		{WaitingEstablished, established},
		{WaitingHalfOpen, halfOpen},
		{WaitingClosing, int(c.flows.closing.Load())},
		{WaitingQueue, int(c.placement.waiting.Load())},
		{WaitingClaims, int(c.claims.pendingCount.Load())},
	} {
		if w.Count > 0 {
			list = append(list, w)
		}
	}
	return list
}

// Done reports whether a draining agent has ended its last flow.
func (c *Core) Done() bool {
	return c.draining.Load() && !c.recovery.active.Load() && len(c.PendingWork()) == 0
}
