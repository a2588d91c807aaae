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
	orders    = "orders"
	drying    = "kilnlog"
	patience  = 250 * time.Millisecond
	answerSeq = 5_000
)

var (
	start     = time.Unix(1_000_000, 0)
	virtual   = netip.MustParseAddrPort("198.18.0.1:443")
	balancerA = netip.MustParseAddr("10.1.0.1")
	balancerB = netip.MustParseAddr("10.1.0.2")
)

func flowOf(port uint16) flow.Key {
	return flow.Key{Caller: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), port), Virtual: virtual, Protocol: 6}
}

func syn(port uint16) *steering.Packet {
	return &steering.Packet{Flow: flowOf(port), Flags: steering.SYN, Sequence: 100}
}

// fromCaller is a packet of an open flow.
func fromCaller(port uint16, payload int) *steering.Packet {
	return &steering.Packet{Flow: flowOf(port), Flags: steering.ACK, Sequence: 101, Ack: answerSeq + 1, Payload: payload}
}

func fromUpstream(port uint16, flags steering.Flags, payload int) *steering.Packet {
	return &steering.Packet{Flow: flowOf(port), Flags: flags, Sequence: answerSeq, Ack: 101, Payload: payload}
}

var own = steering.ForwardingHeader{Service: steering.ServiceTag(orders), TimeBudget: patience}

func last(m steering.ForwardingHeader) steering.ForwardingHeader {
	m.LastCandidate = true
	return m
}

func announcement(incarnation vm.Incarnation, sequence uint64, status view.Status) steering.CheckIn {
	return steering.CheckIn{VM: "i-1", Service: orders, Incarnation: incarnation, Sequence: sequence, Status: status, Slots: 2}
}

// agentRun drives one agent by hand.
type agentRun struct {
	*steering.Agent
	t       *testing.T
	now     time.Time
	actions []steering.Action
}

func newAgentRun(t *testing.T) *agentRun {
	return &agentRun{t: t, now: start, Agent: steering.NewAgent(steering.AgentConfig{
		Service: orders, CheckInInterval: time.Second, IdleTimeout: 20 * time.Second, MaxFlows: 100, Started: start,
	})}
}

func readyAgent(t *testing.T) *agentRun {
	a := newAgentRun(t)
	require.True(t, a.announce(announcement(1, 0, view.Ready)))
	return a
}

func (a *agentRun) announce(n steering.CheckIn) bool {
	changed, _ := a.HandleCheckIn(a.now, n, &a.actions)
	return changed
}

func (a *agentRun) take() []steering.Action {
	taken := a.actions
	a.actions = nil
	return taken
}

func (a *agentRun) caller(p *steering.Packet, m steering.ForwardingHeader) []steering.Action {
	a.HandleBalancerPacket(a.now, p, m, balancerA, []byte("packet"), &a.actions)
	return a.take()
}

func (a *agentRun) upstream(p *steering.Packet) []steering.Action {
	a.HandleUpstreamPacket(a.now, p, []byte("packet"), &a.actions)
	return a.take()
}

func (a *agentRun) locate(port uint16, ack uint32) steering.Verdict {
	a.Message(a.now, balancerB, &steering.Message{Kind: steering.LookupRequest, LookupID: 7, Lookups: []steering.FlowLookup{{Flow: flowOf(port), Ack: ack}}}, &a.actions)
	actions := a.take()
	require.Len(a.t, actions, 1)
	require.EqualValues(a.t, 7, actions[0].Message.LookupID)
	require.Len(a.t, actions[0].Message.Verdicts, 1)
	return actions[0].Message.Verdicts[0]
}

// open opens a flow and lets the caller confirm it.
func (a *agentRun) open(port uint16) {
	require.Equal(a.t, steering.Deliver, a.caller(syn(port), last(own))[0].Kind)
	actions := a.upstream(fromUpstream(port, steering.SYN|steering.ACK, 0))
	require.Equal(a.t, steering.OpeningAccepted, actions[0].Message.Kind)
	require.Equal(a.t, steering.Reply, actions[1].Kind)
	require.Equal(a.t, steering.Deliver, a.caller(fromCaller(port, 0), own)[0].Kind)
}

// Guards against openings that an upstream must not or cannot take, and against
// answers that hide the reason from the balancer.
func TestOpeningsThatAreNotTaken(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(a *agentRun)
		mark    steering.ForwardingHeader
		want    steering.Verdict
	}{
		"restarted agent does not know its upstream": {func(*agentRun) {}, own, steering.StatusUnknown},
		"upstream is leaving":                        {func(a *agentRun) { a.announce(announcement(1, 0, view.Leaving)) }, last(own), steering.Leaving},
		"upstream has ended":                         {func(a *agentRun) { a.announce(announcement(1, 0, view.Left)) }, last(own), steering.Leaving},
		"leaving upstream announces ready late": {func(a *agentRun) {
			a.announce(announcement(1, 5, view.Leaving))
			a.announce(announcement(1, 4, view.Ready))
			a.announce(announcement(1, 6, view.Ready))
		}, last(own), steering.Leaving},
		"another service": {
			func(a *agentRun) { a.announce(announcement(1, 0, view.Ready)) },
			steering.ForwardingHeader{Service: steering.ServiceTag(drying), LastCandidate: true},
			steering.OtherService,
		},
		"slots in use, others left": {busyAgent, own, steering.Busy},
	} {
		t.Run(name, func(t *testing.T) {
			a := newAgentRun(t)
			c.prepare(a)
			actions := a.caller(syn(9), c.mark)
			require.Len(t, actions, 1)
			require.Equal(t, steering.SendMessage, actions[0].Kind)
			require.Equal(t, balancerA, actions[0].To)
			require.Equal(t, steering.OpeningRejected, actions[0].Message.Kind)
			require.Equal(t, c.want, actions[0].Message.Verdict)
			require.EqualValues(t, 100, actions[0].Message.Sequence)
		})
	}
}

func busyAgent(a *agentRun) {
	a.announce(announcement(1, 0, view.Ready))
	for port := range uint16(2) {
		a.open(port + 1)
		a.caller(fromCaller(port+1, 10), own)
	}
}

// Guards against callers that all return at once and are queued until their
// answers come too late: beyond the slots only what can be answered in time is
// taken.
func TestAdmissionByExpectedWait(t *testing.T) {
	a := newAgentRun(t)
	a.announce(announcement(1, 0, view.Ready))
	a.open(1)
	a.caller(fromCaller(1, 10), own)
	a.now = a.now.Add(25 * time.Millisecond)
	a.upstream(fromUpstream(1, steering.ACK, 10))

	taken, refused := 0, 0
	for port := uint16(10); port < 60; port++ {
		actions := a.caller(syn(port), last(own))
		if actions[0].Kind == steering.SendMessage {
			require.Equal(t, steering.Overloaded, actions[0].Message.Verdict)
			refused++
			continue
		}
		taken++
		a.upstream(fromUpstream(port, steering.SYN|steering.ACK, 0))
		a.caller(fromCaller(port, 10), own)
	}
	// 2 slots at 25 ms: half of 250 ms hold five rounds of two, less the reserve.
	require.GreaterOrEqual(t, taken, 8)
	require.LessOrEqual(t, taken, 12)
	require.Equal(t, 50-taken, refused)
}

// Guards against requests whose callers have given up, which would hold the
// count of busy slots for as long as their flows are remembered.
func TestAbandonedRequestsFreeTheirSlots(t *testing.T) {
	a := newAgentRun(t)
	busyAgent(a)
	a.now = a.now.Add(1100 * time.Millisecond)
	require.Equal(t, steering.Deliver, a.caller(syn(9), own)[0].Kind)
}

// Guards against a handshake that counts as a whole request: openings would be
// returned although slots are free.
func TestExpectedRequestsCountHalf(t *testing.T) {
	a := readyAgent(t)
	for port := uint16(1); port <= 4; port++ {
		require.Equal(t, steering.Deliver, a.caller(syn(port), own)[0].Kind, "opening %d", port)
	}
	require.Equal(t, steering.Busy, a.caller(syn(5), own)[0].Message.Verdict)
}

// Guards against an upstream that does not answer: the balancer must hear of it
// before the caller sends its next copy.
func TestSilentUpstream(t *testing.T) {
	a := readyAgent(t)
	a.caller(syn(1), own)
	require.Equal(t, start.Add(100*time.Millisecond), a.Deadline())
	a.now = a.Deadline()
	a.Tick(a.now, &a.actions)
	actions := a.take()
	require.Len(t, actions, 2)
	require.Equal(t, steering.ProbeUpstream, actions[0].Kind)
	require.Equal(t, steering.NoResponse, actions[1].Message.Verdict)
	require.Equal(t, steering.NoResponse, a.caller(syn(2), own)[0].Message.Verdict)
	require.Equal(t, steering.Deliver, a.caller(syn(2), last(own))[0].Kind, "the last choice is tried all the same")
}

// Guards against an upstream that returns an opening while the balancer waits.
func TestUpstreamReturnsOpening(t *testing.T) {
	a := readyAgent(t)
	a.caller(syn(1), own)
	p := syn(1)
	p.Flags |= steering.Returned
	actions := a.upstream(p)
	require.Equal(t, steering.Refused, actions[0].Message.Verdict)
	busy, flows := a.Load()
	require.Zero(t, busy)
	require.Zero(t, flows)
}

// Guards against a flow that is lost when the agent restarts: the upstream
// knows its flows, and its packets bring them back.
func TestRestartedAgentTakesUpFlows(t *testing.T) {
	a := readyAgent(t)
	require.Equal(t, steering.FlowUndetermined, a.locate(1, answerSeq+1))
	require.Equal(t, steering.CandidateTried, a.caller(fromCaller(1, 10), own)[0].Reason)
	actions := a.upstream(fromUpstream(1, steering.ACK, 10))
	require.Equal(t, steering.FlowConfirmed, actions[0].Message.Kind)
	require.Equal(t, balancerA, actions[0].To)
	require.Equal(t, steering.Reply, actions[1].Kind)
	require.Equal(t, steering.FlowHeld, a.locate(1, answerSeq+1))
	require.Equal(t, steering.KnownFlow, a.caller(fromCaller(1, 10), own)[0].Reason)
}

// Guards against callers that wait for an upstream that has crashed: its agent
// looks for it when an opening is not answered, and resets its flows when there is
// no process, or when a later one announces itself.
func TestFlowsOfACrashedUpstreamAreReset(t *testing.T) {
	for name, end := range map[string]func(a *agentRun) []steering.Action{
		"its process is gone": func(a *agentRun) []steering.Action {
			a.caller(syn(9), last(own))
			a.now = a.Deadline()
			a.Tick(a.now, &a.actions)
			actions := a.take()
			require.Equal(t, steering.ProbeUpstream, actions[0].Kind)
			require.Equal(t, steering.NoResponse, actions[1].Message.Verdict)
			require.False(t, a.UpstreamExited(a.now, actions[0].Incarnation-1, &a.actions), "a verdict on an earlier process")
			require.Empty(t, a.take())
			require.True(t, a.UpstreamExited(a.now, actions[0].Incarnation, &a.actions))
			return a.take()
		},
		"it has started again": func(a *agentRun) []steering.Action {
			a.announce(announcement(2, 0, view.Ready))
			return a.take()
		},
	} {
		t.Run(name, func(t *testing.T) {
			a := readyAgent(t)
			a.open(1)
			a.caller(fromCaller(1, 10), own)
			actions := end(a)
			require.Len(t, actions, 1)
			require.Equal(t, steering.Action{Kind: steering.Reset, Reason: steering.UpstreamFailed, Flow: flowOf(1), Sequence: answerSeq + 1}, actions[0])
			require.Equal(t, steering.Reset, a.caller(fromCaller(1, 10), own)[0].Kind, "a packet that crossed the reset")
			require.Equal(t, steering.FlowNotHeld, a.locate(5, answerSeq+1))
			const elsewhere = answerSeq + 1<<30
			require.Equal(t, steering.FlowHeld, a.locate(1, answerSeq+1))
			require.Equal(t, steering.FlowNotHeld, a.locate(1, elsewhere), "the port was used again at another upstream")
			again := fromCaller(1, 10)
			again.Ack = elsewhere
			require.Equal(t, steering.FlowNotFound, a.caller(again, own)[0].Message.Kind)
			busy, _ := a.Load()
			require.Zero(t, busy)
		})
	}
}

// Guards against a probe for each opening that a silent upstream leaves without an
// answer, and against an upstream that stays out after a wrong verdict.
func TestSilentUpstreamIsProbedOnce(t *testing.T) {
	a := readyAgent(t)
	probes := 0
	for port := uint16(1); port <= 5; port++ {
		a.caller(syn(port), last(own))
		a.now = a.now.Add(150 * time.Millisecond)
		a.Tick(a.now, &a.actions)
		for _, action := range a.take() {
			if action.Kind == steering.ProbeUpstream {
				probes++
			}
		}
	}
	require.Equal(t, 1, probes)
	require.True(t, a.UpstreamExited(a.now, 1, &a.actions))
	require.Equal(t, steering.Leaving, a.caller(syn(8), last(own))[0].Message.Verdict)
	require.True(t, a.announce(announcement(1, 1, view.Ready)))
	require.Equal(t, steering.Deliver, a.caller(syn(9), last(own))[0].Kind)
}

// Guards against a reset of flows that were taken up before the first announcement
// of their upstream.
func TestFlowsFromBeforeTheFirstAnnouncement(t *testing.T) {
	a := newAgentRun(t)
	a.caller(fromCaller(1, 10), own)
	a.upstream(fromUpstream(1, steering.ACK, 10))
	require.True(t, a.announce(announcement(7, 30, view.Ready)))
	require.Empty(t, a.take())
	require.Equal(t, steering.Deliver, a.caller(fromCaller(1, 10), own)[0].Kind)
	p := fromCaller(1, 10)
	p.Flags |= steering.Returned
	require.Equal(t, steering.SendMessage, a.upstream(p)[0].Kind)
}

// Guards against searches that stay uncertain because of a VM whose upstream has
// left: its agent knows that there is none, and is certain about one that starts
// later.
func TestAgentWithoutUpstream(t *testing.T) {
	a := newAgentRun(t)
	require.Equal(t, steering.FlowUndetermined, a.locate(1, answerSeq+1))
	require.True(t, a.ConfirmNoUpstream())
	require.False(t, a.ConfirmNoUpstream())
	require.Equal(t, steering.FlowNotHeld, a.locate(1, answerSeq+1))
	require.Equal(t, steering.StatusUnknown, a.caller(syn(2), own)[0].Message.Verdict)
	require.True(t, a.announce(announcement(7, 30, view.Ready)))
	require.Equal(t, steering.FlowNotHeld, a.locate(1, answerSeq+1))
	require.False(t, a.ConfirmNoUpstream(), "the upstream has announced itself")
	a.open(3)
	require.Equal(t, steering.FlowHeld, a.locate(3, answerSeq+1))
}

// Guards against searches without an end after a loss of power: an upstream that
// started with its agent holds no flow of before, and the agent knows it. An
// upstream that was there earlier may hold any.
func TestUpstreamThatStartedWithItsAgent(t *testing.T) {
	for name, c := range map[string]struct {
		born     time.Duration
		sequence uint64
		want     steering.Verdict
	}{
		"started just before":                      {-20 * time.Millisecond, 1, steering.FlowNotHeld},
		"started after":                            {300 * time.Millisecond, 2, steering.FlowNotHeld},
		"was there before":                         {-time.Second, 1, steering.FlowUndetermined},
		"clock set back, upstream is old":          {time.Hour, 1, steering.FlowUndetermined},
		"clock set back, upstream has announced":   {300 * time.Millisecond, 9, steering.FlowUndetermined},
		"clock set forward, upstream looks older":  {-time.Hour, 1, steering.FlowUndetermined},
		"older one whose announcements got no ack": {-time.Minute, 40, steering.FlowUndetermined},
	} {
		t.Run(name, func(t *testing.T) {
			a := newAgentRun(t)
			a.now = start.Add(time.Second)
			n := announcement(7, c.sequence, view.Ready)
			n.StartedAt = start.Add(c.born)
			a.announce(n)
			require.Equal(t, c.want, a.locate(1, answerSeq+1))
		})
	}
}

// Guards against repeated deliveries of packets that the upstream has returned,
// and against an agent that stays unsure about them.
func TestDeniedFlowIsRemembered(t *testing.T) {
	a := readyAgent(t)
	a.caller(fromCaller(1, 10), own)
	p := fromCaller(1, 10)
	p.Flags |= steering.Returned
	require.Equal(t, steering.FlowNotFound, a.upstream(p)[0].Message.Kind)
	require.Equal(t, steering.FlowNotFound, a.caller(fromCaller(1, 10), own)[0].Message.Kind)
	require.Equal(t, steering.FlowNotHeld, a.locate(1, answerSeq+1))
	require.Equal(t, steering.Deliver, a.caller(syn(1), own)[0].Kind, "the port may be used again")
}

// Guards against a reset of a flow whose upstream lives, and against silence
// about one whose upstream has started again.
func TestReturnedPacketOfOpenFlow(t *testing.T) {
	a := readyAgent(t)
	a.open(1)
	p := fromCaller(1, 10)
	p.Flags |= steering.Returned
	require.Equal(t, steering.FlowNotFound, a.upstream(p)[0].Message.Kind)
	require.Equal(t, steering.FlowNotHeld, a.locate(1, answerSeq+1))
	a.announce(announcement(2, 0, view.Ready))
	actions := a.upstream(p)
	require.Equal(t, steering.Reset, actions[0].Kind)
	require.Equal(t, p.Ack, actions[0].Sequence)
}

// Guards against two upstreams that believe to hold one flow: the caller's
// acknowledgement names the answer that it has taken.
func TestCallerChoseAnotherUpstream(t *testing.T) {
	a := readyAgent(t)
	a.caller(syn(1), own)
	a.upstream(fromUpstream(1, steering.SYN|steering.ACK, 0))
	p := fromCaller(1, 0)
	p.Ack = answerSeq + 1_000_000
	require.Equal(t, steering.FlowNotFound, a.caller(p, own)[0].Message.Kind)
	require.Equal(t, steering.FlowNotHeld, a.locate(1, p.Ack))
	require.Equal(t, steering.FlowHeld, a.locate(1, answerSeq+1))
}

// Guards against late announcements of an upstream that has been replaced at
// the same address.
func TestAnnouncementsOfEarlierIncarnations(t *testing.T) {
	a := newAgentRun(t)
	require.True(t, a.announce(announcement(5, 3, view.Ready)))
	require.False(t, a.announce(announcement(5, 4, view.Ready)), "nothing new")
	require.False(t, a.announce(announcement(4, 90, view.Leaving)))
	require.False(t, a.announce(announcement(5, 2, view.Leaving)))
	require.True(t, a.announce(announcement(6, 0, view.Ready)), "counts start again")
	current, known := a.Upstream()
	require.True(t, known)
	require.EqualValues(t, 6, current.Incarnation)
}

// Guards against an upstream that is ignored for its whole life, its leaving
// included, because the clock of its VM was ahead when the process before it started;
// and against late announcements of that process.
func TestStartToldByAClockThatWasSetBack(t *testing.T) {
	taken := func(a *agentRun, n steering.CheckIn) bool {
		_, taken := a.HandleCheckIn(a.now, n, &a.actions)
		a.now = a.now.Add(time.Second)
		return taken
	}
	t.Run("the process before is silent", func(t *testing.T) {
		a := newAgentRun(t)
		require.True(t, taken(a, announcement(900, 3, view.Ready)))
		a.open(1)
		require.False(t, taken(a, announcement(5, 1, view.Ready)))
		require.False(t, taken(a, announcement(5, 2, view.Ready)))
		require.False(t, taken(a, announcement(5, 2, view.Leaving)), "the same one again")
		require.True(t, taken(a, announcement(5, 3, view.Leaving)))
		require.Equal(t, steering.UpstreamFailed, a.take()[0].Reason, "the flow of the process before")
		require.Equal(t, steering.Leaving, a.caller(syn(2), own)[0].Message.Verdict)
	})
	t.Run("the process before goes on", func(t *testing.T) {
		a := newAgentRun(t)
		for sequence := uint64(1); sequence < 9; sequence++ {
			require.True(t, taken(a, announcement(900, sequence, view.Ready)))
			require.False(t, taken(a, announcement(5, sequence, view.Leaving)), "late ones of an earlier process")
		}
	})
	t.Run("the process before has ended", func(t *testing.T) {
		a := newAgentRun(t)
		require.True(t, taken(a, announcement(900, 3, view.Ready)))
		require.True(t, a.UpstreamExited(a.now, 900, &a.actions))
		require.True(t, taken(a, announcement(5, 1, view.Ready)))
		require.Equal(t, steering.Deliver, a.caller(syn(2), own)[0].Kind)
	})
}

// Guards against a SYN copy that opens a second flow, and against flows that are
// never forgotten.
func TestCopiesAndExpiry(t *testing.T) {
	a := readyAgent(t)
	a.caller(syn(1), own)
	require.Equal(t, steering.Repeated, a.caller(syn(1), own)[0].Reason)
	_, flows := a.Load()
	require.Equal(t, 1, flows)
	a.upstream(fromUpstream(1, steering.SYN|steering.ACK, 0))
	for range 30 {
		a.now = a.now.Add(time.Second)
		a.Tick(a.now, &a.actions)
	}
	_, flows = a.Load()
	require.Zero(t, flows)
	require.True(t, a.Deadline().IsZero(), "an idle agent has no timer")
}
