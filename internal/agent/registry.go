package agent

import (
	"sync"
	"time"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/peer"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

const (
	registryShards = 32
	// refreshInterval is how often a holder renews its registrations.
	refreshInterval = 30 * time.Second
	// registrationLifetime lets two renewals get lost.
	registrationLifetime = 100 * time.Second
	// registrationCopies is the number of peers that keep a registration.
	registrationCopies = 2
)

// registration is a flow of another agent that is remembered here.
type registration struct {
	holder  vm.ID
	record  peer.FlowRecord
	expires time.Time
}

type registryShard struct {
	mu    sync.RWMutex
	flows map[flow.Key]registration
}

type registry struct {
	shards   [registryShards]registryShard
	capacity int
}

func newRegistry(capacity int) *registry {
	r := &registry{capacity: max(capacity/registryShards, 1)}
	for i := range r.shards {
		r.shards[i].flows = map[flow.Key]registration{}
	}
	return r
}

func (r *registry) shard(key flow.Key) *registryShard {
	return &r.shards[key.Caller.Port()%registryShards]
}

func (r *registry) find(key flow.Key) (registration, bool) {
	s := r.shard(key)
	s.mu.RLock()
	defer s.mu.RUnlock()
	reg, ok := s.flows[key]
	return reg, ok
}

// store remembers a flow. A record of an older incarnation of the same holder
// does not replace a newer one.
func (r *registry) store(now time.Time, holder vm.ID, record peer.FlowRecord) bool {
	s := r.shard(record.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.flows[record.Key]
	if ok && known.holder == holder && known.record.Incarnation > record.Incarnation {
		return false
	}
	if !ok && len(s.flows) >= r.capacity {
		return false
	}
	s.flows[record.Key] = registration{holder: holder, record: record, expires: now.Add(registrationLifetime)}
	return true
}

func (r *registry) remove(holder vm.ID, key flow.Key) {
	s := r.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, ok := s.flows[key]; ok && known.holder == holder {
		delete(s.flows, key)
	}
}

func (r *registry) expire(now time.Time) {
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for key, reg := range s.flows {
			if now.After(reg.expires) {
				delete(s.flows, key)
			}
		}
		s.mu.Unlock()
	}
}

// outbox collects what peers have to be told at the next tick.
type outbox struct {
	mu         sync.Mutex
	endedFlows []flowRef
	refreshed  time.Time
	viewSeen   *view.View
}

func (o *outbox) ended(ref flowRef) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.endedFlows = append(o.endedFlows, ref)
}

func (o *outbox) takeEnded() []flowRef {
	o.mu.Lock()
	defer o.mu.Unlock()
	ended := o.endedFlows
	o.endedFlows = nil
	return ended
}

// announceFlow tells the peers and the balancer about a flow that was admitted.
func (c *Core) announceFlow(a *arrival, out *Actions) {
	c.hintOrigin(a.h, a.key, c.cfg.VM, c.cfg.Incarnation, out)
	record, ok := c.flows.record(a.ref(), c.cfg.Incarnation)
	if !ok {
		return
	}
	for _, member := range c.keepers(a.svc, a.hash) {
		c.sendRegister(a.svc, member, []peer.FlowRecord{record}, out)
	}
}

// keepers returns the first members in rank other than this agent.
func (c *Core) keepers(svc *view.Service, hash uint64) []int {
	skip := c.selfBit(svc)
	keepers := make([]int, 0, registrationCopies)
	for len(keepers) < registrationCopies {
		i := svc.Next(hash, skip)
		if i < 0 {
			break
		}
		keepers = append(keepers, i)
		skip |= 1 << uint(i)
	}
	return keepers
}

func (c *Core) sendRegister(svc *view.Service, member int, records []peer.FlowRecord, out *Actions) {
	u := &svc.Members[member]
	out.add(Action{Kind: Send, To: u.Address, ToVM: u.VM, Message: &peer.Message{
		Register: &peer.Register{Holder: c.cfg.VM, Incarnation: c.cfg.Incarnation, Flows: records},
	}})
}

// record returns what a peer has to keep of a flow.
func (t *flowTable) record(ref flowRef, incarnation vm.Incarnation) (peer.FlowRecord, bool) {
	s := t.shard(ref.hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	f, ok := s.flows[ref.key]
	if !ok {
		return peer.FlowRecord{}, false
	}
	return peer.FlowRecord{Key: ref.key, Alias: f.alias, Phase: f.phase, HoldsSlot: f.holdsSlot, Incarnation: incarnation}, true
}
