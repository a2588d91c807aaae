// Package retry decides whether and when a failed request is retried. The current time
// and the random source are parameters, so that tests can reproduce the decisions.
// docs/decisions/retries.md gives the reasons for the design.
package retry

import (
	"math"
	"math/rand/v2"
	"time"
)

// Budget is a token bucket that limits retries to a ratio of the requests. It is not
// safe for concurrent use. It counts thousandths of a token (millitokens) as integers,
// because rounding errors keep the sum of ten float64 ratios of 0.1 just below one
// token.
type Budget struct {
	millitokensPerRequest int64
	maxMillitokens        int64
	millitokens           int64
}

const millitokensPerToken = 1000

// NewBudget returns a budget in which each request earns ratio tokens and each retry
// costs one token. The budget holds at most capacity tokens. It starts full, so that
// the first requests of a process can be retried.
func NewBudget(ratio, capacity float64) *Budget {
	maxMillitokens := toMillitokens(capacity)
	return &Budget{millitokensPerRequest: toMillitokens(ratio), maxMillitokens: maxMillitokens, millitokens: maxMillitokens}
}

func toMillitokens(tokens float64) int64 {
	return int64(math.Round(max(tokens, 0) * millitokensPerToken))
}

// RecordRequest adds the tokens that a request earns, up to the capacity. It must not
// be called for a retry.
func (b *Budget) RecordRequest() {
	b.millitokens = min(b.millitokens+b.millitokensPerRequest, b.maxMillitokens)
}

// TakeToken removes the token for one retry from the budget. It returns false if the
// budget holds less than one token.
func (b *Budget) TakeToken() bool {
	if b.millitokens < millitokensPerToken {
		return false
	}
	b.millitokens -= millitokensPerToken
	return true
}

// Backoff is an exponential backoff with full jitter.
type Backoff struct {
	// Base is the longest delay before the first retry. It doubles with each retry, up
	// to Max.
	Base time.Duration
	Max  time.Duration
}

// MaxDelay returns the longest delay before a retry. The first retry has number 0.
func (b Backoff) MaxDelay(retry int) time.Duration {
	delay := b.Base
	for range retry {
		if delay >= b.Max/2 {
			return b.Max
		}
		delay *= 2
	}
	return min(delay, b.Max)
}

// Delay returns a uniformly distributed delay between 0 and MaxDelay.
func (b Backoff) Delay(retry int, rng *rand.Rand) time.Duration {
	maxDelay := b.MaxDelay(retry)
	if maxDelay <= 0 {
		return 0
	}
	return time.Duration(rng.Int64N(int64(maxDelay) + 1))
}

// Outcome is the result of a decision after a failed attempt.
type Outcome string

// The possible outcomes.
const (
	// Retry means that the request is sent again after the delay.
	Retry Outcome = "again"
	// BudgetExhausted means that the budget has no token for another retry.
	BudgetExhausted Outcome = "retry budget is used up"
	// DeadlineTooClose means that the delay and the shortest useful attempt would end
	// after the deadline.
	DeadlineTooClose Outcome = "deadline leaves no time for a retry"
)

// Decision is an outcome and the delay before the next attempt. The delay is set only
// if the outcome is Retry.
type Decision struct {
	Outcome Outcome
	Delay   time.Duration
}

// Policy decides whether and when failed requests are retried.
type Policy struct {
	Budget  *Budget
	Backoff Backoff
	// MinAttempt is the shortest time in which an attempt can succeed. A retry with
	// less time before the deadline is not sent, because it would only add load.
	MinAttempt time.Duration
}

// Next decides whether a request is retried after an attempt has failed.
// failedRetries is the number of its retries so far. A zero deadline means that
// there is none. Next takes a token only if the outcome is Retry.
func (p *Policy) Next(failedRetries int, now, deadline time.Time, rng *rand.Rand) Decision {
	delay := p.Backoff.Delay(failedRetries, rng)
	if !deadline.IsZero() && now.Add(delay+p.MinAttempt).After(deadline) {
		return Decision{Outcome: DeadlineTooClose}
	}
	if !p.Budget.TakeToken() {
		return Decision{Outcome: BudgetExhausted}
	}
	return Decision{Outcome: Retry, Delay: delay}
}
