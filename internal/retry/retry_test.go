package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func seeded() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// Guards against retries that multiply the load of a failing service: beyond
// the initial capacity they stay within the ratio of requests.
func TestBudget(t *testing.T) {
	for name, c := range map[string]struct {
		ratio, capacity float64
		requests, want  int
	}{
		"only the initial capacity":  {0, 3, 1000, 3},
		"a tenth of the requests":    {0.1, 1, 1000, 100},
		"no capacity and no ratio":   {0, 0, 1000, 0},
		"capacity below one retry":   {1, 0.9, 1000, 0},
		"negative values are zeroes": {-1, -1, 1000, 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := NewBudget(c.ratio, c.capacity)
			retries := 0
			for range c.requests {
				b.Request()
				for b.Withdraw() {
					retries++
				}
			}
			require.InDelta(t, c.want, retries, 1)
		})
	}
}

// Guards against saving up tokens without bound in quiet times.
func TestBudgetIsCapped(t *testing.T) {
	b := NewBudget(0.5, 2)
	for range 100 {
		b.Request()
	}
	require.True(t, b.Withdraw())
	require.True(t, b.Withdraw())
	require.False(t, b.Withdraw())
}

// Guards against overflow, delays above the maximum and missing jitter.
func TestBackoff(t *testing.T) {
	for name, c := range map[string]struct {
		backoff Backoff
		retry   int
		ceiling time.Duration
	}{
		"first":             {Backoff{100, 1000}, 0, 100},
		"doubles":           {Backoff{100, 1000}, 3, 800},
		"capped":            {Backoff{100, 1000}, 4, 1000},
		"no overflow":       {Backoff{time.Hour, 1 << 62}, 1 << 20, 1 << 62},
		"base above max":    {Backoff{2000, 1000}, 0, 1000},
		"zero means no gap": {Backoff{}, 5, 0},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.ceiling, c.backoff.Ceiling(c.retry))
			rng := seeded()
			var sum float64
			const draws = 2000
			for range draws {
				d := c.backoff.Delay(c.retry, rng)
				require.GreaterOrEqual(t, d, time.Duration(0))
				require.LessOrEqual(t, d, c.ceiling)
				sum += float64(d)
			}
			// Full jitter has its mean at half of the ceiling.
			require.InDelta(t, float64(c.ceiling)/2, sum/draws, float64(c.ceiling)/20)
		})
	}
}

// Guards against retries after the deadline and tokens spent on retries that
// are not sent.
func TestPolicy(t *testing.T) {
	now := time.Unix(1000, 0)
	policy := func(tokens float64) *Policy {
		return &Policy{Budget: NewBudget(0, tokens), Backoff: Backoff{Base: 0, Max: 0}, MinAttempt: time.Second}
	}
	for name, c := range map[string]struct {
		tokens   float64
		deadline time.Time
		verdict  Verdict
		left     bool
	}{
		"no deadline":       {1, time.Time{}, Retry, false},
		"deadline far off":  {1, now.Add(time.Minute), Retry, false},
		"just enough time":  {1, now.Add(time.Second), Retry, false},
		"too little time":   {1, now.Add(time.Second - 1), NoTime, true},
		"deadline has gone": {1, now.Add(-time.Second), NoTime, true},
		"no token":          {0, now.Add(time.Minute), NoBudget, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := policy(c.tokens)
			require.Equal(t, c.verdict, p.Next(0, now, c.deadline, seeded()).Verdict)
			require.Equal(t, c.left, p.Budget.Withdraw())
		})
	}
}
