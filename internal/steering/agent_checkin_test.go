package steering_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/steering"
	"bramleyhold.example/bramleyhold/internal/view"
)

// Flows that the agent adopted before the first check-in of their upstream must not be
// reset by that check-in.
func TestFlowsAdoptedBeforeFirstCheckIn(t *testing.T) {
	a := newAgentHarness(t)
	a.handleCallerPacket(callerPacket(1, 10), ownHeader)
	a.handleUpstreamPacket(upstreamPacket(1, steering.ACK, 10))
	require.True(t, a.checkIn(newCheckIn(7, 30, view.Ready)))
	require.Empty(t, a.takeActions())
	require.Equal(t, steering.Deliver, a.handleCallerPacket(callerPacket(1, 10), ownHeader)[0].Kind)
	packet := callerPacket(1, 10)
	packet.Flags |= steering.Returned
	require.Equal(t, steering.SendMessage, a.handleUpstreamPacket(packet)[0].Kind)
}

// After a probe has found no upstream, the agent must respond FlowNotHeld, also
// when an upstream starts later. Otherwise the VM of an upstream that has left
// keeps lookups uncertain.
func TestAgentWithoutUpstream(t *testing.T) {
	a := newAgentHarness(t)
	require.Equal(t, steering.FlowUndetermined, a.lookup(1, answerSequence+1))
	require.True(t, a.ConfirmNoUpstream())
	require.False(t, a.ConfirmNoUpstream())
	require.Equal(t, steering.FlowNotHeld, a.lookup(1, answerSequence+1))
	require.Equal(t, steering.StatusUnknown, a.handleCallerPacket(openingPacket(2), ownHeader)[0].Message.Verdict)
	require.True(t, a.checkIn(newCheckIn(7, 30, view.Ready)))
	require.Equal(t, steering.FlowNotHeld, a.lookup(1, answerSequence+1))
	require.False(t, a.ConfirmNoUpstream(), "the upstream has checked in")
	a.openFlow(3)
	require.Equal(t, steering.FlowHeld, a.lookup(3, answerSequence+1))
}

// An upstream that started together with its agent holds no earlier flow, and the
// agent must respond FlowNotHeld. Otherwise lookups stay uncertain after a loss of
// power. An upstream that started earlier may hold any flow.
func TestUpstreamThatStartedWithItsAgent(t *testing.T) {
	for name, test := range map[string]struct {
		startOffset time.Duration
		sequence    uint64
		want        steering.Verdict
	}{
		"started just before":                              {-20 * time.Millisecond, 1, steering.FlowNotHeld},
		"started after":                                    {300 * time.Millisecond, 2, steering.FlowNotHeld},
		"started before":                                   {-time.Second, 1, steering.FlowUndetermined},
		"clock set back, upstream is old":                  {time.Hour, 1, steering.FlowUndetermined},
		"clock set back, upstream has checked in before":   {300 * time.Millisecond, 9, steering.FlowUndetermined},
		"clock set forward, upstream looks older":          {-time.Hour, 1, steering.FlowUndetermined},
		"older one whose check-ins got no acknowledgement": {-time.Minute, 40, steering.FlowUndetermined},
	} {
		t.Run(name, func(t *testing.T) {
			a := newAgentHarness(t)
			a.now = start.Add(time.Second)
			checkIn := newCheckIn(7, test.sequence, view.Ready)
			checkIn.StartedAt = start.Add(test.startOffset)
			a.checkIn(checkIn)
			require.Equal(t, test.want, a.lookup(1, answerSequence+1))
		})
	}
}

// Late check-ins of an upstream that was replaced at the same address must be ignored.
func TestCheckInsOfPreviousIncarnations(t *testing.T) {
	a := newAgentHarness(t)
	require.True(t, a.checkIn(newCheckIn(5, 3, view.Ready)))
	require.False(t, a.checkIn(newCheckIn(5, 4, view.Ready)), "nothing has changed")
	require.False(t, a.checkIn(newCheckIn(4, 90, view.Leaving)))
	require.False(t, a.checkIn(newCheckIn(5, 2, view.Leaving)))
	require.True(t, a.checkIn(newCheckIn(6, 0, view.Ready)), "sequence numbers start again")
	current, checkedIn := a.Upstream()
	require.True(t, checkedIn)
	require.EqualValues(t, 6, current.Incarnation)
}

// Guards against an agent that stops following its upstream: another writer sends one
// check-in with a far higher sequence number in its name. That the upstream is leaving
// must not be acknowledged while it is ignored, and must be heard soon.
func TestSequenceNumberOfAnotherWriter(t *testing.T) {
	a := newAgentHarness(t)
	accepted := func(sequence uint64, status view.Status) bool {
		_, accepted := a.HandleCheckIn(a.now, newCheckIn(5, sequence, status), &a.actions)
		a.now = a.now.Add(time.Second)
		return accepted
	}
	require.True(t, accepted(3, view.Ready))
	require.True(t, accepted(1<<52, view.Ready))
	require.True(t, accepted(4, view.Ready), "reports nothing new")
	require.False(t, accepted(5, view.Leaving))
	require.False(t, accepted(5, view.Leaving), "the same check-in again")
	require.True(t, accepted(6, view.Leaving))
	current, _ := a.Upstream()
	require.Equal(t, view.Leaving, current.Status)
	require.False(t, accepted(5, view.Ready), "a late check-in")
	require.True(t, accepted(7, view.Leaving))
}

// If the VM's clock was ahead when the previous process started, and was set back
// since, the check-ins of the current process look older. They must not all be
// ignored; the agent would miss that the upstream is leaving. A process whose
// check-ins arrive while the current process still sends must be ignored.
func TestIncarnationsAfterClockSetBack(t *testing.T) {
	accepted := func(a *agentHarness, checkIn steering.CheckIn) bool {
		_, accepted := a.HandleCheckIn(a.now, checkIn, &a.actions)
		a.now = a.now.Add(time.Second)
		return accepted
	}
	t.Run("previous process sends no check-ins", func(t *testing.T) {
		a := newAgentHarness(t)
		require.True(t, accepted(a, newCheckIn(900, 3, view.Ready)))
		a.openFlow(1)
		require.False(t, accepted(a, newCheckIn(5, 1, view.Ready)))
		require.False(t, accepted(a, newCheckIn(5, 2, view.Ready)))
		require.False(t, accepted(a, newCheckIn(5, 2, view.Leaving)), "the same check-in again")
		require.True(t, accepted(a, newCheckIn(5, 3, view.Leaving)))
		require.Equal(t, steering.UpstreamFailed, a.takeActions()[0].Reason, "the flow of the previous process")
		require.Equal(t, steering.NotAccepting, a.handleCallerPacket(openingPacket(2), ownHeader)[0].Message.Verdict)
	})
	t.Run("previous process still sends check-ins", func(t *testing.T) {
		a := newAgentHarness(t)
		for sequence := uint64(1); sequence < 9; sequence++ {
			require.True(t, accepted(a, newCheckIn(900, sequence, view.Ready)))
			require.False(t, accepted(a, newCheckIn(5, sequence, view.Leaving)), "a process with an earlier start time")
		}
	})
	t.Run("previous process has exited", func(t *testing.T) {
		a := newAgentHarness(t)
		require.True(t, accepted(a, newCheckIn(900, 3, view.Ready)))
		require.True(t, a.UpstreamExited(a.now, 900, &a.actions))
		require.True(t, accepted(a, newCheckIn(5, 1, view.Ready)))
		require.Equal(t, steering.Deliver, a.handleCallerPacket(openingPacket(2), ownHeader)[0].Kind)
	})
}
