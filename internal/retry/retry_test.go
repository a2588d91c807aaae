package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func newSeededRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// Beyond the initial capacity, retries must stay within the ratio of the requests.
// Otherwise retries would multiply the load of a failing service.
func TestBudget(t *testing.T) {
	for name, c := range map[string]struct {
		ratio, capacity       float64
		requests, wantRetries int
	}{
		"only the initial capacity":     {0, 3, 1000, 3},
		"a tenth of the requests":       {0.1, 1, 1000, 100},
		"no capacity and no ratio":      {0, 0, 1000, 0},
		"capacity below one retry":      {1, 0.9, 1000, 0},
		"negative values count as zero": {-1, -1, 1000, 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := NewBudget(c.ratio, c.capacity)
			retries := 0
			for range c.requests {
				b.RecordRequest()
				for b.TakeToken() {
					retries++
				}
			}
			require.InDelta(t, c.wantRetries, retries, 1)
		})
	}
}

// The tokens must not exceed the capacity. Otherwise they would accumulate without
// limit while no request fails.
func TestBudgetIsCapped(t *testing.T) {
	b := NewBudget(0.5, 2)
	for range 100 {
		b.RecordRequest()
	}
	require.True(t, b.TakeToken())
	require.True(t, b.TakeToken())
	require.False(t, b.TakeToken())
}

// The maximum delay must double with each retry up to Max, without overflow. Delays must
// stay within the maximum and must be jittered.
func TestBackoff(t *testing.T) {
	for name, c := range map[string]struct {
		backoff  Backoff
		retry    int
		maxDelay time.Duration
	}{
		"first":               {Backoff{100, 1000}, 0, 100},
		"doubles":             {Backoff{100, 1000}, 3, 800},
		"capped":              {Backoff{100, 1000}, 4, 1000},
		"no overflow":         {Backoff{time.Hour, 1 << 62}, 1 << 20, 1 << 62},
		"base above max":      {Backoff{2000, 1000}, 0, 1000},
		"zero means no delay": {Backoff{}, 5, 0},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.maxDelay, c.backoff.MaxDelay(c.retry))
			rng := newSeededRand()
			var sum float64
			const draws = 2000
			for range draws {
				delay := c.backoff.Delay(c.retry, rng)
				require.GreaterOrEqual(t, delay, time.Duration(0))
				require.LessOrEqual(t, delay, c.maxDelay)
				sum += float64(delay)
			}
			// The mean delay with full jitter is half of the maximum.
			require.InDelta(t, float64(c.maxDelay)/2, sum/draws, float64(c.maxDelay)/20)
		})
	}
}

// A retry that cannot finish before the deadline must not be sent. A token must not be
// taken for a retry that is not sent.
func TestPolicy(t *testing.T) {
	now := time.Unix(1000, 0)
	newPolicy := func(tokens float64) *Policy {
		return &Policy{Budget: NewBudget(0, tokens), Backoff: Backoff{Base: 0, Max: 0}, MinAttempt: time.Second}
	}
	for name, c := range map[string]struct {
		tokens    float64
		deadline  time.Time
		outcome   Outcome
		tokenLeft bool
	}{
		"no deadline":         {1, time.Time{}, Retry, false},
		"deadline far off":    {1, now.Add(time.Minute), Retry, false},
		"just enough time":    {1, now.Add(time.Second), Retry, false},
		"too little time":     {1, now.Add(time.Second - 1), DeadlineTooClose, true},
		"deadline has passed": {1, now.Add(-time.Second), DeadlineTooClose, true},
		"no token":            {0, now.Add(time.Minute), BudgetExhausted, false},
	} {
		t.Run(name, func(t *testing.T) {
			policy := newPolicy(c.tokens)
			require.Equal(t, c.outcome, policy.Next(0, now, c.deadline, newSeededRand()).Outcome)
			require.Equal(t, c.tokenLeft, policy.Budget.TakeToken())
		})
	}
}
