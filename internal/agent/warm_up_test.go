package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A cold upstream must get no more openings than the contract states, although its slots
// are free, and the others must take the rest at once.
func TestColdUpstreamGetsStatedRate(t *testing.T) {
	setup := tcpShortRequestSetup()
	setup.slots, setup.contract.WarmUp, setup.contract.WarmUpRate = 50, 3*time.Second, 8
	cluster := newTestCluster(t, setup)
	cold := cluster.node(1).core
	cold.ReportWarmUp(cluster.now, 3*time.Second)
	began := cluster.now
	var delivered []time.Duration
	for i := 0; cluster.now.Sub(began) < 3*time.Second; i++ {
		before := cold.OpeningCounters().Openings
		cluster.caller(i).connect()
		if cold.OpeningCounters().Openings > before {
			delivered = append(delivered, cluster.now.Sub(began))
		}
		require.EqualValues(t, i+1, cluster.usedSlots(), "every opening must be accepted at once")
	}
	require.Greater(t, delivered[0], time.Second, "what a previous process let in is not known")
	require.Greater(t, len(delivered), 8)
	for i := range delivered[8:] {
		require.Greater(t, delivered[i+8]-delivered[i], time.Second, "more than the stated rate")
	}
}
