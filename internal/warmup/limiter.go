package warmup

import (
	"math"
	"time"
)

const (
	// boundSpan is the span within which the bound holds. It is longer than the second of
	// the bound: openings reach the upstream with different delays after the decision.
	boundSpan = time.Second + 100*time.Millisecond
	// rateSpan is the span within which the stated rate holds.
	rateSpan = time.Second
	// paceSpan and paceShare spread the openings of a second: an upstream that bears a
	// rate queues most of a second's requests if they arrive at once.
	paceSpan  = 250 * time.Millisecond
	paceShare = 0.25
	// minOpeningShare is the share of the rate that requests on open flows leave to
	// openings. These requests cannot be refused; without a share, no caller could reach a
	// service whose upstreams are all cold and have busy flows.
	minOpeningShare = 0.25
)

// Config holds the limits that apply to all cold upstreams.
type Config struct {
	// A cold upstream may get at most its rate times Overshoot, and Slack more, openings
	// within any second. Both are zero if no bound is stated; the rate itself is then the
	// bound.
	Overshoot, Slack float64
	// A missing rate counts as unknown until RateUnknownUntil, or until a rate is set if
	// AwaitsRate is set. Cold upstreams get at most Slack openings within any second
	// meanwhile, which no rate forbids.
	RateUnknownUntil time.Time
	AwaitsRate       bool
}

// statesBound reports whether the settings bound the openings of cold upstreams. Without
// a bound, no rate is expected.
func (c *Config) statesBound() bool { return c.Overshoot > 0 || c.Slack > 0 }

// Limiter admits openings to one upstream. Openings are recorded whether it is cold or
// not: it may turn cold at any time, and what it got shortly before counts.
//
// Load pattern: many balancers with stale knowledge send to the same cold upstream, and
// the upstreams of a zone return together.
type Limiter struct {
	Belief

	cfg       Config
	rate      float64
	rateKnown bool
	openings  window
	// requests has the requests on open flows other than their first ones.
	requests window
	// fullUntil is the time until which openings that this process has not seen may count.
	fullUntil time.Time
}

// NewLimiter returns the limiter for an upstream that has reported nothing yet.
func NewLimiter(cfg Config) *Limiter { return &Limiter{cfg: cfg} }

// SetRate sets the stated rate in requests per second, or 0 if none is stated.
func (l *Limiter) SetRate(rate float64) {
	l.rate, l.rateKnown = max(rate, 0), true
}

// AssumeFull records that the openings before now are unknown. The window counts as full
// until they are out of it.
func (l *Limiter) AssumeFull(now time.Time) { l.fullUntil = now.Add(boundSpan) }

// NoneBefore records that the upstream has got no opening that this process has not seen.
func (l *Limiter) NoneBefore() { l.fullUntil = time.Time{} }

// Phase returns the phase of the upstream.
func (l *Limiter) Phase(now time.Time) Phase {
	phase, _ := l.phase(now)
	return phase
}

// Bound returns the number of openings that a cold upstream may get within a second, and
// whether there is such a bound.
func (l *Limiter) Bound(now time.Time) (bound int, bounded bool) {
	switch {
	case l.rate > 0:
		if !l.cfg.statesBound() {
			return int(math.Min(max(l.rate, 1), maxWindowEvents)), true
		}
		return int(math.Min(l.rate*l.cfg.Overshoot+l.cfg.Slack, maxWindowEvents)), true
	case !l.rateKnown && l.cfg.statesBound() && (l.cfg.AwaitsRate || now.Before(l.cfg.RateUnknownUntil)):
		return int(math.Min(l.cfg.Slack, maxWindowEvents)), true
	}
	return 0, false
}

// Admits reports whether the upstream may get another opening.
func (l *Limiter) Admits(now time.Time) bool {
	bound, bounded := l.Bound(now)
	phase, sinceEnd := l.phase(now)
	if !bounded || phase == Warm {
		return true
	}
	rate := l.rate
	if rate == 0 {
		rate = float64(bound)
	}
	if phase == Ramp {
		return l.fitsRate(now, rate*math.Exp2(float64(sinceEnd)/float64(rampDoubling)))
	}
	return l.fitsBound(now, bound) && l.fitsRate(now, rate)
}

// AdmitsCopy reports whether the upstream may get a copy of an opening that it has got
// before. Copies count against the bound, not against the rate: the upstream works on
// the request once.
func (l *Limiter) AdmitsCopy(now time.Time) bool {
	bound, bounded := l.Bound(now)
	return !bounded || l.Phase(now) != Cold || l.fitsBound(now, bound)
}

// RecordOpening records an opening, or a copy of one, that is delivered to the upstream.
func (l *Limiter) RecordOpening(now time.Time) { l.openings.add(now, boundSpan) }

// RecordRequest records a further request on an open flow, if there is a bound.
func (l *Limiter) RecordRequest(now time.Time) {
	if _, bounded := l.Bound(now); bounded {
		l.requests.add(now, rateSpan)
	}
}

// Openings returns the number of openings in the second that ends now.
func (l *Limiter) Openings(now time.Time) int { return l.openings.count(now, rateSpan) }

// Requests returns the number of further requests in the second that ends now.
func (l *Limiter) Requests(now time.Time) int { return l.requests.count(now, rateSpan) }

func (l *Limiter) fitsBound(now time.Time, bound int) bool {
	return !now.Before(l.fullUntil) && l.openings.count(now, boundSpan) < bound
}

// fitsRate reports whether one more opening fits into a rate. An upstream with a rate
// below one gets its openings further apart than a second.
func (l *Limiter) fitsRate(now time.Time, rate float64) bool {
	if rate < 1 {
		return rate > 0 && now.Sub(l.openings.last()) >= time.Duration(float64(time.Second)/rate)
	}
	openings := l.openings.count(now, rateSpan)
	requests := math.Min(float64(l.requests.count(now, rateSpan)), rate*(1-minOpeningShare))
	if openings > 0 && float64(openings)+requests+1 > rate {
		return false
	}
	return l.openings.count(now, paceSpan) < int(math.Ceil(rate*paceShare))
}
