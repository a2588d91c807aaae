package durable

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// ReplaceFile must write the given content and mode, so that other users cannot read
// a private file. A failed replacement must not leave its temporary file behind.
func TestReplaceFile(t *testing.T) {
	folder := t.TempDir()
	path := filepath.Join(folder, "file")
	for _, content := range []string{"first", "second"} {
		require.NoError(t, ReplaceFile(path, []byte(content), 0o600))
		got, err := os.ReadFile(path)
		require.NoError(t, err)
		require.Equal(t, content, string(got))
	}
	info, err := os.Stat(path)
	require.NoError(t, err)
	require.Equal(t, os.FileMode(0o600), info.Mode().Perm())
	// The rename must fail, because a file cannot replace a folder that contains
	// entries.
	nonEmptyFolder := filepath.Join(folder, "taken")
	require.NoError(t, os.MkdirAll(filepath.Join(nonEmptyFolder, "inner"), 0o700))
	require.Error(t, ReplaceFile(nonEmptyFolder, []byte("x"), 0o600))
	require.Error(t, ReplaceFile(filepath.Join(folder, "missing", "file"), []byte("x"), 0o600))
	entries, err := os.ReadDir(folder)
	require.NoError(t, err)
	require.Len(t, entries, 2)
}
