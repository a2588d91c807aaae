package balancer

import (
	"fmt"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/packet"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// Explanation describes where this balancer sends packets of a flow, and why.
// It is part of the response to the method explain.flow.
type Explanation struct {
	Service service.Name
	// OpeningTarget is the member that receives an opening, and PacketTarget the
	// one that receives other packets. Holder is set if a hint names it.
	OpeningTarget, PacketTarget, Home, Holder vm.ID
	Reasons                                   []string
}

// Explain returns the explanation for a flow. It changes no state.
func (c *Core) Explain(key flow.Key) Explanation {
	var e Explanation
	v := c.view.Load()
	if v == nil {
		e.Reasons = append(e.Reasons, "this balancer has no view yet and drops every packet")
		return e
	}
	s := v.ServiceByEndpoint(service.Endpoint{Address: key.Virtual, Protocol: serviceProtocol(key.Protocol)})
	if s == nil {
		e.Reasons = append(e.Reasons, fmt.Sprintf("no service has this virtual address at revision %d", v.Revision))
		return e
	}
	e.Service = s.Name
	flowHash := c.cfg.Hasher.Hash(key)
	e.Home = memberVM(s, s.Home(flowHash))
	e.PacketTarget, e.OpeningTarget = e.Home, memberVM(s, s.Placer(flowHash))
	if key.Protocol == packet.ProtocolUDP {
		e.OpeningTarget = e.Home
	}
	e.Reasons = append(e.Reasons, c.explainHintedHolder(s, flowHash, &e))
	if !s.Traffic {
		e.Reasons = append(e.Reasons, fmt.Sprintf("service %s takes no traffic: openings are reset", s.Name))
	}
	if c.State() == Draining {
		e.Reasons = append(e.Reasons, "this balancer is draining")
	}
	return e
}

// explainHintedHolder returns the reason text about the hint of a flow. If the
// hint is usable it sets e.Holder and e.PacketTarget.
func (c *Core) explainHintedHolder(s *view.Service, flowHash uint64, e *Explanation) string {
	hint, ok := c.hints.get(flowHash)
	if !ok {
		return "no hint: packets go to the home of the flow"
	}
	i := s.IndexByHash(hint.holderHash)
	if i < 0 {
		return fmt.Sprintf("the hint names a VM that does not serve %s now: packets go to the home of the flow", s.Name)
	}
	u := &s.Members[i]
	if !u.Reachable() {
		return fmt.Sprintf("the hint names %s, which is %s: packets go to the home of the flow", u.VM, u.Status)
	}
	e.Holder, e.PacketTarget = u.VM, u.VM
	return fmt.Sprintf("a hint names %s with incarnation %d", u.VM, hint.incarnation)
}

// memberVM returns the VM of a member index, or "" for a negative index.
func memberVM(s *view.Service, member int) vm.ID {
	if member < 0 {
		return ""
	}
	return s.Members[member].VM
}
