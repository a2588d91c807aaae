package steering_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/steering"
	"bramleyhold.example/bramleyhold/internal/view"
)

// The failure of a balancer must not lose its flows. Another balancer looks up the
// holder and keeps the order of the packets meanwhile.
func TestHolderLookup(t *testing.T) {
	b := newBalancerHarness(t, newUpstream(1, orders, ownZone, view.Ready), newUpstream(2, orders, otherZone, view.Leaving), newUpstream(3, orders, otherZone, view.Left))
	actions := b.handlePacket(callerPacket(1, 10))
	require.Len(t, actions, 2, "upstreams that have left hold no flow")
	require.Equal(t, steering.LookupRequest, actions[0].Message.Kind)
	require.Empty(t, b.handlePacket(callerPacket(1, 20)))
	require.Empty(t, b.handleMessage(1, steering.Message{Kind: steering.LookupResponse, Verdict: steering.FlowNotHeld}))
	actions = b.handleMessage(2, steering.Message{Kind: steering.LookupResponse, Verdict: steering.FlowHeld})
	require.Len(t, actions, 2)
	require.Equal(t, agentAddress(2), actions[0].To)
	require.Equal(t, agentAddress(2), b.handlePacket(callerPacket(1, 30))[0].To)
}

// A lookup request without a response must be repeated, because it or the response
// may have been lost on a saturated link. No candidate may get a packet while the
// agent that has not responded may be the holder.
func TestLostLookupRequestsAreRepeated(t *testing.T) {
	b := newBalancerHarness(t, newUpstream(1, orders, ownZone, view.Ready), newUpstream(2, orders, otherZone, view.Ready))
	b.handlePacket(callerPacket(1, 10))
	b.handleMessage(2, steering.Message{Kind: steering.LookupResponse, Verdict: steering.FlowUndetermined})
	for range 2 {
		actions := b.advanceToDeadline()
		require.Len(t, actions, 1, "only the agent that has not responded gets the request again")
		require.Equal(t, agentAddress(1), actions[0].To)
		require.Equal(t, steering.LookupRequest, actions[0].Message.Kind)
	}
	require.Less(t, b.now.Sub(start), 200*time.Millisecond)
	for _, a := range b.advanceToDeadline() {
		require.NotEqual(t, steering.Forward, a.Kind, "no candidate gets a packet while another agent is not responding")
	}
	b.now = b.now.Add(400 * time.Millisecond)
	require.Len(t, b.handlePacket(callerPacket(1, 10)), 2)
	actions := b.handleMessage(1, steering.Message{Kind: steering.LookupResponse, Verdict: steering.FlowHeld})
	require.Equal(t, agentAddress(1), actions[0].To)
}

// A VM that is gone without notice must delay only the first lookup. If it delayed
// every lookup, flows of restarted agents would miss their latency objectives.
func TestUnresponsiveAgentDelaysOneLookup(t *testing.T) {
	b := newBalancerHarness(t, newUpstream(1, orders, ownZone, view.Ready), newUpstream(2, orders, otherZone, view.Ready))
	lookup := func(port uint16) (forwarded bool) {
		b.handlePacket(callerPacket(port, 10))
		b.handleMessage(2, steering.Message{Kind: steering.LookupResponse, Verdict: steering.FlowUndetermined})
		for range 3 {
			for _, a := range b.advanceToDeadline() {
				forwarded = forwarded || a.Kind == steering.Forward
			}
		}
		return forwarded
	}
	require.False(t, lookup(1), "the agent that is not responding may hold the flow")
	require.True(t, lookup(2), "it is recorded as not responding")
	b.handleMessage(1, steering.Message{Kind: steering.LookupResponse, Verdict: steering.FlowNotHeld})
	require.False(t, lookup(3), "it has responded since")
}

// A flow whose agent has just restarted must not be reset: the balancer must send its
// packet to the undetermined agents.
func TestUndeterminedAgentsAreTried(t *testing.T) {
	b := newBalancerHarness(t, newUpstream(1, orders, ownZone, view.Ready), newUpstream(2, orders, otherZone, view.Ready))
	b.handlePacket(callerPacket(1, 10))
	b.handleMessage(1, steering.Message{Kind: steering.LookupResponse, Verdict: steering.FlowUndetermined})
	actions := b.handleMessage(2, steering.Message{Kind: steering.LookupResponse, Verdict: steering.FlowUndetermined})
	require.Len(t, actions, 1, "the agent in the own zone first")
	require.Equal(t, steering.CandidateTried, actions[0].Reason)
	require.Equal(t, agentAddress(1), actions[0].To)
	actions = b.handleMessage(1, steering.Message{Kind: steering.FlowNotFound})
	require.Len(t, actions, 1)
	require.Equal(t, steering.CandidateTried, actions[0].Reason)
	require.Equal(t, agentAddress(2), actions[0].To)
	require.Empty(t, b.handleMessage(2, steering.Message{Kind: steering.LookupResponse, Verdict: steering.FlowHeld}))
	require.Equal(t, agentAddress(2), b.handlePacket(callerPacket(1, 30))[0].To)
}

// Guards against a flow that waits for its caller's deadline: its upstream has crashed and
// runs again, the balancer has the new record, and the agent reports that the flow is not
// held.
func TestFlowNotFoundAfterTheRecordWasReplaced(t *testing.T) {
	upstream := newUpstream(1, orders, ownZone, view.Ready)
	b := newBalancerHarness(t, upstream)
	b.handlePacket(openingPacket(1))
	b.handleMessage(1, steering.Message{Kind: steering.OpeningAccepted, Sequence: 5})
	require.Equal(t, agentAddress(1), b.handlePacket(callerPacket(1, 10))[0].To)
	upstream.Incarnation = 2
	b.SetUpstreams([]steering.Upstream{upstream}, true)
	require.NotEmpty(t, b.handleMessage(1, steering.Message{Kind: steering.FlowNotFound}), "no lookup of the holder")
}

// After all balancers and agents have restarted, every agent is undetermined. The
// likely holders must be tried first, with the smallest buffered packet, and the
// others only if the likely ones deny the flow or do not respond. Otherwise packets
// to candidates saturate the links.
func TestLikelyHoldersAreTriedFirst(t *testing.T) {
	var list []steering.Upstream
	for i := 1; i <= 12; i++ {
		zoneID, name := ownZone, service.Name(orders)
		if i > 4 {
			zoneID = otherZone
		}
		if i == 4 {
			name = kilnlog
		}
		list = append(list, newUpstream(i, name, zoneID, view.Ready))
	}
	for name, response := range map[string]steering.MessageKind{"they deny the flow": steering.FlowNotFound, "one holds the flow": steering.FlowConfirmed, "they do not respond": 0} {
		t.Run(name, func(t *testing.T) {
			b := newBalancerHarness(t, list...)
			b.HandlePacket(b.now, callerPacket(1, 1200), make([]byte, 1236), &b.actions)
			b.HandlePacket(b.now, callerPacket(1, 10), make([]byte, 46), &b.actions)
			b.takeActions()
			var forwarded []steering.Action
			for i := range list {
				forwarded = b.handleMessage(i+1, steering.Message{Kind: steering.LookupResponse, Verdict: steering.FlowUndetermined})
			}
			require.Len(t, forwarded, 3, "the agents of the service in the own zone")
			var forwardedNext []steering.Action
			for _, a := range forwarded {
				require.LessOrEqual(t, agentNumber(a.To), 3)
				require.Len(t, a.Data, 46)
				if response != 0 {
					forwardedNext = b.handleMessage(agentNumber(a.To), steering.Message{Kind: response})
				}
				if response == steering.FlowConfirmed {
					break
				}
			}
			if response == steering.FlowConfirmed {
				require.Len(t, forwardedNext, 1, "the other buffered packet")
				require.Len(t, forwardedNext[0].Data, 1236)
				return
			}
			if response == 0 {
				forwardedNext = b.advanceToDeadline()
			}
			require.Len(t, forwardedNext, 9, "the other agents")
			require.Len(t, b.handleMessage(12, steering.Message{Kind: steering.FlowConfirmed}), 1)
			require.Equal(t, agentAddress(12), b.handlePacket(callerPacket(1, 10))[0].To)
		})
	}
}

// A late response of the holder must still set the holder. Otherwise, when the
// response was delayed on a saturated link, the flow stays with an upstream that
// does not hold it.
func TestLateResponseOfHolder(t *testing.T) {
	for name, test := range map[string]struct{ secondVerdict steering.Verdict }{
		"no other agent may hold the flow": {steering.FlowNotHeld},
		"another agent is undetermined":    {steering.FlowUndetermined},
		"no agent responds in time":        {0},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBalancerHarness(t, newUpstream(1, orders, ownZone, view.Ready), newUpstream(2, orders, otherZone, view.Ready))
			b.handlePacket(callerPacket(1, 10))
			if test.secondVerdict != 0 {
				b.handleMessage(2, steering.Message{Kind: steering.LookupResponse, Verdict: test.secondVerdict})
			}
			for range 3 {
				b.advanceToDeadline()
			}
			if test.secondVerdict == steering.FlowUndetermined {
				for _, a := range b.handlePacket(callerPacket(1, 20)) {
					require.NotEqual(t, steering.Forward, a.Kind, "the agent that is not responding may hold the flow")
				}
			}
			b.handleMessage(1, steering.Message{Kind: steering.LookupResponse, Verdict: steering.FlowHeld})
			actions := b.handlePacket(callerPacket(1, 30))
			require.Equal(t, steering.Forward, actions[0].Kind)
			require.Equal(t, agentAddress(1), actions[0].To)
		})
	}
}

// A flow without a holder must be reset, or its caller waits until its timeout. A flow
// that an upstream may hold must not be reset. The second lookup must not wait for the
// caller's next packet. A caller that gets the reset within 100 ms can still be served
// elsewhere within its latency objective.
func TestDeadFlowIsReset(t *testing.T) {
	for name, test := range map[string]struct {
		complete      bool
		status        view.Status
		secondVerdict steering.Verdict
		wantReset     bool
	}{
		"all agents deny the flow":                     {true, view.Ready, steering.FlowNotHeld, true},
		"directory is incomplete":                      {false, view.Ready, steering.FlowNotHeld, false},
		"an agent does not respond":                    {true, view.Ready, 0, false},
		"a failed agent does not respond":              {true, view.Failed, 0, true},
		"an undetermined agent denies the flow later":  {true, view.Ready, steering.FlowUndetermined, true},
		"a failed agent responds and denies the flow":  {true, view.Failed, steering.FlowNotHeld, true},
		"a failed agent responds and holds the flow":   {true, view.Failed, steering.FlowHeld, false},
		"directory is incomplete, an agent has failed": {false, view.Failed, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBalancerHarness(t)
			b.Balancer = steering.NewBalancer(steering.BalancerConfig{Zone: ownZone, MaxFlows: 10, Random: rand.New(rand.NewPCG(1, 2))})
			b.SetDesired(newDesired(1, intent.WeightedService{Service: orders, Weight: 1}))
			b.SetUpstreams([]steering.Upstream{newUpstream(1, orders, ownZone, view.Ready), newUpstream(2, orders, otherZone, test.status)}, test.complete)
			verdicts := map[int]steering.Verdict{1: steering.FlowNotHeld, 2: test.secondVerdict}
			reset, requests := b.runLookups(b.handlePacket(callerPacket(1, 10)), verdicts, 200*time.Millisecond)
			require.Equal(t, test.wantReset, reset)
			if reset {
				require.GreaterOrEqual(t, requests[1], 2, "one lookup is not enough")
				require.LessOrEqual(t, b.now.Sub(start), 150*time.Millisecond)
			}
		})
	}
}

// runLookups responds to lookup requests with the verdicts of the agents, until the
// flow is reset or the time limit has passed. An agent with the verdict zero does
// not respond. An undetermined agent denies the flow when it gets a packet of it.
// requests counts the requests to each agent.
func (b *balancerHarness) runLookups(actions []steering.Action, verdicts map[int]steering.Verdict, limit time.Duration) (reset bool, requests map[int]int) {
	end := b.now.Add(limit)
	requests = map[int]int{}
	for {
		for len(actions) > 0 {
			a := actions[0]
			actions = actions[1:]
			agent := 0
			if a.To.IsValid() {
				agent = agentNumber(a.To)
			}
			switch {
			case a.Kind == steering.Reset:
				return true, requests
			case a.Kind == steering.SendMessage:
				requests[agent]++
				if v := verdicts[agent]; v != 0 {
					actions = append(actions, b.handleMessage(agent, steering.Message{Kind: steering.LookupResponse, Verdict: v})...)
				}
			case a.Kind == steering.Forward && verdicts[agent] == steering.FlowUndetermined:
				actions = append(actions, b.handleMessage(agent, steering.Message{Kind: steering.FlowNotFound})...)
			}
		}
		if next := b.Deadline(); next.IsZero() || next.After(end) {
			return false, requests
		}
		actions = b.advanceToDeadline()
	}
}

// Flows that were denied before the directory was complete must be looked up again as
// soon as it is. Otherwise callers wait after a loss of power until they retransmit.
func TestCompleteDirectoryEndsLookups(t *testing.T) {
	b := newBalancerHarness(t)
	b.Balancer = steering.NewBalancer(steering.BalancerConfig{Zone: ownZone, MaxFlows: 10, Random: rand.New(rand.NewPCG(1, 2))})
	b.SetDesired(newDesired(1, intent.WeightedService{Service: orders, Weight: 1}))
	list := []steering.Upstream{newUpstream(1, orders, ownZone, view.Ready)}
	b.SetUpstreams(list, false)
	b.handlePacket(callerPacket(1, 10))
	denial := steering.Message{Kind: steering.LookupResponse, Verdict: steering.FlowNotHeld}
	require.Equal(t, steering.Drop, b.handleMessage(1, denial)[0].Kind)
	b.now = b.now.Add(500 * time.Millisecond)
	list = append(list, newUpstream(2, orders, otherZone, view.Ready))
	b.SetUpstreams(list, true)
	b.RetryPending(b.now, true, &b.actions)
	require.Len(t, b.takeActions(), 2)
	b.handleMessage(1, denial)
	b.handleMessage(2, denial)
	require.Len(t, b.advanceToDeadline(), 2)
	b.handleMessage(1, denial)
	actions := b.handleMessage(2, denial)
	require.Equal(t, steering.Reset, actions[0].Kind)
	require.EqualValues(t, answerSequence+1, actions[0].Sequence)
	require.Less(t, b.now.Sub(start), 600*time.Millisecond)
}

// After a loss of power, many flows without a holder must be reset soon also over a
// slow link, and their lookups must not use more than their share of the link. If
// the flows were looked up one by one, callers would wait for seconds. Each agent
// responds 15 ms after it has received a request.
func TestManyDeadFlowsOnASlowLink(t *testing.T) {
	for name, test := range map[string]struct {
		link   float64
		agents int
		// sendPeriod is the period in which the flows send their packets.
		sendPeriod, limit time.Duration
	}{
		"58 agents, 3.9 Mbit/s":          {3.9e6, 58, 200 * time.Millisecond, 2 * time.Second},
		"58 agents, 3.9 Mbit/s, at once": {3.9e6, 58, 0, 2 * time.Second},
		"12 agents, 1,000 Mbit/s":        {1e9, 12, 200 * time.Millisecond, 600 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			const flows, responseDelay = 40, 15 * time.Millisecond
			var list []steering.Upstream
			for i := 1; i <= test.agents; i++ {
				list = append(list, newUpstream(i, orders, ownZone, view.Ready))
			}
			b := newBalancerHarness(t)
			b.Balancer = steering.NewBalancer(steering.BalancerConfig{Zone: ownZone, MaxFlows: 1000, Random: rand.New(rand.NewPCG(1, 2)), LinkBitsPerSecond: test.link})
			b.SetDesired(newDesired(1, intent.WeightedService{Service: orders, Weight: 1}))
			b.SetUpstreams(list, true)
			type response struct {
				at    time.Time
				agent int
				steering.Message
			}
			var responses []response
			resetPorts := map[uint16]bool{}
			bytes, requests := 0, 0
			// linkFree is when the link has carried all requests so far.
			var linkFree time.Time
			handle := func(actions []steering.Action) {
				for _, a := range actions {
					switch a.Kind {
					case steering.SendMessage:
						payload, err := cbor.Marshal(a.Message)
						require.NoError(t, err)
						require.LessOrEqual(t, len(payload), 1200, "more than one datagram")
						message := steering.Message{Kind: steering.LookupResponse, LookupID: a.Message.LookupID}
						for range a.Message.Lookups {
							message.Verdicts = append(message.Verdicts, steering.FlowNotHeld)
						}
						reply, err := cbor.Marshal(message)
						require.NoError(t, err)
						const headers = 2 * (28 + 9)
						bytes += len(payload) + len(reply) + headers
						requests++
						if linkFree.Before(b.now) {
							linkFree = b.now
						}
						// Packets of callers use 0.6 of the link.
						linkFree = linkFree.Add(time.Duration(1 / 0.4 * float64(len(payload)+headers/2) * 8 / test.link * float64(time.Second)))
						responses = append(responses, response{linkFree.Add(responseDelay), agentNumber(a.To), message})
					case steering.Drop:
						require.NotEqual(t, steering.AgentNotResponding, a.Reason, "the requests were still on the link")
					case steering.Reset:
						require.Equal(t, steering.NoHolder, a.Reason)
						resetPorts[a.Flow.Caller.Port()] = true
					}
				}
			}
			packetsSent := 0
			for len(resetPorts) < flows && b.now.Sub(start) < test.limit {
				for ; packetsSent < flows && b.now.Sub(start) >= test.sendPeriod/flows*time.Duration(packetsSent); packetsSent++ {
					handle(b.handlePacket(callerPacket(uint16(1+packetsSent), 10)))
				}
				b.now = b.now.Add(time.Millisecond)
				for len(responses) > 0 && !b.now.Before(responses[0].at) {
					a := responses[0]
					responses = responses[1:]
					b.HandleMessage(b.now, agentAddress(a.agent), &a.Message, &b.actions)
					handle(b.takeActions())
				}
				b.Tick(b.now, &b.actions)
				handle(b.takeActions())
			}
			require.Len(t, resetPorts, flows)
			require.LessOrEqual(t, requests, len(b.lookupIDs)*test.agents, "requests were repeated while still on the link")
			require.LessOrEqual(t, float64(bytes), 0.2*test.link/8*(b.now.Sub(start)+300*time.Millisecond).Seconds())
		})
	}
}
