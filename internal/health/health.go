package health

import (
	"time"
)

// Status is the rating of an upstream.
type Status string

// The ratings of an upstream.
const (
	// Unknown: no result yet. The upstream gets no new work.
	Unknown Status = "unknown"
	Healthy Status = "healthy"
	// Degraded: results contradict each other or are stale. The upstream keeps
	// getting new work.
	Degraded  Status = "degraded"
	Unhealthy Status = "unhealthy"
)

// AcceptsOpenings reports whether an upstream with this rating gets new work.
func (s Status) AcceptsOpenings() bool { return s == Healthy || s == Degraded }

// Settings are the thresholds of a rating. A zero value stands for the
// default.
type Settings struct {
	// Rise and Fall are the numbers of successive results after which the
	// rating changes to healthy and to unhealthy.
	Rise, Fall int
	// StaleAfter is the age from which a result says nothing any more.
	StaleAfter time.Duration
	// ContradictionWindow is how long evidence from the data path outweighs a probe.
	ContradictionWindow time.Duration
}

// DefaultSettings are used for settings that are not set. With a probe each
// second an upstream that is down gets no new work after 3 s.
func DefaultSettings() Settings {
	return Settings{Rise: 2, Fall: 3, StaleAfter: 10 * time.Second, ContradictionWindow: 3 * time.Second}
}

// Probe is the result of one probe.
type Probe struct {
	// OK: the endpoint answered with success, or the TCP connect succeeded.
	OK bool
	// Load is set if the endpoint reported it.
	Load *Load
}

// Load is what the load endpoint of an upstream reports.
type Load struct {
	Busy, Slots int
	Shedding    bool
	// WarmUp is the remaining time until the upstream is warm.
	WarmUp time.Duration
}

// OpeningCounters counts what the agent has seen of its upstream in the data path.
// The counts only grow.
type OpeningCounters struct {
	Accepted, Resets, Openings uint64
}

// Evaluation is the result of all that is known about an upstream.
type Evaluation struct {
	Status Status
	// Reason says why in a few words.
	Reason string
	// Load is the last report that is not stale, or nil.
	Load        *Load
	WarmUpUntil time.Time
}

// Evaluator rates one upstream. It is not safe for concurrent use.
type Evaluator struct {
	settings  Settings
	confirmed Status
	streak    int
	streakOK  bool
	probedAt  time.Time
	load      *Load
	loadAt    time.Time
	coldUntil time.Time

	observed OpeningCounters
	accepted time.Time
	refused  time.Time
	refusals int
}

// New returns a rater without results.
func New(s Settings) *Evaluator {
	d := DefaultSettings()
	if s.Rise <= 0 {
		s.Rise = d.Rise
	}
	if s.Fall <= 0 {
		s.Fall = d.Fall
	}
	if s.StaleAfter <= 0 {
		s.StaleAfter = d.StaleAfter
	}
	if s.ContradictionWindow <= 0 {
		s.ContradictionWindow = d.ContradictionWindow
	}
	return &Evaluator{settings: s, confirmed: Unknown}
}

// HandleProbe takes the result of a probe.
func (r *Evaluator) HandleProbe(now time.Time, p Probe) {
	if r.probedAt.IsZero() || p.OK != r.streakOK || now.Sub(r.probedAt) >= r.settings.StaleAfter {
		r.streak = 0
	}
	r.streak, r.streakOK, r.probedAt = r.streak+1, p.OK, now
	if p.OK && r.streak >= r.settings.Rise {
		r.confirmed = Healthy
	}
	if !p.OK && r.streak >= r.settings.Fall {
		r.confirmed = Unhealthy
	}
	if p.Load != nil && plausible(p.Load) {
		load := *p.Load
		r.load, r.loadAt = &load, now
		r.coldUntil = time.Time{}
		if load.WarmUp > 0 {
			r.coldUntil = now.Add(min(load.WarmUp, maxCold))
		}
	}
}

// maxCold bounds the slow start that an upstream can ask for.
const maxCold = 10 * time.Minute

// plausible rejects reports that cannot be true.
func plausible(l *Load) bool {
	return l.Busy >= 0 && l.Slots >= 0 && l.WarmUp >= 0 && (l.Slots == 0 || l.Busy <= l.Slots)
}

// HandleCounters takes the counts of the data path. An upstream that accepts
// openings is up, whatever its endpoint says; one that only resets them is not.
func (r *Evaluator) HandleCounters(now time.Time, o OpeningCounters) {
	accepted := o.Accepted > r.observed.Accepted
	reset := o.Resets > r.observed.Resets
	r.observed = o
	switch {
	case accepted:
		r.accepted, r.refusals = now, 0
	case reset:
		r.refused = now
		r.refusals++
	}
}

// Evaluate returns the rating at a time.
func (r *Evaluator) Evaluate(now time.Time) Evaluation {
	rating := Evaluation{Status: r.confirmed, Reason: "probes agree", WarmUpUntil: r.coldUntil}
	if r.load != nil && now.Sub(r.loadAt) < r.settings.StaleAfter {
		load := *r.load
		rating.Load = &load
	}
	accepts := !r.accepted.IsZero() && now.Sub(r.accepted) < r.settings.ContradictionWindow
	refuses := r.refusals >= r.settings.Fall && now.Sub(r.refused) < r.settings.ContradictionWindow
	stale := !r.probedAt.IsZero() && now.Sub(r.probedAt) >= r.settings.StaleAfter
	switch {
	case r.probedAt.IsZero():
		rating.Reason = "no probe yet"
	case r.confirmed == Unhealthy && accepts && !stale:
		rating.Status, rating.Reason = Degraded, "probes fail, but the upstream accepts openings"
	case stale && accepts:
		rating.Status, rating.Reason = Degraded, "probes are stale, but the upstream accepts openings"
	case stale && r.confirmed == Healthy:
		rating.Status, rating.Reason = Degraded, "probes are stale"
	case r.confirmed == Healthy && refuses:
		rating.Status, rating.Reason = Unhealthy, "probes succeed, but the upstream resets openings"
	case r.confirmed == Unhealthy:
		rating.Reason = "probes fail"
	case r.confirmed == Unknown:
		rating.Reason = "too few probes"
	}
	return rating
}
