package agent

import (
	"sync"
	"sync/atomic"
	"time"

	"bramleyhold.example/bramleyhold/internal/event"
	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/peer"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

const (
	// RecoveryLimit bounds how long packets are held for a recovery.
	RecoveryLimit = 2 * time.Second
	// recoveryEnd leaves room for the interval between two ticks.
	recoveryEnd = RecoveryLimit - 50*time.Millisecond
	// recoveryBackoff is the first interval in which RecoverRequest is repeated; it
	// doubles up to recoveryBackoffLimit.
	recoveryBackoff      = 100 * time.Millisecond
	recoveryBackoffLimit = 400 * time.Millisecond
	// maxMissing bounds the parts that one RecoverRequest names.
	maxMissing = 100
	// quietLimit is the time after which a restored flow without a packet
	// gives its slot back: it may have ended during the restart. It takes the
	// slot again with its next packet.
	quietLimit = 5 * time.Second
)

// recovery gets the flows of an earlier life back from the peers.
type recovery struct {
	// active: packets of unknown flows are held.
	active atomic.Bool
	limit  int

	mu       sync.Mutex
	deadline int64
	nextAsk  int64
	backoff  time.Duration
	held     []uint64
	heldKeys []flow.Key
	answers  map[vm.ID]*recoveryAnswer
	restored int

	// sessions are the recoveries of peers that are answered here.
	sessions map[vm.ID]*recoverySession
}

// recoveryAnswer is what one peer has answered so far.
type recoveryAnswer struct {
	parts map[uint32]bool
	// last is the number of the last part, or -1.
	last int
}

func (r *recoveryAnswer) complete() bool { return r != nil && r.last >= 0 && len(r.parts) > r.last }

func (r *recoveryAnswer) missing() []uint32 {
	if r == nil || r.last < 0 {
		return nil
	}
	var list []uint32
	for i := range r.last {
		if !r.parts[uint32(i)] && len(list) < maxMissing {
			list = append(list, uint32(i))
		}
	}
	return list
}

func newRecovery(wanted bool, limit int) *recovery {
	r := &recovery{limit: limit, answers: map[vm.ID]*recoveryAnswer{}, sessions: map[vm.ID]*recoverySession{}}
	r.active.Store(wanted)
	return r
}

// Recovering reports whether the agent still waits for the flows of its
// earlier life. It announces itself as starting meanwhile.
func (c *Core) Recovering() bool { return c.recovery.active.Load() }

// holdForRecovery keeps a packet of a flow that may be recovered. It reports
// whether the packet was dealt with.
func (c *Core) holdForRecovery(a *arrival, out *Actions) bool {
	r := c.recovery
	if !r.active.Load() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.held) >= r.limit {
		out.drop(BufferFull)
		return true
	}
	ticket := c.tickets.Add(1)
	r.held = append(r.held, ticket)
	r.heldKeys = append(r.heldKeys, a.key)
	out.add(Action{Kind: Hold, Flow: a.key, Ticket: ticket})
	return true
}

// tickRecovery asks the peers that have not answered, and ends the recovery
// when all have or the time is up.
func (c *Core) tickRecovery(now time.Time, svc *view.Service, out *Actions) {
	r := c.recovery
	c.serveRecoveries(now, svc, out)
	if !r.active.Load() {
		return
	}
	nanos := now.UnixNano()
	r.mu.Lock()
	if r.deadline == 0 {
		r.deadline = c.started.Load() + int64(recoveryEnd)
		r.nextAsk, r.backoff = nanos, recoveryBackoff
	}
	if nanos >= r.deadline || r.complete(svc, c.selfHash) {
		r.mu.Unlock()
		c.endRecovery(now, out)
		return
	}
	ask := nanos >= r.nextAsk
	if ask {
		r.nextAsk = nanos + int64(r.backoff)
		r.backoff = min(2*r.backoff, recoveryBackoffLimit)
	}
	r.mu.Unlock()
	if ask {
		c.askRecovery(svc, out)
	}
}

// complete reports whether every reachable peer has answered. The lock is held.
// Just after the start the view may lack peers that the membership has yet to
// find, so all upstreams of the inventory must be known.
func (r *recovery) complete(svc *view.Service, self uint64) bool {
	if len(svc.Members) < svc.Registered {
		return false
	}
	for i := range svc.Members {
		u := &svc.Members[i]
		if u.Hash != self && u.Reachable() && !r.answers[u.VM].complete() {
			return false
		}
	}
	return true
}

func (c *Core) askRecovery(svc *view.Service, out *Actions) {
	r := c.recovery
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range svc.Members {
		u := &svc.Members[i]
		if u.Hash == c.selfHash || !u.Reachable() || r.answers[u.VM].complete() {
			continue
		}
		out.add(Action{Kind: Send, To: u.Address, ToVM: u.VM, Message: &peer.Message{
			RecoverRequest: &peer.RecoverRequest{Holder: c.cfg.VM, Incarnation: c.cfg.Incarnation, Missing: r.answers[u.VM].missing()},
		}})
	}
}

// handleRecovered restores the flows of a part. Parts that arrive after the
// recovery has ended still restore flows that are not held.
func (c *Core) handleRecovered(now time.Time, svc *view.Service, m *peer.RecoverResponse, out *Actions) {
	if m.Incarnation != c.cfg.Incarnation || !c.cfg.Recover {
		out.drop(StaleIncarnation)
		return
	}
	for i := range m.Flows {
		c.restore(now, svc, &m.Flows[i])
	}
	r := c.recovery
	r.mu.Lock()
	answer := r.answers[m.From]
	if answer == nil {
		answer = &recoveryAnswer{parts: map[uint32]bool{}, last: -1}
		r.answers[m.From] = answer
	}
	answer.parts[m.Part] = true
	if !m.More {
		answer.last = int(m.Part)
	}
	done := r.active.Load() && r.complete(svc, c.selfHash)
	r.mu.Unlock()
	if done {
		c.endRecovery(now, out)
	}
}

// endRecovery handles the held packets again, in the order of their arrival.
func (c *Core) endRecovery(now time.Time, out *Actions) {
	r := c.recovery
	r.mu.Lock()
	if !r.active.CompareAndSwap(true, false) {
		r.mu.Unlock()
		return
	}
	held, keys := r.held, r.heldKeys
	r.held, r.heldKeys = nil, nil
	restoredFlows := r.restored
	r.mu.Unlock()
	for i, ticket := range held {
		out.add(Action{Kind: Release, Flow: keys[i], Ticket: ticket})
	}
	c.forgetAnnounced()
	c.events.note(now, event.Repaired, string(c.cfg.VM), "recovered flows: "+itoa(restoredFlows), c.revision())
}

// forgetAnnounced makes the holder register all its flows again.
func (c *Core) forgetAnnounced() {
	for i := range c.flows.shards {
		s := &c.flows.shards[i]
		s.mu.Lock()
		s.announced = nil
		s.mu.Unlock()
	}
}

// restore takes a flow of an earlier life up again.
func (c *Core) restore(now time.Time, svc *view.Service, record *peer.FlowRecord) bool {
	if record.Key.Virtual != svc.Endpoint.Address || record.Key.Protocol != svc.Endpoint.Protocol.Number() {
		return false
	}
	if started := c.cfg.UpstreamStarted; !started.IsZero() && record.OpenedAt < started.UnixNano() {
		return false
	}
	f := &flowState{
		key: record.Key, hash: c.cfg.Hasher.Hash(record.Key), alias: record.Alias, phase: record.Phase,
		lastSeen: now.UnixNano(), openedAt: record.OpenedAt, marks: restored | quiet | payloadDelivered,
	}
	if c.holds(flowRef{hash: f.hash, key: f.key}) || !c.aliases.restore(f) {
		return false
	}
	if record.HoldsSlot && f.phase != flow.Closing {
		f.marks |= holdsSlot
		c.flows.slots.Add(1)
	}
	if !c.add(f) {
		c.abandon(f)
		return false
	}
	c.noteOldest(record.Incarnation)
	c.recovery.mu.Lock()
	c.recovery.restored++
	c.recovery.mu.Unlock()
	return true
}

// noteOldest lowers the oldest incarnation whose frames are accepted.
func (c *Core) noteOldest(i vm.Incarnation) {
	for {
		known := c.oldest.Load()
		if i == 0 || uint64(i) >= known || c.oldest.CompareAndSwap(known, uint64(i)) {
			return
		}
	}
}
