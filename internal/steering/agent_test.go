package steering_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/flow"
	"bramleyhold.example/bramleyhold/internal/steering"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
)

const (
	orders         = "orders"
	kilnlog        = "kilnlog"
	timeBudget     = 250 * time.Millisecond
	answerSequence = 5_000
)

var (
	start     = time.Unix(1_000_000, 0)
	virtual   = netip.MustParseAddrPort("198.18.0.1:443")
	balancerA = netip.MustParseAddr("10.1.0.1")
	balancerB = netip.MustParseAddr("10.1.0.2")
)

func flowKey(port uint16) flow.Key {
	return flow.Key{Caller: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), port), Virtual: virtual, Protocol: 6}
}

func openingPacket(port uint16) *steering.Packet {
	return &steering.Packet{Flow: flowKey(port), Flags: steering.SYN, Sequence: 100}
}

// callerPacket returns a packet of the caller on an established flow.
func callerPacket(port uint16, payload int) *steering.Packet {
	return &steering.Packet{Flow: flowKey(port), Flags: steering.ACK, Sequence: 101, Ack: answerSequence + 1, Payload: payload}
}

func upstreamPacket(port uint16, flags steering.Flags, payload int) *steering.Packet {
	return &steering.Packet{Flow: flowKey(port), Flags: flags, Sequence: answerSequence, Ack: 101, Payload: payload}
}

var ownHeader = steering.ForwardingHeader{Service: steering.NewServiceTag(orders), TimeBudget: timeBudget}

func asLastAttempt(header steering.ForwardingHeader) steering.ForwardingHeader {
	header.LastAttempt = true
	return header
}

func newCheckIn(incarnation vm.Incarnation, sequence uint64, status view.Status) steering.CheckIn {
	return steering.CheckIn{VM: "i-1", Service: orders, Incarnation: incarnation, Sequence: sequence, Status: status, Slots: 2}
}

// agentHarness drives one agent with a clock set by the test.
type agentHarness struct {
	*steering.Agent
	t       *testing.T
	now     time.Time
	actions []steering.Action
}

func newAgentHarness(t *testing.T) *agentHarness {
	return &agentHarness{t: t, now: start, Agent: steering.NewAgent(steering.AgentConfig{
		Service: orders, CheckInInterval: time.Second, IdleTimeout: 20 * time.Second, MaxFlows: 100, StartedAt: start, AdmitsByClass: true,
	})}
}

func newReadyAgent(t *testing.T) *agentHarness {
	a := newAgentHarness(t)
	require.True(t, a.checkIn(newCheckIn(1, 0, view.Ready)))
	return a
}

func (a *agentHarness) checkIn(checkIn steering.CheckIn) bool {
	changed, _ := a.HandleCheckIn(a.now, checkIn, &a.actions)
	return changed
}

// takeActions returns the actions since the last call.
func (a *agentHarness) takeActions() []steering.Action {
	actions := a.actions
	a.actions = nil
	return actions
}

func (a *agentHarness) handleCallerPacket(packet *steering.Packet, header steering.ForwardingHeader) []steering.Action {
	a.HandleBalancerPacket(a.now, packet, header, balancerA, []byte("packet"), &a.actions)
	return a.takeActions()
}

func (a *agentHarness) handleUpstreamPacket(packet *steering.Packet) []steering.Action {
	a.HandleUpstreamPacket(a.now, packet, []byte("packet"), &a.actions)
	return a.takeActions()
}

// lookup sends a lookup request for one flow and returns the verdict.
func (a *agentHarness) lookup(port uint16, ack uint32) steering.Verdict {
	a.HandleMessage(a.now, balancerB, &steering.Message{Kind: steering.LookupRequest, LookupID: 7, Lookups: []steering.FlowLookup{{Flow: flowKey(port), Ack: ack}}}, &a.actions)
	actions := a.takeActions()
	require.Len(a.t, actions, 1)
	require.EqualValues(a.t, 7, actions[0].Message.LookupID)
	require.Len(a.t, actions[0].Message.Verdicts, 1)
	return actions[0].Message.Verdicts[0]
}

// openFlow opens a flow, which the caller then acknowledges.
func (a *agentHarness) openFlow(port uint16) {
	require.Equal(a.t, steering.Deliver, a.handleCallerPacket(openingPacket(port), asLastAttempt(ownHeader))[0].Kind)
	actions := a.handleUpstreamPacket(upstreamPacket(port, steering.SYN|steering.ACK, 0))
	require.Equal(a.t, steering.OpeningAccepted, actions[0].Message.Kind)
	require.Equal(a.t, steering.Reply, actions[1].Kind)
	require.Equal(a.t, steering.Deliver, a.handleCallerPacket(callerPacket(port, 0), ownHeader)[0].Kind)
}

// An agent must not deliver an opening that its upstream must not accept. The verdict
// of its rejection must state the cause.
func TestOpeningRejections(t *testing.T) {
	for name, test := range map[string]struct {
		prepare func(a *agentHarness)
		header  steering.ForwardingHeader
		want    steering.Verdict
	}{
		"restarted agent has received no check-in": {func(*agentHarness) {}, ownHeader, steering.StatusUnknown},
		"upstream is leaving":                      {func(a *agentHarness) { a.checkIn(newCheckIn(1, 0, view.Leaving)) }, asLastAttempt(ownHeader), steering.NotAccepting},
		"upstream has left":                        {func(a *agentHarness) { a.checkIn(newCheckIn(1, 0, view.Left)) }, asLastAttempt(ownHeader), steering.NotAccepting},
		"leaving upstream reports ready late": {func(a *agentHarness) {
			a.checkIn(newCheckIn(1, 5, view.Leaving))
			a.checkIn(newCheckIn(1, 4, view.Ready))
			a.checkIn(newCheckIn(1, 6, view.Ready))
		}, asLastAttempt(ownHeader), steering.NotAccepting},
		"another service": {
			func(a *agentHarness) { a.checkIn(newCheckIn(1, 0, view.Ready)) },
			steering.ForwardingHeader{Service: steering.NewServiceTag(kilnlog), LastAttempt: true},
			steering.OtherService,
		},
		"slots in use, others left": {fillSlots, ownHeader, steering.Busy},
	} {
		t.Run(name, func(t *testing.T) {
			a := newAgentHarness(t)
			test.prepare(a)
			actions := a.handleCallerPacket(openingPacket(9), test.header)
			require.Len(t, actions, 1)
			require.Equal(t, steering.SendMessage, actions[0].Kind)
			require.Equal(t, balancerA, actions[0].To)
			require.Equal(t, steering.OpeningRejected, actions[0].Message.Kind)
			require.Equal(t, test.want, actions[0].Message.Verdict)
			require.EqualValues(t, 100, actions[0].Message.Sequence)
		})
	}
}

// fillSlots occupies both slots of the upstream with requests.
func fillSlots(a *agentHarness) {
	a.checkIn(newCheckIn(1, 0, view.Ready))
	for port := range uint16(2) {
		a.openFlow(port + 1)
		a.handleCallerPacket(callerPacket(port+1, 10), ownHeader)
	}
}

// When all slots are in use, openings must be accepted only if they can be answered
// within the time budget. Otherwise, when many callers retry at once, all their
// requests are queued and answered too late.
func TestAdmissionByExpectedWait(t *testing.T) {
	a := newAgentHarness(t)
	a.checkIn(newCheckIn(1, 0, view.Ready))
	a.openFlow(1)
	a.handleCallerPacket(callerPacket(1, 10), ownHeader)
	a.now = a.now.Add(25 * time.Millisecond)
	a.handleUpstreamPacket(upstreamPacket(1, steering.ACK, 10))

	accepted, rejected := 0, 0
	for port := uint16(10); port < 60; port++ {
		actions := a.handleCallerPacket(openingPacket(port), asLastAttempt(ownHeader))
		if actions[0].Kind == steering.SendMessage {
			require.Equal(t, steering.Overloaded, actions[0].Message.Verdict)
			rejected++
			continue
		}
		accepted++
		a.handleUpstreamPacket(upstreamPacket(port, steering.SYN|steering.ACK, 0))
		a.handleCallerPacket(callerPacket(port, 10), ownHeader)
	}
	// 2 slots at 25 ms: half of 250 ms has time for five rounds of two requests, less
	// serviceTimesNeeded.
	require.GreaterOrEqual(t, accepted, 8)
	require.LessOrEqual(t, accepted, 12)
	require.Equal(t, 50-accepted, rejected)
}

// Requests whose callers have given up must not use slots. The flows of such requests
// remain in the table until the idle timeout.
func TestAbandonedRequestsFreeTheirSlots(t *testing.T) {
	a := newAgentHarness(t)
	fillSlots(a)
	a.now = a.now.Add(1100 * time.Millisecond)
	require.Equal(t, steering.Deliver, a.handleCallerPacket(openingPacket(9), ownHeader)[0].Kind)
}

// A flow that awaits its first request must count as half a request in progress. If it
// counted as a whole one, openings would be rejected although slots are free.
func TestAwaitedRequestsCountHalf(t *testing.T) {
	a := newReadyAgent(t)
	for port := uint16(1); port <= 4; port++ {
		require.Equal(t, steering.Deliver, a.handleCallerPacket(openingPacket(port), ownHeader)[0].Kind, "opening %d", port)
	}
	require.Equal(t, steering.Busy, a.handleCallerPacket(openingPacket(5), ownHeader)[0].Message.Verdict)
}

// If the upstream does not answer an opening, the agent must reject the opening before
// the caller sends its next copy.
func TestUnresponsiveUpstream(t *testing.T) {
	a := newReadyAgent(t)
	a.handleCallerPacket(openingPacket(1), ownHeader)
	require.Equal(t, start.Add(100*time.Millisecond), a.Deadline())
	a.now = a.Deadline()
	a.Tick(a.now, &a.actions)
	actions := a.takeActions()
	require.Len(t, actions, 2)
	require.Equal(t, steering.ProbeUpstream, actions[0].Kind)
	require.Equal(t, steering.NoResponse, actions[1].Message.Verdict)
	require.Equal(t, steering.NoResponse, a.handleCallerPacket(openingPacket(2), ownHeader)[0].Message.Verdict)
	require.Equal(t, steering.Deliver, a.handleCallerPacket(openingPacket(2), asLastAttempt(ownHeader))[0].Kind, "a last attempt is delivered nevertheless")
}

// The agent must reject an opening that the upstream returns. Otherwise the balancer
// waits for a response until its timeout.
func TestUpstreamReturnsOpening(t *testing.T) {
	a := newReadyAgent(t)
	a.handleCallerPacket(openingPacket(1), ownHeader)
	packet := openingPacket(1)
	packet.Flags |= steering.Returned
	actions := a.handleUpstreamPacket(packet)
	require.Equal(t, steering.Refused, actions[0].Message.Verdict)
	inProgress, flows := a.Load()
	require.Zero(t, inProgress)
	require.Zero(t, flows)
}

// A restart of the agent must not lose flows. The upstream still holds them, and its
// packets restore them in the table.
func TestRestartedAgentAdoptsFlows(t *testing.T) {
	a := newReadyAgent(t)
	require.Equal(t, steering.FlowUndetermined, a.lookup(1, answerSequence+1))
	require.Equal(t, steering.CandidateTried, a.handleCallerPacket(callerPacket(1, 10), ownHeader)[0].Reason)
	actions := a.handleUpstreamPacket(upstreamPacket(1, steering.ACK, 10))
	require.Equal(t, steering.FlowConfirmed, actions[0].Message.Kind)
	require.Equal(t, balancerA, actions[0].To)
	require.Equal(t, steering.Reply, actions[1].Kind)
	require.Equal(t, steering.FlowHeld, a.lookup(1, answerSequence+1))
	require.Equal(t, steering.KnownFlow, a.handleCallerPacket(callerPacket(1, 10), ownHeader)[0].Reason)
}

// When an upstream has crashed, its callers must get resets instead of waiting for
// their timeouts. The agent probes the upstream when an opening is not answered. It
// resets the flows when there is no process, or when a later process checks in.
func TestCrashedUpstreamFlowsAreReset(t *testing.T) {
	for name, endUpstream := range map[string]func(a *agentHarness) []steering.Action{
		"its process has exited": func(a *agentHarness) []steering.Action {
			a.handleCallerPacket(openingPacket(9), asLastAttempt(ownHeader))
			a.now = a.Deadline()
			a.Tick(a.now, &a.actions)
			actions := a.takeActions()
			require.Equal(t, steering.ProbeUpstream, actions[0].Kind)
			require.Equal(t, steering.NoResponse, actions[1].Message.Verdict)
			require.False(t, a.UpstreamExited(a.now, actions[0].Incarnation-1, &a.actions), "a probe result for a previous process")
			require.Empty(t, a.takeActions())
			require.True(t, a.UpstreamExited(a.now, actions[0].Incarnation, &a.actions))
			return a.takeActions()
		},
		"it has restarted": func(a *agentHarness) []steering.Action {
			a.checkIn(newCheckIn(2, 0, view.Ready))
			return a.takeActions()
		},
	} {
		t.Run(name, func(t *testing.T) {
			a := newReadyAgent(t)
			a.openFlow(1)
			a.handleCallerPacket(callerPacket(1, 10), ownHeader)
			actions := endUpstream(a)
			require.Len(t, actions, 1)
			require.Equal(t, steering.Action{Kind: steering.Reset, Reason: steering.UpstreamFailed, Flow: flowKey(1), Sequence: answerSequence + 1}, actions[0])
			require.Equal(t, steering.Reset, a.handleCallerPacket(callerPacket(1, 10), ownHeader)[0].Kind, "a packet sent before the reset arrived")
			require.Equal(t, steering.FlowNotHeld, a.lookup(5, answerSequence+1))
			const otherUpstreamAck = answerSequence + 1<<30
			require.Equal(t, steering.FlowHeld, a.lookup(1, answerSequence+1))
			require.Equal(t, steering.FlowNotHeld, a.lookup(1, otherUpstreamAck), "the port was reused for a flow at another upstream")
			reusedPort := callerPacket(1, 10)
			reusedPort.Ack = otherUpstreamAck
			require.Equal(t, steering.FlowNotFound, a.handleCallerPacket(reusedPort, ownHeader)[0].Message.Kind)
			inProgress, _ := a.Load()
			require.Zero(t, inProgress)
		})
	}
}

// The flows of an upstream that leaves as planned must not be reset by its agent when
// its port is closed: the process may still end them itself. Lookups must then report
// that the flows are not held, so that a balancer resets those whose callers still send.
func TestFlowsOfLeavingUpstreamAreNotResetByItsAgent(t *testing.T) {
	a := newReadyAgent(t)
	a.openFlow(1)
	a.handleCallerPacket(openingPacket(2), ownHeader)
	a.checkIn(newCheckIn(1, 1, view.Leaving))
	a.takeActions()
	require.True(t, a.UpstreamExited(a.now, 1, &a.actions))
	actions := a.takeActions()
	require.Len(t, actions, 1, "no reset")
	require.Equal(t, steering.OpeningRejected, actions[0].Message.Kind, "the opening that was not accepted is placed elsewhere")
	actions = a.handleCallerPacket(callerPacket(1, 10), ownHeader)
	require.Len(t, actions, 1)
	require.Equal(t, steering.FlowNotFound, actions[0].Message.Kind)
	require.Equal(t, steering.FlowNotHeld, a.lookup(1, answerSequence+1))
	require.Equal(t, steering.NotAccepting, a.handleCallerPacket(openingPacket(3), asLastAttempt(ownHeader))[0].Message.Verdict)
	inProgress, flows := a.Load()
	require.Zero(t, inProgress)
	require.Zero(t, flows)
}

// Several unanswered openings must cause one probe only. After a wrong probe
// result, the next check-in of the upstream must let it get openings again.
func TestUnresponsiveUpstreamIsProbedOnce(t *testing.T) {
	a := newReadyAgent(t)
	probes := 0
	for port := uint16(1); port <= 5; port++ {
		a.handleCallerPacket(openingPacket(port), asLastAttempt(ownHeader))
		a.now = a.now.Add(150 * time.Millisecond)
		a.Tick(a.now, &a.actions)
		for _, action := range a.takeActions() {
			if action.Kind == steering.ProbeUpstream {
				probes++
			}
		}
	}
	require.Equal(t, 1, probes)
	require.True(t, a.UpstreamExited(a.now, 1, &a.actions))
	require.Equal(t, steering.NotAccepting, a.handleCallerPacket(openingPacket(8), asLastAttempt(ownHeader))[0].Message.Verdict)
	require.True(t, a.checkIn(newCheckIn(1, 1, view.Ready)))
	require.Equal(t, steering.Deliver, a.handleCallerPacket(openingPacket(9), asLastAttempt(ownHeader))[0].Kind)
}

// After the upstream has returned a packet of a flow, the agent must not deliver
// further packets of that flow, and must not respond FlowUndetermined to its
// lookup.
func TestReturnedFlowIsCached(t *testing.T) {
	a := newReadyAgent(t)
	a.handleCallerPacket(callerPacket(1, 10), ownHeader)
	packet := callerPacket(1, 10)
	packet.Flags |= steering.Returned
	require.Equal(t, steering.FlowNotFound, a.handleUpstreamPacket(packet)[0].Message.Kind)
	require.Equal(t, steering.FlowNotFound, a.handleCallerPacket(callerPacket(1, 10), ownHeader)[0].Message.Kind)
	require.Equal(t, steering.FlowNotHeld, a.lookup(1, answerSequence+1))
	require.Equal(t, steering.Deliver, a.handleCallerPacket(openingPacket(1), ownHeader)[0].Kind, "the port may be reused")
}

// A returned packet of an open flow must not reset the caller while the process that
// accepted the flow is running. After the upstream has restarted, it must reset the
// caller.
func TestReturnedPacketOfOpenFlow(t *testing.T) {
	a := newReadyAgent(t)
	a.openFlow(1)
	packet := callerPacket(1, 10)
	packet.Flags |= steering.Returned
	require.Equal(t, steering.FlowNotFound, a.handleUpstreamPacket(packet)[0].Message.Kind)
	require.Equal(t, steering.FlowNotHeld, a.lookup(1, answerSequence+1))
	a.checkIn(newCheckIn(2, 0, view.Ready))
	actions := a.handleUpstreamPacket(packet)
	require.Equal(t, steering.Reset, actions[0].Kind)
	require.Equal(t, packet.Ack, actions[0].Sequence)
}

// If two upstreams have accepted copies of one opening, only one may report that it
// holds the flow. The acknowledgement number of the caller identifies the SYN-ACK
// that it uses.
func TestCallerChoseAnotherUpstream(t *testing.T) {
	a := newReadyAgent(t)
	a.handleCallerPacket(openingPacket(1), ownHeader)
	a.handleUpstreamPacket(upstreamPacket(1, steering.SYN|steering.ACK, 0))
	packet := callerPacket(1, 0)
	packet.Ack = answerSequence + 1_000_000
	require.Equal(t, steering.FlowNotFound, a.handleCallerPacket(packet, ownHeader)[0].Message.Kind)
	require.Equal(t, steering.FlowNotHeld, a.lookup(1, packet.Ack))
	require.Equal(t, steering.FlowHeld, a.lookup(1, answerSequence+1))
}

// A retransmitted SYN must not open a second flow, and idle flows must be removed.
func TestRepeatedOpeningAndExpiry(t *testing.T) {
	a := newReadyAgent(t)
	a.handleCallerPacket(openingPacket(1), ownHeader)
	require.Equal(t, steering.Repeated, a.handleCallerPacket(openingPacket(1), ownHeader)[0].Reason)
	_, flows := a.Load()
	require.Equal(t, 1, flows)
	a.handleUpstreamPacket(upstreamPacket(1, steering.SYN|steering.ACK, 0))
	for range 30 {
		a.now = a.now.Add(time.Second)
		a.Tick(a.now, &a.actions)
	}
	_, flows = a.Load()
	require.Zero(t, flows)
	require.True(t, a.Deadline().IsZero(), "an idle agent has no timer")
}
