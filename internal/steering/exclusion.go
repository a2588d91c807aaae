package steering

import (
	"slices"
	"time"
)

// exclusion is the cause for which an upstream gets no opening at present.
type exclusion uint8

const (
	notExcluded exclusion = iota
	// excludedStatus: the upstream is starting, leaving or failed.
	excludedStatus
	// excludedOverloaded: it has rejected an opening as overloaded shortly before.
	excludedOverloaded
	// excludedAttempted: it was sent this opening before.
	excludedAttempted
	// excludedAvoided: it has rejected an opening or not responded to one shortly before.
	// It gets an opening all the same if no other upstream is left.
	excludedAvoided
)

// exclusionOf returns the first cause that applies to an upstream and an opening.
func (b *Balancer) exclusionOf(now time.Time, upstream *upstreamState, entry *flowEntry) exclusion {
	switch {
	case !upstream.AcceptsOpenings():
		return excludedStatus
	case now.Before(upstream.overloadedUntil[b.levelOf(entry)]):
		return excludedOverloaded
	case slices.Contains(entry.attemptedAgents, upstream.Address.Addr()):
		return excludedAttempted
	case now.Before(upstream.avoidUntil):
		return excludedAvoided
	}
	return notExcluded
}
