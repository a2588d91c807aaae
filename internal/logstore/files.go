package logstore

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// File is a file open for writing.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// FileSystem is the part of a file system that the store needs. Names are
// relative to the data folder.
type FileSystem interface {
	// ReadFile returns an error that matches os.ErrNotExist if there is none.
	ReadFile(name string) ([]byte, error)
	// Create opens an empty file.
	Create(name string) (File, error)
	// Append opens a file for writing at its end.
	Append(name string) (File, error)
	// Truncate cuts a file to a size.
	Truncate(name string, size int64) error
	Rename(from, to string) error
	// SyncFolder makes created and renamed files durable.
	SyncFolder() error
	// Path returns the full path for messages.
	Path(name string) string
	// Close releases the folder.
	Close() error
}

const (
	folderMode = 0o700
	fileMode   = 0o600
	lockFile   = "lock"
)

// folder is the FileSystem of one folder on disk.
type folder struct {
	path string
	lock *os.File
}

// OpenFolder creates the folder if needed and locks it against use by a second
// process.
func OpenFolder(path string) (FileSystem, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, fmt.Errorf("create data folder: %w", err)
	}
	f := &folder{path: path}
	lock, err := os.OpenFile(f.Path(lockFile), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, fmt.Errorf("open lock file: %w", err)
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return nil, errors.Join(fmt.Errorf("data folder %s is in use by another process: %w", path, err), lock.Close())
	}
	f.lock = lock
	// The entry of a new data folder lives in its parent.
	if err := syncPath(filepath.Dir(path)); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

func (f *folder) Path(name string) string { return filepath.Join(f.path, name) }

func (f *folder) ReadFile(name string) ([]byte, error) { return os.ReadFile(f.Path(name)) }

func (f *folder) Create(name string) (File, error) {
	return os.OpenFile(f.Path(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
}

func (f *folder) Append(name string) (File, error) {
	return os.OpenFile(f.Path(name), os.O_APPEND|os.O_WRONLY, fileMode)
}

func (f *folder) Truncate(name string, size int64) error { return os.Truncate(f.Path(name), size) }

func (f *folder) Rename(from, to string) error { return os.Rename(f.Path(from), f.Path(to)) }

func (f *folder) SyncFolder() error { return syncPath(f.path) }

func (f *folder) Close() error { return f.lock.Close() }

func syncPath(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("open folder for sync: %w", err)
	}
	return errors.Join(dir.Sync(), dir.Close())
}
