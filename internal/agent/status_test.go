package agent

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a status of the upstream without its slots and limits, and
// against a failure while there is no view.
func TestLoadForOperators(t *testing.T) {
	s := longSetup()
	x := newExchange(t, s)
	holder := x.fill(0, 1)[0].holder()
	load := holder.core.Load()
	require.Equal(t, s.slots, load.Slots)
	require.Equal(t, 1, load.Flows)
	require.Equal(t, 2000, load.MaxFlows)
	require.Zero(t, New(holder.cfg).Load().Slots, "no view yet")
}
