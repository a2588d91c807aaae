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
	// quietTime passes before the first opening, so that the grace period of the
	// start is over.
	quietTime = 11 * time.Second
	// warmUp is left out of the imbalance.
	warmUp = 2 * time.Second
	// settleTime lets flows end after the last opening.
	settleTime = 4 * time.Second
	// jitterShare is the greatest extra delay of a packet, as a share.
	jitterShare = 0.2
	// sameZoneDelay is the one-way delay inside a zone.
	sameZoneDelay = 300 * time.Microsecond
	// fanOutMin and fanOutMax bound the time in which an update reaches a node
	// when view lag is zero.
	fanOutMin = 50 * time.Millisecond
	fanOutMax = 250 * time.Millisecond
	// suspectAfter and failAfter are the detection times of section 8.
	suspectAfter = 2 * time.Second
	failAfter    = 5 * time.Second
	// sprayShare of the packets reach a balancer other than that of their flow.
	sprayShare = 0.02
)

// world is one run.
type world struct {
	clock
	opts     Options
	result   Result
	samples  samples
	links    *rand.Rand
	callers  *rand.Rand
	servers  *rand.Rand
	changes  *rand.Rand
	hasher   flow.Hasher
	intent   *intent.State
	accepted map[uint64]time.Time
	machines []*machine
	byVM     map[vm.ID]*machine
	byAddr   map[netip.AddrPort]*machine
	calls    map[flow.Key]*call
	loads    []*serviceRun
	runs     map[uint64]int
	begin    time.Time
	end      time.Time
	versions uint64
	closing  bool
	// fabric holds the balancers that get packets.
	fabric []*machine
	// pinned is the placement of the oracle.
	pinned map[flow.Key]*machine
}

// serviceRun is the state of one service in a run.
type serviceRun struct {
	ServiceLoad
	endpoint netip.AddrPort
	usage    usage
	short    bool
	rate     float64
	waiting  map[flow.Key]*waitState
}

func newRand(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

// Run executes one scenario.
func Run(o Options) (Result, error) {
	if err := o.validate(); err != nil {
		return Result{}, err
	}
	w := newWorld(o)
	if scenario, ok := controlScenarios[o.Scenario]; ok {
		runControl(w, scenario)
		return w.result, nil
	}
	w.begin = w.now.Add(quietTime)
	w.buildInventory(w.change)
	w.buildMachines()
	w.startCallers()
	scenarios[o.Scenario](w)
	w.runUntil(w.begin)
	for _, m := range w.machines {
		m.controlBytes = 0
	}
	w.runUntil(w.end)
	w.measureControl()
	w.closing = true
	w.runUntil(w.end.Add(settleTime))
	w.finish()
	return w.result, nil
}

func newWorld(o Options) *world {
	w := &world{
		clock: *newClock(), opts: o, samples: newSamples(),
		links: newRand(o.Seed, 1), callers: newRand(o.Seed, 2), servers: newRand(o.Seed, 3), changes: newRand(o.Seed, 4),
		hasher: flow.Hasher{K0: o.Seed, K1: ^o.Seed},
		intent: &intent.State{}, accepted: map[uint64]time.Time{},
		byVM: map[vm.ID]*machine{}, byAddr: map[netip.AddrPort]*machine{},
		calls: map[flow.Key]*call{}, runs: map[uint64]int{}, pinned: map[flow.Key]*machine{},
		result: Result{Scenario: o.Scenario, Deployment: o.Deployment.Name, Policy: o.Policy, Seed: o.Seed, Drops: map[string]int64{}},
	}
	for i, s := range o.Deployment.Services {
		if s.Upstreams == 0 {
			s.Upstreams = o.Upstreams
		}
		w.loads = append(w.loads, &serviceRun{
			ServiceLoad: s, short: s.Contract.Shape == service.ShortRequests, waiting: map[flow.Key]*waitState{},
			endpoint: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 51, 100, byte(i + 1)}), 443),
		})
	}
	return w
}

// zoneOf returns one of the three zones of the region.
func zoneOf(i int) zone.ID { return zone.ID{Region: "r1", Name: fmt.Sprintf("z%d", i%3+1)} }

// slots returns the slots of each upstream.
func (w *world) slots() int {
	if w.opts.Deployment.Slots > 0 {
		return w.opts.Deployment.Slots
	}
	return w.opts.Slots
}

// buildInventory passes on the changes that set up the services.
func (w *world) buildInventory(submit func(intent.Change)) {
	inv := intent.Inventory{}
	for i := range w.opts.Balancers {
		inv.Machines = append(inv.Machines, intent.Machine{
			ID: vm.ID(fmt.Sprintf("b%d", i+1)), Address: netip.AddrFrom4([4]byte{10, 0, 1, byte(i + 1)}),
			Zone: zoneOf(i), Role: vm.RoleBalancer,
		})
	}
	for n, s := range w.loads {
		inv.Services = append(inv.Services, intent.ServiceEntry{
			Name: s.Name, Endpoint: service.Endpoint{Address: s.endpoint, Protocol: service.TCP},
		})
		for i := range s.Upstreams {
			inv.Machines = append(inv.Machines, intent.Machine{
				ID: vm.ID(fmt.Sprintf("%s-%d", s.Name, i+1)), Address: netip.AddrFrom4([4]byte{10, 0, byte(n + 2), byte(i + 1)}),
				Zone: zoneOf(i), Role: vm.RoleUpstream, Service: s.Name, Slots: w.slots(), Connections: 2000,
			})
		}
	}
	submit(intent.Change{Kind: intent.KindInventory, Inventory: &inv})
	for _, s := range w.loads {
		submit(intent.Change{Kind: intent.KindContract, Contract: &intent.ContractRule{Service: s.Name, Contract: s.Contract}})
	}
}

// change applies a change to the intent and publishes it.
func (w *world) change(c intent.Change) {
	c.BaseRevision = w.intent.Revision
	c.OperationID = fmt.Sprintf("op-%d", w.intent.Revision)
	next, result := intent.Apply(w.intent, c)
	if result.Outcome != intent.Accepted {
		panic(fmt.Sprintf("the driver made a change that was %s: %s", result.Outcome, result.Reason))
	}
	w.intent = next
	w.accepted[next.Revision] = w.now
	w.publish(next, nil)
}

// publish spreads an update; every node learns it at its own time.
func (w *world) publish(state *intent.State, member *view.Member) {
	for _, m := range w.machines {
		w.learnLater(m, state, member)
	}
}

func (w *world) learnLater(m *machine, state *intent.State, member *view.Member) {
	delay := fanOutMin + time.Duration(w.changes.Int64N(int64(fanOutMax-fanOutMin)))
	if w.opts.ViewLag > 0 {
		delay += time.Duration(w.changes.Int64N(int64(w.opts.ViewLag)))
	}
	if member != nil && member.VM == m.id {
		delay = 0
	}
	w.after(delay, func() { m.learn(state, member) })
}

// announce publishes the status of a machine.
func (w *world) announce(m *machine, status view.Status) {
	w.versions++
	m.announced.Status, m.announced.Incarnation, m.announced.Version = status, m.incarnation, w.versions
	record := m.announced
	w.publish(nil, &record)
}

// send carries something over a link; it can be lost, doubled or delayed.
func (w *world) send(delay time.Duration, deliver func()) {
	if w.opts.Loss > 0 {
		if w.links.Float64() < w.opts.Loss {
			return
		}
		if w.links.Float64() < w.opts.Loss/2 {
			w.after(delay+w.jitter(2*delay), deliver)
		}
		if w.links.Float64() < w.opts.Loss {
			delay += w.jitter(4 * delay)
		}
	}
	w.after(delay+w.jitter(time.Duration(jitterShare*float64(delay))), deliver)
}

func (w *world) jitter(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(w.links.Int64N(int64(limit)))
}

func (w *world) delay(a, b zone.ID) time.Duration {
	if a == b {
		return sameZoneDelay
	}
	return w.opts.Deployment.ZoneDelay
}

// exchange is the longest time of one exchange between agents: the load
// interval and a message each way.
func (w *world) exchange() time.Duration {
	const loadInterval = 5 * time.Millisecond
	return loadInterval + time.Duration(2*(1+jitterShare)*float64(w.opts.Deployment.ZoneDelay))
}

// run returns the service with the given name.
func (w *world) run(name service.Name) *serviceRun {
	return w.loads[slices.IndexFunc(w.loads, func(s *serviceRun) bool { return s.Name == name })]
}

// account adds the time since the last change of a service to its imbalance.
// It is called before every change of busy slots or eligibility.
func (w *world) account(s *serviceRun) {
	if w.closing || w.now.Before(w.begin.Add(warmUp)) {
		s.usage.last = w.now
		return
	}
	var busy []int
	for _, m := range w.machines {
		if m.server != nil && m.service == s.Name && m.eligible() {
			busy = append(busy, m.server.busy)
		}
	}
	s.usage.advance(w.now, busy)
}

func (w *world) finish() {
	r := &w.result
	r.Imbalance = w.loads[0].usage.imbalance()
	r.HopsMean = round(w.samples.hops.Mean())
	r.HopsP99 = w.samples.hops.ValueAtQuantile(99)
	r.OpeningP99Ms = round(float64(w.samples.opening.ValueAtQuantile(99)) / 1e3)
}

// measureControl records the control traffic while openings arrived.
func (w *world) measureControl() {
	seconds := w.duration().Seconds()
	for _, m := range w.machines {
		w.result.ControlBytesPerNodeS = max(w.result.ControlBytesPerNodeS, round(float64(m.controlBytes)/seconds))
	}
}
