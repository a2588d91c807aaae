package steering

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/packet"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
	"bramleyhold.example/bramleyhold/internal/zone"
)

// PlacementExplanation says where a balancer would send an opening now, and why.
type PlacementExplanation struct {
	Virtual netip.AddrPort `json:"virtual"`
	Caller  netip.AddrPort `json:"caller"`
	Route   string         `json:"route,omitempty"`
	Service service.Name   `json:"service,omitempty"`
	// Version is the version of the desired state that the balancer applies.
	Version uint64 `json:"version"`
	// Outcome is "placed", "queued" or "refused". Reason is the cause of a refusal or of
	// queueing.
	Outcome string `json:"outcome"`
	Reason  Reason `json:"reason,omitempty"`
	// ByAnswers is set if openings are placed by expected answers.
	ByAnswers bool `json:"by_answers"`
	// Upstreams lists the upstreams of the service, those that can get the opening first,
	// in the order of their scores. Balancers choose at random among close ones.
	Upstreams []UpstreamExplanation `json:"upstreams"`
}

// UpstreamExplanation is what a balancer knows about one upstream.
type UpstreamExplanation struct {
	VM      vm.ID       `json:"vm"`
	Agent   netip.Addr  `json:"agent"`
	Zone    zone.ID     `json:"zone"`
	Status  view.Status `json:"status"`
	Exclude string      `json:"excluded,omitempty"`
	// Score is the expected load as a share of the slots or, in an explanation with
	// ByAnswers, the expected time of the answer as a multiple of the median. Both have what
	// counts against another zone and against a cold upstream. The lowest is preferred.
	Score float64 `json:"score"`
	// AnswerMillis is the expected time of an answer in milliseconds and Health the share of
	// requests that end well, as learned by the agent. Both are 0 if they are not known.
	AnswerMillis float64 `json:"answer_ms,omitempty"`
	Health       float64 `json:"health,omitempty"`
	// InProgress is the number of requests in progress in the last report, AgeMillis the age
	// of that report in milliseconds, or -1 if there is none. OwnOpenings are the openings
	// that this balancer has sent since.
	InProgress  int   `json:"in_progress"`
	AgeMillis   int64 `json:"age_ms"`
	OwnOpenings int   `json:"own_openings"`
	Slots       int   `json:"slots"`
	Cold        bool  `json:"cold,omitempty"`
}

// The outcomes of an opening in a PlacementExplanation.
const (
	outcomePlaced  = "placed"
	outcomeQueued  = "queued"
	outcomeRefused = "refused"
)

// ExplainPlacement returns where an opening of a caller would go now. It changes nothing.
// A caller without a port stands for any port of its address; only routes with several
// services depend on it.
func (b *Balancer) ExplainPlacement(now time.Time, virtual, caller netip.AddrPort) PlacementExplanation {
	explanation := PlacementExplanation{Virtual: virtual, Caller: caller, Version: b.Version(), Outcome: outcomeRefused, Upstreams: []UpstreamExplanation{}}
	route := b.routes[virtual]
	switch {
	case b.desired == nil:
		explanation.Reason = NoDesiredState
		return explanation
	case route == nil:
		explanation.Reason = NoRoute
		return explanation
	}
	entry := &flowEntry{key: flow.Key{Caller: caller, Virtual: virtual, Protocol: packet.ProtocolTCP}, createdAt: now}
	explanation.Route, explanation.Service = route.Name, b.selectService(entry, route)
	comparison := b.compareAnswers(now, explanation.Service)
	explanation.ByAnswers = comparison.usable
	causes := map[exclusion]bool{}
	for _, upstream := range b.serviceMembers[explanation.Service] {
		excluded := b.exclusionOf(now, upstream, entry)
		causes[excluded] = true
		explanation.Upstreams = append(explanation.Upstreams, b.explainUpstream(now, upstream, excluded, comparison))
	}
	slices.SortFunc(explanation.Upstreams, func(a, c UpstreamExplanation) int {
		return cmp.Or(cmp.Compare(a.Exclude, c.Exclude), cmp.Compare(a.Score, c.Score), cmp.Compare(a.VM, c.VM))
	})
	switch {
	case causes[notExcluded] || (causes[excludedAvoided] && !causes[excludedOverloaded]):
		explanation.Outcome = outcomePlaced
	case causes[excludedOverloaded]:
		explanation.Reason = AllOverloaded
	case causes[excludedWarmingUp]:
		explanation.Reason = AllWarmingUp
	case b.noZoneInService(entry, route):
		explanation.Reason = ZonesOutOfService
	case b.noUpstreamExpected(entry, route):
		explanation.Reason = NoUpstream
	default:
		explanation.Outcome, explanation.Reason = outcomeQueued, NoneAccepted
	}
	return explanation
}

func (b *Balancer) explainUpstream(now time.Time, upstream *upstreamState, excluded exclusion, comparison *answerComparison) UpstreamExplanation {
	score := upstream.expectedScore(now, b)
	if comparison.usable {
		score = upstream.expectedAnswerScore(now, b, comparison)
	}
	age := int64(-1)
	if !upstream.reportedAt.IsZero() {
		age = now.Sub(upstream.reportedAt).Milliseconds()
	}
	return UpstreamExplanation{
		VM: upstream.VM, Agent: upstream.Address.Addr(), Zone: upstream.Zone, Status: upstream.Status, Exclude: excluded.String(),
		Score: score, AnswerMillis: float64(upstream.expectation.answer.Microseconds()) / 1000, Health: upstream.expectation.health, InProgress: upstream.requestsInProgress, AgeMillis: age,
		OwnOpenings: upstream.openingsSinceReport, Slots: upstream.Slots, Cold: now.Before(upstream.WarmUpUntil),
	}
}
