package steering_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/steering"
	"bramleyhold.example/bramleyhold/internal/view"
)

const (
	uploadPort = uint16(8443)
	smallPort  = uint16(443)
	// windowPackets is the number of packets that a caller sends at once.
	windowPackets = 16
	packetBytes   = 1236
	// linkOverhead is the framing of a datagram, linkQueue the time that a packet waits
	// for the link at most. Packets that would wait longer are lost.
	linkOverhead = 60
	linkQueue    = 50 * time.Millisecond
)

// thinLink is the link of a VM. It drops what it cannot send within linkQueue.
type thinLink struct {
	bytesPerSecond float64
	idleAt         time.Time
	lost           int
	// delivered has the time at which each forwarded packet has left, by flow.
	delivered map[uint16][]time.Time
}

func (l *thinLink) send(now time.Time, size int) (leftAt time.Time, lost bool) {
	if l.idleAt.Before(now) {
		l.idleAt = now
	}
	if l.idleAt.Sub(now) > linkQueue {
		l.lost++
		return time.Time{}, true
	}
	l.idleAt = l.idleAt.Add(time.Duration(float64(size+linkOverhead) / l.bytesPerSecond * float64(time.Second)))
	return l.idleAt, false
}

// linkHarness drives a balancer with an upload route and another route over a thin
// link.
type linkHarness struct {
	*balancerHarness
	link *thinLink
}

func newLinkHarness(t *testing.T, bitsPerSecond float64) *linkHarness {
	b := newBalancerHarness(t)
	b.Balancer = steering.NewBalancer(steering.BalancerConfig{
		Zone: ownZone, MaxFlows: 1000, Random: rand.New(rand.NewPCG(1, 2)), LinkBitsPerSecond: bitsPerSecond, AdmitsByClass: true,
	})
	desired := newDesired(1, intent.WeightedService{Service: orders, Weight: 1})
	desired.Routes = append(desired.Routes, desired.Routes[0])
	desired.Routes[0].Kind, desired.Routes[0].Objective = intent.Upload, 1200*time.Millisecond
	desired.Routes[0].Virtual = netip.AddrPortFrom(virtual.Addr(), uploadPort)
	desired.Routes[1].Virtual = netip.AddrPortFrom(virtual.Addr(), smallPort)
	b.SetDesired(desired)
	b.SetUpstreams([]steering.Upstream{newUpstream(1, orders, ownZone, view.Ready)}, true)
	return &linkHarness{balancerHarness: b, link: &thinLink{bytesPerSecond: bitsPerSecond / 8, delivered: map[uint16][]time.Time{}}}
}

// transmit passes the actions to the link.
func (h *linkHarness) transmit() []steering.Action {
	actions := h.takeActions()
	for i := range actions {
		if actions[i].Kind != steering.Forward {
			continue
		}
		if leftAt, lost := h.link.send(h.now, len(actions[i].Data)); !lost {
			port := actions[i].Flow.Caller.Port()
			h.link.delivered[port] = append(h.link.delivered[port], leftAt)
		}
	}
	return actions
}

// advance lets time pass and calls Tick whenever it is due.
func (h *linkHarness) advance(d time.Duration) {
	for end := h.now.Add(d); ; {
		at := h.Deadline()
		if at.IsZero() || at.After(end) {
			h.now = end
			return
		}
		if at.After(h.now) {
			h.now = at
		}
		h.Tick(h.now, &h.actions)
		h.transmit()
	}
}

func (h *linkHarness) openFlowTo(port, virtualPort uint16) []steering.Action {
	opening := openingPacket(port)
	opening.Flow.Virtual = netip.AddrPortFrom(virtual.Addr(), virtualPort)
	h.HandlePacket(h.now, opening, make([]byte, 36), &h.actions)
	actions := h.transmit()
	message := steering.Message{Kind: steering.OpeningAccepted, Flow: opening.Flow, Sequence: answerSequence}
	h.HandleMessage(h.now, agentAddress(1), &message, &h.actions)
	h.transmit()
	return actions
}

// sendPacket sends packet number n of a flow.
func (h *linkHarness) sendPacket(port, virtualPort uint16, n, size int) {
	packet := callerPacket(port, size-36)
	packet.Flow.Virtual = netip.AddrPortFrom(virtual.Addr(), virtualPort)
	data := make([]byte, size)
	data[24], data[25] = byte(n>>8), byte(n)
	h.HandlePacket(h.now, packet, data, &h.actions)
	h.transmit()
}

func (h *linkHarness) sendWindow(port uint16, first int) {
	for n := first; n < first+windowPackets; n++ {
		h.sendPacket(port, uploadPort, n, packetBytes)
	}
}

// A window of an upload arrives at once and takes longer to leave than the link queues
// packets. No packet may be lost, and small requests that arrive meanwhile must leave
// within the time that their callers do not notice.
func TestUploadWindowOnThinLink(t *testing.T) {
	for name, bitsPerSecond := range map[string]float64{"2 Mbit/s": 2e6, "3.8 Mbit/s": 3.8e6, "5 Mbit/s": 5e6} {
		t.Run(name, func(t *testing.T) {
			h := newLinkHarness(t, bitsPerSecond)
			h.openFlowTo(1, uploadPort)
			h.openFlowTo(2, uploadPort)
			h.openFlowTo(100, smallPort)
			h.sendWindow(1, 0)
			h.sendWindow(2, 0)
			sentAt := map[int]time.Time{}
			for n := range 8 {
				h.advance(10 * time.Millisecond)
				sentAt[n] = h.now
				before := len(h.link.delivered[100])
				h.sendPacket(100, smallPort, n, 300)
				require.Len(t, h.link.delivered[100], before+1, "the small request passes bulk data")
				require.Less(t, h.link.delivered[100][before].Sub(sentAt[n]), 45*time.Millisecond)
			}
			h.advance(time.Second)
			require.Zero(t, h.link.lost)
			require.Len(t, h.link.delivered[1], windowPackets+1, "with the opening")
			require.Len(t, h.link.delivered[2], windowPackets+1)
		})
	}
}

// Uploads that share a link must complete one after the other. If they shared it
// equally, all would complete as late as the last.
func TestUploadsCompleteInOrderOfOpening(t *testing.T) {
	h := newLinkHarness(t, 2e6)
	for port := uint16(1); port <= 3; port++ {
		h.openFlowTo(port, uploadPort)
		h.advance(time.Millisecond)
	}
	for n := range windowPackets {
		for port := uint16(3); port >= 1; port-- {
			h.sendPacket(port, uploadPort, n, packetBytes)
		}
	}
	h.advance(time.Second)
	last := func(port uint16) time.Time { return h.link.delivered[port][len(h.link.delivered[port])-1] }
	require.Zero(t, h.link.lost)
	require.Less(t, last(1).Sub(start), 120*time.Millisecond)
	require.True(t, last(1).Before(last(2)))
	require.True(t, last(2).Before(last(3)))
	require.Less(t, last(3).Sub(start), 300*time.Millisecond, "the link is not left idle")
}

// A caller repeats a packet that waits for the link for 200 ms or longer. The copy must
// not use the link as well.
func TestRepeatedBulkPacketsAreSentOnce(t *testing.T) {
	h := newLinkHarness(t, 1e6)
	h.openFlowTo(1, uploadPort)
	h.openFlowTo(2, uploadPort)
	h.sendWindow(1, 0)
	h.sendWindow(2, 0)
	h.sendWindow(2, 0)
	h.advance(2 * time.Second)
	require.Len(t, h.link.delivered[2], windowPackets+1)
	h.sendPacket(2, uploadPort, 0, packetBytes)
	h.advance(time.Second)
	require.Len(t, h.link.delivered[2], windowPackets+2, "a copy of a packet that has left may be needed")
}

// Openings of uploads must be refused while those in progress take the link for too
// long, at once after those were opened, before their data arrives. Openings of other
// requests must not be refused for this. Later uploads must be admitted again.
func TestUploadsAreRefusedOnFullLink(t *testing.T) {
	h := newLinkHarness(t, 2e6)
	upload := func(port uint16) bool { return h.openFlowTo(port, uploadPort)[0].Kind == steering.Forward }
	finish := func(port uint16) {
		packet := callerPacket(port, 0)
		packet.Flow.Virtual = netip.AddrPortFrom(virtual.Addr(), uploadPort)
		packet.Flags |= steering.FIN
		h.HandlePacket(h.now, packet, make([]byte, 36), &h.actions)
		h.transmit()
	}
	// The sizes of earlier uploads show that each takes 170 ms of the link.
	for port := uint16(1); port <= 60; port++ {
		require.True(t, upload(port))
		for first := 0; first < 2*windowPackets; first += windowPackets {
			h.sendWindow(port, first)
			h.advance(100 * time.Millisecond)
		}
		finish(port)
	}
	admitted := 0
	for port := uint16(101); port <= 120; port++ {
		if !upload(port) {
			break
		}
		admitted++
	}
	require.Equal(t, 3, admitted, "half of the objective of 1.2 s")
	require.Equal(t, steering.Forward, h.openFlowTo(500, smallPort)[0].Kind)
	require.False(t, upload(130))
	finish(101)
	require.True(t, upload(131))
	h.advance(time.Second)
	require.True(t, upload(132), "uploads without packets do not count")
	require.Zero(t, h.link.lost)
}

// The memory for packets that wait must be bounded, and urgent packets must not be lost
// either when many of them arrive at once.
func TestHeldPacketsAreBounded(t *testing.T) {
	h := newLinkHarness(t, 1e5)
	h.openFlowTo(1, uploadPort)
	dropped := 0
	for n := range 2000 {
		packet := callerPacket(1, 1200)
		packet.Flow.Virtual = netip.AddrPortFrom(virtual.Addr(), uploadPort)
		data := make([]byte, packetBytes)
		data[24], data[25] = byte(n>>8), byte(n)
		h.HandlePacket(h.now, packet, data, &h.actions)
		for _, action := range h.transmit() {
			if action.Kind == steering.Drop {
				require.Equal(t, steering.LinkSaturated, action.Reason)
				dropped++
			}
		}
	}
	require.Greater(t, dropped, 1400)
	burst := newLinkHarness(t, 2e6)
	for port := uint16(1); port <= 40; port++ {
		burst.openFlowTo(port, smallPort)
		burst.advance(2 * time.Millisecond)
	}
	for port := uint16(1); port <= 40; port++ {
		burst.sendPacket(port, smallPort, 0, 900)
	}
	burst.advance(time.Second)
	require.Zero(t, burst.link.lost)
	for port := uint16(1); port <= 40; port++ {
		require.Len(t, burst.link.delivered[port], 2)
	}
}

// A balancer that was paused must not send what it held before the pause: the upstream
// may have left since, and the caller may have given up.
func TestHeldPacketsExpireDuringAPause(t *testing.T) {
	h := newLinkHarness(t, 2e6)
	h.openFlowTo(1, uploadPort)
	h.sendWindow(1, 0)
	sent := len(h.link.delivered[1])
	require.Less(t, sent, windowPackets)
	require.Equal(t, windowPackets+1-sent, h.HeldPackets(), "a stopping balancer waits for these")
	h.now = h.now.Add(5 * time.Second)
	h.Tick(h.now, &h.actions)
	for _, action := range h.transmit() {
		require.Equal(t, steering.Drop, action.Kind)
		require.Equal(t, steering.HeldTooLong, action.Reason)
	}
	require.Len(t, h.link.delivered[1], sent)
	h.sendWindow(1, 0)
	h.advance(time.Second)
	require.Len(t, h.link.delivered[1], sent+windowPackets, "later packets are sent again")
	require.Zero(t, h.HeldPackets())
}
