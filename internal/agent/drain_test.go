package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/frame"
	"bramleyhold.example/bramleyhold/internal/packet"
	"bramleyhold.example/bramleyhold/internal/view"
)

// A draining agent must accept no openings, keep its long flows open, and be
// drained only after its last flow has ended.
func TestDrain(t *testing.T) {
	for _, test := range []struct {
		name  string
		drain func(cluster *testCluster, i int)
	}{
		{"drain by signal", func(cluster *testCluster, i int) { cluster.node(i).core.Drain(cluster.now) }},
		{"drain by rule", func(cluster *testCluster, i int) {
			cluster.setStatus(i, view.Leaving)
			cluster.publishView()
			cluster.advance(100 * time.Millisecond)
			cluster.node(i).core.Drain(cluster.now)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			setup := tcpShortRequestSetup()
			setup.slots = 20
			cluster := newTestCluster(t, setup)
			placer := cluster.service().Placer(0)
			callers := cluster.connectCallers(0, 12)
			node := cluster.node(placer) // Draining the placer itself is the hardest case.
			test.drain(cluster, placer)
			established, _ := node.core.FlowCounts()
			require.NotZero(t, established)
			cluster.connectCallers(50, 12)
			after, _ := node.core.FlowCounts()
			require.Equal(t, established, after, "no new work")
			require.Empty(t, cluster.refused)
			require.Equal(t, []PendingWork{{PendingEstablished, established}}, node.core.PendingWork())
			for range 2 {
				cluster.advance(3 * time.Hour)
				for _, caller := range callers {
					caller.request(1)
				}
			}
			require.False(t, node.core.Drained())
			for _, caller := range callers {
				caller.closeConnection()
			}
			cluster.advance(11 * time.Second)
			require.True(t, node.core.Drained())
			require.Empty(t, cluster.resets)
			require.Len(t, cluster.payloadDeliveries, 2*len(callers))
		})
	}
}

// A caller must be reset when its upstream has failed, as it would otherwise wait
// for hours, but not while the upstream is only suspected.
func TestUpstreamFails(t *testing.T) {
	cluster := newTestCluster(t, tcpShortRequestSetup())
	caller := cluster.caller(1)
	caller.connect()
	holder := caller.holder()
	holderIndex := caller.holderIndex()
	holder.down = true
	cluster.setStatus(holderIndex, view.Suspected)
	cluster.publishView()
	caller.request(10)
	require.Empty(t, cluster.resets)
	cluster.setStatus(holderIndex, view.Failed)
	cluster.publishView()
	caller.request(10)
	require.Equal(t, 1, cluster.resets[caller.key])
	other := cluster.caller(2)
	other.connect()
	require.Equal(t, flow.Established, phaseOf(other.holder(), other.key))
}

// While two views are in use at the same time, each packet must reach the holder
// of its flow once. Otherwise agents may forward a packet in a loop, reset its
// caller, or deliver it to an upstream that does not hold its flow.
func TestDifferentViews(t *testing.T) {
	setup := tcpShortRequestSetup()
	setup.nodes, setup.slots = 4, 20
	cluster := newTestCluster(t, setup)
	callers := cluster.connectCallers(0, 20)
	cluster.setStatus(3, view.Leaving)
	cluster.setStatus(2, view.Suspected)
	cluster.publishView(cluster.node(0), cluster.node(1))
	for range 5 {
		cluster.advance(time.Second)
		for _, caller := range callers {
			delete(cluster.hints, caller.key)
			caller.request(10)
		}
	}
	others := cluster.connectCallers(100, 20)
	cluster.publishView()
	for _, caller := range others {
		delete(cluster.hints, caller.key)
		caller.request(10)
	}
	require.Empty(t, cluster.resets)
	require.Empty(t, cluster.refused)
	require.Len(t, cluster.payloadDeliveries, 20*5+20)
	for payload, deliveries := range cluster.payloadDeliveries {
		require.Equal(t, 1, deliveries, payload)
	}
}

// An opening must not be refused if its request may have been executed. The flow
// table must show that no payload was delivered. In the grace period after a
// change of view that is not enough for a request that must not be executed
// twice: another agent may have delivered a copy.
func TestRefusalProof(t *testing.T) {
	for _, test := range []struct {
		name                                          string
		idempotent, payload, delivered, inGracePeriod bool
		want                                          Kind
	}{
		{"no flow", true, false, false, false, Refuse},
		{"flow without payload", true, false, false, true, Refuse},
		{"payload delivered", true, true, true, false, Drop},
		{"another agent may have delivered a copy", false, true, false, true, Drop},
		{"no other agent can have delivered a copy", false, true, false, false, Refuse},
		{"idempotent", true, true, false, true, Refuse},
	} {
		t.Run(test.name, func(t *testing.T) {
			setup := tcpShortRequestSetup()
			setup.contract.Idempotent = test.idempotent
			cluster := newTestCluster(t, setup)
			caller := cluster.caller(1)
			caller.connect()
			node := caller.holder()
			if test.delivered {
				caller.request(10)
			}
			if test.inGracePeriod {
				cluster.setStatus(2, view.Leaving)
				cluster.publishView()
			}
			meta := caller.meta(packet.SYN, 0)
			if test.payload {
				meta.PayloadBytes = 5
			}
			pkt := callerPacket{now: cluster.now, svc: cluster.service(), meta: &meta, key: caller.key, hash: testHasher.Hash(caller.key)}
			var out Actions
			node.core.refuseOpening(&pkt, NoSlot, &out)
			require.Equal(t, test.want, out.List[0].Kind)
		})
	}
}

// The caller of a new flow of a rejoined upstream must not be reset, although the
// view of the registrar still has the previous incarnation as failed.
func TestUpstreamRejoins(t *testing.T) {
	setup := tcpShortRequestSetup()
	setup.nodes, setup.slots = 4, 20
	cluster := newTestCluster(t, setup)
	cluster.node(1).down = true
	cluster.setStatus(1, view.Failed)
	cluster.publishView()
	cluster.advance(GracePeriod)
	node := cluster.restartAgent(1, false)
	cluster.setStatus(1, view.Ready)
	staleView := cluster.view
	cluster.publishView()
	for _, other := range cluster.nodes {
		if cluster.service().Placer(0) != cluster.service().Index(other.vm) && other != node {
			other.core.viewState.Store(other.core.newViewState(staleView, nil))
		}
	}
	callers := cluster.connectCallers(0, 40)
	for _, caller := range callers {
		delete(cluster.hints, caller.key)
		caller.request(10)
	}
	established, _ := node.core.FlowCounts()
	require.NotZero(t, established)
	require.Empty(t, cluster.resets)
	require.Len(t, cluster.payloadDeliveries, 40)
}

// Packets must reach a flow at another member before they are forwarded to a
// suspected member, which may have failed and would then lose them.
func TestSuspectedMemberIsTriedLast(t *testing.T) {
	setup := tcpShortRequestSetup()
	setup.nodes, setup.slots = 5, 20
	cluster := newTestCluster(t, setup)
	callers := cluster.connectCallers(0, 30)
	cluster.node(2).down = true
	cluster.setStatus(2, view.Suspected)
	cluster.publishView()
	cluster.forgetRegistrations()
	wantDelivered := 0
	for _, caller := range callers {
		if caller.holder() == nil {
			continue
		}
		wantDelivered++
		pkt := testPacket{meta: caller.meta(packet.ACK, 10)}
		pkt.header.Service, pkt.header.Origin = 1, cluster.balancerHash()
		cluster.sendFrame(cluster.node(0), pkt)
	}
	cluster.advance(10 * linkDelay)
	require.Len(t, cluster.payloadDeliveries, wantDelivered)
}

// sendAttempt sends data of a caller to a member in the ranking of its flow, as a
// balancer does after this number of attempts.
func (caller *testCaller) sendAttempt(attempts int) {
	cluster, hash := caller.cluster, testHasher.Hash(caller.key)
	var tried uint64
	for range attempts {
		tried |= 1 << uint(cluster.service().NextMember(hash, tried))
	}
	pkt := testPacket{meta: caller.meta(packet.ACK, 10)}
	pkt.header = frame.Header{Service: 1, Origin: cluster.balancerHash(), Flags: frame.Flags(0).WithAttempts(uint8(attempts))}
	cluster.sendFrame(cluster.node(cluster.service().NextMember(hash, tried)), pkt)
}

// A packet sent again must reach its holder although the home of the flow has
// failed unseen and no other agent has the registration. Agents would otherwise
// forward each attempt to the home. The holder then sends a hint.
func TestAttemptPassesUnansweredMembersLast(t *testing.T) {
	setup := tcpShortRequestSetup()
	setup.nodes, setup.slots = 7, 20
	for _, attempts := range []int{1, 2} {
		cluster := newTestCluster(t, setup)
		callers := cluster.connectCallers(0, 40)
		cluster.node(2).down = true
		cluster.forgetRegistrations()
		wantDelivered := 0
		for _, caller := range callers {
			hash, holder := testHasher.Hash(caller.key), caller.holderIndex()
			if cluster.service().Home(hash) != 2 || holder < 0 || holder == 2 {
				continue
			}
			wantDelivered++
			delete(cluster.hints, caller.key)
			caller.sendAttempt(attempts)
			cluster.advance(10 * linkDelay)
			require.Equal(t, cluster.node(holder).vm, cluster.hints[caller.key])
		}
		require.NotZero(t, wantDelivered)
		require.Len(t, cluster.payloadDeliveries, wantDelivered)
	}
}

// A member that did not answer an attempt has not denied the flow: it must be asked
// before a reset, and before the limit of hops in a service of many members.
func TestAttemptReachesUnansweredHolder(t *testing.T) {
	setup := tcpShortRequestSetup()
	setup.slots = 20
	for _, nodes := range []int{3, 20} {
		for _, attempts := range []int{1, 2} {
			setup.nodes = nodes
			cluster := newTestCluster(t, setup)
			callers := cluster.connectCallers(0, 40)
			cluster.forgetRegistrations()
			wantDelivered := 0
			for _, caller := range callers {
				if holder := caller.holderIndex(); holder >= 0 && cluster.service().Home(testHasher.Hash(caller.key)) == holder {
					wantDelivered++
					caller.sendAttempt(attempts)
				}
			}
			cluster.advance(20 * linkDelay)
			require.NotZero(t, wantDelivered)
			require.Len(t, cluster.payloadDeliveries, wantDelivered)
			require.Empty(t, cluster.resets)
		}
	}
}

// forgetRegistrations deletes the registrations at all agents.
func (cluster *testCluster) forgetRegistrations() {
	for _, node := range cluster.nodes {
		node.core.registry = newRegistry(node.core.cfg.Limits.Registrations)
	}
}

// The placer must not send a home lookup to a suspected home, which may have
// failed and would then lose the opening.
func TestHomeLookupSkipsSuspectedHome(t *testing.T) {
	setup := tcpShortRequestSetup()
	setup.nodes, setup.slots = 4, 20
	cluster := newTestCluster(t, setup)
	suspectedIndex := 0
	for suspectedIndex == cluster.service().Placer(0) {
		suspectedIndex++
	}
	cluster.node(suspectedIndex).down = true
	cluster.setStatus(suspectedIndex, view.Suspected)
	cluster.publishView()
	for _, caller := range cluster.connectCallers(0, 30) {
		require.NotNil(t, caller.holder())
	}
}
