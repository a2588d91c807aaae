package steering_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/steering"
	"bramleyhold.example/bramleyhold/internal/view"
)

// maxTestFlows is the table size of agentHarness.
const maxTestFlows = 100

// fillTable opens as many flows as the table has room for, one each millisecond.
func fillTable(t *testing.T) *agentHarness {
	a := newAgentHarness(t)
	checkIn := newCheckIn(1, 0, view.Ready)
	checkIn.Slots, checkIn.StartedAt = 2*maxTestFlows, start
	require.True(t, a.checkIn(checkIn))
	for port := range uint16(maxTestFlows) {
		a.openFlow(port + 1)
		a.now = a.now.Add(time.Millisecond)
	}
	return a
}

// Guards against openings that are refused although the upstream takes them: callers that
// went away without closing their flows fill the table of the agent until the largest age
// of a flow.
func TestFullTableTakesOpenings(t *testing.T) {
	a := fillTable(t)
	for port := range uint16(50) {
		a.openFlow(1000 + port)
	}
	_, flows := a.Load()
	require.Equal(t, maxTestFlows, flows)
}

// Guards against a reset of a flow that the upstream holds: an agent that has evicted a
// flow must not deny it, nor one that it could not adopt.
func TestEvictedFlowsAreNotDenied(t *testing.T) {
	a := fillTable(t)
	require.Equal(t, steering.FlowNotHeld, a.lookup(5000, 0), "every flow is in the table")
	a.openFlow(1000)
	require.Equal(t, steering.FlowUndetermined, a.lookup(5000, 0), "a flow was evicted")
	require.Equal(t, steering.Deliver, a.handleCallerPacket(callerPacket(5000, 0), ownHeader)[0].Kind)
	actions := a.handleUpstreamPacket(upstreamPacket(5000, steering.ACK, 0))
	require.Equal(t, steering.FlowConfirmed, actions[0].Message.Kind)
	require.Equal(t, steering.FlowHeld, a.lookup(5000, 0))

	a.now = a.now.Add(21 * time.Second)
	a.Tick(a.now, &a.actions)
	require.Equal(t, steering.FlowNotHeld, a.lookup(6000, 0), "a flow that was evicted longer ago has expired")
}

// Guards against evictions of flows with a request in progress while others are idle.
func TestBusyFlowsAreNotEvicted(t *testing.T) {
	const busy, opened = 10, 10
	a := fillTable(t)
	a.now = a.now.Add(time.Second)
	a.Tick(a.now, &a.actions) // Flows without a request no longer count as awaiting one.
	for port := range uint16(busy) {
		a.handleCallerPacket(callerPacket(50+port, 10), ownHeader)
	}
	requests, _ := a.Load()
	require.Equal(t, busy, requests)
	for port := range uint16(opened) {
		a.openFlow(1000 + port)
	}
	requests, _ = a.Load()
	require.Equal(t, busy+opened/2, requests, "a flow that awaits its first request counts half")
}

// Guards against an agent that asks its upstream about unknown flows although it has
// evicted finished ones only.
func TestEvictionOfFinishedFlows(t *testing.T) {
	a := fillTable(t)
	for port := range uint16(maxTestFlows) {
		end := callerPacket(port+1, 0)
		end.Flags |= steering.RST
		a.handleCallerPacket(end, ownHeader)
	}
	a.openFlow(1000)
	require.Equal(t, steering.FlowNotHeld, a.lookup(5000, 0))
}

// Guards against slots that are taken for free while the upstream still works: a request
// may take as long as the objective of its route without a packet.
func TestLongRequestsStayInProgress(t *testing.T) {
	for budget, want := range map[time.Duration][2]int{
		500 * time.Millisecond: {1, 0},
		5 * time.Second:        {1, 1},
	} {
		a := newReadyAgent(t)
		header := ownHeader
		header.TimeBudget = budget
		a.handleCallerPacket(openingPacket(9), header)
		a.handleUpstreamPacket(upstreamPacket(9, steering.SYN|steering.ACK, 0))
		a.handleCallerPacket(callerPacket(9, 10), ownHeader)
		for i, after := range []time.Duration{900 * time.Millisecond, 4 * time.Second} {
			a.now = start.Add(after)
			a.Tick(a.now, &a.actions)
			requests, _ := a.Load()
			require.Equal(t, want[i], requests, "budget %s, after %s", budget, after)
		}
	}
}

// Guards against an agent that still asks a new upstream process about flows that it has
// evicted before: the new process holds none of them.
func TestEvictionsEndWithTheUpstream(t *testing.T) {
	a := fillTable(t)
	a.openFlow(1000)
	require.Equal(t, steering.FlowUndetermined, a.lookup(5000, 0))
	require.True(t, a.checkIn(newCheckIn(2, 0, view.Ready)))
	a.takeActions() // the resets of the flows of the previous process
	require.Equal(t, steering.FlowNotHeld, a.lookup(5000, 0))
}
