package health

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// step is one second of an upstream's life: "+" a probe that succeeds, "-" one
// that fails, "." none; "a" the upstream accepts an opening, "r" resets one.
func play(script string) (*Evaluator, time.Time) {
	r, now, seen := New(Settings{}), time.Unix(1000, 0), OpeningCounters{}
	for _, step := range script {
		switch step {
		case '+', '-':
			now = now.Add(time.Second)
			r.HandleProbe(now, Probe{OK: step == '+'})
		case '.':
			now = now.Add(time.Second)
		case 'a':
			seen.Accepted++
			r.HandleCounters(now, seen)
		case 'r':
			seen.Resets++
			r.HandleCounters(now, seen)
		}
	}
	return r, now
}

// Guards against ratings that flap on a single result, that follow a lying or
// silent endpoint against what the data path shows, and that never change.
func TestRate(t *testing.T) {
	for _, test := range []struct {
		name, script string
		want         Status
	}{
		{"no result", "...", Unknown},
		{"one success is too few", "+", Unknown},
		{"rises after two", "++", Healthy},
		{"one failure does not count", "++-", Healthy},
		{"failures in turn with successes do not count", "++-+-+-+--", Healthy},
		{"falls after three", "++---", Unhealthy},
		{"one success does not rise again", "++---+", Unhealthy},
		{"rises again after two", "++---++", Healthy},
		{"endpoint lies that it is down", "++---a", Degraded},
		{"evidence ages", "++---a---", Unhealthy},
		{"endpoint lies that it is up", "++rrr", Unhealthy},
		{"few resets are the caller's", "++rr", Healthy},
		{"resets between accepted openings", "++rararara", Healthy},
		{"resets age", "++rrr+++", Healthy},
		{"stale success", "++..........", Degraded},
		{"stale failure", "++---..........", Unhealthy},
		{"stale failure, accepts openings", "++---..........a", Degraded},
		{"successes far apart do not add up", "+..........+", Unknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			r, now := play(test.script)
			require.Equal(t, test.want, r.Evaluate(now).Status, r.Evaluate(now).Reason)
		})
	}
}

// Guards against load reports that cannot be true or are too old steering the
// placement, and an upstream that calls itself cold for ever.
func TestLoad(t *testing.T) {
	r, now := play("++")
	r.HandleProbe(now, Probe{OK: true, Load: &Load{Busy: 2, Slots: 7, Shedding: true, WarmUp: time.Hour}})
	r.HandleProbe(now, Probe{OK: true, Load: &Load{Busy: 9, Slots: 7}})
	r.HandleProbe(now, Probe{OK: true, Load: &Load{Busy: -1}})
	rating := r.Evaluate(now)
	require.Equal(t, &Load{Busy: 2, Slots: 7, Shedding: true, WarmUp: time.Hour}, rating.Load)
	require.Equal(t, now.Add(maxCold), rating.WarmUpUntil)
	require.Nil(t, r.Evaluate(now.Add(10*time.Second)).Load)
}
