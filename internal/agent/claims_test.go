package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/frame"
	"bramleyhold.example/bramleyhold/internal/peer"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

func udpClaimSetup() testSetup {
	setup := tcpShortRequestSetup()
	setup.nodes, setup.slots, setup.protocol, setup.contract.Idempotent = 4, 20, service.UDP, false
	return setup
}

// sendOpeningTo sends the opening directly to a member, as a placer with
// another view would.
func (caller *testCaller) sendOpeningTo(node *testNode) {
	pkt := testPacket{meta: caller.meta(0, 50)}
	pkt.header.Service, pkt.header.Origin, pkt.header.Flags = 1, caller.cluster.balancerHash(), frame.FlagOpening|frame.FlagPlaced
	caller.cluster.sendFrame(node, pkt)
}

// changeViewOfSomeNodes makes two nodes see a member as failed, and later as
// ready, up to 5 s before the others.
func (cluster *testCluster) changeViewOfSomeNodes(round, member int) {
	switch round {
	case 2:
		cluster.setStatus(member, view.Failed)
		cluster.publishView(cluster.node(0), cluster.node(1))
	case 7:
		cluster.setStatus(member, view.Ready)
		cluster.publishView(cluster.node(2), cluster.node(3))
	case 5, 10:
		cluster.publishView()
	}
}

// An opening of a non-idempotent service must reach at most one upstream. The
// test sends copies of it to every member, and claims are lost, duplicated,
// delayed and reordered. For odd seeds the views differ in which member is the
// home.
func TestClaimRunsOnce(t *testing.T) {
	for seed := range uint64(5) {
		cluster := newTestCluster(t, udpClaimSetup())
		reliable := cluster.messageDelays
		for round := range 12 {
			if seed%2 == 1 {
				cluster.changeViewOfSomeNodes(round, int(seed)%4)
			}
			caller := cluster.caller(round)
			cluster.messageDelays = lossyDelays(seed*100+uint64(round), 0.3, 0.5, 300*time.Millisecond)
			for range 3 {
				for _, node := range cluster.nodes {
					caller.sendOpeningTo(node)
				}
				cluster.advance(150 * time.Millisecond)
			}
			cluster.messageDelays = reliable
			cluster.advance(claimTimeout + 200*time.Millisecond)
			require.LessOrEqual(t, len(cluster.payloadReceivers[caller.key]), 1, "seed %d, round %d", seed, round)
		}
		require.GreaterOrEqual(t, len(cluster.payloadReceivers), 3, "some openings are delivered")
		require.Empty(t, cluster.refused, "a copy must not be refused as not executed")
		require.LessOrEqual(t, cluster.usedSlots(), int64(12), "a slot for each caller")
		for _, node := range cluster.nodes {
			require.Empty(t, node.buffered)
		}
	}
}

// A home must deny a claim that a previous home, or its own previous
// incarnation, may have granted to another holder. An opening must not be
// buffered for longer than the claim timeout.
func TestClaimDenied(t *testing.T) {
	for _, test := range []struct {
		name       string
		prepare    func(cluster *testCluster, home int)
		reason     Reason
		deliveries int
	}{
		{"after the grace period", func(*testCluster, int) {}, "", 1},
		{"home restarted", func(cluster *testCluster, home int) { cluster.restartAgent(home, false); cluster.publishView() }, ClaimDenied, 0},
		{"home has just changed", func(cluster *testCluster, home int) {
			cluster.node(home).down = true
			cluster.setStatus(home, view.Failed)
			cluster.publishView()
		}, ClaimDenied, 0},
		{"home of other flows changed", func(cluster *testCluster, home int) {
			cluster.setStatus((home+1)%4, view.Leaving)
			cluster.publishView()
		}, "", 1},
		{"home does not respond", func(cluster *testCluster, home int) { cluster.node(home).down = true }, ClaimTimeout, 0},
		{"home has an older view", func(cluster *testCluster, home int) {
			others := append([]*testNode{}, cluster.nodes[:home]...)
			cluster.publishView(append(others, cluster.nodes[home+1:]...)...)
		}, ClaimDenied, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			cluster := newTestCluster(t, udpClaimSetup())
			caller := cluster.caller(1)
			home := cluster.service().Home(testHasher.Hash(caller.key))
			test.prepare(cluster, home)
			caller.sendOpeningTo(cluster.node((home + 2) % 4))
			cluster.advance(claimTimeout + 100*time.Millisecond)
			require.Len(t, cluster.payloadDeliveries, test.deliveries)
			require.EqualValues(t, test.deliveries, cluster.usedSlots(), "the slot is released")
			require.Empty(t, cluster.refused)
			if test.reason != "" {
				require.Equal(t, 1, cluster.drops[test.reason])
			}
		})
	}
}

// An opening must not be granted to two holders within the lifetime of a grant,
// in whatever order claims, releases and their copies arrive.
func TestClaimsProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newClaimTable(8)
		key := flow.Key{Caller: testVirtual, Virtual: testVirtual, Protocol: 17}
		type claimHolder struct {
			holder      vm.ID
			incarnation vm.Incarnation
		}
		var sent []peer.Claim
		// granted holds the holder that got a grant for each opening.
		granted := map[uint32]claimHolder{}
		released := map[claimHolder]map[uint64]bool{}
		lastNumber := map[claimHolder]uint64{}
		nowNanos := int64(1)
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				holder := claimHolder{vm.ID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "holder")), vm.Incarnation(rapid.IntRange(1, 2).Draw(t, "incarnation"))}
				lastNumber[holder]++
				sent = append(sent, peer.Claim{Key: key, Holder: holder.holder, Incarnation: holder.incarnation, Number: lastNumber[holder], Opening: rapid.Uint32Range(1, 2).Draw(t, "opening")})
			},
			"arrive": func(t *rapid.T) {
				if len(sent) == 0 {
					t.Skip()
				}
				claim := rapid.SampledFrom(sent).Draw(t, "message")
				holder := claimHolder{claim.Holder, claim.Incarnation}
				if !table.grantOrDeny(nowNanos, &claim).Granted || released[holder][claim.Number] {
					return
				}
				if previous, ok := granted[claim.Opening]; ok && previous != holder {
					t.Fatalf("opening %d granted to %v and %v", claim.Opening, previous, holder)
				}
				granted[claim.Opening] = holder
			},
			"release": func(t *rapid.T) {
				if len(sent) == 0 {
					t.Skip()
				}
				claim := rapid.SampledFrom(sent).Draw(t, "message")
				holder := claimHolder{claim.Holder, claim.Incarnation}
				if granted[claim.Opening] == holder {
					t.Skip() // A holder that got the grant does not release it.
				}
				if released[holder] == nil {
					released[holder] = map[uint64]bool{}
				}
				released[holder][claim.Number] = true
				claim.Release = true
				table.releaseGrant(&claim)
			},
			"time": func(t *rapid.T) {
				nowNanos += int64(rapid.IntRange(0, 1000).Draw(t, "ms")) * 1_000_000 / 100
				table.expireGrants(nowNanos)
			},
		})
	})
}
