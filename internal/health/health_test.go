package health

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// runScript passes a sequence of events to a new evaluator. "+" is a second with a
// probe that succeeds, "-" one with a probe that fails, "." one without a probe. "a"
// is an opening that the upstream accepts, "r" one that it resets.
func runScript(script string) (*Evaluator, time.Time) {
	evaluator, now, counters := New(Settings{}), time.Unix(1000, 0), OpeningCounters{}
	for _, step := range script {
		switch step {
		case '+', '-':
			now = now.Add(time.Second)
			evaluator.HandleProbe(now, Probe{OK: step == '+'})
		case '.':
			now = now.Add(time.Second)
		case 'a':
			counters.Accepted++
			evaluator.HandleCounters(now, counters)
		case 'r':
			counters.Resets++
			evaluator.HandleCounters(now, counters)
		}
	}
	return evaluator, now
}

// A single result must not change the status. Openings in the data path take
// precedence over an endpoint that reports a wrong status or does not respond. Both
// kinds of evidence must expire.
func TestEvaluate(t *testing.T) {
	for _, test := range []struct {
		name, script string
		want         Status
	}{
		{"no result", "...", Unknown},
		{"one success is too few", "+", Unknown},
		{"rises after two", "++", Healthy},
		{"one failure does not count", "++-", Healthy},
		{"alternating failures and successes do not count", "++-+-+-+--", Healthy},
		{"falls after three", "++---", Unhealthy},
		{"one success does not rise again", "++---+", Unhealthy},
		{"rises again after two", "++---++", Healthy},
		{"endpoint reports down, openings are accepted", "++---a", Degraded},
		{"accepted opening expires", "++---a---", Unhealthy},
		{"endpoint reports up, openings are reset", "++rrr", Unhealthy},
		{"two resets do not count, callers can cause them", "++rr", Healthy},
		{"resets between accepted openings", "++rararara", Healthy},
		{"resets expire", "++rrr+++", Healthy},
		{"stale success", "++..........", Degraded},
		{"stale failure", "++---..........", Unhealthy},
		{"stale failure, accepts openings", "++---..........a", Degraded},
		{"stale success starts a new streak", "+..........+", Unknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			evaluator, now := runScript(test.script)
			require.Equal(t, test.want, evaluator.Evaluate(now).Status, evaluator.Evaluate(now).Reason)
		})
	}
}

// Inconsistent and stale load reports must not influence placement. The warm-up that
// an upstream reports must be bounded.
func TestLoadReports(t *testing.T) {
	evaluator, now := runScript("++")
	evaluator.HandleProbe(now, Probe{OK: true, Load: &Load{Busy: 2, Slots: 7, Shedding: true, WarmUp: time.Hour}})
	evaluator.HandleProbe(now, Probe{OK: true, Load: &Load{Busy: 9, Slots: 7}})
	evaluator.HandleProbe(now, Probe{OK: true, Load: &Load{Busy: -1}})
	evaluation := evaluator.Evaluate(now)
	require.Equal(t, &Load{Busy: 2, Slots: 7, Shedding: true, WarmUp: time.Hour}, evaluation.Load)
	require.Equal(t, now.Add(maxWarmUp), evaluation.WarmUpUntil)
	require.Nil(t, evaluator.Evaluate(now.Add(10*time.Second)).Load)
}
