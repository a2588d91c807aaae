package agent

import (
	"time"

	"golang.org/x/time/rate"

	"bramleyhold.example/bramleyhold/internal/event"
	"bramleyhold.example/bramleyhold/internal/flow"
)

// Recorder stores events. *event.Buffer implements it.
type Recorder interface {
	Add(event.Event)
}

const (
	// eventsPerSecond and eventBurst bound the events of one kind. Without them a
	// flood of openings would evict all other events from the buffer.
	eventsPerSecond = 5
	eventBurst      = 20
)

// eventSampler passes a bounded number of events of each kind to the recorder.
type eventSampler struct {
	recorder Recorder
	limiters map[event.Kind]*rate.Limiter
}

func newEventSampler(r Recorder) eventSampler {
	s := eventSampler{recorder: r, limiters: map[event.Kind]*rate.Limiter{}}
	for _, k := range []event.Kind{event.Moved, event.Refused, event.Repaired, event.Ignored, event.Applied, event.Placed} {
		s.limiters[k] = rate.NewLimiter(eventsPerSecond, eventBurst)
	}
	return s
}

// recordFlow records a decision about a flow, within the rate of its kind.
func (s *eventSampler) recordFlow(now time.Time, kind event.Kind, key flow.Key, reason string, revision uint64) {
	if s.recorder == nil || !s.limiters[kind].AllowN(now, 1) {
		return
	}
	s.recorder.Add(event.Event{At: now, Kind: kind, Object: key.String(), Reason: reason, Revision: revision})
}

// recordObject records a decision about an object that is not a flow, within
// the rate of its kind.
func (s *eventSampler) recordObject(now time.Time, kind event.Kind, object, reason string, revision uint64) {
	if s.recorder == nil || !s.limiters[kind].AllowN(now, 1) {
		return
	}
	s.recorder.Add(event.Event{At: now, Kind: kind, Object: object, Reason: reason, Revision: revision})
}

// viewRevision returns the revision of the current view, or 0 without a view.
func (c *Core) viewRevision() uint64 {
	if state := c.viewState.Load(); state != nil {
		return state.view.Revision
	}
	return 0
}
