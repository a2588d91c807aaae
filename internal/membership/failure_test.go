package membership_test

import (
	"bytes"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/membership"
	"bramleyhold.example/bramleyhold/internal/membership/fleet"
	"bramleyhold.example/bramleyhold/internal/memlink"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/zone"
)

const link = 5 * time.Millisecond

func split(inside func(*fleet.Member) bool) func(a, b *fleet.Member) memlink.Quality {
	return func(a, b *fleet.Member) memlink.Quality {
		return memlink.Quality{Delay: link, Down: inside(a) != inside(b)}
	}
}

func count(f *fleet.Fleet, kind membership.EventKind) int {
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

// Guards against a view that loses the other region during a split before the
// lease ends, that flaps, or that is not repaired after the split heals.
func TestRegionSplitAndHeal(t *testing.T) {
	f := build(t, 3, 36, 6)
	f.Run(30 * time.Second)
	region := func(m *fleet.Member) bool { return m.Zone.Region == "r1" }
	f.Quality = split(region)
	f.Run(20 * time.Second)
	require.True(t, allSee(f, view.Ready, 36), "the last known view was dropped before the lease")
	_, ok := f.RunUntil(40*time.Second, func() bool { return allSee(f, view.Failed, 18) })
	require.True(t, ok, "the other region is still shown")
	changed := f.Members[0].Node.Self()
	changed.Status = view.Leaving
	f.Do(f.Members[0], f.Members[0].Node.Announce(f.Now, changed))
	f.Run(4 * time.Minute)
	f.Quality = fleet.GoodLink
	took, ok := f.RunUntil(time.Minute, func() bool { return allSee(f, view.Ready, 35) && f.AllHaveStatus(f.Members[0], view.Leaving) })
	require.True(t, ok, "not repaired")
	t.Logf("repaired %v after the split healed", took)
	require.Equal(t, 36*3, count(f, membership.ZoneLost), "a zone flapped")
	require.Equal(t, 36*3, count(f, membership.ZoneReturned), "a zone flapped")
	require.Zero(t, count(f, membership.Failed), "a split between zones is no verdict on members")
}

// Guards against a lost zone that stays eligible, and against records of the
// old incarnations that outlive its return.
func TestZoneLossAndReturn(t *testing.T) {
	f := build(t, 4, 24, 3)
	for _, m := range f.Members {
		m.Stopped = m.Zone == f.Members[1].Zone
	}
	_, ok := f.RunUntil(time.Minute, func() bool { return allSee(f, view.Failed, 8) })
	require.True(t, ok)
	for _, m := range f.Members {
		if m.Stopped {
			f.Restart(m)
		}
	}
	took, ok := f.RunUntil(time.Minute, func() bool { return allSee(f, view.Ready, 24) })
	require.True(t, ok)
	t.Logf("zone back after %v", took)
}

// Guards against a partition inside a zone that is not repaired because both
// sides hold each other for failed.
func TestSplitInsideZoneHeals(t *testing.T) {
	f := build(t, 5, 12, 1)
	left := func(m *fleet.Member) bool { return m.Address.Addr().As4()[3] < 6 }
	f.Quality = split(left)
	_, ok := f.RunUntil(2*time.Minute, func() bool { return allSee(f, view.Failed, 6) })
	require.True(t, ok)
	f.Quality = fleet.GoodLink
	took, ok := f.RunUntil(3*time.Minute, func() bool { return allSee(f, view.Ready, 12) })
	require.True(t, ok)
	t.Logf("healed after %v", took)
}

// Guards against small zones in which no second observer exists: a zone of two
// or one is observed from other zones, and a cluster of two by the lease.
func TestSmallZones(t *testing.T) {
	cases := map[string]struct {
		members, zones int
		lost           int
		within         time.Duration
	}{
		"zone of two":    {6, 3, 3, 15 * time.Second},
		"zone of one":    {3, 3, 1, 45 * time.Second},
		"cluster of two": {2, 1, 1, 45 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := build(t, 6, c.members, c.zones)
			lost := f.Members[c.lost]
			lost.Stopped = true
			took, ok := f.RunUntil(c.within, func() bool { return f.AllHaveStatus(lost, view.Failed) })
			require.True(t, ok)
			t.Logf("failed after %v", took)
			f.Restart(lost)
			_, ok = f.RunUntil(time.Minute, func() bool { return allSee(f, view.Ready, c.members) })
			require.True(t, ok, "did not return")
		})
	}
}

// Guards against false verdicts and lost changes on bad links, and against
// messages that exceed the datagram.
func TestLossDelayDuplicationReordering(t *testing.T) {
	f := build(t, 7, 40, 2)
	f.Quality = func(_, _ *fleet.Member) memlink.Quality {
		return memlink.Quality{Delay: link, Jitter: 20 * time.Millisecond, Loss: 0.05, Duplicate: 0.05}
	}
	f.Run(2 * time.Minute)
	require.Zero(t, count(f, membership.Failed))
	leaving := f.Members[9].Node.Self()
	leaving.Status = view.Leaving
	f.Do(f.Members[9], f.Members[9].Node.Announce(f.Now, leaving))
	took, ok := f.RunUntil(30*time.Second, func() bool { return f.AllHaveStatus(f.Members[9], view.Leaving) })
	require.True(t, ok)
	t.Logf("spread after %v", took)
	for _, m := range f.Members {
		require.LessOrEqual(t, m.MaxBody, membership.MaxBody)
	}
}

// Guards against a burst of joins that is not absorbed, and against a planned
// leave that is taken for a failure.
func TestBurstOfJoinsAndLeave(t *testing.T) {
	f := build(t, 8, 10, 1)
	for range 90 {
		f.Add(f.Members[0].Zone)
	}
	took, ok := f.RunUntil(time.Minute, func() bool { return f.AllSeeMembers(100) })
	require.True(t, ok)
	t.Logf("100 members complete after %v", took)
	gone := f.Members[50]
	left := gone.Node.Self()
	left.Status = view.Left
	f.Do(gone, gone.Node.Announce(f.Now, left))
	f.Run(time.Second)
	gone.Stopped = true
	f.Run(30 * time.Second)
	require.True(t, f.AllHaveStatus(gone, view.Left))
	require.Zero(t, count(f, membership.Failed))
}

// Guards against a delegate whose loss cuts its zone off from the others.
func TestDelegatesLost(t *testing.T) {
	f := build(t, 9, 18, 3)
	f.Run(10 * time.Second)
	f.ResetCounters()
	for range 2 {
		busiest := f.Members[0]
		for _, m := range f.Members {
			if !m.Stopped && m.Sent > busiest.Sent {
				busiest = m
			}
		}
		busiest.Stopped = true
		f.Run(20 * time.Second)
		require.True(t, f.AllHaveStatus(busiest, view.Failed))
	}
	f.Run(time.Minute)
	require.Zero(t, count(f, membership.ZoneLost))
}

// Guards against decisions that depend on the clock, on map order or on other
// randomness than the seed.
func TestSameSeedSameMessages(t *testing.T) {
	run := func() (sent []int64, events []membership.Event) {
		f := fleet.New(10, 2)
		for i := range 30 {
			f.Add(fleet.Zones(6)[i%6])
		}
		f.Quality = func(_, _ *fleet.Member) memlink.Quality { return memlink.Quality{Delay: link, Loss: 0.1} }
		f.Run(20 * time.Second)
		f.Members[3].Stopped = true
		f.Run(20 * time.Second)
		for _, m := range f.Members {
			sent, events = append(sent, m.Sent), append(events, m.Events...)
		}
		return sent, events
	}
	sentA, eventsA := run()
	sentB, eventsB := run()
	require.Equal(t, sentA, sentB)
	require.Equal(t, eventsA, eventsB)
}

// FuzzHandle guards against panics and oversized answers on arbitrary input.
func FuzzHandle(f *testing.F) {
	source := fleet.New(11, 1)
	for range 3 {
		source.Add(fleet.Zones(1)[0])
	}
	for i := range 30 {
		for _, s := range source.Members[1+i%2].Node.Tick(fleet.Epoch.Add(time.Duration(i) * time.Second)).Sends {
			f.Add(s.Body)
		}
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		self := source.Members[0].Node.Self()
		node := membership.New(membership.Config{Self: self, Rand: rand.New(rand.NewPCG(1, 1))})
		for _, s := range node.Handle(fleet.Epoch, source.Members[1].Address, body).Sends {
			require.LessOrEqual(t, len(s.Body), membership.MaxBody)
		}
		node.Tick(fleet.Epoch)
	})
}

// Guards against a lying observer: a helper that denies having reached anybody
// must not remove a member, even on links that lose messages.
func TestLyingHelperRemovesNobody(t *testing.T) {
	f := build(t, 12, 20, 1)
	liar := f.Members[5]
	denied := 0
	f.Tamper = func(from, _ *fleet.Member, body []byte) []byte {
		var m map[int]any
		require.NoError(t, cbor.Unmarshal(body, &m))
		const kindField, targetField, ack, nack = 1, 4, uint64(2), uint64(4)
		if from != liar || m[kindField] != ack || m[targetField] == nil {
			return body
		}
		denied++
		m[kindField] = nack
		forged, err := cbor.Marshal(m)
		require.NoError(t, err)
		return forged
	}
	f.Quality = func(_, _ *fleet.Member) memlink.Quality { return memlink.Quality{Delay: link, Loss: 0.05} }
	f.Run(3 * time.Minute)
	require.Positive(t, denied)
	require.Zero(t, count(f, membership.Failed))
}

// Guards against traffic between zones that grows with their size: a change
// crosses each pair of zones once or twice.
func TestChangeCrossesZonesOnceOrTwice(t *testing.T) {
	f := build(t, 13, 60, 3)
	f.Run(30 * time.Second)
	subject := f.Members[20]
	crossed := map[[2]zone.ID]int{}
	f.Tamper = func(from, to *fleet.Member, body []byte) []byte {
		if from.Zone != to.Zone && bytes.Contains(body, []byte(subject.Node.Self().VM)) {
			crossed[[2]zone.ID{from.Zone, to.Zone}]++
		}
		return body
	}
	leaving := subject.Node.Self()
	leaving.Status = view.Leaving
	f.Do(subject, subject.Node.Announce(f.Now, leaving))
	f.Run(5 * time.Second)
	require.True(t, f.AllHaveStatus(subject, view.Leaving))
	require.Len(t, crossed, 2, "a zone passed on the change of another")
	for pair, times := range crossed {
		require.Equal(t, subject.Zone, pair[0])
		require.LessOrEqual(t, times, 2)
	}
}

// Guards against a process that stays alone when it restarts while no seed is
// reachable.
func TestRestartWithoutSeeds(t *testing.T) {
	f := build(t, 14, 16, 2)
	restarted := f.Members[8]
	for _, m := range append(f.Members[:3:3], restarted) {
		m.Stopped = true
	}
	f.Run(30 * time.Second)
	require.True(t, f.AllHaveStatus(restarted, view.Failed))
	f.Restart(restarted)
	_, ok := f.RunUntil(time.Minute, func() bool { return allSee(f, view.Ready, 13) })
	require.True(t, ok)
}
