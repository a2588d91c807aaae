package steering_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/steering"
	"bramleyhold.example/bramleyhold/internal/view"
)

const (
	fleetUpstreams = 12
	fleetSeeds     = 2
	usualRate      = 750.0 // requests per second: half of what the upstreams take
	disturbed      = 1     // the upstream that is disturbed where only one is
)

// disturbances are what happens to some upstreams of a fleet for six seconds.
var disturbances = map[string]struct {
	perSecond float64
	apply     func(i int, u *unevenUpstream)
	// avoided is set if the disturbed upstream must get under a tenth of its share.
	avoided bool
}{
	"speeds only": {1250, func(int, *unevenUpstream) {}, false},
	"slow from half of the slots on": {usualRate, func(i int, u *unevenUpstream) {
		if i%2 == 0 {
			u.slowdown = func(running int) float64 { return math.Max(1, 1.1*float64(running)) }
		}
	}, false},
	"a third slow": {usualRate, func(i int, u *unevenUpstream) {
		if i%3 == 1 {
			u.slowdown = func(int) float64 { return 5 }
		}
	}, false},
	"a quarter fails 40 %": {usualRate, func(i int, u *unevenUpstream) {
		if i%4 == 1 {
			u.failShare = 0.4
		}
	}, true},
	"one silent": {usualRate, func(i int, u *unevenUpstream) { u.silent = i == disturbed }, true},
	"all slow": {usualRate, func(_ int, u *unevenUpstream) {
		u.slowdown = func(int) float64 { return 1.8 }
	}, false},
}

// playDisturbance returns the share of requests in aim, and the mean share of the disturbed
// upstreams from 3 s after the beginning and from 2 s after the end of the disturbance.
func playDisturbance(f *fleet, perSecond float64, apply func(int, *unevenUpstream)) (inAim, during, after float64) {
	f.run(5*time.Second, perSecond)
	f.resetCounts()
	var affected []int
	for i, u := range f.upstreams {
		apply(i, u)
		if u.silent || u.failShare > 0 || u.slowdown(fleetSlots) > 1 {
			affected = append(affected, i)
		}
	}
	f.run(3*time.Second, perSecond)
	f.resetTaken()
	f.run(3*time.Second, perSecond)
	during = f.meanShare(affected)
	for _, u := range f.upstreams {
		u.slowdown, u.failShare, u.silent = func(int) float64 { return 1 }, 0, false
	}
	f.run(2*time.Second, perSecond)
	f.resetTaken()
	f.run(3*time.Second, perSecond)
	return f.aimShare(), during, f.meanShare(affected)
}

// Guards against callers that are answered late or not at all because their openings go to
// an upstream that is slow or fails, and against an upstream that is left out after it has
// recovered, or while all are slow for a common reason.
func TestPlacementByExpectedAnswers(t *testing.T) {
	for name, disturbance := range disturbances {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var weights, learned, best, during, after float64
			for seed := range uint64(fleetSeeds) {
				bySlots, _, _ := playDisturbance(newFleet(t, seed, 12, fleetUpstreams, false), disturbance.perSecond, disturbance.apply)
				byAnswers, first, then := playDisturbance(newFleet(t, seed, 12, fleetUpstreams, true), disturbance.perSecond, disturbance.apply)
				known := newFleet(t, seed, 12, fleetUpstreams, false)
				known.allKnown = true
				byKnowledge, _, _ := playDisturbance(known, disturbance.perSecond, disturbance.apply)
				weights, learned, best = weights+bySlots/fleetSeeds, learned+byAnswers/fleetSeeds, best+byKnowledge/fleetSeeds
				during, after = during+first/fleetSeeds, after+then/fleetSeeds
			}
			t.Logf("in aim: by slots %.3f, learned %.3f, with full knowledge %.3f; share %.2f, then %.2f", weights, learned, best, during, after)
			require.GreaterOrEqual(t, learned, weights-0.005)
			if name != "speeds only" {
				require.Greater(t, after, 0.5)
			}
			if disturbance.avoided {
				require.Less(t, during, 0.1)
				require.Greater(t, during, 0.0)
			}
			if name == "all slow" {
				require.Greater(t, during, 0.4)
			}
		})
	}
}

// Guards against balancers with old reports that all choose the fastest upstream. All
// upstreams are to be equally loaded.
func TestManyBalancersDoNotChooseTheSameUpstream(t *testing.T) {
	f := newFleet(t, 1, 48, fleetUpstreams, true)
	f.run(5*time.Second, usualRate)
	f.resetCounts()
	f.run(10*time.Second, usualRate)
	for i := range f.upstreams {
		bySpeed := f.upstreams[i].speed / fleetMeanSpeed
		require.InDelta(t, 1, f.share(i)/bySpeed, 0.25, "upstream %d", i)
	}
	require.Greater(t, f.aimShare(), 0.98)
}

// Guards against openings that cross zones because a choice is random while upstreams of
// the own zone are free, and against openings that stay in a zone without a free slot.
func TestExpectedAnswersKeepOpeningsInTheZone(t *testing.T) {
	countLeft := func(ownLoad uint16) (left int) {
		var upstreams []steering.Upstream
		for i := range 12 {
			upstream := newUpstream(i, orders, otherZone, view.Ready)
			if i%4 == 0 {
				upstream.Zone = ownZone
			}
			upstreams = append(upstreams, upstream)
		}
		b := newBalancerHarness(t, upstreams...)
		for port := uint16(2); port <= 1001; port++ {
			for i := range upstreams {
				report := steering.Message{Kind: steering.CapacityReport, Flows: fastAnswer}
				if i%4 == 0 {
					report.Load = ownLoad
				}
				b.handleMessage(i, report)
			}
			if agentNumber(b.handlePacket(openingPacket(port))[0].To)%4 != 0 {
				left++
			}
			b.now = b.now.Add(10 * time.Millisecond)
		}
		return left
	}
	require.Less(t, countLeft(0), 100)
	require.Greater(t, countLeft(2), 800)
}

// Values of Message.Flows with health 1: an answer after 60 ms, after 1 s, and one that is
// not known yet.
const (
	fastAnswer    = 1<<15 | 31<<10 | 518
	slowAnswer    = 1<<15 | 31<<10 | 723
	unknownAnswer = 1<<15 | 31<<10
)

// countFirst returns how many of 400 openings go to the first of four upstreams after
// reports with the given values before each. The first upstream reports firstValues in
// turn beforehand.
func countFirst(t *testing.T, firstValues []uint16, flows ...uint16) (taken int) {
	var upstreams []steering.Upstream
	for i := range 4 {
		upstreams = append(upstreams, newUpstream(i+1, orders, ownZone, view.Ready))
	}
	b := newBalancerHarness(t, upstreams...)
	for _, value := range firstValues {
		b.handleMessage(1, steering.Message{Kind: steering.CapacityReport, Flows: value})
	}
	for port := uint16(2); port <= 401; port++ {
		for i, value := range flows {
			b.handleMessage(i+1, steering.Message{Kind: steering.CapacityReport, Flows: value})
		}
		b.now = b.now.Add(10 * time.Millisecond)
		if b.handlePacket(openingPacket(port))[0].To == agentAddress(1) {
			taken++
		}
	}
	return taken
}

// Guards against an agent that forgets with its restart that its upstream is slow: it says
// that it knows nothing yet, and the balancers go on with what they knew.
func TestExpectationSurvivesARestartOfTheAgent(t *testing.T) {
	require.Less(t, countFirst(t, []uint16{slowAnswer}, unknownAnswer, fastAnswer, fastAnswer, fastAnswer), 20)
	require.Greater(t, countFirst(t, nil, unknownAnswer, fastAnswer, fastAnswer, fastAnswer), 70)

	u := &unevenUpstream{}
	newFleet(t, 1, 1, 1, true).startAgent(u)
	var actions []steering.Action
	u.agent.HandleBalancerPacket(start, openingPacket(1), steering.ForwardingHeader{Service: steering.NewServiceTag(kilnlog)}, balancerA, nil, &actions)
	require.EqualValues(t, unknownAnswer, actions[0].Message.Flows)
}

// Guards against a rolling upgrade in which balancers compare upstreams of which only some
// state what they have learned, and against an agent that changes what it reports although
// it learns nothing.
func TestMixedReportsFallBackToSlots(t *testing.T) {
	require.Less(t, countFirst(t, nil, slowAnswer, fastAnswer, fastAnswer, fastAnswer), 20)
	require.Greater(t, countFirst(t, nil, slowAnswer, fastAnswer, fastAnswer, 12), 70)
	require.Less(t, countFirst(t, nil, slowAnswer, fastAnswer, fastAnswer), 20, "an upstream without a report counts like the median")
	require.Greater(t, countFirst(t, nil, slowAnswer, fastAnswer), 70, "two reports are too few")

	a := newReadyAgent(t)
	a.openFlow(1)
	a.handleCallerPacket(callerPacket(1, 10), ownHeader)
	rejected := a.handleCallerPacket(openingPacket(2), steering.ForwardingHeader{Service: steering.NewServiceTag(kilnlog)})
	require.EqualValues(t, 1, rejected[0].Message.Flows)
}
