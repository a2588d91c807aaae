package steering

import (
	"time"

	"bramleyhold.example/bramleyhold/internal/warmup"
)

// rateUnknownWait is the time after its start in which an agent that has received no
// terms treats a cold upstream as one whose stated rate is unknown. Control sends terms
// with the first sync response. Unless the settings call for terms in any case, it sends
// none to a deployment that has nothing to tell.
const rateUnknownWait = 2 * time.Second

// suspensionGap is the time without a call after which the agent was suspended: it is
// called at least every sweepInterval while it has flows, and for each check-in.
const suspensionGap = 1500 * time.Millisecond

// WarmUpStatus is the state of the warm-up of an upstream.
type WarmUpStatus struct {
	Phase warmup.Phase
	// Rate is the stated rate in requests per second, or 0. Bound is the number of
	// openings that a cold upstream may get within a second; it is 0 if none is stated.
	Rate  float64
	Bound int
	// Openings and Requests are the openings, and the further requests on open flows, in
	// the last second.
	Openings, Requests int
	// Peak is the highest number of openings within a second of the last warm-up.
	Peak int
	// ColdUntil is the expected end of the warm-up.
	ColdUntil time.Time
}

// WarmUp returns the state of the warm-up of the upstream.
func (a *Agent) WarmUp(now time.Time) WarmUpStatus {
	bound, _ := a.warmUp.Bound(now)
	return WarmUpStatus{
		Phase: a.warmUp.Phase(now), Rate: a.statedWarmUp().Rate, Bound: bound, ColdUntil: a.warmUp.ColdUntil(now),
		Openings: a.warmUp.Openings(now), Requests: a.warmUp.Requests(now), Peak: a.warmUpPeak,
	}
}

// statedWarmUp returns the terms of the own service, or zero if there are none.
func (a *Agent) statedWarmUp() ServiceWarmUp {
	for _, stated := range a.terms.WarmUps {
		if stated.Service == a.cfg.Service {
			return stated
		}
	}
	return ServiceWarmUp{}
}

// applyWarmUpTerms applies the stated rate and duration of the own service. What the
// upstream has got in the last second counts against the new rate.
func (a *Agent) applyWarmUpTerms(now time.Time) {
	stated := a.statedWarmUp()
	a.warmUp.SetRate(stated.Rate)
	a.warmUp.SetDuration(now, stated.Duration)
}

// presumeCold records that the upstream may have become cold without a restart, for
// example while its zone was out of service.
func (a *Agent) presumeCold(now time.Time) { a.warmUp.Presume(now) }

// noteCall detects that the process was suspended. Its upstream may have started again
// meanwhile, and check-ins that wait in the receive buffer may be from before that.
//
// Load pattern: a VM or its agent is paused for seconds while upstreams are replaced, and
// openings are in the receive buffers when it runs again.
func (a *Agent) noteCall(now time.Time) {
	if !a.lastCallAt.IsZero() && now.Sub(a.lastCallAt) >= suspensionGap {
		a.presumeCold(now)
	}
	a.lastCallAt = now
}

// applyReportedWarmUp handles the remaining warm-up in a check-in. It reports whether the
// upstream has become cold.
//
// The upstream knows best whether it is cold: one that reports 0 is warm, however short
// ago it started.
func (a *Agent) applyReportedWarmUp(now time.Time, checkIn *CheckIn, newProcess bool) (becameCold bool) {
	wasCold := a.warmUp.Phase(now) == warmup.Cold
	a.warmUp.Report(now, checkIn.WarmUp, newProcess && a.sawUpstreamStart)
	if newProcess && a.sawUpstreamStart {
		a.warmUp.NoneBefore()
	}
	return !wasCold && a.warmUp.Phase(now) == warmup.Cold
}

// recordOpening records an opening, or a copy of one, that is delivered to the upstream.
func (a *Agent) recordOpening(now time.Time) {
	a.warmUp.RecordOpening(now)
	if a.warmUp.Phase(now) != warmup.Cold {
		a.warmUpPeakEnded = true
		return
	}
	if a.warmUpPeakEnded {
		a.warmUpPeak, a.warmUpPeakEnded = 0, false
	}
	a.warmUpPeak = max(a.warmUpPeak, a.warmUp.Openings(now))
}

// admitsCopy reports whether a copy of a delivered opening may be delivered too.
func (a *Agent) admitsCopy(now time.Time) bool { return a.warmUp.AdmitsCopy(now) }
