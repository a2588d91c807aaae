package measure

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// When control VMs fail or responses to operators are lost, no change may be lost or
// applied twice, and all responses to one operation must be the same. No node may revert
// to an older revision or miss the last one. A change must reach every node within 8 s.
func TestControlScenarios(t *testing.T) {
	// wantAccepted is the number of accepted changes: 3 changes set up the services,
	// and then one change per round is accepted. Of concurrent changes to the same
	// revision, exactly one is accepted. The number is not checked if it is 0.
	for scenario, wantAccepted := range map[string]int64{
		"operator-race": 3 + 50, "resend": 3 + 45,
		"leader-loss": 0, "late-restart": 0, "control-partition": 0, "second-loss-after-repair": 0,
	} {
		t.Run(scenario, func(t *testing.T) {
			t.Parallel()
			r := runScenario(t, shortRun(scenario, Bramley))
			requireInvariants(t, r)
			require.Zero(t, r.ChangesWithoutResponse)
			require.Zero(t, r.NodesBehind)
			require.Greater(t, r.ChangesAccepted, int64(30), "the majority must keep accepting changes")
			if wantAccepted > 0 {
				require.Equal(t, wantAccepted, r.ChangesAccepted)
			}
		})
	}
}
