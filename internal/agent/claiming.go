package agent

import (
	"cmp"
	"slices"
	"time"

	"bramleyhold.example/bramleyhold/internal/frame"
	"bramleyhold.example/bramleyhold/internal/peer"
	"bramleyhold.example/bramleyhold/internal/view"
)

// needsClaim reports whether running the opening twice would do harm: it
// carries payload for a service whose requests are not idempotent.
func needsClaim(a *arrival) bool {
	return a.m.PayloadBytes > 0 && !a.svc.Contract.Idempotent
}

// startClaim holds an admitted opening and asks the home of its flow for the
// claim. The flow keeps its slot and alias meanwhile.
func (c *Core) startClaim(a *arrival, f *flowState, out *Actions) {
	cl := c.claims
	cl.mu.Lock()
	if _, waits := cl.pending[a.key]; waits || len(cl.pending) >= cl.limit {
		cl.mu.Unlock()
		c.abandon(f)
		out.drop(AlreadyQueued)
		return
	}
	cl.number++
	p := &pendingClaim{
		flow: f, origin: originRef{member: a.h.Origin, epoch: a.h.Epoch},
		ticket: c.tickets.Add(1), number: cl.number, deadline: a.nanos + int64(claimTimeout),
		opening: a.m.Sequence,
	}
	cl.pending[a.key] = p
	cl.pendingCount.Add(1)
	cl.mu.Unlock()
	out.add(Action{Kind: Hold, Flow: a.key, Ticket: p.ticket})
	c.askClaim(a.now, p, out)
}

// abandon gives back what a flow that was not installed has reserved.
func (c *Core) abandon(f *flowState) {
	c.freeSlot(f)
	c.aliases.release(f)
}

// askClaim sends the claim to the home, or decides it here.
func (c *Core) askClaim(now time.Time, p *pendingClaim, out *Actions) {
	st := c.state.Load()
	home := st.service.Home(p.flow.hash)
	if home < 0 {
		return
	}
	u := &st.service.Members[home]
	m := &peer.Claim{Key: p.flow.key, Holder: c.cfg.VM, Incarnation: c.cfg.Incarnation, Epoch: st.view.Revision, Number: p.number, Opening: p.opening}
	c.claims.mu.Lock()
	p.home, p.nextAsk = u.VM, now.UnixNano()+int64(claimRetry)
	c.claims.mu.Unlock()
	if u.Hash == c.selfHash {
		answer := c.decideClaim(now, st, m)
		c.handleClaimed(now, &answer, out)
		return
	}
	out.add(Action{Kind: Send, To: u.Address, ToVM: u.VM, Message: &peer.Message{Claim: m}})
}

// takePending removes the opening that waits for a claim, if it is the one
// with the number.
func (cl *claims) takePending(m *peer.ClaimResponse) *pendingClaim {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	p, ok := cl.pending[m.Key]
	if !ok || p.number != m.Number {
		return nil
	}
	delete(cl.pending, m.Key)
	cl.pendingCount.Add(-1)
	return p
}

// handleClaimed runs an opening whose claim was granted. Answers to a claim
// that no longer waits are ignored, because its opening was given up.
func (c *Core) handleClaimed(now time.Time, m *peer.ClaimResponse, out *Actions) {
	p := c.claims.takePending(m)
	if p == nil {
		return
	}
	if m.Granted {
		c.runClaimed(now, p, out)
		return
	}
	c.abandon(p.flow)
	svc := c.service()
	switch {
	case m.Holder != "" && m.Holder != c.cfg.VM:
		// The opening is a copy of one that runs at another agent.
		record := p.flow.record(m.HolderIncarnation)
		c.peers.store(now, m.Holder, p.flow.hash, record)
		out.add(Action{Kind: Release, Flow: m.Key, Ticket: p.ticket})
	case m.Reason == denialFull:
		ref := flowRef{hash: p.flow.hash, key: p.flow.key}
		c.refuseProved(now, c.proveNotRun(now, svc, ref, true), ClaimDenied, p.ticket, out)
	default:
		out.add(Action{Kind: Discard, Flow: m.Key, Ticket: p.ticket, Reason: ClaimDenied})
	}
}

// runClaimed installs the flow and lets the held opening be delivered to it.
func (c *Core) runClaimed(now time.Time, p *pendingClaim, out *Actions) {
	f := p.flow
	f.lastSeen = now.UnixNano()
	record := f.record(c.cfg.Incarnation)
	if !c.add(f) {
		c.abandon(f)
		out.add(Action{Kind: Discard, Flow: f.key, Ticket: p.ticket, Reason: OutcomeUnknown})
		return
	}
	out.add(Action{Kind: Release, Flow: f.key, Ticket: p.ticket})
	h := frame.Header{Origin: p.origin.member, Epoch: p.origin.epoch}
	a := arrival{now: now, nanos: now.UnixNano(), svc: c.service(), h: &h, key: f.key, hash: f.hash}
	c.announceFlow(&a, record, out)
}

// tickClaims repeats claims that were not answered and gives up those that
// were not answered in time. An opening without an answer is dropped and not
// refused: a copy of it may run elsewhere.
func (c *Core) tickClaims(now time.Time, svc *view.Service, out *Actions) {
	nanos := now.UnixNano()
	c.claims.expire(nanos)
	if c.claims.pendingCount.Load() == 0 {
		return
	}
	var late, again []*pendingClaim
	c.claims.mu.Lock()
	for key, p := range c.claims.pending {
		switch {
		case nanos >= p.deadline:
			delete(c.claims.pending, key)
			c.claims.pendingCount.Add(-1)
			late = append(late, p)
		case nanos >= p.nextAsk || p.lostHome(svc):
			again = append(again, p)
		}
	}
	c.claims.mu.Unlock()
	slices.SortFunc(late, byNumber)
	slices.SortFunc(again, byNumber)
	for _, p := range late {
		c.abandon(p.flow)
		out.add(Action{Kind: Discard, Flow: p.flow.key, Ticket: p.ticket, Reason: ClaimTimeout})
		c.releaseClaim(svc, p, out)
	}
	for _, p := range again {
		c.askClaim(now, p, out)
	}
}

func byNumber(a, b *pendingClaim) int { return cmp.Compare(a.number, b.number) }

// releaseClaim gives a claim back that may have been granted meanwhile.
func (c *Core) releaseClaim(svc *view.Service, p *pendingClaim, out *Actions) {
	i := svc.Index(p.home)
	if i < 0 {
		return
	}
	m := &peer.Claim{
		Key: p.flow.key, Holder: c.cfg.VM, Incarnation: c.cfg.Incarnation, Epoch: c.revision(), Number: p.number,
		Opening: p.opening, Release: true,
	}
	u := &svc.Members[i]
	if u.Hash == c.selfHash {
		c.claims.release(m)
		return
	}
	out.add(Action{Kind: Send, To: u.Address, ToVM: u.VM, Message: &peer.Message{Claim: m}})
}
