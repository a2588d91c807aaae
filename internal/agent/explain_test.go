package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/flow"
)

// Guards against an explanation that does not name the holder of a flow, or
// names one on agents that know nothing about it, and against a status of the
// upstream without its slots.
func TestKnowledgeOfFlow(t *testing.T) {
	s := longSetup()
	s.nodes = 4
	x := newExchange(t, s)
	c := x.fill(0, 1)[0]
	x.run(2 * time.Second)
	holder := c.holder()
	require.NotNil(t, holder)
	registered := 0
	for _, n := range x.nodes {
		known := n.core.Know(c.key)
		if n == holder {
			require.Equal(t, Knowledge{Phase: flow.Established}, known)
			continue
		}
		require.Zero(t, known.Phase)
		if known.Holder != "" {
			require.Equal(t, holder.id, known.Holder)
			registered++
		}
	}
	require.Equal(t, registrationCopies, registered)
	load := holder.core.Load()
	require.Equal(t, s.slots, load.Slots)
	require.Equal(t, 1, load.Flows)
	require.Zero(t, New(holder.cfg).Load().Slots, "no view yet")
}
