package steering_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/steering"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/zone"
)

var thirdZone = zone.ID{Region: "si", Name: "c"}

func termsWithout(revision uint64, zones ...zone.ID) steering.Terms {
	return steering.Terms{Revision: revision, ZonesOut: zones}
}

// Load pattern: a zone is taken out of service while its agents restart and balancers lag
// behind. No agent may let openings in, whatever balancers send, and flows stay open.
func TestAgentEnforcesZoneOrders(t *testing.T) {
	const bound = 5 * time.Second
	newAgent := func() *agentHarness {
		a := &agentHarness{t: t, now: start, Agent: steering.NewAgent(steering.AgentConfig{
			Service: orders, Zone: ownZone, ZoneOrderBound: bound, IdleTimeout: 20 * time.Second, MaxFlows: 100, StartedAt: start,
		})}
		require.True(t, a.checkIn(newCheckIn(1, 0, view.Ready)))
		return a
	}
	verdict := func(a *agentHarness, port uint16) steering.Verdict {
		action := a.handleCallerPacket(openingPacket(port), asLastAttempt(ownHeader))[0]
		if action.Kind == steering.Deliver {
			return 0
		}
		require.Equal(t, steering.OpeningRejected, action.Message.Kind)
		return action.Message.Verdict
	}

	a := newAgent()
	require.Equal(t, steering.ZoneUndetermined, verdict(a, 1), "control has not told the agent yet")
	require.True(t, a.SetTerms(a.now, termsWithout(7)))
	a.openFlow(1)
	require.True(t, a.SetTerms(a.now, termsWithout(8, ownZone, otherZone)))
	require.Equal(t, steering.ZoneOutOfService, verdict(a, 2))
	require.Equal(t, steering.Deliver, a.handleCallerPacket(callerPacket(1, 10), ownHeader)[0].Kind, "open flows stay")
	require.False(t, a.SetTerms(a.now, termsWithout(7)), "from a control process that is behind")
	require.False(t, a.SetTerms(a.now, termsWithout(8)))
	require.Equal(t, steering.ZoneOutOfService, verdict(a, 2))
	require.True(t, a.SetTerms(a.now, termsWithout(9, otherZone)))
	require.Zero(t, verdict(a, 2))

	a = newAgent()
	for a.now = start; a.now.Before(start.Add(bound - time.Second)); a.now = a.now.Add(time.Second) {
		a.Tick(a.now, &a.actions) // A gap would look like a suspension.
	}
	a.takeActions()
	a.now = start.Add(bound - 1)
	require.Equal(t, steering.ZoneUndetermined, verdict(a, 1))
	a.now = start.Add(bound)
	require.Zero(t, verdict(a, 1), "no control process is reachable")
	require.True(t, a.SetTerms(a.now, termsWithout(0, ownZone)))
	require.Equal(t, steering.ZoneOutOfService, verdict(a, 2))

	a = newReadyAgent(t)
	require.Zero(t, verdict(a, 1), "where zones are not taken out of service, agents do not wait")
}

// Load pattern: the VM of an agent is paused while its zone is taken out of service. The
// openings in its receive buffers must not be let in when it runs again; without control it
// must serve again after the bound.
func TestAgentThatWasSuspended(t *testing.T) {
	const bound = 5 * time.Second
	a := &agentHarness{t: t, now: start, Agent: steering.NewAgent(steering.AgentConfig{
		Service: orders, Zone: ownZone, ZoneOrderBound: bound, IdleTimeout: 20 * time.Second, MaxFlows: 100, StartedAt: start,
	})}
	control := netip.MustParseAddr("10.9.0.1")
	inService := &steering.TermsReport{Terms: termsWithout(3), Confirmed: true, Voters: 5}
	require.True(t, a.checkIn(newCheckIn(1, 0, view.Ready)))
	require.True(t, a.HandleTerms(a.now, control, inService))
	deliver := func(port uint16) bool {
		return a.handleCallerPacket(openingPacket(port), asLastAttempt(ownHeader))[0].Kind == steering.Deliver
	}
	require.True(t, deliver(1))
	a.now = a.now.Add(bound / 2)
	require.True(t, deliver(2), "a pause that is shorter than half of the bound")
	a.now = a.now.Add(bound/2 + 1)
	require.False(t, deliver(3))
	require.False(t, a.HandleTerms(a.now, control, &steering.TermsReport{Terms: termsWithout(3), Voters: 5}))
	require.True(t, a.AwaitsTerms(a.now), "a replica without a leader may have been paused as well")
	require.False(t, a.HandleTerms(a.now, control, inService))
	require.True(t, deliver(4))
	a.now = a.now.Add(2 * bound)
	a.Tick(a.now, &a.actions)
	require.False(t, deliver(5))
	for range 10 {
		a.now = a.now.Add(bound / 10)
		a.Tick(a.now, &a.actions)
	}
	require.True(t, deliver(6), "no control process is reachable")
}

// Load pattern: all processes are killed while a zone is out of service. Agents must serve
// before control has a leader, and no replica that was behind may bring the zone back.
func TestTermsWithoutLeader(t *testing.T) {
	controls := []netip.Addr{netip.MustParseAddr("10.9.0.1"), netip.MustParseAddr("10.9.0.2"), netip.MustParseAddr("10.9.0.3")}
	newAgent := func() *steering.Agent {
		return steering.NewAgent(steering.AgentConfig{Service: orders, Zone: ownZone, ZoneOrderBound: 5 * time.Second, MaxFlows: 100, StartedAt: start})
	}
	behind := &steering.TermsReport{Terms: termsWithout(0), Voters: 5}
	current := &steering.TermsReport{Terms: termsWithout(4, ownZone), Voters: 5}

	a := newAgent()
	require.False(t, a.HandleTerms(start, controls[0], behind))
	require.False(t, a.HandleTerms(start, controls[0], behind), "the same process again")
	require.False(t, a.HandleTerms(start, controls[1], current))
	require.True(t, a.AwaitsTerms(start))
	require.True(t, a.HandleTerms(start, controls[2], behind))
	require.True(t, a.ZoneOut(), "the latest of a majority")
	require.False(t, a.AwaitsTerms(start))

	a = newAgent()
	require.True(t, a.HandleTerms(start, controls[0], &steering.TermsReport{Terms: termsWithout(4), Confirmed: true, Voters: 5}))
	require.True(t, a.HandleTerms(start, controls[1], &steering.TermsReport{Terms: termsWithout(5, ownZone), Voters: 5}), "later ones are true without a leader")
	require.True(t, a.ZoneOut())
}

// Load pattern: the balancers of a zone that is taken out of service place the openings of
// its callers elsewhere. The other zones must get them by load, and must not get less than
// two thirds or more than four thirds of their share.
func TestLoadOfZoneOutIsSpread(t *testing.T) {
	b := newBalancerHarness(t, newUpstream(1, orders, ownZone, view.Ready), newUpstream(2, orders, ownZone, view.Ready),
		newUpstream(3, orders, otherZone, view.Ready), newUpstream(4, orders, otherZone, view.Ready),
		newUpstream(5, orders, thirdZone, view.Ready), newUpstream(6, orders, thirdZone, view.Ready))
	require.True(t, b.SetTerms(b.now, termsWithout(1, ownZone)))
	placed := map[zone.ID]int{}
	zones := map[int]zone.ID{1: ownZone, 2: ownZone, 3: otherZone, 4: otherZone, 5: thirdZone, 6: thirdZone}
	const openings = 90
	for port := range uint16(openings) {
		placed[zones[agentNumber(b.handlePacket(openingPacket(port + 1))[0].To)]]++
		b.now = b.now.Add(10 * time.Millisecond)
	}
	require.Zero(t, placed[ownZone])
	for _, id := range []zone.ID{otherZone, thirdZone} {
		require.InDelta(t, openings/2, placed[id], openings/6, "%v", placed)
	}
	require.True(t, b.SetTerms(b.now, termsWithout(2)))
	require.Equal(t, ownZone, zones[agentNumber(b.handlePacket(openingPacket(1000))[0].To)])
}

// A balancer that has not learned of an order must place the opening elsewhere, and the
// next ones as well.
func TestBalancerLearnsOfZoneOrderFromAgent(t *testing.T) {
	b := newBalancerHarness(t, newUpstream(1, orders, ownZone, view.Ready), newUpstream(2, orders, otherZone, view.Ready))
	require.Equal(t, agentAddress(1), b.handlePacket(openingPacket(1))[0].To)
	require.Equal(t, agentAddress(2), b.handleMessage(1, steering.Message{Kind: steering.OpeningRejected, Verdict: steering.ZoneOutOfService, Sequence: 100})[0].To)
	require.Equal(t, agentAddress(2), b.handlePacket(openingPacket(2))[0].To)
}

// A service without a zone in service must refuse its callers at once, and must serve
// those that wait for an upstream as soon as a zone is back.
func TestNoZoneInService(t *testing.T) {
	b := newBalancerHarness(t, newUpstream(1, orders, ownZone, view.Ready), newUpstream(2, orders, otherZone, view.Starting))
	require.True(t, b.SetTerms(b.now, termsWithout(1, ownZone, otherZone)))
	refused := b.handlePacket(openingPacket(1))[0]
	require.Equal(t, steering.Reset, refused.Kind)
	require.Equal(t, steering.ZonesOutOfService, refused.Reason)

	require.True(t, b.SetTerms(b.now, termsWithout(2, ownZone)))
	require.Equal(t, steering.OpeningQueued, b.handlePacket(openingPacket(2))[0].Kind, "an upstream in the other zone is starting")
	require.True(t, b.SetTerms(b.now, termsWithout(3)))
	b.RetryPending(b.now, false, &b.actions)
	require.Equal(t, agentAddress(1), b.takeActions()[0].To)
	require.False(t, b.SetTerms(b.now, termsWithout(4)), "a later revision with the same zones")
}
