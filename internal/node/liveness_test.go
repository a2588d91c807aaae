package node

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/gopacket/gopacket/layers"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/agent"
	"bramleyhold.example/bramleyhold/internal/event"
	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/frame"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/membership"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/udplink"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// exchange delivers gossip between membership nodes under virtual time.
type exchange struct {
	now   time.Time
	queue []delivery
	nodes map[netip.AddrPort]participant
}

type delivery struct {
	from, to netip.AddrPort
	body     []byte
}

type participant struct {
	handle func(from netip.AddrPort, body []byte)
	tick   func()
}

func newExchange() *exchange {
	return &exchange{now: time.Unix(1000, 0), nodes: map[netip.AddrPort]participant{}}
}

func (x *exchange) run(d time.Duration) {
	for end := x.now.Add(d); x.now.Before(end); x.now = x.now.Add(membership.TickInterval) {
		// A fixed order gives the same verdict on every run.
		for _, at := range slices.SortedFunc(maps.Keys(x.nodes), netip.AddrPort.Compare) {
			x.nodes[at].tick()
		}
		for len(x.queue) > 0 {
			d := x.queue[0]
			x.queue = x.queue[1:]
			if to, ok := x.nodes[d.to]; ok {
				to.handle(d.from, d.body)
			}
		}
	}
}

func peerAddress(n byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 7000)
}

// join adds a process to the exchange. The one with number 1 is the seed.
func (x *exchange) join(number byte, id vm.ID, incarnation vm.Incarnation) *liveness {
	own := peerAddress(number)
	cfg := &Config{
		VM: id, Role: vm.RoleUpstream, Zone: testZone, Service: "orders", Incarnation: incarnation, Address: own,
		Seeds: []netip.AddrPort{peerAddress(1)}, Seed: uint64(number), Log: logrus.NewEntry(logrus.New()), Events: event.NewBuffer("n", 64),
	}
	send := func(_ frame.Kind, to netip.AddrPort, body []byte) { x.queue = append(x.queue, delivery{own, to, body}) }
	l := newLiveness(send, cfg, view.Ready, func() {})
	l.now, l.started = func() time.Time { return x.now }, x.now
	x.nodes[own] = participant{handle: l.handle, tick: l.tick}
	return l
}

func (x *exchange) stop(l *liveness) { delete(x.nodes, l.cfg.Address) }

func (x *exchange) requireKnown(t *testing.T, by *liveness, id vm.ID, incarnation vm.Incarnation, status view.Status) {
	t.Helper()
	for _, m := range by.members() {
		if m.VM == id {
			require.Equal(t, incarnation, m.Incarnation)
			require.Equal(t, status, m.Status)
			return
		}
	}
	require.Fail(t, "not known", string(id))
}

// learnWithin is the spread of the first attempts to join and two ticks. Agents
// buffer packets for 2 s after a start.
const learnWithin = time.Second + 2*membership.TickInterval

// Guards against a restarted process whose clock went back and whose
// announcements are ignored for ever, also when the predecessor had left.
func TestRestartWithAnEarlierClock(t *testing.T) {
	for name, before := range map[string]view.Status{"crash": view.Ready, "planned stop": view.Leaving, "left": view.Left} {
		for _, restartedOn := range []byte{3, 4} {
			t.Run(name, func(t *testing.T) {
				x := newExchange()
				peer := x.join(1, "peer", 1)
				x.join(2, "other", 1)
				former := x.join(3, "a", 900)
				x.run(10 * time.Second)
				former.announce(before)
				x.run(2 * time.Second)
				x.stop(former)
				restarted := x.join(restartedOn, "a", 3)
				x.run(learnWithin)
				require.Empty(t, restarted.superseded)
				x.requireKnown(t, peer, "a", 901, view.Ready)
			})
		}
	}
}

// Guards against two processes of one VM that compete, each announcing a
// greater incarnation, and against a successor that stops.
func TestSuccessorTakesOver(t *testing.T) {
	for name, incarnation := range map[string]vm.Incarnation{"later": 900, "clock behind": 3} {
		t.Run(name, func(t *testing.T) {
			x := newExchange()
			peer := x.join(1, "peer", 1)
			x.join(2, "other", 1)
			former := x.join(3, "a", 500)
			x.run(learnPeriod + time.Second)
			successor := x.join(4, "a", incarnation)
			x.run(15 * time.Second)
			want := max(incarnation, 501)
			require.Empty(t, successor.superseded)
			require.EqualValues(t, 500, former.self().Incarnation, "the former process must not compete")
			x.requireKnown(t, peer, "a", want, view.Ready)
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			var superseded *SupersededError
			require.ErrorAs(t, former.run(ctx), &superseded)
			require.Equal(t, SupersededError{VM: "a", Own: 500, Later: want}, *superseded)
			require.ErrorContains(t, superseded, "has taken over")
		})
	}
}

// Guards against a VM that stays alive for its peers because the process of
// another VM, which was given its address, answers for it.
func TestAddressGivenToAnotherVM(t *testing.T) {
	for name, incarnation := range map[string]vm.Incarnation{"later": 900, "clock behind": 3} {
		t.Run(name, func(t *testing.T) {
			x := newExchange()
			peer := x.join(1, "peer", 1)
			x.join(2, "other", 1)
			x.join(4, "third", 1)
			former := x.join(3, "a", 500)
			x.run(10 * time.Second)
			x.stop(former)
			latter := x.join(3, "b", incarnation)
			// Each of five members is probed within a few seconds, and a suspicion
			// takes 3 s to become a failure.
			x.run(20 * time.Second)
			x.requireKnown(t, peer, "b", incarnation, view.Ready)
			x.requireKnown(t, peer, "a", 500, view.Failed)
			require.Empty(t, latter.superseded)
		})
	}
}

// agentOf returns an agent of orders with a view, which is not running.
func agentOf(t *testing.T, folder string, incarnation vm.Incarnation) *Agent {
	t.Helper()
	device, err := udplink.OpenPackets(loopback, loopback)
	require.NoError(t, err)
	a, err := NewAgent(AgentConfig{
		Config: Config{
			VM: "a", Zone: testZone, Service: "orders", Address: loopback, Incarnation: incarnation, DataFolder: folder,
			Keys: testKeys(), Hasher: flow.Hasher{K0: 1, K1: 2}, Log: logrus.NewEntry(logrus.New()),
		},
		Upstream: netip.MustParseAddrPort("127.0.0.1:9"), Aliases: netip.MustParsePrefix("10.9.0.0/24"),
	}, device)
	require.NoError(t, err)
	t.Cleanup(func() { _ = device.Close(); _ = a.transport.link.Close(); _ = a.admin.Close() })
	a.feed.state = &intent.State{Revision: 1, Services: []intent.Service{{ID: 1, Name: "orders", Traffic: true}}, VMs: []intent.VM{
		{Status: intent.Active, Machine: intent.Machine{ID: "a", Zone: testZone, Role: vm.RoleUpstream, Service: "orders"}},
	}}
	a.buildView()
	return a
}

// Guards against an agent that announces a greater incarnation while its
// messages to peers still carry the earlier one, and against one that stays
// ready before it has recovered the flows of its predecessor.
func TestAgentTakesTheGreaterIncarnation(t *testing.T) {
	a := agentOf(t, "", 3)
	former := a.core()
	a.liveness.takeSuperseded(time.Now(), 900)
	require.EqualValues(t, 3, a.agentStatus().Incarnation, "only the ticking goroutine renews")
	a.advanceStart(time.Now())
	require.EqualValues(t, 901, a.agentStatus().Incarnation)
	require.NotSame(t, former, a.core())
	require.EqualValues(t, 901, a.core().Export().Incarnation)
	renewed := a.core()
	a.advanceStart(time.Now())
	require.Same(t, renewed, a.core())
	require.Empty(t, a.liveness.superseded)
}

// Guards against flows in the data folder that a restarted agent rejects
// because its clock went back.
func TestIncarnationFollowsTheHandoff(t *testing.T) {
	for name, c := range map[string]struct {
		written agent.Handoff
		want    vm.Incarnation
	}{
		"clock went back": {agent.Handoff{VM: "a", Incarnation: 900}, 901},
		"earlier life":    {agent.Handoff{VM: "a", Incarnation: 2}, 3},
		"of another VM":   {agent.Handoff{VM: "b", Incarnation: 900}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			content, err := agent.EncodeHandoff(c.written)
			require.NoError(t, err)
			require.NoError(t, replaceFile(folder, handoffFileName, content))
			require.Equal(t, c.want, agentOf(t, folder, 3).agentStatus().Incarnation)
		})
	}
}

// Guards against an established flow that is lost, or gets another alias, when
// its agent announces a greater incarnation.
func TestGreaterIncarnationKeepsFlows(t *testing.T) {
	p := newTestPath(t, service.TCP)
	p.send(tcpSegment(t, testCaller, testVirtual, layers.TCP{SYN: true, Seq: 100}, ""))
	_, syn := p.receive(p.upstream)
	p.answer(tcpSegment(t, syn.Destination, syn.Source, layers.TCP{SYN: true, ACK: true, Seq: 500, Ack: 101}, ""))
	p.receive(p.upstream)
	order := func(sequence uint32, payload string) {
		p.send(tcpSegment(t, testCaller, testVirtual, layers.TCP{ACK: true, PSH: true, Seq: sequence, Ack: 501}, payload))
		b, m := p.receive(p.upstream)
		require.Equal(t, syn.Source, m.Source)
		require.Equal(t, payload, string(b[len(b)-len(payload):]))
	}
	order(101, "order 1")
	v := p.balancer.core.View()
	for _, a := range p.agents {
		former := a.core()
		established, _ := former.Flows()
		a.base.mu.Lock()
		a.previous = v
		a.base.mu.Unlock()
		a.liveness.takeSuperseded(time.Now(), a.cfg.Incarnation+100)
		require.Eventually(t, func() bool { return a.core() != former && !a.core().Recovering() }, answerLimit, time.Millisecond)
		kept, _ := a.core().Flows()
		require.Equal(t, established, kept)
		require.Equal(t, a.cfg.Incarnation+101, a.agentStatus().Incarnation)
	}
	order(108, "order 2")
	p.answer(tcpSegment(t, syn.Destination, syn.Source, layers.TCP{ACK: true, PSH: true, Seq: 501, Ack: 115}, "done"))
	b, m := p.receive(p.upstream)
	require.Equal(t, testVirtual, m.Source)
	require.Equal(t, "done", string(b[len(b)-4:]))
}
