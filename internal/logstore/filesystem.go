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

// FileSystem is the set of file operations that the store needs. File names are
// relative to the data folder.
type FileSystem interface {
	// ReadFile returns an error that matches os.ErrNotExist if the file does not
	// exist.
	ReadFile(name string) ([]byte, error)
	// Create opens a file for writing and truncates it if it exists.
	Create(name string) (File, error)
	// Append opens an existing file for writing at its end.
	Append(name string) (File, error)
	// Truncate shortens a file to a size.
	Truncate(name string, size int64) error
	Rename(from, to string) error
	// SyncFolder makes the creation and renaming of files durable.
	SyncFolder() error
	// Path returns the full path of a file for error messages.
	Path(name string) string
	// Close releases the lock of the folder.
	Close() error
}

const (
	folderMode   = 0o700
	fileMode     = 0o600
	lockFileName = "lock"
)

// diskFolder is the FileSystem of one folder on disk.
type diskFolder struct {
	path string
	lock *os.File
}

// OpenFolder returns the FileSystem of a folder, and creates the folder if it does not
// exist. It locks the folder, so that no second process can use it.
func OpenFolder(path string) (FileSystem, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, fmt.Errorf("create data folder: %w", err)
	}
	f := &diskFolder{path: path}
	lock, err := os.OpenFile(f.Path(lockFileName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, fmt.Errorf("open lock file: %w", err)
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return nil, errors.Join(fmt.Errorf("data folder %s is in use by another process: %w", path, err), lock.Close())
	}
	f.lock = lock
	// The directory entry of a new data folder is stored in its parent folder.
	if err := syncDirectory(filepath.Dir(path)); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

func (f *diskFolder) Path(name string) string { return filepath.Join(f.path, name) }

func (f *diskFolder) ReadFile(name string) ([]byte, error) { return os.ReadFile(f.Path(name)) }

func (f *diskFolder) Create(name string) (File, error) {
	return os.OpenFile(f.Path(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
}

func (f *diskFolder) Append(name string) (File, error) {
	return os.OpenFile(f.Path(name), os.O_APPEND|os.O_WRONLY, fileMode)
}

func (f *diskFolder) Truncate(name string, size int64) error { return os.Truncate(f.Path(name), size) }

func (f *diskFolder) Rename(from, to string) error { return os.Rename(f.Path(from), f.Path(to)) }

func (f *diskFolder) SyncFolder() error { return syncDirectory(f.path) }

func (f *diskFolder) Close() error { return f.lock.Close() }

// syncDirectory makes the directory entries of a folder durable.
func syncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("open folder to sync it: %w", err)
	}
	return errors.Join(directory.Sync(), directory.Close())
}
