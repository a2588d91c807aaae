package agent

import (
	"sync"
	"time"

	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/warmup"
)

// coldGuard holds the openings of a cold upstream to the rate that the contract of its
// service states.
//
// Load pattern: placers of several views and copies of openings send to an upstream that
// has just started, and its slots are free: it is slow, not busy.
type coldGuard struct {
	mu       sync.Mutex
	limiter  *warmup.Limiter
	rate     float64
	duration time.Duration
}

func newColdGuard() *coldGuard { return &coldGuard{limiter: warmup.NewLimiter(warmup.Config{})} }

// admit reports whether the upstream may get an opening, and records it. An opening that
// awaits its claim reaches the upstream some round trips later.
func (g *coldGuard) admit(now time.Time, contract *service.Contract) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.apply(now, contract)
	if contract.WarmUpRate <= 0 {
		return true
	}
	if !g.limiter.Admits(now) {
		return false
	}
	g.limiter.RecordOpening(now)
	return true
}

// apply takes over the terms of a contract. Openings from before a rate was stated, or
// before this process started, are not known.
func (g *coldGuard) apply(now time.Time, contract *service.Contract) {
	if contract.WarmUpRate == g.rate && contract.WarmUp == g.duration {
		return
	}
	if g.rate == 0 {
		g.limiter.AssumeFull(now)
	}
	g.rate, g.duration = contract.WarmUpRate, contract.WarmUp
	g.limiter.SetRate(g.rate)
	g.limiter.SetDuration(now, g.duration)
}

// ReportWarmUp records the remaining warm-up that the upstream reports.
func (c *Core) ReportWarmUp(now time.Time, remaining time.Duration) {
	c.coldGuard.mu.Lock()
	defer c.coldGuard.mu.Unlock()
	c.coldGuard.limiter.Report(now, max(remaining, 0), false)
}
