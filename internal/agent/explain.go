package agent

import (
	"strconv"
	"time"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// Explanation describes the state of a flow at this agent and the reasons for
// the path of its packets. It is the result of explain.flow.
type Explanation struct {
	Key      flow.Key `json:"key"`
	Revision uint64   `json:"revision"`
	// Ranking lists all members in their rank for the flow.
	Ranking []vm.ID `json:"ranking"`
	Home    vm.ID   `json:"home,omitempty"`
	Placer  vm.ID   `json:"placer,omitempty"`
	// Holder is the agent that holds the flow, as far as this agent has a record.
	Holder vm.ID `json:"holder,omitempty"`
	// Flow is set if this agent holds the flow.
	Flow *FlowDetail `json:"flow,omitempty"`
	// Registration is set if the flow is registered here.
	Registration *RegistrationDetail `json:"registration,omitempty"`
	// Reasons explains the state in sentences.
	Reasons []string `json:"reasons"`
}

// FlowDetail describes a flow that this agent holds.
type FlowDetail struct {
	Phase            string        `json:"phase"`
	Alias            string        `json:"alias"`
	HoldsSlot        bool          `json:"holds_slot"`
	PayloadDelivered bool          `json:"payload_delivered"`
	Restored         bool          `json:"restored"`
	Idle             time.Duration `json:"idle_ns"`
	Registrars       []vm.ID       `json:"registrars"`
}

// RegistrationDetail describes a flow that another agent registered here.
type RegistrationDetail struct {
	Holder      vm.ID          `json:"holder"`
	Incarnation vm.Incarnation `json:"incarnation"`
	Phase       string         `json:"phase"`
	Expires     time.Time      `json:"expires"`
}

func (e *Explanation) addReason(reason string) { e.Reasons = append(e.Reasons, reason) }

// Explain returns the state of a flow at this agent.
func (c *Core) Explain(now time.Time, key flow.Key) Explanation {
	e := Explanation{Key: key}
	state := c.viewState.Load()
	if state == nil || state.service == nil {
		e.addReason("no view, or the service is not in it: packets are dropped")
		return e
	}
	hash := c.cfg.Hasher.Hash(key)
	e.Revision = state.view.Revision
	e.addRanking(state.service, hash)
	ref := flowRef{hash: hash, key: key}
	c.explainHolder(now, state.service, ref, &e)
	c.explainPending(ref, &e)
	c.explainUnknownFlow(now, state.service, &e)
	return e
}

func (e *Explanation) addRanking(svc *view.Service, hash uint64) {
	var ranked uint64
	for {
		i := svc.NextMember(hash, ranked)
		if i < 0 {
			break
		}
		ranked |= 1 << uint(i)
		e.Ranking = append(e.Ranking, svc.Members[i].VM)
	}
	if len(e.Ranking) > 0 {
		e.Home = e.Ranking[0]
	}
	if i := svc.Placer(hash); i >= 0 {
		e.Placer = svc.Members[i].VM
	}
}

func (c *Core) explainHolder(now time.Time, svc *view.Service, ref flowRef, e *Explanation) {
	if reg, ok := c.registry.find(ref); ok {
		e.Holder = reg.holder
		e.Registration = &RegistrationDetail{
			Holder: reg.holder, Incarnation: reg.record.Incarnation, Phase: reg.record.Phase.String(), Expires: reg.expires,
		}
		e.addReason("registered here by " + string(reg.holder))
		if i := svc.Index(reg.holder); i >= 0 && svc.Members[i].Status != view.Ready {
			e.addReason("the holder is " + string(svc.Members[i].Status))
		}
	}
	shard := c.flows.shard(ref.hash)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	f := shard.find(ref.hash, ref.key)
	if f == nil {
		return
	}
	e.Holder = c.cfg.VM
	e.Flow = &FlowDetail{
		Phase: f.phase.String(), Alias: f.alias.String(), HoldsSlot: f.flags.has(usesSlot),
		PayloadDelivered: f.flags.has(payloadDelivered), Restored: f.flags.has(restored), Idle: time.Duration(now.UnixNano() - f.lastPacketAt),
	}
	registrars := c.registrars(svc, ref.hash)
	for _, i := range registrars.members[:registrars.count] {
		e.Flow.Registrars = append(e.Flow.Registrars, svc.Members[i].VM)
	}
	e.addReason("held here")
}

// explainPending adds why the opening of a flow waits here, if it does.
func (c *Core) explainPending(ref flowRef, e *Explanation) {
	if c.claims.isPending(ref.key) {
		e.addReason("admitted here and waiting for the claim of its home")
	}
	c.placer.mu.Lock()
	defer c.placer.mu.Unlock()
	if opening, ok := c.placer.queue.byKey[ref.key]; ok && !opening.reprocessing {
		e.addReason("waiting here for a free slot, retransmissions: " + strconv.Itoa(int(opening.retransmissions)))
	}
}

// explainUnknownFlow adds what happens to packets of a flow about which nothing
// else was found.
func (c *Core) explainUnknownFlow(now time.Time, svc *view.Service, e *Explanation) {
	if len(e.Reasons) > 0 {
		return
	}
	// The second case has the condition under which handleChainEnd drops packets.
	// It tests ChangedAt alone, unlike otherViewsExpired.
	switch {
	case c.recovery.active.Load():
		e.addReason("not known here; packets are held while flows are recovered")
	case now.Sub(svc.ChangedAt) < GracePeriod || hasUncertainMember(svc):
		e.addReason("not known here; views may differ, so the last member in rank drops its packets")
	default:
		e.addReason("not known here; the last member in rank resets its caller")
	}
}
