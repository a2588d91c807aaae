package capacity_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/capacity"
	"bramleyhold.example/bramleyhold/internal/intent"
)

const (
	usualTime = 50 * time.Millisecond
	step      = time.Millisecond
)

var feed = intent.Class{Priority: 2, Kind: intent.Idempotent}

// fakeUpstream answers requests on virtual time. A request takes usualTime, spread like
// real work, times what the test states for the requests in progress.
type fakeUpstream struct {
	*capacity.Estimator
	now      time.Time
	random   *rand.Rand
	slots    int
	perSec   float64
	factor   func(inProgress int) float64
	outcome  func() capacity.Outcome
	requests []runningRequest
}

type runningRequest struct {
	token   capacity.Token
	endsAt  time.Time
	outcome capacity.Outcome
}

func newFakeUpstream(slots int, perSec float64) *fakeUpstream {
	return &fakeUpstream{
		Estimator: capacity.New(capacity.Config{Slots: slots}), now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(3, 4)), slots: slots, perSec: perSec,
		factor: func(int) float64 { return 1 }, outcome: func() capacity.Outcome { return capacity.Answered },
	}
}

// run lets requests arrive for some time, and calls check after each step.
func (u *fakeUpstream) run(duration time.Duration, check func()) {
	for end := u.now.Add(duration); u.now.Before(end); u.now = u.now.Add(step) {
		kept := u.requests[:0]
		for _, r := range u.requests {
			switch {
			case u.now.Before(r.endsAt):
				kept = append(kept, r)
			case r.outcome == capacity.Silent:
				u.Cancel(r.token)
			default:
				u.End(u.now, r.token, r.outcome)
			}
		}
		u.requests = kept
		if len(u.requests) < u.Limit(u.now) && u.random.Float64() < u.perSec*step.Seconds() {
			spread := math.Exp(0.5 * u.random.NormFloat64())
			if u.random.Float64() < 0.03 {
				spread *= 7
			}
			r := runningRequest{token: u.Begin(u.now, feed), outcome: u.outcome()}
			taken := time.Duration(float64(usualTime) * spread * u.factor(len(u.requests)+1))
			if r.outcome == capacity.Silent {
				taken = 5 * time.Second
			}
			r.endsAt = u.now.Add(taken)
			u.requests = append(u.requests, r)
		}
		if check != nil {
			check()
		}
	}
}

func (u *fakeUpstream) answer() time.Duration { return u.RecentAnswer() }

// Guards against a limit that chance lowers, which would waste slots.
func TestLimitStaysAtTheSlotsOfASteadyUpstream(t *testing.T) {
	for _, slots := range []int{2, 3, 7} {
		u := newFakeUpstream(slots, 12*float64(slots))
		lowered, total := 0, 0
		u.run(time.Minute, func() {
			total++
			if u.Limit(u.now) < slots {
				lowered++
			}
		})
		require.Less(t, float64(lowered)/float64(total), 0.05, "%d slots", slots)
	}
}

// Guards against work that is given to an upstream beyond the concurrency at which it
// answers most, and against a limit that stays when the cause has ended.
func TestLimitFollowsAnUpstreamThatSlowsDownFromHalfOfItsSlots(t *testing.T) {
	u := newFakeUpstream(8, 160)
	u.run(3*time.Second, nil)
	u.factor = func(inProgress int) float64 { return math.Exp(0.5 * float64(max(inProgress-4, 0))) }
	u.run(2*time.Second, nil)
	sum, total := 0, 0
	u.run(6*time.Second, func() { sum += u.Limit(u.now); total++ })
	require.InDelta(t, 4, float64(sum)/float64(total), 1.5)
	u.factor = func(int) float64 { return 1 }
	u.run(3*time.Second, nil)
	require.GreaterOrEqual(t, u.Limit(u.now), 7)
}

// Guards against a collapse: if all is slow for a common reason, fewer requests in
// progress would only bring fewer answers.
func TestLimitStaysWhenAllIsSlow(t *testing.T) {
	for _, slots := range []int{2, 3, 8} {
		for _, slowdown := range []float64{2.5, 3.5, 5} {
			u := newFakeUpstream(slots, 12*float64(slots))
			u.run(5*time.Second, nil)
			u.factor = func(int) float64 { return slowdown }
			sum, total := 0, 0
			u.run(6*time.Second, func() { sum += u.Limit(u.now); total++ })
			require.Greater(t, float64(sum)/float64(total), 0.85*float64(slots), "%d slots, times %v", slots, slowdown)
		}
	}
}

// Guards against placement on an upstream that has turned slow, and against one that is
// left out after it has recovered.
func TestExpectedAnswerFollowsWithinASecond(t *testing.T) {
	u := newFakeUpstream(3, 33)
	u.run(5*time.Second, nil)
	require.InDelta(t, 1, float64(u.answer())/float64(usualTime), 0.5)
	u.factor = func(int) float64 { return 5 }
	u.run(1500*time.Millisecond, nil)
	require.Greater(t, u.answer(), 5*usualTime/2)
	u.run(4*time.Second, nil)
	u.factor = func(int) float64 { return 1 }
	u.run(1500*time.Millisecond, nil)
	require.Less(t, u.answer(), 2*usualTime)
}

// Guards against upstreams that fail unseen: by resets, by silence, or by answers that
// come too soon to be real, which must not make the upstream look fast.
func TestHealthShowsBadEnds(t *testing.T) {
	for name, fail := range map[string]func(u *fakeUpstream){
		"resets": func(u *fakeUpstream) {
			u.outcome = func() capacity.Outcome {
				if u.random.Float64() < 0.4 {
					return capacity.Failed
				}
				return capacity.Answered
			}
		},
		"silence": func(u *fakeUpstream) { u.outcome = func() capacity.Outcome { return capacity.Silent } },
		"early":   func(u *fakeUpstream) { u.factor = func(int) float64 { return 0.005 } },
	} {
		t.Run(name, func(t *testing.T) {
			u := newFakeUpstream(3, 33)
			u.run(5*time.Second, nil)
			require.Greater(t, u.Health(u.now), 0.9)
			answer, outcome := u.answer(), u.outcome
			fail(u)
			u.run(1500*time.Millisecond, nil)
			require.Less(t, u.Health(u.now), 0.85)
			require.Greater(t, u.answer(), answer/3)
			u.factor, u.outcome = func(int) float64 { return 1 }, outcome
			for _, r := range u.requests {
				u.Cancel(r.token)
			}
			u.requests = nil
			u.run(2*time.Second, nil)
			require.Greater(t, u.Health(u.now), 0.9)
		})
	}
}

// Guards against a class with long requests that makes an upstream look slow when more of
// its requests come.
func TestClassesOfDifferentLength(t *testing.T) {
	e := capacity.New(capacity.Config{Slots: 3})
	order := intent.Class{Priority: 1, Kind: intent.NonIdempotent}
	now := time.Unix(1_000_000, 0)
	request := func(class intent.Class, taken time.Duration) {
		token := e.Begin(now, class)
		now = now.Add(taken)
		e.End(now, token, capacity.Answered)
	}
	for range 300 {
		request(feed, 10*time.Millisecond)
		request(order, 40*time.Millisecond)
	}
	require.InDelta(t, 20, e.ExpectedAnswer(now, 0).Milliseconds(), 4)
	require.InDelta(t, 1, e.Health(now), 0.01)
	mixed := e.ExpectedAnswer(now, 2)
	require.Greater(t, e.ExpectedAnswer(now, 5), mixed)
}
