package fabric

import (
	"time"

	"github.com/sirupsen/logrus"

	"bramleyhold.example/bramleyhold/internal/warmup"
)

// reportWarmUp sets the gauges of the warm-up of the upstream, and writes a log line when
// its phase, the stated rate or the bound has changed. It is called with the lock held.
func (a *Agent) reportWarmUp(now time.Time) {
	status := a.core.WarmUp(now)
	cold := 0
	if status.Phase == warmup.Cold {
		cold = 1
	}
	a.setGauge("warmup.cold", cold)
	a.setGauge("warmup.bound", status.Bound)
	a.setGauge("warmup.openings", status.Openings)
	last := &a.reportedWarmUp
	if status.Phase == last.Phase && status.Rate == last.Rate && status.Bound == last.Bound {
		return
	}
	firstWarm := last.Phase == 0 && status.Phase == warmup.Warm && status.Rate == 0
	*last = status
	if firstWarm {
		return
	}
	a.Log.WithFields(logrus.Fields{
		"phase": status.Phase.String(), "rate_per_s": status.Rate, "bound_per_s": status.Bound, "left_ms": max(0, status.ColdUntil.Sub(now).Milliseconds()),
		"openings": status.Openings, "requests": status.Requests, "peak": status.Peak,
	}).Info("warm-up of the upstream changed")
}
