// Package retry decides whether and when a failed request is sent again. It
// reads no clock and takes randomness from the caller, so that decisions can
// be replayed. docs/decisions/retries.md states why it works like this.
package retry

import (
	"math"
	"math/rand/v2"
	"time"
)

// Budget bounds retries to a ratio of requests. It is not safe for concurrent
// use. Tokens are counted in thousandths, because sums of a float64 ratio such
// as 0.1 stay just below one token.
type Budget struct {
	ratio    int64
	capacity int64
	tokens   int64
}

const token = 1000

// NewBudget returns a budget in which each request earns ratio tokens and each
// retry costs one. It starts full with capacity tokens, which is also the most
// it holds, so that the first requests of a process can be retried.
func NewBudget(ratio, capacity float64) *Budget {
	full := thousandths(capacity)
	return &Budget{ratio: thousandths(ratio), capacity: full, tokens: full}
}

func thousandths(v float64) int64 { return int64(math.Round(max(v, 0) * token)) }

// Request records a request that is not a retry.
func (b *Budget) Request() { b.tokens = min(b.tokens+b.ratio, b.capacity) }

// Withdraw takes the token of one retry and reports whether there was one.
func (b *Budget) Withdraw() bool {
	if b.tokens < token {
		return false
	}
	b.tokens -= token
	return true
}

// Backoff is exponential with full jitter.
type Backoff struct {
	Base time.Duration
	Max  time.Duration
}

// Ceiling returns the longest delay before the given retry, counted from 0.
func (b Backoff) Ceiling(retry int) time.Duration {
	d := b.Base
	for range retry {
		if d >= b.Max/2 {
			return b.Max
		}
		d *= 2
	}
	return min(d, b.Max)
}

// Delay returns a uniformly distributed delay from 0 up to the ceiling.
func (b Backoff) Delay(retry int, rng *rand.Rand) time.Duration {
	ceiling := b.Ceiling(retry)
	if ceiling <= 0 {
		return 0
	}
	return time.Duration(rng.Int64N(int64(ceiling) + 1))
}

// Verdict says what to do after a failed attempt.
type Verdict string

// The verdicts.
const (
	// Retry: wait, then send the request again.
	Retry Verdict = "again"
	// NoBudget: other requests have used up the retries.
	NoBudget Verdict = "retry budget is used up"
	// NoTime: the wait and the shortest useful attempt end after the deadline.
	NoTime Verdict = "deadline leaves no time for a retry"
)

// Decision is a verdict with the wait before the next attempt.
type Decision struct {
	Verdict Verdict
	Wait    time.Duration
}

// Policy decides on retries.
type Policy struct {
	Budget  *Budget
	Backoff Backoff
	// MinAttempt is the shortest time in which an attempt can succeed. A retry
	// that would have less is not sent, because it only adds load.
	MinAttempt time.Duration
}

// Next decides after the given number of retries have failed, counted from 0.
// A zero deadline means that there is none. The token is taken only if the
// retry will be sent.
func (p *Policy) Next(retries int, now, deadline time.Time, rng *rand.Rand) Decision {
	wait := p.Backoff.Delay(retries, rng)
	if !deadline.IsZero() && now.Add(wait+p.MinAttempt).After(deadline) {
		return Decision{Verdict: NoTime}
	}
	if !p.Budget.Withdraw() {
		return Decision{Verdict: NoBudget}
	}
	return Decision{Verdict: Retry, Wait: wait}
}
