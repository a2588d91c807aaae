// Package durable replaces files so that they survive a crash. It knows nothing
// about their content.
package durable

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// ReplaceFile writes a file as a whole: after a crash there is either the old or
// the new content, and never a private file that others can read. The new
// content lasts when it returns nil.
func ReplaceFile(path string, content []byte, mode os.FileMode) error {
	if err := replace(path, content, mode); err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	return nil
}

func replace(path string, content []byte, mode os.FileMode) error {
	folder := filepath.Dir(path)
	f, err := os.CreateTemp(folder, "."+filepath.Base(path)+"-*")
	if err != nil {
		return err
	}
	if err := fill(f, content, mode); err != nil {
		return errors.Join(err, os.Remove(f.Name()))
	}
	if err := os.Rename(f.Name(), path); err != nil {
		return errors.Join(err, os.Remove(f.Name()))
	}
	return syncFolder(folder)
}

// fill writes, syncs and closes the temporary file.
func fill(f *os.File, content []byte, mode os.FileMode) error {
	_, err := f.Write(content)
	if err == nil {
		err = f.Chmod(mode)
	}
	if err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close())
}

// syncFolder makes a rename in the folder last.
func syncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}
