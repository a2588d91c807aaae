package fabric

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against agents that forget flows before the idle timeout of the desired state,
// which they do not get: the balancers would reset these flows.
func TestAgentKeepsFlowsForTheirLargestAge(t *testing.T) {
	for _, c := range []struct{ maxFlowAge, want time.Duration }{
		{time.Minute, time.Minute},
		{10 * time.Minute, 10 * time.Minute},
		{5 * time.Second, 5 * time.Second},
		{0, defaultMaxFlowAge},
	} {
		require.Equal(t, c.want, newAgentConfig(&Config{MaxFlowAge: c.maxFlowAge}, time.Now()).IdleTimeout)
	}
}
