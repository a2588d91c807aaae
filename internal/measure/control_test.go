package measure

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against changes that are lost, applied twice or answered in two ways,
// against nodes that go back or stay behind, and against changes that take
// longer than 8 s, when control VMs or operators fail.
func TestControlScenarios(t *testing.T) {
	// changes are the accepted ones: 3 set the services up, and of concurrent
	// changes of one revision exactly one is accepted.
	for scenario, changes := range map[string]int64{
		"operator-race": 3 + 50, "resend": 3 + 45,
		"leader-loss": 0, "late-restart": 0, "control-partition": 0, "second-loss-after-repair": 0,
	} {
		t.Run(scenario, func(t *testing.T) {
			t.Parallel()
			r := run(t, short(scenario, Bramley))
			requireInvariants(t, r)
			require.Zero(t, r.ChangesUnanswered)
			require.Zero(t, r.NodesBehind)
			require.Greater(t, r.ChangesAccepted, int64(30), "the majority must keep accepting changes")
			if changes > 0 {
				require.Equal(t, changes, r.ChangesAccepted)
			}
		})
	}
}
