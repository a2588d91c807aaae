package agent

import (
	"sync"
	"sync/atomic"
	"time"

	"bramleyhold.example/bramleyhold/internal/peer"
	"bramleyhold.example/bramleyhold/internal/view"
)

const (
	// loadInterval is the shortest time between two reports to a placer.
	loadInterval = 5 * time.Millisecond
	// loadRepeat is how often all members get a report.
	loadRepeat = time.Second
)

// loadState decides when the load of this upstream has to be reported.
type loadState struct {
	sequence atomic.Uint64
	changed  atomic.Bool
	lastBusy atomic.Int64

	mu sync.Mutex
	// placed holds the greatest placement number by the placer's hash.
	placed     map[uint64]uint32
	lastReport time.Time
	lastToAll  time.Time
}

// noteChange remembers that the number of busy slots differs.
func (l *loadState) noteChange(busy int64) {
	if l.lastBusy.Swap(busy) != busy {
		l.changed.Store(true)
	}
}

// notePlacement remembers a placement that arrived from a placer.
func (c *Core) notePlacement(a *arrival) {
	svc, h := a.svc, a.h
	placer := svc.Placer(a.hash)
	if placer < 0 || h.Placement == 0 {
		return
	}
	c.load.mu.Lock()
	defer c.load.mu.Unlock()
	if c.load.placed == nil {
		c.load.placed = map[uint64]uint32{}
	}
	known := c.load.placed[svc.Hashes[placer]]
	if int32(h.Placement-known) > 0 {
		c.load.placed[svc.Hashes[placer]] = h.Placement
	}
	c.load.changed.Store(true)
}

// ownLoad returns the load of this upstream.
func (c *Core) ownLoad(svc *view.Service) peer.Load {
	established, halfOpen := c.flows.counts()
	l := peer.Load{
		VM: c.cfg.VM, Incarnation: c.cfg.Incarnation,
		Busy: int(c.flows.slots.Load()), Flows: established + halfOpen, Status: view.Starting,
	}
	if i := svc.IndexByHash(c.selfHash); i >= 0 {
		u := &svc.Members[i]
		l.Slots, l.MaxFlows, l.Status = u.Slots, u.Connections, u.Status
	}
	return l
}

// reportLoad sends the load to the placers after a change, and to all members
// from time to time.
func (c *Core) reportLoad(now time.Time, svc *view.Service, out *Actions) {
	c.load.noteChange(c.flows.slots.Load())
	c.load.mu.Lock()
	toAll := now.Sub(c.load.lastToAll) >= loadRepeat
	due := toAll || (c.load.changed.Load() && now.Sub(c.load.lastReport) >= loadInterval)
	if due {
		c.load.lastReport = now
		c.load.changed.Store(false)
	}
	if toAll {
		c.load.lastToAll = now
	}
	c.load.mu.Unlock()
	if !due {
		return
	}
	l := c.ownLoad(svc)
	l.Sequence = c.load.sequence.Add(1)
	for i := range svc.Members {
		if toAll || svc.IsPlacer(i) {
			c.sendLoad(svc, i, l, out)
		}
	}
}

func (c *Core) sendLoad(svc *view.Service, member int, l peer.Load, out *Actions) {
	u := &svc.Members[member]
	if u.Hash == c.selfHash || !u.Reachable() {
		return
	}
	c.load.mu.Lock()
	l.Placed = c.load.placed[u.Hash]
	c.load.mu.Unlock()
	out.add(Action{Kind: Send, To: u.Address, ToVM: u.VM, Message: &peer.Message{Load: &l}})
}
