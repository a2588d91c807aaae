package logstore

import "time"

// syncTimedFileSystem is a FileSystem that reports the duration of each file sync.
type syncTimedFileSystem struct {
	FileSystem
	observeSync func(duration time.Duration)
}

// WithSyncTiming returns a FileSystem that passes the duration of each file sync to
// observe. It calls observe in the goroutine that called Sync. All operations are
// forwarded to the given file system.
func WithSyncTiming(fileSystem FileSystem, observe func(duration time.Duration)) FileSystem {
	return &syncTimedFileSystem{FileSystem: fileSystem, observeSync: observe}
}

func (t *syncTimedFileSystem) Create(name string) (File, error) {
	return t.wrapFile(t.FileSystem.Create(name))
}

func (t *syncTimedFileSystem) Append(name string) (File, error) {
	return t.wrapFile(t.FileSystem.Append(name))
}

func (t *syncTimedFileSystem) wrapFile(f File, err error) (File, error) {
	if err != nil {
		return nil, err
	}
	return &syncTimedFile{File: f, observeSync: t.observeSync}, nil
}

type syncTimedFile struct {
	File
	observeSync func(duration time.Duration)
}

func (f *syncTimedFile) Sync() error {
	start := time.Now()
	err := f.File.Sync()
	f.observeSync(time.Since(start))
	return err
}
