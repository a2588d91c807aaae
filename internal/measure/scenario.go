package measure

import (
	"maps"
	"slices"
	"time"

	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

const (
	// fabricDetect is how long the fabric sends packets to a lost balancer.
	fabricDetect = time.Second
	// quietStop is how long a balancer that was withdrawn keeps forwarding.
	quietStop = 5 * time.Second
	// restartGap is how long no agent runs during its restart.
	restartGap = 300 * time.Millisecond
	// returnAfter is how long a crashed VM stays away.
	returnAfter = 8 * time.Second
	// replaceAfter is how long it takes until a VM returns for another service:
	// less than the detection time of a loss.
	replaceAfter = 4 * time.Second
)

// scenarios schedule what happens during a run.
var scenarios = map[string]func(*world){
	"steady":           func(*world) {},
	"upstream-drain":   upstreamDrain,
	"balancer-loss":    balancerLoss,
	"balancer-restart": balancerRestart,
	"balancer-join":    balancerJoin,
	"agent-restart":    agentRestart,
	"uneven-updates":   unevenUpdates,
	"rule-change":      ruleChange,
	"upstream-crash":   upstreamCrash,
	"upstream-replace": upstreamReplace,
	"cold-start":       coldStart,
	"shed":             shed,
	"lying-load":       lyingLoad,
	"everything":       everything,
}

// Scenarios returns the names of the scenarios that are built.
func Scenarios() []string {
	return slices.Concat(slices.Sorted(maps.Keys(scenarios)), slices.Sorted(maps.Keys(controlScenarios)))
}

// at schedules f at a share of the time in which openings arrive.
func (w *world) at(share float64, f func()) {
	w.after(w.begin.Sub(w.now)+time.Duration(share*float64(w.duration())), f)
}

// upstreams returns the upstreams of a service.
func (w *world) upstreams(name service.Name) []*machine {
	var list []*machine
	for _, m := range w.machines {
		if m.server != nil && m.service == name {
			list = append(list, m)
		}
	}
	return list
}

// upstream returns the nth upstream of a service, counted on from the first one
// where there are fewer.
func (w *world) upstream(load, n int) *machine {
	list := w.upstreams(w.loads[load].Name)
	return list[n%len(list)]
}

func (w *world) balancer(n int) *machine {
	n %= w.opts.Balancers
	i := slices.IndexFunc(w.machines, func(m *machine) bool { return m.role == vm.RoleBalancer })
	return w.machines[i+n]
}

// leave marks a VM as leaving or back.
func (w *world) leave(m *machine, leaving bool) {
	w.change(intent.Change{Kind: intent.KindLeaving, Leaving: &intent.LeavingRule{VM: m.id, Leaving: leaving}})
}

func upstreamDrain(w *world) {
	w.at(0.2, func() { w.leave(w.upstream(0, 1), true) })
	w.at(0.5, func() { w.leave(w.upstream(0, 1), false) })
	w.at(0.55, func() {
		w.leave(w.upstream(0, 3), true)
		w.leave(w.upstream(1, 0), true)
	})
}

// withdraw takes a balancer out of the fabric.
func (w *world) withdraw(b *machine) {
	w.fabric = slices.DeleteFunc(slices.Clone(w.fabric), func(m *machine) bool { return m == b })
}

// stopBalancer stops a balancer gracefully.
func (w *world) stopBalancer(b *machine) {
	if !b.alive || !slices.Contains(w.fabric, b) || len(w.fabric) == 1 {
		return
	}
	w.withdraw(b)
	w.announce(b, view.Leaving)
	w.after(quietStop, func() {
		w.announce(b, view.Left)
		b.alive = false
	})
}

// startBalancer starts a balancer that does not run.
func (w *world) startBalancer(b *machine) {
	if b.alive {
		return
	}
	b.incarnation++
	b.alive = true
	b.startProcess()
	b.snapshot()
	w.announce(b, view.Ready)
	w.fabric = append(slices.Clone(w.fabric), b)
}

// loseBalancer kills a balancer.
func (w *world) loseBalancer(b *machine) {
	if !b.alive || len(w.fabric) == 1 {
		return
	}
	b.alive = false
	w.after(fabricDetect, func() { w.withdraw(b) })
	w.announceLoss(b)
}

// announceLoss publishes what the observers of a lost process agree on.
func (w *world) announceLoss(m *machine) {
	incarnation := m.incarnation
	observe := func(status view.Status) {
		if !m.alive && m.incarnation == incarnation {
			w.announce(m, status)
		}
	}
	w.after(suspectAfter, func() { observe(view.Suspected) })
	w.after(failAfter, func() { observe(view.Failed) })
}

func balancerLoss(w *world) {
	w.at(0.3, func() { w.loseBalancer(w.balancer(0)) })
	w.at(0.6, func() { w.startBalancer(w.balancer(0)) })
	w.at(0.8, func() { w.loseBalancer(w.balancer(1)) })
}

func balancerRestart(w *world) {
	w.at(0.2, func() { w.restartBalancer(w.balancer(0)) })
	w.at(0.6, func() {
		w.restartBalancer(w.balancer(1))
		w.leave(w.upstream(0, 2), true)
	})
}

func (w *world) restartBalancer(b *machine) {
	w.stopBalancer(b)
	w.after(quietStop+restartGap, func() { w.startBalancer(b) })
}

func balancerJoin(w *world) {
	joining := w.balancer(w.opts.Balancers - 1)
	w.withdraw(joining)
	joining.alive = false
	w.announce(joining, view.Left)
	w.at(0.4, func() { w.startBalancer(joining) })
}

// restartAgent replaces the agent process of an upstream. The server beside it
// keeps running.
func (w *world) restartAgent(m *machine) {
	if !m.alive {
		return
	}
	m.alive = false
	w.after(restartGap, func() {
		if m.server.up {
			m.startAgent()
		}
	})
}

func (m *machine) startAgent() {
	m.incarnation++
	m.alive = true
	m.startProcess()
	m.snapshot()
	if m.w.opts.Policy.usesAgents() {
		// The agent announces that it is ready when it has recovered its flows.
		m.w.announce(m, view.Starting)
		return
	}
	m.w.announce(m, view.Ready)
}

func agentRestart(w *world) {
	w.at(0.3, func() { w.restartAgent(w.upstream(0, 1)) })
	w.at(0.6, func() {
		w.restartAgent(w.upstream(0, 3))
		w.restartAgent(w.upstream(1, 0))
		w.leave(w.upstream(0, 2), true)
	})
}

// unevenUpdates makes many changes while nodes learn them up to 5 s apart.
func unevenUpdates(w *world) {
	const unevenLag = 5 * time.Second
	w.opts.ViewLag = max(w.opts.ViewLag, unevenLag)
	for i := range 4 {
		w.at(0.1+0.2*float64(i), func() {
			w.leave(w.upstream(0, i), true)
			w.restartBalancer(w.balancer(i))
		})
		w.at(0.2+0.2*float64(i), func() { w.leave(w.upstream(0, i), false) })
	}
}

func ruleChange(w *world) {
	traffic := func(enabled bool) {
		w.change(intent.Change{Kind: intent.KindTraffic, Traffic: &intent.TrafficRule{Service: w.loads[1].Name, Enabled: enabled}})
	}
	w.at(0.2, func() { traffic(false) })
	w.at(0.4, func() { traffic(true) })
	w.at(0.6, func() {
		w.setQueueDeadline(w.loads[0], 3*time.Second)
		w.leave(w.upstream(0, 2), true)
	})
}

func (w *world) setQueueDeadline(s *serviceRun, deadline time.Duration) {
	changed := s.Contract
	changed.QueueDeadline = deadline
	w.change(intent.Change{Kind: intent.KindContract, Contract: &intent.ContractRule{Service: s.Name, Contract: changed}})
}

// crashUpstream loses a VM with its server, agent and flows.
func (w *world) crashUpstream(m *machine) {
	if !m.alive {
		return
	}
	m.server.crash()
	m.alive = false
	w.announceLoss(m)
}

// returnUpstream brings a lost VM back without its flows.
func (w *world) returnUpstream(m *machine) {
	if m.server.up {
		return
	}
	w.account(w.run(m.service))
	m.server.up, m.server.startedAt = true, w.now
	m.startAgent()
}

func upstreamCrash(w *world) {
	w.at(0.2, func() {
		m := w.upstream(0, 1)
		w.crashUpstream(m)
		w.after(returnAfter, func() { w.returnUpstream(m) })
	})
	w.at(0.6, func() {
		w.crashUpstream(w.upstream(0, 4))
		w.leave(w.upstream(0, 2), true)
	})
}

// coldStart starts an upstream that is slow at first. It has no earlier flows.
func coldStart(w *world) {
	const coldTime = 30 * time.Second
	w.crashUpstream(w.upstream(0, 1))
	w.at(0.3, func() {
		m := w.upstream(0, 1)
		m.server.coldUntil = w.now.Add(coldTime)
		m.announced.WarmUpUntil = m.server.coldUntil
		w.returnUpstream(m)
	})
}

// shed lets two upstreams ask for no work, one after the other.
func shed(w *world) {
	for i := range 2 {
		set := func(shedding bool) func() {
			return func() {
				m := w.upstream(0, i+1)
				w.account(w.loads[0])
				m.server.shedding = shedding
			}
		}
		w.at(0.2+0.4*float64(i), set(true))
		w.at(0.4+0.4*float64(i), set(false))
	}
}

// lyingLoad lets one upstream of each service report that it is idle.
func lyingLoad(w *world) {
	w.at(0.1, func() {
		w.upstream(0, 1).server.lying = true
		w.upstream(1, 0).server.lying = true
	})
}

// upstreamReplace returns a lost VM under the same address for another service.
func upstreamReplace(w *world) {
	w.at(0.3, func() { w.replaceUpstream(w.upstream(0, 1), w.loads[1]) })
	w.at(0.6, func() { w.replaceUpstream(w.upstream(1, 0), w.loads[0]) })
}

func (w *world) replaceUpstream(m *machine, to *serviceRun) {
	if !m.alive || len(w.upstreams(m.service)) < 2 {
		// A service keeps its last upstream.
		return
	}
	w.crashUpstream(m)
	// The inventory rejects a new service for a VM that is in use.
	w.leave(m, true)
	w.after(replaceAfter, func() {
		inv := intent.Inventory{}
		for _, s := range w.intent.Services {
			inv.Services = append(inv.Services, intent.ServiceEntry{Name: s.Name, Endpoint: s.Endpoint})
		}
		for _, v := range w.intent.VMs {
			if v.ID == m.id {
				v.Service = to.Name
			}
			inv.Machines = append(inv.Machines, v.Machine)
		}
		w.change(intent.Change{Kind: intent.KindInventory, Inventory: &inv})
		w.leave(m, false)
		m.service, m.announced.Service = to.Name, to.Name
		w.returnUpstream(m)
	})
}
