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
	// recoverySessionLifetime bounds how long the records for a recovering peer
	// keep their division into parts.
	recoverySessionLifetime = 5 * time.Second
	// recoveryPartsPerTick bounds the burst to one recovering peer. It fits the
	// usual receive buffer of a socket (208 KiB).
	recoveryPartsPerTick = 32
	// maxRecoverySessions bounds the recovering peers that get responses at a
	// time.
	maxRecoverySessions = 64
)

// recoverySession is the response to one recovering peer. Its division into
// parts stays the same, so that a repeated RecoverRequest can list the parts
// that were lost.
type recoverySession struct {
	holder       vm.ID
	incarnation  vm.Incarnation
	createdAt    time.Time
	records      []peer.FlowRecord
	pendingParts []uint32
}

func (session *recoverySession) partCount() int {
	return max((len(session.records)+peer.MaxFlowsPerMessage-1)/peer.MaxFlowsPerMessage, 1)
}

// queueParts queues the missing parts for sending, or all parts if missing is
// empty.
func (session *recoverySession) queueParts(missing []uint32) {
	if len(missing) == 0 {
		if len(session.pendingParts) > 0 {
			return
		}
		for i := range session.partCount() {
			session.pendingParts = append(session.pendingParts, uint32(i))
		}
		return
	}
	for _, part := range missing {
		if int(part) < session.partCount() && !slices.Contains(session.pendingParts, part) {
			session.pendingParts = append(session.pendingParts, part)
		}
	}
}

// partMessage returns the message with one part of the response.
func (session *recoverySession) partMessage(number uint32, from vm.ID) *peer.Message {
	start := int(number) * peer.MaxFlowsPerMessage
	end := min(start+peer.MaxFlowsPerMessage, len(session.records))
	return &peer.Message{RecoverResponse: &peer.RecoverResponse{
		From: from, Part: number, Flows: session.records[start:end], More: int(number)+1 < session.partCount(), Incarnation: session.incarnation,
	}}
}

// handleRecoverRequest sends the records of the flows whose holder is the
// sender.
func (c *Core) handleRecoverRequest(now time.Time, svc *view.Service, request *peer.RecoverRequest, out *Actions) {
	if svc.Index(request.Holder) < 0 || !c.registry.acceptsIncarnation(request.Holder, request.Incarnation) {
		out.drop(StaleIncarnation)
		return
	}
	r := c.recovery
	r.mu.Lock()
	session := r.sessions[request.Holder]
	if session == nil || session.incarnation != request.Incarnation || now.Sub(session.createdAt) >= recoverySessionLifetime {
		if session == nil && len(r.sessions) >= maxRecoverySessions {
			r.mu.Unlock()
			return
		}
		session = &recoverySession{holder: request.Holder, incarnation: request.Incarnation, createdAt: now, records: c.registry.recordsOf(request.Holder)}
		r.sessions[request.Holder] = session
	}
	session.queueParts(request.Missing)
	r.mu.Unlock()
	c.sendRecoveryParts(now, svc, out)
}

// sendRecoveryParts sends the next parts to the peers that are recovering.
func (c *Core) sendRecoveryParts(now time.Time, svc *view.Service, out *Actions) {
	r := c.recovery
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.sessions) == 0 {
		return
	}
	sessions := make([]*recoverySession, 0, len(r.sessions))
	for _, session := range r.sessions {
		sessions = append(sessions, session)
	}
	slices.SortFunc(sessions, func(a, b *recoverySession) int { return cmp.Compare(a.holder, b.holder) })
	for _, session := range sessions {
		if now.Sub(session.createdAt) >= recoverySessionLifetime {
			delete(r.sessions, session.holder)
			continue
		}
		i := svc.Index(session.holder)
		if i < 0 {
			continue
		}
		upstream := &svc.Members[i]
		n := min(recoveryPartsPerTick, len(session.pendingParts))
		for _, part := range session.pendingParts[:n] {
			out.add(Action{Kind: Send, To: upstream.Address, ToVM: upstream.VM, Message: session.partMessage(part, c.cfg.VM)})
		}
		session.pendingParts = session.pendingParts[n:]
	}
}
