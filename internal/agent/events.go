package agent

import (
	"time"

	"golang.org/x/time/rate"

	"bramleyhold.example/bramleyhold/internal/event"
	"bramleyhold.example/bramleyhold/internal/flow"
)

// Recorder receives events. *event.Buffer is one.
type Recorder interface {
	Add(event.Event)
}

const (
	// eventsPerSecond and eventBurst bound the events of one kind, so that a
	// flood of openings leaves the rest of the buffer readable.
	eventsPerSecond = 5
	eventBurst      = 20
)

// sampler passes on a bounded number of events of each kind.
type sampler struct {
	recorder Recorder
	limits   map[event.Kind]*rate.Limiter
}

func newSampler(r Recorder) sampler {
	s := sampler{recorder: r, limits: map[event.Kind]*rate.Limiter{}}
	for _, k := range []event.Kind{event.Moved, event.Refused, event.Repaired, event.Ignored, event.Applied, event.Placed} {
		s.limits[k] = rate.NewLimiter(eventsPerSecond, eventBurst)
	}
	return s
}

// record notes a decision about a flow if the kind is within its rate.
func (s *sampler) record(now time.Time, kind event.Kind, key flow.Key, reason string, revision uint64) {
	if s.recorder == nil || !s.limits[kind].AllowN(now, 1) {
		return
	}
	s.recorder.Add(event.Event{At: now, Kind: kind, Object: key.String(), Reason: reason, Revision: revision})
}

// note records a decision that is not about one flow.
func (s *sampler) note(now time.Time, kind event.Kind, object, reason string, revision uint64) {
	if s.recorder == nil || !s.limits[kind].AllowN(now, 1) {
		return
	}
	s.recorder.Add(event.Event{At: now, Kind: kind, Object: object, Reason: reason, Revision: revision})
}

func (c *Core) revision() uint64 {
	if st := c.state.Load(); st != nil {
		return st.view.Revision
	}
	return 0
}
