package agent

import (
	"time"

	"bramleyhold.example/bramleyhold/internal/peer"
	"bramleyhold.example/bramleyhold/internal/view"
)

// HandlePeer takes a message of another agent of the service.
func (c *Core) HandlePeer(now time.Time, m *peer.Message, out *Actions) {
	svc := c.service()
	if svc == nil {
		out.drop(NoView)
		return
	}
	switch {
	case m.Register != nil:
		c.handleRegister(now, svc, m.Register, out)
	case m.Unregister != nil:
		for _, key := range m.Unregister.Flows {
			c.peers.remove(m.Unregister.Holder, key)
		}
	case m.Load != nil:
		c.placement.update(m.Load)
	}
}

func (c *Core) handleRegister(now time.Time, svc *view.Service, r *peer.Register, out *Actions) {
	if svc.Index(r.Holder) < 0 {
		out.drop(WrongService)
		return
	}
	for _, record := range r.Flows {
		c.peers.store(now, r.Holder, record)
	}
}

// Tick does what is due at a time: expiry, load reports and registrations. It
// is to be called every few milliseconds.
func (c *Core) Tick(now time.Time, out *Actions) {
	svc := c.service()
	if svc == nil {
		return
	}
	c.flows.expire(now, c)
	c.peers.expire(now)
	c.reportLoad(now, svc, out)
	c.reportEnded(svc, out)
	c.refresh(now, svc, out)
}

// reportEnded tells the peers that keep registrations which flows have ended.
func (c *Core) reportEnded(svc *view.Service, out *Actions) {
	ended := c.outbox.takeEnded()
	batches := map[int]*peer.Unregister{}
	for _, ref := range ended {
		for _, member := range c.keepers(svc, ref.hash) {
			b, ok := batches[member]
			if !ok {
				b = &peer.Unregister{Holder: c.cfg.VM, Incarnation: c.cfg.Incarnation}
				batches[member] = b
			}
			b.Flows = append(b.Flows, ref.key)
		}
	}
	for member := range svc.Members {
		if b, ok := batches[member]; ok {
			c.sendUnregister(svc, member, b, out)
		}
	}
}

func (c *Core) sendUnregister(svc *view.Service, member int, all *peer.Unregister, out *Actions) {
	u := &svc.Members[member]
	for start := 0; start < len(all.Flows); start += peer.MaxFlowsPerMessage {
		part := *all
		part.Flows = all.Flows[start:min(start+peer.MaxFlowsPerMessage, len(all.Flows))]
		out.add(Action{Kind: Send, To: u.Address, ToVM: u.VM, Message: &peer.Message{Unregister: &part}})
	}
}

// refresh renews all registrations after a change of view and from time to
// time.
func (c *Core) refresh(now time.Time, svc *view.Service, out *Actions) {
	v := c.view.Load()
	c.outbox.mu.Lock()
	due := now.Sub(c.outbox.refreshed) >= refreshInterval || c.outbox.viewSeen != v
	if due {
		c.outbox.refreshed, c.outbox.viewSeen = now, v
	}
	c.outbox.mu.Unlock()
	if !due {
		return
	}
	batches := make([][]peer.FlowRecord, len(svc.Members))
	c.flows.each(func(ref flowRef, f *flowState) {
		record := peer.FlowRecord{Key: ref.key, Alias: f.alias, Phase: f.phase, HoldsSlot: f.holdsSlot, Incarnation: c.cfg.Incarnation}
		for _, member := range c.keepers(svc, ref.hash) {
			batches[member] = append(batches[member], record)
		}
	}, c)
	for member, records := range batches {
		for start := 0; start < len(records); start += peer.MaxFlowsPerMessage {
			c.sendRegister(svc, member, records[start:min(start+peer.MaxFlowsPerMessage, len(records))], out)
		}
	}
}

func (t *flowTable) each(visit func(flowRef, *flowState), c *Core) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for key, f := range s.flows {
			visit(flowRef{hash: c.cfg.Hasher.Hash(key), key: key}, f)
		}
		s.mu.Unlock()
	}
}
