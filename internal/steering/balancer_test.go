package steering_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

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
		Zone: ownZone, MaxFlows: 1000, AdmitsByClass: true, Random: rand.New(rand.NewPCG(1, 2)),
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
