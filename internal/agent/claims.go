package agent

import (
	"sync"
	"sync/atomic"
	"time"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/peer"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

const (
	// grantLifetime is how long a home keeps a grant. It covers the idle timeout of
	// a UDP flow. By then the registration of the flow prevents a second holder.
	grantLifetime = time.Minute
	// claimTimeout bounds how long an opening waits for the response to its claim.
	// The claim is sent again every claimRetryInterval.
	claimTimeout       = time.Second
	claimRetryInterval = 100 * time.Millisecond
)

// The reasons for denying a claim. Only after denialTableFull is it certain
// that no other agent has delivered the opening.
const (
	denialNotHome       = "not_home"
	denialOlderView     = "older_epoch"
	denialGracePeriod   = "grace_period"
	denialHeld          = "held"
	denialOutdatedClaim = "old_claim"
	denialTableFull     = "full"
)

// claimGrant is the exclusive right that this home has granted to a holder in
// response to a claim.
type claimGrant struct {
	holder      vm.ID
	incarnation vm.Incarnation
	number      uint64
	expiresAt   int64
}

// denialReason returns why a claim for the same opening is denied while this
// grant is valid. It is empty for a retransmission of the granted claim.
func (g *claimGrant) denialReason(claim *peer.Claim) string {
	sameHolder := g.holder == claim.Holder && g.incarnation == claim.Incarnation
	switch {
	case sameHolder && claim.Number == g.number:
		// The claim is a retransmission: the first response may be lost.
		return ""
	case sameHolder && claim.Number < g.number:
		return denialOutdatedClaim
	}
	// The opening may have been delivered by another holder, by a previous
	// incarnation of this holder, or under an earlier grant that was not released.
	return denialHeld
}

// openingID identifies an opening. Two TCP connections from one port differ in
// the sequence number of their SYN.
type openingID struct {
	key         flow.Key
	synSequence uint32
}

// openingIDOf returns the opening that a claim is for.
func openingIDOf(claim *peer.Claim) openingID {
	return openingID{key: claim.Key, synSequence: claim.Opening}
}

type grantExpiry struct {
	opening   openingID
	expiresAt int64
}

// claimTable stores the grants that this agent has given as a home, and the
// openings for which it awaits the response to a claim.
type claimTable struct {
	mu          sync.Mutex
	limit       int
	grants      map[openingID]claimGrant
	expiryOrder []grantExpiry

	pending      map[flow.Key]*pendingClaim
	pendingCount atomic.Int64
	lastNumber   uint64
}

// pendingClaim is an admitted opening whose claim has no response yet.
type pendingClaim struct {
	flow          *flowState
	balancer      balancerRef
	ticket        uint64
	number        uint64
	synSequence   uint32
	requestedHome vm.ID
	nextRequestAt int64
	deadline      int64
}

// balancerRef identifies the balancer to which the hint is sent, and the view
// revision (epoch) that its frame carried.
type balancerRef struct {
	memberHash, viewRevision uint64
}

func newClaimTable(limit int) *claimTable {
	return &claimTable{limit: limit, grants: map[openingID]claimGrant{}, pending: map[flow.Key]*pendingClaim{}}
}

// isPending reports whether an opening with the key awaits the response to its
// claim here.
func (claims *claimTable) isPending(key flow.Key) bool {
	if claims.pendingCount.Load() == 0 {
		return false
	}
	claims.mu.Lock()
	defer claims.mu.Unlock()
	_, ok := claims.pending[key]
	return ok
}

// grantOrDeny grants a claim unless another grant for the same opening is valid.
// The calling function has checked that this agent may decide as the home. An
// opening has one grant until that expires or its holder releases it.
func (claims *claimTable) grantOrDeny(nowNanos int64, claim *peer.Claim) peer.ClaimResponse {
	claims.mu.Lock()
	defer claims.mu.Unlock()
	response := peer.ClaimResponse{Key: claim.Key, Epoch: claim.Epoch, Number: claim.Number}
	existing, ok := claims.grants[openingIDOf(claim)]
	if ok && existing.expiresAt > nowNanos {
		if reason := existing.denialReason(claim); reason != "" {
			response.Reason = reason
			if existing.holder != claim.Holder {
				response.Holder, response.HolderIncarnation = existing.holder, existing.incarnation
			}
			return response
		}
		// A retransmitted claim does not extend the grant.
		response.Granted = true
		return response
	}
	if !ok && len(claims.grants) >= claims.limit {
		response.Reason = denialTableFull
		return response
	}
	expires := nowNanos + int64(grantLifetime)
	claims.grants[openingIDOf(claim)] = claimGrant{holder: claim.Holder, incarnation: claim.Incarnation, number: claim.Number, expiresAt: expires}
	claims.expiryOrder = append(claims.expiryOrder, grantExpiry{opening: openingIDOf(claim), expiresAt: expires})
	response.Granted = true
	return response
}

// releaseGrant removes a grant that its holder releases. A delayed release does
// not remove a later grant of the same holder.
func (claims *claimTable) releaseGrant(claim *peer.Claim) {
	claims.mu.Lock()
	defer claims.mu.Unlock()
	existing, ok := claims.grants[openingIDOf(claim)]
	if ok && existing.holder == claim.Holder && existing.incarnation == claim.Incarnation && existing.number == claim.Number {
		delete(claims.grants, openingIDOf(claim))
	}
}

// expireGrants removes the grants that have expired.
func (claims *claimTable) expireGrants(nowNanos int64) {
	claims.mu.Lock()
	defer claims.mu.Unlock()
	expiredCount := 0
	for expiredCount < len(claims.expiryOrder) && claims.expiryOrder[expiredCount].expiresAt <= nowNanos {
		opening := claims.expiryOrder[expiredCount].opening
		if grant, ok := claims.grants[opening]; ok && grant.expiresAt <= nowNanos {
			delete(claims.grants, opening)
		}
		expiredCount++
	}
	claims.expiryOrder = claims.expiryOrder[expiredCount:]
}

// decideClaim grants or denies a claim. It is called on the home of the flow.
//
// A previous home, or the previous incarnation of this one, may have granted a
// claim for the opening. A claim is therefore denied until this member has been
// the home of the flow, and this incarnation has been active, for a whole grace
// period.
func (c *Core) decideClaim(now time.Time, state *viewState, claim *peer.Claim) peer.ClaimResponse {
	hash := c.cfg.Hasher.Hash(claim.Key)
	response := peer.ClaimResponse{Key: claim.Key, Epoch: claim.Epoch, Number: claim.Number}
	home := state.service.Home(hash)
	switch {
	case home < 0 || state.service.MemberHashes[home] != c.selfHash:
		response.Reason = denialNotHome
		return response
	case claim.Epoch > state.view.Revision:
		// Epoch is the revision of the holder's view. In that newer view another
		// agent may be the home.
		response.Reason = denialOlderView
		return response
	case !state.wasHomeThroughout(now, hash, c.selfHash) || now.UnixNano()-c.firstEventAt.Load() < int64(GracePeriod):
		response.Reason = denialGracePeriod
		return response
	}
	if reg, ok := c.registry.find(flowRef{hash: hash, key: claim.Key}); ok && reg.holder != claim.Holder && now.Before(reg.expires) {
		response.Reason, response.Holder, response.HolderIncarnation = denialHeld, reg.holder, reg.record.Incarnation
		return response
	}
	if claim.Holder != c.cfg.VM && (c.holds(flowRef{hash: hash, key: claim.Key}) || c.claims.isPending(claim.Key)) {
		response.Reason, response.Holder, response.HolderIncarnation = denialHeld, c.cfg.VM, c.cfg.Incarnation
		return response
	}
	return c.claims.grantOrDeny(now.UnixNano(), claim)
}

// handleClaim responds to a claim of another agent, or releases its grant.
func (c *Core) handleClaim(now time.Time, claim *peer.Claim, out *Actions) {
	state := c.viewState.Load()
	i := state.service.Index(claim.Holder)
	if i < 0 {
		out.drop(WrongService)
		return
	}
	if claim.Release {
		c.claims.releaseGrant(claim)
		return
	}
	response := c.decideClaim(now, state, claim)
	upstream := &state.service.Members[i]
	out.add(Action{Kind: Send, To: upstream.Address, ToVM: upstream.VM, Message: &peer.Message{ClaimResponse: &response}})
}

// homeChanged reports whether the member that got the claim is no longer the
// home.
func (pending *pendingClaim) homeChanged(svc *view.Service) bool {
	home := svc.Home(pending.flow.hash)
	return home < 0 || svc.Members[home].VM != pending.requestedHome
}
