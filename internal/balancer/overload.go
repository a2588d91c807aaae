package balancer

import (
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"bramleyhold.example/bramleyhold/internal/packet"
)

// QueueFill is what the adapter measures of the load on the balancer itself.
type QueueFill struct {
	// Queued and Capacity are the packets that wait to be read and the most
	// that can wait.
	Queued, Capacity int
}

// shedFrom is the filling of the queue, in percent, from which openings are
// shed. The rest is room for packets of known flows.
const shedFrom = 50

func (p QueueFill) sheds() bool { return p.Capacity > 0 && 100*p.Queued >= shedFrom*p.Capacity }

// SetQueueFill replaces the measured load. The adapter calls it for every batch
// that it reads.
func (c *Core) SetQueueFill(p QueueFill) { c.shedding.Store(p.sheds()) }

// newOpeningLimit returns the token bucket of openings, or nil without a limit.
func newOpeningLimit(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	// A burst of a tenth of a second absorbs the batches of the adapter.
	const burstsPerSecond = 10
	return rate.NewLimiter(rate.Limit(perSecond), max(perSecond/burstsPerSecond, 1))
}

// overloaded reports whether a packet that may open a flow is to be dropped.
// It is dropped without an answer, so that the caller backs off.
func (c *Core) overloaded(now time.Time) bool {
	if c.shedding.Load() {
		return true
	}
	return c.openings != nil && !c.openings.AllowN(now, 1)
}

// sheddable reports whether a packet may open a flow: a SYN, or a datagram
// without a hint.
func sheddable(m *packet.Meta, hinted bool) bool {
	return m.Opening() && (m.Protocol == packet.ProtocolTCP || !hinted)
}

// sampler chooses the openings that are traced.
type sampler struct {
	mu     sync.Mutex
	random *rand.Rand
	share  float64
}

func (s *sampler) sample() bool {
	if s.random == nil || s.share <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64() < s.share
}
