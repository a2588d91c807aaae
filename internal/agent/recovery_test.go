package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/packet"
	"bramleyhold.example/bramleyhold/internal/peer"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

// crashAgent stops a node and starts its next incarnation, which all members
// see at once.
func (cluster *testCluster) crashAgent(i int) *testNode {
	cluster.node(i).down = true
	cluster.advance(50 * time.Millisecond)
	node := cluster.restartAgent(i, true)
	cluster.setStatus(i, view.Starting)
	cluster.publishView()
	return node
}

func (cluster *testCluster) setReady(i int) {
	cluster.setStatus(i, view.Ready)
	cluster.publishView()
}

// A restarted agent must restore its flows, aliases and slots, also if messages
// are lost, duplicated, delayed and reordered, or if one of the two registrars
// fails at the same time.
func TestRecovery(t *testing.T) {
	for _, test := range []struct {
		name          string
		delays        func(*peer.Message) []time.Duration
		failRegistrar bool
	}{
		{"no message loss", nil, false},
		{"a third of the messages lost, others delayed and duplicated", lossyDelays(11, 0.33, 0.3, 40*time.Millisecond), false},
		{"a registrar failed", nil, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			setup := tcpShortRequestSetup()
			setup.nodes, setup.slots = 4, 20
			cluster := newTestCluster(t, setup)
			callers := cluster.connectCallers(0, 60)
			cluster.advance(GracePeriod)
			aliases := map[*testCaller]string{}
			for _, caller := range callers {
				if caller.holder() == cluster.node(1) {
					aliases[caller] = cluster.aliasOf(cluster.node(1), caller.key).String()
				}
			}
			require.NotEmpty(t, aliases)
			if test.failRegistrar {
				cluster.node(2).down = true
				cluster.setStatus(2, view.Failed)
			}
			if test.delays != nil {
				cluster.messageDelays = test.delays
			}
			node := cluster.crashAgent(1)
			for caller := range aliases {
				caller.send(caller.meta(packet.ACK, 10)) // Arrives during the recovery.
			}
			cluster.advance(RecoveryTimeout + 100*time.Millisecond)
			require.False(t, node.core.Recovering())
			cluster.setReady(1)
			require.Len(t, cluster.payloadDeliveries, len(aliases))
			require.EqualValues(t, len(aliases), node.core.flows.usedSlots.Load())
			for caller, alias := range aliases {
				require.Equal(t, alias, cluster.aliasOf(node, caller.key).String())
			}
			require.Empty(t, cluster.resets)
		})
	}
}

// If an agent crashes at any step of an opening, a lost opening must be placed
// when the caller retransmits it, and no payload may be delivered twice.
func TestCrashDuringOpening(t *testing.T) {
	for _, crashAfter := range []time.Duration{0, 4 * time.Millisecond, 7 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 40 * time.Millisecond} {
		cluster := newTestCluster(t, tcpShortRequestSetup())
		caller := cluster.caller(1)
		caller.send(caller.meta(packet.SYN, 0))
		cluster.advance(crashAfter)
		crashed := max(caller.holderIndex(), 0)
		cluster.crashAgent(crashed)
		cluster.advance(time.Second)
		cluster.setReady(crashed)
		if len(cluster.replies[caller.key]) == 0 {
			caller.send(caller.meta(packet.SYN, 0))
			cluster.advance(100 * time.Millisecond)
		}
		require.NotEmpty(t, cluster.replies[caller.key], "crash after %s", crashAfter)
		caller.seq++
		caller.send(caller.meta(packet.ACK, 0))
		cluster.advance(30 * time.Millisecond)
		caller.request(10)
		require.Len(t, cluster.payloadDeliveries, 1, "crash after %s", crashAfter)
		require.Empty(t, cluster.resets)
	}
}

// If both registrations of a flow were lost before a crash, its caller must be
// reset, but only after the grace period, when no view can differ. Otherwise the
// wrong upstream may serve the flow.
func TestUnregisteredFlowIsReset(t *testing.T) {
	cluster := newTestCluster(t, tcpShortRequestSetup())
	cluster.messageDelays = func(message *peer.Message) []time.Duration {
		if message.Register != nil {
			return nil
		}
		return []time.Duration{linkDelay}
	}
	caller := cluster.caller(1)
	caller.connect()
	i := caller.holderIndex()
	cluster.crashAgent(i)
	cluster.advance(RecoveryTimeout)
	cluster.setReady(i)
	caller.request(10)
	require.Empty(t, cluster.resets)
	cluster.advance(GracePeriod)
	caller.request(10)
	require.Equal(t, 1, cluster.resets[caller.key])
	require.Empty(t, cluster.payloadDeliveries)
}

// Packets for a previous incarnation must not be matched to flows of the current
// one. Delayed registrations and unregistrations of a previous incarnation must
// have no effect.
func TestIncarnations(t *testing.T) {
	cluster := newTestCluster(t, tcpShortRequestSetup())
	caller := cluster.caller(1)
	caller.connect()
	holderIndex := caller.holderIndex()
	node := cluster.crashAgent(holderIndex)
	cluster.advance(time.Second)
	require.EqualValues(t, 1, node.core.oldestIncarnation.Load(), "flows of the first incarnation were restored")
	registrar := cluster.node(node.core.registrars(cluster.service(), testHasher.Hash(caller.key)).members[0])
	staleRegister := &peer.Message{Register: &peer.Register{Holder: node.vm, Incarnation: 1}}
	cluster.receiveMessage(registrar, staleRegister)
	require.Equal(t, 1, cluster.drops[StaleIncarnation])
	cluster.receiveMessage(registrar, &peer.Message{Unregister: &peer.Unregister{Holder: node.vm, Incarnation: 1, Flows: []flow.Key{caller.key}}})
	_, registered := registrar.core.registry.find(flowRef{hash: testHasher.Hash(caller.key), key: caller.key})
	require.True(t, registered)

	cluster.restartAgent(holderIndex, false)
	cluster.publishView()
	meta := caller.meta(packet.ACK, 1)
	pkt := testPacket{meta: meta}
	pkt.header.Service, pkt.header.Incarnation, pkt.header.Origin = 1, 2, cluster.balancerHash()
	cluster.receiveFrame(cluster.node(holderIndex), pkt)
	require.Equal(t, 2, cluster.drops[StaleIncarnation])
	require.Equal(t, vm.ID(""), cluster.hints[caller.key], "the hint of the balancer is deleted")
}

// The packets that are buffered during a recovery must be limited.
func TestRecoveryBufferLimit(t *testing.T) {
	setup := tcpShortRequestSetup()
	setup.limits = Limits{Recovery: 5}
	cluster := newTestCluster(t, setup)
	cluster.messageDelays = func(*peer.Message) []time.Duration { return nil }
	node := cluster.crashAgent(1)
	for i := range 8 {
		caller := cluster.caller(i)
		pkt := testPacket{meta: caller.meta(packet.ACK, 1)}
		pkt.header.Service = 1
		cluster.receiveFrame(node, pkt)
	}
	require.Len(t, node.buffered, 5)
	require.Equal(t, 3, cluster.drops[BufferFull])
	cluster.advance(RecoveryTimeout)
	require.Empty(t, node.buffered)
}

// A planned restart of the agent of the only upstream must keep its flows. A handoff must be
// rejected if another VM wrote it or if it is not from a previous incarnation.
func TestHandoff(t *testing.T) {
	setup := tcpShortRequestSetup()
	setup.nodes, setup.slots = 1, 10
	cluster := newTestCluster(t, setup)
	callers := cluster.connectCallers(0, 5)
	body, err := EncodeHandoff(cluster.node(0).core.Export())
	require.NoError(t, err)
	handoff, err := DecodeHandoff(body)
	require.NoError(t, err)
	_, err = cluster.node(0).core.Import(cluster.now, handoff)
	require.Error(t, err, "the current incarnation is not a previous one")
	node := cluster.restartAgent(0, true)
	cluster.publishView()
	count, err := node.core.Import(cluster.now, handoff)
	require.NoError(t, err)
	require.Equal(t, 5, count)
	cluster.advance(100 * time.Millisecond)
	for _, caller := range callers {
		caller.request(10)
	}
	require.Len(t, cluster.payloadDeliveries, 5)
	require.EqualValues(t, 5, node.core.flows.usedSlots.Load())
	handoff.VM = "up2"
	_, err = node.core.Import(cluster.now, handoff)
	require.Error(t, err)
	_, err = DecodeHandoff(body[:len(body)/2])
	require.Error(t, err)
}

// A flow that ended while its agent restarted must not use a slot for hours. If
// the flow is still in use, its next packet must use the slot again.
func TestRestoredFlowReleasesUnusedSlot(t *testing.T) {
	cluster := newTestCluster(t, tcpShortRequestSetup())
	caller := cluster.caller(1)
	caller.connect()
	i := caller.holderIndex()
	node := cluster.crashAgent(i)
	cluster.advance(time.Second)
	cluster.setReady(i)
	require.EqualValues(t, 1, node.core.flows.usedSlots.Load())
	cluster.advance(restoredSlotTimeout + 5*time.Second)
	require.Zero(t, node.core.flows.usedSlots.Load())
	caller.request(10)
	require.Len(t, cluster.payloadDeliveries, 1)
	require.EqualValues(t, 1, node.core.flows.usedSlots.Load())
}

// Flows of an upstream process that has ended must not be restored. They would
// take slots of the next process, and openings would wait for these slots.
func TestFlowsOfPreviousUpstreamProcess(t *testing.T) {
	cluster := newTestCluster(t, tcpShortRequestSetup())
	caller := cluster.caller(1)
	caller.connect()
	i := caller.holderIndex()
	cluster.node(i).cfg.UpstreamStarted = cluster.now
	node := cluster.crashAgent(i)
	cluster.advance(time.Second)
	require.False(t, node.core.Recovering())
	require.Nil(t, caller.holder())
	require.Zero(t, node.core.flows.usedSlots.Load())
}

// Registrations must follow a change of view within 1 s, and the change must not
// move all registrations.
func TestRegistrationsFollowView(t *testing.T) {
	setup := tcpLongFlowSetup()
	setup.nodes = 4
	cluster := newTestCluster(t, setup)
	callers := cluster.connectCallers(0, 40)
	cluster.advance(2 * time.Second)
	sentRecords := 0
	cluster.messageDelays = func(message *peer.Message) []time.Duration {
		if message.Register != nil {
			sentRecords += len(message.Register.Flows)
		}
		return []time.Duration{linkDelay}
	}
	cluster.node(3).down = true
	cluster.setStatus(3, view.Failed)
	cluster.publishView()
	cluster.advance(time.Second)
	require.Less(t, sentRecords, 40)
	for _, caller := range callers {
		if caller.holder() == nil {
			continue
		}
		registrars := caller.holder().core.registrars(cluster.service(), testHasher.Hash(caller.key))
		for _, i := range registrars.members[:registrars.count] {
			_, registered := cluster.node(i).core.registry.find(flowRef{hash: testHasher.Hash(caller.key), key: caller.key})
			require.True(t, registered)
		}
	}
}

// Renewals must stay within the control traffic budget of a node (3 KB/s), keep
// registrations from expiring and restore lost ones.
func TestRenewal(t *testing.T) {
	setup := tcpLongFlowSetup()
	setup.nodes = 4
	cluster := newTestCluster(t, setup)
	callers := cluster.connectCallers(0, 200)
	cluster.advance(5 * time.Second)
	registrar := cluster.node(1).core
	for i := range registrar.registry.shards {
		if i%4 == 0 {
			registrar.registry.shards[i].flows = map[flow.Key]registration{}
		}
	}
	sentBytes := 0
	cluster.messageDelays = func(message *peer.Message) []time.Duration {
		if message.LoadReport == nil {
			body, err := peer.Encode(message)
			require.NoError(t, err)
			sentBytes += len(body)
		}
		return []time.Duration{linkDelay}
	}
	cluster.advance(2 * renewalInterval)
	sentBytes = 0
	cluster.advance(5 * time.Minute)
	require.Less(t, sentBytes/300/len(cluster.nodes), 3000, "bytes per second and node")
	for _, caller := range callers {
		registrars := caller.holder().core.registrars(cluster.service(), testHasher.Hash(caller.key))
		for _, i := range registrars.members[:registrars.count] {
			reg, registered := cluster.node(i).core.registry.find(flowRef{hash: testHasher.Hash(caller.key), key: caller.key})
			require.True(t, registered)
			require.Equal(t, caller.holder().vm, reg.holder)
		}
	}
	t.Logf("renewal of %d flows: %d B/s per node", len(callers)/len(cluster.nodes), sentBytes/300/len(cluster.nodes))
}
