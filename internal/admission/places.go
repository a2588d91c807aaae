package admission

import "time"

// placesMemory is how long a learned number of places counts. The upstream may have been
// configured anew, or the number may have been learned from miscounted requests.
const placesMemory = 5 * time.Second

// Places learns how many requests an upstream has room for, in its slots and its queue. It
// rejects those beyond them.
//
// Load pattern: requests on open flows, which cannot be refused, keep the queue of the
// upstream full. An urgent opening that is admitted then has its request rejected, and its
// caller returns only after a delay, although another upstream has a place.
type Places struct {
	count     int
	learnedAt time.Time
}

// ObserveRejection records that a request was rejected which found a number of requests
// at the upstream.
func (p *Places) ObserveRejection(now time.Time, found int) { p.count, p.learnedAt = found, now }

// ObserveService records that a request was served which found a number of requests at the
// upstream.
func (p *Places) ObserveService(found int) {
	if found >= p.count {
		p.count = found + 1
	}
}

// AreTaken reports whether a number of requests takes all places, as far as known.
func (p *Places) AreTaken(now time.Time, requests int) bool {
	return !p.learnedAt.IsZero() && now.Sub(p.learnedAt) < placesMemory && requests >= p.count
}
