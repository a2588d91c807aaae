package steering

import "time"

const (
	// suspensionGap is the time without a call after which the agent was suspended: it is
	// called at least every sweepInterval while it has flows, and for each check-in.
	suspensionGap = 1500 * time.Millisecond
	// suspensionDivisor is the fraction of ZoneOrderBound for which an agent may have been
	// suspended without awaiting terms again. The terms that are sent after that arrive
	// within the rest of it.
	suspensionDivisor = 2
)

// noteCall detects that the process was suspended. It is called for each packet, check-in
// and Tick. The upstream may have started again meanwhile, check-ins in the receive buffer
// may be from before that, and the agent may have missed orders about its zone.
//
// Load pattern: a VM is paused for some seconds while upstreams are replaced and its zone
// is taken out of service, and openings are in the receive buffers when it runs again.
func (a *Agent) noteCall(now time.Time) {
	gap := now.Sub(a.lastCallAt)
	known := !a.lastCallAt.IsZero()
	a.lastCallAt = now
	if !known || gap < suspensionGap {
		return
	}
	a.presumeCold(now)
	if a.cfg.ZoneOrderBound > 0 && gap > a.cfg.ZoneOrderBound/suspensionDivisor {
		a.awaitTermsUntil = now.Add(a.cfg.ZoneOrderBound)
	}
}
