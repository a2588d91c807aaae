package steering_test

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/steering"
	"bramleyhold.example/bramleyhold/internal/view"
)

const (
	fleetLinkDelay = 200 * time.Microsecond
	fleetTick      = 10 * time.Millisecond
	fleetWork      = 20 * time.Millisecond
	fleetObjective = 250 * time.Millisecond
	fleetSlots     = 3
	fleetQueue     = 12
	fleetMeanSpeed = (0.6 + 1 + 1.6) / 3
)

// fleet connects real balancers and agents on virtual time. Each request opens a flow of
// its own. The upstreams are fakes: they work on fleetSlots requests at once and queue
// others.
type fleet struct {
	t         *testing.T
	now       time.Time
	events    []fleetEvent
	random    *rand.Rand
	learns    bool
	allKnown  bool
	balancers []*steering.Balancer
	upstreams []*unevenUpstream
	requests  map[uint16]*fleetRequest
	nextPort  uint16
	// sent, inAim and failed count requests since the last reset.
	sent, inAim, failed int
}

type unevenUpstream struct {
	agent   *steering.Agent
	index   int
	speed   float64
	running int
	queue   []*fleetRequest
	// slowdown multiplies the time of a request that starts beside the given number.
	slowdown func(running int) float64
	// failShare of the requests is reset at once. silent upstreams answer nothing.
	failShare float64
	silent    bool
	// taken counts the requests since the last reset.
	taken int
}

type fleetRequest struct {
	port     uint16
	balancer int
	sentAt   time.Time
	upstream *unevenUpstream
}

type fleetEvent struct {
	at  time.Time
	run func()
}

func fleetBalancerAddress(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, 1, 0, byte(i + 1)}) }

// newFleet returns a fleet whose upstreams have speeds from 0.6 to 1.6.
func newFleet(t *testing.T, seed uint64, balancers, upstreams int, learns bool) *fleet {
	f := &fleet{t: t, now: start, random: rand.New(rand.NewPCG(5, seed)), learns: learns, requests: map[uint16]*fleetRequest{}}
	speeds := []float64{0.6, 1, 1.6}
	list := make([]steering.Upstream, 0, upstreams)
	for i := range upstreams {
		u := &unevenUpstream{index: i, speed: speeds[i%len(speeds)], slowdown: func(int) float64 { return 1 }}
		f.upstreams = append(f.upstreams, u)
		f.startAgent(u)
		listed := newUpstream(i, orders, ownZone, view.Ready)
		listed.Slots = fleetSlots
		list = append(list, listed)
	}
	desired := newDesired(1, intent.WeightedService{Service: orders, Weight: 1})
	desired.Routes[0].Objective = fleetObjective
	for i := range balancers {
		b := steering.NewBalancer(steering.BalancerConfig{Zone: ownZone, MaxFlows: 10_000, Random: rand.New(rand.NewPCG(seed, uint64(i)))})
		b.SetDesired(desired)
		b.SetUpstreams(list, true)
		f.balancers = append(f.balancers, b)
	}
	f.after(fleetTick, f.tick)
	return f
}

// startAgent replaces the agent of an upstream by one that knows nothing.
func (f *fleet) startAgent(u *unevenUpstream) {
	u.agent = steering.NewAgent(steering.AgentConfig{Service: orders, IdleTimeout: 20 * time.Second, MaxFlows: 10_000, StartedAt: f.now, LearnsCapacity: f.learns})
	checkIn := newCheckIn(1, 0, view.Ready)
	checkIn.Slots = fleetSlots
	var actions []steering.Action
	u.agent.HandleCheckIn(f.now, checkIn, &actions)
}

func (f *fleet) after(delay time.Duration, run func()) {
	at := f.now.Add(delay)
	i, _ := slices.BinarySearchFunc(f.events, at, func(e fleetEvent, at time.Time) int {
		if e.at.After(at) {
			return 1
		}
		return -1
	})
	f.events = slices.Insert(f.events, i, fleetEvent{at: at, run: run})
}

// tick calls the timers of all processes.
func (f *fleet) tick() {
	for i, b := range f.balancers {
		var actions []steering.Action
		b.Tick(f.now, &actions)
		f.executeAtBalancer(i, actions)
	}
	for _, u := range f.upstreams {
		var actions []steering.Action
		u.agent.Tick(f.now, &actions)
		f.executeAtAgent(u, actions)
	}
	f.after(fleetTick, f.tick)
}

// run lets requests arrive for some time.
func (f *fleet) run(duration time.Duration, perSecond float64) {
	end := f.now.Add(duration)
	var arrive func()
	arrive = func() {
		f.send()
		f.after(time.Duration(f.random.ExpFloat64()/perSecond*float64(time.Second)), func() {
			if f.now.Before(end) {
				arrive()
			}
		})
	}
	arrive()
	for len(f.events) > 0 && f.events[0].at.Before(end) {
		event := f.events[0]
		f.events = f.events[1:]
		f.now = event.at
		event.run()
	}
	f.now = end
}

// resetCounts starts new counts.
func (f *fleet) resetCounts() {
	f.sent, f.inAim, f.failed = 0, 0, 0
	f.resetTaken()
}

// resetTaken starts new counts of the requests that each upstream takes.
func (f *fleet) resetTaken() {
	for _, u := range f.upstreams {
		u.taken = 0
	}
}

// share returns the requests that an upstream took as a multiple of the mean.
func (f *fleet) share(i int) float64 {
	total := 0
	for _, u := range f.upstreams {
		total += u.taken
	}
	return float64(f.upstreams[i].taken) * float64(len(f.upstreams)) / float64(max(total, 1))
}

// meanShare returns the mean share of some upstreams.
func (f *fleet) meanShare(indices []int) float64 {
	sum := 0.0
	for _, i := range indices {
		sum += f.share(i)
	}
	return sum / float64(max(len(indices), 1))
}

func (f *fleet) aimShare() float64 { return float64(f.inAim) / float64(f.sent) }

// send opens a flow at a random balancer.
func (f *fleet) send() {
	f.nextPort++
	r := &fleetRequest{port: f.nextPort, balancer: f.random.IntN(len(f.balancers)), sentAt: f.now}
	f.requests[r.port] = r
	f.sent++
	if f.allKnown {
		f.work(f.bestUpstream(), r)
		return
	}
	f.toBalancer(r, openingPacket(r.port))
}

// bestUpstream returns the upstream that answers the next request first, with full
// knowledge.
func (f *fleet) bestUpstream() *unevenUpstream {
	best, bestTime := f.upstreams[0], math.Inf(1)
	for _, u := range f.upstreams {
		waiting := float64(max(u.running+len(u.queue)+1-fleetSlots, 0))
		expected := u.slowdown(u.running+1) / u.speed * (1 + waiting/fleetSlots)
		if u.silent || u.failShare > 0 {
			expected = math.MaxFloat64
		}
		if expected < bestTime {
			best, bestTime = u, expected
		}
	}
	return best
}

func (f *fleet) toBalancer(r *fleetRequest, packet *steering.Packet) {
	var actions []steering.Action
	f.balancers[r.balancer].HandlePacket(f.now, packet, []byte("packet"), &actions)
	f.executeAtBalancer(r.balancer, actions)
}

func (f *fleet) executeAtBalancer(balancer int, actions []steering.Action) {
	for _, action := range actions {
		r := f.requests[action.Flow.Caller.Port()]
		switch {
		case action.Kind == steering.Reset && r != nil:
			delete(f.requests, r.port)
			f.failed++
		case action.Kind == steering.Forward && r != nil:
			u, packet := f.upstreams[agentNumber(action.To)], openingPacket(r.port)
			if action.Reason == steering.KnownFlow {
				packet = callerPacket(r.port, 10)
			}
			f.after(fleetLinkDelay, func() {
				var out []steering.Action
				u.agent.HandleBalancerPacket(f.now, packet, action.Header, fleetBalancerAddress(balancer), []byte("packet"), &out)
				f.executeAtAgent(u, out)
			})
		}
	}
}

func (f *fleet) executeAtAgent(u *unevenUpstream, actions []steering.Action) {
	for _, action := range actions {
		r := f.requests[action.Flow.Caller.Port()]
		switch {
		case action.Kind == steering.SendMessage:
			message, from := action.Message, agentAddress(u.index)
			balancer := int(action.To.As4()[3]) - 1
			f.after(fleetLinkDelay, func() {
				var out []steering.Action
				f.balancers[balancer].HandleMessage(f.now, from, &message, &out)
				f.executeAtBalancer(balancer, out)
			})
		case action.Kind == steering.Deliver && r != nil && r.upstream == nil:
			r.upstream = u
			f.fromUpstream(u, upstreamPacket(r.port, steering.SYN|steering.ACK, 0))
			f.after(2*time.Millisecond, func() { f.toBalancer(r, callerPacket(r.port, 10)) })
		case action.Kind == steering.Deliver && r != nil:
			f.work(u, r)
		}
	}
}

func (f *fleet) fromUpstream(u *unevenUpstream, packet *steering.Packet) {
	var actions []steering.Action
	u.agent.HandleUpstreamPacket(f.now, packet, []byte("packet"), &actions)
	f.executeAtAgent(u, actions)
}

// work starts or queues a request at an upstream.
func (f *fleet) work(u *unevenUpstream, r *fleetRequest) {
	r.upstream = u
	u.taken++
	switch {
	case u.silent:
		delete(f.requests, r.port)
		f.failed++
	case f.random.Float64() < u.failShare, len(u.queue) >= fleetQueue:
		f.finish(u, r, steering.RST)
	case u.running >= fleetSlots:
		u.queue = append(u.queue, r)
	default:
		u.running++
		spread := math.Exp(0.5 * f.random.NormFloat64())
		if f.random.Float64() < 0.03 {
			spread *= 7
		}
		taken := float64(fleetWork) * spread * u.slowdown(u.running) / u.speed
		f.after(time.Duration(taken), func() {
			u.running--
			f.finish(u, r, steering.ACK|steering.FIN)
			if len(u.queue) > 0 {
				next := u.queue[0]
				u.queue = u.queue[1:]
				u.taken--
				f.work(u, next)
			}
		})
	}
}

// finish ends a request with an answer, or with a reset.
func (f *fleet) finish(u *unevenUpstream, r *fleetRequest, flags steering.Flags) {
	switch {
	case flags.Has(steering.RST):
		f.failed++
	case f.now.Sub(r.sentAt) <= fleetObjective:
		f.inAim++
	}
	payload := 10
	if flags.Has(steering.RST) {
		payload = 0
	}
	if !f.allKnown {
		f.fromUpstream(u, upstreamPacket(r.port, flags, payload))
	}
	delete(f.requests, r.port)
}
