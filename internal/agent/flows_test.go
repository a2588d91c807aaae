package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/packet"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/vm"
)

func tcpShortRequestSetup() testSetup {
	return testSetup{nodes: 3, slots: 2, contract: shortContract()}
}

func tcpLongFlowSetup() testSetup {
	setup := tcpShortRequestSetup()
	setup.contract.Shape = service.ShapeLongFlows
	return setup
}

// A flow must stay open after a FIN from only one side. When it ends, the flow
// and its slot must be removed.
func TestFlowPhases(t *testing.T) {
	cluster := newTestCluster(t, tcpShortRequestSetup())
	caller := cluster.caller(1)
	caller.connect()
	node := caller.holder()
	require.Equal(t, flow.Established, phaseOf(node, caller.key))
	caller.request(100)
	require.Len(t, cluster.payloadDeliveries, 1)

	caller.send(caller.meta(packet.ACK|packet.FIN, 0))
	cluster.advance(time.Hour)
	require.Equal(t, flow.Established, phaseOf(node, caller.key), "a half-closed flow stays open")
	require.EqualValues(t, 1, node.core.flows.usedSlots.Load())

	cluster.receiveFromUpstream(node, packet.Meta{Destination: cluster.aliasOf(node, caller.key), Protocol: 6, Flags: packet.FIN | packet.ACK})
	require.Equal(t, flow.Closing, phaseOf(node, caller.key))
	require.Zero(t, node.core.flows.usedSlots.Load())
	cluster.advance(11 * time.Second)
	require.Nil(t, caller.holder())
	require.Empty(t, node.core.PendingWork())
}

// A reset with a wrong sequence number must not end a flow in use, and a delayed
// or retransmitted SYN must not open a flow a second time.
func TestCallerPackets(t *testing.T) {
	for _, test := range []struct {
		name  string
		send  func(caller *testCaller) packet.Meta
		phase flow.Phase
		drop  Reason
	}{
		{"reset with the next sequence number", func(caller *testCaller) packet.Meta { return caller.meta(packet.RST, 0) }, flow.Closing, ""},
		{"reset with another sequence number", func(caller *testCaller) packet.Meta {
			caller.seq += 5000
			return caller.meta(packet.RST, 0)
		}, flow.Established, ""},
		{"retransmitted SYN", func(caller *testCaller) packet.Meta {
			caller.seq = 1000
			return caller.meta(packet.SYN, 0)
		}, flow.Established, ""},
		{"ICMP error that quotes a reset", func(caller *testCaller) packet.Meta {
			meta := caller.meta(packet.RST, 0)
			meta.Quoted = true
			return meta
		}, flow.Established, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			cluster := newTestCluster(t, tcpShortRequestSetup())
			caller := cluster.caller(1)
			caller.connect()
			caller.request(10)
			node := caller.holder()
			meta := test.send(caller)
			cluster.hints[caller.key] = node.vm
			caller.send(meta)
			cluster.advance(50 * time.Millisecond)
			require.Equal(t, test.phase, phaseOf(node, caller.key))
			require.Len(t, cluster.payloadDeliveries, 1)
		})
	}
}

// A new connection from a reused port must not be matched to the previous one,
// and a delayed SYN of the previous one must not open a flow.
func TestPortReuse(t *testing.T) {
	cluster := newTestCluster(t, tcpShortRequestSetup())
	caller := cluster.caller(1)
	caller.connect()
	caller.request(10)
	caller.closeConnection()
	first := caller.holder()
	require.Equal(t, flow.Closing, phaseOf(first, caller.key))
	oldAlias := cluster.aliasOf(first, caller.key)

	delayed := caller.meta(packet.SYN, 0)
	delayed.Sequence = 1000
	caller.send(delayed)
	cluster.advance(50 * time.Millisecond)
	require.Equal(t, 1, cluster.drops[LateOpening])

	caller.seq = 900_000
	cluster.replies[caller.key] = nil
	caller.connect()
	require.NotNil(t, caller.holder())
	require.Equal(t, flow.Established, phaseOf(caller.holder(), caller.key))
	require.NotEqual(t, oldAlias, cluster.aliasOf(caller.holder(), caller.key), "the upstream may still have the previous connection of the old alias")
	caller.request(10)
	require.Len(t, cluster.payloadDeliveries, 2)
	require.Empty(t, cluster.resets)
}

// If a restarted caller opens a connection at another agent, the registrars must
// end its previous one. Otherwise packets still reach the previous connection.
func TestPortReuseElsewhere(t *testing.T) {
	setup := tcpLongFlowSetup()
	setup.nodes = 5
	cluster := newTestCluster(t, setup)
	caller, previousHolder, newHolder := cluster.callerUnknownToPlacer()
	cluster.advance(GracePeriod)
	for _, node := range cluster.nodes {
		node.core.SetUpstreamLoad(UpstreamLoad{Busy: 2})
	}
	newHolder.core.SetUpstreamLoad(UpstreamLoad{Busy: 0})
	cluster.advance(time.Second)
	caller.seq = 700_000
	cluster.replies[caller.key] = nil
	cluster.hints = map[flow.Key]vm.ID{}
	caller.connect()
	require.Equal(t, flow.Established, phaseOf(newHolder, caller.key))
	cluster.advance(2 * time.Second)
	require.NotEqual(t, flow.Established, phaseOf(previousHolder, caller.key))
	cluster.hints = map[flow.Key]vm.ID{}
	caller.request(10)
	require.Len(t, cluster.payloadDeliveries, 1)
	require.Empty(t, cluster.resets)
}

// callerUnknownToPlacer connects a caller whose placer neither holds its flow
// nor has a registration of it. It returns the caller, the holder and the
// placer.
func (cluster *testCluster) callerUnknownToPlacer() (caller *testCaller, holder, other *testNode) {
	for i := range 100 {
		caller = cluster.caller(i)
		caller.connect()
		holder = caller.holder()
		placer := cluster.service().Placer(testHasher.Hash(caller.key))
		registrars := holder.core.registrars(cluster.service(), testHasher.Hash(caller.key))
		if cluster.nodes[placer] != holder && registrars.members[0] != placer && registrars.members[1] != placer {
			return caller, holder, cluster.nodes[placer]
		}
	}
	cluster.t.Fatal("no caller found whose flow its placer neither holds nor has registered")
	return nil, nil, nil
}

// A flood of half-open flows must neither block openings nor evict an established
// flow, and the connection limit must not be exceeded.
func TestFlowLimits(t *testing.T) {
	setup := tcpLongFlowSetup()
	setup.nodes, setup.connections, setup.limits = 1, 8, Limits{HalfOpen: 4}
	cluster := newTestCluster(t, setup)
	node := cluster.node(0)
	establishedCaller := cluster.caller(1)
	establishedCaller.connect()
	for i := range 20 {
		caller := cluster.caller(100 + i)
		caller.send(caller.meta(packet.SYN, 0))
		cluster.advance(time.Millisecond)
	}
	cluster.advance(20 * time.Millisecond)
	established, halfOpen := node.core.FlowCounts()
	require.Equal(t, 1, established)
	require.Equal(t, 4, halfOpen)
	require.Nil(t, cluster.caller(100).holder(), "the oldest half-open flow is evicted")
	require.NotNil(t, cluster.caller(119).holder())

	cluster.advance(12 * time.Second)
	for i := range 7 {
		cluster.caller(200 + i).connect()
	}
	established, _ = node.core.FlowCounts()
	require.Equal(t, 8, established)
	refused := cluster.caller(300)
	refused.connect()
	require.Equal(t, []Reason{FlowLimit}, cluster.refused[refused.key])
	require.NotNil(t, establishedCaller.holder())
}

// Guards against UDP flows that never end, or that end while they are in use.
func TestDatagramFlows(t *testing.T) {
	setup := tcpShortRequestSetup()
	setup.protocol = service.UDP
	cluster := newTestCluster(t, setup)
	caller := cluster.caller(1)
	for range 5 {
		caller.send(caller.meta(0, 50))
		cluster.advance(40 * time.Second)
	}
	require.NotNil(t, caller.holder())
	require.Len(t, cluster.replies[caller.key], 5)
	cluster.advance(61 * time.Second)
	require.Nil(t, caller.holder())
}
