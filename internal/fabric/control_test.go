package fabric

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A voter that was removed without notice must be replaced before its successor has run
// for CatchUp, whatever ReachableAfter is, and not during an election.
func TestReplaceVoterAfter(t *testing.T) {
	for _, c := range []struct{ reachableAfter, catchUp, want time.Duration }{
		{4 * time.Second, 4 * time.Second, 2 * time.Second},
		{5 * time.Second, 6 * time.Second, 3 * time.Second},
		{2 * time.Second, 6 * time.Second, 2 * time.Second},
		{4 * time.Second, 0, 4 * time.Second},
		{4 * time.Second, time.Second, minReplaceVoterAfter},
	} {
		control := &Control{node: &node{cfg: Config{ReachableAfter: c.reachableAfter, CatchUp: c.catchUp}}}
		require.Equal(t, c.want, control.replaceVoterAfter(), "%v", c)
	}
}
