package steering_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/admission"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/steering"
	"bramleyhold.example/bramleyhold/internal/view"
)

func headerOf(priority int) steering.ForwardingHeader {
	header := ownHeader
	header.Class, header.ClassKnown = intent.Class{Priority: priority, Kind: intent.Idempotent}, true
	return header
}

// An agent whose openings all have one priority must decide as one that does not know
// their class.
func TestOnePriorityDecidesAsWithoutClasses(t *testing.T) {
	known, unknown := newReadyAgent(t), newReadyAgent(t)
	for port := uint16(1); port <= 60; port++ {
		for _, lastAttempt := range []bool{false, true} {
			knownHeader, unknownHeader := headerOf(2), ownHeader
			knownHeader.LastAttempt, unknownHeader.LastAttempt = lastAttempt, lastAttempt
			key := 2 * port
			if lastAttempt {
				key++
			}
			got, want := known.handleCallerPacket(openingPacket(key), knownHeader), unknown.handleCallerPacket(openingPacket(key), unknownHeader)
			require.Equal(t, want, got)
			if want[0].Kind != steering.Deliver {
				continue
			}
			for _, a := range []*agentHarness{known, unknown} {
				a.handleUpstreamPacket(upstreamPacket(key, steering.SYN|steering.ACK, 0))
				a.handleCallerPacket(callerPacket(key, 10), knownHeader)
			}
		}
		if port%3 == 0 {
			for _, a := range []*agentHarness{known, unknown} {
				a.now = a.now.Add(20 * time.Millisecond)
				a.handleUpstreamPacket(upstreamPacket(2*port, steering.ACK, 10))
			}
		}
	}
}

// A rejected opening of a lower priority must not keep openings of a higher one from the
// upstream.
func TestRejectionExcludesItsPriorityOnly(t *testing.T) {
	b := newBalancerHarness(t, newUpstream(1, orders, ownZone, view.Ready))
	desired := newDesired(2, intent.WeightedService{Service: orders, Weight: 1})
	desired.Routes[0].Priority = 2
	urgent := desired.Routes[0]
	urgent.Virtual, urgent.Priority = virtualOf(8080), 1
	desired.Routes = append(desired.Routes, urgent)
	b.SetDesired(desired)
	b.handlePacket(openingPacket(1))
	require.Equal(t, steering.AllOverloaded, b.handleMessage(1, steering.Message{Kind: steering.OpeningRejected, Verdict: steering.Overloaded, Sequence: 100})[0].Reason)
	require.Equal(t, steering.Reset, b.handlePacket(openingPacket(2))[0].Kind)
	packet := openingPacket(3)
	packet.Flow.Virtual = urgent.Virtual
	require.Equal(t, steering.Forward, b.handlePacket(packet)[0].Kind)

	rejection := steering.Message{Kind: steering.OpeningRejected, Verdict: steering.Overloaded, Flow: packet.Flow, Sequence: 100}
	b.HandleMessage(b.now, agentAddress(1), &rejection, &b.actions)
	b.takeActions()
	b.now = b.now.Add(100 * time.Millisecond)
	require.Equal(t, steering.Reset, b.handlePacket(openingPacket(4))[0].Kind, "the urgent rejection does not shorten the exclusion")
	packet.Flow.Caller = openingPacket(5).Flow.Caller
	require.Equal(t, steering.Forward, b.handlePacket(packet)[0].Kind)
}

// Queued openings must be retried in the order of their priority, and those of callers
// that have waited for longest first.
func TestQueuedOpeningsAreRetriedByPriority(t *testing.T) {
	b := newBalancerHarness(t, newUpstream(1, orders, ownZone, view.Starting))
	desired := newDesired(2, intent.WeightedService{Service: orders, Weight: 1})
	desired.Routes[0].Priority = 2
	urgent := desired.Routes[0]
	urgent.Virtual, urgent.Priority = virtualOf(8080), 1
	desired.Routes = append(desired.Routes, urgent)
	b.SetDesired(desired)
	for port := uint16(1); port <= 4; port++ {
		packet := openingPacket(port)
		packet.Ack = uint32(port % 2) // The index of the copy of the opening.
		if port > 2 {
			packet.Flow.Virtual = urgent.Virtual
		}
		require.Equal(t, steering.OpeningQueued, b.handlePacket(packet)[0].Kind)
	}
	b.SetUpstreams([]steering.Upstream{newUpstream(1, orders, ownZone, view.Ready)}, true)
	b.RetryPending(b.now, false, &b.actions)
	var ports []uint16
	for _, action := range b.takeActions() {
		ports = append(ports, action.Flow.Caller.Port())
	}
	require.Equal(t, []uint16{3, 4, 1, 2}, ports)
}

func virtualOf(port uint16) netip.AddrPort { return netip.AddrPortFrom(virtual.Addr(), port) }

// A deferred request must be delivered when the upstream has a place or after a
// quarter of its time budget, and not at all if its caller has given up. Copies of it must not
// be delivered.
func TestDeferredRequestIsDelivered(t *testing.T) {
	a := newReadyAgent(t)
	a.handleCallerPacket(openingPacket(90), headerOf(1)) // The urgent class is in use.
	a.handleUpstreamPacket(upstreamPacket(90, steering.SYN|steering.ACK, 0))
	a.handleUpstreamPacket(upstreamPacket(90, steering.RST, 0))
	for port := uint16(1); port <= 5; port++ {
		header := headerOf(2)
		header.LastAttempt = true
		require.Equal(t, steering.Deliver, a.handleCallerPacket(openingPacket(port), header)[0].Kind)
		a.handleUpstreamPacket(upstreamPacket(port, steering.SYN|steering.ACK, 0))
	}
	send := func(port uint16, flags steering.Flags) []steering.Action {
		packet := callerPacket(port, 10)
		packet.Flags |= flags
		return a.handleCallerPacket(packet, headerOf(2))
	}
	for port := uint16(1); port <= 2; port++ {
		require.Equal(t, steering.KnownFlow, send(port, 0)[0].Reason, "a slot is free")
	}
	require.Empty(t, send(3, 0))
	require.Equal(t, steering.Drop, send(3, 0)[0].Kind, "a copy")
	require.Empty(t, send(4, 0))
	require.Empty(t, send(5, 0))
	require.Equal(t, steering.Deliver, send(4, steering.RST)[0].Kind, "the caller gives up")

	a.now = a.now.Add(30 * time.Millisecond)
	actions := a.handleUpstreamPacket(upstreamPacket(1, steering.ACK, 10))
	require.Len(t, actions, 2)
	require.Equal(t, flowKey(3), actions[1].Flow)
	require.Equal(t, steering.Deferred, actions[1].Reason)

	require.Equal(t, start.Add(admission.DeferralLimit(timeBudget)), a.Deadline())
	a.now = a.Deadline()
	a.Tick(a.now, &a.actions)
	actions = a.takeActions()
	require.Len(t, actions, 1)
	require.Equal(t, flowKey(5), actions[0].Flow)
	inProgress, _ := a.Load()
	require.Equal(t, 3, inProgress)
}

// On a full link, packets must leave by class, and openings after packets of open flows.
// Where the routes of a service have one priority, they must leave as they arrived.
func TestPacketsLeaveByClass(t *testing.T) {
	for _, test := range []struct {
		urgentPriority int
		want           []uint16
	}{{1, []uint16{4, 2, 3, 1}}, {2, []uint16{1, 2, 3, 4}}} {
		h := newLinkHarness(t, 100_000)
		desired := newDesired(2, intent.WeightedService{Service: orders, Weight: 1})
		desired.Routes[0].Priority, desired.Routes[0].Virtual = 2, virtualOf(smallPort)
		desired.Routes = append(desired.Routes, desired.Routes[0])
		desired.Routes[1].Priority, desired.Routes[1].Virtual = test.urgentPriority, virtualOf(uploadPort)
		h.SetDesired(desired)
		send := func(port, virtualPort uint16, opening bool) {
			packet := callerPacket(port, 100)
			if opening {
				packet = openingPacket(port)
			}
			packet.Flow.Virtual = virtualOf(virtualPort)
			h.HandlePacket(h.now, packet, make([]byte, 600), &h.actions)
		}
		open := func(port, virtualPort uint16) {
			send(port, virtualPort, true)
			message := steering.Message{Kind: steering.OpeningAccepted, Flow: openingPacket(port).Flow, Sequence: answerSequence}
			message.Flow.Virtual = virtualOf(virtualPort)
			h.HandleMessage(h.now, agentAddress(1), &message, &h.actions)
			h.now = h.now.Add(200 * time.Millisecond)
			h.Tick(h.now, &h.actions)
		}
		open(2, smallPort)
		open(4, uploadPort)
		h.takeActions()
		send(2, smallPort, false) // Takes the link for 53 ms.
		require.Len(t, h.takeActions(), 1)
		send(1, smallPort, true)
		send(2, smallPort, false)
		send(3, uploadPort, true)
		send(4, uploadPort, false)
		require.Empty(t, h.takeActions())
		var left []uint16
		for len(left) < len(test.want) {
			for _, action := range h.advanceToDeadline() {
				if action.Kind == steering.Forward {
					left = append(left, action.Flow.Caller.Port())
				}
			}
		}
		require.Equal(t, test.want, left)
	}
}
