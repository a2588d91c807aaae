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

// upstreamHealth keeps the latest rating of the upstream.
type upstreamHealth struct {
	prober probe.Prober
	rater  *health.Evaluator
	rating atomic.Pointer[health.Evaluation]
}

func newUpstreamHealth(prober probe.Prober) *upstreamHealth {
	return &upstreamHealth{prober: prober, rater: health.New(health.Settings{})}
}

// takesWork reports whether the upstream may get new work. Without a prober
// nothing speaks against it.
func (u *upstreamHealth) takesWork() bool {
	if u.prober == nil {
		return true
	}
	rating := u.rating.Load()
	return rating != nil && rating.Status.AcceptsOpenings()
}

// coldUntil returns when the slow start ends; zero if the upstream is warm.
func (u *upstreamHealth) coldUntil() time.Time {
	if rating := u.rating.Load(); rating != nil {
		return rating.WarmUpUntil
	}
	return time.Time{}
}

// runProbes asks the upstream and passes the rating to the core.
func (a *Agent) runProbes(ctx context.Context) error {
	if a.upstream.prober == nil {
		return nil
	}
	ticker := time.NewTicker(probe.Interval)
	defer ticker.Stop()
	for {
		result := a.upstream.prober.Probe(ctx)
		a.rate(time.Now(), result)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (a *Agent) rate(now time.Time, result health.Probe) {
	core, u := a.core(), a.upstream
	seen := core.OpeningCounters()
	u.rater.HandleCounters(now, health.OpeningCounters{Accepted: seen.Accepted, Resets: seen.Resets, Openings: seen.Openings})
	u.rater.HandleProbe(now, result)
	rating := u.rater.Evaluate(now)
	if before := u.rating.Swap(&rating); before == nil || before.Status != rating.Status {
		a.cfg.Log.WithFields(logrus.Fields{"rating": string(rating.Status), "reason": rating.Reason}).Info("upstream rated")
		a.cfg.Events.Add(event.Event{At: now, Kind: "upstream_" + event.Kind(rating.Status), Object: string(a.cfg.VM), Reason: rating.Reason})
	}
	if rating.Load != nil {
		core.SetUpstreamLoad(agent.UpstreamLoad{Busy: rating.Load.Busy, Slots: rating.Load.Slots, Shedding: rating.Load.Shedding})
	}
}
