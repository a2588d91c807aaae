package balancer

import (
	"fmt"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/packet"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// Explanation says where packets of a flow go from here and why. It answers
// the method explain.flow.
type Explanation struct {
	Service service.Name
	// Opening is the member that gets a SYN, and Packet the one that gets other
	// packets. Holder is set if a hint names it.
	Opening, Packet, Home, Holder vm.ID
	Reasons                       []string
}

// Explain returns the decision for a flow. It changes nothing.
func (c *Core) Explain(key flow.Key) Explanation {
	var e Explanation
	v := c.view.Load()
	if v == nil {
		e.Reasons = append(e.Reasons, "this balancer has no view yet and drops every packet")
		return e
	}
	s := v.ServiceByEndpoint(service.Endpoint{Address: key.Virtual, Protocol: protocolName(key.Protocol)})
	if s == nil {
		e.Reasons = append(e.Reasons, fmt.Sprintf("no service has this virtual address at revision %d", v.Revision))
		return e
	}
	e.Service = s.Name
	hash := c.cfg.Hasher.Hash(key)
	e.Home = name(s, s.Home(hash))
	e.Packet, e.Opening = e.Home, name(s, s.Placer(hash))
	if key.Protocol == packet.ProtocolUDP {
		e.Opening = e.Home
	}
	e.Reasons = append(e.Reasons, c.explainHint(s, hash, &e))
	if !s.Traffic {
		e.Reasons = append(e.Reasons, fmt.Sprintf("service %s takes no traffic: openings are reset", s.Name))
	}
	if c.State() == Draining {
		e.Reasons = append(e.Reasons, "this balancer is draining")
	}
	return e
}

func (c *Core) explainHint(s *view.Service, hash uint64, e *Explanation) string {
	hint, ok := c.hints.get(hash)
	if !ok {
		return "no hint: packets go to the home of the flow"
	}
	i := s.IndexByHash(hint.holder)
	if i < 0 {
		return fmt.Sprintf("the hint names a VM that does not serve %s now: packets go to the home of the flow", s.Name)
	}
	u := &s.Members[i]
	if !u.Reachable() {
		return fmt.Sprintf("the hint names %s, which is %s: packets go to the home of the flow", u.VM, u.Status)
	}
	e.Holder, e.Packet = u.VM, u.VM
	return fmt.Sprintf("a hint names %s with incarnation %d", u.VM, hint.incarnation)
}

func name(s *view.Service, member int) vm.ID {
	if member < 0 {
		return ""
	}
	return s.Members[member].VM
}
