package logstore

import "time"

// timed is a FileSystem that tells how long its syncs take.
type timed struct {
	FileSystem
	observe func(took time.Duration)
}

// WithSyncTiming returns files with the same content; observe is called after each sync of a
// file, in the goroutine that has waited for it.
func WithSyncTiming(files FileSystem, observe func(took time.Duration)) FileSystem {
	return &timed{FileSystem: files, observe: observe}
}

func (t *timed) Create(name string) (File, error) { return t.file(t.FileSystem.Create(name)) }

func (t *timed) Append(name string) (File, error) { return t.file(t.FileSystem.Append(name)) }

func (t *timed) file(f File, err error) (File, error) {
	if err != nil {
		return nil, err
	}
	return &timedFile{File: f, observe: t.observe}, nil
}

type timedFile struct {
	File
	observe func(took time.Duration)
}

func (f *timedFile) Sync() error {
	began := time.Now()
	err := f.File.Sync()
	f.observe(time.Since(began))
	return err
}
