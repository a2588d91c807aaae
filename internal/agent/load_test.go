package agent

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The load must include the slots and limits of the upstream, and be empty while
// there is no view.
func TestLoadStatus(t *testing.T) {
	setup := tcpLongFlowSetup()
	cluster := newTestCluster(t, setup)
	holder := cluster.connectCallers(0, 1)[0].holder()
	load := holder.core.Load()
	require.Equal(t, setup.slots, load.Slots)
	require.Equal(t, 1, load.Flows)
	require.Equal(t, 2000, load.MaxFlows)
	require.Zero(t, New(holder.cfg).Load().Slots, "no view yet")
}
