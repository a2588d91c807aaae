package admission

import (
	"time"

	"bramleyhold.example/bramleyhold/internal/intent"
)

const (
	// maxDeferral bounds how long a request is deferred. It is shorter than the first
	// retransmission interval of callers (200 ms).
	maxDeferral = 180 * time.Millisecond
	// deferralShare is the share of the time budget of a flow for which its requests are
	// deferred at most. The upstream then serves them, or rejects them at once, so that
	// their callers can try another one.
	deferralShare = 0.25
	// BatchDivisor tells what part of its limit a request must have been deferred for to be
	// delivered together with one that has reached the limit. Requests that the upstream
	// has no place for are thus delivered in batches, and places become free in between.
	BatchDivisor = 2
	// reservedPlaces is the number of places that are kept free for higher levels, besides
	// those of the first requests that are awaited on new flows.
	reservedPlaces = 1
)

// DeferralLimit returns how long the requests of a flow with a time budget are deferred at
// most. The budget is zero if it is not known: they are not deferred then.
func DeferralLimit(timeBudget time.Duration) time.Duration {
	return min(share(deferralShare, timeBudget), maxDeferral)
}

// Defers reports whether a request that has arrived on an open flow waits beside the
// upstream. Only those of the lowest level in use do.
//
// Load pattern: an upstream serves its queue in the order of arrival. Open flows that send
// more than it can serve keep that queue full, so that an urgent request would wait behind
// all of them, or be rejected.
//
// The caller of an upload sends its next packets only after the upstream has acknowledged
// the first ones. Uploads are not deferred.
func (p *Policy) Defers(now time.Time, class intent.Class, load *Load) bool {
	above, below := p.neighbours(now, LevelOf(class))
	return above && !below && class.Kind != intent.Upload && !p.HasPlace(now, LevelOf(class), load)
}

// HasPlace reports whether the upstream has a place for a deferred request of a level: a
// slot, or one behind which an urgent request is still in time.
func (p *Policy) HasPlace(now time.Time, level Level, load *Load) bool {
	inProgress := sum(&load.InProgress, Lowest)
	if level > 0 {
		inProgress += sum(&load.Awaited, level-1)
	}
	if p.places.AreTaken(now, inProgress+reservedPlaces) {
		return false
	}
	return inProgress < load.Limit || load.expectedTime(inProgress+reservedPlaces, p.ServiceTime()) <= p.window
}

// GoesBefore reports whether a deferred request of one class is delivered before one of
// another class that has waited for longer. Within a priority, a request that its caller
// cannot repeat goes first.
func GoesBefore(class, other intent.Class) bool {
	if LevelOf(class) != LevelOf(other) {
		return LevelOf(class) < LevelOf(other)
	}
	return class.Kind == intent.NonIdempotent && other.Kind != intent.NonIdempotent
}
