package steering

import "time"

const (
	// firstServiceTime is assumed before a request has been measured.
	firstServiceTime = 20 * time.Millisecond
	// serviceTimeWeight is the weight of a new measurement: the estimate
	// follows an upstream that turns slow within some ten requests.
	serviceTimeWeight = 0.1
	// serviceReserve is how many service times a request that is admitted needs
	// after its wait, so that most of them finish in time although service
	// times differ.
	serviceReserve = 1.5
	// patienceShare is the part of a caller's patience that an opening may use.
	// Flows that are open already bring requests that cannot be refused; the
	// rest is for them, so that they are answered in time as well.
	patienceShare = 0.5
)

// serviceTime estimates how long an upstream works on a request. It answers the
// pattern in which many callers return at once: an upstream that queues them all
// answers all of them late.
type serviceTime struct {
	mean time.Duration
}

// note takes the time from a request to its answer, if a slot was free when the
// request arrived.
func (s *serviceTime) note(took time.Duration) {
	if s.mean == 0 {
		s.mean = took
		return
	}
	s.mean += time.Duration(serviceTimeWeight * float64(took-s.mean))
}

func (s *serviceTime) estimate() time.Duration {
	if s.mean == 0 {
		return firstServiceTime
	}
	return s.mean
}

// admits reports whether a request that arrives now can be answered within the
// patience of its caller, with busy requests in progress or waiting.
func (s *serviceTime) admits(busy, slots int, patience time.Duration) bool {
	if busy < slots {
		return true
	}
	each := s.estimate()
	wait := time.Duration(float64(busy-slots+1) / float64(slots) * float64(each))
	return wait+time.Duration(serviceReserve*float64(each)) <= time.Duration(patienceShare*float64(patience))
}
