package steering

import (
	"net/netip"
	"time"

	"bramleyhold.example/bramleyhold/internal/admission"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/view"
)

const (
	// otherZonePenalty is added to the load score of an upstream in another zone, as a
	// share of the slots. Answers from another zone take two more link delays and cause
	// transfer costs.
	otherZonePenalty = 0.4
	// warmUpLoadFactor is the assumed slowdown of an upstream during warm-up.
	warmUpLoadFactor = 2.0
	// loadReportLifetime is how long a load report counts: the duration of several
	// requests.
	loadReportLifetime = 300 * time.Millisecond
	// scoreJitter randomizes the selection by balancers that have the same reports, as
	// a share of the slots.
	scoreJitter = 0.1
)

// Upstream is a member of a service, as listed by the directory.
type Upstream struct {
	view.Upstream
	Service service.Name
}

// upstreamState is an upstream with the load reports and failures that this balancer
// has recorded.
type upstreamState struct {
	Upstream
	serviceTag ServiceTag
	// requestsInProgress comes from the last message of the agent, received at
	// reportedAt.
	requestsInProgress int
	reportedAt         time.Time
	// expectation is the last one that states an expected answer, or the last one if none
	// does. It was received at expectedAt. An agent that has restarted states none at
	// first; the one before its restart then holds on.
	expectation answerExpectation
	expectedAt  time.Time
	// openingsSinceReport counts the openings sent to it since that message.
	openingsSinceReport int
	// avoidUntil is set after it has rejected an opening or not responded to one.
	avoidUntil time.Time
	// lookupUnresponsiveUntil is set after its agent has not responded to a lookup.
	lookupUnresponsiveUntil time.Time
	// overloadedUntil is set for each level after it has rejected an opening of that level
	// as overloaded.
	overloadedUntil [admission.Levels]time.Time
	warmUp          warmUpKnowledge
}

// updateReport stores the load report that every message of an agent has.
func (u *upstreamState) updateReport(now time.Time, message *Message) {
	u.requestsInProgress, u.reportedAt, u.openingsSinceReport, u.lookupUnresponsiveUntil = int(message.Load), now, 0, time.Time{}
	expectation := decodeExpectation(message.Flows)
	if expectation.answer > 0 || !expectation.learned || !u.expectation.learned {
		u.expectation, u.expectedAt = expectation, now
	}
}

// mayAcceptSoon reports whether the upstream is ready, starting or suspected.
func (u *upstreamState) mayAcceptSoon() bool {
	return u.Status != view.Left && u.Status != view.Leaving && u.Status != view.Failed
}

// loadScore returns the expected score, randomized. Where openings are not placed by
// expected answers, the upstream with the lowest one is selected.
func (u *upstreamState) loadScore(now time.Time, b *Balancer) float64 {
	return u.expectedScore(now, b) + b.cfg.Random.Float64()*scoreJitter
}

// expectedScore returns the expected load as a share of the slots, with a penalty for
// another zone.
func (u *upstreamState) expectedScore(now time.Time, b *Balancer) float64 {
	score := u.loadShare(now, b)
	if u.Zone != b.cfg.Zone {
		score += otherZonePenalty
	}
	return score
}

// loadShare returns the expected load as a share of the slots, or of what the upstream
// bears while it is cold.
func (u *upstreamState) loadShare(now time.Time, b *Balancer) float64 {
	slots := float64(max(u.Slots, 1))
	load := float64(u.openingsSinceReport)
	if age := now.Sub(u.reportedAt); age < loadReportLifetime {
		load += float64(u.requestsInProgress) * (1 - float64(age)/float64(loadReportLifetime))
	}
	if now.Before(u.WarmUpUntil) {
		return u.coldLoadScore(now, load, slots, b.warmUpRates[u.Service])
	}
	return load / slots
}

// SetUpstreams replaces the list of upstreams. The recorded state of those that
// remain is kept. complete is set if the list has all running upstreams.
func (b *Balancer) SetUpstreams(list []Upstream, complete bool) {
	b.directoryComplete = b.directoryComplete || complete
	upstreams := make(map[netip.Addr]*upstreamState, len(list))
	b.serviceMembers = map[service.Name][]*upstreamState{}
	for _, listed := range list {
		address := listed.Address.Addr()
		upstream := b.upstreams[address]
		if upstream == nil || upstream.Incarnation != listed.Incarnation || upstream.VM != listed.VM || upstream.Service != listed.Service {
			upstream = &upstreamState{serviceTag: NewServiceTag(listed.Service)}
		}
		upstream.Upstream = listed
		upstreams[address] = upstream
		b.serviceMembers[listed.Service] = append(b.serviceMembers[listed.Service], upstream)
	}
	b.upstreams = upstreams
}

// ReadyUpstreams returns the number of upstreams that accept openings.
func (b *Balancer) ReadyUpstreams() int {
	count := 0
	for _, upstream := range b.upstreams {
		if upstream.AcceptsOpenings() {
			count++
		}
	}
	return count
}
