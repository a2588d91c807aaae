package measure

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
	"bramleyhold.example/bramleyhold/internal/zone"
)

const (
	// startupTime is the time before the first opening. It exceeds the grace period
	// that follows the start of the processes.
	startupTime = 11 * time.Second
	// imbalanceWarmUp is the first part of the traffic, during which imbalance is not
	// recorded.
	imbalanceWarmUp = 2 * time.Second
	// settleTime is the time in which flows can end after the last opening.
	settleTime = 4 * time.Second
	// maxJitterFraction is the maximum extra delay of a packet, as a fraction of the
	// link delay.
	maxJitterFraction = 0.2
	// intraZoneDelay is the one-way delay within an availability zone.
	intraZoneDelay = 300 * time.Microsecond
	// minPropagationDelay and maxPropagationDelay bound the time until an update
	// reaches a node, if the view lag is zero.
	minPropagationDelay = 50 * time.Millisecond
	maxPropagationDelay = 250 * time.Millisecond
	// suspectedAfter and failedAfter are the times from a crash to the status
	// suspected and failed (section 8 of the design page).
	suspectedAfter = 2 * time.Second
	failedAfter    = 5 * time.Second
	// misroutedFraction of the packets reach a random balancer instead of the one
	// selected by the hash of their flow.
	misroutedFraction = 0.02
)

// simulation is the state of one run.
type simulation struct {
	virtualClock
	opts        Options
	result      Result
	histograms  histograms
	linkRand    *rand.Rand
	callerRand  *rand.Rand
	serverRand  *rand.Rand
	eventRand   *rand.Rand
	hasher      flow.Hasher
	intentState *intent.State
	// acceptedAt is the time at which each revision was accepted.
	acceptedAt       map[uint64]time.Time
	machines         []*machine
	machineByVM      map[vm.ID]*machine
	machineByAddress map[netip.AddrPort]*machine
	connsByFlow      map[flow.Key]*callerConn
	services         []*serviceState
	// executions counts how often each request was executed, by request number.
	executions map[uint64]int
	// Openings of the main service arrive between trafficStart and trafficEnd.
	trafficStart time.Time
	trafficEnd   time.Time
	// lastVersion is the version of the last published member status.
	lastVersion uint64
	// settling is set after trafficEnd. Imbalance is not recorded from then on.
	settling bool
	// routedBalancers are the balancers to which the network routes packets.
	routedBalancers []*machine
	// oracleTargets contains the upstream that the oracle has selected for each
	// flow.
	oracleTargets map[flow.Key]*machine
}

// serviceState is the state of one service during a run.
type serviceState struct {
	ServiceLoad
	endpoint          netip.AddrPort
	imbalance         imbalanceTracker
	shortRequests     bool
	openingsPerSecond float64
	waitingOpenings   map[flow.Key]*waitingOpening
}

func newRand(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

// Run simulates one scenario.
func Run(opts Options) (Result, error) {
	if err := opts.validate(); err != nil {
		return Result{}, err
	}
	sim := newSimulation(opts)
	if scenario, ok := controlScenarios[opts.Scenario]; ok {
		runControlScenario(sim, scenario)
		return sim.result, nil
	}
	sim.trafficStart = sim.now.Add(startupTime)
	sim.submitInventory(sim.applyChange)
	sim.buildMachines()
	sim.startOpenings()
	scenarios[opts.Scenario](sim)
	sim.runUntil(sim.trafficStart)
	for _, m := range sim.machines {
		m.controlBytes = 0
	}
	sim.runUntil(sim.trafficEnd)
	sim.recordControlTraffic()
	sim.settling = true
	sim.runUntil(sim.trafficEnd.Add(settleTime))
	sim.recordSummary()
	return sim.result, nil
}

func newSimulation(opts Options) *simulation {
	sim := &simulation{
		virtualClock: *newVirtualClock(), opts: opts, histograms: newHistograms(),
		linkRand: newRand(opts.Seed, 1), callerRand: newRand(opts.Seed, 2), serverRand: newRand(opts.Seed, 3), eventRand: newRand(opts.Seed, 4),
		hasher:      flow.Hasher{K0: opts.Seed, K1: ^opts.Seed},
		intentState: &intent.State{}, acceptedAt: map[uint64]time.Time{},
		machineByVM: map[vm.ID]*machine{}, machineByAddress: map[netip.AddrPort]*machine{},
		connsByFlow: map[flow.Key]*callerConn{}, executions: map[uint64]int{}, oracleTargets: map[flow.Key]*machine{},
		result: Result{Scenario: opts.Scenario, Deployment: opts.Deployment.Name, Policy: opts.Policy, Seed: opts.Seed, Drops: map[string]int64{}},
	}
	for i, load := range opts.Deployment.Services {
		if load.Upstreams == 0 {
			load.Upstreams = opts.Upstreams
		}
		sim.services = append(sim.services, &serviceState{
			ServiceLoad: load, shortRequests: load.Contract.Shape == service.ShapeShortRequests, waitingOpenings: map[flow.Key]*waitingOpening{},
			endpoint: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 51, 100, byte(i + 1)}), 443),
		})
	}
	return sim
}

// zoneAt returns one of the three availability zones of the region.
func zoneAt(index int) zone.ID { return zone.ID{Region: "r1", Name: fmt.Sprintf("z%d", index%3+1)} }

// slots returns the number of slots of each upstream.
func (sim *simulation) slots() int {
	if sim.opts.Deployment.Slots > 0 {
		return sim.opts.Deployment.Slots
	}
	return sim.opts.Slots
}

// submitInventory calls submit with the changes that set up the VMs and services.
func (sim *simulation) submitInventory(submit func(intent.Change)) {
	inventory := intent.Inventory{}
	for i := range sim.opts.Balancers {
		inventory.VMs = append(inventory.VMs, intent.InventoryVM{
			ID: vm.ID(fmt.Sprintf("b%d", i+1)), Address: netip.AddrFrom4([4]byte{10, 0, 1, byte(i + 1)}),
			Zone: zoneAt(i), Role: vm.RoleBalancer,
		})
	}
	for serviceIndex, svc := range sim.services {
		inventory.Services = append(inventory.Services, intent.ServiceEntry{
			Name: svc.Name, Endpoint: service.Endpoint{Address: svc.endpoint, Protocol: service.TCP},
		})
		for i := range svc.Upstreams {
			inventory.VMs = append(inventory.VMs, intent.InventoryVM{
				ID: vm.ID(fmt.Sprintf("%s-%d", svc.Name, i+1)), Address: netip.AddrFrom4([4]byte{10, 0, byte(serviceIndex + 2), byte(i + 1)}),
				Zone: zoneAt(i), Role: vm.RoleUpstream, Service: svc.Name, Slots: sim.slots(), Connections: 2000,
			})
		}
	}
	submit(intent.Change{Kind: intent.KindInventory, Inventory: &inventory})
	for _, svc := range sim.services {
		submit(intent.Change{Kind: intent.KindContract, Contract: &intent.ContractRule{Service: svc.Name, Contract: svc.Contract}})
	}
}

// applyChange applies a change to the configuration and publishes the new state. A
// change must be valid: a change that isn't accepted is a fault of the scenario.
func (sim *simulation) applyChange(change intent.Change) {
	change.BaseRevision = sim.intentState.Revision
	change.OperationID = fmt.Sprintf("op-%d", sim.intentState.Revision)
	next, result := intent.Apply(sim.intentState, change)
	if result.Outcome != intent.Accepted {
		panic(fmt.Sprintf("scenario submitted a change with the outcome %s: %s", result.Outcome, result.Reason))
	}
	sim.intentState = next
	sim.acceptedAt[next.Revision] = sim.now
	sim.publish(next, nil)
}

// publish sends an update to every node. The delay of each node is random.
func (sim *simulation) publish(intentState *intent.State, record *view.Member) {
	for _, m := range sim.machines {
		sim.scheduleUpdate(m, intentState, record)
	}
}

func (sim *simulation) scheduleUpdate(m *machine, intentState *intent.State, record *view.Member) {
	delay := minPropagationDelay + time.Duration(sim.eventRand.Int64N(int64(maxPropagationDelay-minPropagationDelay)))
	if sim.opts.ViewLag > 0 {
		delay += time.Duration(sim.eventRand.Int64N(int64(sim.opts.ViewLag)))
	}
	if record != nil && record.VM == m.id {
		delay = 0
	}
	sim.schedule(delay, func() { m.applyUpdate(intentState, record) })
}

// publishStatus changes the status of a machine and publishes it.
func (sim *simulation) publishStatus(m *machine, status view.Status) {
	sim.lastVersion++
	m.publishedStatus.Status, m.publishedStatus.Incarnation, m.publishedStatus.Version = status, m.incarnation, sim.lastVersion
	record := m.publishedStatus
	sim.publish(nil, &record)
}

// sendOverLink calls deliver after the delay of a link with jitter. With loss
// configured, a message can be lost, duplicated or delayed further.
func (sim *simulation) sendOverLink(delay time.Duration, deliver func()) {
	if sim.opts.Loss > 0 {
		if sim.linkRand.Float64() < sim.opts.Loss {
			return
		}
		if sim.linkRand.Float64() < sim.opts.Loss/2 {
			sim.schedule(delay+sim.randomDelay(2*delay), deliver)
		}
		if sim.linkRand.Float64() < sim.opts.Loss {
			delay += sim.randomDelay(4 * delay)
		}
	}
	sim.schedule(delay+sim.randomDelay(time.Duration(maxJitterFraction*float64(delay))), deliver)
}

func (sim *simulation) randomDelay(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(sim.linkRand.Int64N(int64(limit)))
}

func (sim *simulation) linkDelay(from, to zone.ID) time.Duration {
	if from == to {
		return intraZoneDelay
	}
	return sim.opts.Deployment.ZoneDelay
}

// loadExchangeTime is the maximum time in which agents exchange their load: the load
// interval and one message each way.
func (sim *simulation) loadExchangeTime() time.Duration {
	const loadInterval = 5 * time.Millisecond
	return loadInterval + time.Duration(2*(1+maxJitterFraction)*float64(sim.opts.Deployment.ZoneDelay))
}

// serviceByName returns the service with the given name.
func (sim *simulation) serviceByName(name service.Name) *serviceState {
	return sim.services[slices.IndexFunc(sim.services, func(svc *serviceState) bool { return svc.Name == name })]
}

// updateImbalance adds the time since the last update of a service to its
// imbalance. It must be called before every change of occupied slots or
// eligibility.
func (sim *simulation) updateImbalance(svc *serviceState) {
	if sim.settling || sim.now.Before(sim.trafficStart.Add(imbalanceWarmUp)) {
		svc.imbalance.updatedAt = sim.now
		return
	}
	var occupied []int
	for _, m := range sim.machines {
		if m.server != nil && m.service == svc.Name && m.eligible() {
			occupied = append(occupied, m.server.occupiedSlots)
		}
	}
	svc.imbalance.accumulate(sim.now, occupied)
}

func (sim *simulation) recordSummary() {
	result := &sim.result
	result.Imbalance = sim.services[0].imbalance.timeAverage()
	result.HopsMean = roundToFourDecimals(sim.histograms.hops.Mean())
	result.HopsP99 = sim.histograms.hops.ValueAtQuantile(99)
	result.OpeningP99Ms = roundToFourDecimals(float64(sim.histograms.openingMicros.ValueAtQuantile(99)) / 1e3)
}

// recordControlTraffic records the control bytes of the busiest node per second of
// the traffic time.
func (sim *simulation) recordControlTraffic() {
	seconds := sim.trafficDuration().Seconds()
	for _, m := range sim.machines {
		sim.result.ControlBytesPerNodeS = max(sim.result.ControlBytesPerNodeS, roundToFourDecimals(float64(m.controlBytes)/seconds))
	}
}
