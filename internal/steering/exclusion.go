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
	// excludedZone: its availability zone is out of service.
	excludedZone
	// excludedOverloaded: it has rejected an opening as overloaded shortly before.
	excludedOverloaded
	// excludedAttempted: it was sent this opening before.
	excludedAttempted
	// excludedAvoided: it has rejected an opening or not responded to one shortly before.
	// It gets an opening all the same if no other upstream is left.
	excludedAvoided
	// excludedWarmingUp: it has rejected an opening shortly before because it is cold, or
	// this balancer alone has sent it more than it bears.
	excludedWarmingUp
)

// exclusionNames has the names of exclusions in explanations.
var exclusionNames = [...]string{
	excludedStatus: "status", excludedZone: "zone_out", excludedOverloaded: "overloaded", excludedAttempted: "attempted",
	excludedAvoided: "avoided", excludedWarmingUp: "warming_up",
}

// String returns "" for an upstream that is not excluded.
func (e exclusion) String() string { return exclusionNames[e] }

// exclusionOf returns the first cause that applies to an upstream and an opening.
func (b *Balancer) exclusionOf(now time.Time, upstream *upstreamState, entry *flowEntry) exclusion {
	switch {
	case !upstream.AcceptsOpenings():
		return excludedStatus
	case b.terms.isOut(upstream.Zone):
		return excludedZone
	case now.Before(upstream.warmUp.avoidUntil) || upstream.isColdAndFull(now, b.warmUpRates[upstream.Service]):
		return excludedWarmingUp
	case now.Before(upstream.overloadedUntil[b.levelOf(entry)]):
		return excludedOverloaded
	case slices.Contains(entry.attemptedAgents, upstream.Address.Addr()):
		return excludedAttempted
	case now.Before(upstream.avoidUntil):
		return excludedAvoided
	}
	return notExcluded
}
