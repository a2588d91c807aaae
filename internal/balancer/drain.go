package balancer

import "time"

// IdleBeforeStop is the time without packets after which a draining balancer
// can stop. It must outlast the route update of a slow fabric, which sends
// packets of callers here until then.
const IdleBeforeStop = 5 * time.Second

// State is the lifecycle state of a balancer.
type State uint8

// The states of a balancer.
const (
	Serving State = iota
	// Draining: the stop has begun. The balancer still forwards packets.
	Draining
)

func (s State) String() string {
	if s == Draining {
		return "draining"
	}
	return "serving"
}

// Drain begins the stop of the balancer. The adapter withdraws its routes from
// the fabric. Later calls have no effect.
func (c *Core) Drain(now time.Time) {
	c.drainStartedAt.CompareAndSwap(0, now.UnixNano())
}

// State returns Draining after a call of Drain, and Serving before.
func (c *Core) State() State {
	if c.drainStartedAt.Load() != 0 {
		return Draining
	}
	return Serving
}

// IdleTime returns the time since the last packet, or since the start of the drain
// if no packet has arrived after it.
func (c *Core) IdleTime(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, max(c.drainStartedAt.Load(), c.lastPacketAt.Load())))
}

// CanStop reports whether the balancer is draining and has been idle for
// IdleBeforeStop, so that its stop loses no packet.
func (c *Core) CanStop(now time.Time) bool {
	return c.State() == Draining && c.IdleTime(now) >= IdleBeforeStop
}
