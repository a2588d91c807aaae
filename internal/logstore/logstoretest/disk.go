// Package logstoretest provides data folders with faults for tests of log stores and of
// the replicas above them.
package logstoretest

import (
	"errors"
	"sync/atomic"
	"syscall"

	"bramleyhold.example/bramleyhold/internal/logstore"
)

// FullDisk makes the disk of data folders full and gives it room again. A write to a full
// disk stores the first half of the data and fails with ENOSPC. Syncs return at once: on a
// busy machine one takes seconds, and a process that ends loses nothing without them.
type FullDisk struct{ full atomic.Bool }

// SetFull sets whether the disk is full.
func (d *FullDisk) SetFull(full bool) { d.full.Store(full) }

// Wrap returns a FileSystem that passes all operations to the given one, except that
// writes fail while the disk is full.
func (d *FullDisk) Wrap(fileSystem logstore.FileSystem) logstore.FileSystem {
	return &folder{FileSystem: fileSystem, disk: d}
}

type folder struct {
	logstore.FileSystem
	disk *FullDisk
}

func (f *folder) Create(name string) (logstore.File, error) {
	return f.wrapFile(f.FileSystem.Create(name))
}

func (f *folder) Append(name string) (logstore.File, error) {
	return f.wrapFile(f.FileSystem.Append(name))
}

func (f *folder) wrapFile(opened logstore.File, err error) (logstore.File, error) {
	if err != nil {
		return nil, err
	}
	return &file{File: opened, disk: f.disk}, nil
}

type file struct {
	logstore.File
	disk *FullDisk
}

func (f *file) Write(data []byte) (int, error) {
	if !f.disk.full.Load() {
		return f.File.Write(data)
	}
	n, err := f.File.Write(data[:len(data)/2])
	return n, errors.Join(err, syscall.ENOSPC)
}

func (f *file) Sync() error { return nil }

func (f *folder) SyncFolder() error { return nil }
