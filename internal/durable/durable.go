// Package durable replaces files atomically and durably. It does not interpret their
// content.
package durable

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// ReplaceFile replaces the content of a file atomically, or creates the file. After a
// crash or an error the file has either the old or the new content. If ReplaceFile
// returns nil, the new content is on disk. A file whose mode excludes other users is
// never readable by them, because the temporary file is created with access for its
// owner only.
func ReplaceFile(path string, content []byte, mode os.FileMode) error {
	if err := writeAndRename(path, content, mode); err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	return nil
}

// writeAndRename writes a temporary file in the folder of the path and renames it to
// the path.
func writeAndRename(path string, content []byte, mode os.FileMode) error {
	folder := filepath.Dir(path)
	temporary, err := os.CreateTemp(folder, "."+filepath.Base(path)+"-*")
	if err != nil {
		return err
	}
	if err := writeSyncClose(temporary, content, mode); err != nil {
		return errors.Join(err, os.Remove(temporary.Name()))
	}
	if err := os.Rename(temporary.Name(), path); err != nil {
		return errors.Join(err, os.Remove(temporary.Name()))
	}
	return syncFolder(folder)
}

// writeSyncClose writes the content, sets the mode, and syncs and closes the file.
func writeSyncClose(f *os.File, content []byte, mode os.FileMode) error {
	_, err := f.Write(content)
	if err == nil {
		err = f.Chmod(mode)
	}
	if err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close())
}

// syncFolder makes renames of files in the folder durable.
func syncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}
