package slopes

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// measureSmallFleet returns the rows of a fleet of 20 members, without rows of
// processor times.
func measureSmallFleet(t *testing.T, seed uint64) []Row {
	t.Helper()
	var out bytes.Buffer
	w := newRowWriter(&out, seed, true)
	require.NoError(t, measureFleet(w, 20, smallFleetZones))
	require.NoError(t, measureFanoutRun(w, 20, smallFleetZones, onePercentLoss, false))
	var rows []Row
	for line := range strings.Lines(out.String()) {
		var r Row
		require.NoError(t, json.Unmarshal([]byte(line), &r))
		if !strings.HasPrefix(r.Unit, "ns") {
			rows = append(rows, r)
		}
	}
	return rows
}

// Guards against figures that the seed does not reproduce.
func TestSameSeedSameFigures(t *testing.T) {
	first := measureSmallFleet(t, 3)
	require.NotEmpty(t, first)
	require.Equal(t, first, measureSmallFleet(t, 3))
}

// Guards against a mistyped name of a measurement that is ignored silently, so that
// nothing is measured.
func TestUnknownMeasurementIsRejected(t *testing.T) {
	var unknown *UnknownMeasurementError
	err := Command().Run(context.Background(), []string{"slopes", "rankings"})
	require.True(t, errors.As(err, &unknown), "%v", err)
}
