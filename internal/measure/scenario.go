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
	// routeWithdrawalDelay is the time for which the network still routes packets to
	// a balancer that has crashed.
	routeWithdrawalDelay = time.Second
	// withdrawnForwardingTime is the time for which a balancer keeps forwarding
	// packets after its routes have been withdrawn.
	withdrawnForwardingTime = 5 * time.Second
	// restartDowntime is the time during which no agent process runs in a restart.
	restartDowntime = 300 * time.Millisecond
	// crashDowntime is the time until a crashed VM returns.
	crashDowntime = 8 * time.Second
	// replacementDowntime is the time until a VM returns with another service. It is
	// shorter than failedAfter, so that the VM returns before its failure is
	// detected.
	replacementDowntime = 4 * time.Second
)

// scenarios maps names to functions that schedule the events of a run.
var scenarios = map[string]func(*simulation){
	"steady":           func(*simulation) {},
	"upstream-drain":   upstreamDrain,
	"balancer-loss":    balancerLoss,
	"balancer-restart": balancerRestart,
	"balancer-join":    balancerJoin,
	"agent-restart":    agentRestart,
	"uneven-updates":   unevenUpdates,
	"rule-change":      ruleChange,
	"upstream-crash":   upstreamCrash,
	"upstream-replace": upstreamReplace,
	"cold-start":       warmUpStart,
	"shed":             shedLoad,
	"lying-load":       falseIdleReports,
	"everything":       randomEvents,
}

// Scenarios returns the names of all scenarios.
func Scenarios() []string {
	return slices.Concat(slices.Sorted(maps.Keys(scenarios)), slices.Sorted(maps.Keys(controlScenarios)))
}

// scheduleAt schedules run at a fraction of the time in which openings arrive.
func (sim *simulation) scheduleAt(fraction float64, run func()) {
	sim.schedule(sim.trafficStart.Sub(sim.now)+time.Duration(fraction*float64(sim.trafficDuration())), run)
}

// upstreamsOf returns the VMs of the upstreams of a service.
func (sim *simulation) upstreamsOf(name service.Name) []*machine {
	var upstreams []*machine
	for _, m := range sim.machines {
		if m.server != nil && m.service == name {
			upstreams = append(upstreams, m)
		}
	}
	return upstreams
}

// upstreamAt returns the upstream with index n of a service. The index wraps around
// if the service has fewer upstreams.
func (sim *simulation) upstreamAt(serviceIndex, n int) *machine {
	upstreams := sim.upstreamsOf(sim.services[serviceIndex].Name)
	return upstreams[n%len(upstreams)]
}

func (sim *simulation) balancerAt(n int) *machine {
	n %= sim.opts.Balancers
	i := slices.IndexFunc(sim.machines, func(m *machine) bool { return m.role == vm.RoleBalancer })
	return sim.machines[i+n]
}

// setLeaving submits a change that marks a VM as leaving, or as active again.
func (sim *simulation) setLeaving(m *machine, leaving bool) {
	sim.applyChange(intent.Change{Kind: intent.KindLeaving, Leaving: &intent.LeavingRule{VM: m.id, Leaving: leaving}})
}

func upstreamDrain(sim *simulation) {
	sim.scheduleAt(0.2, func() { sim.setLeaving(sim.upstreamAt(0, 1), true) })
	sim.scheduleAt(0.5, func() { sim.setLeaving(sim.upstreamAt(0, 1), false) })
	sim.scheduleAt(0.55, func() {
		sim.setLeaving(sim.upstreamAt(0, 3), true)
		sim.setLeaving(sim.upstreamAt(1, 0), true)
	})
}

// withdrawBalancer stops the routing of packets to a balancer.
func (sim *simulation) withdrawBalancer(b *machine) {
	sim.routedBalancers = slices.DeleteFunc(slices.Clone(sim.routedBalancers), func(m *machine) bool { return m == b })
}

// stopBalancer stops a balancer gracefully, unless it is the only routed one.
func (sim *simulation) stopBalancer(b *machine) {
	if !b.running || !slices.Contains(sim.routedBalancers, b) || len(sim.routedBalancers) == 1 {
		return
	}
	sim.withdrawBalancer(b)
	sim.publishStatus(b, view.Leaving)
	sim.schedule(withdrawnForwardingTime, func() {
		sim.publishStatus(b, view.Left)
		b.running = false
	})
}

// startBalancer starts a new incarnation of a balancer that isn't running.
func (sim *simulation) startBalancer(b *machine) {
	if b.running {
		return
	}
	b.incarnation++
	b.running = true
	b.startProcess()
	b.loadSnapshot()
	sim.publishStatus(b, view.Ready)
	sim.routedBalancers = append(slices.Clone(sim.routedBalancers), b)
}

// crashBalancer stops a balancer without notice, unless it is the only routed one.
func (sim *simulation) crashBalancer(b *machine) {
	if !b.running || len(sim.routedBalancers) == 1 {
		return
	}
	b.running = false
	sim.schedule(routeWithdrawalDelay, func() { sim.withdrawBalancer(b) })
	sim.scheduleFailureDetection(b)
}

// scheduleFailureDetection publishes the status suspected and then failed of a
// crashed VM. It publishes nothing if the VM has returned in the meantime.
func (sim *simulation) scheduleFailureDetection(m *machine) {
	incarnation := m.incarnation
	publishIfStillDown := func(status view.Status) {
		if !m.running && m.incarnation == incarnation {
			sim.publishStatus(m, status)
		}
	}
	sim.schedule(suspectedAfter, func() { publishIfStillDown(view.Suspected) })
	sim.schedule(failedAfter, func() { publishIfStillDown(view.Failed) })
}

func balancerLoss(sim *simulation) {
	sim.scheduleAt(0.3, func() { sim.crashBalancer(sim.balancerAt(0)) })
	sim.scheduleAt(0.6, func() { sim.startBalancer(sim.balancerAt(0)) })
	sim.scheduleAt(0.8, func() { sim.crashBalancer(sim.balancerAt(1)) })
}

func balancerRestart(sim *simulation) {
	sim.scheduleAt(0.2, func() { sim.restartBalancer(sim.balancerAt(0)) })
	sim.scheduleAt(0.6, func() {
		sim.restartBalancer(sim.balancerAt(1))
		sim.setLeaving(sim.upstreamAt(0, 2), true)
	})
}

func (sim *simulation) restartBalancer(b *machine) {
	sim.stopBalancer(b)
	sim.schedule(withdrawnForwardingTime+restartDowntime, func() { sim.startBalancer(b) })
}

func balancerJoin(sim *simulation) {
	joining := sim.balancerAt(sim.opts.Balancers - 1)
	sim.withdrawBalancer(joining)
	joining.running = false
	sim.publishStatus(joining, view.Left)
	sim.scheduleAt(0.4, func() { sim.startBalancer(joining) })
}

// restartAgent restarts the agent process of an upstream. The server beside the
// agent keeps running.
func (sim *simulation) restartAgent(m *machine) {
	if !m.running {
		return
	}
	m.running = false
	sim.schedule(restartDowntime, func() {
		if m.server.running {
			m.startAgent()
		}
	})
}

func (m *machine) startAgent() {
	m.incarnation++
	m.running = true
	m.startProcess()
	m.loadSnapshot()
	if m.sim.opts.Policy.usesAgents() {
		// The agent publishes the status ready after it has recovered its flows.
		m.sim.publishStatus(m, view.Starting)
		return
	}
	m.sim.publishStatus(m, view.Ready)
}

func agentRestart(sim *simulation) {
	sim.scheduleAt(0.3, func() { sim.restartAgent(sim.upstreamAt(0, 1)) })
	sim.scheduleAt(0.6, func() {
		sim.restartAgent(sim.upstreamAt(0, 3))
		sim.restartAgent(sim.upstreamAt(1, 0))
		sim.setLeaving(sim.upstreamAt(0, 2), true)
	})
}

// unevenUpdates submits many changes while the delays of updates to nodes differ by
// up to 5 s.
func unevenUpdates(sim *simulation) {
	const unevenLag = 5 * time.Second
	sim.opts.ViewLag = max(sim.opts.ViewLag, unevenLag)
	for i := range 4 {
		sim.scheduleAt(0.1+0.2*float64(i), func() {
			sim.setLeaving(sim.upstreamAt(0, i), true)
			sim.restartBalancer(sim.balancerAt(i))
		})
		sim.scheduleAt(0.2+0.2*float64(i), func() { sim.setLeaving(sim.upstreamAt(0, i), false) })
	}
}

func ruleChange(sim *simulation) {
	setTraffic := func(enabled bool) {
		sim.applyChange(intent.Change{Kind: intent.KindTraffic, Traffic: &intent.TrafficRule{Service: sim.services[1].Name, Enabled: enabled}})
	}
	sim.scheduleAt(0.2, func() { setTraffic(false) })
	sim.scheduleAt(0.4, func() { setTraffic(true) })
	sim.scheduleAt(0.6, func() {
		sim.setQueueDeadline(sim.services[0], 3*time.Second)
		sim.setLeaving(sim.upstreamAt(0, 2), true)
	})
}

func (sim *simulation) setQueueDeadline(svc *serviceState, deadline time.Duration) {
	contract := svc.Contract
	contract.QueueDeadline = deadline
	sim.applyChange(intent.Change{Kind: intent.KindContract, Contract: &intent.ContractRule{Service: svc.Name, Contract: contract}})
}

// crashUpstream stops a VM with its server and agent. All its flows are lost.
func (sim *simulation) crashUpstream(m *machine) {
	if !m.running {
		return
	}
	m.server.crash()
	m.running = false
	sim.scheduleFailureDetection(m)
}

// restartUpstream restarts a crashed VM without its previous flows.
func (sim *simulation) restartUpstream(m *machine) {
	if m.server.running {
		return
	}
	sim.updateImbalance(sim.serviceByName(m.service))
	m.server.running, m.server.restartedAt = true, sim.now
	m.startAgent()
}

func upstreamCrash(sim *simulation) {
	sim.scheduleAt(0.2, func() {
		upstream := sim.upstreamAt(0, 1)
		sim.crashUpstream(upstream)
		sim.schedule(crashDowntime, func() { sim.restartUpstream(upstream) })
	})
	sim.scheduleAt(0.6, func() {
		sim.crashUpstream(sim.upstreamAt(0, 4))
		sim.setLeaving(sim.upstreamAt(0, 2), true)
	})
}

// warmUpStart starts an upstream that has no previous flows and is slow during its
// warm-up.
func warmUpStart(sim *simulation) {
	const warmUpTime = 30 * time.Second
	sim.crashUpstream(sim.upstreamAt(0, 1))
	sim.scheduleAt(0.3, func() {
		upstream := sim.upstreamAt(0, 1)
		upstream.server.warmUpUntil = sim.now.Add(warmUpTime)
		upstream.publishedStatus.WarmUpUntil = upstream.server.warmUpUntil
		sim.restartUpstream(upstream)
	})
}

// shedLoad makes two upstreams shed load (request no new work), one after the other.
func shedLoad(sim *simulation) {
	for i := range 2 {
		setShedding := func(shedding bool) func() {
			return func() {
				upstream := sim.upstreamAt(0, i+1)
				sim.updateImbalance(sim.services[0])
				upstream.server.shedding = shedding
			}
		}
		sim.scheduleAt(0.2+0.4*float64(i), setShedding(true))
		sim.scheduleAt(0.4+0.4*float64(i), setShedding(false))
	}
}

// falseIdleReports makes one upstream of each service report that it is idle.
func falseIdleReports(sim *simulation) {
	sim.scheduleAt(0.1, func() {
		sim.upstreamAt(0, 1).server.reportsIdle = true
		sim.upstreamAt(1, 0).server.reportsIdle = true
	})
}

// upstreamReplace crashes a VM of each service and returns it with the same address
// for the other service.
func upstreamReplace(sim *simulation) {
	sim.scheduleAt(0.3, func() { sim.replaceUpstream(sim.upstreamAt(0, 1), sim.services[1]) })
	sim.scheduleAt(0.6, func() { sim.replaceUpstream(sim.upstreamAt(1, 0), sim.services[0]) })
}

func (sim *simulation) replaceUpstream(m *machine, newService *serviceState) {
	if !m.running || len(sim.upstreamsOf(m.service)) < 2 {
		// A service must keep at least one upstream.
		return
	}
	sim.crashUpstream(m)
	// The inventory rejects a change of the service while the VM is active.
	sim.setLeaving(m, true)
	sim.schedule(replacementDowntime, func() {
		inventory := intent.Inventory{}
		for _, svc := range sim.intentState.Services {
			inventory.Services = append(inventory.Services, intent.ServiceEntry{Name: svc.Name, Endpoint: svc.Endpoint})
		}
		for _, inventoryVM := range sim.intentState.VMs {
			if inventoryVM.ID == m.id {
				inventoryVM.Service = newService.Name
			}
			inventory.VMs = append(inventory.VMs, inventoryVM.InventoryVM)
		}
		sim.applyChange(intent.Change{Kind: intent.KindInventory, Inventory: &inventory})
		sim.setLeaving(m, false)
		m.service, m.publishedStatus.Service = newService.Name, newService.Name
		sim.restartUpstream(m)
	})
}
