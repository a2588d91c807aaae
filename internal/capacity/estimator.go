// Package capacity learns how much work an upstream takes well: how long it needs for a
// request, how that grows with the requests in progress, and which share of its requests
// ends badly. It decides without network, clock or randomness of its own.
//
// docs/design/capacity.md compares the design options.
package capacity

import (
	"math"
	"time"

	"bramleyhold.example/bramleyhold/internal/intent"
)

const (
	// sampleWeight is the weight of a sample in the mean of the answer time while samples
	// arrive often. Some ten requests then show a change.
	sampleWeight = 0.12
	// sampleLifetime is the time after which an earlier mean counts for 1/e only. With
	// rare samples each one therefore weighs more, up to maxSampleWeight.
	sampleLifetime  = time.Second
	maxSampleWeight = 0.5
	// healthWeight is the weight of a request in the share of those that end well while
	// requests end often, maxHealthWeight that of one that ends after a long time without.
	healthWeight    = 0.12
	maxHealthWeight = 0.18
	// minHealth bounds the health from below, so that an upstream that has failed all of
	// its requests needs no more good ends than one that has failed many.
	minHealth = 0.45
	// classWeight is the weight of a sample in the usual time of a class compared with the
	// others of the upstream.
	classWeight = 0.02
	// minSamples is the number of samples before an expected answer is stated.
	minSamples = 8
	// earlyFraction is the fraction of the usual time of a class below which an answer
	// counts as a bad end: an upstream that only returns errors is not a fast one.
	earlyFraction = 1.0 / 12
	// earlyWeight is the weight of such an answer in the mean of the answer time, which
	// must follow an upstream that has become fast for good.
	earlyWeight = 0.005
	// usualWeight is the weight of a sample in the usual answer time.
	usualWeight = 0.01
	// silenceMultiple is the multiple of the expected time, and minSilence the least time,
	// after which a request without an answer counts as a bad end.
	silenceMultiple = 10
	minSilence      = 150 * time.Millisecond
	// minAnswer is the least time that a sample counts as.
	minAnswer = 50 * time.Microsecond
	// maxClasses bounds the classes that are told apart.
	maxClasses = 16
)

// Outcome is how a request ended.
type Outcome uint8

// The outcomes.
const (
	// Answered: the first data of the answer has arrived.
	Answered Outcome = iota
	// Failed: the upstream has reset or closed the flow without data.
	Failed
	// Silent: no answer has arrived for as long as the caller may wait.
	Silent
)

// Config holds the settings of an estimator.
type Config struct {
	// Slots is the number of requests that the upstream states that it works on at once.
	Slots int
}

// Token identifies a request in progress. Zero is none.
type Token uint32

type request struct {
	class intent.Class
	// startedAt is when the last data of the request arrived.
	startedAt time.Time
	// concurrency is the number of requests in progress at its start, itself included.
	concurrency int
	// silent is set once it has counted as a bad end.
	silent bool
}

// Estimator learns from the requests of one upstream. It is not safe for concurrent use.
//
// Load pattern: upstreams of one service differ in speed by a factor of three, some slow
// down before their slots are full, some turn five times as slow for seconds, and some
// reset flows or stay silent while their health endpoint reports them well.
type Estimator struct {
	slots     int
	requests  map[Token]*request
	lastToken Token
	// samples is the number of answer times so far, the last one at sampledAt.
	samples   int
	sampledAt time.Time
	// meanLog is the recent mean of the logarithm of the answer time in seconds, without
	// the usual deviations of the classes, and usualLog its mean over a longer time.
	meanLog, usualLog float64
	// classLogs has the usual deviation of each class, mixLog their recent mean.
	classLogs map[intent.Class]float64
	mixLog    float64
	// meanConcurrency is the recent mean of the requests in progress at the start of one.
	meanConcurrency float64
	search          limitSearch
	// health is the recent share of requests that ended well.
	health float64
	// endedAt is when the last request was added to it.
	endedAt time.Time
}

// New returns an estimator without samples.
func New(cfg Config) *Estimator {
	return &Estimator{slots: cfg.Slots, requests: map[Token]*request{}, classLogs: map[intent.Class]float64{}, health: 1}
}

// SetSlots replaces the stated slots.
func (e *Estimator) SetSlots(slots int) { e.slots = slots }

// Begin records that a request has begun.
func (e *Estimator) Begin(now time.Time, class intent.Class) Token {
	e.noteSilence(now)
	e.lastToken++
	if e.lastToken == 0 {
		e.lastToken++
	}
	e.requests[e.lastToken] = &request{class: class, startedAt: now, concurrency: len(e.requests) + 1}
	return e.lastToken
}

// Continue records further data of a request that has begun. The upstream cannot answer
// before it has all of it.
func (e *Estimator) Continue(now time.Time, token Token) {
	if r := e.requests[token]; r != nil {
		r.startedAt = now
	}
}

// Cancel forgets a request whose end says nothing about the upstream.
func (e *Estimator) Cancel(token Token) { delete(e.requests, token) }

// End records the end of a request.
func (e *Estimator) End(now time.Time, token Token, outcome Outcome) {
	e.noteSilence(now)
	r := e.requests[token]
	if r == nil {
		return
	}
	delete(e.requests, token)
	if outcome != Answered {
		if !r.silent {
			e.addEnd(now, false)
		}
		return
	}
	answerLog := e.serviceLog(now, r)
	if e.samples >= minSamples && answerLog < e.expectedLog(r.class)+math.Log(earlyFraction) {
		e.addEnd(now, false)
		e.meanLog += earlyWeight * (answerLog - e.expectedLog(r.class))
		return
	}
	if !r.silent {
		e.addEnd(now, true)
	}
	e.addSample(now, r, answerLog)
}

// serviceLog returns the logarithm of the time that a request has taken, without the
// expected share of its wait for a slot.
func (e *Estimator) serviceLog(now time.Time, r *request) float64 {
	taken := max(now.Sub(r.startedAt), minAnswer).Seconds()
	if waiting := r.concurrency - e.slots; e.slots > 0 && waiting > 0 {
		taken /= 1 + float64(waiting)/float64(e.slots)
	}
	return math.Log(taken)
}

func (e *Estimator) expectedLog(class intent.Class) float64 { return e.meanLog + e.classLogs[class] }

// addEnd adds a request to the share of those that end well.
func (e *Estimator) addEnd(now time.Time, well bool) {
	target := 0.0
	if well {
		target = 1
	}
	e.health += weightAfter(now.Sub(e.endedAt), healthWeight, maxHealthWeight) * (target - e.health)
	e.health = max(e.health, minHealth)
	e.endedAt = now
}

// weightAfter returns the weight of a sample that comes after a time without one.
func weightAfter(age time.Duration, least, most float64) float64 {
	return min(max(least, 1-math.Exp(-float64(age)/float64(sampleLifetime))), most)
}

// noteSilence counts the requests that have had no answer for far longer than usual.
func (e *Estimator) noteSilence(now time.Time) {
	if e.samples < minSamples {
		return
	}
	for _, r := range e.requests {
		limit := time.Duration(silenceMultiple * float64(time.Second) * math.Exp(e.expectedLog(r.class)))
		if waiting := r.concurrency - e.slots; e.slots > 0 && waiting > 0 {
			limit += limit * time.Duration(waiting) / time.Duration(e.slots)
		}
		if r.silent || now.Sub(r.startedAt) < max(limit, minSilence) {
			continue
		}
		r.silent = true
		e.addEnd(now, false)
	}
}

// addSample adds the logarithm of an answer time.
func (e *Estimator) addSample(now time.Time, r *request, answerLog float64) {
	weight := sampleWeight
	if e.samples > 0 {
		weight = weightAfter(now.Sub(e.sampledAt), sampleWeight, maxSampleWeight)
	}
	e.samples++
	e.sampledAt = now
	weight = max(weight, 1/float64(e.samples))
	relative := answerLog - e.classLogs[r.class]
	deviation := relative - e.meanLog
	e.meanLog += weight * deviation
	e.usualLog += max(usualWeight, 1/float64(e.samples)) * (relative - e.usualLog)
	e.meanConcurrency += weight * (float64(r.concurrency) - e.meanConcurrency)
	if _, known := e.classLogs[r.class]; known || len(e.classLogs) < maxClasses {
		e.classLogs[r.class] += classWeight * deviation
	}
	e.mixLog += sampleWeight * (e.classLogs[r.class] - e.mixLog)
	if e.Known() {
		e.search.addSample(now, r, relative, e)
	}
}

// Limit returns the number of requests up to which more work brings more answers, never
// more than the stated slots.
func (e *Estimator) Limit(now time.Time) int { return e.search.current(now, e.slots) }

// Known reports whether there are enough samples to state an expected answer.
func (e *Estimator) Known() bool { return e.samples >= minSamples }

// ExpectedAnswer returns the expected time of the answer to the next request while the
// given number of requests is in progress, or 0 while there are too few samples.
func (e *Estimator) ExpectedAnswer(now time.Time, inProgress int) time.Duration {
	if !e.Known() {
		return 0
	}
	limit := max(e.Limit(now), 1)
	seconds := math.Exp(e.meanLog + e.mixLog)
	if waiting := inProgress + 1 - limit; waiting > 0 {
		seconds *= 1 + float64(waiting)/float64(limit)
	}
	return time.Duration(seconds * float64(time.Second))
}

// Health returns the recent share of requests that ended well, from minHealth to 1.
func (e *Estimator) Health(now time.Time) float64 {
	e.noteSilence(now)
	return e.health
}

// RecentAnswer returns the recent mean time of an answer, without the wait for a slot, or
// 0 while there are too few samples.
func (e *Estimator) RecentAnswer() time.Duration {
	if !e.Known() {
		return 0
	}
	return time.Duration(math.Exp(e.meanLog+e.mixLog) * float64(time.Second))
}

// Evidence returns the number of samples and the time since the last one.
func (e *Estimator) Evidence(now time.Time) (samples int, age time.Duration) {
	if e.samples == 0 {
		return 0, 0
	}
	return e.samples, now.Sub(e.sampledAt)
}
