package agent

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"bramleyhold.example/bramleyhold/internal/event"
	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/peer"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

const (
	// reregisterInterval is the time within which all flows are registered at
	// their new registrars after a change of view.
	reregisterInterval = 800 * time.Millisecond
	// unregisterInterval and registerConfirmedInterval collect flows for one
	// message. Flows that end within registerConfirmedInterval are not registered
	// a second time: with 2 s instead of 1 s an agent sends 2,683 bytes a second
	// instead of 3,084 at 46 openings a second over 7 upstreams (budget 3,000).
	unregisterInterval        = 2 * time.Second
	registerConfirmedInterval = 2 * time.Second
	// registrarsPerFlow is the number of peers that keep the registration of a
	// flow.
	registrarsPerFlow = 2
)

// registrationUpdates collects changes of flows until they are sent to the
// registrars.
type registrationUpdates struct {
	mu              sync.Mutex
	ended           []flowRef
	confirmed       []*flowState
	endedSentAt     time.Time
	confirmedSentAt time.Time

	// shardBudget is the number of shards that may be checked for new registrars
	// now. It grows with time, and takeDueShards takes whole shards from it.
	shardBudget float64
	lastTick    time.Time
	renewalProgress
}

func (updates *registrationUpdates) addEnded(ref flowRef) {
	updates.mu.Lock()
	defer updates.mu.Unlock()
	updates.ended = append(updates.ended, ref)
}

// addConfirmed schedules a second registration of a flow that is now
// established. Its first registration may be lost. The new record also shows
// that the caller has completed the handshake.
func (updates *registrationUpdates) addConfirmed(f *flowState) {
	updates.mu.Lock()
	defer updates.mu.Unlock()
	updates.confirmed = append(updates.confirmed, f)
}

// takeDueFlows returns the collected flows whose interval has passed.
func (updates *registrationUpdates) takeDueFlows(now time.Time) (ended []flowRef, confirmed []*flowState) {
	updates.mu.Lock()
	defer updates.mu.Unlock()
	if now.Sub(updates.endedSentAt) >= unregisterInterval {
		ended, updates.ended, updates.endedSentAt = updates.ended, nil, now
	}
	if now.Sub(updates.confirmedSentAt) >= registerConfirmedInterval {
		confirmed, updates.confirmed, updates.confirmedSentAt = updates.confirmed, nil, now
	}
	return ended, confirmed
}

// takeDueShards returns how many shards may be checked for new registrars. It
// also returns the shards whose renewal is due, from firstRenewal up to but not
// including endRenewal.
func (updates *registrationUpdates) takeDueShards(now time.Time) (shardBudget, firstRenewal, endRenewal int) {
	updates.mu.Lock()
	defer updates.mu.Unlock()
	if updates.lastTick.IsZero() {
		updates.lastTick = now
	}
	elapsed := now.Sub(updates.lastTick)
	updates.lastTick = now
	updates.shardBudget += min(float64(elapsed)/float64(reregisterInterval), 1) * flowShards
	shardBudget = int(updates.shardBudget)
	updates.shardBudget -= float64(shardBudget)
	firstRenewal, endRenewal = updates.advance(elapsed)
	return shardBudget, firstRenewal, endRenewal
}

// registrarSet holds the indexes of the members that keep the registration of a
// flow.
type registrarSet struct {
	members [registrarsPerFlow]int
	count   int
}

// registrars returns the first members in rank for a flow other than this
// agent.
func (c *Core) registrars(svc *view.Service, hash uint64) registrarSet {
	var registrars registrarSet
	skip := c.selfMask(svc)
	for registrars.count < registrarsPerFlow {
		i := svc.NextMember(hash, skip)
		if i < 0 {
			break
		}
		registrars.members[registrars.count] = i
		registrars.count++
		skip |= 1 << uint(i)
	}
	return registrars
}

// hasRegistration reports whether a member was a registrar of a flow in a
// former view and has not restarted since.
func (c *Core) hasRegistration(former *view.Service, hash uint64, upstream *view.Upstream) bool {
	if former == nil {
		return false
	}
	registrars := c.registrars(former, hash)
	for _, i := range registrars.members[:registrars.count] {
		if former.Members[i].VM == upstream.VM && former.Members[i].Incarnation == upstream.Incarnation {
			return true
		}
	}
	return false
}

// registerAdmittedFlow registers a flow that was admitted and sends a hint to
// its balancer.
//
// If no other view can be in use (otherViewsExpired), only the first registrar
// gets the record at once. The second one is needed only for recovery and gets
// records in batches once flows are confirmed. This saves a message for each
// short flow. If this agent is the home of the flow, balancers find it without
// a hint.
//
// Otherwise other processes may have another home for the flow. The hint and the
// records for both registrars are then sent at once.
func (c *Core) registerAdmittedFlow(pkt *callerPacket, record peer.FlowRecord, out *Actions) {
	c.openingCounters.openings.Add(1)
	otherViewsExpired := c.otherViewsExpired(pkt.now, pkt.svc)
	home := pkt.svc.Home(pkt.hash)
	if !otherViewsExpired || home < 0 || pkt.svc.MemberHashes[home] != c.selfHash {
		c.sendRateLimitedHint(pkt, c.cfg.VM, c.cfg.Incarnation, out)
	}
	registrars := c.registrars(pkt.svc, pkt.hash)
	receivers := registrars.count
	if otherViewsExpired {
		receivers = min(receivers, 1)
	}
	for _, member := range registrars.members[:receivers] {
		c.sendRegister(pkt.svc, member, []peer.FlowRecord{record}, out)
	}
}

func (c *Core) sendRegister(svc *view.Service, member int, records []peer.FlowRecord, out *Actions) {
	upstream := &svc.Members[member]
	out.add(Action{Kind: Send, To: upstream.Address, ToVM: upstream.VM, Message: &peer.Message{
		Register: &peer.Register{Holder: c.cfg.VM, Incarnation: c.cfg.Incarnation, Flows: records},
	}})
}

// registrationBatches holds the records to be sent to each registrar, by the
// index of the member.
type registrationBatches [][]peer.FlowRecord

func (c *Core) sendRegistrationBatches(svc *view.Service, batches registrationBatches, out *Actions) {
	for member, records := range batches {
		slices.SortFunc(records, byOpenedAt)
		for start := 0; start < len(records); start += peer.MaxFlowsPerMessage {
			c.sendRegister(svc, member, records[start:min(start+peer.MaxFlowsPerMessage, len(records))], out)
		}
	}
}

// byOpenedAt orders records, so that the same events result in the same
// messages.
func byOpenedAt(a, b peer.FlowRecord) int {
	return cmp.Or(cmp.Compare(a.OpenedAt, b.OpenedAt), a.Key.Caller.Compare(b.Key.Caller))
}

// sendRegistrations sends the registrars the flows that have ended or were
// confirmed, the flows whose registrars changed with the view, and the renewals
// that are due.
func (c *Core) sendRegistrations(now time.Time, svc *view.Service, out *Actions) {
	ended, confirmed := c.registrationUpdates.takeDueFlows(now)
	shardBudget, firstRenewal, endRenewal := c.registrationUpdates.takeDueShards(now)
	if len(ended)+len(confirmed)+shardBudget == 0 && firstRenewal == endRenewal {
		return
	}
	c.sendUnregister(now, svc, ended, out)
	batches := make(registrationBatches, len(svc.Members))
	for _, f := range confirmed {
		c.collectConfirmed(svc, f, batches)
	}
	for i := range c.flows.shards {
		if shardBudget == 0 {
			break
		}
		if shard := &c.flows.shards[i]; c.needsReregistration(shard, svc) {
			c.collectMissingRegistrations(shard, svc, batches)
			shardBudget--
		}
	}
	c.sendRegistrationBatches(svc, batches, out)
	c.sendRenewals(now, svc, firstRenewal, endRenewal, out)
}

// needsReregistration reports whether the flows of a shard were last registered
// before the last change of the service.
func (c *Core) needsReregistration(shard *flowShard, svc *view.Service) bool {
	shard.mu.Lock()
	defer shard.mu.Unlock()
	return shard.registeredFor == nil || !shard.registeredFor.ChangedAt.Equal(svc.ChangedAt)
}

// collectMissingRegistrations adds the flows of a shard to the batches of those
// registrars that have no record of them.
func (c *Core) collectMissingRegistrations(shard *flowShard, svc *view.Service, batches registrationBatches) {
	shard.mu.Lock()
	defer shard.mu.Unlock()
	former := shard.registeredFor
	shard.registeredFor = svc
	for _, f := range shard.flows {
		registrars := c.registrars(svc, f.hash)
		for _, member := range registrars.members[:registrars.count] {
			if !c.hasRegistration(former, f.hash, &svc.Members[member]) {
				batches[member] = append(batches[member], f.toRecord(c.cfg.Incarnation))
			}
		}
	}
}

// collectConfirmed adds an established flow to the batches of its registrars.
func (c *Core) collectConfirmed(svc *view.Service, f *flowState, batches registrationBatches) {
	shard := c.flows.shard(f.hash)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if f.flags.has(removed) || f.phase != flow.Established {
		return
	}
	registrars := c.registrars(svc, f.hash)
	for _, member := range registrars.members[:registrars.count] {
		batches[member] = append(batches[member], f.toRecord(c.cfg.Incarnation))
	}
}

// sendUnregister sends the registrars the keys of ended flows. A key that is in
// use again is left out.
func (c *Core) sendUnregister(now time.Time, svc *view.Service, ended []flowRef, out *Actions) {
	endedKeys := make([][]flow.Key, len(svc.Members))
	for _, ref := range ended {
		if c.holds(ref) {
			continue
		}
		registrars := c.registrars(svc, ref.hash)
		for _, member := range registrars.members[:registrars.count] {
			endedKeys[member] = append(endedKeys[member], ref.key)
		}
	}
	for member, memberKeys := range endedKeys {
		upstream := &svc.Members[member]
		for start := 0; start < len(memberKeys); start += peer.MaxFlowsPerMessage {
			out.add(Action{Kind: Send, To: upstream.Address, ToVM: upstream.VM, Message: &peer.Message{Unregister: &peer.Unregister{
				Holder: c.cfg.VM, Incarnation: c.cfg.Incarnation, OpenedBefore: now.UnixNano(),
				Flows: memberKeys[start:min(start+peer.MaxFlowsPerMessage, len(memberKeys))],
			}}})
		}
	}
}

// holds reports whether the flow table has a flow with the key.
func (c *Core) holds(ref flowRef) bool {
	shard := c.flows.shard(ref.hash)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	return shard.find(ref.hash, ref.key) != nil
}

// handleRegister stores the flow records of a holder.
func (c *Core) handleRegister(now time.Time, svc *view.Service, registration *peer.Register, out *Actions) {
	if svc.Index(registration.Holder) < 0 {
		out.drop(WrongService)
		return
	}
	if !c.registry.acceptsIncarnation(registration.Holder, registration.Incarnation) {
		c.events.recordObject(now, event.Ignored, string(registration.Holder), "register of an older incarnation", c.viewRevision())
		out.drop(StaleIncarnation)
		return
	}
	for i := range registration.Flows {
		record := &registration.Flows[i]
		if record.Key.Virtual != svc.Endpoint.Address {
			out.drop(WrongService)
			continue
		}
		result, superseded := c.registry.store(now, registration.Holder, c.cfg.Hasher.Hash(record.Key), *record)
		if result == registryShardFull {
			out.drop(RegistryFull)
			c.events.recordFlow(now, event.Ignored, record.Key, string(RegistryFull), c.viewRevision())
		}
		if superseded != "" {
			c.sendSuperseded(svc, superseded, record.Key, out)
		}
	}
}

// sendSuperseded notifies a holder that the caller has a newer flow with the
// same key at another agent.
func (c *Core) sendSuperseded(svc *view.Service, superseded vm.ID, key flow.Key, out *Actions) {
	i := svc.Index(superseded)
	current, ok := c.registry.find(flowRef{hash: c.cfg.Hasher.Hash(key), key: key})
	if i < 0 || !ok || !isConfirmed(&current.record) {
		return
	}
	upstream := &svc.Members[i]
	out.add(Action{Kind: Send, To: upstream.Address, ToVM: upstream.VM, Message: &peer.Message{
		Superseded: &peer.Superseded{Key: key, OpenedAt: current.record.OpenedAt},
	}})
}

// handleSuperseded closes a flow whose caller has opened a newer one at another
// agent.
func (c *Core) handleSuperseded(superseded *peer.Superseded) {
	hash := c.cfg.Hasher.Hash(superseded.Key)
	shard := c.flows.shard(hash)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if f := shard.find(hash, superseded.Key); f != nil && f.openedAt < superseded.OpenedAt {
		c.setPhase(shard, f, flow.Closing)
	}
}
