package agent

import (
	"cmp"
	"slices"
	"time"

	"bramleyhold.example/bramleyhold/internal/peer"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

const (
	// sessionLifetime bounds how long the records of a recovering peer are
	// kept in the same parts.
	sessionLifetime = 5 * time.Second
	// partsPerTick bounds the burst to one recovering peer, so that it fits
	// the usual receive buffer of a socket (208 KiB).
	partsPerTick = 32
	// maxSessions bounds the peers that are answered at a time.
	maxSessions = 64
)

// recoverySession is the answer to one recovering peer. The parts stay the
// same, so that a repeated RecoverRequest can name the ones that were lost.
type recoverySession struct {
	holder      vm.ID
	incarnation vm.Incarnation
	created     time.Time
	records     []peer.FlowRecord
	pending     []uint32
}

func (s *recoverySession) parts() int {
	return max((len(s.records)+peer.MaxFlowsPerMessage-1)/peer.MaxFlowsPerMessage, 1)
}

// want queues the parts that the peer asks for; none stands for all.
func (s *recoverySession) want(missing []uint32) {
	if len(missing) == 0 {
		if len(s.pending) > 0 {
			return
		}
		for i := range s.parts() {
			s.pending = append(s.pending, uint32(i))
		}
		return
	}
	for _, part := range missing {
		if int(part) < s.parts() && !slices.Contains(s.pending, part) {
			s.pending = append(s.pending, part)
		}
	}
}

func (s *recoverySession) part(number uint32, from vm.ID) *peer.Message {
	start := int(number) * peer.MaxFlowsPerMessage
	end := min(start+peer.MaxFlowsPerMessage, len(s.records))
	return &peer.Message{RecoverResponse: &peer.RecoverResponse{
		From: from, Part: number, Flows: s.records[start:end], More: int(number)+1 < s.parts(), Incarnation: s.incarnation,
	}}
}

// handleRecover answers with the records that name the sender.
func (c *Core) handleRecover(now time.Time, svc *view.Service, m *peer.RecoverRequest, out *Actions) {
	if svc.Index(m.Holder) < 0 || !c.peers.accepts(m.Holder, m.Incarnation) {
		out.drop(StaleIncarnation)
		return
	}
	r := c.recovery
	r.mu.Lock()
	s := r.sessions[m.Holder]
	if s == nil || s.incarnation != m.Incarnation || now.Sub(s.created) >= sessionLifetime {
		if s == nil && len(r.sessions) >= maxSessions {
			r.mu.Unlock()
			return
		}
		s = &recoverySession{holder: m.Holder, incarnation: m.Incarnation, created: now, records: c.peers.of(m.Holder)}
		r.sessions[m.Holder] = s
	}
	s.want(m.Missing)
	r.mu.Unlock()
	c.serveRecoveries(now, svc, out)
}

// serveRecoveries sends the next parts to peers that are recovering.
func (c *Core) serveRecoveries(now time.Time, svc *view.Service, out *Actions) {
	r := c.recovery
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.sessions) == 0 {
		return
	}
	sessions := make([]*recoverySession, 0, len(r.sessions))
	for _, s := range r.sessions {
		sessions = append(sessions, s)
	}
	slices.SortFunc(sessions, func(a, b *recoverySession) int { return cmp.Compare(a.holder, b.holder) })
	for _, s := range sessions {
		if now.Sub(s.created) >= sessionLifetime {
			delete(r.sessions, s.holder)
			continue
		}
		i := svc.Index(s.holder)
		if i < 0 {
			continue
		}
		u := &svc.Members[i]
		n := min(partsPerTick, len(s.pending))
		for _, part := range s.pending[:n] {
			out.add(Action{Kind: Send, To: u.Address, ToVM: u.VM, Message: s.part(part, c.cfg.VM)})
		}
		s.pending = s.pending[n:]
	}
}
