package measure

import (
	"time"

	"bramleyhold.example/bramleyhold/internal/view"
)

// randomEvent is a configuration change or failure that is triggered at a random
// time of a run.
type randomEvent func(*simulation)

// randomEvents schedules configuration changes and failures at random times. They
// can overlap, and the same one can occur more than once.
func randomEvents(sim *simulation) {
	const (
		earliest, latest = 0.1, 0.85
		eventCount       = 8
	)
	eventKinds := randomEventKinds()
	for range eventCount {
		fraction := earliest + (latest-earliest)*sim.eventRand.Float64()
		trigger := eventKinds[sim.eventRand.IntN(len(eventKinds))]
		sim.scheduleAt(fraction, func() { trigger(sim) })
	}
}

func randomEventKinds() []randomEvent {
	// drainTime is the time for which a random upstream stays leaving.
	const drainTime = 6 * time.Second
	return []randomEvent{
		func(sim *simulation) { sim.restartBalancer(sim.randomBalancer()) },
		func(sim *simulation) {
			balancer := sim.randomBalancer()
			sim.crashBalancer(balancer)
			sim.schedule(crashDowntime, func() { sim.startBalancer(balancer) })
		},
		func(sim *simulation) {
			upstream := sim.randomUpstream()
			sim.setLeaving(upstream, true)
			sim.schedule(drainTime, func() { sim.setLeaving(upstream, false) })
		},
		func(sim *simulation) { sim.restartAgent(sim.randomUpstream()) },
		func(sim *simulation) {
			upstream := sim.randomUpstream()
			sim.crashUpstream(upstream)
			sim.schedule(crashDowntime, func() { sim.restartUpstream(upstream) })
		},
		func(sim *simulation) {
			fromService := sim.eventRand.IntN(len(sim.services))
			sim.replaceUpstream(sim.upstreamAt(fromService, sim.eventRand.IntN(3)), sim.services[1-fromService])
		},
		func(sim *simulation) { sim.suspectFalsely(sim.randomUpstream()) },
		func(sim *simulation) { sim.setQueueDeadline(sim.services[0], 3*time.Second) },
	}
}

func (sim *simulation) randomBalancer() *machine {
	return sim.balancerAt(sim.eventRand.IntN(sim.opts.Balancers))
}

// randomUpstream returns a random upstream of a random service.
func (sim *simulation) randomUpstream() *machine {
	serviceIndex := sim.eventRand.IntN(len(sim.services))
	upstreams := sim.upstreamsOf(sim.services[serviceIndex].Name)
	return upstreams[sim.eventRand.IntN(len(upstreams))]
}

// suspectFalsely publishes that a running VM is suspected. After suspectedAfter it
// publishes that the VM is ready.
func (sim *simulation) suspectFalsely(m *machine) {
	if !m.running {
		return
	}
	incarnation := m.incarnation
	sim.publishStatus(m, view.Suspected)
	sim.schedule(suspectedAfter, func() {
		if m.running && m.incarnation == incarnation {
			sim.publishStatus(m, view.Ready)
		}
	})
}
