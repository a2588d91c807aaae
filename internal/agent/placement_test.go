package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/packet"
	"bramleyhold.example/bramleyhold/internal/ranking"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/view"
)

func (cluster *testCluster) usedSlots() (total int64) {
	for _, node := range cluster.nodes {
		total += node.core.flows.usedSlots.Load()
	}
	return total
}

// connectCallers opens a connection for each of a range of callers.
func (cluster *testCluster) connectCallers(from, count int) []*testCaller {
	var callers []*testCaller
	for i := range count {
		caller := cluster.caller(from + i)
		caller.connect()
		callers = append(callers, caller)
	}
	return callers
}

// Queued openings must be placed in the order of their arrival, within one round
// trip after any upstream has a free slot. They must not be refused while flows
// end and free slots.
func TestQueueFirstInFirstOut(t *testing.T) {
	cluster := newTestCluster(t, tcpShortRequestSetup())
	connected := cluster.connectCallers(0, 6)
	require.EqualValues(t, 6, cluster.usedSlots())
	first, second := cluster.caller(50), cluster.caller(51)
	first.send(first.meta(packet.SYN, 0))
	cluster.advance(20 * time.Millisecond)
	second.send(second.meta(packet.SYN, 0))
	cluster.advance(100 * time.Millisecond)
	require.Nil(t, first.holder())

	connected[3].closeConnection()
	require.NotNil(t, first.holder())
	require.Nil(t, second.holder())
	connected[1].send(connected[1].meta(packet.RST, 0))
	// The duration of one exchange (load report, forwarded opening) plus the
	// interval of reports.
	cluster.advance(4*linkDelay + 2*minLoadReportInterval)
	require.NotNil(t, second.holder())
	require.Empty(t, cluster.refused)
	require.EqualValues(t, 6, cluster.usedSlots())
}

// An opening must be queued once, and must leave the queue when its caller gives
// up or the queue deadline of the contract has passed.
func TestQueuedOpeningEnds(t *testing.T) {
	syn := func(caller *testCaller) { caller.send(caller.meta(packet.SYN, 0)) }
	for _, test := range []struct {
		name    string
		act     func(cluster *testCluster, caller *testCaller)
		refused []Reason
		reason  Reason
	}{
		{"deadline", func(cluster *testCluster, caller *testCaller) {
			cluster.advance(900 * time.Millisecond)
			syn(caller)
			cluster.advance(1300 * time.Millisecond)
		}, []Reason{QueueDeadline}, AlreadyQueued},
		{"no retransmission", func(cluster *testCluster, _ *testCaller) { cluster.advance(1600 * time.Millisecond) }, nil, CallerGaveUp},
		{"reset", func(cluster *testCluster, caller *testCaller) {
			caller.send(caller.meta(packet.RST, 0))
			cluster.advance(50 * time.Millisecond)
		}, nil, CallerGaveUp},
		{"port reused", func(cluster *testCluster, caller *testCaller) {
			caller.seq = 5_000_000
			syn(caller)
			cluster.advance(50 * time.Millisecond)
		}, nil, CallerGaveUp},
	} {
		t.Run(test.name, func(t *testing.T) {
			cluster := newTestCluster(t, tcpShortRequestSetup())
			cluster.connectCallers(0, 6)
			caller := cluster.caller(50)
			syn(caller)
			cluster.advance(20 * time.Millisecond)
			test.act(cluster, caller)
			require.Equal(t, test.refused, cluster.refused[caller.key])
			require.Equal(t, 1, cluster.drops[test.reason])
			bufferedPackets := 0
			for _, node := range cluster.nodes {
				bufferedPackets += len(node.buffered)
			}
			require.Equal(t, test.name == "port reused", bufferedPackets == 1)
			require.Empty(t, cluster.payloadDeliveries)
		})
	}
}

// Openings must be refused when the queue is full, and only then.
func TestQueueLimit(t *testing.T) {
	setup := tcpShortRequestSetup()
	setup.limits = Limits{Queue: 3}
	cluster := newTestCluster(t, setup)
	cluster.connectCallers(0, 6)
	for i := range 5 {
		caller := cluster.caller(50 + i)
		caller.send(caller.meta(packet.SYN, 0))
		cluster.advance(10 * time.Millisecond)
	}
	require.Len(t, cluster.refused, 2)
	require.Equal(t, []Reason{QueueFull}, cluster.refused[cluster.caller(54).key])
}

// An opening must be placed once, whenever its SYN is retransmitted.
func TestRetransmittedOpening(t *testing.T) {
	for _, wait := range []time.Duration{0, 2 * time.Millisecond, 5 * time.Millisecond, 50 * time.Millisecond, time.Second} {
		cluster := newTestCluster(t, tcpShortRequestSetup())
		cluster.upstreamsReply = false
		caller := cluster.caller(7)
		caller.send(caller.meta(packet.SYN, 0))
		cluster.advance(wait)
		caller.send(caller.meta(packet.SYN, 0))
		cluster.advance(50 * time.Millisecond)
		require.EqualValues(t, 1, cluster.usedSlots(), "retransmitted after %s", wait)
	}
}

// A member that sheds load, drains or is suspected must get no openings. A member
// in warm-up must not get more openings than allowed while others have room, but
// openings must not wait while only that member is free.
func TestPlacementStatus(t *testing.T) {
	for _, test := range []struct {
		name           string
		priority       service.Priority
		prepare        func(cluster *testCluster)
		wantSlots      int64
		allSlotsUsable bool
	}{
		{"shedding", service.PriorityBalance, func(cluster *testCluster) { cluster.node(1).core.SetUpstreamLoad(UpstreamLoad{Shedding: true}) }, 0, false},
		{"draining", service.PriorityBalance, func(cluster *testCluster) { cluster.node(1).core.Drain(cluster.now) }, 0, false},
		{"suspected", service.PriorityBalance, func(cluster *testCluster) { cluster.setStatus(1, view.Suspected); cluster.publishView() }, 0, false},
		{"warm-up, survival", service.PrioritySurvival, func(cluster *testCluster) {
			cluster.members[1].WarmUpUntil = cluster.now.Add(warmUpDuration)
			cluster.publishView()
		}, 1, true},
		{"warm-up, balance", service.PriorityBalance, func(cluster *testCluster) {
			cluster.members[1].WarmUpUntil = cluster.now.Add(warmUpDuration)
			cluster.publishView()
		}, 2, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			setup := tcpShortRequestSetup()
			setup.slots, setup.contract.Priority = 4, test.priority
			cluster := newTestCluster(t, setup)
			test.prepare(cluster)
			cluster.advance(50 * time.Millisecond)
			cluster.connectCallers(0, 6)
			require.Equal(t, test.wantSlots, cluster.node(1).core.flows.usedSlots.Load())
			cluster.connectCallers(10, 6)
			if test.allSlotsUsable {
				require.EqualValues(t, 12, cluster.usedSlots(), "no opening waits while an upstream in warm-up is free")
			}
		})
	}
}

// For long flows the placer must compare the busy slots that the upstreams
// report, as the load is imbalanced otherwise. Openings must be refused when all
// connection tables are full.
func TestLongFlows(t *testing.T) {
	setup := tcpLongFlowSetup()
	setup.connections = 3
	cluster := newTestCluster(t, setup)
	cluster.node(0).core.SetUpstreamLoad(UpstreamLoad{Busy: 2})
	cluster.node(1).core.SetUpstreamLoad(UpstreamLoad{Busy: 1})
	cluster.advance(time.Second)
	cluster.connectCallers(0, 3)
	established, _ := cluster.node(2).core.FlowCounts()
	require.Equal(t, 3, established, "long flows use no slot, so the least busy upstream gets them all")
	cluster.connectCallers(10, 6)
	caller := cluster.caller(30)
	caller.connect()
	require.Equal(t, []Reason{FlowLimit}, cluster.refused[caller.key])
	require.EqualValues(t, 0, cluster.usedSlots())
}

// An opening that members decline must be placed on another member, and not be
// declined in an endless loop. The placer has no load report of the decliners.
func TestDeclinedOpening(t *testing.T) {
	cluster := newTestCluster(t, tcpShortRequestSetup())
	svc := cluster.service()
	caller := cluster.caller(3)
	placer := svc.Placer(testHasher.Hash(caller.key))
	for i := range cluster.nodes {
		if i != placer {
			cluster.node(i).core.draining.Store(true) // The placer has no load report about it yet.
		}
	}
	caller.connect()
	require.Equal(t, cluster.node(placer), caller.holder())
	require.Equal(t, flow.Established, phaseOf(caller.holder(), caller.key))
}

// All placers must make the same choice among equally busy members. Among these
// they must prefer a member in the zone of the balancer, to avoid traffic between
// zones.
func TestTieBreak(t *testing.T) {
	cluster := newTestCluster(t, tcpShortRequestSetup())
	svc := cluster.service()
	for i := range 20 {
		hash := testHasher.Hash(cluster.caller(i).key)
		home := svc.Home(hash)
		for _, node := range cluster.nodes {
			require.Equal(t, home, node.core.breakTie(svc, 0b111, hash, cluster.balancerHash()))
			if home != 1 {
				require.Equal(t, 1, node.core.breakTie(svc, 0b111&^(1<<home), hash, cluster.balancerHash()), "a member in the zone of the balancer is preferred")
			}
			require.Equal(t, ranking.FirstUnweighted(hash, svc.MemberHashes, 1<<home), node.core.breakTie(svc, 0b111&^(1<<home), hash, 0))
		}
	}
}
