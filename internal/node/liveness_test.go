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

// gossipNetwork delivers gossip between membership runners in virtual time.
type gossipNetwork struct {
	now       time.Time
	inTransit []gossipMessage
	processes map[netip.AddrPort]gossipProcess
}

type gossipMessage struct {
	from, to netip.AddrPort
	body     []byte
}

type gossipProcess struct {
	handleGossip func(from netip.AddrPort, body []byte)
	tick         func()
}

func newGossipNetwork() *gossipNetwork {
	return &gossipNetwork{now: time.Unix(1000, 0), processes: map[netip.AddrPort]gossipProcess{}}
}

func (network *gossipNetwork) advanceTime(duration time.Duration) {
	for end := network.now.Add(duration); network.now.Before(end); network.now = network.now.Add(membership.TickInterval) {
		// A fixed order gives the same result on every run.
		for _, address := range slices.SortedFunc(maps.Keys(network.processes), netip.AddrPort.Compare) {
			network.processes[address].tick()
		}
		for len(network.inTransit) > 0 {
			message := network.inTransit[0]
			network.inTransit = network.inTransit[1:]
			if to, ok := network.processes[message.to]; ok {
				to.handleGossip(message.from, message.body)
			}
		}
	}
}

func peerAddress(n byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 7000)
}

// addProcess adds a process to the network. Process number 1 is the seed.
func (network *gossipNetwork) addProcess(number byte, id vm.ID, incarnation vm.Incarnation) *membershipRunner {
	address := peerAddress(number)
	cfg := &Config{
		VM: id, Role: vm.RoleUpstream, Zone: testZone, Service: "orders", Incarnation: incarnation, Address: address,
		Seeds: []netip.AddrPort{peerAddress(1)}, Seed: uint64(number), Log: logrus.NewEntry(logrus.New()), Events: event.NewBuffer("n", 64),
	}
	send := func(_ frame.Kind, to netip.AddrPort, body []byte) {
		network.inTransit = append(network.inTransit, gossipMessage{address, to, body})
	}
	runner := newMembershipRunner(send, cfg, view.Ready, func() {})
	runner.now, runner.startedAt = func() time.Time { return network.now }, network.now
	network.processes[address] = gossipProcess{handleGossip: runner.handleGossip, tick: runner.tick}
	return runner
}

func (network *gossipNetwork) removeProcess(runner *membershipRunner) {
	delete(network.processes, runner.cfg.Address)
}

func (network *gossipNetwork) requireMember(t *testing.T, observer *membershipRunner, id vm.ID, incarnation vm.Incarnation, status view.Status) {
	t.Helper()
	for _, m := range observer.members() {
		if m.VM == id {
			require.Equal(t, incarnation, m.Incarnation)
			require.Equal(t, status, m.Status)
			return
		}
	}
	require.Fail(t, "VM is not in the membership", string(id))
}

// correctionTimeout bounds the time from a restart until peers have stored the
// corrected incarnation: the spread of the first attempts to join, and two ticks.
// Agents buffer packets for 2 s after a start.
const correctionTimeout = time.Second + 2*membership.TickInterval

// A restarted process whose clock was set back must announce a greater incarnation
// than its predecessor. Otherwise peers would ignore its announcements forever,
// because its incarnation is smaller. This also applies if the predecessor has left.
func TestRestartWithClockSetBack(t *testing.T) {
	for name, lastStatus := range map[string]view.Status{"crash": view.Ready, "planned stop": view.Leaving, "left": view.Left} {
		for _, addressNumber := range []byte{3, 4} {
			t.Run(name, func(t *testing.T) {
				network := newGossipNetwork()
				peer := network.addProcess(1, "peer", 1)
				network.addProcess(2, "other", 1)
				predecessor := network.addProcess(3, "a", 900)
				network.advanceTime(10 * time.Second)
				predecessor.announceStatus(lastStatus)
				network.advanceTime(2 * time.Second)
				network.removeProcess(predecessor)
				restarted := network.addProcess(addressNumber, "a", 3)
				network.advanceTime(correctionTimeout)
				require.Empty(t, restarted.stopReason)
				network.requireMember(t, peer, "a", 901, view.Ready)
			})
		}
	}
}

// Of two processes of one VM, the predecessor must stop and the successor must
// continue. They must not alternately announce greater incarnations.
func TestSuccessorSupersedesPredecessor(t *testing.T) {
	for name, incarnation := range map[string]vm.Incarnation{"later": 900, "clock behind": 3} {
		t.Run(name, func(t *testing.T) {
			network := newGossipNetwork()
			peer := network.addProcess(1, "peer", 1)
			network.addProcess(2, "other", 1)
			predecessor := network.addProcess(3, "a", 500)
			network.advanceTime(successorWindow + time.Second)
			successor := network.addProcess(4, "a", incarnation)
			network.advanceTime(15 * time.Second)
			want := max(incarnation, 501)
			require.Empty(t, successor.stopReason)
			require.EqualValues(t, 500, predecessor.ownMember().Incarnation, "the predecessor must not announce a greater incarnation")
			network.requireMember(t, peer, "a", want, view.Ready)
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			var stopReason *SupersededError
			require.ErrorAs(t, predecessor.run(ctx), &stopReason)
			require.Equal(t, SupersededError{VM: "a", OwnIncarnation: 500, SuccessorIncarnation: want}, *stopReason)
			require.ErrorContains(t, stopReason, "has taken over")
		})
	}
}

// A VM that no longer runs must be reported as failed even if its address was given to
// another VM. The process of the other VM receives the probes of the former one and
// must not respond to them.
func TestAddressGivenToAnotherVM(t *testing.T) {
	for name, incarnation := range map[string]vm.Incarnation{"later": 900, "clock behind": 3} {
		t.Run(name, func(t *testing.T) {
			network := newGossipNetwork()
			peer := network.addProcess(1, "peer", 1)
			network.addProcess(2, "other", 1)
			network.addProcess(4, "third", 1)
			replaced := network.addProcess(3, "a", 500)
			network.advanceTime(10 * time.Second)
			network.removeProcess(replaced)
			successor := network.addProcess(3, "b", incarnation)
			// Each of five members is probed within a few seconds. A suspected member
			// is reported as failed after 3 s.
			network.advanceTime(20 * time.Second)
			network.requireMember(t, peer, "b", incarnation, view.Ready)
			network.requireMember(t, peer, "a", 500, view.Failed)
			require.Empty(t, successor.stopReason)
		})
	}
}

// newTestAgent returns an agent of the service orders. It has a view and is not
// running.
func newTestAgent(t *testing.T, folder string, incarnation vm.Incarnation) *Agent {
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
	t.Cleanup(func() { _ = device.Close(); _ = a.transport.link.Close(); _ = a.operatorServer.Close() })
	a.intentFeed.applied = &intent.State{Revision: 1, Services: []intent.Service{{ID: 1, Name: "orders", Traffic: true}}, VMs: []intent.VM{
		{Status: intent.Active, InventoryVM: intent.InventoryVM{ID: "a", Zone: testZone, Role: vm.RoleUpstream, Service: "orders"}},
	}}
	a.buildView()
	return a
}

// An agent that announces a greater incarnation must use it in its messages to peers
// too. It must not stay ready before it has recovered the flows of its predecessor.
func TestAgentAdoptsGreaterIncarnation(t *testing.T) {
	a := newTestAgent(t, "", 3)
	previous := a.core()
	a.membership.handleSuperseded(time.Now(), 900)
	require.EqualValues(t, 3, a.agentStatus().Incarnation, "only the ticking goroutine replaces the core")
	a.advanceStartup(time.Now())
	require.EqualValues(t, 901, a.agentStatus().Incarnation)
	require.NotSame(t, previous, a.core())
	require.EqualValues(t, 901, a.core().Export().Incarnation)
	replacement := a.core()
	a.advanceStartup(time.Now())
	require.Same(t, replacement, a.core())
	require.Empty(t, a.membership.stopReason)
}

// A restarted agent must import the flows in its data folder even if its clock was set
// back.
func TestIncarnationExceedsHandoff(t *testing.T) {
	for name, c := range map[string]struct {
		written agent.Handoff
		want    vm.Incarnation
	}{
		"clock set back":       {agent.Handoff{VM: "a", Incarnation: 900}, 901},
		"previous incarnation": {agent.Handoff{VM: "a", Incarnation: 2}, 3},
		"of another VM":        {agent.Handoff{VM: "b", Incarnation: 900}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			content, err := agent.EncodeHandoff(c.written)
			require.NoError(t, err)
			require.NoError(t, replaceDataFile(folder, handoffFileName, content))
			require.Equal(t, c.want, newTestAgent(t, folder, 3).agentStatus().Incarnation)
		})
	}
}

// An established flow must survive with its alias when its agent replaces its core by
// one with a greater incarnation.
func TestCoreReplacementKeepsFlows(t *testing.T) {
	network := newIPv4TestNetwork(t, service.TCP)
	network.sendFromCaller(tcpSegment(t, testCaller, testVirtual, layers.TCP{SYN: true, Seq: 100}, ""))
	_, syn := network.receivePacket(network.agentSink)
	network.sendFromUpstream(tcpSegment(t, syn.Destination, syn.Source, layers.TCP{SYN: true, ACK: true, Seq: 500, Ack: 101}, ""))
	network.receivePacket(network.agentSink)
	requireDelivery := func(sequence uint32, payload string) {
		network.sendFromCaller(tcpSegment(t, testCaller, testVirtual, layers.TCP{ACK: true, PSH: true, Seq: sequence, Ack: 501}, payload))
		packetBytes, meta := network.receivePacket(network.agentSink)
		require.Equal(t, syn.Source, meta.Source)
		require.Equal(t, payload, string(packetBytes[len(packetBytes)-len(payload):]))
	}
	requireDelivery(101, "order 1")
	installedView := network.balancer.core.View()
	for _, a := range network.agents {
		previous := a.core()
		established, _ := previous.FlowCounts()
		a.base.mu.Lock()
		a.builtView = installedView
		a.base.mu.Unlock()
		a.membership.handleSuperseded(time.Now(), a.cfg.Incarnation+100)
		require.Eventually(t, func() bool { return a.core() != previous && !a.core().Recovering() }, responseTimeout, time.Millisecond)
		establishedAfter, _ := a.core().FlowCounts()
		require.Equal(t, established, establishedAfter)
		require.Equal(t, a.cfg.Incarnation+101, a.agentStatus().Incarnation)
	}
	requireDelivery(108, "order 2")
	network.sendFromUpstream(tcpSegment(t, syn.Destination, syn.Source, layers.TCP{ACK: true, PSH: true, Seq: 501, Ack: 115}, "done"))
	packetBytes, meta := network.receivePacket(network.agentSink)
	require.Equal(t, testVirtual, meta.Source)
	require.Equal(t, "done", string(packetBytes[len(packetBytes)-4:]))
}
