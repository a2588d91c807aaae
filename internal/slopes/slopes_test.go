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

// measure returns the rows of one small fleet without those of processor time.
func measure(t *testing.T, seed uint64) []Row {
	t.Helper()
	var out bytes.Buffer
	p := newPrinter(&out, seed, true)
	require.NoError(t, measureFleet(p, 20, fewZones))
	require.NoError(t, compareFanout(p, 20, fewZones, smallLoss, false))
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

// Guards against figures that cannot be reproduced from their seed.
func TestSameSeedSameFigures(t *testing.T) {
	first := measure(t, 3)
	require.NotEmpty(t, first)
	require.Equal(t, first, measure(t, 3))
}

// Guards against a mistyped part that silently measures nothing.
func TestUnknownPart(t *testing.T) {
	var unknown *UnknownPartError
	err := Command().Run(context.Background(), []string{"slopes", "rankings"})
	require.True(t, errors.As(err, &unknown), "%v", err)
}
