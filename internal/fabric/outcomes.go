package fabric

import (
	"github.com/rcrowley/go-metrics"

	"bramleyhold.example/bramleyhold/internal/steering"
)

// eventNames are the names of actions in log lines and counters.
var eventNames = [...]string{
	steering.Forward: "forward", steering.Deliver: "deliver", steering.Reply: "reply",
	steering.Reset: "reset", steering.SendMessage: "tell", steering.QueueOpening: "wait", steering.Drop: "drop",
	steering.ProbeUpstream: "probe",
}

// outcomes counts actions by kind and reason. Looking a counter up in the
// registry takes a lock, so that they are kept here.
type outcomes struct {
	registry metrics.Registry
	counters map[outcome]metrics.Counter
}

type outcome struct {
	kind   steering.ActionKind
	reason steering.Reason
}

func newOutcomes(registry metrics.Registry) outcomes {
	return outcomes{registry: registry, counters: map[outcome]metrics.Counter{}}
}

func (o *outcomes) count(a *steering.Action) {
	key := outcome{kind: a.Kind, reason: a.Reason}
	c := o.counters[key]
	if c == nil {
		c = metrics.GetOrRegisterCounter("packets."+eventNames[a.Kind]+"."+string(a.Reason), o.registry)
		o.counters[key] = c
	}
	c.Inc(1)
}
