package agent

import (
	"time"

	"bramleyhold.example/bramleyhold/internal/peer"
)

// HandlePeerMessage handles a message of another agent of the service.
func (c *Core) HandlePeerMessage(now time.Time, message *peer.Message, out *Actions) {
	svc := c.currentService()
	if svc == nil {
		out.drop(NoView)
		return
	}
	c.recordFirstEvent(now)
	switch {
	case message.Register != nil:
		c.handleRegister(now, svc, message.Register, out)
	case message.Unregister != nil:
		for _, key := range message.Unregister.Flows {
			c.registry.remove(message.Unregister, flowRef{hash: c.cfg.Hasher.Hash(key), key: key})
		}
	case message.RenewRequest != nil:
		c.handleRenewRequest(now, svc, message.RenewRequest, out)
	case message.RenewResponse != nil:
		c.handleRenewResponse(svc, message.RenewResponse, out)
	case message.Superseded != nil:
		c.handleSuperseded(message.Superseded)
	case message.RecoverRequest != nil:
		c.handleRecoverRequest(now, svc, message.RecoverRequest, out)
	case message.RecoverResponse != nil:
		c.handleRecoverResponse(now, svc, message.RecoverResponse, out)
	case message.Claim != nil:
		c.handleClaim(now, message.Claim, out)
	case message.ClaimResponse != nil:
		c.handleClaimResponse(now, message.ClaimResponse, out)
	case message.LoadReport != nil && svc.Index(message.LoadReport.VM) < 0:
		out.drop(WrongService)
	case message.LoadReport != nil:
		c.placer.updateLoad(message.LoadReport)
	}
	c.placeQueuedOpenings(now, out)
}

// Tick performs the periodic work: expiry, recovery, claims, the queue of
// openings, load reports and registrations. Call it every few milliseconds.
func (c *Core) Tick(now time.Time, out *Actions) {
	svc := c.currentService()
	if svc == nil {
		return
	}
	c.recordFirstEvent(now)
	c.expireFlows(now)
	c.registry.sweepExpired(now)
	c.advanceRecovery(now, svc, out)
	c.retryOrExpireClaims(now, svc, out)
	c.expireQueuedOpenings(now, svc, out)
	c.placeQueuedOpenings(now, out)
	c.sendLoadReports(now, svc, out)
	c.sendRegistrations(now, svc, out)
}
