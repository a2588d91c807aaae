package steering

import (
	"math"
	"time"

	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/service"
)

const (
	// minWarmUpAvoidTime and maxWarmUpAvoidTime bound how long an upstream gets no opening
	// after it has rejected one because it is cold. The time doubles with each rejection
	// that follows another one, and is spread by half: the balancers share what the upstream
	// bears without knowing of each other.
	minWarmUpAvoidTime = 50 * time.Millisecond
	maxWarmUpAvoidTime = 400 * time.Millisecond
	// recentOpeningsTime is the time constant of the average of recent openings.
	recentOpeningsTime = time.Second
	// maxOwnRateShare is the share of the stated rate that a balancer sends at most to a
	// cold upstream. It is above one because a record may show a warm-up that has ended.
	maxOwnRateShare = 2
)

// warmUpKnowledge is what a balancer knows about the room that a cold upstream has left.
//
// Load pattern: a few cold upstreams beside warm ones, and many balancers of which each
// sees only its own openings. Only the agent knows how much room is left.
type warmUpKnowledge struct {
	// avoidUntil and avoidTime are set by a rejection.
	avoidUntil time.Time
	avoidTime  time.Duration
	// recentOpenings is the moving sum of the own openings of about a second, as of
	// updatedAt.
	recentOpenings float64
	updatedAt      time.Time
}

// statedWarmUpRates returns the rates of the services that state one.
func statedWarmUpRates(desired *intent.DesiredState) map[service.Name]float64 {
	rates := map[service.Name]float64{}
	for i := range desired.Services {
		if svc := &desired.Services[i]; svc.WarmUpRate > 0 {
			rates[svc.Name] = svc.WarmUpRate
		}
	}
	return rates
}

// recent returns the moving sum of the own openings.
func (w *warmUpKnowledge) recent(now time.Time) float64 {
	return w.recentOpenings * math.Exp(-float64(now.Sub(w.updatedAt))/float64(recentOpeningsTime))
}

func (w *warmUpKnowledge) recordOpening(now time.Time) {
	w.recentOpenings, w.updatedAt = w.recent(now)+1, now
}

// recordAccepted ends the growth of the avoidance period.
func (w *warmUpKnowledge) recordAccepted() { w.avoidTime = 0 }

// recordRejected avoids the upstream for a random time. jitter is between 0 and 1.
func (w *warmUpKnowledge) recordRejected(now time.Time, jitter float64) {
	w.avoidTime = min(max(2*w.avoidTime, minWarmUpAvoidTime), maxWarmUpAvoidTime)
	w.avoidUntil = now.Add(time.Duration((0.5 + jitter) * float64(w.avoidTime)))
}

// isColdAndFull reports whether this balancer alone has sent a cold upstream more than it
// bears. Queued openings would otherwise all be sent to an upstream that becomes ready.
func (u *upstreamState) isColdAndFull(now time.Time, rate float64) bool {
	return rate > 0 && now.Before(u.WarmUpUntil) && u.warmUp.recent(now) >= maxOwnRateShare*max(rate, 1)
}

// coldLoadScore returns the load score of a cold upstream as a share of what it bears. A
// stated rate replaces the assumed slowdown.
func (u *upstreamState) coldLoadScore(now time.Time, load, slots, rate float64) float64 {
	if rate <= 0 {
		return (load + 1) * warmUpLoadFactor / slots
	}
	return load/slots + (u.warmUp.recent(now)+1)/rate
}
