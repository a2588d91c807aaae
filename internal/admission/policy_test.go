package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/admission"
	"bramleyhold.example/bramleyhold/internal/intent"
)

const (
	limit       = 3
	budget      = 400 * time.Millisecond
	serviceTime = 50 * time.Millisecond
)

var (
	start  = time.Unix(1_000_000, 0)
	urgent = intent.Class{Priority: 1, Kind: intent.NonIdempotent}
	feed   = intent.Class{Priority: 2, Kind: intent.Idempotent}
)

func opening(class intent.Class) admission.Opening {
	return admission.Opening{Class: class, ClassKnown: true, LastAttempt: true, TimeBudget: budget}
}

// loaded returns the load of an upstream with requests of the feed in progress.
func loaded(inProgress int) *admission.Load {
	load := &admission.Load{Limit: limit}
	load.InProgress[admission.LevelOf(feed)] = inProgress
	return load
}

// newPolicy returns a policy that has learned the service time, and has admitted an opening
// of each class just before now.
func newPolicy(now time.Time, classes ...intent.Class) *admission.Policy {
	p := &admission.Policy{}
	for range 100 {
		p.ObserveAnswer(now, admission.Answer{Took: serviceTime, SlotWasFree: true, Slots: limit})
	}
	for _, class := range classes {
		p.ObserveOpening(now, admission.LevelOf(class))
		p.ObserveAdmission(now, admission.LevelOf(class))
	}
	return p
}

// Where classes make no difference, the load alone must decide, as without classes.
func TestClassesWithoutDifference(t *testing.T) {
	sameClass := newPolicy(start, feed, intent.Class{Priority: feed.Priority, Kind: intent.Upload})
	bothClasses := newPolicy(start, feed, urgent)
	unknown := opening(feed)
	unknown.ClassKnown = false
	for inProgress := range 20 {
		require.Equal(t, admission.ByLoad, sameClass.Decide(start, opening(feed), loaded(inProgress)))
		require.Equal(t, admission.ByLoad, bothClasses.Decide(start, unknown, loaded(inProgress)))
		later := start.Add(time.Minute)
		bothClasses := newPolicy(later, feed)
		require.Equal(t, admission.ByLoad, bothClasses.Decide(later, opening(feed), loaded(inProgress)), "the urgent class is not in use any more")
	}
}

// While the upstream has a queue, an opening of the lower class must be rejected before one
// of the higher class.
func TestLowerClassGivesWay(t *testing.T) {
	p := newPolicy(start, urgent, feed)
	require.Equal(t, admission.Admit, p.Decide(start, opening(feed), loaded(2)))
	require.Equal(t, admission.Admit, p.Decide(start, opening(urgent), loaded(15)))
	require.Equal(t, admission.Overloaded, p.Decide(start, opening(feed), loaded(15)))
	notLast := opening(urgent)
	notLast.LastAttempt = false
	require.Equal(t, admission.Busy, p.Decide(start, notLast, loaded(3)))
}

// Room must be kept free for the higher class by what its arrivals have been, and given
// back when they cease.
func TestHeadroomFollowsArrivals(t *testing.T) {
	p := newPolicy(start, urgent, feed)
	now := start
	for range 90 {
		now = now.Add(time.Second / 30)
		p.ObserveRequest(now, admission.LevelOf(urgent))
	}
	lowest := admission.LevelOf(feed)
	require.Equal(t, 1, p.Headroom(now, lowest, loaded(0)), "30 requests a second of 50 ms")
	require.Zero(t, p.Headroom(now.Add(3*time.Second), lowest, loaded(0)))
}

// Open flows that send more than the upstream can serve must keep out further ones, but
// not for longer than their callers can wait.
func TestCommittedRoom(t *testing.T) {
	p := newPolicy(start, urgent, feed)
	now := start
	for range 200 {
		now = now.Add(time.Second / 100)
		p.ObserveRequest(now, admission.LevelOf(feed))
	}
	p.ObserveAdmission(now, admission.LevelOf(feed))
	require.Equal(t, admission.Overloaded, p.Decide(now, opening(feed), loaded(0)))
	require.Equal(t, admission.Admit, p.Decide(now, opening(urgent), loaded(0)))
	now = now.Add(budget + time.Millisecond)
	require.NotEqual(t, admission.Overloaded, p.Decide(now, opening(feed), loaded(0)), "the class is not starved")
}

// The service time must follow an upstream that turns slow while all its slots are in use:
// no request then arrives at a free slot.
func TestServiceTimeOfFullUpstream(t *testing.T) {
	p := newPolicy(start, urgent, feed)
	now := start
	for range 40 {
		now = now.Add(5 * serviceTime / limit)
		p.ObserveAnswer(now, admission.Answer{Took: time.Second, Remaining: 10, Slots: limit})
	}
	require.InDelta(t, 5*serviceTime, p.ServiceTime(), float64(serviceTime))
	before := p.ServiceTime()
	require.True(t, p.ObserveAnswer(now, admission.Answer{Took: time.Millisecond, Found: 15, Remaining: 15, Slots: limit}))
	require.Equal(t, before, p.ServiceTime(), "a rejection says nothing about the service time")
	require.Equal(t, admission.Overloaded, p.Decide(now, opening(urgent), loaded(15)), "no place is left")
}
