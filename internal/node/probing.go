package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"bramleyhold.example/bramleyhold/internal/agent"
	"bramleyhold.example/bramleyhold/internal/event"
	"bramleyhold.example/bramleyhold/internal/health"
	"bramleyhold.example/bramleyhold/internal/probe"
)

// upstreamHealth keeps the latest health evaluation of the upstream.
type upstreamHealth struct {
	prober     probe.Prober
	evaluator  *health.Evaluator
	evaluation atomic.Pointer[health.Evaluation]
}

func newUpstreamHealth(prober probe.Prober) *upstreamHealth {
	return &upstreamHealth{prober: prober, evaluator: health.New(health.Settings{})}
}

// acceptsOpenings reports whether the upstream accepts openings. Without a prober it
// always does. With one, it does not until the first evaluation.
func (u *upstreamHealth) acceptsOpenings() bool {
	if u.prober == nil {
		return true
	}
	evaluation := u.evaluation.Load()
	return evaluation != nil && evaluation.Status.AcceptsOpenings()
}

// warmUpUntil returns when the warm-up of the upstream ends, or zero if it is not
// warming up.
func (u *upstreamHealth) warmUpUntil() time.Time {
	if evaluation := u.evaluation.Load(); evaluation != nil {
		return evaluation.WarmUpUntil
	}
	return time.Time{}
}

// runProbes probes the upstream at probe.Interval until the context ends, and
// evaluates each result.
func (a *Agent) runProbes(ctx context.Context) error {
	if a.upstreamHealth.prober == nil {
		return nil
	}
	ticker := time.NewTicker(probe.Interval)
	defer ticker.Stop()
	for {
		result := a.upstreamHealth.prober.Probe(ctx)
		a.evaluateUpstream(time.Now(), result)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// evaluateUpstream evaluates the upstream from a probe result and the core's counters
// of openings. It passes the reported load to the core.
func (a *Agent) evaluateUpstream(now time.Time, result health.Probe) {
	core, upstream := a.core(), a.upstreamHealth
	counters := core.OpeningCounters()
	upstream.evaluator.HandleCounters(now, health.OpeningCounters{Accepted: counters.Accepted, Resets: counters.Resets, Openings: counters.Openings})
	upstream.evaluator.HandleProbe(now, result)
	evaluation := upstream.evaluator.Evaluate(now)
	if previous := upstream.evaluation.Swap(&evaluation); previous == nil || previous.Status != evaluation.Status {
		a.cfg.Log.WithFields(logrus.Fields{"rating": string(evaluation.Status), "reason": evaluation.Reason}).Info("upstream health changed")
		a.cfg.Events.Add(event.Event{At: now, Kind: "upstream_" + event.Kind(evaluation.Status), Object: string(a.cfg.VM), Reason: evaluation.Reason})
	}
	core.ReportWarmUp(now, evaluation.WarmUpUntil.Sub(now))
	if evaluation.Load != nil {
		core.SetUpstreamLoad(agent.UpstreamLoad{Busy: evaluation.Load.Busy, Slots: evaluation.Load.Slots, Shedding: evaluation.Load.Shedding})
	}
}
