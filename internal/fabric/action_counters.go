package fabric

import (
	"github.com/rcrowley/go-metrics"

	"bramleyhold.example/bramleyhold/internal/steering"
)

// actionEventNames holds the names of actions in decision log entries and in the
// names of counters.
var actionEventNames = [...]string{
	steering.Forward: "forward", steering.Deliver: "deliver", steering.Reply: "reply",
	steering.Reset: "reset", steering.SendMessage: "tell", steering.OpeningQueued: "wait", steering.Drop: "drop",
	steering.ProbeUpstream: "probe",
}

// actionCounters counts actions by kind and reason. It caches the counters,
// because a lookup in the registry takes a lock.
type actionCounters struct {
	registry metrics.Registry
	counters map[actionCounterKey]metrics.Counter
}

type actionCounterKey struct {
	kind   steering.ActionKind
	reason steering.Reason
}

func newActionCounters(registry metrics.Registry) actionCounters {
	return actionCounters{registry: registry, counters: map[actionCounterKey]metrics.Counter{}}
}

func (c *actionCounters) increment(action *steering.Action) {
	key := actionCounterKey{kind: action.Kind, reason: action.Reason}
	counter := c.counters[key]
	if counter == nil {
		counter = metrics.GetOrRegisterCounter("packets."+actionEventNames[action.Kind]+"."+string(action.Reason), c.registry)
		c.counters[key] = counter
	}
	counter.Inc(1)
}

// rejectionCounters counts rejected openings by verdict. It caches the counters.
type rejectionCounters struct {
	registry metrics.Registry
	counters map[steering.Verdict]metrics.Counter
}

func (c *rejectionCounters) increment(verdict steering.Verdict) {
	if c.counters == nil {
		c.counters = map[steering.Verdict]metrics.Counter{}
	}
	counter := c.counters[verdict]
	if counter == nil {
		counter = metrics.GetOrRegisterCounter("openings.rejected."+verdict.String(), c.registry)
		c.counters[verdict] = counter
	}
	counter.Inc(1)
}
