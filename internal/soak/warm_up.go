package soak

import (
	"time"

	"bramleyhold.example/bramleyhold/platform/platformtest"
)

// Upstreams are cold for coldTime after their start and state coldRate requests per
// second. The settings allow coldBound openings within any second.
const (
	coldTime  = 2 * time.Second
	coldRate  = 2.0
	coldBound = int(coldRate*platformtest.WarmUpOvershoot) + platformtest.WarmUpSlack
)

// turnCold makes the upstream cold.
func (u *upstream) turnCold() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.coldSince, u.coldOpenings = time.Now(), nil
}

// remainingWarmUp returns how long the upstream stays cold. u.mu must be held.
func (u *upstream) remainingWarmUp() time.Duration {
	return max(0, time.Until(u.coldSince.Add(coldTime)))
}

// checkColdOpening checks the openings that have arrived within the last second, with all
// copies, while the upstream is cold.
func (u *upstream) checkColdOpening(now time.Time) {
	if now.Sub(u.coldSince) >= coldTime {
		u.coldOpenings = nil
		return
	}
	u.coldOpenings = append(u.coldOpenings, now)
	for now.Sub(u.coldOpenings[0]) >= time.Second {
		u.coldOpenings = u.coldOpenings[1:]
	}
	if len(u.coldOpenings) > coldBound {
		u.deployment.recordBreach("COLD", "%d openings reached upstream %s within a second, %s after it became cold", len(u.coldOpenings), u.id, now.Sub(u.coldSince))
	}
}
