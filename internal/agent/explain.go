package agent

import (
	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/peer"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// Knowledge is what an agent knows about one flow. Operators ask for it.
type Knowledge struct {
	// Phase is set if this agent holds the flow.
	Phase flow.Phase
	// Holder is the agent that has registered the flow here.
	Holder vm.ID
}

// Know returns what is known about a flow. It changes nothing.
func (c *Core) Know(key flow.Key) Knowledge {
	known := Knowledge{Phase: c.heldPhase(key)}
	if registered, ok := c.peers.find(key); ok {
		known.Holder = registered.holder
	}
	return known
}

func (c *Core) heldPhase(key flow.Key) flow.Phase {
	hash := c.cfg.Hasher.Hash(key)
	s := c.flows.shard(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	if f := s.find(hash, key); f != nil {
		return f.phase
	}
	return 0
}

// Load returns the load of the upstream as its placers get it. It is empty
// while the view has no service of this agent.
func (c *Core) Load() peer.Load {
	svc := c.service()
	if svc == nil {
		return peer.Load{VM: c.cfg.VM}
	}
	return c.ownLoad(svc)
}
