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
	near = zone.ID{Region: "si", Name: "a"}
	far  = zone.ID{Region: "si", Name: "b"}
)

func agentAddress(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, 2, 0, byte(i)}) }

func upstream(i int, name service.Name, z zone.ID, status view.Status) steering.Upstream {
	return steering.Upstream{Service: name, Upstream: view.Upstream{
		VM: vm.ID(fmt.Sprint("vm-", i)), Zone: z, Address: netip.AddrPortFrom(agentAddress(i), 8000), Incarnation: 1, Status: status, Slots: 2,
	}}
}

func desired(version uint64, shares ...intent.WeightedService) *intent.Desired {
	return &intent.Desired{Version: version, IdleTimeout: 15 * time.Second, Routes: []intent.Route{{
		Name: "r", Virtual: virtual, Backends: shares, Kind: intent.Idempotent, Timeout: time.Second, Objective: patience,
	}}}
}

// balancerRun drives one balancer by hand.
type balancerRun struct {
	*steering.Balancer
	t       *testing.T
	now     time.Time
	actions []steering.Action
	// asked holds the last questions to each agent, rounds the numbers of all.
	asked  map[int]steering.Message
	rounds map[uint32]bool
}

func newBalancerRun(t *testing.T, upstreams ...steering.Upstream) *balancerRun {
	b := &balancerRun{t: t, now: start, asked: map[int]steering.Message{}, rounds: map[uint32]bool{}, Balancer: steering.NewBalancer(steering.BalancerConfig{
		Zone: near, MaxFlows: 1000, Random: rand.New(rand.NewPCG(1, 2)),
	})}
	b.SetDesired(desired(1, intent.WeightedService{Service: orders, Weight: 1}))
	b.SetUpstreams(upstreams, true)
	return b
}

func (b *balancerRun) take() []steering.Action {
	taken := b.actions
	b.actions = nil
	for _, a := range taken {
		if a.Kind == steering.SendMessage {
			b.asked[number(a.To)] = a.Message
			b.rounds[a.Message.LookupID] = true
		}
	}
	return taken
}

func (b *balancerRun) packet(p *steering.Packet) []steering.Action {
	b.Packet(b.now, p, []byte("packet"), &b.actions)
	return b.take()
}

// tell delivers a message of an agent. LookupResponse answers the last lookups to it,
// all with the same verdict.
func (b *balancerRun) tell(agent int, m steering.Message) []steering.Action {
	m.Flow = flowOf(1)
	if m.Kind == steering.LookupResponse {
		m.LookupID = b.asked[agent].LookupID
		for range b.asked[agent].Lookups {
			m.Verdicts = append(m.Verdicts, m.Verdict)
		}
	}
	b.Message(b.now, agentAddress(agent), &m, &b.actions)
	return b.take()
}

// wait advances the time to the next deadline.
func (b *balancerRun) wait() []steering.Action {
	b.now = b.Deadline()
	b.Tick(b.now, &b.actions)
	return b.take()
}

func number(a netip.Addr) int { return int(a.As4()[3]) }

// Guards against openings that cross zones although an upstream nearby is free.
func TestOpeningStaysInZone(t *testing.T) {
	b := newBalancerRun(t, upstream(1, orders, far, view.Ready), upstream(2, orders, near, view.Ready))
	actions := b.packet(syn(1))
	require.Len(t, actions, 1)
	require.Equal(t, agentAddress(2), actions[0].To)
	require.False(t, actions[0].Header.LastCandidate)
	require.Equal(t, patience, actions[0].Header.TimeBudget)
}

// Guards against openings for upstreams that take no work, and against those
// that reach another service.
func TestOnlyReadyUpstreamsOfTheRoute(t *testing.T) {
	b := newBalancerRun(t, upstream(1, orders, near, view.Leaving), upstream(2, drying, near, view.Ready), upstream(3, orders, far, view.Ready),
		upstream(4, orders, near, view.Starting), upstream(5, orders, near, view.Failed))
	for port := uint16(1); port < 50; port++ {
		require.Equal(t, agentAddress(3), b.packet(syn(port))[0].To)
	}
}

// Guards against an opening that is lost when an agent returns it, and against
// one that visits every upstream under overload.
func TestReturnedOpeningGoesOn(t *testing.T) {
	b := newBalancerRun(t, upstream(1, orders, near, view.Ready), upstream(2, orders, near, view.Ready),
		upstream(3, orders, near, view.Ready), upstream(4, orders, near, view.Ready))
	tried := map[int]bool{}
	actions := b.packet(syn(1))
	for try := 1; try <= 3; try++ {
		require.Len(t, actions, 1)
		agent := number(actions[0].To)
		require.False(t, tried[agent])
		tried[agent] = true
		require.Equal(t, try == 3, actions[0].Header.LastCandidate)
		actions = b.tell(agent, steering.Message{Kind: steering.OpeningRejected, Verdict: steering.Busy, Sequence: 100})
		if try == 3 {
			break
		}
	}
}

// Guards against a caller that is kept waiting although its request cannot be
// answered in time.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	b := newBalancerRun(t, upstream(1, orders, near, view.Ready))
	require.True(t, b.packet(syn(1))[0].Header.LastCandidate)
	actions := b.tell(1, steering.Message{Kind: steering.OpeningRejected, Verdict: steering.Overloaded, Sequence: 100})
	require.Equal(t, steering.Reset, actions[0].Kind)
	require.Equal(t, steering.TooBusy, actions[0].Reason)

	actions = b.packet(syn(2))
	require.Equal(t, steering.TooBusy, actions[0].Reason, "known to be full: refused without an exchange")
	b.now = b.now.Add(60 * time.Millisecond)
	require.Equal(t, steering.Forward, b.packet(syn(3))[0].Kind)
}

// Guards against openings that visit a crashed upstream, whose VM returns them, before
// each other one: under load they run out of tries.
func TestUpstreamThatReturnsOpeningsIsAvoided(t *testing.T) {
	b := newBalancerRun(t, upstream(1, orders, near, view.Ready), upstream(2, orders, far, view.Ready))
	require.Equal(t, agentAddress(1), b.packet(syn(1))[0].To)
	require.Equal(t, agentAddress(2), b.tell(1, steering.Message{Kind: steering.OpeningRejected, Verdict: steering.Refused, Sequence: 100})[0].To)
	require.Equal(t, agentAddress(2), b.packet(syn(2))[0].To)
	b.now = b.now.Add(time.Second)
	require.Equal(t, agentAddress(1), b.packet(syn(3))[0].To)
}

// Guards against an agent that does not answer: its openings must go elsewhere
// before the caller's next copy, and the next ones must not go there.
func TestSilentAgentIsAvoided(t *testing.T) {
	b := newBalancerRun(t, upstream(1, orders, near, view.Ready), upstream(2, orders, far, view.Ready))
	require.Equal(t, agentAddress(1), b.packet(syn(1))[0].To)
	actions := b.wait()
	require.Less(t, b.now.Sub(start), 200*time.Millisecond)
	require.Equal(t, agentAddress(2), actions[0].To)
	require.Equal(t, steering.PlacedOnRetry, actions[0].Reason)
	require.Equal(t, agentAddress(2), b.packet(syn(2))[0].To)
	b.tell(1, steering.Message{Kind: steering.OpeningAccepted, Sequence: answerSeq})
	require.Equal(t, agentAddress(1), b.packet(fromCaller(1, 0))[0].To, "the caller has taken the late answer")
}

// Guards against resets and placements for virtual addresses that no desired
// state has, was there or is not yet known.
func TestRoutes(t *testing.T) {
	b := newBalancerRun(t, upstream(1, orders, near, view.Ready))
	other := syn(1)
	other.Flow.Virtual = netip.MustParseAddrPort("198.18.0.9:443")
	require.Equal(t, steering.Reset, b.packet(other)[0].Kind)
	data := fromCaller(2, 10)
	data.Flow.Virtual = other.Flow.Virtual
	require.NotEqual(t, steering.Reset, b.packet(data)[0].Kind, "the route may be new")

	b.packet(syn(3))
	b.tell(1, steering.Message{Kind: steering.OpeningAccepted, Sequence: answerSeq})
	require.True(t, b.SetDesired(&intent.Desired{Version: 2}))
	actions := b.packet(fromCaller(3, 10))
	require.Equal(t, steering.RouteRemoved, actions[0].Reason)
	require.EqualValues(t, answerSeq+1, actions[0].Sequence)
}

// Guards against a desired state that goes back.
func TestEarlierVersionIsIgnored(t *testing.T) {
	b := newBalancerRun(t)
	require.True(t, b.SetDesired(desired(7, intent.WeightedService{Service: drying, Weight: 1})))
	require.False(t, b.SetDesired(desired(6, intent.WeightedService{Service: orders, Weight: 1})))
	require.EqualValues(t, 7, b.Version())
}

// Guards against splits that do not follow the weights.
func TestSplit(t *testing.T) {
	b := newBalancerRun(t, upstream(1, orders, near, view.Ready), upstream(2, drying, near, view.Ready))
	b.SetDesired(desired(2, intent.WeightedService{Service: orders, Weight: 90}, intent.WeightedService{Service: drying, Weight: 10}))
	count := 0
	for port := uint16(1); port <= 1000; port++ {
		if b.packet(syn(port))[0].To == agentAddress(2) {
			count++
		}
	}
	require.InDelta(t, 100, count, 30)
}

// Guards against a flow that is lost with its balancer: another one asks the
// agents, and packets keep their order meanwhile.
func TestFlowIsFound(t *testing.T) {
	b := newBalancerRun(t, upstream(1, orders, near, view.Ready), upstream(2, orders, far, view.Leaving), upstream(3, orders, far, view.Left))
	actions := b.packet(fromCaller(1, 10))
	require.Len(t, actions, 2, "upstreams that have left hold nothing")
	require.Equal(t, steering.LookupRequest, actions[0].Message.Kind)
	require.Empty(t, b.packet(fromCaller(1, 20)))
	require.Empty(t, b.tell(1, steering.Message{Kind: steering.LookupResponse, Verdict: steering.FlowNotHeld}))
	actions = b.tell(2, steering.Message{Kind: steering.LookupResponse, Verdict: steering.FlowHeld})
	require.Len(t, actions, 2)
	require.Equal(t, agentAddress(2), actions[0].To)
	require.Equal(t, agentAddress(2), b.packet(fromCaller(1, 30))[0].To)
}

// Guards against packets that go to upstreams which may be the wrong ones while
// the question to the holder, or its answer, was lost on a full link.
func TestLostQuestionsAreRepeated(t *testing.T) {
	b := newBalancerRun(t, upstream(1, orders, near, view.Ready), upstream(2, orders, far, view.Ready))
	b.packet(fromCaller(1, 10))
	b.tell(2, steering.Message{Kind: steering.LookupResponse, Verdict: steering.FlowUndetermined})
	for range 2 {
		actions := b.wait()
		require.Len(t, actions, 1, "only the agent that has not answered is asked again")
		require.Equal(t, agentAddress(1), actions[0].To)
		require.Equal(t, steering.LookupRequest, actions[0].Message.Kind)
	}
	require.Less(t, b.now.Sub(start), 200*time.Millisecond)
	for _, a := range b.wait() {
		require.NotEqual(t, steering.Forward, a.Kind, "no agent is tried while another is silent")
	}
	b.now = b.now.Add(400 * time.Millisecond)
	require.Len(t, b.packet(fromCaller(1, 10)), 2)
	actions := b.tell(1, steering.Message{Kind: steering.LookupResponse, Verdict: steering.FlowHeld})
	require.Equal(t, agentAddress(1), actions[0].To)
}

// Guards against searches that are all held up by a VM that has gone without a
// word: flows of restarted agents would miss their objectives meanwhile.
func TestOneSilentAgentHoldsUpOneSearch(t *testing.T) {
	b := newBalancerRun(t, upstream(1, orders, near, view.Ready), upstream(2, orders, far, view.Ready))
	search := func(port uint16) (tried bool) {
		b.packet(fromCaller(port, 10))
		b.tell(2, steering.Message{Kind: steering.LookupResponse, Verdict: steering.FlowUndetermined})
		for range 3 {
			for _, a := range b.wait() {
				tried = tried || a.Kind == steering.Forward
			}
		}
		return tried
	}
	require.False(t, search(1), "the silent agent may hold the flow")
	require.True(t, search(2), "it is known to be silent")
	b.tell(1, steering.Message{Kind: steering.LookupResponse, Verdict: steering.FlowNotHeld})
	require.False(t, search(3), "it has answered since")
}

// Guards against a flow that is given up because its agent has just restarted.
func TestUnsureAgentsAreTried(t *testing.T) {
	b := newBalancerRun(t, upstream(1, orders, near, view.Ready), upstream(2, orders, far, view.Ready))
	b.packet(fromCaller(1, 10))
	b.tell(1, steering.Message{Kind: steering.LookupResponse, Verdict: steering.FlowUndetermined})
	actions := b.tell(2, steering.Message{Kind: steering.LookupResponse, Verdict: steering.FlowUndetermined})
	require.Len(t, actions, 1, "the one in the zone first")
	require.Equal(t, steering.CandidateTried, actions[0].Reason)
	require.Equal(t, agentAddress(1), actions[0].To)
	actions = b.tell(1, steering.Message{Kind: steering.FlowNotFound})
	require.Len(t, actions, 1)
	require.Equal(t, steering.CandidateTried, actions[0].Reason)
	require.Equal(t, agentAddress(2), actions[0].To)
	require.Empty(t, b.tell(2, steering.Message{Kind: steering.LookupResponse, Verdict: steering.FlowHeld}))
	require.Equal(t, agentAddress(2), b.packet(fromCaller(1, 30))[0].To)
}

// Guards against links that are filled by trials when all processes have started again
// and every agent is unsure: the likely holders are tried first, with the smallest
// packet that waits, and the others only if those deny the flow or do not answer.
func TestLikelyHoldersAreTriedFirst(t *testing.T) {
	var list []steering.Upstream
	for i := 1; i <= 12; i++ {
		z, name := near, service.Name(orders)
		if i > 4 {
			z = far
		}
		if i == 4 {
			name = drying
		}
		list = append(list, upstream(i, name, z, view.Ready))
	}
	for name, likely := range map[string]steering.MessageKind{"they deny it": steering.FlowNotFound, "one holds it": steering.FlowConfirmed, "they are silent": 0} {
		t.Run(name, func(t *testing.T) {
			b := newBalancerRun(t, list...)
			b.Packet(b.now, fromCaller(1, 1200), make([]byte, 1236), &b.actions)
			b.Packet(b.now, fromCaller(1, 10), make([]byte, 46), &b.actions)
			b.take()
			var tried []steering.Action
			for i := range list {
				tried = b.tell(i+1, steering.Message{Kind: steering.LookupResponse, Verdict: steering.FlowUndetermined})
			}
			require.Len(t, tried, 3, "those of the service in the zone")
			var next []steering.Action
			for _, a := range tried {
				require.LessOrEqual(t, number(a.To), 3)
				require.Len(t, a.Data, 46)
				if likely != 0 {
					next = b.tell(number(a.To), steering.Message{Kind: likely})
				}
				if likely == steering.FlowConfirmed {
					break
				}
			}
			if likely == steering.FlowConfirmed {
				require.Len(t, next, 1, "the other packet")
				require.Len(t, next[0].Data, 1236)
				return
			}
			if likely == 0 {
				next = b.wait()
			}
			require.Len(t, next, 9, "the others")
			require.Len(t, b.tell(12, steering.Message{Kind: steering.FlowConfirmed}), 1)
			require.Equal(t, agentAddress(12), b.packet(fromCaller(1, 10))[0].To)
		})
	}
}

// Guards against a flow that stays with an upstream that does not hold it,
// because the answer of the holder came late over a full link.
func TestLateAnswerOfTheHolder(t *testing.T) {
	for name, c := range map[string]struct{ second steering.Verdict }{
		"nobody else may hold it":  {steering.FlowNotHeld},
		"another agent is unsure":  {steering.FlowUndetermined},
		"no agent answers in time": {0},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBalancerRun(t, upstream(1, orders, near, view.Ready), upstream(2, orders, far, view.Ready))
			b.packet(fromCaller(1, 10))
			if c.second != 0 {
				b.tell(2, steering.Message{Kind: steering.LookupResponse, Verdict: c.second})
			}
			for range 3 {
				b.wait()
			}
			if c.second == steering.FlowUndetermined {
				for _, a := range b.packet(fromCaller(1, 20)) {
					require.NotEqual(t, steering.Forward, a.Kind, "the silent agent may hold the flow")
				}
			}
			b.tell(1, steering.Message{Kind: steering.LookupResponse, Verdict: steering.FlowHeld})
			actions := b.packet(fromCaller(1, 30))
			require.Equal(t, steering.Forward, actions[0].Kind)
			require.Equal(t, agentAddress(1), actions[0].To)
		})
	}
}

// Guards against silence about a dead flow, which keeps its caller waiting until
// the end of its time, and against the reset of a flow that may live. The second
// search must not wait for the caller's next packet: a caller that is told within
// 100 ms can still be served elsewhere within its objective.
func TestDeadFlowIsReset(t *testing.T) {
	for name, c := range map[string]struct {
		complete bool
		status   view.Status
		second   steering.Verdict
		want     bool
	}{
		"all deny it":                         {true, view.Ready, steering.FlowNotHeld, true},
		"directory is incomplete":             {false, view.Ready, steering.FlowNotHeld, false},
		"an agent does not answer":            {true, view.Ready, 0, false},
		"an agent has been silent for long":   {true, view.Failed, 0, true},
		"an agent is unsure, then not":        {true, view.Ready, steering.FlowUndetermined, true},
		"an agent that was silent is back":    {true, view.Failed, steering.FlowNotHeld, true},
		"an agent that was silent holds it":   {true, view.Failed, steering.FlowHeld, false},
		"directory is incomplete, one failed": {false, view.Failed, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBalancerRun(t)
			b.Balancer = steering.NewBalancer(steering.BalancerConfig{Zone: near, MaxFlows: 10, Random: rand.New(rand.NewPCG(1, 2))})
			b.SetDesired(desired(1, intent.WeightedService{Service: orders, Weight: 1}))
			b.SetUpstreams([]steering.Upstream{upstream(1, orders, near, view.Ready), upstream(2, orders, far, c.status)}, c.complete)
			verdicts := map[int]steering.Verdict{1: steering.FlowNotHeld, 2: c.second}
			reset, questions := b.search(b.packet(fromCaller(1, 10)), verdicts, 200*time.Millisecond)
			require.Equal(t, c.want, reset)
			if reset {
				require.GreaterOrEqual(t, questions[1], 2, "one search is not enough")
				require.LessOrEqual(t, b.now.Sub(start), 150*time.Millisecond)
			}
		})
	}
}

// search answers questions by the verdicts of the agents, zero for no answer, until
// the flow is reset or the time has passed. An agent that is unsure denies the flow
// when it is tried. It returns how often each agent was asked.
func (b *balancerRun) search(actions []steering.Action, verdicts map[int]steering.Verdict, limit time.Duration) (reset bool, questions map[int]int) {
	end := b.now.Add(limit)
	questions = map[int]int{}
	for {
		for len(actions) > 0 {
			a := actions[0]
			actions = actions[1:]
			agent := 0
			if a.To.IsValid() {
				agent = number(a.To)
			}
			switch {
			case a.Kind == steering.Reset:
				return true, questions
			case a.Kind == steering.SendMessage:
				questions[agent]++
				if v := verdicts[agent]; v != 0 {
					actions = append(actions, b.tell(agent, steering.Message{Kind: steering.LookupResponse, Verdict: v})...)
				}
			case a.Kind == steering.Forward && verdicts[agent] == steering.FlowUndetermined:
				actions = append(actions, b.tell(agent, steering.Message{Kind: steering.FlowNotFound})...)
			}
		}
		if next := b.Deadline(); next.IsZero() || next.After(end) {
			return false, questions
		}
		actions = b.wait()
	}
}

// Guards against callers that wait after a loss of power until they repeat their
// packets: what was denied before the directory was complete is searched again as
// soon as it is.
func TestCompleteDirectoryEndsTheSearches(t *testing.T) {
	b := newBalancerRun(t)
	b.Balancer = steering.NewBalancer(steering.BalancerConfig{Zone: near, MaxFlows: 10, Random: rand.New(rand.NewPCG(1, 2))})
	b.SetDesired(desired(1, intent.WeightedService{Service: orders, Weight: 1}))
	list := []steering.Upstream{upstream(1, orders, near, view.Ready)}
	b.SetUpstreams(list, false)
	b.packet(fromCaller(1, 10))
	deny := steering.Message{Kind: steering.LookupResponse, Verdict: steering.FlowNotHeld}
	require.Equal(t, steering.Drop, b.tell(1, deny)[0].Kind)
	b.now = b.now.Add(500 * time.Millisecond)
	list = append(list, upstream(2, orders, far, view.Ready))
	b.SetUpstreams(list, true)
	b.RetryPending(b.now, true, &b.actions)
	require.Len(t, b.take(), 2)
	b.tell(1, deny)
	b.tell(2, deny)
	require.Len(t, b.wait(), 2)
	b.tell(1, deny)
	actions := b.tell(2, deny)
	require.Equal(t, steering.Reset, actions[0].Kind)
	require.EqualValues(t, answerSeq+1, actions[0].Sequence)
	require.Less(t, b.now.Sub(start), 600*time.Millisecond)
}

// Guards against callers that wait for seconds after a loss of power on a slow
// link, because their dead flows are searched one by one, and against searches that
// take more of the link than their share. Each agent answers 15 ms after it has
// got its questions.
func TestManyDeadFlowsOnASlowLink(t *testing.T) {
	for name, c := range map[string]struct {
		link   float64
		agents int
		// within is the time in which the flows send.
		within, limit time.Duration
	}{
		"58 agents, 3.9 Mbit/s":          {3.9e6, 58, 200 * time.Millisecond, 2 * time.Second},
		"58 agents, 3.9 Mbit/s, at once": {3.9e6, 58, 0, 2 * time.Second},
		"12 agents, 1,000 Mbit/s":        {1e9, 12, 200 * time.Millisecond, 600 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			const flows, answerAfter = 40, 15 * time.Millisecond
			var list []steering.Upstream
			for i := 1; i <= c.agents; i++ {
				list = append(list, upstream(i, orders, near, view.Ready))
			}
			b := newBalancerRun(t)
			b.Balancer = steering.NewBalancer(steering.BalancerConfig{Zone: near, MaxFlows: 1000, Random: rand.New(rand.NewPCG(1, 2)), LinkBitsPerSecond: c.link})
			b.SetDesired(desired(1, intent.WeightedService{Service: orders, Weight: 1}))
			b.SetUpstreams(list, true)
			type answer struct {
				at    time.Time
				agent int
				steering.Message
			}
			var answers []answer
			reset := map[uint16]bool{}
			bytes, asked := 0, 0
			// linkFree is when the link has carried all questions so far.
			var linkFree time.Time
			handle := func(actions []steering.Action) {
				for _, a := range actions {
					switch a.Kind {
					case steering.SendMessage:
						payload, err := cbor.Marshal(a.Message)
						require.NoError(t, err)
						require.LessOrEqual(t, len(payload), 1200, "more than one datagram")
						m := steering.Message{Kind: steering.LookupResponse, LookupID: a.Message.LookupID}
						for range a.Message.Lookups {
							m.Verdicts = append(m.Verdicts, steering.FlowNotHeld)
						}
						back, err := cbor.Marshal(m)
						require.NoError(t, err)
						const headers = 2 * (28 + 9)
						bytes += len(payload) + len(back) + headers
						asked++
						if linkFree.Before(b.now) {
							linkFree = b.now
						}
						// Packets of callers take 0.6 of the link.
						linkFree = linkFree.Add(time.Duration(1 / 0.4 * float64(len(payload)+headers/2) * 8 / c.link * float64(time.Second)))
						answers = append(answers, answer{linkFree.Add(answerAfter), number(a.To), m})
					case steering.Drop:
						require.NotEqual(t, steering.AgentNotResponding, a.Reason, "the questions were still on the link")
					case steering.Reset:
						require.Equal(t, steering.NoHolder, a.Reason)
						reset[a.Flow.Caller.Port()] = true
					}
				}
			}
			sent := 0
			for len(reset) < flows && b.now.Sub(start) < c.limit {
				for ; sent < flows && b.now.Sub(start) >= c.within/flows*time.Duration(sent); sent++ {
					handle(b.packet(fromCaller(uint16(1+sent), 10)))
				}
				b.now = b.now.Add(time.Millisecond)
				for len(answers) > 0 && !b.now.Before(answers[0].at) {
					a := answers[0]
					answers = answers[1:]
					b.Message(b.now, agentAddress(a.agent), &a.Message, &b.actions)
					handle(b.take())
				}
				b.Tick(b.now, &b.actions)
				handle(b.take())
			}
			require.Len(t, reset, flows)
			require.LessOrEqual(t, asked, len(b.rounds)*c.agents, "asked again while the questions were on the link")
			require.LessOrEqual(t, float64(bytes), 0.2*c.link/8*(b.now.Sub(start)+300*time.Millisecond).Seconds())
		})
	}
}

// Guards against openings that are refused although their upstream is about to
// take work, and against waiting where no upstream will.
func TestOpeningWaitsForStartingUpstream(t *testing.T) {
	b := newBalancerRun(t, upstream(1, orders, near, view.Starting))
	require.Equal(t, steering.QueueOpening, b.packet(syn(1))[0].Kind)
	b.SetUpstreams([]steering.Upstream{upstream(1, orders, near, view.Ready)}, true)
	b.RetryPending(b.now, false, &b.actions)
	require.Equal(t, agentAddress(1), b.take()[0].To)

	b = newBalancerRun(t, upstream(1, orders, near, view.Leaving))
	require.Equal(t, steering.NoUpstream, b.packet(syn(1))[0].Reason)
}

// Guards against a memory that grows with flows that have ended.
func TestFlowsAreForgotten(t *testing.T) {
	b := newBalancerRun(t, upstream(1, orders, near, view.Ready))
	for port := uint16(1); port <= 2000; port++ {
		b.packet(syn(port))
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

// Guards against uploads that fill a slow link: their losses and those of small
// requests cost 200 ms and more each. Openings of uploads are refused while the
// link is nearly full, those of other requests are not.
func TestUploadsLeaveRoomOnTheLink(t *testing.T) {
	b := newBalancerRun(t)
	b.Balancer = steering.NewBalancer(steering.BalancerConfig{
		Zone: near, MaxFlows: 1000, Random: rand.New(rand.NewPCG(1, 2)), LinkBitsPerSecond: 4.6e6,
	})
	d := desired(1, intent.WeightedService{Service: orders, Weight: 1})
	d.Routes = append(d.Routes, d.Routes[0])
	d.Routes[0].Kind = intent.Upload
	d.Routes[1].Virtual = netip.MustParseAddrPort("198.18.0.2:443")
	b.SetDesired(d)
	b.SetUpstreams([]steering.Upstream{upstream(1, orders, near, view.Ready)}, true)
	small := syn(500)
	small.Flow.Virtual = d.Routes[1].Virtual
	b.packet(syn(1))
	b.tell(1, steering.Message{Kind: steering.OpeningAccepted, Sequence: answerSeq})

	// 4.6 Mbit/s carry 115,000 bytes in 200 ms, and each packet crosses the link
	// twice: 20 packets take 44 % of it, 30 take 66 %.
	for _, c := range []struct {
		packets int
		refused bool
	}{{20, false}, {30, true}, {20, false}} {
		for range 3 {
			for range c.packets {
				b.Packet(b.now, fromCaller(1, 1200), make([]byte, 1236), &b.actions)
				b.now = b.now.Add(200 * time.Millisecond / time.Duration(c.packets))
			}
		}
		b.take()
		upload := b.packet(syn(uint16(100 + c.packets)))[0]
		require.Equal(t, c.refused, upload.Reason == steering.LinkSaturated, "%d packets", c.packets)
		small.Flow.Caller = netip.AddrPortFrom(small.Flow.Caller.Addr(), uint16(600+c.packets))
		require.Equal(t, steering.Forward, b.packet(small)[0].Kind)
	}
}

// Guards against searches that fill a slow link after a loss of power, when every
// flow is searched: their answers were lost, so that no search ended.
func TestSearchesAreBounded(t *testing.T) {
	var list []steering.Upstream
	for i := 1; i <= 60; i++ {
		list = append(list, upstream(i, orders, near, view.Ready))
	}
	b := newBalancerRun(t, list...)
	questions := 0
	for range 10 {
		for port := uint16(1); port <= 300; port++ {
			for _, a := range b.packet(fromCaller(port, 10)) {
				if a.Kind == steering.SendMessage {
					questions++
				}
			}
		}
		for range 10 {
			b.now = b.now.Add(20 * time.Millisecond)
			b.Tick(b.now, &b.actions)
			for _, a := range b.take() {
				if a.Kind == steering.SendMessage {
					questions++
				}
			}
		}
	}
	// 2 s: the burst of 40 and 20 more searches, each of 60 agents asked 3 times.
	require.LessOrEqual(t, questions, 61*60*3)
}
