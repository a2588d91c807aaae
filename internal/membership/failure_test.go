package membership_test

import (
	"bytes"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/membership"
	"bramleyhold.example/bramleyhold/internal/membership/simfleet"
	"bramleyhold.example/bramleyhold/internal/memlink"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/zone"
)

const linkDelay = 5 * time.Millisecond

// partition returns the quality of links in a network that is split into two parts.
func partition(inFirstPart func(*simfleet.Member) bool) func(a, b *simfleet.Member) memlink.Quality {
	return func(a, b *simfleet.Member) memlink.Quality {
		return memlink.Quality{Delay: linkDelay, Down: inFirstPart(a) != inFirstPart(b)}
	}
}

func countEvents(f *simfleet.Fleet, kind membership.EventKind) int {
	total := 0
	for _, m := range f.Members {
		for _, e := range m.Events {
			if e.Kind == kind {
				total++
			}
		}
	}
	return total
}

// A partition between regions must not change the status of the other region's
// zones before their lease expires. The status must not flap, and all views must
// converge after the partition heals.
func TestRegionPartitionAndRecovery(t *testing.T) {
	f := startFleet(t, 3, 36, 6)
	f.Run(30 * time.Second)
	inFirstRegion := func(m *simfleet.Member) bool { return m.Zone.Region == "r1" }
	f.LinkQuality = partition(inFirstRegion)
	f.Run(20 * time.Second)
	require.True(t, allCount(f, view.Ready, 36), "members were shown as failed before the lease expired")
	_, ok := f.RunUntil(40*time.Second, func() bool { return allCount(f, view.Failed, 18) })
	require.True(t, ok, "members of the other region are not shown as failed after the lease")
	announcement := f.Members[0].Node.Self()
	announcement.Status = view.Leaving
	f.ProcessOutput(f.Members[0], f.Members[0].Node.Announce(f.Now, announcement))
	f.Run(4 * time.Minute)
	f.LinkQuality = simfleet.GoodLink
	elapsed, ok := f.RunUntil(time.Minute, func() bool { return allCount(f, view.Ready, 35) && f.AllHaveStatus(f.Members[0], view.Leaving) })
	require.True(t, ok, "views did not converge after the partition healed")
	t.Logf("views converged %v after the partition healed", elapsed)
	require.Equal(t, 36*3, countEvents(f, membership.ZoneLost), "a zone flapped")
	require.Equal(t, 36*3, countEvents(f, membership.ZoneReturned), "a zone flapped")
	require.Zero(t, countEvents(f, membership.Failed), "a partition between zones must not mark single members as failed")
}

// All members of a lost zone must be shown as failed. When they restart, records of
// their previous incarnations must not prevent their return.
func TestZoneLossAndReturn(t *testing.T) {
	f := startFleet(t, 4, 24, 3)
	for _, m := range f.Members {
		m.Stopped = m.Zone == f.Members[1].Zone
	}
	_, ok := f.RunUntil(time.Minute, func() bool { return allCount(f, view.Failed, 8) })
	require.True(t, ok)
	for _, m := range f.Members {
		if m.Stopped {
			f.Restart(m)
		}
	}
	elapsed, ok := f.RunUntil(time.Minute, func() bool { return allCount(f, view.Ready, 24) })
	require.True(t, ok)
	t.Logf("zone returned after %v", elapsed)
}

// After a partition inside a zone, each side has marked the other as failed. Both
// must still contact each other again when the partition heals.
func TestPartitionInsideZoneHeals(t *testing.T) {
	f := startFleet(t, 5, 12, 1)
	lowAddress := func(m *simfleet.Member) bool { return m.Address.Addr().As4()[3] < 6 }
	f.LinkQuality = partition(lowAddress)
	_, ok := f.RunUntil(2*time.Minute, func() bool { return allCount(f, view.Failed, 6) })
	require.True(t, ok)
	f.LinkQuality = simfleet.GoodLink
	elapsed, ok := f.RunUntil(3*time.Minute, func() bool { return allCount(f, view.Ready, 12) })
	require.True(t, ok)
	t.Logf("healed after %v", elapsed)
}

// Failures must be detected in zones without a second observer. A zone of one or two
// members is observed by members of other zones. In a cluster of two, the lease of
// the failed member expires.
func TestSmallZones(t *testing.T) {
	cases := map[string]struct {
		members, zones int
		stopped        int
		deadline       time.Duration
	}{
		"zone of two":    {6, 3, 3, 15 * time.Second},
		"zone of one":    {3, 3, 1, 45 * time.Second},
		"cluster of two": {2, 1, 1, 45 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, 6, c.members, c.zones)
			stopped := f.Members[c.stopped]
			stopped.Stopped = true
			elapsed, ok := f.RunUntil(c.deadline, func() bool { return f.AllHaveStatus(stopped, view.Failed) })
			require.True(t, ok)
			t.Logf("failed after %v", elapsed)
			f.Restart(stopped)
			_, ok = f.RunUntil(time.Minute, func() bool { return allCount(f, view.Ready, c.members) })
			require.True(t, ok, "the restarted member did not return")
		})
	}
}

// Loss, jitter and duplication must not cause false failures or lost changes. No
// message may exceed the datagram size.
func TestLossDelayDuplicationReordering(t *testing.T) {
	f := startFleet(t, 7, 40, 2)
	f.LinkQuality = func(_, _ *simfleet.Member) memlink.Quality {
		return memlink.Quality{Delay: linkDelay, Jitter: 20 * time.Millisecond, Loss: 0.05, Duplicate: 0.05}
	}
	f.Run(2 * time.Minute)
	require.Zero(t, countEvents(f, membership.Failed))
	announcement := f.Members[9].Node.Self()
	announcement.Status = view.Leaving
	f.ProcessOutput(f.Members[9], f.Members[9].Node.Announce(f.Now, announcement))
	elapsed, ok := f.RunUntil(30*time.Second, func() bool { return f.AllHaveStatus(f.Members[9], view.Leaving) })
	require.True(t, ok)
	t.Logf("change received everywhere after %v", elapsed)
	for _, m := range f.Members {
		require.LessOrEqual(t, m.MaxBodyBytes, membership.MaxBody)
	}
}

// 90 members that join at once must all be seen everywhere. A planned leave must
// not be reported as a failure.
func TestBurstOfJoinsAndLeave(t *testing.T) {
	f := startFleet(t, 8, 10, 1)
	for range 90 {
		f.Add(f.Members[0].Zone)
	}
	elapsed, ok := f.RunUntil(time.Minute, func() bool { return f.AllHaveMemberCount(100) })
	require.True(t, ok)
	t.Logf("all 100 members are seen everywhere after %v", elapsed)
	departed := f.Members[50]
	announcement := departed.Node.Self()
	announcement.Status = view.Left
	f.ProcessOutput(departed, departed.Node.Announce(f.Now, announcement))
	f.Run(time.Second)
	departed.Stopped = true
	f.Run(30 * time.Second)
	require.True(t, f.AllHaveStatus(departed, view.Left))
	require.Zero(t, countEvents(f, membership.Failed))
}

// The failure of delegates must not cut their zone off from the other zones. The
// members that send most are delegates.
func TestDelegateFailureKeepsZoneReachable(t *testing.T) {
	f := startFleet(t, 9, 18, 3)
	f.Run(10 * time.Second)
	f.ResetCounters()
	for range 2 {
		busiest := f.Members[0]
		for _, m := range f.Members {
			if !m.Stopped && m.SentBytes > busiest.SentBytes {
				busiest = m
			}
		}
		busiest.Stopped = true
		f.Run(20 * time.Second)
		require.True(t, f.AllHaveStatus(busiest, view.Failed))
	}
	f.Run(time.Minute)
	require.Zero(t, countEvents(f, membership.ZoneLost))
}

// Two runs with the same seed must send the same messages. A difference means that a
// decision depends on the clock, on map order or on unseeded randomness.
func TestSameSeedGivesSameMessages(t *testing.T) {
	run := func() (sent []int64, events []membership.Event) {
		f := simfleet.New(10, 2)
		for i := range 30 {
			f.Add(simfleet.Zones(6)[i%6])
		}
		f.LinkQuality = func(_, _ *simfleet.Member) memlink.Quality { return memlink.Quality{Delay: linkDelay, Loss: 0.1} }
		f.Run(20 * time.Second)
		f.Members[3].Stopped = true
		f.Run(20 * time.Second)
		for _, m := range f.Members {
			sent, events = append(sent, m.SentBytes), append(events, m.Events...)
		}
		return sent, events
	}
	sentA, eventsA := run()
	sentB, eventsB := run()
	require.Equal(t, sentA, sentB)
	require.Equal(t, eventsA, eventsB)
}

// FuzzHandle guards against panics and oversized responses on arbitrary input.
func FuzzHandle(f *testing.F) {
	source := simfleet.New(11, 1)
	for range 3 {
		source.Add(simfleet.Zones(1)[0])
	}
	for i := range 30 {
		for _, s := range source.Members[1+i%2].Node.Tick(simfleet.StartTime.Add(time.Duration(i) * time.Second)).Messages {
			f.Add(s.Body)
		}
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		self := source.Members[0].Node.Self()
		node := membership.New(membership.Config{Self: self, Rand: rand.New(rand.NewPCG(1, 1))})
		for _, s := range node.Handle(simfleet.StartTime, source.Members[1].Address, body).Messages {
			require.LessOrEqual(t, len(s.Body), membership.MaxBody)
		}
		node.Tick(simfleet.StartTime)
	})
}

// A relay that replaces its acks with nacks must not cause a member to be marked as
// failed, even on links that lose messages.
func TestFalseNacksRemoveNoMember(t *testing.T) {
	f := startFleet(t, 12, 20, 1)
	forger := f.Members[5]
	forgedNacks := 0
	f.Tamper = func(from, _ *simfleet.Member, body []byte) []byte {
		var fields map[int]any
		require.NoError(t, cbor.Unmarshal(body, &fields))
		const kindField, targetField, ack, nack = 1, 4, uint64(2), uint64(4)
		if from != forger || fields[kindField] != ack || fields[targetField] == nil {
			return body
		}
		forgedNacks++
		fields[kindField] = nack
		forged, err := cbor.Marshal(fields)
		require.NoError(t, err)
		return forged
	}
	f.LinkQuality = func(_, _ *simfleet.Member) memlink.Quality { return memlink.Quality{Delay: linkDelay, Loss: 0.05} }
	f.Run(3 * time.Minute)
	require.Positive(t, forgedNacks)
	require.Zero(t, countEvents(f, membership.Failed))
}

// Traffic between zones must not grow with their size: a change crosses each pair
// of zones once or twice.
func TestChangeCrossesZonesOnceOrTwice(t *testing.T) {
	f := startFleet(t, 13, 60, 3)
	f.Run(30 * time.Second)
	subject := f.Members[20]
	messagesByZonePair := map[[2]zone.ID]int{}
	f.Tamper = func(from, to *simfleet.Member, body []byte) []byte {
		if from.Zone != to.Zone && bytes.Contains(body, []byte(subject.Node.Self().VM)) {
			messagesByZonePair[[2]zone.ID{from.Zone, to.Zone}]++
		}
		return body
	}
	announcement := subject.Node.Self()
	announcement.Status = view.Leaving
	f.ProcessOutput(subject, subject.Node.Announce(f.Now, announcement))
	f.Run(5 * time.Second)
	require.True(t, f.AllHaveStatus(subject, view.Leaving))
	require.Len(t, messagesByZonePair, 2, "a zone forwarded a change of another zone")
	for pair, times := range messagesByZonePair {
		require.Equal(t, subject.Zone, pair[0])
		require.LessOrEqual(t, times, 2)
	}
}

// A process that restarts while no seed is reachable must still join: members of
// its zone contact it while they have it marked as failed.
func TestRestartWithoutSeeds(t *testing.T) {
	f := startFleet(t, 14, 16, 2)
	restarted := f.Members[8]
	for _, m := range append(f.Members[:3:3], restarted) {
		m.Stopped = true
	}
	f.Run(30 * time.Second)
	require.True(t, f.AllHaveStatus(restarted, view.Failed))
	f.Restart(restarted)
	_, ok := f.RunUntil(time.Minute, func() bool { return allCount(f, view.Ready, 13) })
	require.True(t, ok)
}
