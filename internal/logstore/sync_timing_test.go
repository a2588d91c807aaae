package logstore

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Each file sync must be observed, and the wrapped files must pass on all written data.
func TestSyncTimingObservesEachSync(t *testing.T) {
	folder, err := OpenFolder(t.TempDir())
	require.NoError(t, err)
	syncs := 0
	files := WithSyncTiming(folder, func(time.Duration) { syncs++ })
	for _, open := range []func(string) (File, error){files.Create, files.Append} {
		f, err := open("a")
		require.NoError(t, err)
		_, err = f.Write([]byte("x"))
		require.NoError(t, err)
		require.NoError(t, f.Sync())
		require.NoError(t, f.Close())
	}
	content, err := files.ReadFile("a")
	require.NoError(t, err)
	require.Equal(t, "xx", string(content))
	require.Equal(t, 2, syncs)
	_, err = files.Append("missing")
	require.Error(t, err)
	require.NoError(t, files.Close())
}
