package agent

import (
	"strconv"
	"time"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// Explanation is what this agent knows about a flow and why it would send a
// packet of it where it does. It answers explain.flow.
type Explanation struct {
	Key      flow.Key `json:"key"`
	Revision uint64   `json:"revision"`
	// Ranking lists all members in the rank of the flow.
	Ranking []vm.ID `json:"ranking"`
	Home    vm.ID   `json:"home,omitempty"`
	Placer  vm.ID   `json:"placer,omitempty"`
	// Holder is the agent that holds the flow as far as this one knows.
	Holder vm.ID `json:"holder,omitempty"`
	// Flow is set if this agent holds the flow.
	Flow *FlowDetail `json:"flow,omitempty"`
	// Registration is set if the flow is registered here.
	Registration *RegistrationDetail `json:"registration,omitempty"`
	// Reasons say in words what follows from that.
	Reasons []string `json:"reasons"`
}

// FlowDetail describes a flow that the agent holds.
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

func (e *Explanation) because(reason string) { e.Reasons = append(e.Reasons, reason) }

// Explain says what this agent knows about a flow.
func (c *Core) Explain(now time.Time, key flow.Key) Explanation {
	e := Explanation{Key: key}
	st := c.state.Load()
	if st == nil || st.service == nil {
		e.because("no view, or the service is not in it: packets are dropped")
		return e
	}
	hash := c.cfg.Hasher.Hash(key)
	e.Revision = st.view.Revision
	e.rank(st.service, hash)
	ref := flowRef{hash: hash, key: key}
	c.explainHolder(now, st.service, ref, &e)
	c.explainWaiting(ref, &e)
	c.explainUnknown(now, st.service, &e)
	return e
}

func (e *Explanation) rank(svc *view.Service, hash uint64) {
	var seen uint64
	for {
		i := svc.NextCandidate(hash, seen)
		if i < 0 {
			break
		}
		seen |= 1 << uint(i)
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
	if reg, ok := c.peers.find(ref); ok {
		e.Holder = reg.holder
		e.Registration = &RegistrationDetail{
			Holder: reg.holder, Incarnation: reg.record.Incarnation, Phase: reg.record.Phase.String(), Expires: reg.expires,
		}
		e.because("registered here by " + string(reg.holder))
		if i := svc.Index(reg.holder); i >= 0 && svc.Members[i].Status != view.Ready {
			e.because("the holder is " + string(svc.Members[i].Status))
		}
	}
	s := c.flows.shard(ref.hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.find(ref.hash, ref.key)
	if f == nil {
		return
	}
	e.Holder = c.cfg.VM
	e.Flow = &FlowDetail{
		Phase: f.phase.String(), Alias: f.alias.String(), HoldsSlot: f.marks.has(holdsSlot),
		PayloadDelivered: f.marks.has(payloadDelivered), Restored: f.marks.has(restored), Idle: time.Duration(now.UnixNano() - f.lastSeen),
	}
	k := c.registrars(svc, ref.hash)
	for _, i := range k.members[:k.count] {
		e.Flow.Registrars = append(e.Flow.Registrars, svc.Members[i].VM)
	}
	e.because("held here")
}

func (c *Core) explainWaiting(ref flowRef, e *Explanation) {
	if c.claims.waits(ref.key) {
		e.because("admitted here and waiting for the claim of its home")
	}
	c.placement.mu.Lock()
	defer c.placement.mu.Unlock()
	if w, ok := c.placement.queue.byKey[ref.key]; ok && !w.released {
		e.because("waiting here for a free slot, retransmissions: " + strconv.Itoa(int(w.repeats)))
	}
}

func (c *Core) explainUnknown(now time.Time, svc *view.Service, e *Explanation) {
	if len(e.Reasons) > 0 {
		return
	}
	switch {
	case c.recovery.active.Load():
		e.because("not known here; packets are held while flows are recovered")
	case now.Sub(svc.ChangedAt) < GracePeriod || unsettled(svc):
		e.because("not known here; views may differ, so the last member in rank drops its packets")
	default:
		e.because("not known here; the last member in rank resets its caller")
	}
}
