package admission_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/admission"
	"bramleyhold.example/bramleyhold/internal/intent"
)

// A request of the lowest class on an open flow must wait while urgent ones would be late
// behind it, and must get the room back at once. Other requests must not wait.
func TestLowestClassIsDeferred(t *testing.T) {
	p := newPolicy(start, urgent, feed)
	p.Decide(start, opening(urgent), loaded(0))
	require.False(t, p.Defers(start, feed, loaded(limit-1)))
	require.False(t, p.Defers(start, feed, loaded(8)), "half of the budget has time for 8 requests of 50 ms in 3 slots, and an urgent one")
	require.True(t, p.Defers(start, feed, loaded(9)))
	require.False(t, p.Defers(start, urgent, loaded(9)))
	require.False(t, p.Defers(start, intent.Class{Priority: feed.Priority, Kind: intent.Upload}, loaded(9)))
	awaited := loaded(limit - 1)
	awaited.Awaited[admission.LevelOf(urgent)] = 8
	require.True(t, p.Defers(start, feed, awaited), "urgent requests are on their way")

	alone := newPolicy(start, feed)
	require.False(t, alone.Defers(start, feed, loaded(50)), "no other class is in use")
}
