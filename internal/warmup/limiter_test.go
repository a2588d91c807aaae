package warmup_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bramleyhold.example/bramleyhold/internal/warmup"
)

const (
	overshoot = 1.5
	slack     = 5
)

var start = time.Unix(1_000_000, 0)

func newLimiter(rate float64, duration time.Duration) *warmup.Limiter {
	l := warmup.NewLimiter(warmup.Config{Overshoot: overshoot, Slack: slack})
	l.SetRate(rate)
	l.SetDuration(start, duration)
	return l
}

// Guards against more openings at a cold upstream than its bound in any second, whatever
// the order of openings, copies, pauses, restarts of the agent, signs of a restart of the
// upstream and changes of the rate. Pauses are not counted by the clock of the agent.
func TestBoundHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.1, 60).Draw(t, "rate")
		l := newLimiter(rate, 2*time.Second)
		clock, paused := start, time.Duration(0)
		l.AssumeFull(clock)
		l.Report(clock, time.Hour, true)
		var delivered []time.Time
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			clock = clock.Add(time.Duration(rapid.IntRange(0, 120).Draw(t, "ms")) * time.Millisecond)
			admitted := false
			switch rapid.IntRange(0, 19).Draw(t, "step") {
			case 0:
				rate = rapid.Float64Range(0.1, 60).Draw(t, "new rate")
				l.SetRate(rate)
			case 1:
				paused += time.Duration(rapid.IntRange(1, 3000).Draw(t, "pause ms")) * time.Millisecond
			case 2:
				l = newLimiter(rate, 2*time.Second)
				l.AssumeFull(clock)
				l.Report(clock, time.Hour, false)
			case 3:
				l.Unanswered(clock)
			case 4:
				l.Answered(clock)
			case 5:
				l.SetDuration(clock, time.Duration(rapid.IntRange(0, 9).Draw(t, "duration"))*time.Second)
			case 6:
				l.RecordRequest(clock)
			case 7, 8, 9:
				admitted = l.AdmitsCopy(clock)
			default:
				admitted = l.Admits(clock)
			}
			if !admitted {
				continue
			}
			l.RecordOpening(clock)
			at, count := clock.Add(paused), 1
			for _, earlier := range delivered {
				if at.Sub(earlier) <= time.Second {
					count++
				}
			}
			delivered = append(delivered, at)
			if bound := rate*overshoot + slack; float64(count) > bound {
				t.Fatalf("%d openings within a second, bound %.1f", count, bound)
			}
		}
	})
}

// serve offers an opening every millisecond and returns the number admitted.
func serve(l *warmup.Limiter, from time.Time, span time.Duration) int {
	admitted := 0
	for at := from; at.Before(from.Add(span)); at = at.Add(time.Millisecond) {
		if l.Admits(at) {
			l.RecordOpening(at)
			admitted++
		}
	}
	return admitted
}

// Guards against a cold upstream that gets less than it bears, or all of a second's
// openings at once.
func TestRateIsUsedEvenly(t *testing.T) {
	for _, rate := range []float64{0.5, 1, 2.5, 20, 200} {
		l := newLimiter(rate, 20*time.Second)
		l.Report(start, 20*time.Second, true)
		first := serve(l, start, 250*time.Millisecond)
		require.LessOrEqual(t, first, int(math.Ceil(rate/4)), "rate %g", rate)
		total := first + serve(l, start.Add(250*time.Millisecond), 9750*time.Millisecond)
		require.InDelta(t, math.Floor(max(rate, 1))*10*min(rate, 1), total, max(rate, 1), "rate %g", rate)
	}
}

// Requests on open flows use what the upstream bears. They must not keep out all
// openings, because they cannot be refused.
func TestRequestsOnOpenFlowsCount(t *testing.T) {
	l := newLimiter(20, 20*time.Second)
	l.Report(start, 20*time.Second, true)
	for i := range 10 {
		l.RecordRequest(start.Add(time.Duration(i) * time.Millisecond))
	}
	require.LessOrEqual(t, serve(l, start.Add(10*time.Millisecond), 900*time.Millisecond), 10)
	for i := range 1000 {
		l.RecordRequest(start.Add(3*time.Second + time.Duration(i)*time.Millisecond))
	}
	require.Equal(t, 5, serve(l, start.Add(4*time.Second), 700*time.Millisecond))
}

// Guards against a jump at the end of the warm-up: all openings that were refused or
// waited would reach the upstream at once.
func TestRateRisesAfterWarmUp(t *testing.T) {
	l := newLimiter(10, time.Second)
	l.Report(start, time.Second, true)
	serve(l, start, time.Second)
	previous := 2
	for i := range 4 {
		admitted := serve(l, start.Add(time.Second+time.Duration(i)*250*time.Millisecond), 250*time.Millisecond)
		require.LessOrEqual(t, admitted, 2*previous+3, "quarter %d", i)
		require.GreaterOrEqual(t, admitted, previous, "quarter %d", i)
		previous = admitted
	}
	require.Equal(t, warmup.Warm, l.Phase(start.Add(2*time.Second)))
	require.Equal(t, 100, serve(l, start.Add(2*time.Second), 100*time.Millisecond))
}

// A predecessor may have used the whole bound just before this process started.
func TestUnknownOpeningsOfPredecessor(t *testing.T) {
	l := newLimiter(20, 20*time.Second)
	l.AssumeFull(start)
	l.Report(start, 20*time.Second, false)
	require.Zero(t, serve(l, start, time.Second))
	require.NotZero(t, serve(l, start.Add(time.Second), 200*time.Millisecond))

	l.AssumeFull(start.Add(5 * time.Second))
	l.NoneBefore()
	require.NotZero(t, serve(l, start.Add(5*time.Second), 200*time.Millisecond), "the upstream has just started")
}

// A new rate must bind from the next opening on, whether it is lower or higher.
func TestChangedTermsTakeEffectAtOnce(t *testing.T) {
	l := newLimiter(40, 2*time.Second)
	l.Report(start, 2*time.Second, true)
	require.Greater(t, serve(l, start, time.Second), 30)
	l.SetRate(4)
	require.Zero(t, serve(l, start.Add(time.Second), 500*time.Millisecond), "the window has more than the new rate allows")
	l.SetDuration(start.Add(1500*time.Millisecond), 4*time.Second)
	require.Equal(t, warmup.Cold, l.Phase(start.Add(3900*time.Millisecond)))
	require.Equal(t, 4, serve(l, start.Add(2500*time.Millisecond), time.Second))
	l.SetRate(40)
	require.Equal(t, 10, serve(l, start.Add(3600*time.Millisecond), 200*time.Millisecond))
	l.SetRate(0)
	require.Equal(t, 100, serve(l, start.Add(3800*time.Millisecond), 100*time.Millisecond), "no rate is stated")
}

// While the rate is unknown, a cold upstream may only get what no rate forbids.
func TestUnknownRate(t *testing.T) {
	l := warmup.NewLimiter(warmup.Config{Overshoot: overshoot, Slack: slack, RateUnknownUntil: start.Add(2 * time.Second)})
	l.Report(start, time.Minute, true)
	require.Equal(t, slack, serve(l, start, 990*time.Millisecond))
	require.Equal(t, 100, serve(l, start.Add(2*time.Second), 100*time.Millisecond))

	l = warmup.NewLimiter(warmup.Config{Overshoot: overshoot, Slack: slack, AwaitsRate: true})
	l.Report(start, time.Minute, true)
	require.Equal(t, slack, serve(l, start.Add(30*time.Second), 990*time.Millisecond))
	l.SetRate(0)
	require.Equal(t, 100, serve(l, start.Add(31*time.Second), 100*time.Millisecond), "none is stated")
}

// Guards against an upstream that is treated as warm because its last report is older
// than the event that made it cold, or as cold for ever.
func TestBelief(t *testing.T) {
	const ms = time.Millisecond
	for name, test := range map[string]struct {
		events func(l *warmup.Limiter)
		at     time.Duration
		want   warmup.Phase
	}{
		"never reported":               {func(*warmup.Limiter) {}, 0, warmup.Warm},
		"reports that it is warm":      {func(l *warmup.Limiter) { l.Report(start, 0, true) }, 0, warmup.Warm},
		"reported remainder":           {func(l *warmup.Limiter) { l.Report(start, 700*ms, false) }, 699 * ms, warmup.Cold},
		"after the reported remainder": {func(l *warmup.Limiter) { l.Report(start, 700*ms, false) }, 700 * ms, warmup.Ramp},
		"presumed":                     {func(l *warmup.Limiter) { l.Presume(start) }, 1999 * ms, warmup.Cold},
		"presumed, never reported":     {func(l *warmup.Limiter) { l.Presume(start) }, 3 * time.Second, warmup.Warm},
		"report from before": {func(l *warmup.Limiter) {
			l.Presume(start)
			l.Report(start.Add(900*ms), 0, false)
		}, 1500 * ms, warmup.Cold},
		"report from after": {func(l *warmup.Limiter) {
			l.Presume(start)
			l.Report(start.Add(1000*ms), 0, false)
		}, 1000 * ms, warmup.Warm},
		"new process is warm": {func(l *warmup.Limiter) {
			l.Presume(start)
			l.Report(start.Add(ms), 0, true)
		}, 10 * ms, warmup.Warm},
		"does not answer": {func(l *warmup.Limiter) { l.Unanswered(start) }, time.Minute, warmup.Cold},
		"answers again": {func(l *warmup.Limiter) {
			l.Unanswered(start)
			l.Answered(start.Add(time.Minute))
		}, time.Minute + 1999*ms, warmup.Cold},
		"answers": {func(l *warmup.Limiter) { l.Answered(start) }, 0, warmup.Warm},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLimiter(20, 2*time.Second)
			test.events(l)
			require.Equal(t, test.want, l.Phase(start.Add(test.at)))
		})
	}
}

// Guards against a deployment without a bound for cold upstreams that gets no openings for
// two seconds after all agents and upstreams have started together.
func TestNoBoundMeansNoLimit(t *testing.T) {
	l := warmup.NewLimiter(warmup.Config{RateUnknownUntil: start.Add(2 * time.Second), AwaitsRate: true})
	l.AssumeFull(start)
	l.Report(start, 2*time.Second, true)
	require.Equal(t, warmup.Cold, l.Phase(start))
	for range 100 {
		require.True(t, l.Admits(start))
		l.RecordOpening(start)
	}
}
