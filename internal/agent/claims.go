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
	// claimLifetime is how long a home keeps a granted claim. It covers the idle
	// timeout of a UDP flow. By then the registration of the flow prevents a
	// second holder.
	claimLifetime = time.Minute
	// claimTimeout bounds how long an opening waits for the response to its claim.
	// The claim is sent again every claimRetryInterval.
	claimTimeout       = time.Second
	claimRetryInterval = 100 * time.Millisecond
)

// The reasons for denying a claim. Only after denialTableFull is it certain
// that the opening was not run by another agent.
const (
	denialNotHome     = "not_home"
	denialOlderView   = "older_epoch"
	denialGracePeriod = "grace_period"
	denialHeld        = "held"
	denialOlderClaim  = "old_claim"
	denialTableFull   = "full"
)

// grantedClaim is a claim that this home has granted to a holder.
type grantedClaim struct {
	holder      vm.ID
	incarnation vm.Incarnation
	number      uint64
	expiresAt   int64
}

// denialReason returns why another claim for the same opening is denied while
// this one is valid. It is empty for a retransmission of this claim.
func (g *grantedClaim) denialReason(claim *peer.Claim) string {
	sameHolder := g.holder == claim.Holder && g.incarnation == claim.Incarnation
	switch {
	case sameHolder && claim.Number == g.number:
		// The claim is a retransmission: the first response may be lost.
		return ""
	case sameHolder && claim.Number < g.number:
		return denialOlderClaim
	}
	// The opening may have been run by another holder, by a previous incarnation
	// of this holder, or under an earlier claim that was not released.
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

type claimExpiry struct {
	opening   openingID
	expiresAt int64
}

// claimTable holds the claims that this agent has granted as a home, and the
// openings that wait for a claim of this agent as a holder.
type claimTable struct {
	mu          sync.Mutex
	limit       int
	granted     map[openingID]grantedClaim
	expiryOrder []claimExpiry

	pending      map[flow.Key]*pendingClaim
	pendingCount atomic.Int64
	lastNumber   uint64
}

// pendingClaim is an admitted opening whose claim is not decided yet.
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

// balancerRef identifies the balancer to which the hint is sent.
type balancerRef struct {
	hash, epoch uint64
}

func newClaimTable(limit int) *claimTable {
	return &claimTable{limit: limit, granted: map[openingID]grantedClaim{}, pending: map[flow.Key]*pendingClaim{}}
}

// isPending reports whether an opening with the key waits for its claim here.
func (claims *claimTable) isPending(key flow.Key) bool {
	if claims.pendingCount.Load() == 0 {
		return false
	}
	claims.mu.Lock()
	defer claims.mu.Unlock()
	_, ok := claims.pending[key]
	return ok
}

// grantOrDeny grants a claim unless another one for the same opening is valid.
// The caller has checked that this agent may grant it as the home. A granted
// claim has one holder until it expires or the holder releases it.
func (claims *claimTable) grantOrDeny(nowNanos int64, claim *peer.Claim) peer.ClaimResponse {
	claims.mu.Lock()
	defer claims.mu.Unlock()
	response := peer.ClaimResponse{Key: claim.Key, Epoch: claim.Epoch, Number: claim.Number}
	existing, ok := claims.granted[openingIDOf(claim)]
	if ok && existing.expiresAt > nowNanos {
		if reason := existing.denialReason(claim); reason != "" {
			response.Reason = reason
			if existing.holder != claim.Holder {
				response.Holder, response.HolderIncarnation = existing.holder, existing.incarnation
			}
			return response
		}
		// A retransmitted claim keeps its expiry.
		response.Granted = true
		return response
	}
	if !ok && len(claims.granted) >= claims.limit {
		response.Reason = denialTableFull
		return response
	}
	expires := nowNanos + int64(claimLifetime)
	claims.granted[openingIDOf(claim)] = grantedClaim{holder: claim.Holder, incarnation: claim.Incarnation, number: claim.Number, expiresAt: expires}
	claims.expiryOrder = append(claims.expiryOrder, claimExpiry{opening: openingIDOf(claim), expiresAt: expires})
	response.Granted = true
	return response
}

// release removes a claim that its holder releases. A delayed message does not
// remove a later claim of the same holder.
func (claims *claimTable) release(claim *peer.Claim) {
	claims.mu.Lock()
	defer claims.mu.Unlock()
	existing, ok := claims.granted[openingIDOf(claim)]
	if ok && existing.holder == claim.Holder && existing.incarnation == claim.Incarnation && existing.number == claim.Number {
		delete(claims.granted, openingIDOf(claim))
	}
}

// expireGranted removes the granted claims that have expired.
func (claims *claimTable) expireGranted(nowNanos int64) {
	claims.mu.Lock()
	defer claims.mu.Unlock()
	expiredCount := 0
	for expiredCount < len(claims.expiryOrder) && claims.expiryOrder[expiredCount].expiresAt <= nowNanos {
		opening := claims.expiryOrder[expiredCount].opening
		if claim, ok := claims.granted[opening]; ok && claim.expiresAt <= nowNanos {
			delete(claims.granted, opening)
		}
		expiredCount++
	}
	claims.expiryOrder = claims.expiryOrder[expiredCount:]
}

// decideClaim grants or denies a claim. It runs on the home of the flow.
func (c *Core) decideClaim(now time.Time, state *viewState, claim *peer.Claim) peer.ClaimResponse {
	hash := c.cfg.Hasher.Hash(claim.Key)
	response := peer.ClaimResponse{Key: claim.Key, Epoch: claim.Epoch, Number: claim.Number}
	home := state.service.Home(hash)
	switch {
	case home < 0 || state.service.MemberHashes[home] != c.selfHash:
		response.Reason = denialNotHome
		return response
	case claim.Epoch > state.view.Revision:
		// In the newer view of the holder another agent may be the home.
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

// handleClaim responds to a claim of another agent, or releases one.
func (c *Core) handleClaim(now time.Time, claim *peer.Claim, out *Actions) {
	state := c.viewState.Load()
	i := state.service.Index(claim.Holder)
	if i < 0 {
		out.drop(WrongService)
		return
	}
	if claim.Release {
		c.claims.release(claim)
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
