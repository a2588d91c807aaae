package balancer

import (
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"bramleyhold.example/bramleyhold/internal/packet"
)

// QueueFill is the fill of the receive queue of the balancer, as measured by the
// adapter.
type QueueFill struct {
	// Queued is the number of packets that wait to be read. Capacity is the
	// greatest number that can wait.
	Queued, Capacity int
}

// shedThresholdPercent is the fill of the receive queue from which openings are
// shed. The rest of the queue is reserved for packets of established flows.
const shedThresholdPercent = 50

func (f QueueFill) reachesShedThreshold() bool {
	return f.Capacity > 0 && 100*f.Queued >= shedThresholdPercent*f.Capacity
}

// SetQueueFill replaces the measured fill of the receive queue. The adapter
// calls it for every batch of packets that it reads.
func (c *Core) SetQueueFill(f QueueFill) { c.shedOpenings.Store(f.reachesShedThreshold()) }

// newOpeningLimiter returns the token bucket for openings, or nil without a
// limit.
func newOpeningLimiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	// The bucket holds the openings of a tenth of a second, because the adapter
	// delivers packets in batches.
	const burstsPerSecond = 10
	return rate.NewLimiter(rate.Limit(perSecond), max(perSecond/burstsPerSecond, 1))
}

// mustShedOpening reports whether an opening must be dropped because of overload.
// Otherwise it takes a token from the limiter. The drop is silent, so that the
// caller backs off before it retransmits.
func (c *Core) mustShedOpening(now time.Time) bool {
	if c.shedOpenings.Load() {
		return true
	}
	return c.openingLimiter != nil && !c.openingLimiter.AllowN(now, 1)
}

// mayOpenFlow reports whether a packet can open a flow: a SYN, or a datagram
// without a hint. Only such packets are shed.
func mayOpenFlow(m *packet.Meta, hinted bool) bool {
	return m.IsOpening() && (m.Protocol == packet.ProtocolTCP || !hinted)
}

// traceSampler selects the openings that are traced.
type traceSampler struct {
	mu     sync.Mutex
	random *rand.Rand
	// share is the fraction of openings that are traced.
	share float64
}

// selectOpening draws a random number. It reports whether the opening is traced.
func (s *traceSampler) selectOpening() bool {
	if s.random == nil || s.share <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64() < s.share
}
