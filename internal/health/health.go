package health

import (
	"time"
)

// Status is the health status of an upstream.
type Status string

// The health statuses.
const (
	// Unknown means that there are too few probe results. The upstream receives no
	// openings.
	Unknown Status = "unknown"
	Healthy Status = "healthy"
	// Degraded means that probes are stale or contradict the data path. The
	// upstream still receives openings.
	Degraded  Status = "degraded"
	Unhealthy Status = "unhealthy"
)

// AcceptsOpenings reports whether an upstream with this status receives openings.
func (s Status) AcceptsOpenings() bool { return s == Healthy || s == Degraded }

// Settings are the thresholds of an evaluation. A value of zero selects the default.
type Settings struct {
	// Rise is the number of consecutive successes after which the status changes to
	// healthy. Fall is the number of consecutive failures after which it changes
	// to unhealthy. It is also the number of consecutive counter updates with
	// resets and without accepted openings after which a healthy upstream counts
	// as unhealthy.
	Rise, Fall int
	// StaleAfter is the age at which a probe result or load report is stale.
	StaleAfter time.Duration
	// ContradictionWindow is how long an event in the data path takes precedence
	// over probe results.
	ContradictionWindow time.Duration
}

// DefaultSettings returns the defaults. With one probe per second, an upstream that is
// down receives no openings after 3 s.
func DefaultSettings() Settings {
	return Settings{Rise: 2, Fall: 3, StaleAfter: 10 * time.Second, ContradictionWindow: 3 * time.Second}
}

// Probe is the result of one probe.
type Probe struct {
	// OK reports whether the endpoint responded with success or the TCP connect
	// succeeded.
	OK bool
	// Load is nil if the endpoint reported no load.
	Load *Load
}

// Load is a report of the load endpoint of an upstream.
type Load struct {
	// Busy is the number of requests in progress. Slots is the number that the
	// upstream can process at a time, or 0 if it reports none.
	Busy, Slots int
	Shedding    bool
	// WarmUp is the remaining time of the warm-up (slow start).
	WarmUp time.Duration
}

// OpeningCounters holds the counters of openings in the data path of one upstream.
// The counters never decrease.
type OpeningCounters struct {
	Accepted, Resets, Openings uint64
}

// Evaluation combines probe results, load reports and opening counters of an
// upstream.
type Evaluation struct {
	Status Status
	// Reason explains the status in a few words.
	Reason string
	// Load is the last load report, or nil if it is stale or missing.
	Load        *Load
	WarmUpUntil time.Time
}

// Evaluator evaluates one upstream. It is not safe for concurrent use.
type Evaluator struct {
	settings Settings
	// confirmedStatus changes only after Rise successes or Fall failures.
	confirmedStatus Status
	streakLength    int
	streakSucceeded bool
	probedAt        time.Time
	load            *Load
	loadAt          time.Time
	warmUpUntil     time.Time

	counters       OpeningCounters
	lastAcceptedAt time.Time
	lastResetAt    time.Time
	resetStreak    int
}

// New returns an evaluator without probe results.
func New(settings Settings) *Evaluator {
	defaults := DefaultSettings()
	if settings.Rise <= 0 {
		settings.Rise = defaults.Rise
	}
	if settings.Fall <= 0 {
		settings.Fall = defaults.Fall
	}
	if settings.StaleAfter <= 0 {
		settings.StaleAfter = defaults.StaleAfter
	}
	if settings.ContradictionWindow <= 0 {
		settings.ContradictionWindow = defaults.ContradictionWindow
	}
	return &Evaluator{settings: settings, confirmedStatus: Unknown}
}

// HandleProbe records the result of a probe. A stale previous result starts a new
// streak.
func (e *Evaluator) HandleProbe(now time.Time, probe Probe) {
	if e.probedAt.IsZero() || probe.OK != e.streakSucceeded || now.Sub(e.probedAt) >= e.settings.StaleAfter {
		e.streakLength = 0
	}
	e.streakLength, e.streakSucceeded, e.probedAt = e.streakLength+1, probe.OK, now
	if probe.OK && e.streakLength >= e.settings.Rise {
		e.confirmedStatus = Healthy
	}
	if !probe.OK && e.streakLength >= e.settings.Fall {
		e.confirmedStatus = Unhealthy
	}
	if probe.Load != nil && isPlausible(probe.Load) {
		load := *probe.Load
		e.load, e.loadAt = &load, now
		e.warmUpUntil = time.Time{}
		if load.WarmUp > 0 {
			e.warmUpUntil = now.Add(min(load.WarmUp, maxWarmUp))
		}
	}
}

// maxWarmUp is the maximum warm-up that an upstream can report.
const maxWarmUp = 10 * time.Minute

// isPlausible reports whether the values of a load report are consistent.
func isPlausible(load *Load) bool {
	return load.Busy >= 0 && load.Slots >= 0 && load.WarmUp >= 0 && (load.Slots == 0 || load.Busy <= load.Slots)
}

// HandleCounters records the counters of the data path. An upstream that accepts
// openings is up, whatever its endpoint reports. One that only resets them is not.
func (e *Evaluator) HandleCounters(now time.Time, counters OpeningCounters) {
	accepted := counters.Accepted > e.counters.Accepted
	reset := counters.Resets > e.counters.Resets
	e.counters = counters
	switch {
	case accepted:
		e.lastAcceptedAt, e.resetStreak = now, 0
	case reset:
		e.lastResetAt = now
		e.resetStreak++
	}
}

// Evaluate returns the evaluation at the given time.
func (e *Evaluator) Evaluate(now time.Time) Evaluation {
	evaluation := Evaluation{Status: e.confirmedStatus, Reason: "probes agree", WarmUpUntil: e.warmUpUntil}
	if e.load != nil && now.Sub(e.loadAt) < e.settings.StaleAfter {
		load := *e.load
		evaluation.Load = &load
	}
	acceptedRecently := !e.lastAcceptedAt.IsZero() && now.Sub(e.lastAcceptedAt) < e.settings.ContradictionWindow
	resetRecently := e.resetStreak >= e.settings.Fall && now.Sub(e.lastResetAt) < e.settings.ContradictionWindow
	probesStale := !e.probedAt.IsZero() && now.Sub(e.probedAt) >= e.settings.StaleAfter
	switch {
	case e.probedAt.IsZero():
		evaluation.Reason = "no probe yet"
	case e.confirmedStatus == Unhealthy && acceptedRecently && !probesStale:
		evaluation.Status, evaluation.Reason = Degraded, "probes fail, but the upstream accepts openings"
	case probesStale && acceptedRecently:
		evaluation.Status, evaluation.Reason = Degraded, "probes are stale, but the upstream accepts openings"
	case probesStale && e.confirmedStatus == Healthy:
		evaluation.Status, evaluation.Reason = Degraded, "probes are stale"
	case e.confirmedStatus == Healthy && resetRecently:
		evaluation.Status, evaluation.Reason = Unhealthy, "probes succeed, but the upstream resets openings"
	case e.confirmedStatus == Unhealthy:
		evaluation.Reason = "probes fail"
	case e.confirmedStatus == Unknown:
		evaluation.Reason = "too few probes"
	}
	return evaluation
}
