package steering_test

import (
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/steering"
	"bramleyhold.example/bramleyhold/internal/view"
)

// newLargeFleet returns a balancer on a link of 2 Mbit/s and the upstreams of two
// services in five zones: numbers 1 to 20 are those of orders in the own zone.
func newLargeFleet(t *testing.T) *balancerHarness {
	var list []steering.Upstream
	for i := 1; i <= 140; i++ {
		name, zoneID := service.Name(orders), otherZone
		if i <= 25 {
			zoneID = ownZone
		}
		if i > 20 && i <= 40 {
			name = kilnlog
		}
		list = append(list, newUpstream(i, name, zoneID, view.Ready))
	}
	h := newLinkHarness(t, 2e6)
	h.SetDesired(newDesired(2, intent.WeightedService{Service: orders, Weight: 1}))
	h.SetUpstreams(list, true)
	return h.balancerHarness
}

// requestedAgents returns the agents that the actions send lookup requests to.
func requestedAgents(actions []steering.Action) map[int]bool {
	agents := map[int]bool{}
	for _, action := range actions {
		if action.Kind == steering.SendMessage && action.Message.Kind == steering.LookupRequest {
			agents[agentNumber(action.To)] = true
		}
	}
	return agents
}

// A balancer that joins a large fleet gets the packets of hundreds of flows at once. The
// agents of the service in its zone must be asked first: on a link of 2 Mbit/s, asking
// all of them takes seconds.
func TestLookupsAskOwnZoneFirst(t *testing.T) {
	b := newLargeFleet(t)
	found := map[uint16]time.Duration{}
	const flows = 100
	for port := uint16(1); port <= flows; port++ {
		b.HandlePacket(b.now, callerPacket(port, 100), []byte("packet"), &b.actions)
	}
	actions := b.takeActions()
	for rounds := 0; len(found) < flows && rounds < 200; rounds++ {
		asked := requestedAgents(actions)
		for agent := range asked {
			require.LessOrEqual(t, agent, 20)
		}
		b.now = b.now.Add(time.Millisecond)
		for agent := range asked {
			request := b.lastLookups[agent]
			response := steering.Message{Kind: steering.LookupResponse, LookupID: request.LookupID}
			for _, lookup := range request.Lookups {
				verdict := steering.FlowNotHeld
				if int(lookup.Flow.Caller.Port())%20+1 == agent {
					verdict = steering.FlowHeld
				}
				response.Verdicts = append(response.Verdicts, verdict)
			}
			b.HandleMessage(b.now, agentAddress(agent), &response, &b.actions)
		}
		if len(asked) == 0 {
			b.now = b.Deadline()
			b.Tick(b.now, &b.actions)
		}
		actions = b.takeActions()
		for _, action := range actions {
			if action.Kind == steering.Forward {
				require.Equal(t, steering.HolderFound, action.Reason)
				found[action.Flow.Caller.Port()] = b.now.Sub(start)
			}
		}
	}
	require.Len(t, found, flows)
	for port, after := range found {
		// Callers repeat their packets after 200, 600 and 1400 ms.
		require.Less(t, after, 1400*time.Millisecond, "flow of port %d", port)
	}
}

// respond answers the lookup request of every agent in asked with the same verdict.
func respond(b *balancerHarness, asked map[int]bool, verdict func(agent int) steering.Verdict) []steering.Action {
	for agent := range asked {
		request := b.lastLookups[agent]
		response := steering.Message{Kind: steering.LookupResponse, LookupID: request.LookupID}
		for range request.Lookups {
			response.Verdicts = append(response.Verdicts, verdict(agent))
		}
		b.HandleMessage(b.now, agentAddress(agent), &response, &b.actions)
	}
	return b.takeActions()
}

// waitForRequests calls Tick until all lookup requests are sent, which takes time on the
// link.
func waitForRequests(b *balancerHarness, actions []steering.Action) map[int]bool {
	asked := map[int]bool{}
	for end := b.now.Add(2 * time.Second); b.now.Before(end); actions = b.advanceToDeadline() {
		requested := requestedAgents(actions)
		if len(requested) == 0 && len(asked) > 0 {
			break
		}
		maps.Copy(asked, requested)
	}
	return asked
}

// A flow that is held in another zone, since its opening crossed zones, must be found
// at all agents. A flow that only the agents of the own zone have denied must not be
// reset.
func TestNarrowLookupIsWidened(t *testing.T) {
	b := newLargeFleet(t)
	asked := requestedAgents(b.handlePacket(callerPacket(1, 100)))
	require.Len(t, asked, 20)
	deny := func(int) steering.Verdict { return steering.FlowNotHeld }
	actions := respond(b, asked, deny)
	asked = waitForRequests(b, actions)
	require.Len(t, asked, 140)
	actions = respond(b, asked, func(agent int) steering.Verdict {
		if agent == 77 {
			return steering.FlowHeld
		}
		return steering.FlowNotHeld
	})
	forwarded := 0
	for actions = append(actions, b.advanceToDeadline()...); len(actions) > 0; actions = nil {
		for _, action := range actions {
			if action.Kind == steering.Forward {
				require.Equal(t, agentAddress(77), action.To)
				forwarded++
			}
		}
	}
	require.Equal(t, 1, forwarded)

	b = newLargeFleet(t)
	asked = requestedAgents(b.handlePacket(callerPacket(2, 100)))
	actions = respond(b, asked, deny)
	for round := range 2 {
		for _, action := range actions {
			require.NotEqual(t, steering.Reset, action.Kind, "round %d", round)
		}
		asked = waitForRequests(b, actions)
		require.Len(t, asked, 140)
		actions = respond(b, asked, deny)
	}
	require.Equal(t, steering.Reset, actions[0].Kind)
}
