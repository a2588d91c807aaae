package steering

import (
	"cmp"
	"slices"
	"time"

	"bramleyhold.example/bramleyhold/internal/admission"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/service"
)

// Times for which an upstream gets no opening of a level after it has rejected one as
// overloaded, if the routes of the service differ in level.
//
// Load pattern: most openings of the lowest level are refused for seconds. If each balancer
// sent some to each upstream every overloadedAvoidTime, the link and the processor of a
// small entry VM would delay the openings of higher levels. An upstream whose queue is full
// has a place for an urgent request after about one of its requests has ended.
const (
	// maxLowestAvoidTime bounds the time for the lowest level, which is the objective of the
	// route: callers with a shorter one come back sooner.
	maxLowestAvoidTime  = 500 * time.Millisecond
	precedenceAvoidTime = 25 * time.Millisecond
)

// levelOf returns the level of the route of a flow.
func (b *Balancer) levelOf(entry *flowEntry) admission.Level {
	if route := b.routes[entry.key.Virtual]; route != nil && b.cfg.AdmitsByClass {
		return admission.LevelOf(route.Class())
	}
	return admission.Lowest
}

// rank tells whether the service of a flow has several levels, and whether the flow is of
// the lowest one.
func (b *Balancer) rank(entry *flowEntry) (several, lowest bool) {
	route := b.routes[entry.key.Virtual]
	if route == nil {
		return false, false
	}
	level, several := b.lowestLevels[b.selectService(entry, route)]
	return several, several && b.levelOf(entry) == level
}

// avoidOverloaded excludes an upstream that has rejected an opening as overloaded from
// further openings of its level and of lower ones. Those of higher levels may be accepted.
func (b *Balancer) avoidOverloaded(now time.Time, entry *flowEntry, upstream *upstreamState) {
	avoidTime := overloadedAvoidTime
	switch several, lowest := b.rank(entry); {
	case lowest:
		avoidTime = min(b.routes[entry.key.Virtual].Objective, maxLowestAvoidTime)
	case several:
		avoidTime = precedenceAvoidTime
	}
	for level := b.levelOf(entry); level <= admission.Lowest; level++ {
		if until := now.Add(avoidTime); until.After(upstream.overloadedUntil[level]) {
			upstream.overloadedUntil[level] = until
		}
	}
}

// triesFurther reports whether an opening that was rejected as overloaded is sent to
// another upstream.
func (b *Balancer) triesFurther(now time.Time, entry *flowEntry) bool {
	route := b.routes[entry.key.Virtual]
	if route == nil || entry.callerWait(now) > route.Objective/placementTimeDivisor {
		return false
	}
	_, lowest := b.rank(entry)
	return !lowest || len(entry.attemptedAgents) < maxPlacementAttempts
}

// queuedOpenings returns the queued openings in the order in which they are retried: by
// level, and those of the callers that have waited for longest first.
func (b *Balancer) queuedOpenings(now time.Time) []*flowEntry {
	var queued []*flowEntry
	for _, entry := range b.flows {
		if entry.state == stateOpeningQueued {
			queued = append(queued, entry)
		}
	}
	slices.SortFunc(queued, func(x, y *flowEntry) int {
		return cmp.Or(cmp.Compare(b.levelOf(x), b.levelOf(y)), cmp.Compare(y.callerWait(now), x.callerWait(now)))
	})
	return queued
}

// egressRank returns the rank of a packet on the link: packets of open flows before
// openings, and both by level. Packets of services without several levels have the rank of
// the highest one.
func (b *Balancer) egressRank(action *Action, route *intent.Route) int {
	if action.Kind != Forward || route == nil || !slices.ContainsFunc(route.Backends, b.hasSeveralLevels) {
		return 0
	}
	rank := int(admission.LevelOf(route.Class()))
	if action.Reason == Placed || action.Reason == PlacedOnRetry {
		rank += admission.Levels
	}
	return rank
}

func (b *Balancer) hasSeveralLevels(backend intent.WeightedService) bool {
	_, several := b.lowestLevels[backend.Service]
	return several
}

// lowestLevels returns the lowest level of each service whose routes differ in level.
func lowestLevels(routes []intent.Route) map[service.Name]admission.Level {
	lowest, several := map[service.Name]admission.Level{}, map[service.Name]admission.Level{}
	for i := range routes {
		level := admission.LevelOf(routes[i].Class())
		for _, backend := range routes[i].Backends {
			seen, ok := lowest[backend.Service]
			lowest[backend.Service] = max(seen, level)
			if _, differs := several[backend.Service]; differs || (ok && seen != level) {
				several[backend.Service] = lowest[backend.Service]
			}
		}
	}
	return several
}
