package steering_test

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/steering"
	"bramleyhold.example/bramleyhold/internal/view"
)

// Guards against an explanation that differs from what happens, and against one that
// changes what happens.
func TestExplainPlacement(t *testing.T) {
	b := newBalancerHarness(t,
		newUpstream(1, orders, ownZone, view.Ready), newUpstream(2, orders, ownZone, view.Ready), newUpstream(3, orders, otherZone, view.Ready),
		newUpstream(4, orders, ownZone, view.Leaving), newUpstream(5, orders, thirdZone, view.Ready))
	b.SetTerms(b.now, termsWithout(1, thirdZone))
	b.handleMessage(1, steering.Message{Kind: steering.OpeningRejected, Verdict: steering.Busy, Load: 2})
	caller := netip.MustParseAddrPort("100.64.0.7:40001")
	explanation := b.ExplainPlacement(b.now, virtual, caller)
	require.Equal(t, "placed", explanation.Outcome)
	require.EqualValues(t, orders, explanation.Service)
	require.Len(t, explanation.Upstreams, 5)
	best := explanation.Upstreams[0]
	require.Equal(t, agentAddress(2), best.Agent)
	require.Equal(t, int64(-1), best.AgeMillis)
	require.Zero(t, best.OwnOpenings)
	excluded := map[netip.Addr]string{}
	for _, u := range explanation.Upstreams {
		excluded[u.Agent] = u.Exclude
	}
	require.Equal(t, map[netip.Addr]string{
		agentAddress(1): "", agentAddress(2): "", agentAddress(3): "", agentAddress(4): "status", agentAddress(5): "zone_out",
	}, excluded)
	require.Empty(t, b.takeActions())
	require.Zero(t, b.Flows(), "no flow is added")
	require.Equal(t, explanation, b.ExplainPlacement(b.now, virtual, caller))
	require.Equal(t, best.Agent, b.handlePacket(openingPacket(1))[0].To)
	for _, u := range b.ExplainPlacement(b.now, virtual, caller).Upstreams {
		if u.Agent == best.Agent {
			require.Equal(t, 1, u.OwnOpenings)
		}
	}

	require.Equal(t, steering.NoRoute, b.ExplainPlacement(b.now, netip.MustParseAddrPort("198.18.9.9:1"), caller).Reason)
	b.SetDesired(newDesired(2, intent.WeightedService{Service: kilnlog, Weight: 1}))
	refused := b.ExplainPlacement(b.now, virtual, netip.AddrPort{})
	require.Equal(t, "refused", refused.Outcome)
	require.Equal(t, steering.NoUpstream, refused.Reason)
	b.SetUpstreams([]steering.Upstream{newUpstream(6, kilnlog, ownZone, view.Starting)}, true)
	require.Equal(t, "queued", b.ExplainPlacement(b.now, virtual, caller).Outcome)
}
