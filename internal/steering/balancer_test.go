package steering_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/service"
	"bramleyhold.example/bramleyhold/internal/steering"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
	"bramleyhold.example/bramleyhold/internal/zone"
)

var (
	ownZone   = zone.ID{Region: "si", Name: "a"}
	otherZone = zone.ID{Region: "si", Name: "b"}
)

func agentAddress(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, 2, 0, byte(i)}) }

func newUpstream(i int, name service.Name, zoneID zone.ID, status view.Status) steering.Upstream {
	return steering.Upstream{Service: name, Upstream: view.Upstream{
		VM: vm.ID(fmt.Sprint("vm-", i)), Zone: zoneID, Address: netip.AddrPortFrom(agentAddress(i), 8000), Incarnation: 1, Status: status, Slots: 2,
	}}
}

func newDesired(version uint64, backends ...intent.WeightedService) *intent.DesiredState {
	return &intent.DesiredState{Version: version, IdleTimeout: 15 * time.Second, Routes: []intent.Route{{
		Name: "r", Virtual: virtual, Backends: backends, Kind: intent.Idempotent, Timeout: time.Second, Objective: timeBudget,
	}}}
}

// balancerHarness drives one balancer with a clock set by the test.
type balancerHarness struct {
	*steering.Balancer
	t       *testing.T
	now     time.Time
	actions []steering.Action
	// lastLookups has the last lookup request to each agent, lookupIDs the IDs of all
	// requests.
	lastLookups map[int]steering.Message
	lookupIDs   map[uint32]bool
}

func newBalancerHarness(t *testing.T, upstreams ...steering.Upstream) *balancerHarness {
	b := &balancerHarness{t: t, now: start, lastLookups: map[int]steering.Message{}, lookupIDs: map[uint32]bool{}, Balancer: steering.NewBalancer(steering.BalancerConfig{
		Zone: ownZone, MaxFlows: 1000, Random: rand.New(rand.NewPCG(1, 2)),
	})}
	b.SetDesired(newDesired(1, intent.WeightedService{Service: orders, Weight: 1}))
	b.SetUpstreams(upstreams, true)
	return b
}

// takeActions returns the actions since the last call and records lookup requests.
func (b *balancerHarness) takeActions() []steering.Action {
	actions := b.actions
	b.actions = nil
	for _, a := range actions {
		if a.Kind == steering.SendMessage {
			b.lastLookups[agentNumber(a.To)] = a.Message
			b.lookupIDs[a.Message.LookupID] = true
		}
	}
	return actions
}

func (b *balancerHarness) handlePacket(packet *steering.Packet) []steering.Action {
	b.HandlePacket(b.now, packet, []byte("packet"), &b.actions)
	return b.takeActions()
}

// handleMessage delivers a message of an agent. A LookupResponse is the response to
// the last request to the agent, with the same verdict on every flow.
func (b *balancerHarness) handleMessage(agent int, message steering.Message) []steering.Action {
	message.Flow = flowKey(1)
	if message.Kind == steering.LookupResponse {
		message.LookupID = b.lastLookups[agent].LookupID
		for range b.lastLookups[agent].Lookups {
			message.Verdicts = append(message.Verdicts, message.Verdict)
		}
	}
	b.HandleMessage(b.now, agentAddress(agent), &message, &b.actions)
	return b.takeActions()
}

// advanceToDeadline advances the time to the next deadline and calls Tick.
func (b *balancerHarness) advanceToDeadline() []steering.Action {
	b.now = b.Deadline()
	b.Tick(b.now, &b.actions)
	return b.takeActions()
}

func agentNumber(a netip.Addr) int { return int(a.As4()[3]) }

// An opening must not cross zones while an upstream in the own zone is free.
func TestOpeningStaysInZone(t *testing.T) {
	b := newBalancerHarness(t, newUpstream(1, orders, otherZone, view.Ready), newUpstream(2, orders, ownZone, view.Ready))
	actions := b.handlePacket(openingPacket(1))
	require.Len(t, actions, 1)
	require.Equal(t, agentAddress(2), actions[0].To)
	require.False(t, actions[0].Header.LastAttempt)
	require.Equal(t, timeBudget, actions[0].Header.TimeBudget)
}

// Openings must be sent only to ready upstreams of the service that the route selects.
func TestOnlyReadyUpstreamsOfTheRoute(t *testing.T) {
	b := newBalancerHarness(t, newUpstream(1, orders, ownZone, view.Leaving), newUpstream(2, kilnlog, ownZone, view.Ready), newUpstream(3, orders, otherZone, view.Ready),
		newUpstream(4, orders, ownZone, view.Starting), newUpstream(5, orders, ownZone, view.Failed))
	for port := uint16(1); port < 50; port++ {
		require.Equal(t, agentAddress(3), b.handlePacket(openingPacket(port))[0].To)
	}
}

// An opening that an agent rejects must be sent to another upstream, but under
// overload not to every upstream.
func TestRejectedOpeningIsRetried(t *testing.T) {
	b := newBalancerHarness(t, newUpstream(1, orders, ownZone, view.Ready), newUpstream(2, orders, ownZone, view.Ready),
		newUpstream(3, orders, ownZone, view.Ready), newUpstream(4, orders, ownZone, view.Ready))
	attempted := map[int]bool{}
	actions := b.handlePacket(openingPacket(1))
	for attempt := 1; attempt <= 3; attempt++ {
		require.Len(t, actions, 1)
		agent := agentNumber(actions[0].To)
		require.False(t, attempted[agent])
		attempted[agent] = true
		require.Equal(t, attempt == 3, actions[0].Header.LastAttempt)
		actions = b.handleMessage(agent, steering.Message{Kind: steering.OpeningRejected, Verdict: steering.Busy, Sequence: 100})
		if attempt == 3 {
			break
		}
	}
}

// A caller whose request cannot be answered in time must be refused at once.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	b := newBalancerHarness(t, newUpstream(1, orders, ownZone, view.Ready))
	require.True(t, b.handlePacket(openingPacket(1))[0].Header.LastAttempt)
	actions := b.handleMessage(1, steering.Message{Kind: steering.OpeningRejected, Verdict: steering.Overloaded, Sequence: 100})
	require.Equal(t, steering.Reset, actions[0].Kind)
	require.Equal(t, steering.AllOverloaded, actions[0].Reason)

	actions = b.handlePacket(openingPacket(2))
	require.Equal(t, steering.AllOverloaded, actions[0].Reason, "recorded as overloaded: refused without an exchange")
	b.now = b.now.Add(60 * time.Millisecond)
	require.Equal(t, steering.Forward, b.handlePacket(openingPacket(3))[0].Kind)
}

// The VM of a crashed upstream returns its openings. The balancer must avoid such
// an upstream for some time. Otherwise it is tried first for every opening, and
// under load the openings run out of attempts.
func TestUpstreamThatReturnsOpeningsIsAvoided(t *testing.T) {
	b := newBalancerHarness(t, newUpstream(1, orders, ownZone, view.Ready), newUpstream(2, orders, otherZone, view.Ready))
	require.Equal(t, agentAddress(1), b.handlePacket(openingPacket(1))[0].To)
	require.Equal(t, agentAddress(2), b.handleMessage(1, steering.Message{Kind: steering.OpeningRejected, Verdict: steering.Refused, Sequence: 100})[0].To)
	require.Equal(t, agentAddress(2), b.handlePacket(openingPacket(2))[0].To)
	b.now = b.now.Add(time.Second)
	require.Equal(t, agentAddress(1), b.handlePacket(openingPacket(3))[0].To)
}

// If an agent does not respond, its openings must be placed elsewhere before the
// caller's next copy, and the next openings must not be sent to it.
func TestUnresponsiveAgentIsAvoided(t *testing.T) {
	b := newBalancerHarness(t, newUpstream(1, orders, ownZone, view.Ready), newUpstream(2, orders, otherZone, view.Ready))
	require.Equal(t, agentAddress(1), b.handlePacket(openingPacket(1))[0].To)
	actions := b.advanceToDeadline()
	require.Less(t, b.now.Sub(start), 200*time.Millisecond)
	require.Equal(t, agentAddress(2), actions[0].To)
	require.Equal(t, steering.PlacedOnRetry, actions[0].Reason)
	require.Equal(t, agentAddress(2), b.handlePacket(openingPacket(2))[0].To)
	b.handleMessage(1, steering.Message{Kind: steering.OpeningAccepted, Sequence: answerSequence})
	require.Equal(t, agentAddress(1), b.handlePacket(callerPacket(1, 0))[0].To, "the caller uses the late SYN-ACK")
}

// An opening to a virtual address without a route must be reset. Another packet
// must be reset only if a previous desired state had the route: a new route may not
// have arrived yet.
func TestUnknownAndRemovedRoutes(t *testing.T) {
	b := newBalancerHarness(t, newUpstream(1, orders, ownZone, view.Ready))
	unknownRoute := openingPacket(1)
	unknownRoute.Flow.Virtual = netip.MustParseAddrPort("198.18.0.9:443")
	require.Equal(t, steering.Reset, b.handlePacket(unknownRoute)[0].Kind)
	data := callerPacket(2, 10)
	data.Flow.Virtual = unknownRoute.Flow.Virtual
	require.NotEqual(t, steering.Reset, b.handlePacket(data)[0].Kind, "the route may not have arrived yet")

	b.handlePacket(openingPacket(3))
	b.handleMessage(1, steering.Message{Kind: steering.OpeningAccepted, Sequence: answerSequence})
	require.True(t, b.SetDesired(&intent.DesiredState{Version: 2}))
	actions := b.handlePacket(callerPacket(3, 10))
	require.Equal(t, steering.RouteRemoved, actions[0].Reason)
	require.EqualValues(t, answerSequence+1, actions[0].Sequence)
}

// An older desired state must not replace a newer one.
func TestOlderVersionIsIgnored(t *testing.T) {
	b := newBalancerHarness(t)
	require.True(t, b.SetDesired(newDesired(7, intent.WeightedService{Service: kilnlog, Weight: 1})))
	require.False(t, b.SetDesired(newDesired(6, intent.WeightedService{Service: orders, Weight: 1})))
	require.EqualValues(t, 7, b.Version())
}

// The distribution of flows must follow the weights of the backends.
func TestBackendWeights(t *testing.T) {
	b := newBalancerHarness(t, newUpstream(1, orders, ownZone, view.Ready), newUpstream(2, kilnlog, ownZone, view.Ready))
	b.SetDesired(newDesired(2, intent.WeightedService{Service: orders, Weight: 90}, intent.WeightedService{Service: kilnlog, Weight: 10}))
	count := 0
	for port := uint16(1); port <= 1000; port++ {
		if b.handlePacket(openingPacket(port))[0].To == agentAddress(2) {
			count++
		}
	}
	require.InDelta(t, 100, count, 30)
}

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

// An opening must be queued if an upstream is about to become ready, and refused if
// none will.
func TestOpeningQueuedForStartingUpstream(t *testing.T) {
	b := newBalancerHarness(t, newUpstream(1, orders, ownZone, view.Starting))
	require.Equal(t, steering.OpeningQueued, b.handlePacket(openingPacket(1))[0].Kind)
	b.SetUpstreams([]steering.Upstream{newUpstream(1, orders, ownZone, view.Ready)}, true)
	b.RetryPending(b.now, false, &b.actions)
	require.Equal(t, agentAddress(1), b.takeActions()[0].To)

	b = newBalancerHarness(t, newUpstream(1, orders, ownZone, view.Leaving))
	require.Equal(t, steering.NoUpstream, b.handlePacket(openingPacket(1))[0].Reason)
}

// The flow table must be bounded, and flows that have ended must be removed.
func TestFlowTableIsBounded(t *testing.T) {
	b := newBalancerHarness(t, newUpstream(1, orders, ownZone, view.Ready))
	for port := uint16(1); port <= 2000; port++ {
		b.handlePacket(openingPacket(port))
	}
	require.LessOrEqual(t, b.Flows(), 1000)
	for range 40 {
		if b.Deadline().IsZero() {
			break
		}
		b.now = b.Deadline().Add(time.Second)
		b.Tick(b.now, &b.actions)
	}
	require.Zero(t, b.Flows())
}

// Lookup requests must be bounded. After a loss of power there is a lookup for every
// flow. These saturated a slow link, and their responses were lost, so that no lookup
// ended.
func TestLookupsAreBounded(t *testing.T) {
	var list []steering.Upstream
	for i := 1; i <= 60; i++ {
		list = append(list, newUpstream(i, orders, ownZone, view.Ready))
	}
	b := newBalancerHarness(t, list...)
	requests := 0
	for range 10 {
		for port := uint16(1); port <= 300; port++ {
			for _, a := range b.handlePacket(callerPacket(port, 10)) {
				if a.Kind == steering.SendMessage {
					requests++
				}
			}
		}
		for range 10 {
			b.now = b.now.Add(20 * time.Millisecond)
			b.Tick(b.now, &b.actions)
			for _, a := range b.takeActions() {
				if a.Kind == steering.SendMessage {
					requests++
				}
			}
		}
	}
	// 2 s allow the burst of 40 lookups and 20 more, each with 3 requests to 60 agents.
	require.LessOrEqual(t, requests, 61*60*3)
}
