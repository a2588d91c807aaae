package membership_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/membership/simfleet"
	"bramleyhold.example/bramleyhold/internal/memlink"
	"bramleyhold.example/bramleyhold/internal/view"
)

// startFleet starts members round robin over zones and waits until each member sees
// all members as ready.
func startFleet(t *testing.T, seed uint64, members, zones int) *simfleet.Fleet {
	t.Helper()
	f := simfleet.New(seed, 3)
	zoneIDs := simfleet.Zones(zones)
	for i := range members {
		f.Add(zoneIDs[i%zones])
	}
	elapsed, ok := f.RunUntil(time.Minute, func() bool { return allCount(f, view.Ready, members) })
	require.True(t, ok, "not all members see each other as ready")
	t.Logf("%d members in %d zones see each other after %v", members, zones, elapsed)
	return f
}

// allCount reports whether every running member counts count members with the
// status.
func allCount(f *simfleet.Fleet, status view.Status, count int) bool {
	for _, m := range f.Members {
		if !m.Stopped && m.CountWithStatus(status) != count {
			return false
		}
	}
	return true
}

// A stopped VM must be shown as failed everywhere. When it restarts under the same
// address, records of the previous incarnation must not replace the new one.
func TestLostMemberIsFailedAndReturnsAsNewIncarnation(t *testing.T) {
	f := startFleet(t, 1, 30, 3)
	stopped := f.Members[10]
	stopped.Stopped = true
	elapsed, ok := f.RunUntil(time.Minute, func() bool { return f.AllHaveStatus(stopped, view.Failed) })
	require.True(t, ok)
	t.Logf("failed everywhere after %v", elapsed)
	f.Restart(stopped)
	_, ok = f.RunUntil(time.Minute, func() bool { return allCount(f, view.Ready, 30) })
	require.True(t, ok, "the new incarnation is not accepted everywhere")
	f.Run(time.Minute)
	require.True(t, allCount(f, view.Ready, 30), "a record of the old incarnation came back")
}

// One bad link, or one observer that does not receive or send all messages, must not
// cause a member to be marked as failed that all others reach.
func TestSingleObserverRemovesNoMember(t *testing.T) {
	cases := map[string]func(f *simfleet.Fleet, from, to *simfleet.Member) bool{
		"one bad link":              func(f *simfleet.Fleet, a, b *simfleet.Member) bool { return connects(f, a, b, 4, 7) },
		"one-way loss":              func(f *simfleet.Fleet, a, b *simfleet.Member) bool { return a == f.Members[4] && b == f.Members[7] },
		"observer receives nothing": func(f *simfleet.Fleet, _, b *simfleet.Member) bool { return b == f.Members[4] },
		"observer reaches few": func(f *simfleet.Fleet, a, b *simfleet.Member) bool {
			return a == f.Members[4] && b != f.Members[1]
		},
	}
	for name, linkDown := range cases {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, 2, 20, 1)
			f.LinkQuality = func(a, b *simfleet.Member) memlink.Quality {
				return memlink.Quality{Delay: 5 * time.Millisecond, Down: linkDown(f, a, b)}
			}
			f.Run(time.Minute)
			for _, subject := range f.Members {
				if subject != f.Members[4] {
					require.True(t, f.AllHaveStatus(subject, view.Ready), "%s is not shown as ready everywhere", subject.Node.Self().VM)
				}
			}
		})
	}
}

// connects reports whether the link connects members i and j, in either direction.
func connects(f *simfleet.Fleet, a, b *simfleet.Member, i, j int) bool {
	return a == f.Members[i] && b == f.Members[j] || a == f.Members[j] && b == f.Members[i]
}
