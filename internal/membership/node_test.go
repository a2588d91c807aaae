package membership_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/membership/fleet"
	"bramleyhold.example/bramleyhold/internal/memlink"
	"bramleyhold.example/bramleyhold/internal/view"
)

// build starts members round robin over zones and lets them find each other.
func build(t *testing.T, seed uint64, members, zones int) *fleet.Fleet {
	t.Helper()
	f := fleet.New(seed, 3)
	names := fleet.Zones(zones)
	for i := range members {
		f.Add(names[i%zones])
	}
	took, ok := f.RunUntil(time.Minute, func() bool { return allSee(f, view.Ready, members) })
	require.True(t, ok, "members did not find each other")
	t.Logf("%d members in %d zones complete after %v", members, zones, took)
	return f
}

func allSee(f *fleet.Fleet, status view.Status, count int) bool {
	for _, m := range f.Members {
		if !m.Stopped && m.CountStatus(status) != count {
			return false
		}
	}
	return true
}

// Guards against a lost VM that stays in the view, and against a stale record
// that outlives the return of the VM under the same address.
func TestLostMemberIsFailedAndReturnsAsNewIncarnation(t *testing.T) {
	f := build(t, 1, 30, 3)
	lost := f.Members[10]
	lost.Stopped = true
	took, ok := f.RunUntil(time.Minute, func() bool { return f.AllHaveStatus(lost, view.Failed) })
	require.True(t, ok)
	t.Logf("failed everywhere after %v", took)
	f.Restart(lost)
	_, ok = f.RunUntil(time.Minute, func() bool { return allSee(f, view.Ready, 30) })
	require.True(t, ok, "the new incarnation is not accepted everywhere")
	f.Run(time.Minute)
	require.True(t, allSee(f, view.Ready, 30), "a record of the old incarnation came back")
}

// Guards against one bad link, or one deaf or lying observer, that removes a
// member that all others reach.
func TestSingleObserverRemovesNobody(t *testing.T) {
	cases := map[string]func(f *fleet.Fleet, from, to *fleet.Member) bool{
		"one bad link":        func(f *fleet.Fleet, a, b *fleet.Member) bool { return pair(f, a, b, 4, 7) },
		"one-way loss":        func(f *fleet.Fleet, a, b *fleet.Member) bool { return a == f.Members[4] && b == f.Members[7] },
		"observer hears none": func(f *fleet.Fleet, _, b *fleet.Member) bool { return b == f.Members[4] },
		"observer reaches few": func(f *fleet.Fleet, a, b *fleet.Member) bool {
			return a == f.Members[4] && b != f.Members[1]
		},
	}
	for name, down := range cases {
		t.Run(name, func(t *testing.T) {
			f := build(t, 2, 20, 1)
			f.Quality = func(a, b *fleet.Member) memlink.Quality {
				return memlink.Quality{Delay: 5 * time.Millisecond, Down: down(f, a, b)}
			}
			f.Run(time.Minute)
			for _, subject := range f.Members {
				if subject != f.Members[4] {
					require.True(t, f.AllHaveStatus(subject, view.Ready), "%s was removed", subject.Node.Self().VM)
				}
			}
		})
	}
}

func pair(f *fleet.Fleet, a, b *fleet.Member, i, j int) bool {
	return a == f.Members[i] && b == f.Members[j] || a == f.Members[j] && b == f.Members[i]
}
