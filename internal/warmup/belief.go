package warmup

import "time"

const (
	// reportDelay is how old a report may be on arrival: an upstream gives up a check-in
	// that is not acknowledged for this time. A report within this time after a sign that
	// the upstream became cold may be from before it.
	reportDelay = time.Second
	// rampDuration is the time after the warm-up in which the admitted rate rises. It
	// doubles in every rampDoubling.
	rampDuration = time.Second
	rampDoubling = 250 * time.Millisecond
)

// Phase is the part of the warm-up in which an upstream is.
type Phase uint8

// The phases of a warm-up, in order.
const (
	Cold Phase = iota + 1
	// Ramp: the warm-up has ended shortly before, and the admitted rate rises.
	Ramp
	Warm
)

var phaseNames = [...]string{Cold: "cold", Ramp: "ramp", Warm: "warm"}

func (p Phase) String() string {
	if int(p) < len(phaseNames) {
		return phaseNames[p]
	}
	return ""
}

// Belief is what is known about the warm-up of one upstream. The reports of the upstream
// go first. Where they are missing, or may be out of date, the upstream is presumed cold.
//
// Load pattern: upstreams that are replaced under load, that crash and come back between
// two reports, or that became cold while their zone was out of service.
type Belief struct {
	// duration is the stated length of a warm-up, or 0.
	duration time.Duration
	// reportedUntil is the end of the warm-up according to the last report.
	reportedUntil time.Time
	// presumedAt is when the upstream may have become cold without a report.
	presumedAt time.Time
	// suspectedAt is set while the upstream does not answer openings. It may start again
	// unseen, and its warm-up then begins when it answers.
	suspectedAt time.Time
}

// Report handles a report of the upstream about its remaining warm-up. newProcess is set
// for the first report of a process, which cannot be older than that process.
func (b *Belief) Report(now time.Time, remaining time.Duration, newProcess bool) {
	sign := latest(b.presumedAt, b.suspectedAt)
	switch {
	case remaining > 0:
		b.reportedUntil = now.Add(remaining)
	case newProcess:
		b.reportedUntil = time.Time{}
	case !sign.IsZero() && now.Sub(sign) < reportDelay:
		return
	case now.Before(b.reportedUntil):
		b.reportedUntil = now
	}
	b.presumedAt, b.suspectedAt = time.Time{}, time.Time{}
}

// Presume records that the upstream may have become cold. It counts as cold until its
// next report, at most for the stated duration.
func (b *Belief) Presume(now time.Time) { b.presumedAt = now }

// Unanswered records that the upstream has not answered an opening or has returned it.
// It counts as cold until it answers.
func (b *Belief) Unanswered(now time.Time) { b.suspectedAt = now }

// Answered records that the upstream has answered. After unanswered openings it may be
// another process, which has just started.
func (b *Belief) Answered(now time.Time) {
	if b.suspectedAt.IsZero() {
		return
	}
	b.suspectedAt = time.Time{}
	b.Presume(now)
}

// SetDuration changes the stated length of warm-ups. A longer one extends a warm-up in
// progress at once. A shorter one shortens what is presumed; the upstream itself reports
// when it is warm.
func (b *Belief) SetDuration(now time.Time, duration time.Duration) {
	if b.duration > 0 && duration > b.duration && now.Before(b.reportedUntil) {
		b.reportedUntil = b.reportedUntil.Add(duration - b.duration)
	}
	b.duration = duration
}

// ColdUntil returns the expected end of the warm-up. It is in the past for a warm
// upstream.
func (b *Belief) ColdUntil(now time.Time) time.Time {
	until := b.reportedUntil
	if !b.suspectedAt.IsZero() && b.duration > 0 {
		until = latest(until, now.Add(b.duration))
	}
	if !b.presumedAt.IsZero() && b.duration > 0 {
		until = latest(until, b.presumedAt.Add(b.duration))
	}
	return until
}

// phase returns the phase and the time since the end of the warm-up.
func (b *Belief) phase(now time.Time) (phase Phase, sinceEnd time.Duration) {
	until := b.ColdUntil(now)
	if until.IsZero() {
		return Warm, 0
	}
	switch since := now.Sub(until); {
	case since < 0:
		return Cold, 0
	case since < rampDuration:
		return Ramp, since
	default:
		return Warm, since
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
