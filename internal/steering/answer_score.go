package steering

import (
	"math"
	"slices"
	"time"

	"bramleyhold.example/bramleyhold/internal/service"
)

const (
	// minComparedUpstreams is the number of upstreams with a known expectation from which
	// openings are placed by expected answers. The median of fewer says little.
	minComparedUpstreams = 3
	// comparisonInterval is how often the upstreams of a service are compared anew.
	comparisonInterval = 50 * time.Millisecond
	// expectationLifetime is the time after which a deviation from the other upstreams
	// counts for 1/e only. Agents report large changes at once.
	expectationLifetime = 10 * time.Second
	// healthTolerance is the share of the median health from which an upstream counts as
	// well. healthExponent is how strongly a worse one is avoided. One that fails 40 % of
	// its requests gets hardly any opening by its score.
	healthTolerance = 0.9
	healthExponent  = 8.0
	// usualSpeedFactor is the multiple of the median up to which an upstream counts as one
	// of usual speed. Upstreams of usual speed get openings in proportion to their speed, so
	// that they are equally loaded: the requests of long flows stay where these were opened.
	usualSpeedFactor = 1.7
	// slowExponent is how strongly a slower upstream is avoided.
	slowExponent = 1.6
	// fastestFactor and slowestFactor bound the effect of the deviation of one upstream from
	// the median of its service.
	fastestFactor = 1.0 / 3
	slowestFactor = 40.0
	// fullLoadFactor is the weight of the load of an upstream whose slots appear to be in
	// use. It rejects an opening unless it is the last attempt.
	fullLoadFactor = 5.0
	// otherZoneFactor is the weight of the answer of an upstream in another zone. One opening
	// in twenty leaves a zone with a quarter of the upstreams while these are idle, and
	// nine in ten do while all of their slots are in use.
	otherZoneFactor = 4.0
	// choiceSpread randomizes the choice: the number of openings that an upstream gets
	// goes with the power -1/choiceSpread of its expected answer.
	choiceSpread = 0.33
	// probeShare is the share of the openings whose first attempt goes to any upstream of
	// the zone whatever its score. By these the recovery of an avoided one shows.
	probeShare = 0.04
	// bestProbeScore bounds the scores of probed upstreams. Those of others are above it.
	bestProbeScore = 1e-6
	// avoidedFactor is the multiple of the median from which an upstream is avoided.
	avoidedFactor = 1.5
)

// answerComparison compares the expected answers of the upstreams of one service.
type answerComparison struct {
	comparedAt time.Time
	// usable is set if openings are placed by expected answers. medianLog is the median
	// of the logarithms of the expected answers, medianHealth that of the health.
	usable                  bool
	medianLog, medianHealth float64
	// anyAvoided is set if some upstream of the zone gets hardly any opening by its score.
	anyAvoided bool
	// probes is set if the present attempt goes to any upstream of the zone.
	probes bool
}

// compareAnswers returns the comparison of the upstreams of a service. Those of the own
// zone are compared if enough of them have reported, because a common cause, such as a
// slow dependency in the zone, must exclude none of them.
//
// An upstream that has not reported yet counts like the median. If an agent has reported
// without having learned, because it is of an earlier build or learning is switched off,
// all are placed by the share of their slots.
func (b *Balancer) compareAnswers(now time.Time, name service.Name) *answerComparison {
	comparison := b.answerComparisons[name]
	if comparison == nil {
		comparison = &answerComparison{}
		b.answerComparisons[name] = comparison
	}
	if age := now.Sub(comparison.comparedAt); age >= 0 && age < comparisonInterval {
		return comparison
	}
	*comparison = answerComparison{comparedAt: now}
	var all, own, allHealth, ownHealth []float64
	for _, upstream := range b.serviceMembers[name] {
		if upstream.reportedAt.IsZero() || !upstream.AcceptsOpenings() {
			continue
		}
		if !upstream.expectation.learned {
			return comparison
		}
		if upstream.expectation.answer == 0 {
			continue
		}
		answerLog := math.Log(upstream.expectation.answer.Seconds())
		all, allHealth = append(all, answerLog), append(allHealth, upstream.expectation.health)
		if upstream.Zone == b.cfg.Zone {
			own, ownHealth = append(own, answerLog), append(ownHealth, upstream.expectation.health)
		}
	}
	if len(own) >= minComparedUpstreams {
		all, allHealth = own, ownHealth
	}
	if len(all) < minComparedUpstreams {
		return comparison
	}
	slices.Sort(all)
	slices.Sort(allHealth)
	comparison.usable, comparison.medianLog, comparison.medianHealth = true, all[len(all)/2], allHealth[len(allHealth)/2]
	for _, upstream := range b.serviceMembers[name] {
		avoided := upstream.Zone == b.cfg.Zone && upstream.relativeAnswer(now, comparison) > avoidedFactor
		comparison.anyAvoided = comparison.anyAvoided || avoided
	}
	return comparison
}

// placementScore returns the score of an upstream for the next opening. The upstream with
// the lowest score is selected. Scores of one comparison can be compared.
func (b *Balancer) placementScore(now time.Time, upstream *upstreamState, comparison *answerComparison) float64 {
	if !comparison.usable {
		return upstream.loadScore(now, b)
	}
	if comparison.probes && upstream.Zone == b.cfg.Zone {
		return b.cfg.Random.Float64() * bestProbeScore
	}
	return upstream.answerScore(now, b, comparison)
}

// answerScore returns the expected time of the answer as a multiple of the median of the
// service, randomized.
//
// Load pattern: many balancers place at once, each an opening a second or less on each
// upstream, and know the speed of the upstreams but hardly their present load. If each
// took the fastest one, all would.
func (u *upstreamState) answerScore(now time.Time, b *Balancer, comparison *answerComparison) float64 {
	spread := -math.Log(max(b.cfg.Random.Float64(), math.SmallestNonzeroFloat64))
	return u.expectedAnswerScore(now, b, comparison) * math.Pow(spread, choiceSpread)
}

// expectedAnswerScore returns the answer score without its random part.
func (u *upstreamState) expectedAnswerScore(now time.Time, b *Balancer, comparison *answerComparison) float64 {
	load := u.loadShare(now, b)
	if load >= 1 {
		load *= fullLoadFactor
	}
	score := u.relativeAnswer(now, comparison) * (1 + load)
	if u.Zone != b.cfg.Zone {
		score *= otherZoneFactor
	}
	return score
}

// speedEffect returns the effect of a deviation of the expected answer on the score, both
// as logarithms.
func speedEffect(deviation float64) float64 {
	usual := min(deviation, math.Log(usualSpeedFactor))
	return usual*choiceSpread + (deviation-usual)*slowExponent
}

// relativeAnswer returns the effect of the expected answer of an idle upstream on its score,
// compared with the median of the service, and worse if it fails more requests than others.
func (u *upstreamState) relativeAnswer(now time.Time, comparison *answerComparison) float64 {
	if u.expectation.answer == 0 {
		return 1
	}
	deviation := speedEffect(math.Log(u.expectation.answer.Seconds()) - comparison.medianLog)
	if wanted := healthTolerance * comparison.medianHealth; u.expectation.health < wanted {
		deviation += healthExponent * math.Log(wanted/max(u.expectation.health, 1.0/maxHealthCode))
	}
	deviation = min(max(deviation, math.Log(fastestFactor)), math.Log(slowestFactor))
	return math.Exp(deviation * math.Exp(-float64(now.Sub(u.expectedAt))/float64(expectationLifetime)))
}

// addExpectation adds the expectation by which an upstream was selected.
func (b *Balancer) addExpectation(now time.Time, selected *upstreamState, placement *PlacementInfo) {
	if comparison := b.answerComparisons[selected.Service]; comparison != nil && comparison.usable && selected.expectation.answer > 0 {
		placement.Answer, placement.Health, placement.AnswerAge = selected.expectation.answer, selected.expectation.health, now.Sub(selected.expectedAt)
	}
}
