package steering_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/steering"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

const (
	coldTime      = 2 * time.Second
	coldRate      = 20
	coldBound     = coldRate*1.5 + 5
	fleetUpstream = 4
	fleetBalancer = 20
)

var coldTerms = steering.Terms{Revision: 1, WarmUps: []steering.ServiceWarmUp{{Service: orders, Duration: coldTime, Rate: coldRate}}}

// coldVM is an upstream with its agent. It knows when it really is cold.
type coldVM struct {
	agent            *steering.Agent
	incarnation      vm.Incarnation
	sequence         uint64
	silent           bool
	coldSince, until time.Time
	// delivered has the openings that it got while it was cold, with all copies.
	delivered []time.Time
}

// coldFleet has balancers and upstreams on virtual time, in steps of a millisecond.
type coldFleet struct {
	t               *testing.T
	now             time.Time
	random          *rand.Rand
	events          map[time.Time][]func()
	balancers       []*steering.Balancer
	vms             []*coldVM
	answered        map[uint16]bool
	offered, served int
}

func newColdFleet(t *testing.T, seed uint64) *coldFleet {
	f := &coldFleet{t: t, now: start, random: rand.New(rand.NewPCG(seed, 1)), events: map[time.Time][]func(){}, answered: map[uint16]bool{}}
	desired := newDesired(1, intent.WeightedService{Service: orders, Weight: 1})
	desired.Services = []intent.DesiredService{{Name: orders, WarmUp: coldTime, WarmUpRate: coldRate}}
	var list []steering.Upstream
	for i := range fleetUpstream {
		list = append(list, newUpstream(i, orders, ownZone, view.Ready))
		f.vms = append(f.vms, &coldVM{incarnation: 1})
		f.restartAgent(i)
	}
	for i := range fleetBalancer {
		b := steering.NewBalancer(steering.BalancerConfig{Zone: ownZone, MaxFlows: 10_000, Random: rand.New(rand.NewPCG(seed, uint64(i)))})
		b.SetDesired(desired)
		b.SetUpstreams(list, true)
		f.balancers = append(f.balancers, b)
	}
	return f
}

func (f *coldFleet) restartAgent(i int) {
	f.vms[i].agent = steering.NewAgent(steering.AgentConfig{
		Service: orders, CheckInInterval: time.Second, IdleTimeout: 20 * time.Second, MaxFlows: 10_000, StartedAt: f.now, WarmUpOvershoot: 1.5, WarmUpSlack: 5,
	})
	f.later(f.checkInAndTerms(i))
}

// checkInAndTerms returns an event that is what an agent gets after its start.
func (f *coldFleet) checkInAndTerms(i int) func() {
	return func() { f.vms[i].agent.SetTerms(f.now, coldTerms); f.checkIn(i) }
}

func (f *coldFleet) checkIn(i int) {
	v := f.vms[i]
	v.sequence++
	checkIn := newCheckIn(v.incarnation, v.sequence, view.Ready)
	checkIn.WarmUp = max(0, v.until.Sub(f.now))
	f.runAgent(i, func(out *[]steering.Action) { v.agent.HandleCheckIn(f.now, checkIn, out) })
}

// turnCold makes an upstream cold without telling anyone.
func (f *coldFleet) turnCold(i int) { f.vms[i].coldSince, f.vms[i].until = f.now, f.now.Add(coldTime) }

// later runs an event after the delay of a link.
func (f *coldFleet) later(event func()) {
	at := f.now.Add(time.Duration(1+f.random.IntN(4)) * time.Millisecond)
	f.events[at] = append(f.events[at], event)
}

func (f *coldFleet) runBalancer(i int, decide func(out *[]steering.Action)) {
	var actions []steering.Action
	decide(&actions)
	for _, a := range actions {
		if a.Kind != steering.Forward || f.random.Float64() < 0.02 {
			continue
		}
		packet := callerPacket(a.Flow.Caller.Port(), 10)
		if string(a.Data) == "SYN" {
			packet = openingPacket(a.Flow.Caller.Port())
		}
		f.later(func() {
			f.runAgent(agentNumber(a.To), func(out *[]steering.Action) {
				f.vms[agentNumber(a.To)].agent.HandleBalancerPacket(f.now, packet, a.Header, netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), a.Data, out)
			})
		})
	}
}

func (f *coldFleet) runAgent(i int, decide func(out *[]steering.Action)) {
	var actions []steering.Action
	decide(&actions)
	for _, a := range actions {
		switch port := a.Flow.Caller.Port(); {
		case a.Kind == steering.Deliver:
			f.deliver(i, port, string(a.Data) == "SYN")
		case a.Kind == steering.Reply && string(a.Data) == "SYN" && !f.answered[port]:
			f.answered[port] = true
			f.served++
			f.later(func() { f.send(port, callerPacket(port, 10), "data") })
		case a.Kind == steering.SendMessage && f.random.Float64() >= 0.05:
			balancer := int(a.To.As4()[3])
			f.later(func() {
				f.runBalancer(balancer, func(out *[]steering.Action) {
					f.balancers[balancer].HandleMessage(f.now, agentAddress(i), &a.Message, out)
				})
			})
		}
	}
}

// deliver hands a packet to an upstream, which answers it.
func (f *coldFleet) deliver(i int, port uint16, opening bool) {
	v := f.vms[i]
	if v.silent {
		return
	}
	answer, data := upstreamPacket(port, steering.ACK|steering.FIN, 10), "data"
	if opening {
		answer, data = upstreamPacket(port, steering.SYN|steering.ACK, 0), "SYN"
		if f.now.Before(v.until) {
			v.delivered = append(v.delivered, f.now)
		}
	}
	f.later(func() {
		f.runAgent(i, func(out *[]steering.Action) { v.agent.HandleUpstreamPacket(f.now, answer, []byte(data), out) })
	})
}

func (f *coldFleet) send(port uint16, packet *steering.Packet, data string) {
	i := int(port) % fleetBalancer
	f.runBalancer(i, func(out *[]steering.Action) { f.balancers[i].HandlePacket(f.now, packet, []byte(data), out) })
}

// run lets callers open flows at a rate per second, each with a copy after 200 ms if it
// has got no answer. Upstreams check in every 1.2 s; three in ten check-ins are lost.
func (f *coldFleet) run(span time.Duration, perSecond float64) {
	for end := f.now.Add(span); f.now.Before(end); f.now = f.now.Add(time.Millisecond) {
		if f.random.Float64() < perSecond/1000 {
			f.offered++
			port := uint16(f.offered)
			f.send(port, openingPacket(port), "SYN")
			again := f.now.Add(200 * time.Millisecond)
			f.events[again] = append(f.events[again], func() {
				if !f.answered[port] {
					f.send(port, openingPacket(port), "SYN")
				}
			})
		}
		for _, event := range f.events[f.now] {
			event()
		}
		delete(f.events, f.now)
		for i, b := range f.balancers {
			f.runBalancer(i, func(out *[]steering.Action) { b.Tick(f.now, out) })
		}
		for i, v := range f.vms {
			f.runAgent(i, func(out *[]steering.Action) { v.agent.Tick(f.now, out) })
			if f.now.Sub(start).Milliseconds()%1200 == int64(300*i) && !v.silent && f.random.Float64() > 0.3 {
				f.checkIn(i)
			}
		}
	}
}

// requireBound checks each second in which an upstream was cold.
func (f *coldFleet) requireBound() {
	for i, v := range f.vms {
		for first := range v.delivered {
			count := 0
			for _, at := range v.delivered[first:] {
				if at.Sub(v.delivered[first]) < time.Second {
					count++
				}
			}
			require.LessOrEqual(f.t, float64(count), coldBound, "upstream %d, second from %s", i, v.delivered[first].Sub(start))
		}
	}
}

// Many balancers with stale knowledge, and links that lose messages: no second in which an
// upstream is cold may have more openings than its bound, and what the upstreams bear must
// be used. One agent restarts beside a cold upstream, one upstream crashes and starts
// again unseen, and all become cold without a restart while they are out of service.
func TestColdUpstreamsOfManyBalancers(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		f := newColdFleet(t, seed)
		f.run(time.Second, 200)
		f.turnCold(0)
		f.vms[0].incarnation, f.vms[0].sequence = 2, 0
		f.checkIn(0)
		before := f.offered
		f.run(500*time.Millisecond, 200)
		f.restartAgent(0)
		f.run(2*time.Second, 200)
		f.vms[1].silent = true
		f.run(400*time.Millisecond, 200)
		f.vms[1].silent, f.vms[1].incarnation, f.vms[1].sequence = false, 2, 0
		f.turnCold(1)
		f.run(3*time.Second, 200)
		share := float64(f.served-before) / float64(f.offered-before)
		t.Logf("seed %d: %.3f of the openings served while one of four upstreams was cold", seed, share)
		require.Greater(t, share, 0.95)

		f.run(1200*time.Millisecond, 0)
		for i, v := range f.vms {
			f.turnCold(i)
			v.agent.PresumeCold(f.now)
		}
		served := f.served
		f.run(coldTime, 200)
		share = float64(f.served-served) / (fleetUpstream * coldRate * coldTime.Seconds())
		t.Logf("seed %d: %.3f of what four cold upstreams bear", seed, share)
		require.Greater(t, share, 0.75)
		f.requireBound()
	}
}

// newColdAgent returns an agent that knows the terms, and whose upstream has just started.
func newColdAgent(t *testing.T) *agentHarness {
	a := &agentHarness{t: t, now: start, Agent: steering.NewAgent(steering.AgentConfig{
		Service: orders, CheckInInterval: time.Second, IdleTimeout: 20 * time.Second, MaxFlows: 100, StartedAt: start, WarmUpOvershoot: 1.5, WarmUpSlack: 5,
	})}
	require.True(t, a.SetTerms(a.now, coldTerms))
	checkIn := newCheckIn(7, 1, view.Ready)
	checkIn.StartedAt, checkIn.WarmUp = start, coldTime
	require.True(t, a.checkIn(checkIn))
	return a
}

// Guards against an agent that follows older terms, or that lets in openings before it
// knows what its predecessor let in.
func TestAgentWithColdUpstream(t *testing.T) {
	a := newColdAgent(t)
	deliver := func(port uint16) steering.Action {
		return a.handleCallerPacket(openingPacket(port), asLastAttempt(ownHeader))[0]
	}
	require.Equal(t, steering.Deliver, deliver(1).Kind, "the upstream started with its agent: nothing came before")
	copies := 0
	for range 100 {
		if action := deliver(1); action.Kind == steering.Deliver {
			copies++
		} else {
			require.Equal(t, steering.Drop, action.Kind, "an upstream that has got the opening may accept it")
		}
	}
	require.Equal(t, coldBound-1, float64(copies))
	require.Equal(t, steering.WarmingUp, deliver(2).Message.Verdict)
	a.now = a.now.Add(1200 * time.Millisecond)
	require.Equal(t, steering.Deliver, deliver(3).Kind)

	require.False(t, a.SetTerms(a.now, steering.Terms{Revision: 1}))
	require.EqualValues(t, coldRate, a.WarmUp(a.now).Rate)
	require.True(t, a.SetTerms(a.now, steering.Terms{Revision: 2}))
	require.Zero(t, a.WarmUp(a.now).Bound, "no rate is stated any more")

	a = newAgentHarness(t)
	a.now = start.Add(time.Millisecond)
	require.True(t, a.SetTerms(a.now, coldTerms))
	checkIn := newCheckIn(7, 9, view.Ready)
	checkIn.StartedAt, checkIn.WarmUp = start.Add(-time.Second/2), coldTime
	require.True(t, a.checkIn(checkIn))
	require.Equal(t, steering.WarmingUp, deliver(2).Message.Verdict, "the predecessor may have let in as many as allowed")
	a.now = start.Add(1100 * time.Millisecond)
	require.Equal(t, steering.Deliver, deliver(2).Kind)
}

// A flow that the upstream returns although it held it shows that its process is another
// one, whose check-in was lost.
func TestReturnedFlowPresumesColdUpstream(t *testing.T) {
	a := newColdAgent(t)
	a.openFlow(1)
	a.now = a.now.Add(5 * time.Second)
	require.Equal(t, "warm", a.WarmUp(a.now).Phase.String())
	a.handleCallerPacket(callerPacket(1, 10), ownHeader)
	packet := callerPacket(1, 10)
	packet.Flags |= steering.Returned
	a.handleUpstreamPacket(packet)
	require.Equal(t, "cold", a.WarmUp(a.now).Phase.String())
	a.now = a.now.Add(time.Second)
	require.False(t, a.checkIn(newCheckIn(7, 2, view.Ready)))
	require.Equal(t, "warm", a.WarmUp(a.now).Phase.String())
}

// While an agent is suspended, its upstream may start again, and the check-ins that it
// finds afterwards may be older than that.
func TestSuspendedAgentPresumesColdUpstream(t *testing.T) {
	a := newColdAgent(t)
	for sequence := uint64(2); sequence < 8; sequence++ {
		a.now = a.now.Add(time.Second)
		a.checkIn(newCheckIn(7, sequence, view.Ready))
	}
	require.Equal(t, "warm", a.WarmUp(a.now).Phase.String())
	a.now = a.now.Add(3 * time.Second)
	a.checkIn(newCheckIn(7, 9, view.Ready))
	require.Equal(t, "cold", a.WarmUp(a.now).Phase.String())
	delivered := 0
	for port := range uint16(100) {
		if a.handleCallerPacket(openingPacket(port), asLastAttempt(ownHeader))[0].Kind == steering.Deliver {
			delivered++
		}
	}
	require.LessOrEqual(t, delivered, coldRate/4)
	a.now = a.now.Add(1200 * time.Millisecond)
	a.checkIn(newCheckIn(7, 10, view.Ready))
	require.Equal(t, "warm", a.WarmUp(a.now).Phase.String())
}

// An opening that a cold upstream rejects must be sent to another one at once. If all are
// cold and full, it must be refused: openings that wait would reach them together.
func TestColdUpstreamsAreAvoided(t *testing.T) {
	b := newBalancerHarness(t, newUpstream(1, orders, ownZone, view.Ready), newUpstream(2, orders, otherZone, view.Ready), newUpstream(3, orders, otherZone, view.Starting))
	require.Equal(t, agentAddress(1), b.handlePacket(openingPacket(1))[0].To)
	warmingUp := steering.Message{Kind: steering.OpeningRejected, Verdict: steering.WarmingUp, Sequence: 100}
	actions := b.handleMessage(1, warmingUp)
	require.Equal(t, agentAddress(2), actions[0].To)
	require.Equal(t, agentAddress(2), b.handlePacket(openingPacket(2))[0].To, "not tried in vain")
	actions = b.handleMessage(2, warmingUp)
	require.Equal(t, steering.AllWarmingUp, actions[0].Reason)
	require.Equal(t, steering.AllWarmingUp, b.handlePacket(openingPacket(3))[0].Reason, "refused without an exchange")
	b.now = b.now.Add(100 * time.Millisecond)
	require.Equal(t, agentAddress(1), b.handlePacket(openingPacket(4))[0].To)
}

// Openings that have waited for an upstream must not all be sent to it when it becomes
// ready and is cold.
func TestQueuedOpeningsAreNotReleasedTogether(t *testing.T) {
	b := newBalancerHarness(t, newUpstream(1, orders, ownZone, view.Starting))
	desired := newDesired(2, intent.WeightedService{Service: orders, Weight: 1})
	desired.Services = []intent.DesiredService{{Name: orders, WarmUp: coldTime, WarmUpRate: 5}}
	b.SetDesired(desired)
	for port := uint16(1); port <= 50; port++ {
		require.Equal(t, steering.OpeningQueued, b.handlePacket(openingPacket(port))[0].Kind)
	}
	cold := newUpstream(1, orders, ownZone, view.Ready)
	cold.WarmUpUntil = start.Add(coldTime)
	b.SetUpstreams([]steering.Upstream{cold}, true)
	b.RetryPending(b.now, false, &b.actions)
	sent := 0
	for _, action := range b.takeActions() {
		if action.Kind == steering.Forward {
			sent++
		} else {
			require.Equal(t, steering.AllWarmingUp, action.Reason)
		}
	}
	require.LessOrEqual(t, sent, 10)
}

// A stated rate must rank a cold upstream by what it bears, not by its free slots.
func TestStatedRateRanksColdUpstream(t *testing.T) {
	cold := newUpstream(1, orders, ownZone, view.Ready)
	cold.WarmUpUntil, cold.Slots = start.Add(coldTime), 20
	b := newBalancerHarness(t, cold, newUpstream(2, orders, ownZone, view.Ready))
	desired := newDesired(2, intent.WeightedService{Service: orders, Weight: 1})
	desired.Services = []intent.DesiredService{{Name: orders, WarmUp: coldTime, WarmUpRate: 2}}
	b.SetDesired(desired)
	count := 0
	for port := uint16(1); port <= 4; port++ {
		if b.handlePacket(openingPacket(port))[0].To == agentAddress(1) {
			count++
		}
	}
	require.LessOrEqual(t, count, 2)
}
