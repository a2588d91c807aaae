package measure

import (
	"time"

	"bramleyhold.example/bramleyhold/internal/view"
)

// disturbance is one change or failure at a random point of a run.
type disturbance func(*world)

// everything makes changes and failures at random times; any of them can come
// together with another one or twice.
func everything(w *world) {
	const (
		first, last = 0.1, 0.85
		events      = 8
	)
	kinds := disturbances()
	for range events {
		share := first + (last-first)*w.changes.Float64()
		apply := kinds[w.changes.IntN(len(kinds))]
		w.at(share, func() { apply(w) })
	}
}

func disturbances() []disturbance {
	// drainTime is how long a random upstream stays leaving.
	const drainTime = 6 * time.Second
	return []disturbance{
		func(w *world) { w.restartBalancer(w.anyBalancer()) },
		func(w *world) {
			b := w.anyBalancer()
			w.loseBalancer(b)
			w.after(returnAfter, func() { w.startBalancer(b) })
		},
		func(w *world) {
			m := w.anyUpstream()
			w.leave(m, true)
			w.after(drainTime, func() { w.leave(m, false) })
		},
		func(w *world) { w.restartAgent(w.anyUpstream()) },
		func(w *world) {
			m := w.anyUpstream()
			w.crashUpstream(m)
			w.after(returnAfter, func() { w.returnUpstream(m) })
		},
		func(w *world) {
			from := w.changes.IntN(len(w.loads))
			w.replaceUpstream(w.upstream(from, w.changes.IntN(3)), w.loads[1-from])
		},
		func(w *world) { w.suspect(w.anyUpstream()) },
		func(w *world) { w.setQueueDeadline(w.loads[0], 3*time.Second) },
	}
}

func (w *world) anyBalancer() *machine { return w.balancer(w.changes.IntN(w.opts.Balancers)) }

// anyUpstream returns a random upstream of a random service.
func (w *world) anyUpstream() *machine {
	load := w.changes.IntN(len(w.loads))
	list := w.upstreams(w.loads[load].Name)
	return list[w.changes.IntN(len(list))]
}

// suspect lets observers wrongly suspect a member until it answers.
func (w *world) suspect(m *machine) {
	if !m.alive {
		return
	}
	incarnation := m.incarnation
	w.announce(m, view.Suspected)
	w.after(suspectAfter, func() {
		if m.alive && m.incarnation == incarnation {
			w.announce(m, view.Ready)
		}
	})
}
