package steering_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/steering"
	"bramleyhold.example/bramleyhold/internal/view"
)

const (
	loadSlots     = 3
	loadQueue     = 8
	loadUpstreams = 12
	loadObjective = 400 * time.Millisecond
	loadDeadline  = 5 * time.Second
	loadTries     = 3
	linkDelay     = time.Millisecond
)

// loadClass is one of the two classes: the urgent one opens a flow for each request, the
// feed sends many requests on long flows.
type loadClass struct {
	virtual   netip.AddrPort
	work      time.Duration
	perSecond float64
	longFlows bool
	// burst multiplies the demand from burstFrom to burstTo.
	burst float64

	asked, inAim, late, failed, atDeadline int
	// refused counts the tries that were refused, rejected those that the upstream rejected.
	refused, rejected int
}

func (c *loadClass) share(count int) float64 { return float64(count) / float64(c.asked) }

func (c *loadClass) String() string {
	return fmt.Sprintf("asked %d, in aim %.3f, late %.3f, failed %.3f, at the deadline %.3f; tries refused %d, rejected %d", c.asked, c.share(c.inAim), c.share(c.late), c.share(c.failed), c.share(c.atDeadline), c.refused, c.rejected)
}

const (
	burstFrom = 3 * time.Second
	burstTo   = 9 * time.Second
	loadEnd   = 12 * time.Second
)

// loadRequest is a request of a caller with its tries.
type loadRequest struct {
	class   *loadClass
	askedAt time.Time
	tries   int
	done    bool
}

// loadFlow is a flow of a caller. request is its current request.
type loadFlow struct {
	key      flow.Key
	class    *loadClass
	open     bool
	sequence uint32
	request  *loadRequest
}

// loadUpstream is a fake upstream with slots and a bounded queue. It rejects what does not
// fit with an answer.
type loadUpstream struct {
	agent   *steering.Agent
	working int
	queue   []steering.Packet
	slow    bool
}

type loadEvent struct {
	at  time.Time
	run func()
}

// classLoad plays callers against real agents and balancers on virtual time.
type classLoad struct {
	now       time.Time
	events    []loadEvent // The latest is first.
	random    *rand.Rand
	balancers []*steering.Balancer
	upstreams map[netip.Addr]*loadUpstream
	flows     map[flow.Key]*loadFlow
	idle      map[*loadClass][]*loadFlow
	packets   []steering.Packet
	ports     int
}

func (l *classLoad) after(d time.Duration, run func()) {
	at := l.now.Add(d)
	index, _ := slices.BinarySearchFunc(l.events, at, func(e loadEvent, at time.Time) int { return at.Compare(e.at) })
	l.events = slices.Insert(l.events, index, loadEvent{at: at, run: run})
}

func newClassLoad(urgentPriority int, classes ...*loadClass) *classLoad {
	l := &classLoad{now: start, random: rand.New(rand.NewPCG(3, 4)), upstreams: map[netip.Addr]*loadUpstream{}, flows: map[flow.Key]*loadFlow{}, idle: map[*loadClass][]*loadFlow{}}
	desired := &intent.DesiredState{Version: 1, IdleTimeout: 15 * time.Second}
	for _, class := range classes {
		route := intent.Route{Name: class.virtual.String(), Virtual: class.virtual, Backends: []intent.WeightedService{{Service: orders, Weight: 1}}, Kind: intent.Idempotent, Timeout: loadDeadline, Objective: loadObjective, Priority: 2}
		if !class.longFlows {
			route.Kind, route.Priority = intent.NonIdempotent, urgentPriority
		}
		desired.Routes = append(desired.Routes, route)
	}
	var list []steering.Upstream
	for i := 1; i <= loadUpstreams; i++ {
		listed := newUpstream(i, orders, ownZone, view.Ready)
		listed.Slots = loadSlots
		list = append(list, listed)
		agent := steering.NewAgent(steering.AgentConfig{Service: orders, CheckInInterval: time.Second, IdleTimeout: time.Minute, MaxFlows: 10_000, StartedAt: start, AdmitsByClass: true})
		checkIn := newCheckIn(1, 0, view.Ready)
		checkIn.Slots = loadSlots
		agent.HandleCheckIn(start, checkIn, new([]steering.Action))
		l.upstreams[agentAddress(i)] = &loadUpstream{agent: agent, slow: i%3 == 0}
	}
	for i := range 4 {
		b := steering.NewBalancer(steering.BalancerConfig{Zone: ownZone, MaxFlows: 10_000, AdmitsByClass: true, Random: rand.New(rand.NewPCG(uint64(i), 2))})
		b.SetDesired(desired)
		b.SetUpstreams(list, true)
		l.balancers = append(l.balancers, b)
	}
	for _, class := range classes {
		l.after(0, func() { l.ask(class) })
	}
	l.after(0, l.tick)
	return l
}

func (l *classLoad) play() {
	for len(l.events) > 0 {
		event := l.events[len(l.events)-1]
		l.events, l.now = l.events[:len(l.events)-1], event.at
		event.run()
	}
}

func (l *classLoad) tick() {
	for i, b := range l.balancers {
		var actions []steering.Action
		b.Tick(l.now, &actions)
		l.balancerActions(i, actions)
	}
	for i := 1; i <= loadUpstreams; i++ {
		var actions []steering.Action
		l.upstreams[agentAddress(i)].agent.Tick(l.now, &actions)
		l.agentActions(agentAddress(i), actions)
	}
	if l.now.Before(start.Add(loadEnd + loadDeadline)) {
		l.after(10*time.Millisecond, l.tick)
	}
}

// ask starts a request of a class and schedules the next one.
func (l *classLoad) ask(class *loadClass) {
	elapsed := l.now.Sub(start)
	if elapsed >= loadEnd {
		return
	}
	rate := class.perSecond
	if elapsed >= burstFrom && elapsed < burstTo {
		rate *= class.burst
	}
	l.after(time.Duration(l.random.ExpFloat64()/rate*float64(time.Second)), func() { l.ask(class) })
	request := &loadRequest{class: class, askedAt: l.now}
	class.asked++
	l.after(loadDeadline, func() {
		if !request.done {
			request.done = true
			class.failed++
			class.atDeadline++
		}
	})
	l.try(request)
}

// try sends a request on an idle flow of its class, or opens one.
func (l *classLoad) try(request *loadRequest) {
	if request.done {
		return
	}
	request.tries++
	class := request.class
	if idle := l.idle[class]; len(idle) > 0 {
		pick := l.random.IntN(len(idle))
		chosen := idle[pick]
		l.idle[class] = append(idle[:pick], idle[pick+1:]...)
		chosen.request = request
		l.sendData(chosen)
		return
	}
	l.ports++
	key := flow.Key{Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(l.ports >> 14), 1}), uint16(l.ports&(1<<14-1)+1)), Virtual: class.virtual, Protocol: 6}
	opened := &loadFlow{key: key, class: class, sequence: 100, request: request}
	l.flows[key] = opened
	l.sendToBalancer(steering.Packet{Flow: key, Flags: steering.SYN, Sequence: 100})
}

func (l *classLoad) sendData(f *loadFlow) {
	l.sendToBalancer(steering.Packet{Flow: f.key, Flags: steering.ACK, Sequence: f.sequence + 1, Ack: answerSequence + 1, Payload: 100})
	f.sequence += 100
}

// fail handles a try that was refused or rejected. Callers return after delays of their
// own.
func (l *classLoad) fail(request *loadRequest) {
	switch {
	case request.done:
	case request.tries < loadTries:
		l.after(50*time.Millisecond+time.Duration(l.random.Int64N(int64(100*time.Millisecond))), func() { l.try(request) })
	default:
		request.done = true
		request.class.failed++
	}
}

func (l *classLoad) sendToBalancer(packet steering.Packet) {
	index := int(packet.Flow.Caller.Port()) % len(l.balancers)
	l.packets = append(l.packets, packet)
	data := binary.BigEndian.AppendUint32(nil, uint32(len(l.packets)-1))
	l.after(linkDelay, func() {
		var actions []steering.Action
		l.balancers[index].HandlePacket(l.now, &packet, data, &actions)
		l.balancerActions(index, actions)
	})
}

func balancerAddress(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}) }

func (l *classLoad) balancerActions(index int, actions []steering.Action) {
	for _, action := range actions {
		switch action.Kind {
		case steering.Forward:
			packet := l.packets[binary.BigEndian.Uint32(action.Data)]
			l.after(linkDelay, func() {
				var out []steering.Action
				l.upstreams[action.To].agent.HandleBalancerPacket(l.now, &packet, action.Header, balancerAddress(index), action.Data, &out)
				l.agentActions(action.To, out)
			})
		case steering.Reset:
			l.after(linkDelay, func() {
				if f := l.flows[action.Flow]; f != nil {
					delete(l.flows, action.Flow)
					f.class.refused++
					l.fail(f.request)
				}
			})
		}
	}
}

func (l *classLoad) agentActions(address netip.Addr, actions []steering.Action) {
	for _, action := range actions {
		switch action.Kind {
		case steering.Deliver:
			l.deliver(address, l.packets[binary.BigEndian.Uint32(action.Data)])
		case steering.SendMessage:
			l.after(linkDelay, func() {
				index := int(action.To.As4()[3])
				var out []steering.Action
				l.balancers[index].HandleMessage(l.now, address, &action.Message, &out)
				l.balancerActions(index, out)
			})
		}
	}
}

// deliver passes a packet to the upstream.
func (l *classLoad) deliver(address netip.Addr, packet steering.Packet) {
	u := l.upstreams[address]
	switch {
	case packet.Flags.Has(steering.SYN):
		l.reply(address, steering.Packet{Flow: packet.Flow, Flags: steering.SYN | steering.ACK, Sequence: answerSequence}, func(f *loadFlow) {
			f.open = true
			l.sendData(f)
		})
	case packet.Payload == 0:
	case u.working < loadSlots:
		l.work(address, packet)
	case len(u.queue) < loadQueue:
		u.queue = append(u.queue, packet)
	default:
		l.answer(address, packet.Flow, func(f *loadFlow) {
			f.class.rejected++
			l.fail(f.request)
		})
	}
}

func (l *classLoad) work(address netip.Addr, packet steering.Packet) {
	u := l.upstreams[address]
	u.working++
	took := time.Duration(float64(l.flows[packet.Flow].class.work) * (0.5 + l.random.Float64()))
	if elapsed := l.now.Sub(start); u.slow && elapsed >= burstFrom && elapsed < burstTo {
		took *= 5
	}
	l.after(took, func() {
		u.working--
		l.answer(address, packet.Flow, l.succeed)
		if len(u.queue) > 0 {
			next := u.queue[0]
			u.queue = u.queue[1:]
			l.work(address, next)
		}
	})
}

func (l *classLoad) succeed(f *loadFlow) {
	request := f.request
	if request.done {
		return
	}
	request.done = true
	if l.now.Sub(request.askedAt) <= loadObjective {
		request.class.inAim++
	} else {
		request.class.late++
	}
}

// answer sends an answer and ends the flow of a class without long flows.
func (l *classLoad) answer(address netip.Addr, key flow.Key, received func(*loadFlow)) {
	f := l.flows[key]
	packet := steering.Packet{Flow: key, Flags: steering.ACK, Sequence: answerSequence + 1, Payload: 100}
	if !f.class.longFlows {
		packet.Flags |= steering.FIN
	}
	l.reply(address, packet, func(f *loadFlow) {
		received(f)
		if f.class.longFlows {
			l.idle[f.class] = append(l.idle[f.class], f)
		}
	})
}

func (l *classLoad) reply(address netip.Addr, packet steering.Packet, received func(*loadFlow)) {
	var out []steering.Action
	l.upstreams[address].agent.HandleUpstreamPacket(l.now, &packet, nil, &out)
	l.agentActions(address, out)
	l.after(linkDelay, func() {
		if f := l.flows[packet.Flow]; f != nil {
			received(f)
		}
	})
}

// playClassLoad plays demand of 0.75 of the room, which rises by the given factors while a
// third of the upstreams takes five times as long.
func playClassLoad(t *testing.T, urgentPriority int, urgentBurst, feedBurst float64) (urgent, feed *loadClass) {
	room := float64(loadUpstreams*loadSlots) * 0.75
	urgent = &loadClass{virtual: netip.MustParseAddrPort("198.18.0.1:8080"), work: 61 * time.Millisecond, burst: urgentBurst}
	feed = &loadClass{virtual: netip.MustParseAddrPort("198.18.0.1:8443"), work: 47 * time.Millisecond, burst: feedBurst, longFlows: true}
	urgent.perSecond, feed.perSecond = 0.27*room/urgent.work.Seconds(), 0.73*room/feed.work.Seconds()
	newClassLoad(urgentPriority, urgent, feed).play()
	t.Logf("urgent: %v", urgent)
	t.Logf("feed:   %v", feed)
	return urgent, feed
}

// While a third of the upstreams is slow and demand is at 1.9 times the room, the class
// that matters most must be served.
func TestUrgentClassIsServedUnderOverload(t *testing.T) {
	urgent, feed := playClassLoad(t, 1, 1.9, 1.9)
	require.GreaterOrEqual(t, urgent.share(urgent.inAim), 0.95)
	require.Less(t, urgent.share(urgent.failed), 0.01)
	require.Less(t, feed.share(feed.atDeadline), 0.01)
}

// Under the same load, the class that gives way must be served no worse than without
// classes.
func TestLowerClassKeepsItsShareUnderOverload(t *testing.T) {
	_, alike := playClassLoad(t, 2, 1.9, 1.9)
	_, feed := playClassLoad(t, 1, 1.9, 1.9)
	require.GreaterOrEqual(t, feed.share(feed.inAim), alike.share(alike.inAim))
	require.LessOrEqual(t, feed.share(feed.failed), alike.share(alike.failed))
}

// A burst of one class must not cost the other.
func TestBurstOfOneClassDoesNotCostTheOther(t *testing.T) {
	urgent, _ := playClassLoad(t, 1, 1, 2.6)
	require.GreaterOrEqual(t, urgent.share(urgent.inAim), 0.95)
	require.Less(t, urgent.share(urgent.failed), 0.01)
}
