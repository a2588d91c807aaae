package admission

import (
	"math"
	"time"

	"bramleyhold.example/bramleyhold/internal/intent"
)

const (
	// classMemory is how long a level counts as in use after its last request. Levels are
	// distinguished only while at least two are in use.
	classMemory = 10 * time.Second
	// serviceTimesNeeded is the time that an admitted request needs after its wait, as a
	// multiple of the service time. Service times vary; with this margin most requests are
	// answered within their time budget.
	serviceTimesNeeded = 1.5
	// lowestBudgetShare is the share of its time budget that the answer to an opening of the
	// lowest level in use may take. Requests on open flows cannot be rejected and need the
	// rest.
	lowestBudgetShare = 0.5
	// precedenceBudgetShare is the share for the other levels. The rest is for the search
	// for an upstream and for the way of the request and of the answer.
	precedenceBudgetShare = 0.8
	// windowShare is the share of the time budget of a higher level within which a request
	// of it must be expected to be answered behind those of the lowest level that were
	// delivered. Further ones are deferred.
	windowShare = 0.5
)

// Opening is a new flow on which a request is expected.
type Opening struct {
	Class      intent.Class
	ClassKnown bool
	// LastAttempt is set if the opening is not sent to another upstream.
	LastAttempt bool
	// TimeBudget is the time that remains to answer the caller within its objective.
	TimeBudget time.Duration
}

// Decision is what happens to an opening.
type Decision uint8

// The decisions.
const (
	// ByLoad: the class makes no difference; the load of the upstream alone decides.
	ByLoad Decision = iota
	// Admit: the opening is delivered.
	Admit
	// Busy: another upstream may have a free slot.
	Busy
	// Overloaded: the upstream is not expected to answer the request in time.
	Overloaded
)

// Policy decides about the openings and requests of one upstream by their class. The zero value
// has seen none.
type Policy struct {
	levels      [Levels]levelHistory
	serviceTime ServiceTime
	places      Places
	// window is how long the answer to a request may take that arrives behind those of the
	// lowest level.
	window time.Duration
}

// levelHistory is what has been seen of a level.
type levelHistory struct {
	requests       decayingRate
	seenAt         time.Time
	lastAdmittedAt time.Time
}

// ObserveOpening records that an opening of a level has arrived.
func (p *Policy) ObserveOpening(now time.Time, level Level) { p.levels[level].seenAt = now }

// ObserveAdmission records that an opening of a level was delivered.
func (p *Policy) ObserveAdmission(now time.Time, level Level) { p.levels[level].lastAdmittedAt = now }

// ObserveRequest records that a request of a level has arrived.
func (p *Policy) ObserveRequest(now time.Time, level Level) {
	p.levels[level].seenAt = now
	p.levels[level].requests.count(now)
}

// ObserveAnswer records that a request was answered, or rejected by the upstream.
func (p *Policy) ObserveAnswer(now time.Time, answer Answer) (rejected bool) {
	if p.serviceTime.IsRejection(&answer) {
		p.places.ObserveRejection(now, answer.Found)
		return true
	}
	p.places.ObserveService(answer.Found)
	p.serviceTime.ObserveAnswer(now, &answer)
	return false
}

// ObserveEnd records that a request ended without an answer.
func (p *Policy) ObserveEnd(remaining, slots int) { p.serviceTime.ObserveEnd(remaining, slots) }

// ServiceTime returns the expected time that the upstream works on a request.
func (p *Policy) ServiceTime() time.Duration { return p.serviceTime.Mean() }

// neighbours reports whether levels above and below a level are in use.
func (p *Policy) neighbours(now time.Time, level Level) (above, below bool) {
	for i := range p.levels {
		if seenAt := p.levels[i].seenAt; seenAt.IsZero() || now.Sub(seenAt) >= classMemory {
			continue
		}
		above = above || Level(i) < level
		below = below || Level(i) > level
	}
	return above, below
}

// Decide returns what happens to an opening.
func (p *Policy) Decide(now time.Time, opening Opening, load *Load) Decision {
	level := LevelOf(opening.Class)
	above, below := p.neighbours(now, level)
	if !opening.ClassKnown || (!above && !below) {
		return ByLoad
	}
	occupied, budget := load.ahead(level), share(precedenceBudgetShare, opening.TimeBudget)
	if below {
		p.window = share(windowShare, opening.TimeBudget)
	} else {
		budget = share(lowestBudgetShare, opening.TimeBudget)
	}
	if !below && !p.isStarved(now, level, opening.TimeBudget) {
		if p.committed(now, level) >= float64(load.Limit) {
			// Another flow would make the requests of all open flows late.
			return Overloaded
		}
		occupied += p.Headroom(now, level, load)
	}
	switch {
	case p.places.AreTaken(now, load.placesUsed(level)):
		return Overloaded
	case occupied < load.Limit:
		return Admit
	case load.expectedTime(occupied, p.ServiceTime()) > budget:
		return Overloaded
	case !opening.LastAttempt:
		return Busy
	}
	return Admit
}

func share(part float64, of time.Duration) time.Duration {
	return time.Duration(part * float64(of))
}

// isStarved reports whether no opening of a level was admitted for longer than its
// callers can wait. One opening is then admitted by its expected time alone.
func (p *Policy) isStarved(now time.Time, level Level, timeBudget time.Duration) bool {
	return now.Sub(p.levels[level].lastAdmittedAt) > timeBudget
}

// Headroom returns the number of requests for which room is kept free of a level: what
// the higher levels are expected to need beyond what they have in progress. It leaves
// room for one request.
func (p *Policy) Headroom(now time.Time, level Level, load *Load) int {
	if level == 0 {
		return 0
	}
	missing := p.committed(now, level-1) - float64(load.ofHigher(level))
	return min(max(int(math.Round(missing)), 0), max(load.Limit-1, 0))
}

// committed returns the mean number of requests in progress that the recent requests of
// the levels up to the given one lead to.
func (p *Policy) committed(now time.Time, level Level) float64 {
	perSecond := 0.0
	for i := range p.levels[:level+1] {
		perSecond += p.levels[i].requests.perSecond(now)
	}
	return perSecond * p.ServiceTime().Seconds()
}
