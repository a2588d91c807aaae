package capacity

import (
	"math"
	"time"
)

const (
	// strainedFactor is the multiple of the usual answer time from which a lower limit is
	// tried, after strainedSamples answers in a row.
	strainedFactor  = 2.0
	strainedSamples = 8
	// trialSamples is the number of answers that a trial compares. trialTimeout ends a
	// trial without enough of them: requests on open flows are not subject to the limit.
	trialSamples = 12
	trialTimeout = time.Second
	// minTrialSlots is the number of slots from which lower limits are tried. A trial with
	// three slots takes a third of them away, when work is already waiting.
	minTrialSlots = 4
	// minTrialPause is the time between a trial and the next one. It doubles after each
	// trial without effect, up to maxTrialPause, until answers take the usual time again.
	minTrialPause = 3 * time.Second
	maxTrialPause = 24 * time.Second
	// gainMargin is the logarithm of the gain in answers by which a lower limit must be
	// better, so that chance alone rarely lowers it. lossMargin is the logarithm of the
	// loss from which a raised limit is taken back.
	gainMargin = 0.25
	lossMargin = 0.15
	// raiseInterval is how often a lowered limit is raised by one, and backOff how long it
	// stays after a raise has been taken back.
	raiseInterval = 400 * time.Millisecond
	backOff       = time.Second
)

// limitSearch finds the number of requests up to which more work brings more answers.
//
// While answers take much longer than usual it tries half of the limit. If the upstream
// then gives more answers per second, the limit stays lowered, and rises by one at a time
// until that costs answers. If it gives fewer, the upstream is slow as a whole, for
// example for a cause that all share, and the limit stays.
type limitSearch struct {
	// limit is the learned limit, or 0 if it is the stated slots.
	limit int
	// strained is the number of answers in a row that found the mean above the usual time.
	strained int
	// lowLimit is the limit on trial, or 0. The trial began at trialAt and has added
	// trialCount answers, the sum of whose logarithms is trialSum. fullRate is the
	// logarithm of the answers per second and slot before.
	lowLimit    int
	trialAt     time.Time
	trialCount  int
	trialSum    float64
	fullRate    float64
	nextTrialAt time.Time
	trialPause  time.Duration
	// bestRate is the logarithm of the greatest rate of answers at a lowered limit.
	// raisedSamples is the number of answers since the limit was last changed.
	bestLimit     int
	bestRate      float64
	raisedSamples int
	nextRaiseAt   time.Time
}

// current returns the limit at present.
func (s *limitSearch) current(now time.Time, slots int) int {
	limit := slots
	if s.limit > 0 {
		limit = min(s.limit, slots)
	}
	if s.lowLimit > 0 && now.Sub(s.trialAt) < trialTimeout {
		limit = min(limit, s.lowLimit)
	}
	return limit
}

// addSample adds an answer with the logarithm of its time, after the means of e include
// it.
func (s *limitSearch) addSample(now time.Time, r *request, answerLog float64, e *Estimator) {
	if s.lowLimit > 0 {
		s.addTrialSample(now, r, answerLog)
		return
	}
	s.raisedSamples++
	if s.limit > 0 {
		s.adjust(now, e)
	}
	if e.slots < minTrialSlots || e.meanLog <= e.usualLog+math.Log(strainedFactor) {
		s.strained, s.trialPause = 0, 0
		return
	}
	s.strained++
	limit := s.current(now, e.slots)
	if low := (limit + 1) / 2; s.strained >= strainedSamples && low < limit && !now.Before(s.nextTrialAt) {
		s.lowLimit, s.trialAt, s.trialCount, s.trialSum = low, now, 0, 0
		s.fullRate = math.Log(max(e.meanConcurrency, 1)) - e.meanLog
	}
}

// addTrialSample adds an answer to a request that began under the limit on trial, and ends
// the trial after enough of them.
func (s *limitSearch) addTrialSample(now time.Time, r *request, answerLog float64) {
	if now.Sub(s.trialAt) >= trialTimeout {
		s.endTrial(now, false)
		return
	}
	if r.startedAt.Before(s.trialAt) || r.concurrency > s.lowLimit {
		return
	}
	s.trialCount++
	s.trialSum += answerLog
	if s.trialCount < trialSamples {
		return
	}
	lowRate := math.Log(float64(s.lowLimit)) - s.trialSum/float64(s.trialCount)
	gained := lowRate > s.fullRate+gainMargin
	if gained {
		s.limit, s.bestLimit, s.bestRate = s.lowLimit, s.lowLimit, lowRate
		s.raisedSamples, s.nextRaiseAt = 0, now.Add(backOff)
	}
	s.endTrial(now, gained)
}

// endTrial ends a trial and sets the time of the next one.
func (s *limitSearch) endTrial(now time.Time, gained bool) {
	s.trialPause = min(max(2*s.trialPause, minTrialPause), maxTrialPause)
	if gained {
		s.trialPause = minTrialPause
	}
	s.lowLimit, s.strained, s.nextTrialAt = 0, 0, now.Add(s.trialPause)
}

// adjust raises a lowered limit by one, or takes the last raise back if it costs answers.
func (s *limitSearch) adjust(now time.Time, e *Estimator) {
	if now.Before(s.nextRaiseAt) || s.raisedSamples < strainedSamples {
		return
	}
	s.raisedSamples = 0
	rate := math.Log(float64(s.limit)) - e.meanLog
	if s.limit > s.bestLimit && rate < s.bestRate-lossMargin {
		s.limit--
		s.nextRaiseAt = now.Add(backOff)
		return
	}
	s.limit++
	s.nextRaiseAt = now.Add(raiseInterval)
	if s.limit >= e.slots {
		s.limit = 0
	}
}
