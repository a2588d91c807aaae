package balancer

import "time"

// IdleBeforeStop is how long no packet may have arrived before a draining
// balancer stops: callers behind a fabric that updates late still reach it.
const IdleBeforeStop = 5 * time.Second

// State is how far a balancer is with its stop.
type State uint8

// The states of a balancer. A draining one forwards as before.
const (
	Serving State = iota
	Draining
)

func (s State) String() string {
	if s == Draining {
		return "draining"
	}
	return "serving"
}

// Drain starts the stop of the balancer. The adapter withdraws it from the
// fabric. A second call changes nothing.
func (c *Core) Drain(now time.Time) {
	c.drainedAt.CompareAndSwap(0, now.UnixNano())
}

// State returns the state of the balancer.
func (c *Core) State() State {
	if c.drainedAt.Load() != 0 {
		return Draining
	}
	return Serving
}

// Quiet returns for how long no packet has arrived since the drain began.
func (c *Core) Quiet(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, max(c.drainedAt.Load(), c.lastPacket.Load())))
}

// CanStop reports whether the balancer can stop without losing a packet.
func (c *Core) CanStop(now time.Time) bool {
	return c.State() == Draining && c.Quiet(now) >= IdleBeforeStop
}
