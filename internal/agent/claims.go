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
	// claimLifetime is how long a home remembers a claim. It covers the idle
	// time of a UDP flow, in which its registration takes over.
	claimLifetime = time.Minute
	// claimTimeout bounds how long an opening waits for its claim; claimRetry
	// is the interval in which the claim is repeated.
	claimTimeout = time.Second
	claimRetry   = 100 * time.Millisecond
)

// The reasons of a denial. Only denialFull leaves it certain that the opening
// was not run elsewhere.
const (
	denialNotHome = "not_home"
	denialEpoch   = "older_epoch"
	denialGrace   = "grace_period"
	denialHeld    = "held"
	denialOld     = "old_claim"
	denialFull    = "full"
)

// grant is a claim that this home has given to a holder.
type grant struct {
	holder      vm.ID
	incarnation vm.Incarnation
	number      uint64
	expires     int64
}

// denies returns why a claim cannot be given while another one is valid.
func (g *grant) denies(m *peer.Claim) string {
	same := g.holder == m.Holder && g.incarnation == m.Incarnation
	switch {
	case same && m.Number == g.number:
		// A repeated claim: the first answer may be lost.
		return ""
	case same && m.Number < g.number:
		return denialOld
	}
	// Another holder, an earlier life of this one, or an earlier claim of it
	// that was not given back: the opening may have been run.
	return denialHeld
}

// claimKey names an opening: two TCP connections from one port differ in the
// sequence number of their SYN.
type claimKey struct {
	key     flow.Key
	opening uint32
}

func claimKeyOf(m *peer.Claim) claimKey { return claimKey{key: m.Key, opening: m.Opening} }

type grantExpiry struct {
	key claimKey
	at  int64
}

// claims keeps the claims that this agent granted as a home, and those that it
// waits for as a holder.
type claims struct {
	mu      sync.Mutex
	limit   int
	granted map[claimKey]grant
	order   []grantExpiry

	pending      map[flow.Key]*pendingClaim
	pendingCount atomic.Int64
	number       uint64
}

// pendingClaim is an admitted opening that waits for its claim.
type pendingClaim struct {
	flow     *flowState
	origin   originRef
	ticket   uint64
	number   uint64
	opening  uint32
	home     vm.ID
	nextAsk  int64
	deadline int64
}

// originRef names the balancer that gets the hint.
type originRef struct {
	member, epoch uint64
}

func newClaims(limit int) *claims {
	return &claims{limit: limit, granted: map[claimKey]grant{}, pending: map[flow.Key]*pendingClaim{}}
}

// waits reports whether an opening with the key waits for its claim here.
func (cl *claims) waits(key flow.Key) bool {
	if cl.pendingCount.Load() == 0 {
		return false
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	_, ok := cl.pending[key]
	return ok
}

// grant decides about a claim that the home may give. A claim has one holder
// until it expires or the holder gives it back.
func (cl *claims) grant(nanos int64, m *peer.Claim) peer.ClaimResponse {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	answer := peer.ClaimResponse{Key: m.Key, Epoch: m.Epoch, Number: m.Number}
	known, ok := cl.granted[claimKeyOf(m)]
	if ok && known.expires > nanos {
		if reason := known.denies(m); reason != "" {
			answer.Reason = reason
			if known.holder != m.Holder {
				answer.Holder, answer.HolderIncarnation = known.holder, known.incarnation
			}
			return answer
		}
		// A repeated claim keeps its expiry.
		answer.Granted = true
		return answer
	}
	if !ok && len(cl.granted) >= cl.limit {
		answer.Reason = denialFull
		return answer
	}
	expires := nanos + int64(claimLifetime)
	cl.granted[claimKeyOf(m)] = grant{holder: m.Holder, incarnation: m.Incarnation, number: m.Number, expires: expires}
	cl.order = append(cl.order, grantExpiry{key: claimKeyOf(m), at: expires})
	answer.Granted = true
	return answer
}

// release forgets a claim that its holder gives back. A late copy does not
// release a newer claim of the same holder.
func (cl *claims) release(m *peer.Claim) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	known, ok := cl.granted[claimKeyOf(m)]
	if ok && known.holder == m.Holder && known.incarnation == m.Incarnation && known.number == m.Number {
		delete(cl.granted, claimKeyOf(m))
	}
}

func (cl *claims) expire(nanos int64) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	n := 0
	for n < len(cl.order) && cl.order[n].at <= nanos {
		key := cl.order[n].key
		if g, ok := cl.granted[key]; ok && g.expires <= nanos {
			delete(cl.granted, key)
		}
		n++
	}
	cl.order = cl.order[n:]
}

// decideClaim answers a claim. It runs on the home of the flow.
func (c *Core) decideClaim(now time.Time, st *viewState, m *peer.Claim) peer.ClaimResponse {
	hash := c.cfg.Hasher.Hash(m.Key)
	answer := peer.ClaimResponse{Key: m.Key, Epoch: m.Epoch, Number: m.Number}
	home := st.service.Home(hash)
	switch {
	case home < 0 || st.service.MemberHashes[home] != c.selfHash:
		answer.Reason = denialNotHome
		return answer
	case m.Epoch > st.view.Revision:
		// In the newer view of the holder another agent may be the home.
		answer.Reason = denialEpoch
		return answer
	case !st.homeThroughout(now, hash, c.selfHash) || now.UnixNano()-c.started.Load() < int64(GracePeriod):
		answer.Reason = denialGrace
		return answer
	}
	if reg, ok := c.peers.find(flowRef{hash: hash, key: m.Key}); ok && reg.holder != m.Holder && now.Before(reg.expires) {
		answer.Reason, answer.Holder, answer.HolderIncarnation = denialHeld, reg.holder, reg.record.Incarnation
		return answer
	}
	if m.Holder != c.cfg.VM && (c.holds(flowRef{hash: hash, key: m.Key}) || c.claims.waits(m.Key)) {
		answer.Reason, answer.Holder, answer.HolderIncarnation = denialHeld, c.cfg.VM, c.cfg.Incarnation
		return answer
	}
	return c.claims.grant(now.UnixNano(), m)
}

func (c *Core) handleClaim(now time.Time, m *peer.Claim, out *Actions) {
	st := c.state.Load()
	i := st.service.Index(m.Holder)
	if i < 0 {
		out.drop(WrongService)
		return
	}
	if m.Release {
		c.claims.release(m)
		return
	}
	answer := c.decideClaim(now, st, m)
	u := &st.service.Members[i]
	out.add(Action{Kind: Send, To: u.Address, ToVM: u.VM, Message: &peer.Message{ClaimResponse: &answer}})
}

// lostHome reports whether the member that was asked is no longer the home.
func (p *pendingClaim) lostHome(svc *view.Service) bool {
	home := svc.Home(p.flow.hash)
	return home < 0 || svc.Members[home].VM != p.home
}
