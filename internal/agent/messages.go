package agent

import (
	"time"

	"bramleyhold.example/bramleyhold/internal/peer"
)

// HandlePeer takes a message of another agent of the service.
func (c *Core) HandlePeer(now time.Time, m *peer.Message, out *Actions) {
	svc := c.service()
	if svc == nil {
		out.drop(NoView)
		return
	}
	c.noteStart(now)
	switch {
	case m.Register != nil:
		c.handleRegister(now, svc, m.Register, out)
	case m.Unregister != nil:
		for _, key := range m.Unregister.Flows {
			c.peers.remove(m.Unregister, flowRef{hash: c.cfg.Hasher.Hash(key), key: key})
		}
	case m.Renew != nil:
		c.handleRenew(now, svc, m.Renew, out)
	case m.RenewResponse != nil:
		c.handleRenewAnswer(svc, m.RenewResponse, out)
	case m.Superseded != nil:
		c.handleSuperseded(m.Superseded)
	case m.RecoverRequest != nil:
		c.handleRecover(now, svc, m.RecoverRequest, out)
	case m.RecoverResponse != nil:
		c.handleRecovered(now, svc, m.RecoverResponse, out)
	case m.Claim != nil:
		c.handleClaim(now, m.Claim, out)
	case m.ClaimResponse != nil:
		c.handleClaimed(now, m.ClaimResponse, out)
	case m.Load != nil && svc.Index(m.Load.VM) < 0:
		out.drop(WrongService)
	case m.Load != nil:
		c.placement.update(m.Load)
	}
	c.dispatch(now, out)
}

// Tick does what is due at a time: expiry, the queue, claims, recovery, load
// reports and registrations. It is to be called every few milliseconds.
func (c *Core) Tick(now time.Time, out *Actions) {
	svc := c.service()
	if svc == nil {
		return
	}
	c.noteStart(now)
	c.expire(now)
	c.peers.expire(now)
	c.tickRecovery(now, svc, out)
	c.tickClaims(now, svc, out)
	c.expireQueue(now, svc, out)
	c.dispatch(now, out)
	c.reportLoad(now, svc, out)
	c.register(now, svc, out)
}
