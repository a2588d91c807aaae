package admission

import "time"

const (
	// initialServiceTime is the estimate before the first sample.
	initialServiceTime = 20 * time.Millisecond
	// serviceSampleWeight is the weight of a new sample in the moving average. The estimate
	// follows an upstream that becomes slow within about ten requests.
	serviceSampleWeight = 0.1
	// rejectionDivisor detects the rejection of a request whose upstream was full: it is
	// answered before the upstream can have worked on it.
	rejectionDivisor = 4
)

// ServiceTime estimates how long an upstream works on a request.
//
// Load pattern: an upstream turns slow while its open flows send more than it can serve.
// No request then arrives at a free slot, so that the time from a request to its answer
// includes the wait for one. The time between two answers does not: while all slots are
// in use, it is the service time divided by their number.
type ServiceTime struct {
	mean time.Duration
	// lastAnswerAt is when the last request was answered, full whether all slots were in
	// use after that and have been since.
	lastAnswerAt time.Time
	full         bool
}

// Mean returns the estimate.
func (s *ServiceTime) Mean() time.Duration {
	if s.mean == 0 {
		return initialServiceTime
	}
	return s.mean
}

// Answer is what is known about an answered request.
type Answer struct {
	// Took is the time since the request was delivered. SlotWasFree is set if a slot was
	// free then.
	Took        time.Duration
	SlotWasFree bool
	// Found is the number of requests that the upstream had when the request was
	// delivered, Remaining the number that it still has, and Slots the number that it works
	// on at once.
	Found, Remaining, Slots int
}

// IsRejection reports whether the upstream has rejected the request: all slots were in use,
// and it has answered before it can have worked on the request.
func (s *ServiceTime) IsRejection(answer *Answer) bool {
	return !answer.SlotWasFree && answer.Took < s.Mean()/rejectionDivisor
}

// ObserveAnswer records that a request was answered which was not rejected.
func (s *ServiceTime) ObserveAnswer(now time.Time, answer *Answer) {
	switch {
	case answer.SlotWasFree:
		s.add(answer.Took)
	case s.full:
		s.add(now.Sub(s.lastAnswerAt) * time.Duration(answer.Slots))
	}
	s.lastAnswerAt, s.full = now, answer.Slots > 0 && answer.Remaining >= answer.Slots
}

// ObserveEnd records that a request ended without an answer.
func (s *ServiceTime) ObserveEnd(remaining, slots int) { s.full = s.full && remaining >= slots }

func (s *ServiceTime) add(sample time.Duration) {
	if s.mean == 0 {
		s.mean = sample
		return
	}
	s.mean += time.Duration(serviceSampleWeight * float64(sample-s.mean))
}
