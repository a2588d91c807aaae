package agent

import (
	"cmp"
	"slices"
	"time"

	"bramleyhold.example/bramleyhold/internal/frame"
	"bramleyhold.example/bramleyhold/internal/peer"
	"bramleyhold.example/bramleyhold/internal/view"
)

// needsClaim reports whether the request of the opening must not be executed
// twice. This holds if the opening carries payload and the requests of the
// service are not idempotent.
func needsClaim(pkt *callerPacket) bool {
	return pkt.meta.PayloadBytes > 0 && !pkt.svc.Contract.Idempotent
}

// bufferForClaim buffers an admitted opening and sends a claim for it to the home
// of its flow. The flow keeps its slot and alias meanwhile. If the limit of
// pending claims is reached, the opening is dropped with AlreadyQueued as well.
func (c *Core) bufferForClaim(pkt *callerPacket, f *flowState, out *Actions) {
	claims := c.claims
	claims.mu.Lock()
	if _, isPending := claims.pending[pkt.key]; isPending || len(claims.pending) >= claims.limit {
		claims.mu.Unlock()
		c.releaseReservations(f)
		out.drop(AlreadyQueued)
		return
	}
	claims.lastNumber++
	pending := &pendingClaim{
		flow: f, balancer: balancerRef{memberHash: pkt.header.Origin, viewRevision: pkt.header.Epoch},
		ticket: c.lastTicket.Add(1), number: claims.lastNumber, deadline: pkt.nowNanos + int64(claimTimeout),
		synSequence: pkt.meta.Sequence,
	}
	claims.pending[pkt.key] = pending
	claims.pendingCount.Add(1)
	claims.mu.Unlock()
	out.add(Action{Kind: BufferPacket, Flow: pkt.key, Ticket: pending.ticket})
	c.sendClaim(pkt.now, pending, out)
}

// releaseReservations releases the slot and alias of a flow that is not in the
// table.
func (c *Core) releaseReservations(f *flowState) {
	c.releaseSlot(f)
	c.aliases.release(f)
}

// sendClaim sends a claim to the home of the flow. If this agent is the home,
// it grants or denies the claim at once.
func (c *Core) sendClaim(now time.Time, pending *pendingClaim, out *Actions) {
	state := c.viewState.Load()
	home := state.service.Home(pending.flow.hash)
	if home < 0 {
		return
	}
	upstream := &state.service.Members[home]
	claim := &peer.Claim{Key: pending.flow.key, Holder: c.cfg.VM, Incarnation: c.cfg.Incarnation, Epoch: state.view.Revision, Number: pending.number, Opening: pending.synSequence}
	c.claims.mu.Lock()
	pending.requestedHome, pending.nextRequestAt = upstream.VM, now.UnixNano()+int64(claimRetryInterval)
	c.claims.mu.Unlock()
	if upstream.Hash == c.selfHash {
		response := c.decideClaim(now, state, claim)
		c.handleClaimResponse(now, &response, out)
		return
	}
	out.add(Action{Kind: Send, To: upstream.Address, ToVM: upstream.VM, Message: &peer.Message{Claim: claim}})
}

// takePending removes and returns the opening that a response belongs to. It
// returns nil if no opening awaits the response to a claim with that number.
func (claims *claimTable) takePending(response *peer.ClaimResponse) *pendingClaim {
	claims.mu.Lock()
	defer claims.mu.Unlock()
	pending, ok := claims.pending[response.Key]
	if !ok || pending.number != response.Number {
		return nil
	}
	delete(claims.pending, response.Key)
	claims.pendingCount.Add(-1)
	return pending
}

// handleClaimResponse handles a grant or denial. After a grant the opening is
// delivered. After a denial it is forwarded to the other holder, refused or
// dropped. A response without a pending claim is ignored, because its opening
// has timed out.
func (c *Core) handleClaimResponse(now time.Time, response *peer.ClaimResponse, out *Actions) {
	pending := c.claims.takePending(response)
	if pending == nil {
		return
	}
	if response.Granted {
		c.installGrantedFlow(now, pending, out)
		return
	}
	c.releaseReservations(pending.flow)
	svc := c.currentService()
	switch {
	case response.Holder != "" && response.Holder != c.cfg.VM:
		// The opening is a copy of one for which another agent has the flow or a
		// grant. Reprocessing forwards it to that agent.
		record := pending.flow.toRecord(response.HolderIncarnation)
		c.registry.store(now, response.Holder, pending.flow.hash, record)
		out.add(Action{Kind: ReprocessPacket, Flow: response.Key, Ticket: pending.ticket})
	case response.Reason == denialTableFull:
		ref := flowRef{hash: pending.flow.hash, key: pending.flow.key}
		c.refuseOrDrop(now, c.checkRefusal(now, svc, ref, true), ClaimDenied, pending.ticket, out)
	default:
		out.add(Action{Kind: DropBuffered, Flow: response.Key, Ticket: pending.ticket, Reason: ClaimDenied})
	}
}

// installGrantedFlow adds the flow whose claim was granted to the table. The
// buffered opening is reprocessed and thus delivered.
func (c *Core) installGrantedFlow(now time.Time, pending *pendingClaim, out *Actions) {
	f := pending.flow
	f.lastPacketAt = now.UnixNano()
	record := f.toRecord(c.cfg.Incarnation)
	if !c.insertFlow(f) {
		c.releaseReservations(f)
		out.add(Action{Kind: DropBuffered, Flow: f.key, Ticket: pending.ticket, Reason: OutcomeUnknown})
		return
	}
	out.add(Action{Kind: ReprocessPacket, Flow: f.key, Ticket: pending.ticket})
	header := frame.Header{Origin: pending.balancer.memberHash, Epoch: pending.balancer.viewRevision}
	pkt := callerPacket{now: now, nowNanos: now.UnixNano(), svc: c.currentService(), header: &header, key: f.key, hash: f.hash}
	c.registerAdmittedFlow(&pkt, record, out)
}

// retryOrExpireClaims sends claims without a response again and drops openings
// whose claim has timed out. These openings are not refused, because another
// agent may have delivered a copy.
func (c *Core) retryOrExpireClaims(now time.Time, svc *view.Service, out *Actions) {
	nowNanos := now.UnixNano()
	c.claims.expireGrants(nowNanos)
	if c.claims.pendingCount.Load() == 0 {
		return
	}
	var expired, retries []*pendingClaim
	c.claims.mu.Lock()
	for key, pending := range c.claims.pending {
		switch {
		case nowNanos >= pending.deadline:
			delete(c.claims.pending, key)
			c.claims.pendingCount.Add(-1)
			expired = append(expired, pending)
		case nowNanos >= pending.nextRequestAt || pending.homeChanged(svc):
			retries = append(retries, pending)
		}
	}
	c.claims.mu.Unlock()
	slices.SortFunc(expired, byClaimNumber)
	slices.SortFunc(retries, byClaimNumber)
	for _, pending := range expired {
		c.releaseReservations(pending.flow)
		out.add(Action{Kind: DropBuffered, Flow: pending.flow.key, Ticket: pending.ticket, Reason: ClaimTimeout})
		c.sendGrantRelease(svc, pending, out)
	}
	for _, pending := range retries {
		c.sendClaim(now, pending, out)
	}
}

func byClaimNumber(a, b *pendingClaim) int { return cmp.Compare(a.number, b.number) }

// sendGrantRelease sends the home a release for a claim that timed out here. The
// home may have granted it meanwhile.
func (c *Core) sendGrantRelease(svc *view.Service, pending *pendingClaim, out *Actions) {
	i := svc.Index(pending.requestedHome)
	if i < 0 {
		return
	}
	claim := &peer.Claim{
		Key: pending.flow.key, Holder: c.cfg.VM, Incarnation: c.cfg.Incarnation, Epoch: c.viewRevision(), Number: pending.number,
		Opening: pending.synSequence, Release: true,
	}
	upstream := &svc.Members[i]
	if upstream.Hash == c.selfHash {
		c.claims.releaseGrant(claim)
		return
	}
	out.add(Action{Kind: Send, To: upstream.Address, ToVM: upstream.VM, Message: &peer.Message{Claim: claim}})
}
