package steering

import "time"

const (
	// initialServiceTime is the estimate before the first sample.
	initialServiceTime = 20 * time.Millisecond
	// newSampleWeight is the weight of a new sample in the moving average. The estimate
	// adapts to an upstream that becomes slow within about 10 requests.
	newSampleWeight = 0.1
	// serviceTimesNeeded is the time that an admitted request needs after its queue
	// wait, as a multiple of the estimated service time. Service times vary; with this
	// margin most requests finish within their time budget.
	serviceTimesNeeded = 1.5
	// openingBudgetShare is the share of the caller's time budget that an opening may
	// use. Requests on flows that are already open cannot be rejected. The rest of the
	// budget is reserved for them, so that they are answered in time as well.
	openingBudgetShare = 0.5
)

// serviceTimeEstimator estimates how long an upstream works on a request. The estimate
// bounds the queue of the upstream when many callers retry at once. An upstream that
// queues all their requests would answer all of them late.
type serviceTimeEstimator struct {
	mean time.Duration
}

// addSample adds the time from a request to its answer. Only requests that arrived
// while a slot was free may be added, because the time of others includes queue wait.
func (s *serviceTimeEstimator) addSample(sample time.Duration) {
	if s.mean == 0 {
		s.mean = sample
		return
	}
	s.mean += time.Duration(newSampleWeight * float64(sample-s.mean))
}

func (s *serviceTimeEstimator) estimate() time.Duration {
	if s.mean == 0 {
		return initialServiceTime
	}
	return s.mean
}

// admits reports whether a request that arrives now is expected to be answered
// within its share of timeBudget. inProgress is the number of requests that the
// upstream works on or has queued. It includes half of the flows that await their
// first request; see requestsInProgress.
func (s *serviceTimeEstimator) admits(inProgress, slots int, timeBudget time.Duration) bool {
	if inProgress < slots {
		return true
	}
	serviceEstimate := s.estimate()
	queueWait := time.Duration(float64(inProgress-slots+1) / float64(slots) * float64(serviceEstimate))
	return queueWait+time.Duration(serviceTimesNeeded*float64(serviceEstimate)) <= time.Duration(openingBudgetShare*float64(timeBudget))
}
